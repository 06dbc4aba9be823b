/* Settings and intents: what is taken, and how the rest is refused. */
#include <check.h>
#include <string.h>
#include "conf/fns.h"

#define KEY64                                                                  \
	"00112233445566778899aabbccddeeff"                                     \
	"00112233445566778899aabbccddeeff"
#define PLATFORM   "[platform]\naddress = 127.0.0.1:7000\nnamespace = prod\n"
#define FLEET	   "[fleet]\nkey = 00112233445566778899aabbccddeeff\n"
#define PROC(role) "[process]\nrole = " role "\nname = h1\ndata_center = lj-1\n"
#define HTTP	   "[listen]\nhttp = 127.0.0.1:8080\n"
#define BACKEND                                                                \
	"[backend]\nservice = helper\nversion = v1\nkind = model\n"            \
	"address = 127.0.0.1:9100\n"
#define ENTRY PROC("entry") HTTP FLEET PLATFORM
#define SIDE  PROC("sidecar") HTTP "wire = [::1]:8090\n" FLEET PLATFORM BACKEND
#define SERVICES                                                               \
	"[service helper]\nkind = model\n"                                     \
	"[service stock]\nkind = plain\nprefix = /stock/\n"

typedef struct bad_case {
	const char *name;
	const char *text;
	code_t code;
	const char *says; /* part of the message */
} bad_case_t;

static const bad_case_t bad_settings[] = {
	{ "empty", "", CODE_MISSING_KEY, "missing section [process]" },
	{ "no equals", "[process]\nrole\n", CODE_SYNTAX, "f.ini:2:" },
	{ "key before section", "a = 1\n", CODE_SYNTAX, "f.ini:1:" },
	{ "unknown section", "[proces]\n", CODE_UNKNOWN_SECTION, "[proces]" },
	{ "unknown key", "[process]\nrolle = entry\n", CODE_UNKNOWN_KEY,
	  "f.ini:2: [process] rolle: unknown key" },
	{ "key twice", "[process]\nrole = entry\nrole = entry\n", CODE_SYNTAX,
	  "f.ini:3: [process] role: key given twice" },
	{ "indented key twice", "[process]\nname = a\n  name = b\n",
	  CODE_SYNTAX, "f.ini:3: [process] name: key given twice" },
	{ "indented section", "[timing]\n  [timing]\n", CODE_SYNTAX,
	  "f.ini:2: [timing]: section given twice" },
	{ "section twice", ENTRY "[listen]\n", CODE_SYNTAX, "given twice" },
	{ "missing key", "[process]\nrole = entry\nname = a\n[limits]\n",
	  CODE_MISSING_KEY, "f.ini:1: [process] data_center: missing key" },
	{ "bad role", "[process]\nrole = proxy\n", CODE_BAD_TYPE,
	  "expected entry or sidecar, got \"proxy\"" },
	{ "host name as address", PROC("entry") "[listen]\nhttp = host:80\n",
	  CODE_BAD_TYPE, "expected IP:PORT" },
	{ "no port", PROC("entry") "[listen]\nhttp = 127.0.0.1\n",
	  CODE_BAD_TYPE, "expected IP:PORT" },
	{ "unit in value", ENTRY "[timing]\nsilent_ms = 2s\n", CODE_BAD_TYPE,
	  "from 10 to 600000, got \"2s\"" },
	{ "out of range", ENTRY "[timing]\nsilent_ms = 1\n", CODE_OUT_OF_RANGE,
	  "from 10 to 600000" },
	{ "negative", ENTRY "[limits]\nwaiting = -1\n", CODE_BAD_TYPE,
	  "waiting" },
	{ "silent below heartbeat",
	  ENTRY "[timing]\nheartbeat_ms = 500\nsilent_ms = 600\n",
	  CODE_OUT_OF_RANGE, "silent_ms" },
	{ "frame below body", ENTRY "[limits]\nframe_bytes = 65536\n",
	  CODE_OUT_OF_RANGE, "frame_bytes" },
	{ "no key", PROC("entry") HTTP "[fleet]\n" PLATFORM, CODE_MISSING_KEY,
	  "key, key_file" },
	{ "short key", PROC("entry") HTTP "[fleet]\nkey = 0011\n" PLATFORM,
	  CODE_OUT_OF_RANGE, "16" },
	{ "odd key",
	  PROC("entry") HTTP
	  "[fleet]\nkey = 00112233445566778899aabbccddeeff0\n" PLATFORM,
	  CODE_BAD_TYPE, "hexadecimal" },
	{ "both keys", ENTRY "[timing]\n[fleet]\n", CODE_SYNTAX, "twice" },
	{ "no key file",
	  PROC("entry") HTTP "[fleet]\nkey_file = no/such\n" PLATFORM,
	  CODE_FILE, "no/such" },
	{ "bad peers", PROC("entry") HTTP FLEET "peers = a@b\n" PLATFORM,
	  CODE_BAD_TYPE, "peers" },
	{ "peer twice",
	  PROC("entry") HTTP FLEET
	  "peers = a@127.0.0.1:1, a@127.0.0.1:2\n" PLATFORM,
	  CODE_BAD_TYPE, "peers" },
	{ "entry with backend", ENTRY BACKEND, CODE_UNKNOWN_SECTION,
	  "only for a sidecar" },
	{ "entry with wire",
	  PROC("entry") HTTP "wire = 127.0.0.1:1\n" FLEET PLATFORM,
	  CODE_UNKNOWN_KEY, "wire" },
	{ "sidecar without wire", PROC("sidecar") HTTP FLEET PLATFORM BACKEND,
	  CODE_MISSING_KEY, "wire" },
	{ "sidecar without backend",
	  PROC("sidecar") HTTP "wire = 127.0.0.1:1\n" FLEET PLATFORM,
	  CODE_MISSING_KEY, "[backend]" },
	{ "not UTF-8", "[process]\nname = \xff\n", CODE_SYNTAX, "UTF-8" },
	{ "after bracket", "[process] x\n", CODE_SYNTAX, "nothing after ]" },
	{ "open bracket", "[process\n", CODE_SYNTAX, "expected ]" },
};

