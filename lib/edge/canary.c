/*
 * Canary analysis. One host at a time runs it: it sums what all hosts counted,
 * raises the target's share of the traffic, and completes the rollout or rolls
 * it back. It is for short rollouts, of seconds to minutes; lib/move has those
 * that take hours. Every decision is written to the store as a step, so another
 * host can take over without loss.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/priv.h"

enum {
	ANALYSIS_MS = 250, /* between analyses: a bad version must be rolled
			      back within seconds */
	/* Requests at the target before its share is raised */
	MIN_REQUESTS = 30,
	/* Time with all traffic before the rollout is done. */
	FULL_MIN_MS = 500,
	FULL = 1000, /* all traffic, in thousandths */
};

/*
 * The target's share by the age of the rollout. It stays a canary for most of
 * the time, as a version may turn bad late; the rest lets running requests of
 * the old version end, since its servers stop as soon as the rollout is done.
 */
typedef struct stage {
	double from; /* as a part of the rollout's duration */
	unsigned int share;
} stage_t;

static const stage_t stages[] = {
	{ 0.60, 250 },
	{ 0.66, 500 },
	{ 0.72, FULL },
};

/* Part of the permitted canary share that is used */
static const double canary_use = 0.8;
static const double cut_off = 0.95; /* of the duration: requests that still run
				       on the old version then are cut */

/* A rollout under analysis. */
typedef struct canary_rollout {
	char *service;
	char *target;
	uint64_t order;
	ms_t duration;
	ms_t ordered_at;
	shift_step_t step; /* the newest decision in the store */
	ms_t step_at;
	bool decided;	       /* step is set */
	bool pending;	       /* a decision is being written to the store */
	canary_stats_t *stats; /* what the hosts reported */
} canary_rollout_t;

struct canary {
	const canary_ops_t *ops;
	void *ctx;
	double canary_share;
	GHashTable *rollouts; /* canary_rollout_t by service */
	ms_t next_at;
};

static void rollout_free(gpointer v)
{
	canary_rollout_t *t = v;

	canary_stats_free(t->stats);
	g_free(t->service);
	g_free(t->target);
	g_free(t);
}

/*
 * Returns an analysis without rollouts; canary_share is the largest share of a
 * canary, 0 to 1.
 */
canary_t *canary_new(const canary_ops_t *ops, void *ctx, double canary_share)
{
	canary_t *c = g_new0(canary_t, 1);

	c->ops = ops;
	c->ctx = ctx;
	c->canary_share = canary_share;
	c->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rollout_free);
	return c;
}

/* Frees the analysis. */
void canary_free(canary_t *c)
{
	g_hash_table_destroy(c->rollouts);
	g_free(c);
}

/* Sets the largest share of a canary, also for rollouts in progress. */
void canary_set_share(canary_t *c, double share)
{
	c->canary_share = share;
}

/* Takes an order; it replaces an older one of the same service. */
void canary_order(canary_t *c, const shift_order_t *o, ms_t now)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, o->service);

	if (t && t->order >= o->number)
		return;
	t = g_new0(canary_rollout_t, 1);
	t->service = g_strdup(o->service);
	t->target = g_strdup(o->target);
	t->order = o->number;
	t->duration = o->duration;
	t->ordered_at = now;
	t->stats = canary_stats_new(now);
	g_hash_table_replace(c->rollouts, t->service, t);
}

/* A known order was written again, and has this number from now on. */
void canary_renumber(canary_t *c, const char *service, uint64_t number)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (!t)
		return;
	t->order = number;
	t->step.order = number;
	t->pending = false;
}

/* Takes a decision from the store, written by this host or another. */
void canary_step(canary_t *c, const char *service, const shift_step_t *s,
		 ms_t now)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (!t || t->order != s->order)
		return;
	if (!t->decided || t->step.share != s->share)
		t->step_at = now;
	t->step = *s;
	t->decided = true;
	t->pending = false;
}

/* The last decision was not stored: another host's came first. */
void canary_step_refused(canary_t *c, const char *service)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (t)
		t->pending = false;
}

