/*
 * Odd records of other writers: nested deeply, with numbers too large, with
 * bytes that are no text. An odd record costs itself alone.
 */
#include <check.h>
#include "adapter.h"

enum {
	NESTED = 100000, /* levels; more than a decoder's stack bears */
};

/* Returns text with each '@' replaced by so many brackets, and their ends. */
static char *nest(const char *text)
{
	GString *out = g_string_new(NULL);

	for (; *text; text++) {
		if (*text != '@') {
			g_string_append_c(out, *text);
			continue;
		}
		for (int i = 0; i < NESTED; i++)
			g_string_append_c(out, '[');
		for (int i = 0; i < NESTED; i++)
			g_string_append_c(out, ']');
	}
	return g_string_free(out, FALSE);
}

typedef struct server_case {
	const char *name;
	const char *key;
	const char *text;
	code_t code;
} server_case_t;

#define SERVER(addr, version, slots, extra)                                    \
	"{\"service\":\"s\",\"addr\":\"" addr "\",\"zone\":\"a\","             \
	"\"version\":\"" version "\",\"slots\":" slots                         \
	",\"state\":\"ready\",\"seq\":4" extra "}"
#define PLAIN(extra) SERVER("10.0.0.1:80", "v1", "9", extra)

static const server_case_t server_cases[] = {
	{ "sound", "i-1", PLAIN(""), CODE_OK },
	{ "nested", "i-1", PLAIN(",\"x\":@"), CODE_BAD_RECORD },
	{ "number too large", "i-1", PLAIN(",\"x\":99999999999999999999"),
	  CODE_BAD_RECORD },
	{ "real too large", "i-1", PLAIN(",\"x\":1e999"), CODE_BAD_RECORD },
	{ "slots too large", "i-1",
	  SERVER("10.0.0.1:80", "v1", "9000000000", ""), CODE_BAD_RECORD },
	{ "start time too large", "i-1", PLAIN(",\"born\":1e300"),
	  CODE_BAD_RECORD },
	{ "port too large", "i-1", SERVER("10.0.0.1:65536", "v1", "9", ""),
	  CODE_BAD_RECORD },
	{ "port of 20 digits", "i-1",
	  SERVER("10.0.0.1:99999999999999999999", "v1", "9", ""),
	  CODE_BAD_RECORD },
	{ "no port", "i-1", SERVER("10.0.0.1:", "v1", "9", ""),
	  CODE_BAD_RECORD },
	/* The key and the version go into fields of requests. */
	{ "a field in the key", "i-1\r\nX-Hold: 1", PLAIN(""),
	  CODE_BAD_RECORD },
	{ "a blank in the key", "i 1", PLAIN(""), CODE_BAD_RECORD },
	{ "no text in the key", "i-\xff", PLAIN(""), CODE_BAD_RECORD },
	{ "a field in the version", "i-1",
	  SERVER("10.0.0.1:80", "v1\\r\\nX-Hold: 1", "9", ""),
	  CODE_BAD_RECORD },
};

START_TEST(test_server)
{
	const server_case_t *c = &server_cases[_i];
	char *text = nest(c->text);
	const char *why = NULL;
	server_record_t r;
	code_t code =
		adapter_parse_server(str_of(c->key), str_of(text), &r, &why);

	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	if (code == CODE_OK)
		adapter_server_clear(&r);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("records");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, test_server, 0, G_N_ELEMENTS(server_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