static const bad_case_t bad_intents[] = {
	{ "claim window", "[fleet]\nclaim_window_s = 0\n", CODE_OUT_OF_RANGE,
	  "claim_window_s" },
	{ "claims outlive the log",
	  "[fleet]\nclaim_window_s = 51\nlog_retention_s = 101\n",
	  CODE_OUT_OF_RANGE, "f.ini:1: [fleet] claim_window_s" },
	{ "claims shorter than a request",
	  SERVICES "[fleet]\nclaim_window_s = 29\n[route stock/a]\n",
	  CODE_OUT_OF_RANGE, "f.ini:8: [route stock/a]" },
	{ "no kind", "[service a]\n", CODE_MISSING_KEY, "f.ini:1:" },
	{ "unnamed", "[service]\n", CODE_SYNTAX, "[service NAME]" },
	{ "bad name", "[service a/b]\n", CODE_BAD_TYPE, "[service a/b]" },
	{ "model with prefix", "[service a]\nkind = model\nprefix = /a\n",
	  CODE_UNKNOWN_KEY, "prefix" },
	{ "plain without prefix", "\n[service a]\nkind = plain\n",
	  CODE_MISSING_KEY, "f.ini:2: [service a] prefix" },
	{ "prefix of ours",
	  "[service a]\nkind = plain\nprefix = /v1/chat/completions\n",
	  CODE_BAD_REFERENCE, "served by the entries" },
	{ "overlap", SERVICES "[service a]\nkind = plain\nprefix = /stock/a\n",
	  CODE_BAD_REFERENCE, "overlaps" },
	{ "same prefix",
	  SERVICES "[service a]\nkind = plain\nprefix = /stock/\n",
	  CODE_BAD_REFERENCE, "overlaps" },
	{ "route of no service", "[route a/b]\n", CODE_BAD_REFERENCE,
	  "no such service" },
	{ "route without slash", "[route a]\n", CODE_BAD_TYPE, "SERVICE/NAME" },
	{ "route outside prefix", SERVICES "[route stock/a]\npath = /other\n",
	  CODE_BAD_REFERENCE, "prefix /stock/" },
	{ "route path of model", SERVICES "[route helper/a]\npath = /a\n",
	  CODE_UNKNOWN_KEY, "only for a plain service" },
	{ "same route",
	  SERVICES "[route stock/a]\npath = /stock/a\n"
		   "[route stock/b]\npath = /stock/a\n",
	  CODE_BAD_REFERENCE, "same calls" },
	{ "flag", SERVICES "[route stock/a]\nidempotent = true\n",
	  CODE_BAD_TYPE, "yes or no" },
	{ "digest", "[customer a]\nkey_sha256 = 00\n", CODE_BAD_TYPE,
	  "64 hexadecimal digits" },
	{ "same digest",
	  "[customer a]\nkey_sha256 = " KEY64
	  "\n[customer b]\nkey_sha256 = " KEY64 "\n",
	  CODE_BAD_REFERENCE, "[customer a]" },
	{ "tier", "[customer a]\nkey_sha256 = " KEY64 "\ntier = 4\n",
	  CODE_OUT_OF_RANGE, "from 0 to 3" },
	{ "weight", "[customer a]\nkey_sha256 = " KEY64 "\nweight = 0\n",
	  CODE_OUT_OF_RANGE, "weight" },
	{ "version of no service", "[version a/v1]\n", CODE_BAD_REFERENCE,
	  "no such service" },
	{ "replaces nothing", SERVICES "[version helper/v2]\nreplaces = v1\n",
	  CODE_BAD_REFERENCE, "no other version v1" },
	{ "replaces itself", SERVICES "[version helper/v2]\nreplaces = v2\n",
	  CODE_BAD_REFERENCE, "no other version v2" },
	{ "two in place", SERVICES "[version helper/v1]\n[version helper/v2]\n",
	  CODE_BAD_REFERENCE, "without replaces" },
	{ "two moves",
	  SERVICES "[version helper/v1]\n[version helper/v2]\nreplaces = v1\n"
		   "[version helper/v3]\nreplaces = v1\n",
	  CODE_BAD_REFERENCE, "with replaces" },
	{ "by without a move",
	  SERVICES "[version helper/v1]\nby = 2027-01-10T12:00:00Z\n",
	  CODE_BAD_REFERENCE, "only with replaces" },
	{ "by with an offset",
	  SERVICES "[version helper/v1]\nby = 2027-01-10T12:00:00+01:00\n",
	  CODE_BAD_TYPE, "2027-01-10T12:00:00Z" },
	{ "by on no day",
	  SERVICES "[version helper/v1]\nby = 2027-02-30T12:00:00Z\n",
	  CODE_BAD_TYPE, "2027-01-10T12:00:00Z" },
	{ "percent",
	  SERVICES "[version helper/v1]\n[version helper/v2]\nreplaces = v1\n"
		   "first_percent = 101\n",
	  CODE_OUT_OF_RANGE, "first_percent" },
	{ "section twice", "[service a]\nkind = model\n[service a]\n",
	  CODE_SYNTAX, "f.ini:3: [service a]: section given twice" },
};

