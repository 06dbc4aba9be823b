// For any input, parsers return a result or a clear error and never crash.
#include <rapidcheck.h>
#include <cstring>
#include <string>
#include <vector>
extern "C" {
#include "ledger/fns.h"
#include "platform/fns.h"
#include "wire/fns.h"
}

namespace
{

const char settings_text[] =
	"[process]\nrole = entry\nname = e\ndata_center = d\n"
	"[listen]\nhttp = 127.0.0.1:1\n[fleet]\n"
	"key = 000102030405060708090a0b0c0d0e0f\n"
	"peers = a@127.0.0.1:2, b@[::1]:3\n"
	"[platform]\naddress = 127.0.0.1:4\nnamespace = n\n"
	"[limits]\nwaiting = 5\n[timing]\nsilent_ms = 3000\n";

const char intent_sample[] =
	"[fleet]\nclaim_window_s = 60\n[service a]\nkind = model\n"
	"[service b]\nkind = plain\nprefix = /b/\n"
	"[route b/o]\npath = /b/o\nmethod = POST\nkey_needed = yes\n"
	"[customer c]\nkey_sha256 = "
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n"
	"[version a/v1]\n[version a/v2]\nreplaces = v1\n"
	"by = 2027-01-10T12:00:00Z\n";

const char *const records[] = {
	"{\"type\":\"confirm\",\"op\":\"x\",\"base\":0,\"text\":\"[service "
	"a]\\nkind = model\\n\"}",
	"{\"type\":\"result\",\"op\":1,\"service\":\"a\",\"version\":\"v\","
	"\"state\":\"done\",\"evidence\":\"\"}",
	"{\"type\":\"carry\",\"as_of\":3,\"offset\":1,\"tried\":2,\"op\":"
	"\"x\",\"text\":\"\",\"results\":[]}",
	"{\"type\":\"drain\",\"host\":\"h\"}",
	"{\"claims\":[{\"k\":\"00112233445566778899aabbccddeeff\",\"i\":\"1\","
	"\"s\":\"2\"}],\"released\":[]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,\"data\":\"x\"}]}",
};

/* Returns text with random edits: truncated, bytes changed, parts repeated. */
std::string mutate(const std::string &text)
{
	std::string s = text;
	const auto edits =
		*rc::gen::container<std::vector<std::tuple<int, size_t, char>>>(
			*rc::gen::inRange(0, 6),
			rc::gen::tuple(rc::gen::inRange(0, 4),
				       rc::gen::inRange<size_t>(0, 1000),
				       rc::gen::arbitrary<char>()));

	for (const auto &e : edits) {
		size_t at = s.empty() ? 0 : std::get<1>(e) % s.size();

		if (std::get<0>(e) == 0)
			s.resize(at);
		else if (std::get<0>(e) == 1 && !s.empty())
			s[at] = std::get<2>(e);
		else if (std::get<0>(e) == 2)
			s.insert(at, s.substr(at / 2, 40));
		else
			s.insert(at, 1, std::get<2>(e));
	}
	return s;
}

void check_error(bool made, GError *err)
{
	RC_ASSERT(made == (err == nullptr));
	if (!err)
		return;
	bool named = err->domain == code_quark() && err->code >= CODE_SYNTAX &&
		     err->code <= CODE_FILE &&
		     std::strstr(err->message, "f.ini") != nullptr;
	g_error_free(err);
	RC_ASSERT(named);
}

void any_settings()
{
	const std::string s = mutate(settings_text);
	GError *err = nullptr;
	settings_t *set = settings_parse(s.c_str(), "f.ini", &err);
	bool made = set != nullptr;

	settings_free(set);
	check_error(made, err);
}

void any_intent()
{
	const std::string s = mutate(intent_sample);
	GError *err = nullptr;
	intent_t *in = intent_parse(s.c_str(), "f.ini", &err);
	bool made = in != nullptr;

	intent_free(in);
	check_error(made, err);
}

void any_record()
{
	static const ledger_ops_t ops = { nullptr, nullptr, nullptr, nullptr };
	static const claims_ops_t claim_ops = { nullptr, nullptr };
	ledger_t *l = ledger_new(&ops, nullptr);
	claims_t *c = claims_new(&claim_ops, nullptr, 5, 1000, 100);
	const int n = *rc::gen::inRange(1, 8);

	for (int i = 1; i <= n; i++) {
		const std::string s = mutate(records[*rc::gen::inRange(0, 6)]);
		const str_t data = { s.data(), s.size() };
		uint64_t offset = 0;
		log_page_t *page = log_page_parse(data);

		ledger_read_record(l, static_cast<uint64_t>(i) + 3, data);
		claims_read_record(c, static_cast<uint64_t>(i), data, 0);
		ledger_from_peer(l, static_cast<uint64_t>(i), data);
		log_offset_parse(data, &offset);
		if (page)
			log_page_free(page);
	}
	claims_tick(c, 10000);
	ledger_free(l);
	claims_free(c);
}

void any_plan()
{
	const revision_t none = { 0, nullptr, nullptr, nullptr };
	char *plan = plan_make(&none, intent_sample, "f.ini", 0, nullptr);
	const std::string s = mutate(plan);
	GError *err = nullptr;
	char *record = plan_record(s.c_str(), &err);
	char *op = plan_op(s.c_str());
	bool ok = (record == nullptr) == (err != nullptr);

	g_free(plan);
	g_free(record);
	g_free(op);
	g_clear_error(&err);
	RC_ASSERT(ok);
}

void any_frame()
{
	const auto type = *rc::gen::inRange(0, 24);
	std::string payload = "\x9c\x01";

	payload += static_cast<char>(type);
	payload += *rc::gen::arbitrary<std::string>();
	std::string s =
		mutate(std::string(3, '\0') +
		       static_cast<char>(payload.size() & 0x7f) + payload);
	framer_t f;
	decoder_t d = { nullptr, 0 };
	str_t p;
	msg_t m;

	framer_init(&f, 4096);
	framer_add(&f, s.data(), s.size());
	for (code_t code; (code = framer_next(&f, &p)) == CODE_OK;) {
		code = msg_decode(&d, p.p, p.n, &m);
		RC_ASSERT(code == CODE_OK ||
			  (code >= CODE_TRUNCATED && code <= CODE_BAD_FIELD));
	}
	decoder_clear(&d);
	framer_clear(&f);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("settings", any_settings);
	ok &= rc::check("intents", any_intent);
	ok &= rc::check("records and pages", any_record);
	ok &= rc::check("plans", any_plan);
	ok &= rc::check("frames", any_frame);
	return ok ? 0 : 1;
}
