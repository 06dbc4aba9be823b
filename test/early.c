/*
 * Servers that answer a long request before they have read it, and reset the
 * connection while the rest is being written. The caller gets an answer that is
 * whole by its own framing, another server's, or a visible failure; never a
 * part of an answer as if it were whole.
 */
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>
#include "flood.h"
#include "host.h"
#include "script.h"

enum {
	UPLOAD_BYTES = 16 << 20,  /* more than the sockets of both ends hold */
	RECEIVE_BYTES = 64 << 10, /* the server's receive buffer */
	BLOCKED_TURNS = 20,	  /* of the loop, until the upload is blocked */
	WAIT_MAX_MS = 10000,	  /* for one case */
};

#define STAMP	 "X-Request-Id: r1\r\nX-Server-Stamp: s\r\n"
#define OK200	 "HTTP/1.1 200 OK\r\n" STAMP
#define CHUNKED	 "Transfer-Encoding: chunked\r\n\r\n"
#define FIXED(n) "Content-Length: " #n "\r\n\r\n"
#define GOOD	 OK200 FIXED(4) "good"
#define EVENT(n) "id: " #n "\ndata: x\n\n"
#define END	 "0\r\n\r\n"

typedef struct early_case {
	const char *name;
	path_t path;
	const char *answer;
	const char *elsewhere; /* another server's answer; NULL: none */
	const char *start;     /* of what the caller gets */
	const char *end;
} early_case_t;

#define OK     "HTTP/1.1 200 "
#define FAILED "HTTP/1.1 502 "

static const early_case_t cases[] = {
	{ "no length", PATH_ONCE, OK200 "\r\nhalf", NULL, FAILED, "" },
	{ "no length, repeated elsewhere", PATH_SAFE, OK200 "\r\nhalf", GOOD,
	  OK, "\r\n\r\ngood" },
	{ "no length, a failure", PATH_ONCE,
	  "HTTP/1.1 400 No\r\n" STAMP "\r\nhalf", NULL, FAILED, "" },
	{ "no length, a stream", PATH_STREAM, OK200 "\r\n" EVENT(1), NULL, OK,
	  EVENT(1) "\r\n" },
	{ "no length, a stream resumed elsewhere", PATH_STREAM,
	  OK200 "\r\n" EVENT(1), OK200 CHUNKED "f\r\n" EVENT(2) "\r\n" END, OK,
	  EVENT(2) "\r\n" END },
	{ "shorter than its length", PATH_ONCE, OK200 FIXED(9) "half", NULL,
	  FAILED, "" },
	{ "last chunk missing", PATH_ONCE, OK200 CHUNKED "4\r\nhalf\r\n", NULL,
	  FAILED, "" },
	{ "whole by its length", PATH_ONCE, GOOD, NULL, OK, "\r\n\r\ngood" },
};

/* The connection to be reset once its answer is being read; -1: none. */
static int reset_fd;

static void reset_now(void)
{
	struct linger hard = { 1, 0 };

	if (reset_fd < 0)
		return;
	setsockopt(reset_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(reset_fd);
	reset_fd = -1;
}

/*
 * The reset arrives between the read of the answer and the write that follows
 * it in the same turn of the host's loop.
 */
static void read_answer(const http_head_t *h, answer_t *a)
{
	reset_now();
	adapter_codec.read_answer(h, a);
}

/* Listens on a free port of the loopback address; accepts without waiting. */
static int listen_any(addr_t *at)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t n = sizeof(sa);
	int room = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)&sa, &n);
	g_strlcpy(at->ip, "127.0.0.1", sizeof(at->ip));
	at->port = ntohs(sa.sin_port);
	return fd;
}

static char *long_request(path_t path)
{
	GString *out = g_string_new("POST / HTTP/1.1\r\nHost: ");
	char *body = g_strnfill(UPLOAD_BYTES, 'x');

	g_string_append_printf(out,
			       "%s\r\nX-Request-Id: r1\r\nConnection: close\r\n"
			       "Content-Length: %u\r\n\r\n%s",
			       path_names[path], UPLOAD_BYTES, body);
	g_free(body);
	return g_string_free(out, FALSE);
}

/* Accepts the host's connection and lets the upload fill it. */
static int accept_upload(host_t *h, int listener, ms_t until)
{
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) < 0 &&
	       clock_now() < until)
		uv_run(&h->loop, UV_RUN_ONCE);
	ck_assert_int_ge(fd, 0);
	for (int i = 0; i < BLOCKED_TURNS; i++)
		uv_run(&h->loop, UV_RUN_NOWAIT);
	return fd;
}

/* Reads what has come, so that the host can write again, and answers. */
static void answer(int fd, const char *text)
{
	char buf[4096];

	while (recv(fd, buf, sizeof(buf), 0) > 0)
		;
	ck_assert_int_eq(send(fd, text, strlen(text), 0), strlen(text));
	reset_fd = fd;
}

START_TEST(test_early)
{
	const early_case_t *c = &cases[_i];
	ms_t until = clock_now() + WAIT_MAX_MS;
	char *text = long_request(c->path);
	codec_t codec = adapter_codec;
	raw_caller_t caller;
	flood_t good;
	addr_t at;
	host_t h;
	int listener = listen_any(&at);

	codec.read_answer = read_answer;
	host_open_with(&h, HOST_ROUTE_MS, &codec);
	edge_desired(h.edge)->limits.body_max = UPLOAD_BYTES;
	host_put(&h, "bad", &at, 1);
	flood_open(&good, &h.loop, c->elsewhere ? c->elsewhere : "", NULL, 0);
	raw_open(&caller, &h.loop, &h.at, text);
	answer(accept_upload(&h, listener, until), c->answer);
	if (c->elsewhere)
		host_put(&h, "good", &good.at, 1);
	while (!caller.ended && clock_now() < until)
		uv_run(&h.loop, UV_RUN_ONCE);
	ck_assert_msg(caller.ended, "%s: no end", c->name);
	ck_assert_int_eq(reset_fd, -1);
	ck_assert_msg(g_str_has_prefix(caller.got->str, c->start), "%s: got %s",
		      c->name, caller.got->str);
	ck_assert_msg(g_str_has_suffix(caller.got->str, c->end), "%s: got %s",
		      c->name, caller.got->str);
	host_close(&h);
	flood_close(&good);
	raw_close(&caller);
	host_free(&h);
	flood_free(&good);
	raw_free(&caller);
	close(listener);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("early");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, test_early, 0, G_N_ELEMENTS(cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