static void expect_error(const bad_case_t *c, bool made, GError *err)
{
	ck_assert_msg(!made, "%s: was taken", c->name);
	ck_assert(err->domain == code_quark());
	ck_assert_msg(err->code == (int)c->code, "%s: %d %s", c->name,
		      err->code, err->message);
	ck_assert_msg(strstr(err->message, c->says) != NULL, "%s: %s", c->name,
		      err->message);
	ck_assert_msg(strstr(err->message, "f.ini") || c->code == CODE_FILE,
		      "%s: %s", c->name, err->message);
	g_error_free(err);
}

START_TEST(settings_refused)
{
	const bad_case_t *c = &bad_settings[_i];
	GError *err = NULL;
	settings_t *s = settings_parse(c->text, "f.ini", &err);

	expect_error(c, s != NULL, err);
}
END_TEST

START_TEST(intent_refused)
{
	const bad_case_t *c = &bad_intents[_i];
	GError *err = NULL;
	intent_t *in = intent_parse(c->text, "f.ini", &err);

	expect_error(c, in != NULL, err);
}
END_TEST

START_TEST(settings_taken)
{
	GError *err = NULL;
	settings_t *s = settings_parse(
		SIDE "[timing]\n  silent_ms = 3000 ; x\n", "f.ini", &err);
	char text[64];

	ck_assert_msg(s != NULL, "%s", err ? err->message : "");
	ck_assert_int_eq(s->role, ROLE_SIDECAR);
	ck_assert_str_eq(s->data_center, "lj-1");
	addr_print(&s->wire, text);
	ck_assert_str_eq(text, "[::1]:8090");
	ck_assert_uint_eq(s->key_len, 16);
	ck_assert_uint_eq(s->key[15], 0xff);
	ck_assert(s->backend_is_model);
	ck_assert_int_eq(s->silent, 3000);
	ck_assert_int_eq(s->heartbeat, 500);
	ck_assert_uint_eq(s->body_max, 1 << 20);
	settings_free(s);
}
END_TEST

