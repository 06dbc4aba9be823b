/*
 * An HTTP connection that we open, to a backend server or to the platform. It
 * carries one request at a time and stays open between requests.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include "net/fns.h"
#include "forward/fns.h"

enum {
	ANSWER_HEAD_MAX = 64 << 10, /* bytes */
	READ_SIZE = 64 << 10,	    /* bytes */
	/* Bytes of a request that is copied so that it goes out in one write.
	 */
	ONE_WRITE_MAX = 16 << 10,
	/* Bytes unacknowledged for so long: the network path is lost. */
	UNACKED_MS = 3000,
};

struct hconn {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	writer_t out;
	http_reader_t in;
	const hconn_ops_t *ops;
	void *ctx;
	bool (*may_send)(void *ctx); /* asked once connected; NULL: always */
	ms_t connect_start;	     /* when connecting began */
	bool connected;
	bool closed;
	bool busy;	  /* a request was sent, its answer is not complete */
	bool keep;	  /* the present answer's head allows another request */
	bool ends_by_eof; /* the answer ends when the connection closes */
	bool answered;	  /* the answer has ended; its user was not told yet */
	bool surplus;	  /* bytes of the present read follow the answer */
	bool failed;	  /* hconn_unread has met an error */
	GByteArray *unsent; /* to be written once connected */
};

static char read_buffer[READ_SIZE];

static void on_closed(uv_handle_t *h)
{
	hconn_t *c = (hconn_t *)h;

	http_reader_clear(&c->in);
	writer_clear(&c->out);
	if (c->unsent)
		g_byte_array_free(c->unsent, TRUE);
	g_free(c);
}

/* Closes without a callback; the loop frees the connection later. */
void hconn_close(hconn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	http_reader_stop(&c->in);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void fail(hconn_t *c, code_t code)
{
	if (c->closed)
		return;
	hconn_close(c);
	c->ops->gone(c->ctx, c, code);
}

/* Returns CODE_NOT_SENT if no byte can have reached the other end. */
static code_t lost_code(const hconn_t *c)
{
	return c->out.sent_any || writer_queued(&c->out) > 0 ? CODE_CUT
							     : CODE_NOT_SENT;
}

static bool on_head(void *ctx, const http_head_t *h)
{
	hconn_t *c = ctx;

	c->keep = h->keep_alive;
	c->ends_by_eof = !h->chunked && !h->has_length;
	return c->ops->head(c->ctx, c, h);
}

static void on_body(void *ctx, str_t data)
{
	hconn_t *c = ctx;

	c->ops->body(c->ctx, c, data);
}

static void on_end(void *ctx)
{
	hconn_t *c = ctx;

	c->answered = true;
}

/* Tells the user that the answer is complete, if it has ended. */
static void pass_end(hconn_t *c)
{
	bool flushed = writer_queued(&c->out) == 0;

	if (!c->answered || c->closed)
		return;
	c->answered = false;
	c->busy = false;
	c->ops->end(c->ctx, c, c->keep && flushed && !c->out.failed);
}

static const http_reader_ops_t in_ops = { on_head, on_body, on_end };

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void feed(hconn_t *c, const char *p, size_t n)
{
	code_t code = CODE_OK;
	size_t used;

	while (n > 0 && !c->closed && code == CODE_OK) {
		code = http_reader_feed(&c->in, p, n, &used);
		p += used;
		n -= used;
		c->surplus = n > 0;
		pass_end(c);
	}
	if (code != CODE_OK)
		fail(c, CODE_BAD_ANSWER);
}

/*
 * Whether the connection was closed in order when a read has reported UV_EOF.
 * libuv also reports that for a reset that comes with the last data. The system
 * reports a reset once: after a write or hconn_unread has met it, reads find an
 * orderly end.
 */
static bool closed_in_order(const hconn_t *c)
{
	return !c->out.failed && !c->failed &&
	       tcp_unread(&c->tcp) == TCP_UNREAD_END;
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	hconn_t *c = (hconn_t *)s;

	if (n > 0)
		feed(c, buf->base, (size_t)n);
	if (n >= 0 || c->closed)
		return;
	if (n == UV_EOF && c->ends_by_eof && closed_in_order(c))
		http_reader_eof(&c->in);
	pass_end(c);
	fail(c, lost_code(c));
}

static void on_connected(uv_connect_t *req, int status)
{
	hconn_t *c = (hconn_t *)req->handle;

	if (c->closed)
		return;
	if (status < 0) {
		fail(c, CODE_NOT_SENT);
		return;
	}
	c->connected = true;
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (c->may_send && !c->may_send(c->ctx))
		return;
	if (c->unsent && c->unsent->len > 0) {
		writer_put(&c->out, c->unsent->data, c->unsent->len);
		buffer_empty(&c->unsent);
	}
}

static void set_options(hconn_t *c)
{
	unsigned int unacked = UNACKED_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&c->tcp, 1);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0 &&
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		       sizeof(unacked)))
		log_line(LOG_DEBUG, "socket_option", "name=user_timeout");
}

