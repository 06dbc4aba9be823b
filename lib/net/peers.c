/*
 * The connections of this process to others: who is to be reached, who is up,
 * and the one connection in use for each incarnation.
 */
#include <inttypes.h>
#include <string.h>
#include "net/conn.h"

enum {
	TICK_MS = 20,
	BACKLOG = 1024,
};

/* A process to keep a connection to. */
typedef struct target {
	char *name;
	addr_t addr;
	backoff_t backoff;
	ms_t next_try;
	conn_t *conn; /* NULL while waiting for the next try */
} target_t;

struct peers {
	uv_loop_t *loop;
	conn_env_t env;
	peers_ops_t ops;
	void *ctx;
	GRand *rand;
	uv_tcp_t listener;
	uv_timer_t tick;
	uv_prepare_t flush;
	bool listening;
	list_t conns;
	size_t nconns; /* whose memory is not yet freed */
	size_t nhandles;
	GHashTable *by_inc;  /* conn_t in state CONN_READY */
	GHashTable *targets; /* target_t by name */
	tick_t ticks;
	counter_t *up;
	bool closing;
	void (*done)(void *ctx);
	void *done_ctx;
};

static void target_free(gpointer p)
{
	target_t *t = p;

	g_free(t->name);
	g_free(t);
}

static void finish_close(peers_t *ps)
{
	if (!ps->closing || ps->nconns > 0 || ps->nhandles > 0)
		return;
	g_hash_table_destroy(ps->by_inc);
	g_hash_table_destroy(ps->targets);
	g_rand_free(ps->rand);
	if (ps->done)
		ps->done(ps->done_ctx);
	g_free(ps);
}

static void on_ready(void *ctx, conn_t *c)
{
	peers_t *ps = ctx;
	conn_t *old = g_hash_table_lookup(ps->by_inc, &c->theirs.inc);
	target_t *t;

	if (old)
		conn_close(old, CODE_SILENT);
	g_hash_table_insert(ps->by_inc, &c->theirs.inc, c);
	ps->up->value++;
	if (c->want_name) {
		t = g_hash_table_lookup(ps->targets, c->want_name);
		if (t)
			backoff_reset(&t->backoff);
	}
	log_line(LOG_INFO, "peer-up", "name=%s inc=%" PRIx64, c->theirs.name.p,
		 c->theirs.inc);
	ps->ops.up(ps->ctx, &c->theirs);
}

static void on_recv(void *ctx, conn_t *c, const msg_t *m)
{
	peers_t *ps = ctx;

	ps->ops.recv(ps->ctx, c->theirs.inc, m);
}

static void count_closed(peers_t *ps, code_t code)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "code=\"%s\"", code_name(code));
	counter_get(ps->env.all, "chestnuthinge_peer_closed_total", labels)
		->value++;
}

/* Plans the next try of a target whose connection closed. */
static void plan_retry(peers_t *ps, conn_t *c)
{
	target_t *t = NULL;

	if (c->want_name)
		t = g_hash_table_lookup(ps->targets, c->want_name);
	if (!t || t->conn != c)
		return;
	t->conn = NULL;
	t->next_try = clock_now() + backoff_next(&t->backoff, ps->rand);
}

static void on_closing(void *ctx, conn_t *c, code_t code)
{
	peers_t *ps = ctx;

	list_del(&c->link);
	list_init(&c->link);
	count_closed(ps, code);
	log_line(LOG_DEBUG, "peer-closed", "target=%s state=%d code=%s",
		 c->want_name ? c->want_name : "", c->was, code_name(code));
	plan_retry(ps, c);
	if (g_hash_table_lookup(ps->by_inc, &c->theirs.inc) != c)
		return;
	g_hash_table_remove(ps->by_inc, &c->theirs.inc);
	ps->up->value--;
	log_line(LOG_INFO, "peer-down", "name=%s inc=%" PRIx64 " code=%s",
		 c->theirs.name.p, c->theirs.inc, code_name(code));
	if (!ps->closing)
		ps->ops.down(ps->ctx, c->theirs.inc, code != CODE_TRUNCATED);
}

static void on_gone(void *ctx, conn_t *c)
{
	peers_t *ps = ctx;

	(void)c;
	ps->nconns--;
	finish_close(ps);
}

static conn_t *add_conn(peers_t *ps)
{
	static const conn_ops_t ops = { on_ready, on_recv, on_closing,
					on_gone };
	conn_t *c = conn_new(ps->loop, &ps->env, &ops, ps);

	ps->nconns++;
	list_add_tail(&ps->conns, &c->link);
	return c;
}

/* Closes the oldest incoming connection that has not proved its key. */
static void bound_greeting(peers_t *ps)
{
	conn_t *oldest = NULL;
	size_t n = 0;

	for (list_t *p = ps->conns.prev; p != &ps->conns; p = p->prev) {
		conn_t *c = list_entry(p, conn_t, link);

		if (c->want_name || c->state == CONN_READY)
			continue;
		oldest = c;
		n++;
	}
	if (n > ps->env.conf.greetings_max)
		conn_close(oldest, CODE_SILENT);
}

static void on_connection(uv_stream_t *listener, int status)
{
	peers_t *ps = listener->data;

	if (status < 0 || ps->closing)
		return;
	conn_accept(add_conn(ps), listener, clock_now());
	bound_greeting(ps);
}

/* Connects the targets whose time has come. */
static void try_targets(peers_t *ps, ms_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, ps->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		target_t *t = value;

		if (t->conn || now < t->next_try)
			continue;
		t->conn = add_conn(ps);
		conn_connect(t->conn, t->name, &t->addr, now);
	}
}

