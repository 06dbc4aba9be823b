/* Which requests have the same content. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include "forward/priv.h"

typedef struct ask {
	const char *method;
	const char *host;
	const char *path;
	const char *customer; /* NULL: none */
	const char *body;
	const char *id;
} ask_t;

typedef struct content_case {
	const char *name;
	ask_t a;
	ask_t b;
	bool same;
} content_case_t;

#define SOME "POST", "h.example", "/a/1?q=2", "c", "body"

static const content_case_t content_cases[] = {
	{ "a repeat with an id of its own",
	  { SOME, "1" },
	  { SOME, "2" },
	  true },
	{ "no body",
	  { "GET", "h", "/a", "c", "", "1" },
	  { "GET", "h", "/a", "c", "", "2" },
	  true },
	{ "another method",
	  { SOME, "1" },
	  { "PUT", "h.example", "/a/1?q=2", "c", "body", "1" },
	  false },
	{ "another host",
	  { SOME, "1" },
	  { "POST", "g.example", "/a/1?q=2", "c", "body", "1" },
	  false },
	{ "another path",
	  { SOME, "1" },
	  { "POST", "h.example", "/a/2?q=2", "c", "body", "1" },
	  false },
	{ "another query",
	  { SOME, "1" },
	  { "POST", "h.example", "/a/1?q=3", "c", "body", "1" },
	  false },
	{ "another customer",
	  { SOME, "1" },
	  { "POST", "h.example", "/a/1?q=2", "d", "body", "1" },
	  false },
	{ "no customer",
	  { SOME, "1" },
	  { "POST", "h.example", "/a/1?q=2", NULL, "body", "1" },
	  false },
	{ "another body",
	  { SOME, "1" },
	  { "POST", "h.example", "/a/1?q=2", "c", "bodz", "1" },
	  false },
	{ "a byte of the path in the body",
	  { "GET", "h", "/ab", "c", "d", "1" },
	  { "GET", "h", "/a", "c", "bd", "1" },
	  false },
	{ "a byte of the customer in the body",
	  { "GET", "h", "/a", "cd", "e", "1" },
	  { "GET", "h", "/a", "c", "de", "1" },
	  false },
};

static uint64_t hash_of(const ask_t *a)
{
	http_head_t h = { .method = str_of(a->method),
			  .target = str_of(a->path) };
	call_info_t call = { .id = str_of(a->id),
			     .host = str_of(a->host),
			     .target = h.target };
	GByteArray *body = g_byte_array_new();
	uint64_t sum;

	g_byte_array_append(body, (const guint8 *)a->body,
			    (guint)strlen(a->body));
	sum = content_of(content_of_head(&h, &call), a->customer, body);
	g_byte_array_free(body, TRUE);
	return sum;
}

START_TEST(repeats_have_the_same_content)
{
	const content_case_t *c = &content_cases[_i];

	ck_assert_msg((hash_of(&c->a) == hash_of(&c->b)) == c->same, "%s",
		      c->name);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("content");
	TCase *t = tcase_create("content");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, repeats_have_the_same_content, 0,
			    G_N_ELEMENTS(content_cases));
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
