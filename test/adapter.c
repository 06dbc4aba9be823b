/* Decoding of the platform's records and header fields, valid and malformed. */
#include <check.h>
#include <string.h>
#include "adapter.h"

typedef struct server_case {
	const char *name;
	const char *text;
	code_t code;
	bool draining;
} server_case_t;

#define SERVER(state, slots, extra)                                            \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"a\","          \
	"\"version\":\"v1\",\"slots\":" slots ",\"state\":\"" state "\","      \
	"\"seq\":4" extra "}"

static const server_case_t servers[] = {
	{ "ready", SERVER("ready", "9", ""), CODE_OK, false },
	{ "draining", SERVER("draining", "9", ""), CODE_OK, true },
	{ "with start time", SERVER("ready", "9", ",\"born\":17"), CODE_OK,
	  false },
	{ "new fields", SERVER("ready", "9", ",\"x\":[1]"), CODE_OK, false },
	{ "start time with a fraction", SERVER("ready", "9", ",\"born\":1.5"),
	  CODE_BAD_RECORD, false },
	{ "unknown state", SERVER("asleep", "9", ""), CODE_BAD_RECORD, false },
	{ "slots as text", SERVER("ready", "\"9\"", ""), CODE_BAD_RECORD,
	  false },
	{ "no slots", SERVER("ready", "0", ""), CODE_BAD_RECORD, false },
	{ "bad address",
	  "{\"service\":\"s\",\"addr\":\"here\",\"zone\":\"a\",\"version\":"
	  "\"v\",\"slots\":1,\"state\":\"ready\",\"seq\":1}",
	  CODE_BAD_RECORD, false },
	{ "fields missing", "{\"service\":\"s\"}", CODE_BAD_RECORD, false },
	{ "a list", "[]", CODE_BAD_RECORD, false },
	{ "not JSON", "\xff\xfe{", CODE_BAD_RECORD, false },
	{ "empty", "", CODE_BAD_RECORD, false },
};

START_TEST(test_server)
{
	const server_case_t *c = &servers[_i];
	server_record_t r;
	const char *why = NULL;

	ck_assert_msg(adapter_parse_server(str_of("id"), str_of(c->text), &r,
					   &why) == c->code,
		      "%s: %s", c->name, why ? why : "");
	if (c->code != CODE_OK) {
		ck_assert_ptr_nonnull(why);
		return;
	}
	ck_assert(r.info.draining == c->draining);
	ck_assert_str_eq(r.info.id, "id");
	ck_assert_uint_eq(r.info.addr.port, 80);
	adapter_server_clear(&r);
}
END_TEST

typedef struct config_case {
	const char *name;
	const char *text;
	code_t code;
	retry_policy_t retry; /* of the first route */
} config_case_t;

#define ROUTE(kind, extra)                                                     \
	"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"H.example\","   \
	"\"path_prefix\":\"/a/\",\"service\":\"s\",\"kind\":\"" kind           \
	"\",\"timeout_ms\":900" extra "}],\"services\":[{\"name\":\"s\"}],"    \
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":1,"    \
	"\"unit\":\"token\",\"rate_per_s\":10}]}"

