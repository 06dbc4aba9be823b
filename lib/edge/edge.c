/* The life cycle of a request: admission, queueing, dispatch, retries, end. */
#include <stdarg.h>
#include "edge/priv.h"

enum {
	STEP_BYTES = 256,   /* of the inputs logged with one step */
	STALL_MIN_MS = 250, /* shorter silences are normal */
	STALL_GAPS = 2,	    /* times the target gap between events */
	STALL_FIRSTS = 2,   /* times the first event target */
	/* For callers whose route no server may serve: an operator acts first
	 */
	UNSERVABLE_RETRY_MS = 1000,
};

/* Weight of a sample in the moving averages */
static const double sample_weight = 0.05;
/* Factor on the expected time to the next event */
static const double stall_factor = 6;

static void pool_free(gpointer v)
{
	pool_t *p = v;

	shift_free(p->shift);
	subset_clear(p);
	hist_free(p->first_ms);
	hist_free(p->wait_ms);
	g_free(p->name);
	g_free(p);
}

/* Returns an edge without a configuration and without servers. */
edge_t *edge_new(const edge_conf_t *conf, const edge_ops_t *ops, void *ctx,
		 counters_t *counters)
{
	edge_t *e = g_new0(edge_t, 1);

	e->conf = *conf;
	e->conf.subset = MAX(conf->subset, 1);
	e->ops = ops;
	e->ctx = ctx;
	e->rand = g_rand_new_with_seed((guint32)conf->seed);
	e->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	e->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->recalled = recall_new();
	e->keepers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->waiting = g_hash_table_new(rid_hash, rid_equal);
	e->rerouting = g_hash_table_new(rid_hash, rid_equal);
	e->quotas =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < QUOTA_KINDS; i++)
		e->quota_servers[i] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	list_init(&e->asking);
	e->asking_by_rid = g_hash_table_new(rid_hash, rid_equal);
	e->quota_unanswered =
		counter_get(counters, "edge_quota_unanswered_total", NULL);
	e->quota_strays =
		counter_get(counters, "edge_quota_strays_total", NULL);
	e->evacuations = evacuate_new();
	hosts_init(e);
	keepers_init(e);
	e->crashes = crashes_new(counters);
	e->quarantine = quarantine_new(counters);
	e->counters = counters;
	return e;
}

/* Frees the edge. No request may be in it any more. */
void edge_free(edge_t *e)
{
	GPtrArray *ids = edge_server_ids(e);

	for (guint i = 0; i < ids->len; i++)
		server_remove(e, ids->pdata[i]);
	g_ptr_array_free(ids, TRUE);
	desired_unref(e->desired);
	g_hash_table_destroy(e->pools);
	g_hash_table_destroy(e->by_id);
	g_hash_table_destroy(e->recalled);
	g_hash_table_destroy(e->waiting);
	g_hash_table_destroy(e->rerouting);
	g_hash_table_destroy(e->keepers);
	g_hash_table_destroy(e->quotas);
	for (int i = 0; i < QUOTA_KINDS; i++)
		g_hash_table_destroy(e->quota_servers[i]);
	g_hash_table_destroy(e->asking_by_rid);
	g_hash_table_destroy(e->evacuations);
	hosts_clear(e);
	keepers_clear(e);
	crashes_free(e->crashes);
	quarantine_free(e->quarantine);
	g_rand_free(e->rand);
	g_free(e);
}

/* Applies new settings, except those that identify this host. */
void edge_reconf(edge_t *e, const edge_conf_t *conf)
{
	GHashTableIter it;
	gpointer v;
	bool window_changed = conf->retry_window != e->conf.retry_window;
	bool subset_changed = MAX(conf->subset, 1) != e->conf.subset;

	e->conf.subset = MAX(conf->subset, 1);
	e->conf.retry_ratio = conf->retry_ratio;
	e->conf.retry_window = conf->retry_window;
	e->conf.retry_slack = conf->retry_slack;
	e->conf.quota = conf->quota;
	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		pool_t *p = v;

		if (window_changed) {
			window_init(&p->arrivals, conf->retry_window);
			window_init(&p->retries, conf->retry_window);
		}
		if (subset_changed)
			subset_resize(e, p);
	}
}

