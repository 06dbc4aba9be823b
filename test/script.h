/*
 * Test fixture: a server that answers requests by a script, and a caller whose
 * bytes are a case's own.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <check.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <uv.h>
#include "net/fns.h"

enum {
	SCRIPT_CONNS = 16,
	SCRIPT_READ = 4096, /* bytes */
};

/* What follows an answer. */
typedef enum script_then {
	SCRIPT_KEEP,
	SCRIPT_CLOSE,
	SCRIPT_RESET,
} script_then_t;

/* The answer to one request; the last step is used for all that follow. */
typedef struct script_step {
	const char *answer; /* NULL: none */
	const char *again;  /* written before the next answer on the connection;
			       NULL: nothing */
	script_then_t then;
} script_step_t;

typedef struct script script_t;

typedef struct script_conn {
	uv_tcp_t tcp;
	uv_write_t write;
	script_t *script;
	GString *unread;
	GString *out;
	const char *again;
	script_then_t then;
} script_conn_t;

struct script {
	uv_tcp_t listener;
	addr_t at;
	const script_step_t *steps;
	size_t nsteps;
	size_t nrequests;
	GString *requests; /* heads, in order */
	script_conn_t *conns[SCRIPT_CONNS];
	size_t nconns;
	bool held; /* the next answer waits for script_release */
	script_conn_t *waiting;
};

static inline void script_conn_close(script_conn_t *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, NULL);
}

static inline void script_on_written(uv_write_t *w, int status)
{
	script_conn_t *c = w->data;

	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->then == SCRIPT_CLOSE)
		script_conn_close(c);
	else if (c->then == SCRIPT_RESET)
		uv_tcp_close_reset(&c->tcp, NULL);
}

/* Takes the next step for a request on the connection. */
static inline void script_answer(script_conn_t *c)
{
	script_t *s = c->script;
	size_t i = MIN(s->nrequests, s->nsteps - 1);
	const script_step_t *step = &s->steps[i];
	uv_buf_t buf;

	if (s->held) {
		s->waiting = c;
		return;
	}
	s->nrequests++;
	if (!step->answer)
		return;
	g_string_truncate(c->out, 0);
	g_string_append(c->out, c->again ? c->again : "");
	g_string_append(c->out, step->answer);
	c->again = step->again;
	c->then = step->then;
	buf = uv_buf_init(c->out->str, (unsigned int)c->out->len);
	c->write.data = c;
	uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, script_on_written);
}

/* Answers the request that was held. */
static inline void script_release(script_t *s)
{
	s->held = false;
	script_answer(s->waiting);
}

static inline void script_on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	static char bytes[SCRIPT_READ];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static inline void script_on_read(uv_stream_t *st, ssize_t n,
				  const uv_buf_t *buf)
{
	script_conn_t *c = st->data;
	char *end;

	if (n < 0) {
		script_conn_close(c);
		return;
	}
	g_string_append_len(c->unread, buf->base, n);
	end = strstr(c->unread->str, "\r\n\r\n");
	if (!end)
		return;
	g_string_append_len(c->script->requests, c->unread->str,
			    end + 4 - c->unread->str);
	g_string_erase(c->unread, 0, end + 4 - c->unread->str);
	script_answer(c);
}

static inline void script_on_connection(uv_stream_t *listener, int status)
{
	script_t *s = listener->data;
	script_conn_t *c = g_new0(script_conn_t, 1);

	ck_assert_int_eq(status, 0);
	ck_assert_uint_lt(s->nconns, SCRIPT_CONNS);
	s->conns[s->nconns++] = c;
	c->script = s;
	c->unread = g_string_new(NULL);
	c->out = g_string_new(NULL);
	uv_tcp_init(listener->loop, &c->tcp);
	c->tcp.data = c;
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, script_on_alloc, script_on_read);
}