static const config_case_t configs[] = {
	{ "safe", ROUTE("safe", ""), CODE_OK, RETRY_SAFE },
	{ "unsafe", ROUTE("unsafe", ""), CODE_OK, RETRY_NEVER },
	{ "stream", ROUTE("stream", ""), CODE_OK, RETRY_NEVER },
	{ "resumable stream", ROUTE("stream", ",\"resumable\":true"), CODE_OK,
	  RETRY_RESUME },
	{ "split",
	  ROUTE("safe", ",\"backends\":[{\"service\":\"s\","
			"\"weight\":9},{\"service\":\"z\","
			"\"weight\":1}]"),
	  CODE_OK, RETRY_SAFE },
	{ "split in fractions",
	  ROUTE("safe", ",\"backends\":[{\"service\":\"s\","
			"\"weight\":0.9},{\"service\":\"z\","
			"\"weight\":0.1}]"),
	  CODE_OK, RETRY_SAFE },
	{ "numbers with fractions",
	  ROUTE("safe", ",\"attempts\":2.0,\"priority\":1.0,"
			"\"latency_target_ms\":250.5"),
	  CODE_OK, RETRY_SAFE },
	{ "negative attempts", ROUTE("safe", ",\"attempts\":-1"),
	  CODE_BAD_RECORD, RETRY_SAFE },
	{ "no version", "{\"routes\":[]}", CODE_BAD_RECORD, RETRY_SAFE },
	{ "route without host", "{\"version\":1,\"routes\":[{\"name\":\"r\"}]}",
	  CODE_BAD_RECORD, RETRY_SAFE },
	{ "not JSON", "{", CODE_BAD_RECORD, RETRY_SAFE },
};

START_TEST(test_config)
{
	const config_case_t *c = &configs[_i];
	desired_t *d = NULL;
	const edge_route_t *r;
	const char *why = NULL;

	ck_assert_msg(adapter_parse_config(str_of(c->text), &d, &why) ==
			      c->code,
		      "%s: %s", c->name, why ? why : "");
	if (c->code != CODE_OK)
		return;
	r = desired_route(d, str_of("h.example"), str_of("/a/b"));
	ck_assert_ptr_nonnull(r);
	ck_assert_int_eq(r->retry, c->retry);
	ck_assert_int_eq(r->timeout, 900);
	ck_assert_double_gt(r->splits[0].weight, 0);
	ck_assert_str_eq(desired_customer(d, str_of("k"))->name, "t");
	ck_assert(desired_customer(d, str_of("K")) == NULL);
	desired_unref(d);
}
END_TEST

/* Which of a caller's header fields are passed on to a server. */
typedef struct pass_case {
	const char *name;
	const char *value;
	bool passed;
} pass_case_t;

static const pass_case_t passes[] = {
	{ "X-Request-Id", "abc", true },
	{ "X-Model", "m", true },
	{ "X-Token-Usage", "10,5", true },
	{ "X-Prompt-Prefix", "5c1e:800,e440:250", true },
	{ "X-Other", "y", true },
	{ "Authorization", "Bearer k", false },
	{ "X-Tenant", "someone", false },
	{ "X-Expect-Instance", "i-1", false },
	{ "X-Hold", "h", false },
	{ "X-Pin-Ms", "9", false },
	{ "X-Kv-Backup", "10.0.0.9:1", false },
	{ "Kv-From", "10.0.0.9:1/x", false },
	{ "Connection", "keep-alive", false },
	{ "Transfer-Encoding", "chunked", false },
	{ "Content-Length", "3", false },
};

START_TEST(test_pass)
{
	const pass_case_t *c = &passes[_i];
	GByteArray *out = g_byte_array_new();
	char *line = g_strdup_printf("%s: %s\r\n", c->name, c->value);
	http_head_t h = { 0 };
	call_info_t call;

	h.method = str_of("POST");
	h.target = str_of("/a/b");
	h.fields[0].name = str_of("Host");
	h.fields[0].value = str_of("h");
	h.fields[1].name = str_of(c->name);
	h.fields[1].value = str_of(c->value);
	h.nfields = 2;
	adapter_codec.read_call(&h, &call, out);
	g_byte_array_append(out, (const guint8 *)"", 1);
	ck_assert_msg((strstr((char *)out->data, line) != NULL) == c->passed,
		      "%s", c->name);
	ck_assert(g_str_has_prefix((char *)out->data, "POST /a/b HTTP/1.1"));
	g_free(line);
	g_byte_array_free(out, TRUE);
}
END_TEST

/* The parts of a prompt that requests may share. */
typedef struct parts_case {
	const char *name;
	const char *value;
	const char *want[4]; /* names of the parts, in order */
	unsigned int omitted;
} parts_case_t;