/* Takes a value that a host reported: a count since its start. */
void canary_report(canary_t *c, uint64_t host, const char *service,
		   uint64_t order, const char *cell, uint64_t value)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (t && t->order == order &&
	    !canary_stats_report(t->stats, host, cell, value))
		log_line(LOG_WARN, "move_cell_bad", "service=%s cell=%s",
			 service, cell);
}

/* A host is gone: its requests no longer run. */
void canary_host_gone(canary_t *c, uint64_t host)
{
	GHashTableIter it;
	gpointer t;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &t))
		canary_stats_host_gone(((canary_rollout_t *)t)->stats, host);
}

static ms_t age_of(const canary_rollout_t *t, ms_t now)
{
	ms_t age = now - t->ordered_at;

	return t->decided ? MAX(age, t->step.age + now - t->step_at) : age;
}

/*
 * Writes a decision to the store; it takes effect when canary_step returns it.
 */
static void decide(canary_t *c, canary_rollout_t *t, shift_state_t state,
		   unsigned int share, const canary_finding_t *f, ms_t now)
{
	shift_step_t step = { .order = t->order,
			      .state = state,
			      .share = share,
			      .age = age_of(t, now) };

	t->pending = true;
	log_line(LOG_INFO, "move_decided",
		 "service=%s target=%s order=%" PRIu64
		 " state=%s share=%u why=%s route=%s age_ms=%lld "
		 "target_requests=%" PRIu64 " target_failures=%" PRIu64
		 " old_requests=%" PRIu64 " old_failures=%" PRIu64,
		 t->service, t->target, t->order, shift_state_name(state),
		 share, f->why ? f->why : "fine", f->why ? f->route : "-",
		 (long long)step.age,
		 canary_stats_total(t->stats, SHIFT_TARGET, M_REQUESTS),
		 canary_stats_total(t->stats, SHIFT_TARGET, M_FAILURES),
		 canary_stats_total(t->stats, SHIFT_OLD, M_REQUESTS),
		 canary_stats_total(t->stats, SHIFT_OLD, M_FAILURES));
	c->ops->decided(c->ctx, t->service, &step);
}

/*
 * Returns the target's share by the rollout's age; it is raised only after
 * enough requests at the target.
 */
static unsigned int share_by_age(const canary_t *c, const canary_rollout_t *t,
				 ms_t now)
{
	double progress = (double)age_of(t, now) / (double)MAX(t->duration, 1);
	unsigned int share =
		(unsigned int)(c->canary_share * canary_use * FULL);

	if (canary_stats_total(t->stats, SHIFT_TARGET, M_REQUESTS) <
	    MIN_REQUESTS)
		return share;
	for (size_t i = 0; i < G_N_ELEMENTS(stages); i++) {
		if (progress >= stages[i].from)
			share = stages[i].share;
	}
	return share;
}

/* Whether the target has had all traffic for long enough to end the rollout. */
static bool may_end(const canary_rollout_t *t, ms_t now)
{
	double progress = (double)age_of(t, now) / (double)MAX(t->duration, 1);

	if (!t->decided || t->step.share < FULL ||
	    now - t->step_at < FULL_MIN_MS)
		return false;
	return canary_stats_running(t->stats) == 0 || progress >= cut_off;
}

static void analyse(canary_t *c, canary_rollout_t *t, ms_t now)
{
	unsigned int share = share_by_age(c, t, now);
	canary_finding_t f;

	if (t->pending || (t->decided && t->step.state != SHIFT_RUNNING))
		return;
	f = canary_stats_compare(t->stats, now);
	if (f.why)
		decide(c, t, SHIFT_ROLLED_BACK, 0, &f, now);
	else if (may_end(t, now))
		decide(c, t, SHIFT_DONE, FULL, &f, now);
	else if (!t->decided || share > t->step.share)
		decide(c, t, SHIFT_RUNNING, share, &f, now);
}

/* Analyses all rollouts every ANALYSIS_MS. */
void canary_tick(canary_t *c, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now < c->next_at)
		return;
	c->next_at = now + ANALYSIS_MS;
	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		analyse(c, v, now);
}
