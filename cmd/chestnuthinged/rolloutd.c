/*
 * Connects canary analysis with the platform's store. A decision is written
 * only if the topic has not grown since it was last read, so that two analysts
 * can't both decide. It takes effect, on the analyst's own host too, once it is
 * read back. The status written for the operator has the decision's number as
 * its epoch, so that the store refuses a late write of an earlier decision.
 */
#include <string.h>
#include "rolloutd.h"
#include "net/fns.h"

enum {
	RETRY_MAX_MS = 500, /* a bad version is rolled back within seconds */
	DECISIONS_WAIT_MS = 10000, /* the store ends a long poll at once when
				      there is a decision */
};

/* The newest decision on a service's rollout, and what was written of it. */
typedef struct decision {
	char *service;
	char *target;	/* version; NULL before the order is known */
	uint64_t order; /* number of the order */
	ms_t duration;	/* of the order */
	bool rewrite;	/* the step may be gone from a restored store */
	bool rewriting; /* it is being written again */
	shift_step_t step;
	uint64_t number;	/* of its record */
	bool known;		/* there is a decision */
	bool status_written;	/* for the operator */
	bool status_pending;	/* a status is being written */
	uint64_t status_number; /* the decision that status is of */
	bool report_pending;	/* its final step is being marked as reported */
} decision_t;

struct rolloutd {
	uv_loop_t *loop;
	follow_conf_t conf;
	edge_t *edge;
	append_t *append;
	canary_t *analysis;
	counters_t *counters;
	follow_t *follow;      /* NULL before the first order */
	GHashTable *decisions; /* decision_t by service */
	bool analyzing;
};

static void decision_free(gpointer v)
{
	decision_t *d = v;

	g_free(d->service);
	g_free(d->target);
	g_free(d);
}

static decision_t *decision_get(rolloutd_t *r, const char *service)
{
	decision_t *d = g_hash_table_lookup(r->decisions, service);

	if (d)
		return d;
	d = g_new0(decision_t, 1);
	d->service = g_strdup(service);
	g_hash_table_insert(r->decisions, d->service, d);
	return d;
}

/* Writes a decision. The topic must have been read whole (rolloutd_tick). */
static void append_step(rolloutd_t *r, const char *service,
			const shift_step_t *s)
{
	append_cond_t cond = { 0 };
	char *text = shift_step_format(s);

	follow_next(r->follow, &cond.end);
	append_put(r->append, adapter_topic_moves(), service, text, &cond);
	g_free(text);
}

static void on_decided(void *ctx, const char *service, const shift_step_t *s)
{
	append_step(ctx, service, s);
}

static const canary_ops_t judge_ops = { on_decided };

static void apply(rolloutd_t *r, const decision_t *d)
{
	ms_t now = clock_now();

	edge_shift_step(r->edge, d->service, &d->step);
	canary_step(r->analysis, d->service, &d->step, now);
}

/*
 * Whether a decision that was read goes beyond the known one. In a listing of a
 * store that came back from a copy, older ones may be the newest that are left.
 */
static bool is_newer(const rolloutd_t *r, const decision_t *d,
		     const shift_step_t *s)
{
	if (!d->known || s->order != d->step.order)
		return !d->known || s->order > d->step.order;
	if (!follow_restored(r->follow))
		return true;
	return s->age >= d->step.age &&
	       (d->step.state == SHIFT_RUNNING || s->state == d->step.state);
}

static void on_record(void *ctx, str_t key, str_t value, uint64_t number)
{
	rolloutd_t *r = ctx;
	shift_step_t step;
	char *service;
	decision_t *d;

	if (value.n == 0)
		return;
	if (shift_step_parse(value, &step)) {
		log_line(LOG_WARN, "record_bad", "topic=moves key=%.*s",
			 (int)key.n, key.p);
		return;
	}
	service = str_dup(key);
	d = decision_get(r, service);
	g_free(service);
	if (!is_newer(r, d, &step))
		return;
	d->step = step;
	d->number = number;
	d->known = true;
	d->rewrite = false;
	d->status_written = false;
	d->report_pending = false;
	apply(r, d);
}