static const parts_case_t part_lists[] = {
	{ "three", "5c1e:800,91bd:410,e440:250", { "5c1e", "91bd" }, 0 },
	{ "capitals are the same", "5C1E:800,e440:250", { "5c1e" }, 0 },
	{ "leading zeros count", "05c1e:8,e440:250", { "05c1e" }, 0 },
	{ "the last alone", "e440:250", { NULL }, 0 },
	{ "empty", "", { NULL }, 0 },
	{ "blanks", " 5c1e:800 ,\t91bd:410 , e440:250", { "5c1e", "91bd" }, 0 },
	{ "twice the same",
	  "5c1e:1,91bd:2,5c1e:3,e440:4",
	  { "5c1e", "91bd" },
	  0 },
	{ "the last also before",
	  "5c1e:1,91bd:2,5c1e:3",
	  { "5c1e", "91bd" },
	  0 },
	{ "not hexadecimal",
	  "5c1e:1,xyz:2,91bd:3,e440:4",
	  { "5c1e", "91bd" },
	  1 },
	{ "no tokens", "5c1e,91bd:,77:x,12:3,e440:4", { "12" }, 3 },
	{ "no name", ":5,12:3,e440:4", { "12" }, 1 },
	{ "empty entries", ",,12:3,", { "12" }, 2 },
	{ "malformed last", "12:3,e440", { "12" }, 0 },
};

static void read_parts_of(const char *value, call_info_t *call)
{
	GByteArray *pass = g_byte_array_new();
	http_head_t h = { 0 };

	h.method = str_of("POST");
	h.target = str_of("/");
	h.fields[0].name = str_of("X-Prompt-Prefix");
	h.fields[0].value = str_of(value);
	h.nfields = 1;
	adapter_codec.read_call(&h, call, pass);
	g_byte_array_free(pass, TRUE);
}

START_TEST(test_parts)
{
	const parts_case_t *c = &part_lists[_i];
	call_info_t call;
	size_t n = 0;

	read_parts_of(c->value, &call);
	for (; n < G_N_ELEMENTS(c->want) && c->want[n]; n++) {
		ck_assert_msg(n < call.nparts, "%s", c->name);
		ck_assert_msg(call.parts[n] ==
				      hash64(c->want[n], strlen(c->want[n]), 0),
			      "%s: %zu", c->name, n);
	}
	ck_assert_msg(call.nparts == n, "%s", c->name);
	ck_assert_msg(call.parts_omitted == c->omitted, "%s", c->name);
}
END_TEST

START_TEST(test_hundreds_of_parts)
{
	enum { ENTRIES = 300 };
	GString *value = g_string_new(NULL);
	call_info_t call;

	for (unsigned int i = 0; i < ENTRIES; i++)
		g_string_append_printf(value, "%s%x:5", i ? "," : "", i + 1);
	read_parts_of(value->str, &call);
	ck_assert_uint_eq(call.nparts, PROMPT_PARTS_MAX);
	ck_assert_uint_eq(call.parts_omitted, ENTRIES - 1 - PROMPT_PARTS_MAX);
	ck_assert(call.parts[0] == hash64("1", 1, 0));
	g_string_free(value, TRUE);
}
END_TEST

START_TEST(test_send_fields)
{
	GByteArray *out = g_byte_array_new();
	send_info_t info = { .server = "i-1",
			     .customer = "t",
			     .time_left = 750,
			     .resumes = true,
			     .last_event_id = 12,
			     .body_bytes = 3,
			     .has_body = true };

	adapter_codec.write_send(&info, out);
	g_byte_array_append(out, (const guint8 *)"", 1);
	ck_assert_str_eq((char *)out->data,
			 "X-Timeout-Ms: 750\r\nX-Expect-Instance: i-1\r\n"
			 "X-Tenant: t\r\nLast-Event-Id: 12\r\n"
			 "Content-Length: 3\r\n\r\n");
	g_byte_array_free(out, TRUE);
}
END_TEST

typedef struct answer_case {
	const char *name;
	const char *field;
	const char *value;
	int status;
	answer_t want;
} answer_case_t;

