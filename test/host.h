/* Test fixture: an edge host in this process, with real connections. */
#ifndef HOST_H
#define HOST_H

#include <check.h>
#include "adapter.h"
#include "net/fns.h"
#include "world.h"

enum {
	HOST_TICK_MS = 10,
	HOST_ROUTE_MS = 20000, /* targets and limits without a case's own */
	HOST_ACCEPT_MS =
		2700, /* requests are accepted so long while draining */
};

typedef enum path {
	PATH_ONCE, /* may run once */
	PATH_SAFE, /* may be repeated */
	PATH_STREAM,
} path_t;

static const char *const path_names[] G_GNUC_UNUSED = { "once", "safe",
							"stream" };

/* An edge host in this process. */
typedef struct host {
	uv_loop_t loop;
	uv_timer_t tick;
	counters_t *counters;
	edge_t *edge;
	forward_t *forward;
	addr_t at;
} host_t;

static inline void pass_send(void *ctx, request_t *r)
{
	forward_send(((host_t *)ctx)->forward, r);
}

static inline void pass_refuse(void *ctx, request_t *r, code_t code, ms_t after)
{
	forward_refuse(((host_t *)ctx)->forward, r, code, after);
}

static inline void ignore_leave(void *ctx, uint64_t server,
				const char *customer)
{
}

static inline void pass_forget(void *ctx, backend_t *b)
{
	forward_drop_server(((host_t *)ctx)->forward, b);
}

static const edge_ops_t edge_ops = {
	pass_send,	     pass_refuse,	  on_note,
	ignore_request_slot, ignore_release_slot, ignore_quota_join,
	ignore_leave,	     ignore_quota_take,	  on_keeper_wanted,
	pass_forget,	     ignore_crash_seen,	  ignore_part_answered,
	ignore_limit_named,  ignore_tell_warmup,  ignore_leaving_said,
	ignore_leave_silent
};

static inline void on_tick(uv_timer_t *t)
{
	host_t *h = t->data;
	ms_t now = clock_now();

	edge_tick(h->edge, now);
	forward_tick(h->forward, now);
}

static inline void add_route(desired_t *d, path_t path, ms_t timeout)
{
	edge_route_t *r = g_new0(edge_route_t, 1);

	r->name = g_strdup(path_names[path]);
	r->host = g_strdup(path_names[path]);
	r->prefix = g_strdup("/");
	r->retry = path == PATH_ONCE   ? RETRY_NEVER
		   : path == PATH_SAFE ? RETRY_SAFE
				       : RETRY_RESUME;
	r->stream = path == PATH_STREAM;
	r->timeout = timeout;
	r->first_event_target = HOST_ROUTE_MS;
	r->gap_target = HOST_ROUTE_MS;
	r->attempts = 2;
	r->nsplits = 1;
	r->splits = g_new0(split_t, 1);
	r->splits[0].service = g_strdup(svc);
	r->splits[0].weight = 1;
	g_ptr_array_add(d->routes, r);
}

static inline void configure(host_t *h, ms_t timeout)
{
	desired_t *d = desired_new(1);

	d->limits = (edge_limits_t){ 16 << 10, 1 << 20, HOST_ROUTE_MS,
				     HOST_ROUTE_MS };
	for (path_t p = PATH_ONCE; p <= PATH_STREAM; p++)
		add_route(d, p, timeout);
	desired_index(d);
	edge_configure(h->edge, d);
}

/* Returns a port of the loopback address that is free now. */
static inline uint16_t free_port(uv_loop_t *loop)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);
	uv_tcp_t probe;

	uv_tcp_init(loop, &probe);
	uv_ip4_addr("127.0.0.1", 0, &sa);
	ck_assert_int_eq(uv_tcp_bind(&probe, (struct sockaddr *)&sa, 0), 0);
	uv_tcp_getsockname(&probe, (struct sockaddr *)&sa, &n);
	uv_close((uv_handle_t *)&probe, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	return ntohs(sa.sin_port);
}

/* Opens a host whose routes have that timeout. */
static inline void host_open_with(host_t *h, ms_t timeout, const codec_t *codec)
{
	edge_conf_t conf = { .inc = 7,
			     .data_center = "a",
			     .subset = 12,
			     .seed = 1,
			     .retry_ratio = 1,
			     .retry_window = 10 * MS,
			     .quota = { .window = 8 * MS } };
	forward_conf_t to = { .connections_max = 100,
			      .connect_timeout = HOST_ROUTE_MS,
			      .drain_accept_time = HOST_ACCEPT_MS };

	memset(h, 0, sizeof(*h));
	uv_loop_init(&h->loop);
	g_strlcpy(h->at.ip, "127.0.0.1", sizeof(h->at.ip));
	h->at.port = free_port(&h->loop);
	to.listen_addr = h->at;
	h->counters = counters_new();
	h->edge = edge_new(&conf, &edge_ops, h, h->counters);
	configure(h, timeout);
	h->forward = forward_new(&h->loop, &to, h->edge, codec, h->counters);
	ck_assert_int_eq(forward_listen(h->forward), CODE_OK);
	uv_timer_init(&h->loop, &h->tick);
	h->tick.data = h;
	uv_timer_start(&h->tick, on_tick, HOST_TICK_MS, HOST_TICK_MS);
}

static inline void host_open(host_t *h, ms_t timeout)
{
	host_open_with(h, timeout, &adapter_codec);
}

static inline void host_close(host_t *h)
{
	forward_close(h->forward);
	edge_free(h->edge);
	uv_close((uv_handle_t *)&h->tick, NULL);
}

/* Frees the host once all its handles are closed. */
static inline void host_free(host_t *h)
{
	uv_run(&h->loop, UV_RUN_DEFAULT);
	forward_free(h->forward);
	ck_assert_int_eq(uv_loop_close(&h->loop), 0);
	counters_free(h->counters);
}

/* Lists a server of the host's one service. */
static inline void host_put(host_t *h, const char *id, const addr_t *at,
			    unsigned int slots)
{
	backend_info_t info = { .id = id,
				.service = svc,
				.version = "v1",
				.data_center = "a",
				.addr = *at,
				.started_unix = 1,
				.slots = slots };

	edge_server_put(h->edge, &info, clock_now());
}

#endif