/*
 * Makes a configuration the active one and takes over the reference. If it is
 * no newer than the active one, drops it and returns false.
 */
bool edge_configure(edge_t *e, desired_t *d)
{
	if (e->desired && d->version <= e->desired->version) {
		desired_unref(d);
		return false;
	}
	desired_unref(e->desired);
	e->desired = d;
	e->quotas_changed = true;
	e->quota_sync_at = 0;
	e->keepers_changed = true;
	slots_set_keepers(e);
	warm_configure(e);
	for (guint i = 0; i < d->customers->len; i++) {
		const edge_customer_t *c = d->customers->pdata[i];

		log_line(LOG_DEBUG, "config_customer",
			 "version=%llu customer=%s priority=%d rate=%.0f "
			 "burst=%.0f",
			 (unsigned long long)d->version, c->name, c->priority,
			 c->rate, c->burst);
	}
	return true;
}

/* Returns the active configuration, or NULL; not a new reference. */
desired_t *edge_desired(const edge_t *e)
{
	return e->desired;
}

/* Returns the name of an attempt's result in logs. */
const char *attempt_result_name(attempt_result_t how)
{
	static const char *const names[] = {
		[ATTEMPT_ANSWERED] = "whole",
		[ATTEMPT_FAILED] = "failed",
		[ATTEMPT_REJECTED] = "rejected",
		[ATTEMPT_NOT_SENT] = "not_sent",
		[ATTEMPT_LOST] = "lost",
		[ATTEMPT_SILENT] = "silent",
		[ATTEMPT_BAD_ANSWER] = "bad_answer",
		[ATTEMPT_WRONG_SERVER] = "wrong_server",
	};

	return names[how];
}

/* Logs a decision on a request. */
void edge_log_step(edge_t *e, const request_t *r, ms_t now, const char *step,
		   const char *fmt, ...)
{
	char text[STEP_BYTES];
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	e->ops->note(e->ctx, r, now, step, text);
}

/* Sends a request that is in no queue to a server. */
void edge_dispatch(edge_t *e, request_t *r, backend_t *b, ms_t now)
{
	r->state = REQUEST_RUNNING;
	r->server = b;
	r->sent_at = now;
	r->last_event_at = now;
	r->responded = false;
	r->events = 0;
	r->dispatches++;
	if (r->ntried < TRIED_MAX)
		r->tried[r->ntried++] = b->serial;
	if (r->customer && !r->charged)
		quota_count_sent(e, r->customer, r->cost);
	if (!r->charged) {
		window_add(
			&r->pool->dispatched[MIN(r->priority, PRIORITIES - 1)],
			1, now);
		r->waited = now - r->arrived;
		hist_add(r->pool->wait_ms, r->waited);
	}
	r->charged = true;
	word_sent(b);
	warm_sent(b, now);
	b->running++;
	list_add_tail(&b->requests, &r->server_link);
	edge_log_step(
		e, r, now, "sent",
		"server=%s by=%s running=%u load=%u slots=%u load_age_ms=%lld "
		"first_ms=%.0f token_ms=%.1f waited_ms=%lld waiting=%u",
		b->id, r->granted_by ? "keeper" : "estimate", b->running,
		select_load(b, now), b->slots,
		b->other_load_at ? (long long)(now - b->other_load_at) : -1,
		estimate_first_event(b->pool, b, r->prompt),
		estimate_token_ms(b), (long long)(now - r->arrived),
		r->pool->nwaiting);
	e->ops->send(e->ctx, r);
}

/* Sends queued requests while servers without a keeper have free slots. */
static void dispatch(edge_t *e, pool_t *p, ms_t now)
{
	request_t *r;
	backend_t *b;

	subset_servers(e, p, now); /* nunkept is of the newest one */
	while (p->nunkept > 0 && (r = queue_next(p, now)) != NULL) {
		b = select_server(e, p, r, now);
		if (!b)
			return;
		queue_remove(e, r);
		r->granted_by = 0;
		edge_dispatch(e, r, b, now);
	}
}

