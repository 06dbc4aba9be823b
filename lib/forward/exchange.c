/* One caller's request: routed, sent to a server, its answer passed on. */
#include <inttypes.h>
#include <string.h>
#include "forward/priv.h"

enum {
	/*
	 * A caller is expected to give a stream up after a silence of the
	 * longest of these.
	 */
	SILENCE_MIN_MS = 2000,
	SILENCE_FIRST_TARGETS = 4, /* times the first event's latency target */
	SILENCE_GAP_TARGETS = 8,   /* times the target of the gap */
	/* Retry-After of a stopping host; another takes the connection. */
	STOPPING_RETRY_MS = 50,
	/* A starting host gets its first configuration well within this. */
	CONFIG_WAIT_MS = 150,
	/*
	 * Retry-After of a host that still has none: it cannot reach the store,
	 * and the next connection may go to another host.
	 */
	NO_CONFIG_RETRY_MS = 200,
};

/* Returns a copy, or NULL for an empty string. */
static char *copy_of(str_t s)
{
	return s.n > 0 ? g_strndup(s.p, s.n) : NULL;
}

static str_t str_or_empty(const char *s)
{
	return s ? str_of(s) : (str_t){ "", 0 };
}

/* Makes an exchange from a request's head. */
exchange_t *exchange_new(caller_t *c, const http_head_t *h)
{
	exchange_t *x = g_new0(exchange_t, 1);

	x->forward = c->forward;
	x->caller = c;
	list_init(&x->failed_link);
	list_add_tail(&c->forward->exchanges, &x->link);
	x->request_head = g_byte_array_sized_new(512);
	x->body = g_byte_array_new();
	c->forward->codec->read_call(h, &x->call, x->request_head);
	x->id = copy_of(x->call.id);
	x->key = copy_of(x->call.key);
	x->host = copy_of(x->call.host);
	x->target = copy_of(x->call.target);
	x->call.id = str_or_empty(x->id);
	x->call.key = str_or_empty(x->key);
	x->call.host = str_or_empty(x->host);
	x->call.target = str_or_empty(x->target);
	x->head_content = content_of_head(h, &x->call);
	x->has_body = h->chunked || h->has_length;
	x->close_after = !h->keep_alive || !c->reads_chunks;
	x->req.parts = x->call.parts;
	x->req.nparts = x->call.nparts;
	c->forward->requests->value++;
	c->forward->parts_omitted->value += x->call.parts_omitted;
	return x;
}

static void buffer_free(GByteArray *b)
{
	if (b)
		g_byte_array_free(b, TRUE);
}

static void exchange_free(exchange_t *x)
{
	answer_drop(x);
	list_del(&x->link);
	list_del(&x->failed_link);
	if (x->conn)
		server_conn_close(x->conn);
	trace_clear(x);
	buffer_free(x->request_head);
	x->forward->body_bytes->value -= x->body->len;
	buffer_free(x->body);
	buffer_free(x->answer_head);
	buffer_free(x->ready_events);
	desired_unref(x->req.desired);
	g_free(x->id);
	g_free(x->key);
	g_free(x->host);
	g_free(x->target);
	g_free(x);
}

/* Counts how a request ended, by outcome and status. */
static void count_request_end(exchange_t *x, const char *outcome, int status,
			      ms_t now)
{
	char labels[128];

	g_snprintf(labels, sizeof(labels), "outcome=\"%s\",status=\"%d\"",
		   outcome, status);
	counter_get(x->forward->counters, "edge_requests_ended_total", labels)
		->value++;
	if (status >= 200 && status < 300 && x->req.arrived)
		hist_add(x->forward->answer_ms, now - x->req.arrived);
}

/*
 * Logs the trace of a request that ended and how it ended. A status below 400
 * is a success; 0 means that the answer was cut off or not given.
 */
static void log_request_end(exchange_t *x, const char *outcome, int status,
			    ms_t now)
{
	const request_t *r = &x->req;

	count_request_end(x, outcome, status, now);
	if (!trace_should_log(x, status >= 400 || status == 0, now))
		return;
	trace_log(x);
	log_line(LOG_INFO, "request_end",
		 "id=%s outcome=%s status=%d route=%s customer=%s config=%llu "
		 "runs=%u dispatches=%u events=%u took_ms=%lld first_ms=%lld "
		 "left_ms=%lld cost=%.0f wait_ms=%lld gap_ms=%lld "
		 "gap_target_ms=%lld",
		 x->id ? x->id : "-", outcome, status,
		 r->route ? r->route->name : "-",
		 r->customer ? r->customer->name : "-",
		 r->desired ? (unsigned long long)r->desired->version : 0,
		 r->executions, r->dispatches, x->events,
		 r->arrived ? (long long)(now - r->arrived) : 0,
		 x->first_event_at ? (long long)(x->first_event_at - r->arrived)
				   : -1,
		 r->deadline ? (long long)(r->deadline - now) : 0, r->cost,
		 r->dispatches ? (long long)r->waited : -1,
		 (long long)x->gap_max,
		 r->route ? (long long)r->route->gap_target : 0);
}

