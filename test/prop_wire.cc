/* Properties of frames and messages: round trips, malformed input. */
#include <rapidcheck.h>
#include <cstring>
#include <string>
#include <vector>
extern "C" {
#include "wire/fns.h"
}

static str_t str_of_string(const std::string &s)
{
	return str_t{ s.data(), s.size() };
}

static std::string encode(const msg_t &m)
{
	GByteArray *b = g_byte_array_new();
	msg_encode(&m, b);
	std::string out(reinterpret_cast<char *>(b->data), b->len);
	g_byte_array_free(b, TRUE);
	return out;
}

/* A body is decoded unchanged, whatever the sizes of the reads. */
static bool body_round_trip()
{
	return rc::check("body is decoded unchanged for any read size", [] {
		const auto body = *rc::gen::arbitrary<std::string>();
		const auto path = *rc::gen::arbitrary<std::string>();
		const auto inc = *rc::gen::arbitrary<uint64_t>();
		const auto step = *rc::gen::inRange<size_t>(1, 40);
		msg_t in;
		std::memset(&in, 0, sizeof(in));
		in.type = MSG_BODY;
		in.u.body.rid = rid_t{ inc, ~inc };
		in.u.body.path = str_of_string(path);
		in.u.body.body = str_of_string(body);
		const std::string bytes = encode(in) + encode(in);
		framer_t f;
		decoder_t d = { nullptr, 0 };
		int seen = 0;
		framer_init(&f, WIRE_FRAME_MAX);
		for (size_t at = 0; at < bytes.size(); at += step) {
			str_t p;
			framer_add(&f, bytes.data() + at,
				   std::min(step, bytes.size() - at));
			while (framer_next(&f, &p) == CODE_OK) {
				msg_t out;
				RC_ASSERT(msg_decode(&d, p.p, p.n, &out) ==
					  CODE_OK);
				RC_ASSERT(str_eq(out.u.body.body,
						 str_of_string(body)));
				RC_ASSERT(str_eq(out.u.body.path,
						 str_of_string(path)));
				RC_ASSERT(rid_equal(&out.u.body.rid,
						    &in.u.body.rid));
				seen++;
			}
		}
		RC_ASSERT(seen == 2);
		framer_clear(&f);
		decoder_clear(&d);
	});
}

/* A payload with one byte changed, and perhaps cut, never crashes decoding. */
static bool corrupted_payload()
{
	return rc::check("a corrupted payload gives a result code", [] {
		msg_t in;
		std::memset(&in, 0, sizeof(in));
		in.type = static_cast<msg_type_t>(
			*rc::gen::inRange<int>(MSG_HELLO, MSG_TYPE_END));
		std::string bytes = encode(in).substr(WIRE_HEADER_SIZE);
		const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
		bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
		bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
		decoder_t d = { nullptr, 0 };
		msg_t out;
		const code_t code =
			msg_decode(&d, bytes.data(), bytes.size(), &out);
		RC_ASSERT(code == CODE_OK || (code >= 301 && code <= 305));
		decoder_clear(&d);
	});
}

/* Random bytes, with wrong lengths among them, never crash decoding. */
static bool random_bytes()
{
	return rc::check("random bytes give a result code", [] {
		const auto s = *rc::gen::arbitrary<std::string>();
		decoder_t d = { nullptr, 0 };
		framer_t f;
		str_t p;
		msg_t out;
		code_t code;
		framer_init(&f, 64);
		framer_add(&f, s.data(), s.size());
		while ((code = framer_next(&f, &p)) == CODE_OK)
			msg_decode(&d, p.p, p.n, &out);
		RC_ASSERT(code == CODE_TRUNCATED ||
			  code == CODE_FRAME_TOO_LARGE);
		framer_clear(&f);
		decoder_clear(&d);
	});
}

/* Facts keep their order and values. */
static bool facts_round_trip()
{
	return rc::check("facts are decoded unchanged", [] {
		const auto keys =
			*rc::gen::arbitrary<std::vector<std::string>>();
		std::vector<fact_kv_t> kv;
		for (const auto &k : keys)
			kv.push_back(
				fact_kv_t{ str_of_string(k), k.size() * 7 });
		msg_t in;
		std::memset(&in, 0, sizeof(in));
		in.type = MSG_FACTS;
		in.u.facts.n = kv.size();
		in.u.facts.kv = kv.data();
		const std::string b = encode(in).substr(WIRE_HEADER_SIZE);
		decoder_t d = { nullptr, 0 };
		msg_t out;
		RC_ASSERT(msg_decode(&d, b.data(), b.size(), &out) == CODE_OK);
		RC_ASSERT(out.u.facts.n == kv.size());
		for (size_t i = 0; i < kv.size(); i++) {
			RC_ASSERT(str_eq(out.u.facts.kv[i].key, kv[i].key));
			RC_ASSERT(out.u.facts.kv[i].value == kv[i].value);
		}
		decoder_clear(&d);
	});
}

int main()
{
	bool ok = body_round_trip();
	ok = corrupted_payload() && ok;
	ok = random_bytes() && ok;
	ok = facts_round_trip() && ok;
	return ok ? 0 : 1;
}
