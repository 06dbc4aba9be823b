/* HTTP messages that are read or refused, and streams split into events. */
#include <check.h>
#include <string.h>
#include <time.h>
#include "http/fns.h"

enum {
	HEAD_MAX = 512,		 /* bytes */
	ENDLESS = 1 << 20,	 /* bytes fed of what does not end */
	EVENT_BYTES = 256 << 10, /* of an event that comes byte by byte */
	SMALL_EVENTS = 1 << 18,
	PIECE = 64 << 10,    /* bytes of a read */
	PROCESSOR_MS = 1000, /* for any of these */
};

/* What a reader reported of the messages fed to it. */
typedef struct seen {
	bool open; /* a head has come, its end has not */
	unsigned int heads;
	unsigned int ends;
	int status;
	GString *target;
	GString *body;
} seen_t;

static bool on_head(void *ctx, const http_head_t *h)
{
	seen_t *s = ctx;

	ck_assert(!s->open);
	s->open = true;
	s->heads++;
	s->status = h->status;
	g_string_truncate(s->target, 0);
	g_string_append_len(s->target, h->target.p, (gssize)h->target.n);
	return false;
}

static void on_body(void *ctx, str_t data)
{
	seen_t *s = ctx;

	ck_assert(s->open);
	g_string_append_len(s->body, data.p, (gssize)data.n);
}

static void on_end(void *ctx)
{
	seen_t *s = ctx;

	ck_assert(s->open);
	s->open = false;
	s->ends++;
}

static const http_reader_ops_t ops = { on_head, on_body, on_end };

static void seen_init(seen_t *s)
{
	memset(s, 0, sizeof(*s));
	s->target = g_string_new(NULL);
	s->body = g_string_new(NULL);
}

static void seen_clear(seen_t *s)
{
	g_string_free(s->target, TRUE);
	g_string_free(s->body, TRUE);
}

/* Feeds text in pieces of at most step bytes until a message is refused. */
static code_t feed(http_reader_t *in, const char *text, size_t n, size_t step)
{
	code_t code = CODE_OK;
	size_t at = 0;
	size_t used;

	while (at < n && code == CODE_OK) {
		code = http_reader_feed(in, text + at, MIN(step, n - at),
					&used);
		at += used;
	}
	return code;
}

typedef struct head_case {
	const char *name;
	const char *text;
	code_t code;
	unsigned int ends; /* complete messages */
	const char *body;
} head_case_t;

#define POST "POST /a/b?c HTTP/1.1\r\nHost: x\r\n"