/* Chooses the service of a request by the weights of its route's splits. */
static const char *choose_split(edge_t *e, const edge_route_t *route)
{
	double sum = 0;
	double point;

	for (size_t i = 0; i < route->nsplits; i++)
		sum += route->splits[i].weight;
	point = g_rand_double(e->rand) * sum;
	for (size_t i = 0; i + 1 < route->nsplits; i++) {
		point -= route->splits[i].weight;
		if (point < 0)
			return route->splits[i].service;
	}
	return route->splits[route->nsplits - 1].service;
}

static void refuse(edge_t *e, request_t *r, code_t code, ms_t after)
{
	r->state = REQUEST_ENDED;
	e->ops->refuse(e->ctx, r, code, after);
}

static void refuse_over_quota(edge_t *e, request_t *r, ms_t after, ms_t now)
{
	const edge_customer_t *c = r->customer;

	edge_log_step(e, r, now, "refused",
		      "why=over_quota rate=%.0f burst=%.0f cost=%.0f hosts=%u "
		      "after_ms=%lld",
		      c->rate, c->burst, r->cost, e->nhosts, (long long)after);
	refuse(e, r, CODE_OVER_LIMIT, after);
}

/* Queues a request, sends it, or requests slots for it. */
static void enqueue(edge_t *e, request_t *r, ms_t now)
{
	queue_push(e, r, now);
	dispatch(e, r->pool, now);
	if (r->state == REQUEST_WAITING)
		slots_request_first(e, r, now);
}

/* Refuses a request that no server may take, whoever waits for how long. */
static bool refuse_unservable(edge_t *e, request_t *r, ms_t now)
{
	const char *why = allow_none(e, r->pool, r);

	if (!why)
		return false;
	counter_get(e->counters, "edge_unservable_total", NULL)->value++;
	edge_log_step(e, r, now, "refused", "why=%s after_ms=%d", why,
		      UNSERVABLE_RETRY_MS);
	refuse(e, r, CODE_NO_SERVER, UNSERVABLE_RETRY_MS);
	return true;
}

/*
 * Takes a new request whose route and customer are set. It is sent, queued,
 * refused, or asks its quota server first; the send and refuse operations may
 * be called before this returns.
 */
void edge_submit(edge_t *e, request_t *r, ms_t now)
{
	pool_t *p = pool_get(e, choose_split(e, r->route));
	ms_t wait = 0;

	r->pool = p;
	r->state = REQUEST_NEW;
	r->rid.inc = e->conf.inc;
	r->rid.seq = ++e->last_rid;
	budget_earn(p, now);
	if (quarantine_refuse(e, r, now))
		return;
	if (refuse_unservable(e, r, now))
		return;
	r->side = shift_pick(e, p, r);
	if (admission_too_late(p, r, now)) {
		edge_log_step(e, r, now, "refused",
			      "why=cannot_finish ahead=%u sent_lately=%.0f "
			      "waiting=%u",
			      queue_same_priority(p, r),
			      window_sum(&p->dispatched[MIN(r->priority,
							    PRIORITIES - 1)],
					 now),
			      p->nwaiting);
		refuse(e, r, CODE_CANNOT_FINISH,
		       admission_retry_after(e, p, r, now));
		return;
	}
	switch (quota_take(e, r, now, &wait)) {
	case QUOTA_GRANTED:
		enqueue(e, r, now);
		break;
	case QUOTA_REFUSED:
		refuse_over_quota(e, r, wait, now);
		break;
	case QUOTA_ASKED:
		break;
	}
}

/* A quota server has answered for a request that asked it. */
void edge_quota_answer(edge_t *e, uint64_t server, rid_t rid,
		       const quota_answer_t *a, ms_t now)
{
	request_t *r = quota_answered(e, server, rid);

	if (r && a->granted)
		enqueue(e, r, now);
	else if (r)
		refuse_over_quota(e, r, a->retry_after, now);
}