/* Answers without a server and ends the exchange. */
static void local_reply(exchange_t *x, int status, ms_t retry_after,
			const char *text)
{
	log_request_end(x, text, status, clock_now());
	caller_local_reply(x->caller, status, retry_after, text);
	exchange_free(x);
}

/* Breaks the answer off and ends the exchange. */
static void cut(exchange_t *x, const char *why)
{
	log_request_end(x, why, 0, clock_now());
	caller_cut(x->caller);
	exchange_free(x);
}

/* Ends the exchange without an answer. */
void exchange_abort(exchange_t *x, const char *why, ms_t now)
{
	if (x->req.pool) {
		log_request_end(x, why, 0, now);
		if (x->conn)
			server_conn_close(x->conn);
		if (x->req.state != REQUEST_ENDED)
			edge_abandon(x->forward->edge, &x->req, now);
	}
	exchange_free(x);
}

static void set_deadlines(exchange_t *x, ms_t now)
{
	const edge_route_t *rt = x->req.route;
	request_t *r = &x->req;
	ms_t wait = rt->timeout;

	if (x->call.timeout > 0)
		wait = MIN(wait, x->call.timeout);
	r->arrived = now;
	r->deadline = now + wait;
	r->first_event_by = now + rt->first_event_target;
	r->give_up_at = r->deadline;
	if (rt->stream)
		r->give_up_at =
			now +
			MAX(MAX(SILENCE_MIN_MS,
				rt->first_event_target * SILENCE_FIRST_TARGETS),
			    rt->gap_target * SILENCE_GAP_TARGETS);
}

/* Finds route and customer. Returns 0, or the status to refuse with. */
static int admit(exchange_t *x, desired_t *d, const char **text)
{
	request_t *r = &x->req;

	r->route = desired_route(d, x->call.host, x->call.target);
	if (!r->route) {
		*text = "no such route";
		return 404;
	}
	r->customer = desired_customer(d, x->call.key);
	if (!r->customer && !r->route->public && d->customers->len > 0) {
		*text = "unknown key";
		return 401;
	}
	return 0;
}

/* Checks the request against configuration d and hands it to the edge. */
static void submit(exchange_t *x, desired_t *d, ms_t now)
{
	request_t *r = &x->req;
	const char *text = NULL;
	char *parts;
	int status;

	if (forward_refuses_new(x->forward, now)) {
		local_reply(x, 503, STOPPING_RETRY_MS, "stopping");
		return;
	}
	if (!d) {
		local_reply(x, 503, NO_CONFIG_RETRY_MS, "no configuration yet");
		return;
	}
	r->desired = desired_ref(d);
	status = admit(x, d, &text);
	if (status) {
		local_reply(x, status, 0, text);
		return;
	}
	set_deadlines(x, now);
	r->id = x->id ? x->id : "-";
	r->priority = edge_priority(r->route, r->customer);
	r->prompt = x->call.prompt_tokens;
	r->output = x->call.output_tokens > 0 ? x->call.output_tokens
					      : x->call.output_tokens_max;
	r->tokens = x->call.prompt_tokens + x->call.output_tokens_max;
	r->content =
		content_of(x->head_content,
			   r->customer ? r->customer->name : NULL, x->body);
	parts = trace_parts(x);
	trace_add(x, now, "accepted",
		  "route=%s priority=%u customer=%s config=%llu prompt=%.0f "
		  "output=%.0f tokens=%.0f timeout_ms=%lld giveup_ms=%lld "
		  "target_ms=%lld body=%u content=%" PRIx64
		  " parts=%s parts_omitted=%u",
		  r->route->name, r->priority,
		  r->customer ? r->customer->name : "-",
		  (unsigned long long)d->version, r->prompt, r->output,
		  r->tokens, (long long)(r->deadline - now),
		  (long long)(r->give_up_at - now),
		  (long long)(r->first_event_by - now), x->body->len,
		  r->content, parts, x->call.parts_omitted);
	g_free(parts);
	edge_submit(x->forward->edge, r, now);
}

/*
 * Starts work on a request that was read whole. A request that comes before the
 * host's first configuration waits up to CONFIG_WAIT_MS for it: a host that has
 * just started gets it within some ms, which is less than a retry would take.
 */
void exchange_start(exchange_t *x, ms_t now)
{
	desired_t *d = edge_desired(x->forward->edge);

	x->read_at = now;
	x->awaits_config = !d && !forward_refuses_new(x->forward, now);
	if (!x->awaits_config)
		submit(x, d, now);
}

/* Submits a waiting request once there is a configuration, or refuses it. */
static void poll_config(exchange_t *x, ms_t now)
{
	desired_t *d = edge_desired(x->forward->edge);

	if (!d && now - x->read_at < CONFIG_WAIT_MS)
		return;
	x->awaits_config = false;
	submit(x, d, now);
}

/* Answers a request that the edge gave up, by whether it may have run. */
void exchange_refuse(exchange_t *x, code_t code, ms_t retry_after)
{
	int status = code == CODE_OVER_LIMIT ? 429 : 503;

	if (x->answer_begun)
		cut(x, "no server to go on at");
	else if (x->req.executions > 0)
		local_reply(x, 502, 0, "server lost, none to repeat at");
	else
		local_reply(x, status, retry_after, code_name(code));
}

