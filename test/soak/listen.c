/* A small HTTP server whose every byte the soak controls. */
#include <string.h>
#include <sys/socket.h>
#include "fns.h"

enum {
	HEAD_MAX = 32 << 10,
	READ_SIZE = 64 << 10,
	BACKLOG = 256,
};

static char read_buffer[READ_SIZE];

static void on_closed(uv_handle_t *h)
{
	sconn_t *c = (sconn_t *)h;

	http_reader_clear(&c->in);
	writer_clear(&c->out);
	g_byte_array_free(c->pending, TRUE);
	g_byte_array_free(c->copy, TRUE);
	g_byte_array_free(c->body, TRUE);
	g_free(c->head);
	if (c->late)
		g_string_free(c->late, TRUE);
	g_free(c);
}

/* Closes a connection, in order or with a reset. */
void sconn_close(sconn_t *c, bool reset)
{
	struct linger hard = { 1, 0 };
	uv_os_fd_t fd;

	if (c->closed)
		return;
	c->closed = true;
	http_reader_stop(&c->in);
	list_del(&c->link);
	c->at->gone(c);
	if (reset && uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

/* Keeps a head beyond the call: its strings point into a copy. */
static bool on_head(void *ctx, const http_head_t *h)
{
	sconn_t *c = ctx;
	GByteArray *copy = c->copy;
	size_t at[2 + 2 * HTTP_FIELDS_MAX];
	size_t n = 0;

	*c->head = *h;
	g_byte_array_set_size(copy, 0);
	at[n++] = copy->len;
	http_put_str(copy, h->method);
	at[n++] = copy->len;
	http_put_str(copy, h->target);
	for (size_t i = 0; i < h->nfields; i++) {
		at[n++] = copy->len;
		http_put_str(copy, h->fields[i].name);
		at[n++] = copy->len;
		http_put_str(copy, h->fields[i].value);
	}
	n = 0;
	c->head->method.p = (char *)copy->data + at[n++];
	c->head->target.p = (char *)copy->data + at[n++];
	for (size_t i = 0; i < h->nfields; i++) {
		c->head->fields[i].name.p = (char *)copy->data + at[n++];
		c->head->fields[i].value.p = (char *)copy->data + at[n++];
	}
	g_byte_array_set_size(c->body, 0);
	return false;
}

static void on_body(void *ctx, str_t data)
{
	sconn_t *c = ctx;

	g_byte_array_append(c->body, (const guint8 *)data.p, data.n);
}

static void on_end(void *ctx)
{
	sconn_t *c = ctx;

	c->job = c; /* until the answer is complete */
	c->at->request(c);
}

static const http_reader_ops_t in_ops = { on_head, on_body, on_end };

static void feed(sconn_t *c, const char *p, size_t n)
{
	code_t code = CODE_OK;
	size_t used;

	while (n > 0 && !c->job && !c->closed && code == CODE_OK) {
		code = http_reader_feed(&c->in, p, n, &used);
		p += used;
		n -= used;
	}
	if (c->closed)
		return;
	if (code != CODE_OK)
		violation(c->at->s, "malformed", "a daemon sent no HTTP");
	else if (n > 0)
		g_byte_array_append(c->pending, (const guint8 *)p, n);
}

/* The answer is complete: goes on with the next request. */
void sconn_next(sconn_t *c)
{
	GByteArray *had = c->pending;

	c->job = NULL;
	if (had->len == 0 || c->closed)
		return;
	c->pending = g_byte_array_new();
	feed(c, (char *)had->data, had->len);
	g_byte_array_free(had, TRUE);
}

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *t, ssize_t n, const uv_buf_t *buf)
{
	sconn_t *c = (sconn_t *)t;

	if (n < 0)
		sconn_close(c, false);
	else if (c->mute)
		return;
	else if (c->job)
		g_byte_array_append(c->pending, (const guint8 *)buf->base,
				    (guint)n);
	else
		feed(c, buf->base, (size_t)n);
}

static void on_accept(uv_stream_t *listener, int status)
{
	listen_t *at = listener->data;
	sconn_t *c;

	if (status < 0)
		return;
	c = g_new0(sconn_t, 1);
	c->at = at;
	c->pending = g_byte_array_new();
	c->copy = g_byte_array_new();
	c->body = g_byte_array_new();
	c->head = g_new0(http_head_t, 1);
	list_add_tail(&at->conns, &c->link);
	uv_tcp_init(&at->s->loop, &c->tcp);
	http_reader_init(&c->in, true, HEAD_MAX, &in_ops, c);
	writer_init(&c->out, (uv_stream_t *)&c->tcp, NULL, c);
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Listens at an address; port 0 takes a free one. */
void listen_start(listen_t *at, soak_t *s, const char *ip, uint16_t port)
{
	struct sockaddr_storage sa;
	int n = sizeof(sa);

	at->s = s;
	g_strlcpy(at->addr.ip, ip, sizeof(at->addr.ip));
	at->addr.port = port;
	list_init(&at->conns);
	at->tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(&s->loop, at->tcp);
	at->tcp->data = at;
	if (tcp_listen(at->tcp, &at->addr, BACKLOG, on_accept))
		g_error("cannot listen on %s", ip);
	uv_tcp_getsockname(at->tcp, (struct sockaddr *)&sa, &n);
	at->addr.port = ntohs(((struct sockaddr_in *)&sa)->sin_port);
	at->open = true;
}

static void on_listener_closed(uv_handle_t *h)
{
	g_free(h);
}

/* Closes the listener and all its connections. */
void listen_stop(listen_t *at, bool reset)
{
	list_t *pos;
	list_t *tmp;

	if (!at->open)
		return;
	at->open = false;
	list_for_each_safe(pos, tmp, &at->conns)
	{
		sconn_close(list_entry(pos, sconn_t, link), reset);
	}
	uv_close((uv_handle_t *)at->tcp, on_listener_closed);
}

/* Writes bytes of an answer. */
void sconn_write(sconn_t *c, const char *text, size_t n)
{
	if (!c->mute && !c->closed)
		writer_put(&c->out, text, n);
}

/* Sends a whole answer; fields are whole lines. */
void sconn_reply(sconn_t *c, int status, const char *fields, str_t body)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status,
		http_reason(status), fields, body.n);
	g_string_append_len(out, body.p, (gssize)body.n);
	sconn_write(c, out->str, out->len);
	g_string_free(out, TRUE);
	sconn_next(c);
}
