/*
 * Requests around the stop and the start of a host. Planned stop: a connection
 * that is idle when requests are no longer accepted stays open, so that a
 * request that was on its way is answered 503, not run. Start: a request that
 * comes before the first configuration waits a little for it.
 */
#include <check.h>
#include <string.h>
#include "adapter.h"
#include "net/fns.h"
#include "world.h"

enum {
	ACCEPT_MS = 100,  /* requests are accepted so long while draining */
	TURNS_MAX = 2000, /* of the event loop */
	CONFIG_LATE_MS = 60000, /* no request waits so long for one */
};

/* What the caller received. */
typedef struct got {
	int status;
	bool ended;
	bool gone;
} got_t;

static bool on_head(void *ctx, hconn_t *c, const http_head_t *h)
{
	got_t *g = ctx;

	g->status = h->status;
	return false;
}

static void on_body(void *ctx, hconn_t *c, str_t data)
{
}

static void on_end(void *ctx, hconn_t *c, bool keep)
{
	got_t *g = ctx;

	ck_assert(!keep);
	g->ended = true;
	hconn_close(c);
}

static void on_gone(void *ctx, hconn_t *c, code_t code)
{
	got_t *g = ctx;

	g->gone = true;
}

static const hconn_ops_t caller_ops = { on_head, on_body, on_end, on_gone };

/* A host in this process and a caller's connection to it. */
typedef struct host {
	world_t w;
	uv_loop_t loop;
	forward_t *f;
	hconn_t *conn;
	got_t got;
} host_t;

static void host_open(host_t *h)
{
	forward_conf_t conf = { .connections_max = 10,
				.drain_accept_time = ACCEPT_MS };
	struct sockaddr_in sa;
	int n = sizeof(sa);
	uv_tcp_t probe;

	memset(h, 0, sizeof(*h));
	world_init(&h->w, 0.2);
	uv_loop_init(&h->loop);
	g_strlcpy(conf.listen_addr.ip, "127.0.0.1",
		  sizeof(conf.listen_addr.ip));
	uv_tcp_init(&h->loop, &probe);
	ck_assert_int_eq(uv_ip4_addr("127.0.0.1", 0, &sa), 0);
	ck_assert_int_eq(uv_tcp_bind(&probe, (struct sockaddr *)&sa, 0), 0);
	uv_tcp_getsockname(&probe, (struct sockaddr *)&sa, &n);
	conf.listen_addr.port = ntohs(sa.sin_port);
	uv_close((uv_handle_t *)&probe, NULL);
	uv_run(&h->loop, UV_RUN_NOWAIT);
	h->f = forward_new(&h->loop, &conf, h->w.edge, &adapter_codec,
			   h->w.counters);
	ck_assert_int_eq(forward_listen(h->f), CODE_OK);
	h->conn = hconn_open(&h->loop, &conf.listen_addr, &caller_ops, &h->got);
	while (hconn_connecting(h->conn) || forward_idle(h->f))
		uv_run(&h->loop, UV_RUN_ONCE);
}

static void host_request(host_t *h)
{
	GByteArray *out = g_byte_array_new();

	http_put(out, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	hconn_send(h->conn, out, NULL);
	g_byte_array_free(out, TRUE);
}

static void host_close(host_t *h)
{
	forward_close(h->f);
	uv_run(&h->loop, UV_RUN_DEFAULT);
	forward_free(h->f);
	uv_loop_close(&h->loop);
	world_clear(&h->w);
}

START_TEST(test_idle_at_stop)
{
	host_t h;
	ms_t now;

	host_open(&h);
	now = clock_now();
	forward_drain(h.f, now - 2 * (ms_t)ACCEPT_MS);
	forward_tick(h.f, now);
	host_request(&h);
	for (int i = 0; i < TURNS_MAX && !h.got.ended && !h.got.gone; i++)
		uv_run(&h.loop, UV_RUN_ONCE);
	ck_assert(h.got.ended);
	ck_assert_int_eq(h.got.status, 503);
	host_close(&h);
}
END_TEST

/* Whether a configuration follows the request, and the answer's status. */
typedef struct early_case {
	bool configured;
	int status;
} early_case_t;

static const early_case_t early_cases[] = {
	{ true, 404 }, /* a configuration without routes */
	{ false, 503 },
};

START_TEST(test_before_config)
{
	const early_case_t *c = &early_cases[_i];
	ms_t now = clock_now();
	host_t h;

	host_open(&h);
	host_request(&h);
	while (counter_get(h.w.counters, "edge_requests_total", NULL)->value ==
	       0)
		uv_run(&h.loop, UV_RUN_ONCE);
	forward_tick(h.f, now);
	ck_assert(!h.got.ended);
	if (c->configured)
		edge_configure(h.w.edge, desired_new(1));
	else
		now += CONFIG_LATE_MS;
	for (int i = 0; i < TURNS_MAX && !h.got.ended && !h.got.gone; i++) {
		forward_tick(h.f, now);
		uv_run(&h.loop, UV_RUN_NOWAIT);
	}
	ck_assert(h.got.ended);
	ck_assert_int_eq(h.got.status, c->status);
	host_close(&h);
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
	tcase_add_loop_test(t, test_before_config, 0,
			    G_N_ELEMENTS(early_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
