/*
 * Bytes within, before and after the name of an answer's field. Any but those
 * of a name refuses the answer: the line would be passed on as it is, or frame
 * a body that is not the server's.
 */
#include <check.h>
#include <string.h>
#include "http/fns.h"

enum {
	HEAD_MAX = 512, /* bytes */
	OCTETS = 256,
};

static bool on_head(void *ctx, const http_head_t *h)
{
	*(unsigned int *)ctx += 1;
	return false;
}

static void on_body(void *ctx, str_t data)
{
}

static void on_end(void *ctx)
{
}

static const http_reader_ops_t ops = { on_head, on_body, on_end };

/* The bytes that the name of a field is made of. */
static bool is_name_octet(int octet)
{
	return octet && (g_ascii_isalnum((char)octet) ||
			 strchr("!#$%&'*+-.^_`|~", octet));
}

/* Where the byte goes, and what is sound there beside or unlike in a name. */
typedef struct place {
	const char *before;
	const char *after;
	int also;  /* 0: none */
	int never; /* 0: none */
} place_t;

#define OK200 "HTTP/1.1 200 OK\r\n"
#define REST  "Content-Length: 2\r\n\r\nab"

static const place_t places[] = {
	/* A colon begins the value, a dash gives two lengths. */
	{ OK200 "Content", "Length: 1\r\n" REST, ':', '-' },
	{ OK200, "Content-Length: 1\r\n" REST, 0, 0 },
	{ OK200 "Content-Length", ": 1\r\n" REST, 0, 0 },
};

static bool is_sound(const place_t *at, int octet)
{
	if (octet && octet == at->never)
		return false;
	return is_name_octet(octet) || (octet && octet == at->also);
}

START_TEST(test_field_names)
{
	const place_t *at = &places[_i];

	for (int octet = 0; octet < OCTETS; octet++) {
		bool sound = is_sound(at, octet);
		GString *text = g_string_new(at->before);
		unsigned int heads = 0;
		http_reader_t in;
		size_t used = 0;
		code_t code;

		g_string_append_c(text, (char)octet);
		g_string_append(text, at->after);
		http_reader_init(&in, false, HEAD_MAX, &ops, &heads);
		code = http_reader_feed(&in, text->str, text->len, &used);
		ck_assert_msg(code == (sound ? CODE_OK : CODE_BAD_REQUEST),
			      "octet %d: code %d", octet, code);
		ck_assert_msg(heads == sound, "octet %d: passed on", octet);
		http_reader_clear(&in);
		g_string_free(text, TRUE);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fields");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_field_names, 0, G_N_ELEMENTS(places));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