/*
 * Starts connecting. A failure is reported later through gone; a request may
 * be sent meanwhile. Returns NULL if connecting cannot even start.
 */
hconn_t *hconn_open(uv_loop_t *loop, const addr_t *to, const hconn_ops_t *ops,
		    void *ctx)
{
	hconn_t *c = g_new0(hconn_t, 1);
	struct sockaddr_storage sa;
	int err;

	c->ops = ops;
	c->ctx = ctx;
	c->connect_start = clock_now();
	uv_tcp_init_ex(loop, &c->tcp, AF_INET);
	http_reader_init(&c->in, false, ANSWER_HEAD_MAX, &in_ops, c);
	writer_init(&c->out, (uv_stream_t *)&c->tcp, NULL, c);
	err = tcp_sockaddr(to, &sa);
	if (!err) {
		set_options(c);
		err = uv_tcp_connect(&c->connecting, &c->tcp,
				     (struct sockaddr *)&sa, on_connected);
	}
	if (!err)
		return c;
	log_line(LOG_WARN, "connect_failed", "to=%s:%u why=%s", to->ip,
		 to->port, uv_err_name(err));
	hconn_close(c);
	return NULL;
}

/* Sets the context that the callbacks get. */
void hconn_set_ctx(hconn_t *c, void *ctx)
{
	c->ctx = ctx;
}

/*
 * Sets what is asked before a request that waits for the connection is sent. If
 * it returns false, the request is not sent and the caller has to close.
 */
void hconn_set_may_send(hconn_t *c, bool (*may_send)(void *ctx))
{
	c->may_send = may_send;
}

/* Returns the context that the callbacks get. */
void *hconn_ctx(const hconn_t *c)
{
	return c->ctx;
}

/*
 * Sends a request, at once or when connected. The answer to the last one must
 * be complete. body may be NULL.
 */
void hconn_send(hconn_t *c, const GByteArray *head, const GByteArray *body)
{
	size_t size = head->len + (body ? body->len : 0);

	c->busy = true;
	c->out.sent_any = false;
	if (c->connected && (size == head->len || size > ONE_WRITE_MAX)) {
		writer_put(&c->out, head->data, head->len);
		if (size > head->len)
			writer_put(&c->out, body->data, body->len);
		return;
	}
	if (!c->unsent)
		c->unsent = g_byte_array_sized_new(size);
	g_byte_array_append(c->unsent, head->data, head->len);
	if (body)
		g_byte_array_append(c->unsent, body->data, body->len);
	if (!c->connected)
		return;
	writer_put(&c->out, c->unsent->data, c->unsent->len);
	buffer_empty(&c->unsent);
}

/* Whether the connection is not established yet. */
bool hconn_connecting(const hconn_t *c)
{
	return !c->connected;
}

/* Returns the time when connecting began. */
ms_t hconn_connect_start(const hconn_t *c)
{
	return c->connect_start;
}

/*
 * Whether the connection can carry another request: no answer is outstanding
 * and no bytes are left over on it.
 */
bool hconn_reusable(const hconn_t *c)
{
	return !c->closed && !c->busy && http_reader_idle(&c->in) &&
	       !c->out.failed;
}

/*
 * Whether bytes that were read with the answer follow it. They belong to no
 * request that was sent.
 */
bool hconn_has_surplus(const hconn_t *c)
{
	return c->surplus;
}

/* Whether a byte of the last request may have reached the other end. */
bool hconn_sent_any(const hconn_t *c)
{
	return c->out.sent_any || writer_queued(&c->out) > 0;
}

/*
 * Whether something from the other end lies unread: the event loop was busy, or
 * reading is paused.
 */
bool hconn_unread(hconn_t *c)
{
	tcp_unread_t next;

	if (!c->connected || c->closed)
		return false;
	next = tcp_unread(&c->tcp);
	if (next == TCP_UNREAD_ERROR)
		c->failed = true;
	return next != TCP_UNREAD_NONE;
}

/* Pauses or resumes reading, so that a slow caller slows the server down. */
void hconn_pause(hconn_t *c, bool pause)
{
	if (c->closed || !c->connected)
		return;
	if (pause)
		uv_read_stop((uv_stream_t *)&c->tcp);
	else
		uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}
