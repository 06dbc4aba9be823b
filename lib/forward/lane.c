/* Connections to backend servers: opened, kept between requests, dropped. */
#include "forward/priv.h"

enum {
	IDLE_MAX_MS = 4000,   /* below what servers are known to keep */
	IDLE_MARGIN_MS = 500, /* before the end that a server announced */
	FRESH_MS = 800, /* for what must not be repeated: a connection that
			   was used within this is hardly dropped by now */
};

/* Forgets a connection and closes it. */
void lane_drop(lane_t *l)
{
	list_del(&l->link);
	list_init(&l->link);
	if (l->x)
		l->x->lane = NULL;
	if (l->conn)
		hconn_close(l->conn);
	g_free(l);
}

static bool on_head(void *ctx, hconn_t *conn, const http_head_t *h)
{
	lane_t *l = ctx;

	(void)conn;
	if (!l->x) {
		l->forward->strays->value++;
		l->conn = NULL;
		hconn_close(conn);
		lane_drop(l);
		return true;
	}
	exchange_head(l->x, h);
	return l->x && l->x->is_head;
}

static void on_body(void *ctx, hconn_t *conn, str_t data)
{
	lane_t *l = ctx;

	(void)conn;
	if (l->x)
		exchange_body(l->x, data);
}

/* Keeps the connection for another request. */
static void keep(lane_t *l)
{
	lanes_t *ls = l->server->user;

	if (!ls) {
		ls = g_new0(lanes_t, 1);
		list_init(&ls->idle);
		l->server->user = ls;
	}
	l->x = NULL;
	l->idle_since = clock_now();
	list_add(&ls->idle, &l->link);
}

static void on_end(void *ctx, hconn_t *conn, bool may_keep)
{
	lane_t *l = ctx;
	exchange_t *x = l->x;
	backend_t *b = l->server;
	bool whole;
	attempt_result_t how;

	if (!x)
		return;
	if (x->stray) {
		x->stray = false;
		l->forward->strays->value++;
		if (may_keep)
			return;
		lane_drop(l);
		exchange_over(x, ATTEMPT_LOST, clock_now());
		return;
	}
	whole = exchange_end(x);
	how = x->wrong		 ? ATTEMPT_WRONG_SERVER
	      : x->rejected	 ? ATTEMPT_REJECTED
	      : !whole		 ? ATTEMPT_BAD_ANSWER
	      : x->status >= 500 ? ATTEMPT_FAILED
				 : ATTEMPT_ANSWERED;
	x->lane = NULL;
	l->x = NULL;
	if (may_keep && whole && !x->wrong && !b->gone && !b->draining)
		keep(l);
	else
		lane_drop(l);
	exchange_over(x, how, clock_now());
}

static void on_gone(void *ctx, hconn_t *conn, code_t code)
{
	lane_t *l = ctx;
	exchange_t *x = l->x;
	attempt_result_t how = code == CODE_NOT_SENT	 ? ATTEMPT_NOT_SENT
			       : code == CODE_BAD_ANSWER ? ATTEMPT_BAD_ANSWER
							 : ATTEMPT_LOST;

	(void)conn;
	l->conn = NULL;
	lane_drop(l);
	if (x)
		exchange_over(x, how, clock_now());
}

static const hconn_ops_t ops = { on_head, on_body, on_end, on_gone };

/* Takes an idle connection to the server that is still good, or NULL. */
static lane_t *take_idle(backend_t *b, bool fresh, ms_t now)
{
	lanes_t *ls = b->user;
	list_t *pos;
	list_t *tmp;

	if (!ls)
		return NULL;
	list_for_each_safe(pos, tmp, &ls->idle)
	{
		lane_t *l = list_entry(pos, lane_t, link);
		ms_t age = now - l->idle_since;

		if (fresh && age > FRESH_MS)
			return NULL;
		if (age < l->idle_max && hconn_clean(l->conn)) {
			list_del(&l->link);
			list_init(&l->link);
			return l;
		}
		lane_drop(l);
	}
	return NULL;
}

static lane_t *open_lane(forward_t *r, backend_t *b)
{
	lane_t *l = g_new0(lane_t, 1);

	list_init(&l->link);
	l->forward = r;
	l->server = b;
	l->idle_max = IDLE_MAX_MS;
	l->conn = hconn_open(r->loop, &b->addr, &ops, l);
	r->connects->value++;
	if (l->conn)
		return l;
	g_free(l);
	return NULL;
}

static GByteArray *spell(exchange_t *x, ms_t now)
{
	GByteArray *out = g_byte_array_sized_new(x->pass->len + 256);
	send_info_t info = {
		.server = x->req.server->id,
		.customer = x->req.customer ? x->req.customer->name : NULL,
		.left = MAX(x->req.deadline - now, 1),
		.resumes = x->has_last || x->call.resumes,
		.last_event = x->has_last ? x->last_event : x->call.last_event,
		.body = x->body->len,
		.has_body = x->has_body,
	};

	g_byte_array_append(out, x->pass->data, x->pass->len);
	x->forward->codec->write_send(&info, out);
	return out;
}

/* Sends the request to its server, on a kept connection or a new one. */
void lane_send(exchange_t *x)
{
	forward_t *r = x->forward;
	backend_t *b = x->req.server;
	ms_t now = clock_now();
	bool fresh = x->req.route->retry == RETRY_NEVER;
	lane_t *l = take_idle(b, fresh, now);
	GByteArray *head;

	if (l)
		r->reused->value++;
	else
		l = open_lane(r, b);
	if (!l) {
		list_add_tail(&r->failed, &x->later);
		forward_soon(r);
		return;
	}
	l->x = x;
	l->uses++;
	x->lane = l;
	head = spell(x, now);
	hconn_send(l->conn, head, x->body);
	g_byte_array_free(head, TRUE);
}

/* Closes connections that have been idle for too long. */
void lane_tick(backend_t *b, ms_t now)
{
	lanes_t *ls = b->user;
	list_t *pos;
	list_t *tmp;

	if (!ls)
		return;
	list_for_each_safe(pos, tmp, &ls->idle)
	{
		lane_t *l = list_entry(pos, lane_t, link);

		if (now - l->idle_since >= l->idle_max)
			lane_drop(l);
	}
}

/* Closes what is kept open to a server that is forgotten. */
void forward_forget(forward_t *r, backend_t *b)
{
	lanes_t *ls = b->user;
	list_t *pos;
	list_t *tmp;

	(void)r;
	if (!ls)
		return;
	list_for_each_safe(pos, tmp, &ls->idle)
	{
		lane_drop(list_entry(pos, lane_t, link));
	}
	g_free(ls);
	b->user = NULL;
}
