/* The life of a request: admitted, waiting, sent, sent again, ended. */
#include <stdarg.h>
#include "edge/priv.h"

enum {
	NOTE_BYTES = 256,     /* of one decision's inputs */
	ARRIVALS_MAX = 4,     /* servers that a request is shown to, with those
				 that reject it */
	STALL_LEAST_MS = 250, /* shorter silences are ordinary */
	STALL_GAPS = 2,	      /* times the target between events */
	STALL_FIRSTS = 2,     /* times the target of the first event */
};

static const double learn = 0.05;    /* weight of a sample in the means */
static const double stall_times = 6; /* the expected time to an event */

static void pool_free(gpointer v)
{
	pool_t *p = v;

	shift_free(p->shift);
	hist_free(p->first_ms);
	hist_free(p->wait_ms);
	g_free(p->name);
	g_free(p);
}

/* Returns an edge that knows no configuration and no servers. */
edge_t *edge_new(const edge_conf_t *conf, const edge_ops_t *ops, void *ctx,
		 counters_t *counters)
{
	edge_t *e = g_new0(edge_t, 1);

	e->conf = *conf;
	e->ops = ops;
	e->ctx = ctx;
	e->rand = g_rand_new_with_seed((guint32)conf->seed);
	e->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	e->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->keepers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->waiting = g_hash_table_new(rid_hash, rid_equal);
	e->quotas =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	hosts_init(e);
	e->counters = counters;
	return e;
}

/* Frees the edge. No request may be in it any more. */
void edge_free(edge_t *e)
{
	GPtrArray *ids = edge_server_ids(e);

	for (guint i = 0; i < ids->len; i++)
		server_forget(e, ids->pdata[i]);
	g_ptr_array_free(ids, TRUE);
	desired_unref(e->desired);
	g_hash_table_destroy(e->pools);
	g_hash_table_destroy(e->by_id);
	g_hash_table_destroy(e->waiting);
	g_hash_table_destroy(e->keepers);
	g_hash_table_destroy(e->quotas);
	hosts_clear(e);
	g_rand_free(e->rand);
	g_free(e);
}

/* Takes the numbers of new settings; what names this host stays. */
void edge_reconf(edge_t *e, const edge_conf_t *conf)
{
	GHashTableIter it;
	gpointer v;
	bool window = conf->retry_window != e->conf.retry_window;

	e->conf.retry_ratio = conf->retry_ratio;
	e->conf.retry_window = conf->retry_window;
	e->conf.retry_slack = conf->retry_slack;
	e->conf.quota_tolerance = conf->quota_tolerance;
	e->conf.quota_slack = conf->quota_slack;
	e->conf.quota_window = conf->quota_window;
	g_hash_table_iter_init(&it, e->pools);
	while (window && g_hash_table_iter_next(&it, NULL, &v)) {
		pool_t *p = v;

		window_init(&p->asked, conf->retry_window);
		window_init(&p->repeats, conf->retry_window);
	}
}

/*
 * Puts a configuration in force and takes over the reference. Returns false,
 * and drops it, when it is no newer than the one in force.
 */
bool edge_configure(edge_t *e, desired_t *d)
{
	if (e->desired && d->version <= e->desired->version) {
		desired_unref(d);
		return false;
	}
	desired_unref(e->desired);
	e->desired = d;
	ask_keepers(e);
	for (guint i = 0; i < d->customers->len; i++) {
		const edge_customer_t *c = d->customers->pdata[i];

		log_line(
			LOG_DEBUG, "config_customer",
			"version=%llu customer=%s rank=%d rate=%.0f burst=%.0f",
			(unsigned long long)d->version, c->name, c->rank,
			c->rate, c->burst);
	}
	return true;
}

/* The configuration in force, or NULL. Not a new reference. */
desired_t *edge_desired(const edge_t *e)
{
	return e->desired;
}

/* How a send ended, as logs name it. */
const char *sent_name(sent_t how)
{
	static const char *const names[] = {
		[SENT_WHOLE] = "whole",	       [SENT_FAILED] = "failed",
		[SENT_REJECTED] = "rejected",  [SENT_NOT] = "not_sent",
		[SENT_LOST] = "lost",	       [SENT_BAD] = "bad_answer",
		[SENT_WRONG] = "wrong_server",
	};

	return names[how];
}