static void ignore(void *ctx)
{
	(void)ctx;
}

static void ignore_reachable(void *ctx, bool yes)
{
	(void)ctx;
	(void)yes;
}

static void ignore_read(void *ctx, uint64_t from, uint64_t to)
{
	(void)ctx;
	(void)from;
	(void)to;
}

static const follow_ops_t follow_ops = { on_record, ignore, ignore,
					 ignore_reachable, ignore_read };

/* Makes the table of rollouts. Nothing is read before the first order. */
rolloutd_t *rolloutd_new(uv_loop_t *loop, store_link_t *store, edge_t *edge,
			 append_t *append, double canary_share,
			 double canary_slack, counters_t *counters)
{
	rolloutd_t *r = g_new0(rolloutd_t, 1);

	r->loop = loop;
	r->conf = (follow_conf_t){ .store = store,
				   .topic = adapter_topic_moves(),
				   .wait = DECISIONS_WAIT_MS,
				   .retry_max = RETRY_MAX_MS };
	r->edge = edge;
	r->append = append;
	r->counters = counters;
	r->analysis = canary_new(&judge_ops, r, canary_share, canary_slack);
	r->decisions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     decision_free);
	return r;
}

/*
 * Whether the operator has written the known order again, as it does after the
 * store came back from a copy. That is no second order.
 */
static bool is_rewritten(const decision_t *d, const shift_order_t *o)
{
	return d->target && strcmp(d->target, o->target) == 0 &&
	       d->duration == o->duration &&
	       era_of(o->number) > era_of(d->order);
}

static void renumber(rolloutd_t *r, decision_t *d, uint64_t number)
{
	edge_shift_renumber(r->edge, d->service, number);
	canary_renumber(r->analysis, d->service, number);
	if (d->known && d->step.order == d->order) {
		d->step.order = number;
		d->rewrite = true;
	}
	d->order = number;
}

/*
 * Drops a status that is not written yet: the operator would take it for that
 * of the order that replaces the known one.
 */
static void cancel_status(rolloutd_t *r, decision_t *d)
{
	char *key = adapter_rollout_status_key(d->service);

	append_cancel(r->append, adapter_topic_status(), key);
	d->status_pending = false;
	g_free(key);
}

static void take_order(rolloutd_t *r, decision_t *d, const shift_order_t *o)
{
	if (d->order != o->number)
		cancel_status(r, d);
	edge_shift_order(r->edge, o);
	canary_order(r->analysis, o, clock_now());
	g_free(d->target);
	d->target = g_strdup(o->target);
	d->duration = o->duration;
	d->order = o->number;
	if (d->known)
		apply(r, d);
}

/* Takes the operator's order. Returns false, and why, when it is not valid. */
bool rolloutd_order(rolloutd_t *r, str_t key, str_t text, uint64_t number,
		    const char **why)
{
	shift_order_t o;
	decision_t *d;
	void *doc;

	if (adapter_parse_rollout(key, text, number, &o, &doc, why))
		return false;
	d = decision_get(r, o.service);
	if (is_rewritten(d, &o))
		renumber(r, d, o.number);
	else
		take_order(r, d, &o);
	if (!r->follow)
		r->follow = follow_new(r->loop, &r->conf, &follow_ops, r,
				       r->counters);
	adapter_rollout_clear(doc);
	return true;
}

/* Takes a host's count of a rollout; hosts send counts to the analyst only. */
void rolloutd_count(rolloutd_t *r, uint64_t host, const char *service,
		    uint64_t order, const char *cell, uint64_t value)
{
	canary_report(r->analysis, host, service, order, cell, value);
}