static const head_case_t requests[] = {
	{ "no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", CODE_OK, 1, "" },
	{ "length", POST "Content-Length: 3\r\n\r\nabc", CODE_OK, 1, "abc" },
	{ "chunks",
	  POST
	  "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	  CODE_OK, 1, "abc" },
	{ "two in a row",
	  "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
	  CODE_OK, 2, "" },
	{ "not complete", POST "Content-Length: 3\r\n\r\nab", CODE_OK, 0,
	  "ab" },
	{ "two lengths",
	  POST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	  CODE_BAD_REQUEST, 0, "" },
	{ "length repeated",
	  POST "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	  CODE_BAD_REQUEST, 0, "" },
	{ "length before chunked",
	  POST
	  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "chunked before length",
	  POST
	  "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "unknown encoding", POST "Transfer-Encoding: xchunked\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "two encodings", POST "Transfer-Encoding: gzip, chunked\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "signed length", POST "Content-Length: +3\r\n\r\nabc",
	  CODE_BAD_REQUEST, 0, "" },
	{ "list of lengths", POST "Content-Length: 3, 3\r\n\r\nabc",
	  CODE_BAD_REQUEST, 0, "" },
	{ "blank before the colon", POST "Content-Length : 3\r\n\r\nabc",
	  CODE_BAD_REQUEST, 0, "" },
	{ "folded", POST "A: b\r\n c\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "bare line feed", "GET / HTTP/1.1\nHost: x\r\n\r\n", CODE_BAD_REQUEST,
	  0, "" },
	{ "bare return", POST "A: b\rc\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "no name", POST ": b\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "no host", "GET / HTTP/1.1\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "two hosts", POST "Host: y\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "bad chunk",
	  POST "Transfer-Encoding: chunked\r\n\r\nxx\r\nab\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "not HTTP", "hello\r\n\r\n", CODE_BAD_REQUEST, 0, "" },
	{ "chunks in HTTP/1.0",
	  "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "another major version", "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	/* The body of a CONNECT was read as the next request. */
	{ "a request within a tunnel",
	  "CONNECT x:1 HTTP/1.1\r\nHost: x\r\nContent-Length: 27\r\n\r\n"
	  "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "a tunnel without a body", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
	  CODE_BAD_REQUEST, 0, "" },
	{ "a request within an upgrade",
	  POST "Upgrade: x\r\nConnection: upgrade\r\nContent-Length: 27\r\n\r\n"
	       "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	  CODE_OK, 1, "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
	{ "an upgrade without a body",
	  "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: x\r\nConnection: upgrade\r\n"
	  "\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
	  CODE_OK, 2, "" },
};

static void run_request(const head_case_t *c, size_t step)
{
	http_reader_t in;
	seen_t s;
	code_t code;

	seen_init(&s);
	http_reader_init(&in, true, HEAD_MAX, &ops, &s);
	code = feed(&in, c->text, strlen(c->text), step);
	ck_assert_msg(code == c->code, "%s by %zu: code %d", c->name, step,
		      code);
	ck_assert_msg(s.ends == c->ends, "%s by %zu: %u ends", c->name, step,
		      s.ends);
	ck_assert_str_eq(s.body->str, c->body);
	http_reader_clear(&in);
	seen_clear(&s);
}

START_TEST(test_requests)
{
	const head_case_t *c = &requests[_i];

	run_request(c, strlen(c->text));
	run_request(c, 1);
	run_request(c, 7);
}
END_TEST

START_TEST(test_large_head)
{
	GString *text = g_string_new(POST "A: ");
	http_reader_t in;
	seen_t s;

	seen_init(&s);
	for (int i = 0; i < HEAD_MAX; i++)
		g_string_append_c(text, 'x');
	http_reader_init(&in, true, HEAD_MAX, &ops, &s);
	ck_assert_int_eq(feed(&in, text->str, text->len, 100), CODE_TOO_LARGE);
	ck_assert_uint_eq(s.heads, 0);
	http_reader_clear(&in);
	g_string_free(text, TRUE);
	seen_clear(&s);
}
END_TEST

/* One step: bytes for one of two readers. */
typedef struct mixed_step {
	unsigned int reader;
	const char *text;
	code_t code;
} mixed_step_t;

typedef struct mixed_case {
	const char *name;
	mixed_step_t steps[4]; /* the last ones may be left out */
	unsigned int ends;     /* of the first reader */
	const char *target;    /* of its last message */
} mixed_case_t;

#define CHUNKED_POST POST "Transfer-Encoding: chunked\r\n\r\n"

/*
 * Trailers that come in pieces, with other heads in between. They were read
 * into the head that all readers share, and past its fields.
 */
static const mixed_case_t mixed_cases[] = {
	{ "a head without fields within a trailer",
	  { { 0, CHUNKED_POST "1\r\na\r\n0\r\nA: bb", CODE_OK },
	    { 1, "GET / HTTP/1.1\r\n\r\n", CODE_BAD_REQUEST },
	    { 0, "bb\r\nC: d\r\n\r\n", CODE_OK } },
	  1,
	  "/a/b?c" },
	{ "bytes that are no head within a trailer",
	  { { 0, CHUNKED_POST "0\r\nA: b", CODE_OK },
	    { 1, "junk\r\n\r\n", CODE_BAD_REQUEST },
	    { 0, "b\r\n\r\n", CODE_OK } },
	  1,
	  "/a/b?c" },
	{ "a name in pieces",
	  { { 0, CHUNKED_POST "0\r\nAaa", CODE_OK },
	    { 1, "GET /2 HTTP/1.1\r\nHost: y\r\n\r\n", CODE_OK },
	    { 0, "aa: b\r\n\r\n", CODE_OK } },
	  1,
	  "/a/b?c" },
};

START_TEST(test_trailers_beside_heads)
{
	const mixed_case_t *c = &mixed_cases[_i];
	http_reader_t in[2];
	seen_t s[2] = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(in); i++) {
		seen_init(&s[i]);
		http_reader_init(&in[i], true, HEAD_MAX, &ops, &s[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(c->steps); i++) {
		const mixed_step_t *step = &c->steps[i];
		char *copy = g_strdup(step->text ? step->text : "");
		code_t code;

		code = feed(&in[step->reader], copy, strlen(copy), SIZE_MAX);
		ck_assert_msg(code == step->code, "%s, step %zu: code %d",
			      c->name, i, code);
		g_free(copy);
	}
	ck_assert_msg(s[0].ends == c->ends, "%s: %u ends", c->name, s[0].ends);
	ck_assert_str_eq(s[0].target->str, c->target);
	for (size_t i = 0; i < G_N_ELEMENTS(in); i++) {
		http_reader_clear(&in[i]);
		seen_clear(&s[i]);
	}
}
END_TEST

typedef struct answer_case {
	const char *name;
	const char *text;
	code_t code; /* of http_reader_feed */
	code_t eof;
	unsigned int ends; /* messages, once the connection has ended */
	const char *body;
} answer_case_t;

#define OK200	"HTTP/1.1 200 OK\r\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\n"

static const answer_case_t answers[] = {
	{ "length", OK200 "Content-Length: 2\r\n\r\nab", CODE_OK, CODE_OK, 1,
	  "ab" },
	{ "interim first",
	  "HTTP/1.1 100 Continue\r\n\r\n" OK200 "Content-Length: 1\r\n\r\na",
	  CODE_OK, CODE_OK, 1, "a" },
	{ "ended by close", OK200 "\r\nab", CODE_OK, CODE_OK, 1, "ab" },
	{ "shorter than its length", OK200 "Content-Length: 3\r\n\r\nab",
	  CODE_OK, CODE_CUT, 0, "ab" },
	{ "last chunk missing",
	  OK200 "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", CODE_OK,
	  CODE_CUT, 0, "a" },
	{ "head cut off", OK200 "Content-Le", CODE_OK, CODE_CUT, 0, "" },
	{ "not HTTP", "\x16\x03\x01 garbage\r\n\r\n", CODE_BAD_REQUEST, CODE_OK,
	  0, "" },
	{ "two answers",
	  OK200 "Content-Length: 1\r\n\r\na" OK200 "Content-Length: 1\r\n\r\nb",
	  CODE_OK, CODE_OK, 2, "ab" },
	/* A body without its head ended the process that read it. */
	{ "interim with a length", INTERIM "Content-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "interim with no length", INTERIM "Content-Length: 0\r\n\r\n",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "interim in chunks",
	  INTERIM "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "switch to another protocol",
	  "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n"
	  "Connection: upgrade\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	/* Heads that no body follows, whatever they announce. */
	{ "not modified, with a length",
	  "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n" OK200
	  "Content-Length: 1\r\n\r\na",
	  CODE_OK, CODE_OK, 2, "a" },
	{ "not modified, in chunks",
	  "HTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n" OK200
	  "Content-Length: 1\r\n\r\na",
	  CODE_OK, CODE_OK, 2, "a" },
	{ "no content", "HTTP/1.1 204 No\r\n\r\n", CODE_OK, CODE_OK, 1, "" },
	{ "no content, with a length of 0",
	  "HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n", CODE_OK, CODE_OK, 1,
	  "" },
	{ "no content, with a length",
	  "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nab", CODE_BAD_REQUEST,
	  CODE_OK, 0, "" },
	{ "no content, in chunks",
	  "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "chunks in HTTP/1.0",
	  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "status of two digits",
	  "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nab", CODE_BAD_REQUEST,
	  CODE_OK, 0, "" },
	/* Statuses that are none; the second reads as 200 without its zero. */
	{ "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "status of four digits",
	  "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nab", CODE_BAD_REQUEST,
	  CODE_OK, 0, "" },
	{ "status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "no status", "HTTP/1.1  OK\r\nContent-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
	{ "signed status", "HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\nab",
	  CODE_BAD_REQUEST, CODE_OK, 0, "" },
};

static void run_answer(const answer_case_t *c, size_t step)
{
	http_reader_t in;
	seen_t s;
	code_t code;

	seen_init(&s);
	http_reader_init(&in, false, HEAD_MAX, &ops, &s);
	code = feed(&in, c->text, strlen(c->text), step);
	ck_assert_msg(code == c->code, "%s by %zu: code %d", c->name, step,
		      code);
	if (code == CODE_OK)
		ck_assert_msg(http_reader_eof(&in) == c->eof, "%s by %zu: eof",
			      c->name, step);
	ck_assert_msg(s.ends == c->ends, "%s by %zu: %u ends", c->name, step,
		      s.ends);
	ck_assert_str_eq(s.body->str, c->body);
	http_reader_clear(&in);
	seen_clear(&s);
}

START_TEST(test_answers)
{
	const answer_case_t *c = &answers[_i];

	for (size_t step = 1; step <= strlen(c->text); step++)
		run_answer(c, step);
}
END_TEST

typedef struct endless_case {
	const char *name;
	const char *start;
	const char *more; /* again and again */
	code_t code;
} endless_case_t;

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define LONG	"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

static const endless_case_t endless_answers[] = {
	{ "field", OK200 "A: ", "x", CODE_TOO_LARGE },
	{ "many fields", OK200, "A: b\r\n", CODE_TOO_LARGE },
	{ "line feeds", "", "\n", CODE_TOO_LARGE },
	{ "blank lines", "", "\r\n", CODE_BAD_REQUEST },
	{ "interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n",
	  CODE_TOO_LARGE },
	{ "chunk size", OK200 CHUNKED, "0", CODE_TOO_LARGE },
	{ "chunk extension", OK200 CHUNKED "1;", "x", CODE_TOO_LARGE },
	{ "extensions beside little data", OK200 CHUNKED,
	  "1;" LONG LONG "\r\na\r\n", CODE_TOO_LARGE },
	{ "trailers", OK200 CHUNKED "0\r\n", "A: b\r\n", CODE_TOO_LARGE },
	{ "chunks of a byte", OK200 CHUNKED, "1\r\na\r\n", CODE_OK },
	{ "body", OK200 "\r\n", "x", CODE_OK },
};

START_TEST(test_endless_answers)
{
	const endless_case_t *c = &endless_answers[_i];
	GString *text = g_string_new(c->start);
	http_reader_t in;
	code_t code;
	seen_t s;

	while (text->len < ENDLESS)
		g_string_append(text, c->more);
	seen_init(&s);
	http_reader_init(&in, false, HEAD_MAX, &ops, &s);
	code = feed(&in, text->str, text->len, 100);
	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	ck_assert_uint_eq(s.ends, 0);
	http_reader_clear(&in);
	seen_clear(&s);
	g_string_free(text, TRUE);
}
END_TEST

typedef struct sse_case {
	const char *name;
	const char *text;
	unsigned int events; /* complete ones */
	uint64_t last_id;
	size_t partial; /* bytes of an event that is not complete */
} sse_case_t;

static const sse_case_t streams[] = {
	{ "two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, 2, 0 },
	{ "cut off", "id: 1\ndata: a\n\nid: 2\nda", 1, 1, 8 },
	{ "CR LF line ends", "id: 7\r\ndata: a\r\n\r\n", 1, 7, 0 },
	{ "field before the id", "x-weights: 3\nid: 4\ndata: a\n\n", 1, 4, 0 },
	{ "no id", "data: a\n\n", 1, 0, 0 },
	{ "line ends mixed", "id: 3\r\ndata: a\r\n\r\nid: 4\n\n", 2, 4, 0 },
	{ "empty lines in a row", "\n\n\n\nid: 5\n\n", 3, 5, 0 },
};

static void count_event(void *ctx, str_t event, bool has_id, uint64_t id)
{
	(*(unsigned int *)ctx)++;
}

START_TEST(test_streams)
{
	const sse_case_t *c = &streams[_i];

	for (size_t step = 1; step < 30; step += 4) {
		unsigned int n = 0;
		event_reader_t e;

		event_reader_init(&e);
		for (size_t at = 0; at < strlen(c->text); at += step) {
			str_t part = { c->text + at,
				       MIN(step, strlen(c->text) - at) };

			ck_assert(event_reader_feed(&e, part, count_event, &n));
		}
		ck_assert_msg(n == c->events, "%s: %u events", c->name, n);
		ck_assert_msg(e.last_id == c->last_id, "%s: last id", c->name);
		ck_assert_msg(e.partial->len == c->partial, "%s: partial %u",
			      c->name, e.partial->len);
		event_reader_clear(&e);
	}
}
END_TEST

typedef struct work_case {
	const char *name;
	const char *text; /* again and again */
	size_t bytes;
	size_t piece;
	unsigned int events;
} work_case_t;

static const work_case_t work_cases[] = {
	{ "a long event byte by byte", "x", EVENT_BYTES, 1, 0 },
	{ "small events", "\n\n", 2 * (size_t)SMALL_EVENTS, PIECE,
	  SMALL_EVENTS },
	{ "line ends without an event", "\r", EVENT_BYTES, 1, 0 },
};

START_TEST(test_reading_events_takes_linear_time)
{
	const work_case_t *c = &work_cases[_i];
	GString *text = g_string_new(NULL);
	clock_t start = clock();
	unsigned int n = 0;
	event_reader_t e;

	while (text->len < c->bytes)
		g_string_append(text, c->text);
	event_reader_init(&e);
	for (size_t at = 0; at < text->len; at += c->piece) {
		str_t part = { text->str + at, MIN(c->piece, text->len - at) };

		ck_assert(event_reader_feed(&e, part, count_event, &n));
	}
	ck_assert_msg((clock() - start) / (CLOCKS_PER_SEC / 1000) <
			      PROCESSOR_MS,
		      "%s: %ld us", c->name, (long)(clock() - start));
	ck_assert_msg(n == c->events, "%s: %u events", c->name, n);
	event_reader_clear(&e);
	g_string_free(text, TRUE);
}
END_TEST

typedef struct hop_case {
	const char *name;
	bool hop_by_hop;
} hop_case_t;

static const hop_case_t hop_cases[] = {
	{ "Connection", true }, { "keep-alive", true }, { "Upgrade", true },
	{ "X-Mine", true },	{ "X-Other", false },	{ "Host", false },
};

START_TEST(test_hop_fields)
{
	http_head_t h = { 0 };

	h.fields[0].name = str_of("Connection");
	h.fields[0].value = str_of("close, x-mine");
	h.nfields = 1;
	ck_assert(http_is_hop_by_hop(&h, str_of(hop_cases[_i].name)) ==
		  hop_cases[_i].hop_by_hop);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_requests, 0, G_N_ELEMENTS(requests));
	tcase_add_loop_test(t, test_trailers_beside_heads, 0,
			    G_N_ELEMENTS(mixed_cases));
	tcase_add_test(t, test_large_head);
	tcase_add_loop_test(t, test_answers, 0, G_N_ELEMENTS(answers));
	tcase_add_loop_test(t, test_streams, 0, G_N_ELEMENTS(streams));
	tcase_add_loop_test(t, test_endless_answers, 0,
			    G_N_ELEMENTS(endless_answers));
	tcase_add_loop_test(t, test_reading_events_takes_linear_time, 0,
			    G_N_ELEMENTS(work_cases));
	tcase_add_loop_test(t, test_hop_fields, 0, G_N_ELEMENTS(hop_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