START_TEST(peers_longer_than_a_short_line)
{
	GString *text = g_string_new(PROC("entry") HTTP FLEET "peers = ");
	GError *err = NULL;
	settings_t *s;

	for (int i = 0; i < 200; i++)
		g_string_append_printf(text, "%sside-%d@10.0.0.%d:8091",
				       i ? ", " : "", i, i + 1);
	g_string_append(text, "\n" PLATFORM);
	s = settings_parse(text->str, "f.ini", &err);
	ck_assert_msg(s != NULL, "%s", err ? err->message : "");
	ck_assert_uint_eq(s->npeers, 200);
	ck_assert_str_eq(s->peers[199].name, "side-199");
	ck_assert_str_eq(s->peers[199].addr.ip, "10.0.0.200");
	settings_free(s);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(key_file_is_beside_the_settings)
{
	char *dir = g_dir_make_tmp("conf-XXXXXX", NULL);
	char *key = g_build_filename(dir, "fleet.key", NULL);
	char *ini = g_build_filename(dir, "a.ini", NULL);
	GError *err = NULL;
	settings_t *s;

	g_file_set_contents(key, KEY64 "\n", -1, NULL);
	g_file_set_contents(ini,
			    PROC("entry") HTTP "[fleet]\nkey_file = fleet.key\n"
					       "intent_file = i.ini\n" PLATFORM,
			    -1, NULL);
	s = settings_load(ini, &err);
	ck_assert_msg(s != NULL, "%s", err ? err->message : "");
	ck_assert_uint_eq(s->key_len, 32);
	ck_assert(g_str_has_prefix(s->intent_file, dir));
	settings_free(s);
	remove(key);
	remove(ini);
	remove(dir);
	g_free(key);
	g_free(ini);
	g_free(dir);
}
END_TEST

START_TEST(intent_taken)
{
	GError *err = NULL;
	intent_t *in = intent_parse(
		SERVICES "[route stock/order]\npath = /stock/order\n"
			 "method = POST\nkey_needed = yes\n"
			 "[route stock/any]\npath = /stock/\nidempotent = yes\n"
			 "[version helper/v1]\n[version helper/v2]\n"
			 "replaces = v1\nby = 2027-01-10T12:00:00Z\n",
		"f.ini", &err);
	const version_t *v;

	ck_assert_msg(in != NULL, "%s", err ? err->message : "");
	ck_assert_uint_eq(in->claim_window_s, 3600);
	ck_assert_str_eq(intent_service_by_path(in, "/stock/x")->name, "stock");
	ck_assert(!intent_service_by_path(in, "/other"));
	ck_assert_str_eq(
		intent_route(in, "stock", "POST", "/stock/order/7")->name,
		"order");
	ck_assert_str_eq(intent_route(in, "stock", "GET", "/stock/order")->name,
			 "any");
	ck_assert(!intent_route(in, "helper", "POST", "/x"));
	v = intent_version(in, "helper", "v2");
	ck_assert_int_eq(v->by, 1799582400);
	ck_assert_uint_eq(v->first_percent, 2);
	ck_assert_int_eq(intent_service(in, "helper")->token_gap, 70);
	intent_free(in);
}
END_TEST

START_TEST(customers_by_key)
{
	GString *text = g_string_new(NULL);
	GError *err = NULL;
	intent_t *in;

	for (int i = 0; i < 2200; i++) {
		char *key = g_strdup_printf("key-%d", i);
		char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
							  key, -1);

		g_string_append_printf(
			text, "[customer c-%d]\nkey_sha256 = %s\n", i, sum);
		g_free(key);
		g_free(sum);
	}
	in = intent_parse(text->str, "f.ini", &err);
	ck_assert_msg(in != NULL, "%s", err ? err->message : "");
	ck_assert_str_eq(intent_customer_by_key(in, "key-2199")->name,
			 "c-2199");
	ck_assert(!intent_customer_by_key(in, "key-2200"));
	ck_assert_int_eq(intent_customer(in, "c-7")->tier, 1);
	intent_free(in);
	g_string_free(text, TRUE);
}
END_TEST

