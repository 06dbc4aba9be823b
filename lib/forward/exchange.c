/* One caller's request: routed, sent to a server, its answer passed on. */
#include <inttypes.h>
#include <string.h>
#include "forward/priv.h"

enum {
	ANSWER_MAX = 32 << 20, /* bytes of an answer that is not a stream */
	/* Bytes held of all answers; above it the largest is given up. */
	ANSWERS_MAX = 64 << 20,
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

/* Counts what is held of the exchange's answer. */
static void count_held(exchange_t *x)
{
	GByteArray *partial = x->event_reader.partial;
	size_t now = (x->answer_body ? x->answer_body->len : 0) +
		     (partial ? partial->len : 0);

	x->forward->answer_bytes->value += now - x->held;
	x->held = now;
}

/* Frees what is held of an answer that is not passed on. */
static void drop_answer(exchange_t *x)
{
	event_reader_clear(&x->event_reader);
	buffer_free(x->answer_body);
	x->answer_body = NULL;
	count_held(x);
}

static void exchange_free(exchange_t *x)
{
	drop_answer(x);
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
		 "left_ms=%lld cost=%.0f",
		 x->id ? x->id : "-", outcome, status,
		 r->route ? r->route->name : "-",
		 r->customer ? r->customer->name : "-",
		 r->desired ? (unsigned long long)r->desired->version : 0,
		 r->executions, r->dispatches, x->events,
		 r->arrived ? (long long)(now - r->arrived) : 0,
		 x->first_event_at ? (long long)(x->first_event_at - r->arrived)
				   : -1,
		 r->deadline ? (long long)(r->deadline - now) : 0, r->cost);
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

/* Builds the head of the caller's answer, without its end. */
static void make_head(exchange_t *x, const http_head_t *h)
{
	GByteArray *out = g_byte_array_sized_new(512);
	char line[64];

	g_snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", h->status,
		   http_reason(h->status));
	http_put(out, line);
	for (size_t i = 0; i < h->nfields; i++) {
		const http_field_t *f = &h->fields[i];

		if (http_is_hop_by_hop(h, f->name) ||
		    (http_name_is(f->name, "content-length") &&
		     !x->caller->is_head_request))
			continue;
		http_put_field(out, f->name, f->value);
	}
	x->says_close = x->forward->draining || x->close_after;
	if (x->says_close)
		http_put(out, "Connection: close\r\n");
	else
		http_put_keep_alive(out, caller_keep_for(x->caller));
	buffer_free(x->answer_head);
	x->answer_head = out;
	if (x->req.route->stream)
		x->form = form_of_answer(h);
}

/* Whether the answer's head can be followed by a body. */
static bool may_have_body(const exchange_t *x)
{
	return !x->caller->is_head_request && http_status_has_body(x->status);
}

/*
 * Whether an answer belongs to another request. Servers return the request's
 * id; a late second answer to an earlier request on the connection may come
 * without it.
 */
static bool is_stray(const exchange_t *x, const answer_t *a)
{
	if (!x->id)
		return false;
	if (a->id.n == 0)
		return x->conn->requests_sent > 1;
	return !str_eq(a->id, str_of(x->id));
}

/* Handles the head of an answer on the exchange's connection. */
void exchange_head(exchange_t *x, const http_head_t *h)
{
	forward_t *f = x->forward;
	answer_t a = { 0 };
	ms_t now = clock_now();

	f->codec->read_answer(h, &a);
	if (a.has_idle_timeout)
		x->conn->idle_timeout = a.idle_timeout;
	x->stray = is_stray(x, &a);
	if (x->stray)
		return;
	if (!a.wrong_server)
		edge_server_word(f->edge, x->req.server, &a.word, now);
	if (a.has_load)
		edge_server_load(f->edge, x->req.server, a.running, a.waiting,
				 now);
	x->status = h->status;
	x->rejected = a.not_run;
	x->wrong_server = a.wrong_server;
	x->bad_answer = h->status < 300 && !a.has_signature;
	x->unrelated = x->answer_begun && form_of_answer(h) != x->form;
	x->streaming = h->status < 300 && x->req.route->stream &&
		       may_have_body(x) && !x->bad_answer && !x->unrelated;
	drop_answer(x);
	x->answer_body = g_byte_array_new();
	if (!x->answer_begun)
		make_head(x, h);
	if (!x->streaming)
		return;
	event_reader_init(&x->event_reader);
	if (!x->ready_events)
		x->ready_events = g_byte_array_new();
}

static void on_event(void *ctx, str_t event, bool has_id, uint64_t id)
{
	exchange_t *x = ctx;

	if (has_id && x->has_last_event && id <= x->last_event_id)
		return;
	if (has_id) {
		x->has_last_event = true;
		x->last_event_id = id;
	}
	x->events++;
	http_put_str(x->ready_events, event);
}

/* Appends the head of a stream, unless it was sent. */
static void put_stream_head(exchange_t *x, GByteArray *out)
{
	if (x->answer_begun)
		return;
	x->answer_begun = true;
	g_byte_array_append(out, x->answer_head->data, x->answer_head->len);
	if (x->caller->reads_chunks)
		http_put(out, "Transfer-Encoding: chunked\r\n");
	http_put(out, "\r\n");
}

