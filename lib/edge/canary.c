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
	ANALYSIS_MS = 250,  /* between analyses: a bad version must be rolled
			       back within seconds */
	STAGE_MIN_MS = 500, /* with a share before it is raised */
	FULL_MIN_MS = 500,  /* with all traffic before the rollout is done */
	KNOWN_MS = 1000, /* after which the hosts have reported their counts to
			    a host that takes over, and the traffic is known */
	FULL = 1000,	 /* all traffic, in thousandths */
	HALF = 500,
	CANARY_MAX = 400, /* the old version has the more certain figures */
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
	{ 0.66, HALF },
	{ 0.72, FULL },
};

/* Part of the permitted canary share and slack that is used */
static const double canary_use = 0.8;
/* The share changes for a difference of this factor. */
static const double share_step = 1.25;
/* Part of the duration from which a rollout may be done: a version may turn bad
   late */
static const double done_from = 0.85;
/* Part of it with all traffic after which a rollout is done on weaker evidence,
   and though requests still run on the old version, which are cut then */
static const double full_part = 0.23;
/* Natural logarithms of odds, as in a finding */
static const double sure_odds = -2.3;	/* 10 to 1 for the target */
static const double weak_odds = -1.1;	/* 3 to 1 for it */
static const double against_odds = 1.6; /* 5 to 1 against it */
static const double lately_odds = 2.3;	/* 10 to 1 against it, recently */

/* A rollout under analysis. */
typedef struct canary_rollout {
	char *service;
	char *target;
	uint64_t order;
	uint64_t newest_order; /* that a decision in the store is on */
	ms_t duration;
	ms_t ordered_at;
	shift_step_t step; /* the newest decision in the store */
	ms_t step_at;
	bool decided;	       /* step is set */
	bool pending;	       /* a decision is being written to the store */
	bool held;	       /* its share would be larger by its age */
	canary_stats_t *stats; /* what the hosts reported */
} canary_rollout_t;

