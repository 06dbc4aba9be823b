/* Serves text pages for probes and operators over HTTP, with keep-alive. */
#include "net/fns.h"
#include "forward/fns.h"

enum {
	BACKLOG = 64,	  /* connections that wait to be accepted */
	HEAD_MAX = 8192,  /* bytes */
	READ_SIZE = 8192, /* bytes */
};

struct pages {
	uv_loop_t *loop;
	uv_tcp_t listener;
	bool listening;
	page_fn_t render;
	void *ctx;
	list_t conns;
};

typedef struct page_conn {
	uv_tcp_t tcp;
	list_t link;
	pages_t *pages;
	http_reader_t in;
	writer_t out;
	GString *path;
	bool close;
	bool head_only; /* the request is HEAD: its answer has no body */
	bool closed;
} page_conn_t;

static char read_buffer[READ_SIZE];

static void on_closed(uv_handle_t *h)
{
	page_conn_t *c = (page_conn_t *)h;

	http_reader_clear(&c->in);
	writer_clear(&c->out);
	g_string_free(c->path, TRUE);
	g_free(c);
}

static void conn_close(page_conn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	http_reader_stop(&c->in);
	list_del(&c->link);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static bool on_head(void *ctx, const http_head_t *h)
{
	page_conn_t *c = ctx;

	g_string_truncate(c->path, 0);
	g_string_append_len(c->path, h->target.p, (gssize)h->target.n);
	c->close = !h->keep_alive;
	c->head_only = http_name_is(h->method, "HEAD");
	return false;
}

static void on_body(void *ctx, str_t data)
{
	(void)ctx;
	(void)data;
}

static void on_end(void *ctx)
{
	page_conn_t *c = ctx;
	GString *text = g_string_new(NULL);
	GByteArray *out = g_byte_array_new();
	char line[64];
	int status = c->pages->render(
		c->pages->ctx, (str_t){ c->path->str, c->path->len }, text);

	g_snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", status,
		   http_reason(status));
	http_put(out, line);
	http_put(out, "Content-Type: text/plain; charset=utf-8\r\n");
	if (c->close)
		http_put(out, "Connection: close\r\n");
	http_put_number(out, "Content-Length", text->len);
	http_put(out, "\r\n");
	if (!c->head_only)
		g_byte_array_append(out, (const guint8 *)text->str, text->len);
	writer_put(&c->out, out->data, out->len);
	g_byte_array_free(out, TRUE);
	g_string_free(text, TRUE);
}

static const http_reader_ops_t in_ops = { on_head, on_body, on_end };

static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	page_conn_t *c = (page_conn_t *)s;
	const char *p = buf->base;
	code_t code = CODE_OK;
	size_t used;

	while (n > 0 && code == CODE_OK && !c->closed) {
		code = http_reader_feed(&c->in, p, (size_t)n, &used);
		p += used;
		n -= (ssize_t)used;
	}
	if (n < 0 || code != CODE_OK || c->out.failed ||
	    (c->close && writer_queued(&c->out) == 0))
		conn_close(c);
}

static void on_accept(uv_stream_t *listener, int status)
{
	pages_t *ps = listener->data;
	page_conn_t *c;

	if (status < 0)
		return;
	c = g_new0(page_conn_t, 1);
	c->pages = ps;
	c->path = g_string_new(NULL);
	list_add_tail(&ps->conns, &c->link);
	uv_tcp_init(ps->loop, &c->tcp);
	http_reader_init(&c->in, true, HEAD_MAX, &in_ops, c);
	writer_init(&c->out, (uv_stream_t *)&c->tcp, NULL, c);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp)) {
		conn_close(c);
		return;
	}
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Makes a server of pages; render is called for each request. */
pages_t *pages_new(uv_loop_t *loop, page_fn_t render, void *ctx)
{
	pages_t *ps = g_new0(pages_t, 1);

	ps->loop = loop;
	ps->render = render;
	ps->ctx = ctx;
	list_init(&ps->conns);
	return ps;
}

/* Listens at an address. CODE_UNREACHABLE: it cannot be bound. */
code_t pages_listen(pages_t *ps, const addr_t *at)
{
	uv_tcp_init(ps->loop, &ps->listener);
	ps->listener.data = ps;
	ps->listening = true;
	return tcp_listen(&ps->listener, at, BACKLOG, on_accept)
		       ? CODE_UNREACHABLE
		       : CODE_OK;
}

/* Closes all connections; the loop must run before pages_free. */
void pages_close(pages_t *ps)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &ps->conns)
	{
		conn_close(list_entry(pos, page_conn_t, link));
	}
	if (ps->listening)
		uv_close((uv_handle_t *)&ps->listener, NULL);
	ps->listening = false;
}

/* Frees the pages. */
void pages_free(pages_t *ps)
{
	g_free(ps);
}