#define EDGE_SETTINGS                                                          \
	"[process]\nname = h1\ndata_center = lj-1\n"                           \
	"[listen]\npeers = 127.0.0.1:7600\n" FLEET "[bounds]\n"

/* A bound as the platform may write it; each may be a fraction. */
typedef struct bound_case {
	const char *key;
	const char *value;
	size_t at;
	double real; /* what is read, of a number */
	ms_t span;   /* what is read, of a span; 0: it is a number */
	code_t code;
} bound_case_t;

#define BOUND(m) offsetof(edge_settings_t, m)

static const bound_case_t bound_cases[] = {
	{ "drain_ms", "3000.0", BOUND(drain), 0, 3000, CODE_OK },
	{ "drain_ms", "1500.75", BOUND(drain), 0, 1500, CODE_OK },
	{ "settle_ms", "4000.5", BOUND(settle), 0, 4000, CODE_OK },
	{ "config_ms", "2000.5", BOUND(config), 0, 2000, CODE_OK },
	{ "grace_s", "8.25", BOUND(grace), 0, 8250, CODE_OK },
	{ "retry_ratio", "0.2", BOUND(retry_ratio), 0.2, 0, CODE_OK },
	{ "retry_slack", "36.1764705882353", BOUND(retry_slack),
	  36.1764705882353, 0, CODE_OK },
	{ "retry_slack", "54", BOUND(retry_slack), 54, 0, CODE_OK },
	{ "retry_window_s", "9.7", BOUND(retry_window), 0, 9700, CODE_OK },
	{ "quota_tolerance", "1e-1", BOUND(quota_tolerance), 0.1, 0, CODE_OK },
	{ "quota_slack", "27941.17", BOUND(quota_slack), 27941.17, 0, CODE_OK },
	{ "quota_window_s", "8.5", BOUND(quota_window), 0, 8500, CODE_OK },
	{ "canary_share", "0.125", BOUND(canary_share), 0.125, 0, CODE_OK },
	{ "canary_slack", "50.5", BOUND(canary_slack), 50.5, 0, CODE_OK },
	{ "retry_slack", "nan", 0, 0, 0, CODE_BAD_TYPE },
	{ "retry_slack", "3s", 0, 0, 0, CODE_BAD_TYPE },
	{ "retry_slack", "-0.5", 0, 0, 0, CODE_OUT_OF_RANGE },
	{ "quota_slack", "inf", 0, 0, 0, CODE_OUT_OF_RANGE },
	{ "canary_share", "1.01", 0, 0, 0, CODE_OUT_OF_RANGE },
	{ "canary_slack", "-1", 0, 0, 0, CODE_OUT_OF_RANGE },
	{ "grace_s", "0.5", 0, 0, 0, CODE_OUT_OF_RANGE },
};

START_TEST(bounds_may_be_fractions)
{
	const bound_case_t *c = &bound_cases[_i];
	char *text =
		g_strdup_printf(EDGE_SETTINGS "%s = %s\n", c->key, c->value);
	GError *err = NULL;
	edge_settings_t *set = edge_settings_parse(text, "f.ini", &err);

	g_free(text);
	if (c->code != CODE_OK) {
		ck_assert_ptr_null(set);
		ck_assert_int_eq(err->code, (int)c->code);
		ck_assert(strstr(err->message, c->key) != NULL);
		g_error_free(err);
		return;
	}
	ck_assert_msg(set != NULL, "%s", err ? err->message : "");
	if (c->span)
		ck_assert_int_eq(G_STRUCT_MEMBER(ms_t, set, c->at), c->span);
	else
		ck_assert_double_eq(G_STRUCT_MEMBER(double, set, c->at),
				    c->real);
	edge_settings_free(set);
}
END_TEST

/* Regions of the data centres, as the platform fills them in. */
typedef struct regions_case {
	const char *value;
	unsigned int known; /* data centres with a region */
	code_t code;
} regions_case_t;

