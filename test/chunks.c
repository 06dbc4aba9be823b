/*
 * Lines of the chunked coding that two parsers could read differently: a body
 * that hides a request from one of them. Each has to be refused.
 */
#include <check.h>
#include <string.h>
#include "http/fns.h"

enum {
	HEAD_MAX = 512, /* bytes */
};

static bool on_head(void *ctx, const http_head_t *h)
{
	return false;
}

static void on_body(void *ctx, str_t data)
{
}

static void on_end(void *ctx)
{
}

static const http_reader_ops_t ops = { on_head, on_body, on_end };

typedef struct chunk_case {
	const char *name;
	const char *body;
	code_t code;
} chunk_case_t;

#define END "0\r\n\r\n"

static const chunk_case_t cases[] = {
	{ "sound", "2\r\nab\r\n" END, CODE_OK },
	{ "an extension", "2;a=b\r\nab\r\n" END, CODE_OK },
	{ "blank before the size", " 2\r\nab\r\n" END, CODE_BAD_REQUEST },
	{ "signed size", "+2\r\nab\r\n" END, CODE_BAD_REQUEST },
	{ "bare line feeds", "2\nab\n0\n\n", CODE_BAD_REQUEST },
	{ "a line feed in an extension", "2;\nxx\r\nab\r\n" END,
	  CODE_BAD_REQUEST },
	{ "a return alone after the size", "2\rXab\r\n" END, CODE_BAD_REQUEST },
	{ "data longer than its size", "2\r\nabXX" END, CODE_BAD_REQUEST },
};

START_TEST(test_chunks)
{
	const chunk_case_t *c = &cases[_i];
	char *text = g_strconcat("POST / HTTP/1.1\r\nHost: x\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n",
				 c->body, NULL);
	size_t n = strlen(text);
	code_t code = CODE_OK;
	http_reader_t in;
	size_t at = 0;
	size_t used;

	http_reader_init(&in, true, HEAD_MAX, &ops, NULL);
	while (at < n && code == CODE_OK) {
		code = http_reader_feed(&in, text + at, n - at, &used);
		at += used;
	}
	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	http_reader_clear(&in);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("chunks");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_chunks, 0, G_N_ELEMENTS(cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
