/* The HTTP client against a server that breaks off at chosen places. */
#include <check.h>
#include <string.h>
#include "net/fns.h"

enum {
	SILENT_MS = 200,
	BODY_MAX = 256,
	UPLOAD_BYTES = 16 << 20, /* more than the sockets of both ends hold */
};

/* What the server does once it has the request's head. */
typedef enum then {
	THEN_CLOSE,
	THEN_WAIT,
	THEN_RESET,
} then_t;

typedef struct http_case {
	const char *name;
	const char *answer;
	then_t then;
	code_t want;
	int status;
	const char *body;
} http_case_t;

#define HEAD	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

static const http_case_t cases[] = {
	{ "whole by length", HEAD "Content-Length: 5\r\n\r\nhello", THEN_WAIT,
	  CODE_OK, 200, "hello" },
	{ "empty by length", HEAD "Content-Length: 0\r\n\r\n", THEN_WAIT,
	  CODE_OK, 200, "" },
	{ "no content", "HTTP/1.1 204 No Content\r\n\r\n", THEN_WAIT, CODE_OK,
	  204, "" },
	{ "refusal with body",
	  "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", THEN_WAIT,
	  CODE_OK, 503, "no" },
	{ "whole by chunks", CHUNKED "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	  THEN_WAIT, CODE_OK, 200, "hello" },
	{ "shorter than its length", HEAD "Content-Length: 9\r\n\r\nhello",
	  THEN_CLOSE, CODE_CUT, 200, "hello" },
	{ "cut between chunks", CHUNKED "5\r\nhello\r\n", THEN_CLOSE, CODE_CUT,
	  200, "hello" },
	{ "cut inside a chunk", CHUNKED "9\r\nhello", THEN_CLOSE, CODE_CUT, 200,
	  "hello" },
	{ "cut inside the last chunk", CHUNKED "5\r\nhello\r\n0\r\n",
	  THEN_CLOSE, CODE_CUT, 200, "hello" },
	{ "ended by closing only", HEAD "\r\nhello", THEN_CLOSE, CODE_CUT, 200,
	  "hello" },
	{ "no length, reset", HEAD "\r\nhello", THEN_RESET, CODE_CUT, 200,
	  "hello" },
	{ "closed without an answer", "", THEN_CLOSE, CODE_CUT, 0, "" },
	{ "closed inside the head", HEAD, THEN_CLOSE, CODE_CUT, 0, "" },
	{ "not HTTP", "what is this\r\n\r\n", THEN_CLOSE, CODE_CUT, 0, "" },
	{ "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "status 000 without a body",
	  "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", THEN_WAIT, CODE_CUT,
	  0, "" },
	{ "status 099", "HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "switch to another protocol",
	  "HTTP/1.1 101 Switching\r\nContent-Length: 5\r\n\r\nhello", THEN_WAIT,
	  CODE_CUT, 0, "" },
	{ "status 600", "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "status 999", "HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "status of two digits",
	  "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nhello", THEN_WAIT,
	  CODE_CUT, 0, "" },
	{ "status of four digits",
	  "HTTP/1.1 0200 OK\r\nContent-Length: 5\r\n\r\nhello", THEN_WAIT,
	  CODE_CUT, 0, "" },
	{ "blank in a field's name",
	  HEAD "A b: c\r\nContent-Length: 5\r\n\r\nhello", THEN_WAIT, CODE_CUT,
	  0, "" },
	{ "blank after a field's name",
	  HEAD "Content-Length : 3\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "tab after a field's name",
	  HEAD "Transfer-Encoding\t: chunked\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "control byte in a field's name",
	  HEAD "A\x01"
	       "B: c\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "delete in a field's name",
	  HEAD "A\x7f"
	       "B: c\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "folded first field",
	  "HTTP/1.1 200 OK\r\n A: b\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "no field name", HEAD ": b\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	{ "return in a field", HEAD "A: b\rc\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_WAIT, CODE_CUT, 0, "" },
	/* Lengths that two parsers could read differently. */
	{ "two lengths, the longer last",
	  HEAD "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
	  THEN_CLOSE, CODE_CUT, 0, "" },
	{ "two lengths, the shorter last",
	  HEAD "Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
	  THEN_CLOSE, CODE_CUT, 0, "" },
	{ "a length and chunks",
	  HEAD "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\n\r\n",
	  THEN_CLOSE, CODE_CUT, 0, "" },
	{ "no answer", "", THEN_WAIT, CODE_SILENT, 0, "" },
	{ "silent inside the body", HEAD "Content-Length: 9\r\n\r\nhello",
	  THEN_WAIT, CODE_SILENT, 200, "hello" },
};

typedef struct server {
	uv_tcp_t listener;
	uv_tcp_t conn;
	uv_write_t write;
	GString *got;
	const http_case_t *c;
	bool open;
	bool answered;
} server_t;

typedef struct result {
	int heads;
	int ends;
	int status;
	code_t code;
	char type[BODY_MAX];
	GString *body;
	httpc_req_t *cancel; /* to be cancelled at the head */
} result_t;

static void on_answered(uv_write_t *w, int status)
{
	server_t *s = w->data;

	(void)status;
	if (s->c->then == THEN_WAIT || uv_is_closing((void *)&s->conn))
		return;
	if (s->c->then == THEN_RESET)
		uv_tcp_close_reset(&s->conn, NULL);
	else
		uv_close((uv_handle_t *)&s->conn, NULL);
}

static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)h;
	(void)hint;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_bytes(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	server_t *s = stream->data;
	uv_buf_t answer;

	if (n < 0) {
		if (!uv_is_closing((void *)stream))
			uv_close((uv_handle_t *)stream, NULL);
		return;
	}
	g_string_append_len(s->got, buf->base, n);
	if (s->answered || !strstr(s->got->str, "\r\n\r\n"))
		return;
	s->answered = true;
	if (s->c->then == THEN_RESET)
		uv_read_stop(stream);
	answer = uv_buf_init((char *)s->c->answer, strlen(s->c->answer));
	s->write.data = s;
	uv_write(&s->write, stream, &answer, 1, on_answered);
}

static void on_connection(uv_stream_t *listener, int status)
{
	server_t *s = listener->data;

	ck_assert_int_eq(status, 0);
	uv_tcp_init(listener->loop, &s->conn);
	s->conn.data = s;
	s->open = true;
	uv_accept(listener, (uv_stream_t *)&s->conn);
	uv_read_start((uv_stream_t *)&s->conn, on_alloc, on_bytes);
}

static void server_start(server_t *s, uv_loop_t *loop, const http_case_t *c,
			 addr_t *at)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	memset(s, 0, sizeof(*s));
	s->c = c;
	s->got = g_string_new(NULL);
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0);
	ck_assert_int_eq(
		uv_listen((uv_stream_t *)&s->listener, 4, on_connection), 0);
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&sa, &n);
	strcpy(at->ip, "127.0.0.1");
	at->port = ntohs(sa.sin_port);
}

