/* The HTTP server: listener, limits, and the sweep for callers that hung up. */
#include <string.h>
#include "fns.h"

enum {
	BACKLOG = 512,
	SWEEP_MS = 100,
	STALL_MS = 60000, /* without reading: the caller counts as gone */
};

/* A caller's connection. */
typedef struct web_conn {
	uv_tcp_t tcp;
	list_t link;
	web_t *web;
} web_conn_t;

typedef struct web_handler {
	h2o_handler_t base;
	web_t *web;
} web_handler_t;

static void on_conn_closed(uv_handle_t *h)
{
	web_conn_t *c = (web_conn_t *)h;

	c->web->connections--;
	list_del(&c->link);
	g_free(c);
}

static void on_accept(uv_stream_t *listener, int status)
{
	web_t *w = listener->data;
	web_conn_t *c;

	if (status < 0)
		return;
	c = g_new0(web_conn_t, 1);
	c->web = w;
	w->connections++;
	list_add_tail(&w->conns, &c->link);
	uv_tcp_init(w->loop, &c->tcp);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) ||
	    w->connections > w->connections_max) {
		w->refused->value++;
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	h2o_accept(&w->accept, h2o_uv_socket_create((uv_stream_t *)&c->tcp,
						    on_conn_closed));
}

static size_t header_size(const h2o_req_t *req)
{
	size_t n = req->path.len + req->method.len;

	for (size_t i = 0; i < req->headers.size; i++)
		n += req->headers.entries[i].name->len +
		     req->headers.entries[i].value.len;
	return n;
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	web_t *w = ((web_handler_t *)self)->web;
	reply_t *r = reply_new(w, req);

	if (framing_check(req) != CODE_OK) {
		w->badly_framed->value++;
		log_line(LOG_WARN, "request_bad", "why=framing");
		req->http1_is_persistent = 0;
		reply_refuse(r, CODE_BAD_REQUEST,
			     "the body's length, or the host, is ambiguous", 0);
	} else if (header_size(req) > w->header_max) {
		reply_refuse(r, CODE_TOO_LARGE, "header too large", 0);
	} else {
		w->handle(w->ctx, r);
	}
	return 0;
}

/*
 * Marks errors that h2o itself answers as not run: no engine got the request.
 */
static void on_setup_ostream(h2o_filter_t *self, h2o_req_t *req,
			     h2o_ostream_t **slot)
{
	static const char name[] = "chestnuthinge-outcome";

	(void)self;
	if (req->res.status >= 400 &&
	    h2o_find_header_by_str(&req->res.headers, name, strlen(name), -1) <
		    0)
		h2o_add_header_by_str(
			&req->pool, &req->res.headers, H2O_STRLIT(name), 0,
			"Chestnuthinge-Outcome", H2O_STRLIT("not-run"));
	h2o_setup_next_ostream(req, slot);
}

static void add_filter(h2o_pathconf_t *path)
{
	h2o_filter_t *f = h2o_create_filter(path, sizeof(*f));

	f->on_setup_ostream = on_setup_ostream;
}

static void on_sweep(uv_timer_t *t)
{
	web_t *w = t->data;
	ms_t now = clock_now();
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &w->replies)
	{
		reply_sweep(list_entry(pos, reply_t, link), STALL_MS, now);
	}
}

static void configure(web_t *w, const settings_t *set)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	web_handler_t *handler;

	h2o_config_init(&w->config);
	w->config.server_name = h2o_iovec_init(H2O_STRLIT("chestnuthinge"));
	w->config.max_request_entity_size = set->body_max;
	w->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(
		&w->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	add_filter(path);
	add_filter(&host->fallback_path);
	handler = (web_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->base.on_req = on_request;
	handler->web = w;
	h2o_context_init(&w->context, w->loop, &w->config);
	w->accept.ctx = &w->context;
	w->accept.hosts = w->config.hosts;
}

/* Starts serving. CODE_UNREACHABLE: cannot listen on the address. */
code_t web_start(web_t *w, uv_loop_t *loop, const settings_t *set,
		 void (*handle)(void *ctx, reply_t *r), void *ctx,
		 counters_t *counters)
{
	w->loop = loop;
	w->handle = handle;
	w->ctx = ctx;
	w->connections_max = set->connections_max;
	w->header_max = set->header_max;
	w->answer_max = set->answer_max;
	w->refused = counter_get(counters,
				 "chestnuthinge_connections_refused_total", "");
	w->badly_framed = counter_get(
		counters, "chestnuthinge_requests_badly_framed_total", "");
	list_init(&w->replies);
	list_init(&w->conns);
	configure(w, set);
	uv_timer_init(loop, &w->sweep);
	w->sweep.data = w;
	uv_timer_start(&w->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	uv_tcp_init(loop, &w->listener);
	w->listener.data = w;
	w->listening = true;
	return tcp_listen(&w->listener, &set->http, BACKLOG, on_accept)
		       ? CODE_UNREACHABLE
		       : CODE_OK;
}

/* Takes no new connections. */
void web_stop_listening(web_t *w)
{
	if (!w->listening)
		return;
	w->listening = false;
	uv_close((uv_handle_t *)&w->listener, NULL);
}

/* Returns whether no request is open. */
bool web_idle(const web_t *w)
{
	return list_empty(&w->replies);
}

/* Shuts down a caller's connection; h2o then closes it. */
static void hang_up(web_conn_t *c)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/*
 * Closes the listener, the timer and the callers' idle connections; the loop
 * must run until web_t.connections is 0.
 */
void web_close(web_t *w)
{
	web_stop_listening(w);
	for (list_t *p = w->conns.next; p != &w->conns; p = p->next)
		hang_up(list_entry(p, web_conn_t, link));
	uv_close((uv_handle_t *)&w->sweep, NULL);
}

/* Frees what is left once the loop has run. */
void web_dispose(web_t *w)
{
	h2o_context_dispose(&w->context);
	h2o_config_dispose(&w->config);
}
