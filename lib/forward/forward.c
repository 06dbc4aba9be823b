/* The proxy as a whole: its listener, its periodic work and its shutdown. */
#include "forward/priv.h"

enum {
	BACKLOG = 1024, /* connections that wait to be accepted */
};

static void on_deferred(uv_timer_t *t)
{
	forward_t *f = t->data;
	ms_t now = clock_now();

	while (!list_empty(&f->failed_sends)) {
		exchange_t *x = list_entry(f->failed_sends.next, exchange_t,
					   failed_link);

		list_del(&x->failed_link);
		list_init(&x->failed_link);
		exchange_attempt_end(x, ATTEMPT_NOT_SENT, now);
	}
	forward_resume_callers(f);
}

/* Runs on_deferred in the next turn of the loop. */
void forward_defer(forward_t *f)
{
	if (!uv_is_active((uv_handle_t *)&f->deferred))
		uv_timer_start(&f->deferred, on_deferred, 0, 0);
}

/* Makes a proxy that does not listen yet. */
forward_t *forward_new(uv_loop_t *loop, const forward_conf_t *conf,
		       edge_t *edge, const codec_t *codec, counters_t *counters)
{
	forward_t *f = g_new0(forward_t, 1);

	f->loop = loop;
	f->conf = *conf;
	f->edge = edge;
	f->codec = codec;
	f->counters = counters;
	list_init(&f->woken);
	list_init(&f->failed_sends);
	list_init(&f->callers);
	list_init(&f->exchanges);
	list_init(&f->server_conns);
	uv_timer_init(loop, &f->deferred);
	f->deferred.data = f;
	f->requests = counter_get(counters, "edge_requests_total", NULL);
	f->parts_omitted =
		counter_get(counters, "edge_prompt_parts_omitted_total", NULL);
	f->connects = counter_get(counters, "edge_server_connects_total", NULL);
	f->reused = counter_get(counters, "edge_server_reuses_total", NULL);
	f->answer_ms = hist_new(counters, "edge_answer_ms", NULL);
	f->omitted = counter_get(counters, "edge_request_lines_left_out_total",
				 NULL);
	f->stray_answers =
		counter_get(counters, "edge_stray_answers_total", NULL);
	f->answer_bytes = gauge_get(counters, "edge_answer_bytes_held", NULL);
	f->queued_bytes = gauge_get(counters, "edge_caller_bytes_queued", NULL);
	f->room = room_of(conf->memory);
	f->body_bytes = gauge_get(counters, "edge_request_bytes_held", NULL);
	f->open_conns = gauge_get(counters, "edge_server_connections", NULL);
	f->unread_at_close =
		counter_get(counters, "edge_reads_after_close_total", NULL);
	return f;
}

static void on_accept(uv_stream_t *listener, int status)
{
	forward_t *f = listener->data;

	if (status < 0)
		log_line(LOG_WARN, "accept_failed", "why=%s",
			 uv_err_name(status));
	else
		caller_accept(f);
}

/* Listens for callers. CODE_UNREACHABLE: the address cannot be bound. */
code_t forward_listen(forward_t *f)
{
	uv_tcp_init(f->loop, &f->listener);
	f->listener.data = f;
	f->listening = true;
	return tcp_listen(&f->listener, &f->conf.listen_addr, BACKLOG,
			  on_accept)
		       ? CODE_UNREACHABLE
		       : CODE_OK;
}

static exchange_t *exchange_of(request_t *req)
{
	return list_entry(req, exchange_t, req);
}

/* Sends a request to the server that the edge chose. */
void forward_send(forward_t *f, request_t *req)
{
	(void)f;
	server_conn_send(exchange_of(req));
}

/*
 * Another server takes a request whose server is silent: ends its attempt.
 * Returns false if bytes have come after all.
 */
bool forward_leave_silent(forward_t *f, request_t *req)
{
	(void)f;
	return exchange_leave_silent(exchange_of(req), clock_now());
}

/*
 * Answers a request that the edge gave up. retry_after: when the caller should
 * come back; 0: not given.
 */
void forward_refuse(forward_t *f, request_t *req, code_t code, ms_t retry_after)
{
	(void)f;
	exchange_refuse(exchange_of(req), code, retry_after);
}

/* Sets the host's memory, of which the bounds on held bytes are parts. */
void forward_set_memory(forward_t *f, size_t bytes)
{
	f->room = room_of(bytes);
}

/* Sets how many connections from callers may be open. */
void forward_set_connections_max(forward_t *f, size_t connections)
{
	f->conf.connections_max = connections;
}

/*
 * Begins the shutdown: each connection is closed after the next answer whose
 * head says so. Idle connections and the listener stay open until
 * forward_close, since a request may be on its way: after drain_accept_time
 * such a request is refused as not run.
 */
void forward_drain(forward_t *f, ms_t now)
{
	f->draining = true;
	f->drain_since = now;
}

/* Adds a decision of the edge to the request's trace. */
void forward_trace(forward_t *f, const request_t *req, ms_t now,
		   const char *step, const char *text)
{
	(void)f;
	trace_add(exchange_of((request_t *)req), now, step, "%s", text);
}

/* Whether draining has come so far that new requests are refused. */
bool forward_refuses_new(const forward_t *f, ms_t now)
{
	return f->draining && now - f->drain_since > f->conf.drain_accept_time;
}

/* Whether no caller is connected. */
bool forward_idle(const forward_t *f)
{
	return list_empty(&f->callers);
}

/* Checks all time limits. To be called every few tens of ms. */
void forward_tick(forward_t *f, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &f->exchanges)
	{
		exchange_tick(list_entry(pos, exchange_t, link), now);
	}
	list_for_each_safe(pos, tmp, &f->callers)
	{
		caller_tick(list_entry(pos, caller_t, link), now);
	}
	room_tick(f, now);
	server_conns_tick(f, now);
}

/* Ends the requests that were read whole and are at a server, or are not. */
static void stop_exchanges(forward_t *f, bool running, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &f->callers)
	{
		caller_t *c = list_entry(pos, caller_t, link);

		if (c->x && c->answering && exchange_running(c->x) == running)
			exchange_stop(c->x, now);
	}
}

/*
 * Ends the requests in progress and closes everything. Those that wait go
 * first: the slots of others would be given to them.
 */
void forward_close(forward_t *f)
{
	ms_t now = clock_now();
	list_t *pos;
	list_t *tmp;

	stop_exchanges(f, false, now);
	stop_exchanges(f, true, now);
	list_for_each_safe(pos, tmp, &f->callers)
	{
		caller_t *c = list_entry(pos, caller_t, link);

		if (c->x)
			exchange_abort(c->x, "stopping", now);
		c->x = NULL;
		caller_close(c);
	}
	if (f->listening)
		uv_close((uv_handle_t *)&f->listener, NULL);
	f->listening = false;
	uv_close((uv_handle_t *)&f->deferred, NULL);
}

/* Frees the proxy, after forward_close and once the loop has ended. */
void forward_free(forward_t *f)
{
	hist_free(f->answer_ms);
	g_free(f);
}