static const answer_case_t answers[] = {
	{ "load",
	  "X-Server-Load",
	  "3,1,8",
	  200,
	  { .has_load = true, .running = 3, .waiting = 1 } },
	{ "bad load", "X-Server-Load", "many", 200, { .id = { NULL, 0 } } },
	{ "not run", "X-Not-Executed", "1", 503, { .not_run = true } },
	{ "plain 503", "X-Other", "1", 503, { .id = { NULL, 0 } } },
	{ "wrong server",
	  "X-Instance-Id",
	  "i-2",
	  421,
	  { .wrong_server = true } },
	{ "idle for longer than a number holds",
	  "Keep-Alive",
	  "timeout=999999999999999999",
	  200,
	  { .has_idle_timeout = true, .idle_timeout = 3600000 } },
	{ "idle",
	  "Keep-Alive",
	  "timeout=5, max=9",
	  200,
	  { .has_idle_timeout = true, .idle_timeout = 5000 } },
	{ "signed", "X-Server-Stamp", "x", 200, { .has_signature = true } },
	{ "limit",
	  "Server-Limit",
	  "1.7",
	  200,
	  { .word.limit = { true, 1700 } } },
	{ "limit of a failure",
	  "server-limit",
	  "12",
	  503,
	  { .word.limit = { true, 12000 } } },
	{ "pause", "Retry-After", "2.5", 503, { .word.pause = 2500 } },
	{ "pause without end",
	  "Retry-After",
	  "99999999",
	  503,
	  { .word.pause = 3600000 } },
	{ "pause, negative", "Retry-After", "-1", 503, { .word.bad = true } },
	{ "pause, two points",
	  "Retry-After",
	  "1.2.3",
	  503,
	  { .word.bad = true } },
	{ "pause, a date",
	  "Retry-After",
	  "Fri, 04 Dec 2026 14:00:00 GMT",
	  503,
	  { .word.bad = true } },
	{ "no pause but with 503",
	  "Retry-After",
	  "2",
	  429,
	  { .id = { NULL, 0 } } },
	{ "leaving", "Server-Leaving", "1", 200, { .word.leaving = true } },
	{ "leaving, a failure",
	  "server-leaving",
	  "1",
	  500,
	  { .word.leaving = true } },
	{ "not leaving", "Server-Leaving", "0", 200, { .id = { NULL, 0 } } },
	{ "leaving, not a number",
	  "Server-Leaving",
	  "yes",
	  200,
	  { .id = { NULL, 0 } } },
	{ "limit 0", "Server-Limit", "0", 200, { .word.limit = { true, 0 } } },
	{ "limit below 0",
	  "Server-Limit",
	  "-1",
	  200,
	  { .word = { .bad = true } } },
	{ "limit empty", "Server-Limit", "", 200, { .word = { .bad = true } } },
	{ "limit not a number",
	  "Server-Limit",
	  "nan",
	  200,
	  { .word = { .bad = true } } },
	{ "limit with an exponent",
	  "Server-Limit",
	  "1e9",
	  200,
	  { .word = { .bad = true } } },
	{ "limit with two points",
	  "Server-Limit",
	  "1.2.3",
	  200,
	  { .word = { .bad = true } } },
	{ "limit that ends in a point",
	  "Server-Limit",
	  "1.",
	  200,
	  { .word = { .bad = true } } },
	{ "limit too long",
	  "Server-Limit",
	  "1111111111111111111111111",
	  200,
	  { .word = { .bad = true } } },
};

