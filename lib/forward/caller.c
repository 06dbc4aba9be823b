/* Connections from callers: reads requests, writes answers, closes. */
#include "forward/priv.h"

enum {
	READ_SIZE = 64 << 10, /* bytes */
	LINGER_MS = 1000, /* between the last answer and the close: a close with
			     bytes unread sends a reset, and the caller could
			     lose the answer */
	WRITE_STALL_MS = 10000, /* the same while the caller takes no bytes */
	NO_ROOM_RETRY_MS = 500, /* a large request takes about as long */
	/* Limits before the first configuration. */
	DEFAULT_HEADER_MAX = 16 << 10, /* bytes */
	DEFAULT_BODY_MAX = 4 << 20,    /* bytes */
	DEFAULT_HEADER_MS = 3000,
	DEFAULT_IDLE_MS = 15000,
};

/* Of the idle timeout, that a caller may leave the connection idle. */
static const double idle_share = 0.8;

static char read_buffer[READ_SIZE];

static void on_closed(uv_handle_t *h)
{
	caller_t *c = (caller_t *)h;

	c->forward->ncallers--;
	http_reader_clear(&c->in);
	writer_clear(&c->out);
	g_byte_array_free(c->pending, TRUE);
	g_free(c);
}

/* Closes the connection at once. The request in progress must be over. */
void caller_close(caller_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	http_reader_stop(&c->in);
	list_del(&c->link);
	list_del(&c->wake_link);
	list_init(&c->wake_link);
	if (c->reset && uv_tcp_close_reset(&c->tcp, on_closed) == 0)
		return;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

/* Puts work on the connection off to the next turn of the loop. */
void caller_wake(caller_t *c)
{
	if (c->closed || !list_empty(&c->wake_link))
		return;
	list_add_tail(&c->forward->woken, &c->wake_link);
	forward_defer(c->forward);
}

/*
 * Whether the caller has closed or reset the connection, which may not have
 * been read yet. Its request is then cancelled in the next turn of the loop.
 */
bool caller_left(caller_t *c)
{
	tcp_unread_t next = tcp_unread(&c->tcp);

	if (!c->broken && next != TCP_UNREAD_END && next != TCP_UNREAD_ERROR)
		return false;
	c->broken = true;
	caller_wake(c);
	return true;
}

/*
 * Breaks the answer off: closes before its end, so that the caller notices. One
 * that reads no chunks only notices a reset.
 */
void caller_cut(caller_t *c)
{
	c->broken = true;
	c->reset = !c->reads_chunks;
	c->x = NULL;
	c->answering = false;
	caller_wake(c);
}

/* Shuts our direction down once all that is queued was written. */
static void end_sending(caller_t *c)
{
	if (c->shutdown_sent || c->closed || writer_queued(&c->out) > 0)
		return;
	c->shutdown_sent = true;
	tcp_end(&c->tcp);
}

static void pause_reading(caller_t *c, bool pause);

/* Ends our direction and reads on for a while before the close. */
static void begin_close(caller_t *c, ms_t now)
{
	c->closing = true;
	c->since = now;
	pause_reading(c, false);
	c->left = writer_left(&c->out);
	end_sending(c);
}

/* Writes bytes of an answer. */
void caller_write(caller_t *c, const GByteArray *a)
{
	writer_put(&c->out, a->data, a->len);
	if (c->out.failed) {
		c->broken = true;
		caller_wake(c);
	}
}

/*
 * The answer to the request in progress is complete. Without keep the
 * connection is closed.
 */
void caller_done(caller_t *c, bool keep)
{
	ms_t now = clock_now();

	c->x = NULL;
	c->answering = false;
	c->since = now;
	if (!keep)
		begin_close(c, now);
	else if (c->pending->len > 0)
		caller_wake(c);
}

static const edge_limits_t *limits(const caller_t *c)
{
	static const edge_limits_t defaults = { DEFAULT_HEADER_MAX,
						DEFAULT_BODY_MAX,
						DEFAULT_HEADER_MS,
						DEFAULT_IDLE_MS };
	desired_t *d = edge_desired(c->forward->edge);

	return d ? &d->limits : &defaults;
}

/*
 * Returns how long the caller may leave the connection idle after the answer
 * that is being made, for it to be told. The connection is kept for longer, by
 * what the answer and the next request may take on their way.
 */
ms_t caller_keep_for(caller_t *c)
{
	c->idle_timeout = limits(c)->idle_timeout;
	return (ms_t)((double)c->idle_timeout * idle_share);
}

/*
 * Answers without a server. The request in progress must be over; its exchange
 * is freed by the code that calls this.
 */
void caller_local_reply(caller_t *c, int status, ms_t retry_after,
			const char *text)
{
	GByteArray *out = g_byte_array_new();
	exchange_t *x = c->x;
	bool close =
		!c->answering || c->forward->draining || (x && x->close_after);
	local_reply_t r = { .status = status,
			    .retry_after = retry_after,
			    .id = x && x->id ? str_of(x->id) : (str_t){ "", 0 },
			    .text = text,
			    .head_only = c->is_head_request };

	r.keep_for = close ? 0 : MAX(caller_keep_for(c), 1);
	c->forward->codec->write_local_reply(&r, out);
	caller_write(c, out);
	g_byte_array_free(out, TRUE);
	caller_done(c, !close);
}

/*
 * Rejects a request that is not read whole: it is malformed, too large or too
 * slow to arrive, or there is no memory for it. retry_after: when the caller
 * should come back; 0: not given.
 */
static void reject_request(caller_t *c, int status, ms_t retry_after,
			   const char *text)
{
	exchange_t *x = c->x;

	log_line(LOG_INFO, "request_malformed", "status=%d why=\"%s\" id=%s",
		 status, text, x && x->id ? x->id : "-");
	if (x)
		exchange_abort(x, text, clock_now());
	c->x = NULL;
	http_reader_stop(&c->in);
	c->answering = false;
	caller_local_reply(c, status, retry_after, text);
}

/* Whether so many more bytes of bodies may be held. */
static bool has_room(const caller_t *c, uint64_t bytes)
{
	return c->forward->body_bytes->value + bytes <= c->forward->room.bodies;
}

static bool on_head(void *ctx, const http_head_t *h)
{
	caller_t *c = ctx;
	const edge_limits_t *lim = limits(c);
	str_t expect = http_value(h, "expect");

	c->since = clock_now();
	c->is_head_request = http_name_is(h->method, "HEAD");
	c->reads_chunks = h->minor > 0;
	if (h->has_length && h->content_length > lim->body_max) {
		reject_request(c, 413, 0, "body too large");
		return false;
	}
	if (!has_room(c, h->content_length)) {
		reject_request(c, 503, NO_ROOM_RETRY_MS, "too much in hand");
		return false;
	}
	c->x = exchange_new(c, h);
	c->nrequests++;
	if (expect.n > 0 && http_name_is(expect, "100-continue"))
		writer_put(&c->out, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return false;
}

static void on_body(void *ctx, str_t data)
{
	caller_t *c = ctx;

	if (!c->x)
		return;
	if (c->x->body->len + data.n > limits(c)->body_max) {
		reject_request(c, 413, 0, "body too large");
		return;
	}
	if (!has_room(c, data.n)) {
		reject_request(c, 503, NO_ROOM_RETRY_MS, "too much in hand");
		return;
	}
	g_byte_array_append(c->x->body, (const guint8 *)data.p, data.n);
	c->forward->body_bytes->value += data.n;
}

static void on_end(void *ctx)
{
	caller_t *c = ctx;

	if (!c->x)
		return;
	c->answering = true;
	exchange_start(c->x, clock_now());
}

static const http_reader_ops_t in_ops = { on_head, on_body, on_end };

/* Reads up to the end of a request; what follows it is kept in pending. */
static void feed(caller_t *c, const char *p, size_t n)
{
	code_t code = CODE_OK;
	size_t used = 0;
	bool idle = http_reader_idle(&c->in);

	c->in.head_max = limits(c)->header_max;
	if (idle) {
		c->since = clock_now();
		c->is_head_request = false;
	}
	while (n > 0 && !c->answering && !c->closing && !c->closed) {
		code = http_reader_feed(&c->in, p, n, &used);
		p += used;
		n -= used;
		if (code != CODE_OK)
			break;
	}
	if (c->closed || c->closing)
		return;
	if (code == CODE_TOO_LARGE)
		reject_request(c, 431, 0, "header too large");
	else if (code != CODE_OK)
		reject_request(c, 400, 0, "malformed request");
	else if (n > 0)
		g_byte_array_append(c->pending, (const guint8 *)p, n);
}

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Cancels the request in progress and closes the connection. */
static void hang_up(caller_t *c)
{
	if (c->x)
		exchange_abort(c->x, "caller gone", clock_now());
	c->x = NULL;
	caller_close(c);
}

/*
 * Counts a read after the close. Of a connection that was closed as idle the
 * first is logged: the caller may have sent a request that nobody answers.
 */
static void count_late_read(caller_t *c, ssize_t bytes)
{
	c->forward->unread_at_close->value++;
	if (c->idle_for == 0)
		return;
	log_line(LOG_INFO, "read_after_close",
		 "bytes=%zd closed_for_ms=%lld idle_ms=%lld requests=%u", bytes,
		 (long long)(clock_now() - c->since), (long long)c->idle_for,
		 c->nrequests);
	c->idle_for = 0;
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

/*
 * Reads no more of the next requests until the one in progress is answered. A
 * caller that leaves meanwhile is noticed late.
 */
static void pause_reading(caller_t *c, bool pause)
{
	if (c->reading_paused == pause || c->closed)
		return;
	c->reading_paused = pause;
	if (pause)
		uv_read_stop((uv_stream_t *)&c->tcp);
	else
		uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	caller_t *c = (caller_t *)s;

	if (n < 0) {
		hang_up(c);
		return;
	}
	if (n == 0 || c->closed)
		return;
	if (c->closing) {
		count_late_read(c, n);
		return;
	}
	if (!c->answering && c->pending->len == 0) {
		feed(c, buf->base, (size_t)n);
		return;
	}
	g_byte_array_append(c->pending, (const guint8 *)buf->base, (guint)n);
	if (c->pending->len > PENDING_MAX)
		pause_reading(c, true);
}

/* Reads the requests that came while the last one was answered. */
static void feed_pending(caller_t *c)
{
	GByteArray *bytes = c->pending;

	if (c->answering || bytes->len == 0 || c->closing)
		return;
	c->pending = g_byte_array_new();
	feed(c, (const char *)bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
	if (c->pending->len <= PENDING_MAX)
		pause_reading(c, false);
}

/* Does the work that caller_wake put off. */
static void on_wake(caller_t *c)
{
	if (c->broken)
		hang_up(c);
	else
		feed_pending(c);
}

/* Does the work that was put off for callers. */
void forward_resume_callers(forward_t *f)
{
	while (!list_empty(&f->woken)) {
		caller_t *c = list_entry(f->woken.next, caller_t, wake_link);

		list_del(&c->wake_link);
		list_init(&c->wake_link);
		on_wake(c);
	}
}

static void on_drained(void *ctx)
{
	caller_t *c = ctx;

	if (c->out.failed) {
		c->broken = true;
		caller_wake(c);
	} else if (c->closing) {
		c->since = clock_now();
		end_sending(c);
	} else if (c->x && c->x->conn) {
		hconn_pause(c->x->conn->conn, false);
	}
}

/* Accepts a connection; closes it at once when there are too many. */
void caller_accept(forward_t *f)
{
	caller_t *c = g_new0(caller_t, 1);

	c->forward = f;
	f->ncallers++;
	list_add_tail(&f->callers, &c->link);
	list_init(&c->wake_link);
	c->pending = g_byte_array_new();
	c->since = clock_now();
	uv_tcp_init(f->loop, &c->tcp);
	http_reader_init(&c->in, true, DEFAULT_HEADER_MAX, &in_ops, c);
	writer_init(&c->out, (uv_stream_t *)&c->tcp, on_drained, c);
	if (uv_accept((uv_stream_t *)&f->listener, (uv_stream_t *)&c->tcp) ||
	    f->ncallers > f->conf.connections_max) {
		log_line(LOG_WARN, "caller_refused", "connections=%zu",
			 f->ncallers);
		caller_close(c);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/*
 * Closes a connection whose last answer has gone out for long enough, or whose
 * caller takes no bytes of it.
 */
static void closing_tick(caller_t *c, ms_t now)
{
	size_t left = writer_left(&c->out);

	if (left < c->left) {
		c->left = left;
		c->since = now;
	}
	if (c->out.failed ||
	    now - c->since > (left > 0 ? WRITE_STALL_MS : LINGER_MS))
		caller_close(c);
}

/* Closes connections that exceed a time limit. */
void caller_tick(caller_t *c, ms_t now)
{
	const edge_limits_t *lim = limits(c);
	ms_t idle_timeout =
		c->idle_timeout ? c->idle_timeout : lim->idle_timeout;
	ms_t age = now - c->since;
	bool reading = c->x || !http_reader_idle(&c->in);

	if (c->closing) {
		closing_tick(c, now);
		return;
	}
	if (c->answering)
		return;
	if (reading && age > lim->header_timeout)
		reject_request(c, 408, 0, "request not complete in time");
	else if (!reading && age > idle_timeout &&
		 tcp_unread(&c->tcp) != TCP_UNREAD_BYTES) {
		c->idle_for = age;
		begin_close(c, now);
	}
}