/*
 * A process that was paused has not read what came meanwhile: the pause is not
 * counted as silence of the others.
 */
static void forgive_pause(peers_t *ps, ms_t now)
{
	ms_t pause = now - ps->ticks.last;

	if (pause < ps->env.conf.silent / 2)
		return;
	for (list_t *p = ps->conns.next; p != &ps->conns; p = p->next)
		list_entry(p, conn_t, link)->last_read += pause;
}

static void on_tick(uv_timer_t *t)
{
	peers_t *ps = t->data;
	ms_t now = clock_now();
	list_t *pos;
	list_t *tmp;

	forgive_pause(ps, now);
	if (!tick_runs(&ps->ticks, now))
		return;
	list_for_each_safe(pos, tmp, &ps->conns)
		conn_tick(list_entry(pos, conn_t, link), now);
	try_targets(ps, now);
}

/* Writes what the last turn of the loop queued, before the loop sleeps. */
static void on_flush(uv_prepare_t *p)
{
	peers_t *ps = p->data;

	while (!list_empty(&ps->env.dirty))
		conn_flush(list_entry(ps->env.dirty.next, conn_t, dirty));
}

/*
 * Starts keeping connections. conf is copied, but its strings must outlive the
 * result.
 */
peers_t *peers_new(uv_loop_t *loop, const peers_conf_t *conf,
		   const peers_ops_t *ops, void *ctx, counters_t *counters)
{
	peers_t *ps = g_new0(peers_t, 1);

	ps->loop = loop;
	ps->ops = *ops;
	ps->ctx = ctx;
	conn_env_init(&ps->env, conf, counters);
	ps->up = gauge_get(counters, "chestnuthinge_peers_up", "");
	ps->rand = g_rand_new();
	ps->by_inc = g_hash_table_new(g_int64_hash, g_int64_equal);
	ps->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    target_free);
	list_init(&ps->conns);
	tick_init(&ps->ticks, TICK_MS, clock_now());
	uv_timer_init(loop, &ps->tick);
	ps->tick.data = ps;
	uv_timer_start(&ps->tick, on_tick, TICK_MS, TICK_MS);
	uv_prepare_init(loop, &ps->flush);
	ps->flush.data = ps;
	uv_prepare_start(&ps->flush, on_flush);
	return ps;
}

/* Takes connections at an address. CODE_UNREACHABLE: it is not to be had. */
code_t peers_listen(peers_t *ps, const addr_t *at)
{
	uv_tcp_init(ps->loop, &ps->listener);
	ps->listener.data = ps;
	ps->listening = true;
	return tcp_listen(&ps->listener, at, BACKLOG, on_connection)
		       ? CODE_UNREACHABLE
		       : CODE_OK;
}

static bool same_addr(const addr_t *a, const addr_t *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

/* Finds a connection that was made for a target since forgotten. */
static conn_t *find_conn(peers_t *ps, const char *name)
{
	for (list_t *p = ps->conns.next; p != &ps->conns; p = p->next) {
		conn_t *c = list_entry(p, conn_t, link);

		if (c->want_name && strcmp(c->want_name, name) == 0)
			return c;
	}
	return NULL;
}

/* Keeps a connection to the process of that name at that address. */
void peers_connect(peers_t *ps, const char *name, const addr_t *to)
{
	target_t *t = g_hash_table_lookup(ps->targets, name);

	if (t && same_addr(&t->addr, to))
		return;
	if (!t) {
		t = g_new0(target_t, 1);
		t->name = g_strdup(name);
		t->conn = find_conn(ps, name);
		g_hash_table_insert(ps->targets, t->name, t);
	} else {
		t->conn = NULL;
	}
	t->addr = *to;
	t->next_try = 0;
	backoff_init(&t->backoff, ps->env.conf.retry_base,
		     ps->env.conf.retry_max);
}

/*
 * Makes no new connection to the process of that name. One that is up stays, as
 * requests may still run there.
 */
void peers_forget(peers_t *ps, const char *name)
{
	g_hash_table_remove(ps->targets, name);
}

/*
 * Ends the connection that this process keeps to the process of that name; one
 * that the other keeps stays.
 */
void peers_disconnect(peers_t *ps, const char *name)
{
	target_t *t = g_hash_table_lookup(ps->targets, name);
	conn_t *c = t ? t->conn : NULL;

	g_hash_table_remove(ps->targets, name);
	if (c)
		conn_close(c, CODE_OK);
}

/* Sends to a peer; nothing happens when it is not up. */
void peers_send(peers_t *ps, uint64_t inc, const msg_t *m)
{
	conn_t *c = g_hash_table_lookup(ps->by_inc, &inc);

	if (c)
		conn_send(c, m);
}

static void on_handle_closed(uv_handle_t *h)
{
	peers_t *ps = h->data;

	ps->nhandles--;
	finish_close(ps);
}

/* Closes everything and frees ps; done may be NULL. Nothing more is told. */
void peers_close(peers_t *ps, void (*done)(void *ctx), void *ctx)
{
	list_t *pos;
	list_t *tmp;

	on_flush(&ps->flush);
	ps->closing = true;
	ps->done = done;
	ps->done_ctx = ctx;
	list_for_each_safe(pos, tmp, &ps->conns)
		conn_close(list_entry(pos, conn_t, link), CODE_OK);
	ps->nhandles = ps->listening ? 3 : 2;
	uv_close((uv_handle_t *)&ps->tick, on_handle_closed);
	uv_close((uv_handle_t *)&ps->flush, on_handle_closed);
	if (ps->listening)
		uv_close((uv_handle_t *)&ps->listener, on_handle_closed);
}
