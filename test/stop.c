/*
 * A planned stop: a connection that is idle when requests are no longer taken
 * stays open, and a request that was on its way is told that it was not run.
 */
#include <check.h>
#include <string.h>
#include "adapter.h"
#include "net/fns.h"
#include "world.h"

enum {
	STOP_WAIT_MS = 100,
	TURNS = 2000, /* of the loop, at most */
};

/* What the caller got. */
typedef struct got {
	int status;
	bool ended;
	bool gone;
} got_t;

static bool on_head(void *ctx, hconn_t *l, const http_head_t *h)
{
	got_t *g = ctx;

	g->status = h->status;
	return false;
}

static void on_body(void *ctx, hconn_t *l, str_t data)
{
}

static void on_end(void *ctx, hconn_t *l, bool keep)
{
	got_t *g = ctx;

	ck_assert(!keep);
	g->ended = true;
	hconn_close(l);
}

static void on_gone(void *ctx, hconn_t *l, code_t code)
{
	got_t *g = ctx;

	g->gone = true;
}

static const hconn_ops_t caller_ops = { on_head, on_body, on_end, on_gone };

START_TEST(test_idle_at_stop)
{
	GByteArray *out = g_byte_array_new();
	struct sockaddr_in sa;
	forward_conf_t conf = { .connections_max = 10,
				.stop_wait = STOP_WAIT_MS };
	int n = sizeof(sa);
	got_t g = { 0 };
	uv_loop_t loop;
	forward_t *f;
	hconn_t *l;
	world_t w;
	uv_tcp_t probe;
	ms_t now;

	world_init(&w, 0.2);
	uv_loop_init(&loop);
	g_strlcpy(conf.callers.ip, "127.0.0.1", sizeof(conf.callers.ip));
	uv_tcp_init(&loop, &probe);
	ck_assert_int_eq(uv_ip4_addr("127.0.0.1", 0, &sa), 0);
	ck_assert_int_eq(uv_tcp_bind(&probe, (struct sockaddr *)&sa, 0), 0);
	uv_tcp_getsockname(&probe, (struct sockaddr *)&sa, &n);
	conf.callers.port = ntohs(sa.sin_port);
	uv_close((uv_handle_t *)&probe, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	f = forward_new(&loop, &conf, w.edge, &adapter_codec, w.counters);
	ck_assert_int_eq(forward_listen(f), CODE_OK);
	l = hconn_open(&loop, &conf.callers, &caller_ops, &g);
	while (hconn_connecting(l) || forward_idle(f))
		uv_run(&loop, UV_RUN_ONCE);
	now = clock_now();
	forward_drain(f, now - 2 * (ms_t)STOP_WAIT_MS);
	forward_tick(f, now);
	http_put(out, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	hconn_send(l, out, NULL);
	for (int i = 0; i < TURNS && !g.ended && !g.gone; i++)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert(g.ended);
	ck_assert_int_eq(g.status, 503);
	forward_close(f);
	uv_run(&loop, UV_RUN_DEFAULT);
	forward_free(f);
	uv_loop_close(&loop);
	world_clear(&w);
	g_byte_array_free(out, TRUE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("stop");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_test(t, test_idle_at_stop);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
