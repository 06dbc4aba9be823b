/*
 * The answer to a caller's request: read from a server, held or passed on, and
 * ended.
 */
#include "forward/priv.h"

enum {
	ANSWER_MAX = 32 << 20, /* bytes of an answer that is not a stream */
};

/* Counts what is held of the exchange's answer. */
static void count_held(exchange_t *x)
{
	GByteArray *partial = x->event_reader.partial;
	size_t now = (x->answer_body ? x->answer_body->len : 0) +
		     (partial ? partial->len : 0);

	x->forward->answer_bytes->value += now - x->held;
	x->held = now;
}

/*
 * Frees what is held of an answer that is not passed on. An event that had
 * begun exists: the stream is not whole before another one has come.
 */
void answer_drop(exchange_t *x)
{
	if (x->event_reader.partial && x->event_reader.partial->len > 0)
		x->event_owed = true;
	event_reader_clear(&x->event_reader);
	g_clear_pointer(&x->answer_body, g_byte_array_unref);
	count_held(x);
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
	g_clear_pointer(&x->answer_head, g_byte_array_unref);
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
void answer_head_read(exchange_t *x, const http_head_t *h)
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
	answer_drop(x);
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
	x->event_owed = false;
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
	else
		x->gap_max = MAX(x->gap_max, now - x->passed_at);
	x->passed_at = now;
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
		answer_drop(largest);
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
void answer_body_read(exchange_t *x, str_t data)
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
	else if (f->answer_bytes->value > f->room.answers)
		refuse_largest(f);
}

/* Handles the end of an answer's body. Returns whether the answer is good. */
bool answer_body_end(exchange_t *x)
{
	if (x->streaming)
		return x->event_reader.partial->len == 0 && !x->event_owed;
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
void answer_send(exchange_t *x)
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