/* Appends a part of a stream, as a chunk where the caller reads them. */
static void put_part(const exchange_t *x, const GByteArray *part,
		     GByteArray *out)
{
	char size[24];

	g_snprintf(size, sizeof(size), "%x\r\n", part->len);
	if (x->caller->reads_chunks)
		http_put(out, size);
	g_byte_array_append(out, part->data, part->len);
	if (x->caller->reads_chunks)
		http_put(out, "\r\n");
}

/* Sends the complete events of this read, with the head before the first. */
static void pass_events(exchange_t *x, ms_t now)
{
	GByteArray *out;

	if (x->ready_events->len == 0)
		return;
	if (!x->first_event_at)
		x->first_event_at = now;
	out = g_byte_array_sized_new(x->ready_events->len + 640);
	put_stream_head(x, out);
	put_part(x, x->ready_events, out);
	g_byte_array_set_size(x->ready_events, 0);
	caller_write(x->caller, out);
	g_byte_array_free(out, TRUE);
	if (writer_queued(&x->caller->out) > QUEUED_MAX && x->conn)
		hconn_pause(x->conn->conn, true);
}

/*
 * Gives up an answer that is over a limit: closes its connection, frees what is
 * held of it and ends the attempt. The exchange may be freed on return.
 */
static void refuse_answer(exchange_t *x, const char *why)
{
	ms_t now = clock_now();
	char label[32];

	g_snprintf(label, sizeof(label), "why=\"%s\"", why);
	counter_get(x->forward->counters, "edge_answers_refused_total", label)
		->value++;
	log_line(LOG_WARN, "answer_refused",
		 "id=%s server=%s why=%s held=%zu unkept=%zu",
		 x->id ? x->id : "-", x->req.server->id, why, x->held,
		 x->unkept_bytes);
	server_conn_close(x->conn);
	exchange_attempt_end(x, ATTEMPT_BAD_ANSWER, now);
}

/* Frees memory: gives up the largest answer that is held. */
static void refuse_largest(forward_t *f)
{
	exchange_t *largest = NULL;
	list_t *pos;

	for (pos = f->exchanges.next; pos != &f->exchanges; pos = pos->next) {
		exchange_t *x = list_entry(pos, exchange_t, link);

		if (!largest || x->held > largest->held)
			largest = x;
	}
	if (largest && largest->conn)
		refuse_answer(largest, "sum");
	else if (largest)
		drop_answer(largest);
}

/* Reads over bytes that are not passed on. Returns false beyond the limit. */
static bool skip_bytes(exchange_t *x, str_t data)
{
	x->unkept_bytes += data.n;
	return x->unkept_bytes <= ANSWER_MAX;
}

static bool keep_bytes(exchange_t *x, str_t data)
{
	if (x->answer_body->len + data.n > ANSWER_MAX)
		return false;
	g_byte_array_append(x->answer_body, (const guint8 *)data.p, data.n);
	return true;
}

/* Passes complete events on. Returns false if an event is too long. */
static bool take_events(exchange_t *x, str_t data)
{
	ms_t now = clock_now();
	bool fits;

	if (!x->req.responded)
		edge_first_event(x->forward->edge, &x->req, now);
	else
		edge_event(x->forward->edge, &x->req, now);
	fits = event_reader_feed(&x->event_reader, data, on_event, x);
	pass_events(x, now);
	return fits;
}

/*
 * Handles bytes of an answer's body. The exchange may be freed on return, and
 * so may others.
 */
void exchange_body(exchange_t *x, str_t data)
{
	forward_t *f = x->forward;
	const char *why;
	bool fits;

	if (x->stray || x->bad_answer || x->unrelated) {
		why = x->stray	      ? "stray"
		      : x->bad_answer ? "unsigned"
				      : "unrelated";
		fits = skip_bytes(x, data);
	} else if (x->streaming) {
		why = "event";
		fits = take_events(x, data);
	} else {
		why = "body";
		fits = keep_bytes(x, data);
	}
	count_held(x);
	if (!fits)
		refuse_answer(x, why);
	else if (f->answer_bytes->value > ANSWERS_MAX)
		refuse_largest(f);
}

/* Handles the end of an answer's body. Returns whether the answer is good. */
bool exchange_body_end(exchange_t *x)
{
	if (x->streaming)
		return x->event_reader.partial->len == 0;
	if (!x->req.responded && x->req.state == REQUEST_RUNNING)
		edge_first_event(x->forward->edge, &x->req, clock_now());
	return !x->bad_answer;
}

/* Sends the end of a stream, and its head if no event came. */
static void end_stream(exchange_t *x)
{
	GByteArray *out = g_byte_array_new();

	put_stream_head(x, out);
	if (x->caller->reads_chunks)
		http_put(out, "0\r\n\r\n");
	caller_write(x->caller, out);
	g_byte_array_free(out, TRUE);
}

/* Sends a complete answer, or the end of a stream. */
static void send_answer(exchange_t *x)
{
	GByteArray *out;

	if (x->streaming) {
		end_stream(x);
		return;
	}
	out = x->answer_head;
	if (may_have_body(x))
		http_put_number(out, "Content-Length", x->answer_body->len);
	http_put(out, "\r\n");
	if (may_have_body(x))
		g_byte_array_append(out, x->answer_body->data,
				    x->answer_body->len);
	caller_write(x->caller, out);
}

static void finish(exchange_t *x)
{
	bool keep = !x->says_close;

	send_answer(x);
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
		drop_answer(x);
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
	drop_answer(x);
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