/* Listens on a free port. Requests have no bodies. */
static inline void script_open(script_t *s, uv_loop_t *loop,
			       const script_step_t *steps, size_t nsteps)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	memset(s, 0, sizeof(*s));
	s->steps = steps;
	s->nsteps = nsteps;
	s->requests = g_string_new(NULL);
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&s->listener, SCRIPT_CONNS,
				   script_on_connection),
			 0);
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&sa, &n);
	g_strlcpy(s->at.ip, "127.0.0.1", sizeof(s->at.ip));
	s->at.port = ntohs(sa.sin_port);
}

/* Closes all handles; they are freed by script_free once the loop has ended. */
static inline void script_close(script_t *s)
{
	for (size_t i = 0; i < s->nconns; i++)
		script_conn_close(s->conns[i]);
	uv_close((uv_handle_t *)&s->listener, NULL);
}

static inline void script_free(script_t *s)
{
	for (size_t i = 0; i < s->nconns; i++) {
		g_string_free(s->conns[i]->unread, TRUE);
		g_string_free(s->conns[i]->out, TRUE);
		g_free(s->conns[i]);
	}
	g_string_free(s->requests, TRUE);
}

/* A caller that keeps all that comes. */
typedef struct raw_caller {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	uv_write_t write;
	GString *out;
	GString *got;
	bool held;  /* reads nothing until raw_read */
	bool ended; /* the other end closed or reset the connection */
	bool reset;
} raw_caller_t;

static inline void raw_on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	raw_caller_t *c = st->data;

	if (n >= 0) {
		g_string_append_len(c->got, buf->base, n);
		return;
	}
	c->ended = true;
	c->reset = n != UV_EOF;
	uv_read_stop(st);
}

static inline void raw_on_connected(uv_connect_t *req, int status)
{
	raw_caller_t *c = req->data;
	uv_buf_t buf = uv_buf_init(c->out->str, (unsigned int)c->out->len);

	ck_assert_int_eq(status, 0);
	if (!c->held)
		uv_read_start((uv_stream_t *)&c->tcp, script_on_alloc,
			      raw_on_read);
	uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

/* Prepares a caller that is connected with raw_connect. */
static inline void raw_init(raw_caller_t *c, uv_loop_t *loop, const char *text)
{
	memset(c, 0, sizeof(*c));
	c->out = g_string_new(text);
	c->got = g_string_new(NULL);
	uv_tcp_init_ex(loop, &c->tcp, AF_INET);
	c->tcp.data = c;
	c->connecting.data = c;
}

/* Connects and sends the text. */
static inline void raw_connect(raw_caller_t *c, const addr_t *to)
{
	struct sockaddr_in sa;

	uv_ip4_addr(to->ip, to->port, &sa);
	uv_tcp_connect(&c->connecting, &c->tcp, (struct sockaddr *)&sa,
		       raw_on_connected);
}

/* Prepares and connects a caller. */
static inline void raw_open(raw_caller_t *c, uv_loop_t *loop, const addr_t *to,
			    const char *text)
{
	raw_init(c, loop, text);
	raw_connect(c, to);
}

/*
 * Gives the caller a slow line, small in segments and window; it reads nothing
 * until raw_read.
 */
static inline void raw_slow_line(raw_caller_t *c, int segment, int window)
{
	uv_os_fd_t fd;

	c->held = true;
	ck_assert_int_eq(uv_fileno((uv_handle_t *)&c->tcp, &fd), 0);
	ck_assert_int_eq(setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment,
				    sizeof(segment)),
			 0);
	ck_assert_int_eq(
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window)),
		0);
}

static inline void raw_read(raw_caller_t *c)
{
	uv_read_start((uv_stream_t *)&c->tcp, script_on_alloc, raw_on_read);
}

/* Sends more text once connected; the text before it must have gone out. */
static inline void raw_send(raw_caller_t *c, const char *text)
{
	uv_buf_t buf;

	g_string_assign(c->out, text);
	buf = uv_buf_init(c->out->str, (unsigned int)c->out->len);
	uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

static inline void raw_close(raw_caller_t *c)
{
	uv_close((uv_handle_t *)&c->tcp, NULL);
}

/* Frees what raw_close left, once the loop has ended. */
static inline void raw_free(raw_caller_t *c)
{
	g_string_free(c->out, TRUE);
	g_string_free(c->got, TRUE);
}

#endif