static const regions_case_t regions_cases[] = {
	{ "lj-1:lj", 1, CODE_OK },
	{ "lj-1:lj,lj-2:lj", 2, CODE_OK },
	/* Settings that hold no data centre: the host did not start. */
	{ "", 0, CODE_OK },
	{ "lj-1", 0, CODE_BAD_TYPE },
	{ "lj-1:", 0, CODE_BAD_TYPE },
	{ "lj-1:lj,", 0, CODE_BAD_TYPE },
	{ ",", 0, CODE_BAD_TYPE },
};

START_TEST(regions_may_be_empty)
{
	const regions_case_t *c = &regions_cases[_i];
	char *text = g_strdup_printf(
		"[process]\nname = h1\ndata_center = lj-1\nregions = %s\n" FLEET
		"[listen]\npeers = 127.0.0.1:83\n",
		c->value);
	GError *err = NULL;
	edge_settings_t *set = edge_settings_parse(text, "f.ini", &err);

	g_free(text);
	if (c->code == CODE_OK) {
		ck_assert_msg(set != NULL, "%s", err ? err->message : "");
		ck_assert_uint_eq(g_hash_table_size(set->regions), c->known);
	} else {
		ck_assert_ptr_null(set);
		ck_assert_int_eq(err->code, (int)c->code);
		g_error_free(err);
	}
	edge_settings_free(set);
}
END_TEST

/* Addresses of the listeners; code: what reading them gives. */
typedef struct listen_case {
	const char *callers;
	const char *ready;
	const char *metrics;
	const char *peers;
	code_t code;
	const char *why; /* in the message */
} listen_case_t;

static const listen_case_t listen_cases[] = {
	{ "127.0.0.1:80", "127.0.0.1:81", "127.0.0.1:82", "127.0.0.1:83",
	  CODE_OK, NULL },
	{ "127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:80", "127.0.0.4:80",
	  CODE_OK, NULL },
	{ "127.0.0.1:80", "127.0.0.1:80", "127.0.0.1:82", "127.0.0.1:83",
	  CODE_BAD_REFERENCE, "ready" },
	{ "127.0.0.1:80", "127.0.0.1:81", "127.0.0.1:81", "127.0.0.1:83",
	  CODE_BAD_REFERENCE, "metrics" },
	{ "127.0.0.1:80", "127.0.0.1:81", "127.0.0.1:82", "127.0.0.1:80",
	  CODE_BAD_REFERENCE, "peers" },
	{ "0.0.0.0:80", "127.0.0.1:81", "127.0.0.1:82", "127.0.0.1:80",
	  CODE_BAD_REFERENCE, "peers" },
	{ "127.0.0.1:80", "[::]:80", "127.0.0.1:82", "127.0.0.1:83",
	  CODE_BAD_REFERENCE, "ready" },
};

START_TEST(listeners_differ)
{
	const listen_case_t *c = &listen_cases[_i];
	char *text = g_strdup_printf(
		"[process]\nname = h1\ndata_center = lj-1\n" FLEET
		"[listen]\ncallers = %s\nready = %s\nmetrics = %s\n"
		"peers = %s\n",
		c->callers, c->ready, c->metrics, c->peers);
	GError *err = NULL;
	edge_settings_t *set = edge_settings_parse(text, "f.ini", &err);

	g_free(text);
	if (c->code == CODE_OK) {
		ck_assert_msg(set != NULL, "%s", err ? err->message : "");
	} else {
		ck_assert_ptr_null(set);
		ck_assert_int_eq(err->code, (int)c->code);
		ck_assert_msg(strstr(err->message, c->why) != NULL, "%s",
			      err->message);
		g_error_free(err);
	}
	edge_settings_free(set);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, settings_refused, 0,
			    G_N_ELEMENTS(bad_settings));
	tcase_add_loop_test(tc, intent_refused, 0, G_N_ELEMENTS(bad_intents));
	tcase_add_test(tc, settings_taken);
	tcase_add_loop_test(tc, bounds_may_be_fractions, 0,
			    G_N_ELEMENTS(bound_cases));
	tcase_add_loop_test(tc, regions_may_be_empty, 0,
			    G_N_ELEMENTS(regions_cases));
	tcase_add_loop_test(tc, listeners_differ, 0,
			    G_N_ELEMENTS(listen_cases));
	tcase_add_test(tc, peers_longer_than_a_short_line);
	tcase_add_test(tc, key_file_is_beside_the_settings);
	tcase_add_test(tc, intent_taken);
	tcase_add_test(tc, customers_by_key);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? 1 : 0;
}
