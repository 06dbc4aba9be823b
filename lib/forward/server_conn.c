/* Connections to backend servers: opened, kept between requests, closed. */
#include "forward/priv.h"

enum {
	IDLE_MAX_MS = 4000,  /* servers keep idle connections for longer */
	IDLE_SWEEP_MS = 500, /* between two looks for idle connections */
	/*
	 * A request that must not be retried only takes a connection that was
	 * used within this: the server is unlikely to have closed it yet.
	 */
	RECENT_USE_MS = 800,
};

/* Closes and frees a connection; the exchange on it stays. */
void server_conn_close(server_conn_t *c)
{
	list_del(&c->link);
	list_del(&c->all_link);
	c->forward->open_conns->value--;
	if (c->x)
		c->x->conn = NULL;
	if (c->conn)
		hconn_close(c->conn);
	g_free(c);
}

static bool on_head(void *ctx, hconn_t *conn, const http_head_t *h)
{
	server_conn_t *c = ctx;

	(void)conn;
	if (!c->x) {
		c->forward->stray_answers->value++;
		c->conn = NULL;
		hconn_close(conn);
		server_conn_close(c);
		return true;
	}
	answer_head_read(c->x, h);
	return c->x && c->x->caller->is_head_request;
}

static void on_body(void *ctx, hconn_t *conn, str_t data)
{
	server_conn_t *c = ctx;

	(void)conn;
	if (c->x)
		answer_body_read(c->x, data);
}

/* Keeps the connection idle for another request. */
static void keep_idle(server_conn_t *c)
{
	conn_pool_t *pool = c->server->user;

	if (!pool) {
		pool = g_new0(conn_pool_t, 1);
		list_init(&pool->idle);
		c->server->user = pool;
	}
	c->x = NULL;
	c->idle_since = clock_now();
	list_add(&pool->idle, &c->link);
}

static void on_end(void *ctx, hconn_t *conn, bool may_keep)
{
	server_conn_t *c = ctx;
	exchange_t *x = c->x;
	backend_t *b = c->server;
	bool whole;
	attempt_result_t how;

	if (!x)
		return;
	if (x->stray) {
		x->stray = false;
		c->forward->stray_answers->value++;
		if (may_keep && ++x->strays < STRAYS_MAX)
			return;
		server_conn_close(c);
		exchange_attempt_end(x, ATTEMPT_LOST, clock_now());
		return;
	}
	whole = answer_body_end(x);
	how = x->wrong_server			 ? ATTEMPT_WRONG_SERVER
	      : x->rejected			 ? ATTEMPT_REJECTED
	      : !whole				 ? ATTEMPT_BAD_ANSWER
	      : x->unrelated || x->status >= 500 ? ATTEMPT_FAILED
						 : ATTEMPT_ANSWERED;
	x->conn = NULL;
	c->x = NULL;
	if (hconn_has_surplus(conn))
		c->forward->stray_answers->value++;
	if (may_keep && whole && !hconn_has_surplus(conn) && !x->wrong_server &&
	    !b->gone && !b->draining)
		keep_idle(c);
	else
		server_conn_close(c);
	exchange_attempt_end(x, how, clock_now());
}

static void on_gone(void *ctx, hconn_t *conn, code_t code)
{
	server_conn_t *c = ctx;
	exchange_t *x = c->x;
	attempt_result_t how = code == CODE_NOT_SENT	 ? ATTEMPT_NOT_SENT
			       : code == CODE_BAD_ANSWER ? ATTEMPT_BAD_ANSWER
							 : ATTEMPT_LOST;

	(void)conn;
	c->conn = NULL;
	server_conn_close(c);
	if (x)
		exchange_attempt_end(x, how, clock_now());
}

static const hconn_ops_t ops = { on_head, on_body, on_end, on_gone };

/*
 * Whether an answer that comes next on the connection could belong to another
 * send. A server may repeat an answer late, and all that names the send is the
 * request's id: so each send of a request has a connection of its own, and a
 * request without an id a new one.
 */
static bool is_ambiguous(const exchange_t *x, const server_conn_t *c)
{
	if (!x->id || x->nsent > SENDS_MAX)
		return true;
	for (unsigned int i = 0; i < x->nsent; i++) {
		if (x->sent_on[i] == c->number)
			return true;
	}
	return false;
}

