/*
 * Judging moves of versions. One host at a time is the judge: it sums what all
 * hosts counted, raises the target's share, and ends the move one way or the
 * other. It answers short moves, of seconds to minutes; lib/move judges the
 * product's own, which take hours. Every decision goes out as a step to be
 * kept in the store, so a judge that dies is replaced without loss.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/priv.h"

enum {
	LOOK_MS = 250,	     /* between looks: a bad version must be taken back
				within seconds */
	NEED = 30,	     /* requests of the target before it gets more */
	FULL_LEAST_MS = 500, /* at all of the traffic before the end */
	FULL = 1000,	     /* thousandths */
};

/*
 * The target's share by the age of the move. It stays a canary for most of
 * the time, as versions may turn bad late; the rest lets running requests of
 * the old version end, since its servers stop at once when the move is done.
 */
typedef struct stage {
	double from; /* of the duration */
	unsigned int share;
} stage_t;

static const stage_t stages[] = {
	{ 0.60, 250 },
	{ 0.66, 500 },
	{ 0.72, FULL },
};

static const double canary_use = 0.8;  /* of the share allowed */
static const double end_latest = 0.95; /* of the duration: what still runs on
					  the old version then is cut */

/* A move that is judged. */
typedef struct canary_rollout {
	char *service;
	char *target;
	uint64_t order;
	ms_t duration;
	ms_t seen_at;
	shift_step_t step; /* the newest decision that was kept */
	ms_t step_at;
	bool decided;	      /* there is one */
	bool pending;	      /* the next one is on its way */
	canary_stats_t *sums; /* what hosts told */
} canary_rollout_t;

struct canary {
	const canary_ops_t *ops;
	void *ctx;
	double canary_share;
	GHashTable *rollouts; /* canary_rollout_t by service */
	ms_t look_at;
};

static void rollout_free(gpointer v)
{
	canary_rollout_t *t = v;

	canary_stats_free(t->sums);
	g_free(t->service);
	g_free(t->target);
	g_free(t);
}

/* Returns a judge that knows no move; canary_share is the most, 0 to 1. */
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

/* Frees the judge. */
void canary_free(canary_t *c)
{
	g_hash_table_destroy(c->rollouts);
	g_free(c);
}

/* Takes a new most for a version on trial, for moves that go on too. */
void canary_set_share(canary_t *c, double share)
{
	c->canary_share = share;
}

/* Takes an order; a newer one of a service replaces the older. */
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
	t->seen_at = now;
	t->sums = canary_stats_new(now);
	g_hash_table_replace(c->rollouts, t->service, t);
}

/* Takes a decision that was kept, by this judge or an earlier one. */
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

/* The last decision could not be kept: another one was kept before it. */
void canary_step_refused(canary_t *c, const char *service)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (t)
		t->pending = false;
}

/* Takes a value that a host told: a count since its start. */
void canary_report(canary_t *c, uint64_t host, const char *service,
		   uint64_t order, const char *cell, uint64_t value)
{
	canary_rollout_t *t = g_hash_table_lookup(c->rollouts, service);

	if (t && t->order == order &&
	    !canary_stats_report(t->sums, host, cell, value))
		log_line(LOG_WARN, "move_cell_bad", "service=%s cell=%s",
			 service, cell);
}

/* A host is gone. */
void canary_host_gone(canary_t *c, uint64_t host)
{
	GHashTableIter it;
	gpointer t;

	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &t))
		canary_stats_host_gone(((canary_rollout_t *)t)->sums, host);
}

static ms_t age_of(const canary_rollout_t *t, ms_t now)
{
	ms_t age = now - t->seen_at;

	return t->decided ? MAX(age, t->step.age + now - t->step_at) : age;
}

/* Has a decision kept; it counts once canary_step brings it back. */
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
		 canary_stats_total(t->sums, SHIFT_TARGET, M_REQUESTS),
		 canary_stats_total(t->sums, SHIFT_TARGET, M_FAILURES),
		 canary_stats_total(t->sums, SHIFT_OLD, M_REQUESTS),
		 canary_stats_total(t->sums, SHIFT_OLD, M_FAILURES));
	c->ops->decided(c->ctx, t->service, &step);
}

/* The share that the age allows, once enough of the target was seen. */
static unsigned int share_by(const canary_t *c, const canary_rollout_t *t,
			     ms_t now)
{
	double part = (double)age_of(t, now) / (double)MAX(t->duration, 1);
	unsigned int share =
		(unsigned int)(c->canary_share * canary_use * FULL);

	if (canary_stats_total(t->sums, SHIFT_TARGET, M_REQUESTS) < NEED)
		return share;
	for (size_t i = 0; i < G_N_ELEMENTS(stages); i++) {
		if (part >= stages[i].from)
			share = stages[i].share;
	}
	return share;
}

/* Whether all traffic was at the target for long enough to end the move. */
static bool may_end(const canary_rollout_t *t, ms_t now)
{
	double part = (double)age_of(t, now) / (double)MAX(t->duration, 1);

	if (!t->decided || t->step.share < FULL ||
	    now - t->step_at < FULL_LEAST_MS)
		return false;
	return canary_stats_running(t->sums) == 0 || part >= end_latest;
}

static void look(canary_t *c, canary_rollout_t *t, ms_t now)
{
	unsigned int share = share_by(c, t, now);
	canary_finding_t f;

	if (t->pending || (t->decided && t->step.state != SHIFT_RUNNING))
		return;
	f = canary_stats_compare(t->sums, now);
	if (f.why)
		decide(c, t, SHIFT_ROLLED_BACK, 0, &f, now);
	else if (may_end(t, now))
		decide(c, t, SHIFT_DONE, FULL, &f, now);
	else if (!t->decided || share > t->step.share)
		decide(c, t, SHIFT_RUNNING, share, &f, now);
}

/* Looks at the evidence of all moves, when it is time to. */
void canary_tick(canary_t *c, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now < c->look_at)
		return;
	c->look_at = now + LOOK_MS;
	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		look(c, v, now);
}