START_TEST(test_answer)
{
	const answer_case_t *c = &answers[_i];
	http_head_t h = { 0 };
	answer_t a = { 0 };

	h.status = c->status;
	h.fields[0].name = str_of(c->field);
	h.fields[0].value = str_of(c->value);
	h.nfields = 1;
	adapter_codec.read_answer(&h, &a);
	ck_assert_msg(a.has_load == c->want.has_load &&
			      a.running == c->want.running &&
			      a.waiting == c->want.waiting &&
			      a.not_run == c->want.not_run &&
			      a.wrong_server == c->want.wrong_server &&
			      a.has_idle_timeout == c->want.has_idle_timeout &&
			      a.idle_timeout == c->want.idle_timeout &&
			      a.has_signature == c->want.has_signature &&
			      a.word.bad == c->want.word.bad &&
			      a.word.leaving == c->want.word.leaving &&
			      a.word.pause == c->want.word.pause &&
			      limit_equal(&a.word.limit, &c->want.word.limit),
		      "%s", c->name);
}
END_TEST

/* The operator's rollout orders. */
typedef struct rollout_case {
	const char *name;
	const char *key;
	const char *text;
	code_t code;
	ms_t duration;
} rollout_case_t;

static const rollout_case_t rollouts[] = {
	{ "whole seconds", "rollout/s",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12}", CODE_OK,
	  12000 },
	{ "with a fraction", "rollout/s",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":0.5,\"x\":[]}",
	  CODE_OK, 500 },
	{ "another service's key", "rollout/t",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12}",
	  CODE_BAD_RECORD, 0 },
	{ "no target", "rollout/s", "{\"service\":\"s\",\"duration_s\":12}",
	  CODE_BAD_RECORD, 0 },
	{ "zero duration", "rollout/s",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":0}",
	  CODE_BAD_RECORD, 0 },
	{ "duration as text", "rollout/s",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":\"12\"}",
	  CODE_BAD_RECORD, 0 },
	{ "not JSON", "rollout/s", "{", CODE_BAD_RECORD, 0 },
};

START_TEST(test_rollouts)
{
	const rollout_case_t *c = &rollouts[_i];
	const char *why = NULL;
	shift_order_t o;
	void *doc;

	ck_assert(adapter_is_rollout(str_of(c->key)));
	ck_assert_msg(adapter_parse_rollout(str_of(c->key), str_of(c->text), 7,
					    &o, &doc, &why) == c->code,
		      "%s: %s", c->name, why ? why : "");
	if (c->code != CODE_OK) {
		ck_assert_ptr_nonnull(why);
		return;
	}
	ck_assert_int_eq(o.duration, c->duration);
	ck_assert_uint_eq(o.number, 7);
	ck_assert_str_eq(o.target, "v2");
	adapter_rollout_clear(doc);
}
END_TEST

typedef struct status_case {
	shift_state_t state;
	const char *text;
} status_case_t;

static const status_case_t statuses[] = {
	{ SHIFT_RUNNING, "{\"state\":\"running\",\"target\":\"v2\"}" },
	{ SHIFT_DONE, "{\"state\":\"succeeded\",\"target\":\"v2\"}" },
	{ SHIFT_ROLLED_BACK, "{\"state\":\"rolled_back\",\"target\":\"v2\"}" },
};

START_TEST(test_status)
{
	char *key = adapter_rollout_status_key("s");
	char *text = adapter_rollout_status("v2", statuses[_i].state);

	ck_assert_str_eq(key, "rollout/s");
	ck_assert_str_eq(text, statuses[_i].text);
	ck_assert(!adapter_is_config(str_of(key)));
	g_free(key);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("adapter");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_server, 0, G_N_ELEMENTS(servers));
	tcase_add_loop_test(t, test_rollouts, 0, G_N_ELEMENTS(rollouts));
	tcase_add_loop_test(t, test_status, 0, G_N_ELEMENTS(statuses));
	tcase_add_loop_test(t, test_config, 0, G_N_ELEMENTS(configs));
	tcase_add_loop_test(t, test_pass, 0, G_N_ELEMENTS(passes));
	tcase_add_loop_test(t, test_parts, 0, G_N_ELEMENTS(part_lists));
	tcase_add_test(t, test_hundreds_of_parts);
	tcase_add_test(t, test_send_fields);
	tcase_add_loop_test(t, test_answer, 0, G_N_ELEMENTS(answers));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
