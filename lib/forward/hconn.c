/*
 * A connection that we open, to a backend server or to the platform: one
 * request at a time, kept between them.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include "net/fns.h"
#include "forward/fns.h"

enum {
	ANSWER_HEAD_MAX = 64 << 10, /* bytes */
	READ_SIZE = 64 << 10,	    /* bytes */
	UNACKED_MS =
		3000, /* bytes unacknowledged this long: the path is lost */
};

struct hconn {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	writer_t out;
	http_in_t in;
	const hconn_ops_t *ops;
	void *ctx;
	ms_t opened;
	bool connected;
	bool closed;
	bool busy;	   /* a request was sent, its answer is not complete */
	bool keep;	   /* as the head of the present answer says */
	bool by_eof;	   /* the answer ends with the connection */
	GByteArray *early; /* to be written once connected */
};

static char read_buffer[READ_SIZE];

static void on_closed(uv_handle_t *h)
{
	hconn_t *l = (hconn_t *)h;

	http_in_clear(&l->in);
	writer_clear(&l->out);
	if (l->early)
		g_byte_array_free(l->early, TRUE);
	g_free(l);
}

/* Closes without telling; the link is freed later by the loop. */
void hconn_close(hconn_t *l)
{
	if (l->closed)
		return;
	l->closed = true;
	http_in_stop(&l->in);
	uv_close((uv_handle_t *)&l->tcp, on_closed);
}

static void fail(hconn_t *l, code_t code)
{
	if (l->closed)
		return;
	hconn_close(l);
	l->ops->gone(l->ctx, l, code);
}

/* CODE_NOT_SENT when no byte can have reached the other end. */
static code_t lost_code(const hconn_t *l)
{
	return l->out.wrote || writer_kept(&l->out) > 0 ? CODE_CUT
							: CODE_NOT_SENT;
}

static bool on_head(void *ctx, const http_head_t *h)
{
	hconn_t *l = ctx;

	l->keep = h->keep_alive;
	l->by_eof = !h->chunked && !h->measured;
	return l->ops->head(l->ctx, l, h);
}

static void on_body(void *ctx, str_t data)
{
	hconn_t *l = ctx;

	l->ops->body(l->ctx, l, data);
}

static void on_end(void *ctx)
{
	hconn_t *l = ctx;
	bool flushed = writer_kept(&l->out) == 0;

	l->busy = false;
	l->ops->end(l->ctx, l, l->keep && flushed && !l->out.failed);
}

static const http_in_ops_t in_ops = { on_head, on_body, on_end };

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void feed(hconn_t *l, const char *p, size_t n)
{
	code_t code = CODE_OK;
	size_t used;

	while (n > 0 && !l->closed && code == CODE_OK) {
		code = http_in_feed(&l->in, p, n, &used);
		p += used;
		n -= used;
	}
	if (code != CODE_OK)
		fail(l, CODE_BAD_ANSWER);
}

/*
 * Whether the other end closed, rather than reset, the connection. The event
 * loop reports both as the end when a reset comes together with the last data.
 */
static bool closed_in_order(hconn_t *l)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((uv_handle_t *)&l->tcp, &fd))
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	hconn_t *l = (hconn_t *)s;

	if (n > 0)
		feed(l, buf->base, (size_t)n);
	if (n >= 0 || l->closed)
		return;
	if (n == UV_EOF && l->by_eof && closed_in_order(l))
		http_in_eof(&l->in);
	fail(l, lost_code(l));
}

static void on_connected(uv_connect_t *req, int status)
{
	hconn_t *l = (hconn_t *)req->handle;

	if (l->closed)
		return;
	if (status < 0) {
		fail(l, CODE_NOT_SENT);
		return;
	}
	l->connected = true;
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
	if (l->early && l->early->len > 0) {
		writer_put(&l->out, l->early->data, l->early->len);
		g_byte_array_set_size(l->early, 0);
	}
}

static void set_options(hconn_t *l)
{
	unsigned int unacked = UNACKED_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&l->tcp, 1);
	if (uv_fileno((uv_handle_t *)&l->tcp, &fd) == 0 &&
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		       sizeof(unacked)))
		log_line(LOG_DEBUG, "socket_option", "name=user_timeout");
}

/*
 * Starts connecting. The result comes later, through gone or by the answer to
 * what is sent meanwhile. Returns NULL when no socket is to be had.
 */
hconn_t *hconn_open(uv_loop_t *loop, const addr_t *to, const hconn_ops_t *ops,
		    void *ctx)
{
	hconn_t *l = g_new0(hconn_t, 1);
	struct sockaddr_storage sa;
	int err;

	l->ops = ops;
	l->ctx = ctx;
	l->opened = clock_now();
	uv_tcp_init_ex(loop, &l->tcp, AF_INET);
	http_in_init(&l->in, false, ANSWER_HEAD_MAX, &in_ops, l);
	writer_init(&l->out, (uv_stream_t *)&l->tcp, NULL, l);
	err = tcp_sockaddr(to, &sa);
	if (!err) {
		set_options(l);
		err = uv_tcp_connect(&l->connecting, &l->tcp,
				     (struct sockaddr *)&sa, on_connected);
	}
	if (!err)
		return l;
	log_line(LOG_WARN, "connect_failed", "to=%s:%u why=%s", to->ip,
		 to->port, uv_err_name(err));
	hconn_close(l);
	return NULL;
}

/* Changes who is told what happens on the link. */
void hconn_set_ctx(hconn_t *l, void *ctx)
{
	l->ctx = ctx;
}

/* Returns who is told. */
void *hconn_ctx(const hconn_t *l)
{
	return l->ctx;
}

/* Sends a request; the last one must be answered. body may be NULL. */
void hconn_send(hconn_t *l, const GByteArray *head, const GByteArray *body)
{
	GByteArray *all;

	l->busy = true;
	l->out.wrote = false;
	if (l->connected && (!body || body->len == 0)) {
		writer_put(&l->out, head->data, head->len);
		return;
	}
	if (!l->early)
		l->early = g_byte_array_sized_new(head->len +
						  (body ? body->len : 0));
	all = l->early;
	g_byte_array_set_size(all, 0);
	g_byte_array_append(all, head->data, head->len);
	if (body)
		g_byte_array_append(all, body->data, body->len);
	if (!l->connected)
		return;
	writer_put(&l->out, all->data, all->len);
	g_byte_array_set_size(all, 0);
}

/* Whether the connection is not there yet. */
bool hconn_connecting(const hconn_t *l)
{
	return !l->connected;
}

/* When connecting began. */
ms_t hconn_opened(const hconn_t *l)
{
	return l->opened;
}

/* Whether the connection may take a request: nothing is left over on it. */
bool hconn_clean(const hconn_t *l)
{
	return !l->closed && !l->busy && http_in_idle(&l->in) && !l->out.failed;
}

/* Whether a byte of the last request may have reached the other end. */
bool hconn_wrote(const hconn_t *l)
{
	return l->out.wrote || writer_kept(&l->out) > 0;
}

/* Stops or goes on reading, so that a slow caller holds the server back. */
void hconn_pause(hconn_t *l, bool pause)
{
	if (l->closed || !l->connected)
		return;
	if (pause)
		uv_read_stop((uv_stream_t *)&l->tcp);
	else
		uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
}