/* A host is gone: its requests no longer count as running. */
void rolloutd_host_gone(rolloutd_t *r, uint64_t host)
{
	canary_host_gone(r->analysis, host);
}

/* An overtaken status counts as written: a later analyst has written one. */
static void status_answered(decision_t *d)
{
	d->status_pending = false;
	d->status_written = d->status_number == d->number;
}

/* The store has answered a write of a decision or a status. */
void rolloutd_written(rolloutd_t *r, const char *topic, const char *key,
		      append_result_t end)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, r->decisions);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		decision_t *d = v;
		char *status = adapter_rollout_status_key(d->service);

		if (strcmp(topic, adapter_topic_status()) == 0 &&
		    strcmp(key, status) == 0) {
			status_answered(d);
		} else if (strcmp(topic, adapter_topic_moves()) == 0 &&
			   strcmp(key, d->service) == 0 &&
			   end != APPEND_WRITTEN) {
			d->rewrite = d->rewrite || d->rewriting;
			d->rewriting = false;
			d->report_pending = false;
			canary_step_refused(r->analysis, d->service);
		}
		g_free(status);
	}
}

static void put_status(rolloutd_t *r, decision_t *d)
{
	char *producer = g_strconcat("move-", d->service, NULL);
	append_cond_t cond = { .producer = producer, .epoch = d->number + 1 };
	char *key = adapter_rollout_status_key(d->service);
	char *text = adapter_rollout_status(d->target, d->step.state);

	log_line(LOG_INFO, "move_status", "service=%s target=%s state=%s",
		 d->service, d->target, shift_state_name(d->step.state));
	append_put(r->append, adapter_topic_status(), key, text, &cond);
	d->status_pending = true;
	d->status_number = d->number;
	g_free(producer);
	g_free(key);
	g_free(text);
}

/*
 * Writes the newest decision again after the store came back from a copy; its
 * status follows once it is read back.
 */
static void rewrite_decision(rolloutd_t *r, decision_t *d)
{
	shift_step_t step = d->step;

	if (!d->rewrite)
		return;
	step.reported = false;
	d->rewrite = false;
	d->rewriting = true;
	append_step(r, d->service, &step);
}

/*
 * Writes the operator's status for each decision on the newest order. For the
 * last decision of a rollout, records in the store that this is done.
 */
static void report_decision(rolloutd_t *r, decision_t *d)
{
	shift_step_t step = d->step;

	if (!d->known || !d->target || step.order != d->order || step.reported)
		return;
	if (!d->status_written && !d->status_pending)
		put_status(r, d);
	if (!d->status_written || step.state == SHIFT_RUNNING ||
	    d->report_pending)
		return;
	step.reported = true;
	d->report_pending = true;
	append_step(r, d->service, &step);
}

/*
 * Reads decisions. On the analyst, decides, and writes the status of decisions
 * made by any host.
 */
void rolloutd_tick(rolloutd_t *r, bool analyzing, ms_t now)
{
	GHashTableIter it;
	gpointer v;
	uint64_t end;

	if (!r->follow)
		return;
	follow_tick(r->follow, now);
	if (analyzing != r->analyzing)
		log_line(LOG_INFO, "move_judge", "active=%d", analyzing);
	r->analyzing = analyzing;
	if (!analyzing || !follow_next(r->follow, &end))
		return;
	canary_tick(r->analysis, now);
	g_hash_table_iter_init(&it, r->decisions);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		rewrite_decision(r, v);
		report_decision(r, v);
	}
}

/* Sets what a bad version may get, as for canary_new. */
void rolloutd_set_bounds(rolloutd_t *r, double share, double slack)
{
	canary_set_bounds(r->analysis, share, slack);
}

/* Frees the table. */
void rolloutd_free(rolloutd_t *r)
{
	if (r->follow)
		follow_free(r->follow);
	canary_free(r->analysis);
	g_hash_table_destroy(r->decisions);
	g_free(r);
}