/* The first event, or the first byte of an answer, has come. */
void edge_first_event(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b = r->server;
	double ms = (double)(now - r->sent_at);

	health_heard(b, now);
	reroute_stop(e, r);
	r->last_event_at = now;
	if (r->responded)
		return;
	if (!r->ever_responded)
		hist_add(b->pool->first_ms, now - r->arrived);
	r->responded = true;
	r->first_at = now;
	r->ever_responded = true;
	fit_add(&b->fit, r->prompt, ms);
	b->pool->first_event_mean +=
		sample_weight * (ms - b->pool->first_event_mean);
}

/* Another event has come. */
void edge_event(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b = r->server;

	health_heard(b, now);
	reroute_stop(e, r);
	r->events++;
	estimate_add_gap(b, (double)(now - r->last_event_at));
	r->last_event_at = now;
}

/* Takes the load that an answer reported; it includes this host's requests. */
void edge_server_load(edge_t *e, backend_t *b, unsigned int running,
		      unsigned int waiting, ms_t now)
{
	unsigned int all = running + waiting;

	b->other_load = all > b->running ? all - b->running : 0;
	b->other_load_at = now;
}

/* Returns how the slot of an attempt that ended so is returned. */
static slot_end_t slot_end(attempt_result_t how)
{
	switch (how) {
	case ATTEMPT_NOT_SENT:
		return SLOT_UNREACHED;
	case ATTEMPT_LOST:
	case ATTEMPT_SILENT:
		return SLOT_LOST;
	default:
		return SLOT_ENDED;
	}
}

/* Takes the request off its server and frees its slot. */
static void release_server(edge_t *e, request_t *r, slot_end_t how, ms_t now)
{
	backend_t *b = r->server;
	pool_t *p = r->pool;

	list_del(&r->server_link);
	b->running--;
	r->server = NULL;
	if (r->granted_by)
		e->ops->release_slot(e->ctx, r->granted_by, r, how);
	r->granted_by = 0;
	p->slot_time_mean += sample_weight *
			     ((double)(now - r->sent_at) - p->slot_time_mean);
	backend_release(e, b);
}

/* Whether a request that may have run in an attempt may run again. */
bool edge_may_rerun(const request_t *r, attempt_result_t how, bool resumable)
{
	if (r->executions >= r->route->attempts)
		return false;
	switch (r->route->retry) {
	case RETRY_SAFE:
		return true;
	case RETRY_RESUME:
		return resumable && how != ATTEMPT_FAILED;
	case RETRY_NEVER:
		break;
	}
	return false;
}

static bool should_retry(edge_t *e, request_t *r, attempt_result_t how,
			 bool resumable, ms_t now)
{
	bool not_run = how == ATTEMPT_REJECTED || how == ATTEMPT_NOT_SENT ||
		       how == ATTEMPT_WRONG_SERVER;

	if (how == ATTEMPT_ANSWERED || now >= r->deadline ||
	    r->dispatches >= ATTEMPTS_MAX)
		return false;
	if (!not_run && !edge_may_rerun(r, how, resumable))
		return false;
	if (how == ATTEMPT_NOT_SENT || r->retry_reserved)
		return true;
	return budget_spend(e, r->pool, now);
}

/*
 * Decides what follows an attempt that has ended. resumable: another server can
 * resume the stream where it broke. On NEXT_RETRY the request is queued, or
 * already sent, when this returns.
 */