static void finish(exchange_t *x)
{
	bool keep = !x->says_close;

	answer_send(x);
	log_request_end(x, "answered", x->status, clock_now());
	caller_done(x->caller, keep);
	exchange_free(x);
}

/* Whether an attempt with that result certainly did not run the request. */
static bool not_run(attempt_result_t how)
{
	return how == ATTEMPT_REJECTED || how == ATTEMPT_NOT_SENT ||
	       how == ATTEMPT_WRONG_SERVER;
}

/* Answers a request that failed and is not retried. */
static void fail(exchange_t *x, attempt_result_t how, ms_t now)
{
	if (x->answer_begun)
		cut(x, "server lost in the stream");
	else if (not_run(how) && x->req.executions == 0)
		local_reply(x, 503,
			    edge_retry_after(x->forward->edge, &x->req, now),
			    "no server took it");
	else
		local_reply(x, 502, 0, "server lost");
}

/* Whether another server can resume the stream from the last event passed. */
static bool is_resumable(const exchange_t *x)
{
	return x->req.route->stream && (!x->answer_begun || x->has_last_event);
}

/*
 * Whether callers take the status for a promise that the request was not run.
 * A server's answer gives it only with the field for that.
 */
static bool says_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Ends an attempt: passes the answer on, fails, or lets the edge retry. */
void exchange_attempt_end(exchange_t *x, attempt_result_t how, ms_t now)
{
	bool resumable = is_resumable(x);
	bool answered = how == ATTEMPT_ANSWERED || how == ATTEMPT_FAILED;
	next_action_t next;

	trace_add(x, now, "attempt_end",
		  "server=%s result=%s status=%d events=%u resumable=%d",
		  x->req.server->id, attempt_result_name(how), x->status,
		  x->events, resumable);
	if (x->answer_begun && how == ATTEMPT_FAILED)
		answered = false;
	if (!answered)
		answer_drop(x);
	next = edge_attempt_ended(x->forward->edge, &x->req, how, resumable,
				  now);
	if (next == NEXT_RETRY)
		return;
	if (answered && !says_not_run(x->status))
		finish(x);
	else
		fail(x, how, now);
}

/* Whether no byte of the request went to a server, in any attempt. */
static bool is_unsent(const exchange_t *x)
{
	return x->req.executions == 0 &&
	       (!x->conn || hconn_connecting(x->conn->conn));
}

static void leave_edge(exchange_t *x, ms_t now)
{
	if (x->conn)
		server_conn_close(x->conn);
	if (x->req.pool)
		edge_abandon(x->forward->edge, &x->req, now);
}

/* Whether the request is at a server. */
bool exchange_running(const exchange_t *x)
{
	return x->req.state == REQUEST_RUNNING;
}

/*
 * Ends an exchange whose request was read whole, at the end of the shutdown:
 * with an answer unless one has begun.
 */
void exchange_stop(exchange_t *x, ms_t now)
{
	bool unsent = is_unsent(x);

	leave_edge(x, now);
	if (x->answer_begun)
		cut(x, "stopping");
	else if (unsent)
		local_reply(x, 503, STOPPING_RETRY_MS, "stopping");
	else
		local_reply(x, 502, 0, "stopping, the answer not awaited");
}

/* Ends a request whose deadline has passed. */
static void expire(exchange_t *x, ms_t now)
{
	bool unsent = is_unsent(x);

	leave_edge(x, now);
	answer_drop(x);
	if (x->answer_begun)
		cut(x, "time is up");
	else if (unsent)
		local_reply(x, 503, 0, "time is up, not sent");
	else
		local_reply(x, 504, 0, "time is up");
}

static void leave_silent(exchange_t *x, ms_t now)
{
	server_conn_close(x->conn);
	exchange_attempt_end(x, ATTEMPT_SILENT, now);
}

/*
 * Ends an attempt for its server's silence. Returns false if bytes have come
 * from the server after all.
 */
bool exchange_leave_silent(exchange_t *x, ms_t now)
{
	if (!x->conn || hconn_unread(x->conn->conn))
		return false;
	leave_silent(x, now);
	return true;
}

/* Checks the time limits of a request that is at a server. */
void exchange_tick(exchange_t *x, ms_t now)
{
	forward_t *f = x->forward;
	server_conn_t *c = x->conn;
	request_t *r = &x->req;

	if (x->awaits_config) {
		poll_config(x, now);
		return;
	}
	if (r->state != REQUEST_RUNNING || !c)
		return;
	if (now >= r->deadline) {
		expire(x, now);
	} else if (hconn_connecting(c->conn)) {
		if (now - hconn_connect_start(c->conn) <=
		    f->conf.connect_timeout)
			return;
		server_conn_close(c);
		exchange_attempt_end(x, ATTEMPT_NOT_SENT, now);
	} else if (edge_stalled(r, now) && !hconn_unread(c->conn) &&
		   edge_give_up_silent(f->edge, r, is_resumable(x), now)) {
		leave_silent(x, now);
	}
}
