/*
 * A TCP relay that loses track of connections. On SIGUSR1 it drops all bytes
 * of the connections of that moment both ways, on SIGUSR2 only those towards
 * the caller; both ends stay open. Later connections work.
 */
#include <signal.h>
#include <stdlib.h>
#include "standin/lib/fns.h"
#include "dat.h"

enum {
	RELAY_BACKLOG = 256, /* connections */
};

/* Frees a pair once both ends are closed. */
static void on_end_closed(uv_handle_t *h)
{
	end_t *e = h->data;
	pair_t *p = e->pair;
	if (--p->open > 0)
		return;
	list_del(&p->link);
	g_free(p);
}

/* Closes both ends, as a working path passes on a close. */
static void pair_close(pair_t *p)
{
	if (p->closing)
		return;
	p->closing = true;
	uv_close((uv_handle_t *)&p->caller.tcp, on_end_closed);
	uv_close((uv_handle_t *)&p->server.tcp, on_end_closed);
}

/* The bytes were written. */
static void on_written(uv_write_t *req, int status)
{
	part_t *part = (part_t *)req;
	(void)status;
	g_free(part->bytes);
	g_free(part);
}

/* Gives room for reading. */
static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	(void)h;
	buf->base = g_malloc(hint);
	buf->len = hint;
}

/* Passes on bytes, or drops them; a dropped close leaves the other end open. */
static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	end_t *e = s->data;
	if (e->deaf || n == 0) {
		g_free(buf->base);
		if (n < 0)
			uv_read_stop(s);
		return;
	}
	if (n < 0) {
		g_free(buf->base);
		pair_close(e->pair);
		return;
	}
	part_t *part = g_new0(part_t, 1);
	part->bytes = buf->base;
	uv_buf_t out = uv_buf_init(buf->base, (unsigned int)n);
	if (uv_write(&part->req, (uv_stream_t *)&e->other->tcp, &out, 1,
		     on_written) != 0)
		on_written(&part->req, UV_EPIPE);
}

/* The far end is there: relay both ways. */
static void on_connected(uv_connect_t *c, int status)
{
	pair_t *p = c->data;
	if (p->closing)
		return;
	if (status != 0) {
		pair_close(p);
		return;
	}
	uv_read_start((uv_stream_t *)&p->caller.tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&p->server.tcp, on_alloc, on_read);
}

/* Sets up one end. */
static void end_init(pair_t *p, end_t *e, end_t *other)
{
	uv_tcp_init(&p->relay->loop, &e->tcp);
	uv_tcp_nodelay(&e->tcp, 1);
	e->tcp.data = e;
	e->pair = p;
	e->other = other;
	p->open++;
}

/* Takes a connection and makes the one behind it. */
static void on_accept(uv_stream_t *listener, int status)
{
	relay_t *r = listener->data;
	if (status != 0)
		return;
	pair_t *p = g_new0(pair_t, 1);
	p->relay = r;
	end_init(p, &p->caller, &p->server);
	end_init(p, &p->server, &p->caller);
	list_add_tail(&r->pairs, &p->link);
	p->connect.data = p;
	if (uv_accept(listener, (uv_stream_t *)&p->caller.tcp) != 0 ||
	    uv_tcp_connect(&p->connect, &p->server.tcp,
			   (struct sockaddr *)&r->to, on_connected) != 0)
		pair_close(p);
}

/* Makes the present connections silent. */
static void on_silence(uv_signal_t *h, int signum)
{
	relay_t *r = h->data;
	list_t *pos, *tmp;
	size_t n = 0;
	list_for_each_safe(pos, tmp, &r->pairs)
	{
		pair_t *p = list_entry(pos, pair_t, link);
		p->server.deaf = true;
		p->caller.deaf = p->caller.deaf || signum == SIGUSR1;
		n++;
	}
	event_write("silence", "pairs=%zu both=%d", n, signum == SIGUSR1);
}

/* Watches one signal. */
static void watch(relay_t *r, uv_signal_t *h, int signum)
{
	uv_signal_init(&r->loop, h);
	h->data = r;
	uv_signal_start(h, on_silence, signum);
}

/* Listens on a port of the kernel's choice, and prints it. */
static int start_listening(relay_t *r)
{
	struct sockaddr_in at;
	int len = sizeof(at);
	uv_ip4_addr("127.0.0.1", 0, &at);
	uv_tcp_init(&r->loop, &r->listener);
	r->listener.data = r;
	if (uv_tcp_bind(&r->listener, (struct sockaddr *)&at, 0) != 0 ||
	    uv_listen((uv_stream_t *)&r->listener, RELAY_BACKLOG, on_accept))
		return 1;
	uv_tcp_getsockname(&r->listener, (struct sockaddr *)&at, &len);
	printf("listening %d\n", ntohs(at.sin_port));
	return fflush(stdout);
}

/* relay PORT EVENTS: relays to that port of the loopback address. */
int main(int argc, char **argv)
{
	static relay_t r;
	static uv_signal_t signals[2];
	if (argc != 3) {
		fprintf(stderr, "usage: relay PORT EVENTS\n");
		return 2;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	events_open(argv[2]);
	uv_ip4_addr("127.0.0.1", (int)strtol(argv[1], NULL, 10), &r.to);
	list_init(&r.pairs);
	uv_loop_init(&r.loop);
	stand_exit_on_signal(&r.loop);
	watch(&r, &signals[0], SIGUSR1);
	watch(&r, &signals[1], SIGUSR2);
	if (start_listening(&r) != 0)
		return 1;
	return uv_run(&r.loop, UV_RUN_DEFAULT);
}
