// Properties of the keeper, and of reading HTTP in any cut of the bytes.
#include <rapidcheck.h>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>
extern "C" {
#include "http/fns.h"
#include "keeper/fns.h"
}

namespace
{

// Which requests wait and which have a slot, as seen by their host.
struct World {
	std::set<uint64_t> waiting;
	std::set<uint64_t> granted;
	bool wrong = false;
};

void on_grant(void *ctx, uint64_t host, rid_t rid)
{
	World *w = static_cast<World *>(ctx);

	if (host != rid.inc || w->waiting.erase(rid.seq) != 1)
		w->wrong = true;
	w->granted.insert(rid.seq);
}

const keeper_ops_t grant_ops = { on_grant };

constexpr unsigned int slots = 3;

void step(keeper_t *k, World *w, int what, uint64_t seq, ms_t now)
{
	keeper_request_t a = {};

	switch (what) {
	case 0:
	case 1:
		if (w->granted.count(seq))
			return;
		a.rid = { 1, seq };
		a.priority = seq % PRIORITIES;
		a.slots = slots;
		a.target = 50;
		a.deadline = 1000000;
		w->waiting.insert(seq);
		keeper_request(k, 1, &a, now);
		break;
	case 2:
		w->waiting.erase(seq);
		w->granted.erase(seq);
		keeper_release(k, { 1, seq }, now);
		break;
	default:
		keeper_tick(k, now);
	}
}

// What the reader reported of one message.
struct Message {
	std::string body;
	unsigned int heads = 0;
	unsigned int ends = 0;
};

bool on_head(void *ctx, const http_head_t *h)
{
	static_cast<Message *>(ctx)->heads++;
	return h == nullptr;
}

void on_body(void *ctx, str_t data)
{
	static_cast<Message *>(ctx)->body.append(data.p, data.n);
}

void on_end(void *ctx)
{
	static_cast<Message *>(ctx)->ends++;
}

const http_reader_ops_t http_ops = { on_head, on_body, on_end };

// Feeds the text in pieces of the given sizes, over and over.
code_t feed(const std::string &text, const std::vector<uint8_t> &cuts,
	    Message *m)
{
	http_reader_t in;
	code_t code = CODE_OK;
	size_t at = 0;
	size_t turn = 0;
	size_t used;

	http_reader_init(&in, true, 4096, &http_ops, m);
	while (at < text.size() && code == CODE_OK) {
		size_t n = cuts.empty() ? text.size()
					: 1 + cuts[turn++ % cuts.size()];

		n = std::min(n, text.size() - at);
		code = http_reader_feed(&in, text.data() + at, n, &used);
		at += used;
	}
	http_reader_clear(&in);
	return code;
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("slots are never over-granted, nor left empty", [] {
		counters_t *c = counters_new();
		World w;
		keeper_t *k = keeper_new(&grant_ops, &w, 0, c);
		auto steps =
			*rc::gen::container<std::vector<std::pair<int, int>>>(
				rc::gen::pair(rc::gen::inRange(0, 4),
					      rc::gen::inRange(1, 12)));
		ms_t now = 0;

		for (const auto &s : steps) {
			// Far enough apart that no request is a short one,
			// which would let more requests in.
			step(k, &w, s.first, s.second, now += 150);
			RC_ASSERT(!w.wrong);
			RC_ASSERT(w.granted.size() <= slots);
			RC_ASSERT(w.granted.size() == slots ||
				  w.waiting.empty());
			RC_ASSERT(keeper_granted(k) == w.granted.size());
			RC_ASSERT(keeper_waiting(k) == w.waiting.size());
		}
		keeper_free(k);
		counters_free(c);
	});
	ok &= rc::check(
		"a body is the same in any cut, by length or in chunks", [] {
			auto body = *rc::gen::container<std::string>(
				rc::gen::arbitrary<char>());
			auto cuts = *rc::gen::arbitrary<std::vector<uint8_t>>();
			bool chunks = *rc::gen::arbitrary<bool>();
			std::string text = "POST / HTTP/1.1\r\nHost: x\r\n";
			char size[32];
			Message m;

			snprintf(size, sizeof(size), chunks ? "%zx" : "%zu",
				 body.size());
			if (!chunks)
				text += "Content-Length: " + std::string(size) +
					"\r\n\r\n" + body;
			else
				text += "Transfer-Encoding: chunked\r\n\r\n" +
					(body.empty()
						 ? ""
						 : std::string(size) + "\r\n" +
							   body + "\r\n") +
					"0\r\n\r\n";
			RC_ASSERT(feed(text, cuts, &m) == CODE_OK);
			RC_ASSERT(m.ends == 1U);
			RC_ASSERT(m.body == body);
		});
	ok &= rc::check("any bytes are read the same in any cut", [] {
		auto junk = *rc::gen::container<std::string>(
			rc::gen::element('G', 'E', 'T', ' ', '/', '\r', '\n',
					 ':', 'H', '1', '.', '\0', '\t'));
		auto cuts = *rc::gen::arbitrary<std::vector<uint8_t>>();
		Message whole;
		Message cut;
		code_t a = feed(junk, {}, &whole);
		code_t b = feed(junk, cuts, &cut);

		RC_ASSERT(a == b);
		RC_ASSERT(whole.ends == cut.ends);
	});
	return ok ? 0 : 1;
}
