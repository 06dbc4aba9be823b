/* The forward as a whole: listener, clock, and the end of the process. */
#include "forward/priv.h"

enum {
	BACKLOG = 1024,
};

static void on_soon(uv_timer_t *t)
{
	forward_t *r = t->data;
	ms_t now = clock_now();

	while (!list_empty(&r->failed_sends)) {
		exchange_t *x = list_entry(r->failed_sends.next, exchange_t,
					   failed_link);

		list_del(&x->failed_link);
		list_init(&x->failed_link);
		exchange_attempt_end(x, ATTEMPT_NOT_SENT, now);
	}
	forward_resume_callers(r);
}

/* Has what was put off looked at in the next turn of the loop. */
void forward_defer(forward_t *r)
{
	if (!uv_is_active((uv_handle_t *)&r->deferred))
		uv_timer_start(&r->deferred, on_soon, 0, 0);
}

/* Makes a forward that does not listen yet. */
forward_t *forward_new(uv_loop_t *loop, const forward_conf_t *conf,
		       edge_t *edge, const codec_t *codec, counters_t *counters)
{
	forward_t *r = g_new0(forward_t, 1);

	r->loop = loop;
	r->conf = *conf;
	r->edge = edge;
	r->codec = codec;
	r->counters = counters;
	list_init(&r->woken);
	list_init(&r->failed_sends);
	list_init(&r->callers);
	list_init(&r->exchanges);
	uv_timer_init(loop, &r->deferred);
	r->deferred.data = r;
	r->requests = counter_get(counters, "edge_requests_total", NULL);
	r->connects = counter_get(counters, "edge_server_connects_total", NULL);
	r->reused = counter_get(counters, "edge_server_reuses_total", NULL);
	r->answer_ms = hist_new(counters, "edge_answer_ms", NULL);
	r->omitted = counter_get(counters, "edge_request_lines_left_out_total",
				 NULL);
	r->stray_answers =
		counter_get(counters, "edge_stray_answers_total", NULL);
	return r;
}

static void on_accept(uv_stream_t *listener, int status)
{
	forward_t *r = listener->data;

	if (status < 0)
		log_line(LOG_WARN, "accept_failed", "why=%s",
			 uv_err_name(status));
	else
		caller_accept(r);
}

/* Takes callers. CODE_UNREACHABLE: the address is not to be had. */
code_t forward_listen(forward_t *r)
{
	int err;

	uv_tcp_init(r->loop, &r->listener);
	r->listener.data = r;
	r->listening = true;
	err = tcp_listen(&r->listener, &r->conf.listen_addr, BACKLOG,
			 on_accept);
	if (err)
		log_line(LOG_ERROR, "listen_failed", "port=%u why=%s",
			 r->conf.listen_addr.port, uv_err_name(err));
	return err ? CODE_UNREACHABLE : CODE_OK;
}

static exchange_t *exchange_of(request_t *req)
{
	return list_entry(req, exchange_t, req);
}

/* Sends a request to the server that the edge chose. */
void forward_send(forward_t *r, request_t *req)
{
	(void)r;
	server_conn_send(exchange_of(req));
}

/* Answers a request that the edge gave up. */
void forward_refuse(forward_t *r, request_t *req, code_t code, ms_t retry_after)
{
	(void)r;
	exchange_refuse(exchange_of(req), code, retry_after);
}

/* Sets how many connections callers may have open. */
void forward_set_connections_max(forward_t *r, size_t connections)
{
	r->conf.connections_max = connections;
}

/*
 * Begins the end: each connection is closed after its next answer. Idle ones
 * and the listener stay to the end, as a request may be on its way: it is told
 * that it was not run.
 */
void forward_drain(forward_t *r, ms_t now)
{
	r->draining = true;
	r->drain_since = now;
}

/* Keeps a decision of the edge for the request's lines. */
void forward_trace(forward_t *r, const request_t *req, ms_t now,
		   const char *step, const char *text)
{
	(void)r;
	trace_add(exchange_of((request_t *)req), now, step, "%s", text);
}

/* Whether it is too late to take another request before the end. */
bool forward_refuses_new(const forward_t *r, ms_t now)
{
	return r->draining && now - r->drain_since > r->conf.drain_accept_time;
}

/* Whether no caller is connected any more. */
bool forward_idle(const forward_t *r)
{
	return list_empty(&r->callers);
}

/* Looks after everything in progress. To be called every few tens of ms. */
void forward_tick(forward_t *r, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &r->exchanges)
	{
		exchange_tick(list_entry(pos, exchange_t, link), now);
	}
	list_for_each_safe(pos, tmp, &r->callers)
	{
		caller_tick(list_entry(pos, caller_t, link), now);
	}
}

/* Cuts what is left open. */
void forward_close(forward_t *r)
{
	ms_t now = clock_now();
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &r->callers)
	{
		caller_t *c = list_entry(pos, caller_t, link);

		if (c->x)
			exchange_abort(c->x, "stopping", now);
		c->x = NULL;
		caller_close(c);
	}
	if (r->listening)
		uv_close((uv_handle_t *)&r->listener, NULL);
	r->listening = false;
	uv_close((uv_handle_t *)&r->deferred, NULL);
}

/* Frees the forward once the loop has run to its end. */
void forward_free(forward_t *r)
{
	hist_free(r->answer_ms);
	g_free(r);
}