struct canary {
	const canary_ops_t *ops;
	void *ctx;
	double canary_share;
	double canary_slack;
	GHashTable *rollouts; /* canary_rollout_t by service */
	ms_t next_at;
	ms_t ticked_at; /* the last call of canary_tick */
	ms_t since;	/* when this host took over the analysis */
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
 * Returns an analysis without rollouts. A bad version may get canary_share of
 * the requests until its rollout's time is over, 0 to 1, and canary_slack more.
 */
canary_t *canary_new(const canary_ops_t *ops, void *ctx, double canary_share,
		     double canary_slack)
{
	canary_t *c = g_new0(canary_t, 1);

	c->ops = ops;
	c->ctx = ctx;
	c->canary_share = canary_share;
	c->canary_slack = canary_slack;
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

/* Sets what a bad version may get, also for rollouts in progress. */
void canary_set_bounds(canary_t *c, double share, double slack)
{
	c->canary_share = share;
	c->canary_slack = slack;
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
	t->stats = canary_stats_new(t->duration, now);
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

	if (!t)
		return;
	t->newest_order = MAX(t->newest_order, s->order);
	if (t->order != s->order)
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
		 "odds=%.1f gross=%.1f gross_of_all=%.1f "
		 "target_requests=%" PRIu64 " target_failures=%" PRIu64
		 " old_requests=%" PRIu64 " old_failures=%" PRIu64,
		 t->service, t->target, t->order, shift_state_name(state),
		 share, f->why ? f->why : "fine", f->route, (long long)step.age,
		 f->odds, f->gross, f->gross_of_all,
		 canary_stats_total(t->stats, SHIFT_TARGET, M_REQUESTS),
		 canary_stats_total(t->stats, SHIFT_TARGET, M_FAILURES),
		 canary_stats_total(t->stats, SHIFT_OLD, M_REQUESTS),
		 canary_stats_total(t->stats, SHIFT_OLD, M_FAILURES));
	c->ops->decided(c->ctx, t->service, &step);
}

/* Returns the rollout's age as a part of its duration. */
static double progress_of(const canary_rollout_t *t, ms_t now)
{
	return (double)age_of(t, now) / (double)MAX(t->duration, 1);
}

/* Returns the requests that reached the service, of both versions. */
static double requests_of(const canary_rollout_t *t)
{
	return (double)(canary_stats_total(t->stats, SHIFT_OLD, M_REQUESTS) +
			canary_stats_total(t->stats, SHIFT_TARGET, M_REQUESTS));
}

/*
 * Returns the share of a canary. The slack is spent evenly until the share may
 * be raised, so that a service with little traffic has evidence by then. Once
 * the time is over only evidence is missing, and a larger share brings it.
 */
static unsigned int canary_share_of(const canary_t *c,
				    const canary_rollout_t *t, ms_t now)
{
	unsigned int share =
		(unsigned int)(c->canary_share * canary_use * FULL);
	double requests = requests_of(t);
	double spent =
		(double)canary_stats_total(t->stats, SHIFT_TARGET, M_REQUESTS);
	double due = stages[0].from * (double)t->duration;
	ms_t age = age_of(t, now);

	if (age >= t->duration)
		return HALF;
	if (age < KNOWN_MS || (double)age >= due || requests < 1 ||
	    spent >=
		    canary_use * (c->canary_share * requests + c->canary_slack))
		return share;
	share += (unsigned int)(canary_use * FULL * c->canary_slack *
				(double)age / (requests * due));
	return MIN(share, CANARY_MAX);
}

/* Returns a share, or the present one if they hardly differ. */
static unsigned int steady(const canary_rollout_t *t, unsigned int share)
{
	double ratio = (double)share / (double)MAX(t->step.share, 1);

	return ratio < share_step && ratio > 1 / share_step ? t->step.share
							    : share;
}

/* Returns the stage after the present share that the age permits, or NULL. */
static const stage_t *next_stage(const canary_rollout_t *t, ms_t now)
{
	for (size_t i = 0; i < G_N_ELEMENTS(stages); i++) {
		if (stages[i].share > t->step.share)
			return progress_of(t, now) >= stages[i].from
				       ? &stages[i]
				       : NULL;
	}
	return NULL;
}

/* Whether the evidence is for the target, and none of it against it. */
static bool is_favoured(const canary_finding_t *f)
{
	return !f->slow && f->odds <= against_odds && f->gross <= 0 &&
	       f->gross_lately <= lately_odds && f->gross_of_all <= sure_odds;
}

/* Logs when the share begins to wait for evidence, and when it goes on. */
static void note_held(canary_rollout_t *t, bool held, const canary_finding_t *f,
		      ms_t now)
{
	if (held == t->held)
		return;
	t->held = held;
	log_line(LOG_INFO, held ? "move_held" : "move_goes_on",
		 "service=%s target=%s order=%" PRIu64
		 " share=%u route=%s odds=%.1f gross=%.1f gross_of_all=%.1f "
		 "gross_lately=%.1f slow=%d age_ms=%lld",
		 t->service, t->target, t->order, t->step.share, f->route,
		 f->odds, f->gross, f->gross_of_all, f->gross_lately, f->slow,
		 (long long)age_of(t, now));
}

/* Whether this host has taken over, and has only some of the counts yet. */
static bool has_taken_over(const canary_t *c, const canary_rollout_t *t,
			   ms_t now)
{
	return t->decided && now - c->since < KNOWN_MS;
}

/*
 * Returns the target's share. It follows the rollout's age as long as the
 * evidence is for the target on each route, and is that of a canary again if it
 * turns against it.
 */
static unsigned int share_of(const canary_t *c, canary_rollout_t *t,
			     const canary_finding_t *f, ms_t now)
{
	unsigned int canary = canary_share_of(c, t, now);
	const stage_t *next;
	bool against;

	if (!t->decided)
		return canary;
	if (has_taken_over(c, t, now))
		return t->step.share;
	next = next_stage(t, now);
	against = f->slow || f->gross_lately > lately_odds ||
		  f->odds > against_odds ||
		  f->gross > (t->step.share < HALF ? 0 : against_odds);
	note_held(t, next && !is_favoured(f), f, now);
	if (against || progress_of(t, now) < stages[0].from)
		return steady(t, canary);
	if (next && is_favoured(f) && now - t->step_at >= STAGE_MIN_MS)
		return next->share;
	return t->step.share;
}

/*
 * Whether the rollout may end: the target has had all traffic for a while, the
 * old version's requests had their time, and the evidence is for the target. It
 * has to be strong on every route, or all traffic is there for long.
 */
static bool may_end(const canary_t *c, const canary_rollout_t *t,
		    const canary_finding_t *f, ms_t now)
{
	ms_t full = age_of(t, now) - t->step.age;
	bool long_full = (double)full >= full_part * (double)t->duration;

	if (!t->decided || t->step.share < FULL || full < FULL_MIN_MS ||
	    progress_of(t, now) < done_from || has_taken_over(c, t, now))
		return false;
	if (canary_stats_running(t->stats) > 0 && !long_full)
		return false;
	return is_favoured(f) && f->gross_lately <= 0 &&
	       f->gross <= (long_full ? weak_odds : sure_odds);
}

static void analyse(canary_t *c, canary_rollout_t *t, ms_t now)
{
	unsigned int share;
	canary_finding_t f;

	if (t->pending || t->newest_order > t->order ||
	    (t->decided && t->step.state != SHIFT_RUNNING))
		return;
	f = canary_stats_compare(t->stats, now);
	if (f.why) {
		decide(c, t, SHIFT_ROLLED_BACK, 0, &f, now);
		return;
	}
	share = share_of(c, t, &f, now);
	if (may_end(c, t, &f, now))
		decide(c, t, SHIFT_DONE, FULL, &f, now);
	else if (!t->decided || share != t->step.share)
		decide(c, t, SHIFT_RUNNING, share, &f, now);
}

/*
 * Analyses all rollouts every ANALYSIS_MS. It is called only while this host
 * has to.
 */
void canary_tick(canary_t *c, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now - c->ticked_at > KNOWN_MS)
		c->since = now;
	c->ticked_at = now;
	if (now < c->next_at)
		return;
	c->next_at = now + ANALYSIS_MS;
	g_hash_table_iter_init(&it, c->rollouts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		analyse(c, v, now);
}