/*
 * Takes an idle connection to the request's server that is still usable, or
 * returns NULL. A request that must not be repeated takes one that was used
 * within RECENT_USE_MS.
 */
static server_conn_t *take_idle(const exchange_t *x, ms_t now)
{
	bool recent_only = x->req.route->retry == RETRY_NEVER;
	conn_pool_t *pool = x->req.server->user;
	list_t *pos;
	list_t *tmp;

	if (!pool)
		return NULL;
	list_for_each_safe(pos, tmp, &pool->idle)
	{
		server_conn_t *c = list_entry(pos, server_conn_t, link);
		ms_t age = now - c->idle_since;

		if (recent_only && age > RECENT_USE_MS)
			return NULL;
		if (is_ambiguous(x, c))
			continue;
		if (age < c->idle_timeout && hconn_reusable(c->conn)) {
			list_del(&c->link);
			list_init(&c->link);
			return c;
		}
		server_conn_close(c);
	}
	return NULL;
}

/* The caller may have left while the connection was being made. */
static bool may_send(void *ctx)
{
	server_conn_t *c = ctx;

	return !c->x || !caller_left(c->x->caller);
}

static server_conn_t *open_conn(forward_t *f, backend_t *b)
{
	server_conn_t *c = g_new0(server_conn_t, 1);

	list_init(&c->link);
	c->forward = f;
	c->server = b;
	c->number = ++f->last_conn;
	c->idle_timeout = IDLE_MAX_MS;
	c->conn = hconn_open(f->loop, &b->addr, &ops, c);
	f->connects->value++;
	if (!c->conn) {
		g_free(c);
		return NULL;
	}
	hconn_set_may_send(c->conn, may_send);
	list_add_tail(&f->server_conns, &c->all_link);
	f->open_conns->value++;
	return c;
}

/* Returns the head of one attempt. */
static GByteArray *make_head(exchange_t *x, ms_t now)
{
	GByteArray *out = g_byte_array_sized_new(x->request_head->len + 256);
	send_info_t info = {
		.server = x->req.server->id,
		.customer = x->req.customer ? x->req.customer->name : NULL,
		.time_left = MAX(x->req.deadline - now, 1),
		.resumes = x->has_last_event || x->call.resumes,
		.last_event_id = x->has_last_event ? x->last_event_id
						   : x->call.last_event_id,
		.body_bytes = x->body->len,
		.has_body = x->has_body,
	};

	g_byte_array_append(out, x->request_head->data, x->request_head->len);
	x->forward->codec->write_send(&info, out);
	return out;
}

/*
 * Sends the request to its server, on an idle connection or a new one. Not if
 * its caller has left.
 */
void server_conn_send(exchange_t *x)
{
	forward_t *f = x->forward;
	backend_t *b = x->req.server;
	ms_t now = clock_now();
	server_conn_t *c;
	GByteArray *head;

	if (caller_left(x->caller))
		return;
	c = take_idle(x, now);
	if (c)
		f->reused->value++;
	else
		c = open_conn(f, b);
	if (!c) {
		list_add_tail(&f->failed_sends, &x->failed_link);
		forward_defer(f);
		return;
	}
	c->x = x;
	c->requests_sent++;
	if (x->nsent < SENDS_MAX)
		x->sent_on[x->nsent] = c->number;
	x->nsent++;
	x->conn = c;
	x->strays = 0;
	x->unkept_bytes = 0;
	head = make_head(x, now);
	hconn_send(c->conn, head, x->body);
	g_byte_array_free(head, TRUE);
}

/* Closes connections that were idle for their timeout. */
void server_conns_tick(forward_t *f, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	if (now < f->next_idle_sweep)
		return;
	f->next_idle_sweep = now + IDLE_SWEEP_MS;
	list_for_each_safe(pos, tmp, &f->server_conns)
	{
		server_conn_t *c = list_entry(pos, server_conn_t, all_link);

		if (!c->x && now - c->idle_since >= c->idle_timeout)
			server_conn_close(c);
	}
}

/* Closes the idle connections to a server that is removed. */
void forward_drop_server(forward_t *f, backend_t *b)
{
	conn_pool_t *pool = b->user;
	list_t *pos;
	list_t *tmp;

	(void)f;
	if (!pool)
		return;
	list_for_each_safe(pos, tmp, &pool->idle)
	{
		server_conn_close(list_entry(pos, server_conn_t, link));
	}
	g_free(pool);
	b->user = NULL;
}