/* Tells a decision on a request, for its lines in the log. */
void edge_note(edge_t *e, const request_t *r, ms_t now, const char *step,
	       const char *fmt, ...)
{
	char text[NOTE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	e->ops->note(e->ctx, r, now, step, text);
}

/* Sends a request that is in no queue. */
void edge_run(edge_t *e, request_t *r, backend_t *b, ms_t now)
{
	r->state = REQUEST_RUNNING;
	r->server = b;
	r->sent_at = now;
	r->last_event = now;
	r->first_here = false;
	r->events = 0;
	r->arrivals++;
	if (r->ntried < TRIED_MAX)
		r->tried[r->ntried++] = b->serial;
	if (r->customer && !r->charged)
		quota_sent(e, r->customer, r->cost);
	if (!r->charged) {
		window_add(&r->pool->placed[MIN(r->rank, RANKS - 1)], 1, now);
		hist_add(r->pool->wait_ms, now - r->arrived);
	}
	r->charged = true;
	b->running++;
	list_add_tail(&b->runs, &r->run);
	edge_note(
		e, r, now, "sent",
		"server=%s by=%s running=%u load=%u slots=%u load_age_ms=%lld "
		"first_ms=%.0f token_ms=%.1f waited_ms=%lld waiting=%u",
		b->id, r->granted ? "keeper" : "estimate", b->running,
		place_load(b, now), b->slots,
		b->others_at ? (long long)(now - b->others_at) : -1,
		cost_first(b->pool, b, r->prompt), cost_token(b),
		(long long)(now - r->arrived), r->pool->nwaiting);
	e->ops->send(e->ctx, r);
}

/* Sends waiting requests while there are places for them. */
static void dispatch(edge_t *e, pool_t *p, ms_t now)
{
	request_t *r;
	backend_t *b;

	while (p->unkept > 0 && (r = queue_next(p, now)) != NULL) {
		b = place_pick(e, p, r, now);
		if (!b)
			return;
		queue_remove(e, r);
		r->granted = 0;
		edge_run(e, r, b, now);
	}
}

/* Chooses the service of a request among those its route is split over. */
static const char *choose_split(edge_t *e, const edge_route_t *route)
{
	uint64_t sum = 0;
	double at;

	for (size_t i = 0; i < route->nsplits; i++)
		sum += route->splits[i].weight;
	at = g_rand_double(e->rand) * (double)sum;
	for (size_t i = 0; i + 1 < route->nsplits; i++) {
		at -= (double)route->splits[i].weight;
		if (at < 0)
			return route->splits[i].service;
	}
	return route->splits[route->nsplits - 1].service;
}

static void refuse(edge_t *e, request_t *r, code_t code, ms_t after)
{
	r->state = REQUEST_ENDED;
	e->ops->refuse(e->ctx, r, code, after);
}

/*
 * Takes a new request whose route and customer are set. It is sent, queued or
 * refused; send and refuse may be called before this returns.
 */
void edge_submit(edge_t *e, request_t *r, ms_t now)
{
	const edge_customer_t *c = r->customer;
	pool_t *p = pool_get(e, choose_split(e, r->route));
	ms_t wait;

	r->pool = p;
	r->state = REQUEST_NEW;
	r->rid.inc = e->conf.inc;
	r->rid.seq = ++e->rids;
	r->side = shift_pick(e, p, r);
	budget_earn(p, now);
	if (refuse_hopeless(p, r, now)) {
		edge_note(e, r, now, "refused",
			  "why=cannot_finish alike=%u sent_lately=%.0f "
			  "waiting=%u",
			  queue_alike(p, r),
			  window_sum(&p->placed[MIN(r->rank, RANKS - 1)], now),
			  p->nwaiting);
		refuse(e, r, CODE_CANNOT_FINISH, refuse_after(e, p, r, now));
		return;
	}
	if (c) {
		r->cost = quota_cost(c, r->tokens);
		wait = quota_take(e, c, r->cost, r->rank, now);
		if (wait > 0) {
			edge_note(e, r, now, "refused",
				  "why=over_quota rate=%.0f burst=%.0f "
				  "cost=%.0f hosts=%u silent=%u after_ms=%lld",
				  c->rate, c->burst, r->cost, e->hosts,
				  e->hosts_silent, (long long)wait);
			refuse(e, r, CODE_OVER_LIMIT, wait);
			return;
		}
	}
	queue_push(e, r, now);
	dispatch(e, p, now);
	if (r->state == REQUEST_WAITING)
		ask_first(e, r, now);
}

/* Tells that the first event, or byte of an answer, has come. */
void edge_first(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b = r->server;
	double ms = (double)(now - r->sent_at);

	b->heard = now;
	r->last_event = now;
	if (r->first_here)
		return;
	if (!r->started)
		hist_add(b->pool->first_ms, now - r->arrived);
	r->first_here = true;
	r->first_at = now;
	r->started = true;
	fit_add(&b->fit, r->prompt, ms);
	b->pool->first_mean += learn * (ms - b->pool->first_mean);
}

/* Tells that another event has come. */
void edge_event(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b = r->server;

	b->heard = now;
	r->events++;
	cost_event(b, (double)(now - r->last_event));
	r->last_event = now;
}

/* Takes the load that an answer told; it includes our own requests. */
void edge_load(edge_t *e, backend_t *b, unsigned int running,
	       unsigned int waiting, ms_t now)
{
	unsigned int all = running + waiting;

	b->others = all > b->running ? all - b->running : 0;
	b->others_at = now;
}

/* Takes the request off its server and lets waiting ones have the place. */
static void leave_server(edge_t *e, request_t *r, bool unreached, ms_t now)
{
	backend_t *b = r->server;
	pool_t *p = r->pool;

	list_del(&r->run);
	b->running--;
	r->server = NULL;
	if (r->granted)
		e->ops->release(e->ctx, r->granted, r, unreached);
	r->granted = 0;
	p->run_mean += learn * ((double)(now - r->sent_at) - p->run_mean);
	backend_release(e, b);
}

static bool may_repeat(const request_t *r, sent_t how, bool resumable)
{
	if (r->sends >= r->route->attempts)
		return false;
	switch (r->route->repeat) {
	case REPEAT_SAFE:
		return true;
	case REPEAT_RESUME:
		return resumable && how != SENT_FAILED;
	case REPEAT_NEVER:
		break;
	}
	return false;
}

static bool worth_again(edge_t *e, request_t *r, sent_t how, bool resumable,
			ms_t now)
{
	bool not_run =
		how == SENT_REJECTED || how == SENT_NOT || how == SENT_WRONG;

	if (how == SENT_WHOLE || now >= r->deadline ||
	    r->arrivals >= ARRIVALS_MAX)
		return false;
	if (!not_run && !may_repeat(r, how, resumable))
		return false;
	if (how == SENT_NOT)
		return true;
	return budget_spend(e, r->pool, now);
}

/*
 * Decides what follows a send that ended. resumable says that the stream can
 * go on elsewhere where it broke. With NEXT_AGAIN the request waits again, or
 * has been sent already when this returns.
 */
verdict_next_t edge_sent(edge_t *e, request_t *r, sent_t how, bool resumable,
			 ms_t now)
{
	pool_t *p = r->pool;
	backend_t *b = r->server;
	bool again;

	b->heard = how == SENT_LOST || how == SENT_NOT ? b->heard : now;
	if (how != SENT_REJECTED && how != SENT_NOT && how != SENT_WRONG)
		r->sends++;
	if (how == SENT_WHOLE)
		cost_note(b, r, now);
	health_note(e, b, how, now);
	shift_note(r, how);
	leave_server(e, r, how == SENT_NOT, now);
	again = worth_again(e, r, how, resumable, now);
	if (how != SENT_WHOLE)
		edge_note(e, r, now, again ? "again" : "no_more",
			  "sends=%u attempts=%u arrivals=%u left_ms=%lld "
			  "repeats=%.0f asked=%.0f",
			  r->sends, r->route->attempts, r->arrivals,
			  (long long)(r->deadline - now),
			  window_sum(&p->repeats, now),
			  window_sum(&p->asked, now));
	if (again) {
		r->side = SHIFT_OLD;
		queue_push(e, r, now);
	} else {
		r->state = REQUEST_ENDED;
	}
	dispatch(e, p, now);
	if (r->state == REQUEST_WAITING)
		ask_first(e, r, now);
	return again ? NEXT_AGAIN : NEXT_ANSWER;
}

/* Forgets a request whose caller is gone, or whose time is up. */
void edge_drop(edge_t *e, request_t *r, ms_t now)
{
	pool_t *p = r->pool;

	if (r->state == REQUEST_WAITING) {
		queue_abandon(e, r);
	} else if (r->state == REQUEST_RUNNING) {
		if (now >= r->deadline)
			shift_note(r, SENT_LOST);
		leave_server(e, r, false, now);
	}
	r->state = REQUEST_ENDED;
	if (p)
		dispatch(e, p, now);
}

/*
 * Whether a running request that may be repeated has been silent for so long
 * that it seems lost. What may not be repeated is left to its server.
 */
bool edge_stalled(const edge_t *e, const request_t *r, ms_t now)
{
	const backend_t *b = r->server;
	const edge_route_t *rt = r->route;
	double usual =
		r->first_here ? b->step : cost_first(b->pool, b, r->prompt);
	ms_t least = r->first_here ? rt->gap_target * STALL_GAPS
				   : rt->first_target * STALL_FIRSTS;

	if (rt->repeat == REPEAT_NEVER || r->sends + 1 >= rt->attempts)
		return false;
	return (double)(now - r->last_event) >
	       MAX(MAX(least, STALL_LEAST_MS), usual * stall_times);
}

/* When a caller whose request has not run should come back, in ms. */
ms_t edge_come_back(edge_t *e, const request_t *r, ms_t now)
{
	return refuse_after(e, r->pool, r, now);
}

/* Looks after what waits. To be called every few tens of ms. */
void edge_tick(edge_t *e, ms_t now)
{
	GHashTableIter it;
	gpointer p;

	if (!e->ticked)
		e->started = now;
	e->ticked = true;
	hosts_tick(e, now);
	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (((pool_t *)p)->nwaiting == 0)
			continue;
		queue_expire(e, p, now);
		dispatch(e, p, now);
		ask_tick(e, p, now);
	}
}

/* Appends a line for each server, for operators. */
void edge_print(const edge_t *e, GString *out, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const backend_t *b = v;

		g_string_append_printf(
			out,
			"server=%s service=%s slots=%u running=%u load=%u "
			"usable=%d first_ms=%.1f step_ms=%.1f\n",
			b->id, b->pool->name, b->slots, b->running,
			place_load(b, now), health_usable(b, now),
			cost_first(b->pool, b, 1000), b->step);
	}
}
