/* Test fixture: a server that answers each request with bytes without end. */
#ifndef FLOOD_H
#define FLOOD_H

#include <check.h>
#include <signal.h>
#include <string.h>
#include <uv.h>
#include "net/fns.h"

enum {
	FLOOD_BLOCK = 64 << 10, /* bytes of one write, at least */
	FLOOD_CONNS = 16,
};

typedef struct flood flood_t;

typedef struct flood_conn {
	uv_tcp_t tcp;
	uv_write_t write;
	flood_t *flood;
	GString *got;
	bool answering;
	bool closed; /* by the other end */
	size_t sent; /* bytes, without start */
} flood_conn_t;

struct flood {
	uv_tcp_t listener;
	addr_t at;
	flood_conn_t *conns[FLOOD_CONNS];
	size_t nconns;
	const char *start;
	GString *block; /* what is repeated */
	size_t most;	/* bytes; no more are sent on a connection */
	bool in_order;	/* then it is closed */
	bool reset;	/* then it is reset */
};

static inline void flood_conn_close(flood_conn_t *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, NULL);
}

static inline void flood_on_written(uv_write_t *w, int status)
{
	flood_conn_t *c = w->data;
	flood_t *f = c->flood;
	uv_buf_t buf = uv_buf_init(f->block->str, (unsigned)f->block->len);

	if (status < 0)
		return;
	if (f->block->len == 0 || c->sent >= f->most) {
		if (f->in_order)
			flood_conn_close(c);
		else if (f->reset)
			uv_tcp_close_reset(&c->tcp, NULL);
		return;
	}
	c->sent += f->block->len;
	uv_write(w, (uv_stream_t *)&c->tcp, &buf, 1, flood_on_written);
}

static inline void flood_on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	static char bytes[4096];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static inline void flood_on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	flood_conn_t *c = s->data;
	uv_buf_t start;

	if (n < 0) {
		c->closed = true;
		flood_conn_close(c);
		return;
	}
	g_string_append_len(c->got, buf->base, n);
	if (c->answering || !strstr(c->got->str, "\r\n\r\n"))
		return;
	c->answering = true;
	start = uv_buf_init((char *)c->flood->start,
			    (unsigned)strlen(c->flood->start));
	c->write.data = c;
	uv_write(&c->write, s, &start, 1, flood_on_written);
}

static inline void flood_on_connection(uv_stream_t *listener, int status)
{
	flood_t *f = listener->data;
	flood_conn_t *c = g_new0(flood_conn_t, 1);

	ck_assert_int_eq(status, 0);
	ck_assert_uint_lt(f->nconns, FLOOD_CONNS);
	f->conns[f->nconns++] = c;
	c->flood = f;
	c->got = g_string_new(NULL);
	uv_tcp_init(listener->loop, &c->tcp);
	c->tcp.data = c;
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, flood_on_alloc, flood_on_read);
}

/*
 * Listens on a free port. start is sent once, more again and again until the
 * other end closes or most bytes were sent. Without more, start is the answer.
 */
static inline void flood_open(flood_t *f, uv_loop_t *loop, const char *start,
			      const char *more, size_t most)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	memset(f, 0, sizeof(*f));
	f->start = start;
	f->most = most;
	f->block = g_string_new(NULL);
	while (more && *more && f->block->len < FLOOD_BLOCK)
		g_string_append(f->block, more);
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_init(loop, &f->listener);
	f->listener.data = f;
	uv_tcp_bind(&f->listener, (struct sockaddr *)&sa, 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&f->listener, FLOOD_CONNS,
				   flood_on_connection),
			 0);
	uv_tcp_getsockname(&f->listener, (struct sockaddr *)&sa, &n);
	g_strlcpy(f->at.ip, "127.0.0.1", sizeof(f->at.ip));
	f->at.port = ntohs(sa.sin_port);
}

/* Whether a connection took all that may be sent. */
static inline bool flood_overran(const flood_t *f)
{
	for (size_t i = 0; i < f->nconns; i++) {
		if (f->block->len > 0 && f->conns[i]->sent >= f->most)
			return true;
	}
	return false;
}

/* Whether all connections were closed by the other end; false without any. */
static inline bool flood_shut(const flood_t *f)
{
	for (size_t i = 0; i < f->nconns; i++) {
		if (!f->conns[i]->closed)
			return false;
	}
	return f->nconns > 0;
}

/* Closes all handles; they are freed by flood_free once the loop has ended. */
static inline void flood_close(flood_t *f)
{
	for (size_t i = 0; i < f->nconns; i++)
		flood_conn_close(f->conns[i]);
	uv_close((uv_handle_t *)&f->listener, NULL);
}

static inline void flood_free(flood_t *f)
{
	for (size_t i = 0; i < f->nconns; i++) {
		g_string_free(f->conns[i]->got, TRUE);
		g_free(f->conns[i]);
	}
	g_string_free(f->block, TRUE);
}

#endif