static void server_stop(server_t *s)
{
	if (s->open && !uv_is_closing((void *)&s->conn))
		uv_close((uv_handle_t *)&s->conn, NULL);
	if (!uv_is_closing((void *)&s->listener))
		uv_close((uv_handle_t *)&s->listener, NULL);
	g_string_free(s->got, TRUE);
}

static void on_head(void *ctx, int status, str_t type)
{
	result_t *r = ctx;

	r->heads++;
	r->status = status;
	g_snprintf(r->type, sizeof(r->type), "%.*s", (int)type.n, type.p);
	if (r->cancel)
		httpc_cancel(r->cancel);
}

static void on_data(void *ctx, str_t data)
{
	result_t *r = ctx;

	g_string_append_len(r->body, data.p, data.n);
}

static void on_end(void *ctx, code_t code)
{
	result_t *r = ctx;

	r->ends++;
	r->code = code;
}

static const httpc_ops_t ops = { on_head, on_data, on_end };

static void run_until(uv_loop_t *loop, const int *flag, ms_t most)
{
	ms_t until = clock_now() + most;

	while (!*flag && clock_now() < until) {
		uv_run(loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void loop_end(uv_loop_t *loop)
{
	uv_run(loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(loop), 0);
}

START_TEST(answer_cases)
{
	const http_case_t *c = &cases[_i];
	counters_t *counters = counters_new();
	httpc_call_t call = { .method = "POST",
			      .path = "/x",
			      .headers = "A: b\r\n",
			      .body = str_of("in"),
			      .silent = SILENT_MS };
	result_t r = { .body = g_string_new(NULL) };
	uv_loop_t loop;
	server_t s;
	httpc_t *h;

	uv_loop_init(&loop);
	server_start(&s, &loop, c, &call.to);
	h = httpc_new(&loop, counters);
	httpc_call(h, &call, &ops, &r);
	run_until(&loop, &r.ends, SILENT_MS * 20L);
	ck_assert_msg(r.ends == 1, "%s: ends %d", c->name, r.ends);
	ck_assert_msg(r.code == c->want, "%s: %s", c->name, code_name(r.code));
	ck_assert_msg(r.status == c->status, "%s: %d", c->name, r.status);
	ck_assert_msg(strcmp(r.body->str, c->body) == 0, "%s: %s", c->name,
		      r.body->str);
	ck_assert_ptr_nonnull(strstr(s.got->str, "POST /x HTTP/1.1\r\n"));
	ck_assert_ptr_nonnull(strstr(s.got->str, "\r\nA: b\r\n"));
	ck_assert_ptr_nonnull(strstr(s.got->str, "Content-Length: 2\r\n"));
	ck_assert_ptr_nonnull(strstr(s.got->str, "\r\n\r\nin"));
	httpc_free(h);
	server_stop(&s);
	loop_end(&loop);
	g_string_free(r.body, TRUE);
	counters_free(counters);
}
END_TEST

/*
 * The server answers before it has read the body, without a length, and resets
 * the connection while the rest is being written.
 */
START_TEST(part_during_the_upload_is_not_whole)
{
	static const http_case_t early = { "early",    HEAD "\r\nhello",
					   THEN_RESET, CODE_CUT,
					   0,	       "" };
	counters_t *counters = counters_new();
	char *upload = g_strnfill(UPLOAD_BYTES, 'x');
	httpc_call_t call = { .method = "POST",
			      .path = "/",
			      .body = str_of(upload) };
	result_t r = { .body = g_string_new(NULL) };
	uv_loop_t loop;
	server_t s;
	httpc_t *h;

	uv_loop_init(&loop);
	server_start(&s, &loop, &early, &call.to);
	h = httpc_new(&loop, counters);
	httpc_call(h, &call, &ops, &r);
	run_until(&loop, &r.ends, SILENT_MS * 20L);
	ck_assert_int_eq(r.ends, 1);
	ck_assert_int_eq(r.code, early.want);
	httpc_free(h);
	server_stop(&s);
	loop_end(&loop);
	g_string_free(r.body, TRUE);
	g_free(upload);
	counters_free(counters);
}
END_TEST

/* The answer lies unread after a long turn of the loop: no silence. */
START_TEST(long_turn_is_not_silence)
{
	counters_t *counters = counters_new();
	httpc_call_t call = { .method = "GET",
			      .path = "/",
			      .silent = SILENT_MS };
	result_t r = { .body = g_string_new(NULL) };
	uv_loop_t loop;
	server_t s;
	httpc_t *h;

	uv_loop_init(&loop);
	server_start(&s, &loop, &cases[0], &call.to);
	h = httpc_new(&loop, counters);
	httpc_call(h, &call, &ops, &r);
	while (!s.answered)
		uv_run(&loop, UV_RUN_NOWAIT);
	g_usleep(SILENT_MS * 2000UL);
	run_until(&loop, &r.ends, SILENT_MS * 20L);
	ck_assert_int_eq(r.ends, 1);
	ck_assert_int_eq(r.code, CODE_OK);
	httpc_free(h);
	server_stop(&s);
	loop_end(&loop);
	g_string_free(r.body, TRUE);
	counters_free(counters);
}
END_TEST

START_TEST(no_listener_is_not_sent)
{
	counters_t *counters = counters_new();
	httpc_call_t call = { .method = "GET", .path = "/" };
	result_t r = { .body = g_string_new(NULL) };
	uv_loop_t loop;
	server_t s;
	httpc_t *h;

	uv_loop_init(&loop);
	server_start(&s, &loop, &cases[0], &call.to);
	server_stop(&s);
	uv_run(&loop, UV_RUN_DEFAULT);
	h = httpc_new(&loop, counters);
	httpc_call(h, &call, &ops, &r);
	ck_assert_int_eq(r.ends, 0);
	run_until(&loop, &r.ends, 2000);
	ck_assert_int_eq(r.ends, 1);
	ck_assert_int_eq(r.code, CODE_NOT_SENT);
	httpc_free(h);
	loop_end(&loop);
	g_string_free(r.body, TRUE);
	counters_free(counters);
}
END_TEST

/* Cancelled before the connection, inside a callback, and by the free. */
START_TEST(cancelled_call_tells_nothing_more)
{
	counters_t *counters = counters_new();
	httpc_call_t call = { .method = "GET", .path = "/" };
	result_t r = { .body = g_string_new(NULL) };
	httpc_req_t *first;
	uv_loop_t loop;
	server_t s;
	httpc_t *h;

	uv_loop_init(&loop);
	server_start(&s, &loop, &cases[0], &call.to);
	h = httpc_new(&loop, counters);
	first = httpc_call(h, &call, &ops, &r);
	if (_i == 0)
		httpc_cancel(first);
	else if (_i == 1)
		r.cancel = first;
	else
		httpc_free(h);
	run_until(&loop, &r.ends, 100);
	ck_assert_int_eq(r.heads, _i == 1);
	ck_assert_int_eq(r.ends, 0);
	ck_assert_uint_eq(r.body->len, 0);
	if (_i < 2)
		httpc_free(h);
	server_stop(&s);
	loop_end(&loop);
	g_string_free(r.body, TRUE);
	counters_free(counters);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("httpc");
	TCase *t = tcase_create("all");
	SRunner *run = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, answer_cases, 0, G_N_ELEMENTS(cases));
	tcase_add_test(t, part_during_the_upload_is_not_whole);
	tcase_add_test(t, long_turn_is_not_silence);
	tcase_add_test(t, no_listener_is_not_sent);
	tcase_add_loop_test(t, cancelled_call_tells_nothing_more, 0, 3);
	suite_add_tcase(s, t);
	srunner_run_all(run, CK_NORMAL);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed ? 1 : 0;
}