next_action_t edge_attempt_ended(edge_t *e, request_t *r, attempt_result_t how,
				 bool resumable, ms_t now)
{
	pool_t *p = r->pool;
	backend_t *b = r->server;
	bool held;
	bool retry;

	crash_attempt_ended(e, r, how, now);
	if (how != ATTEMPT_LOST && how != ATTEMPT_SILENT &&
	    how != ATTEMPT_NOT_SENT)
		health_heard(b, now);
	if (how != ATTEMPT_REJECTED && how != ATTEMPT_NOT_SENT &&
	    how != ATTEMPT_WRONG_SERVER)
		r->executions++;
	if (how == ATTEMPT_ANSWERED)
		estimate_add_stream(b, r, now);
	if (how == ATTEMPT_ANSWERED && r->responded)
		quarantine_answered(e, r, now);
	health_attempt_ended(e, b, how, now);
	shift_count(r, how);
	reroute_stop(e, r);
	release_server(e, r, slot_end(how), now);
	held = quarantine_holds(e, r, now);
	retry = !held && should_retry(e, r, how, resumable, now);
	r->retry_reserved = false;
	if (how != ATTEMPT_ANSWERED)
		edge_log_step(e, r, now, retry ? "retry" : "no_retry",
			      "runs=%u attempts=%u dispatches=%u left_ms=%lld "
			      "retries=%.0f requests=%.0f quarantined=%d",
			      r->executions, r->route->attempts, r->dispatches,
			      (long long)(r->deadline - now),
			      window_sum(&p->retries, now),
			      window_sum(&p->arrivals, now), held);
	if (retry) {
		r->side = SHIFT_OLD;
		if (!reroute_dispatch(e, r, now))
			enqueue(e, r, now);
	} else {
		reroute_drop(e, r);
		r->state = REQUEST_ENDED;
		dispatch(e, p, now);
	}
	return retry ? NEXT_RETRY : NEXT_ANSWER;
}

/* Drops a request whose caller is gone or whose deadline has passed. */
void edge_abandon(edge_t *e, request_t *r, ms_t now)
{
	pool_t *p = r->pool;

	if (r->state == REQUEST_ASKING) {
		quota_forget(e, r);
	} else if (r->state == REQUEST_WAITING) {
		queue_remove(e, r);
	} else if (r->state == REQUEST_RUNNING) {
		if (now >= r->deadline)
			shift_count(r, ATTEMPT_LOST);
		reroute_stop(e, r);
		release_server(e, r,
			       r->server->last_byte_at < r->sent_at
				       ? SLOT_LOST
				       : SLOT_ENDED,
			       now);
	}
	r->state = REQUEST_ENDED;
	if (p)
		dispatch(e, p, now);
}

/* Whether a running request has had no event for so long that it seems lost. */
bool edge_stalled(const request_t *r, ms_t now)
{
	const backend_t *b = r->server;
	const edge_route_t *rt = r->route;
	double expected = r->responded
				  ? b->gap_ms
				  : estimate_first_event(b->pool, b, r->prompt);
	ms_t limit = r->responded ? rt->gap_target * STALL_GAPS
				  : rt->first_event_target * STALL_FIRSTS;

	return (double)(now - r->last_event_at) >
	       MAX(MAX(limit, STALL_MIN_MS), expected * stall_factor);
}

/* Returns when a caller whose request has not run should retry, in ms. */
ms_t edge_retry_after(edge_t *e, const request_t *r, ms_t now)
{
	return admission_retry_after(e, r->pool, r, now);
}

/*
 * Expires queued requests, dispatches and requests slots. To be called every
 * few tens of ms.
 */
void edge_tick(edge_t *e, ms_t now)
{
	GHashTableIter it;
	gpointer p;

	if (!e->ticked)
		e->started = now;
	e->ticked = true;
	crash_tick(e, now);
	quarantine_tick(e, now);
	quota_tick(e, now);
	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		subset_tick(e, p, now);
		if (((pool_t *)p)->nwaiting == 0)
			continue;
		queue_expire(e, p, now);
		dispatch(e, p, now);
		slots_tick(e, p, now);
	}
	keepers_tick(e, now);
}

/* Appends one line per server and part in quarantine, for operators. */
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
			"usable=%d first_ms=%.1f step_ms=%.1f subset=%d "
			"keeper=%llx\n",
			b->id, b->pool->name, b->slots, b->running,
			select_load(b, now), health_usable(b, now),
			estimate_first_event(b->pool, b, 1000), b->gap_ms,
			b->chosen, (unsigned long long)b->keeper);
	}
	evacuate_print(e, out, now);
	quarantine_print(e, out, now);
}
