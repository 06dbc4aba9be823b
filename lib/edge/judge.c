/*
 * Judging moves of versions. One host at a time is the judge: it sums what all
 * hosts counted, raises the target's share, and ends the move one way or the
 * other. It answers short moves, of seconds to minutes; lib/move judges the
 * product's own, which take hours. Every decision goes out as a step to be
 * kept in the store, so a judge that dies is replaced without loss.
 */
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include "edge/priv.h"
#include "move/fns.h"

enum {
	LOOK_MS = 250,	  /* between looks: a bad version must be taken back
			     within seconds */
	RECENT_MS = 2000, /* what is compared by itself, so that a version that
			     turns bad late is not hidden by its good past */
	FAILURES_LEAST = 3,
	NEED = 30,	     /* requests of the target before it gets more */
	NEED_TIMES = 8,	     /* times of each side before they are compared */
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
static const double alpha = 1e-5;      /* of a false alarm at one look */
static const double alpha_rest = 0.01; /* without the worst server */
static const double failures_usual = 0.005; /* at least, of any version */
static const double slow_times = 2;	    /* as slow is bad */
static const double sigmas = 4.5;	    /* by which it must be slower */

/* A value that a host told. */
typedef struct told {
	uint64_t host;
	shift_side_t side;
	int metric;   /* -1: requests that run on the old side */
	char *server; /* of the target */
	char *route;
	uint64_t value;
	uint64_t at_mark;     /* at the last mark of all values */
	uint64_t before_mark; /* and at the one before that */
} told_t;

/* What one route says, or one server on it. */
typedef struct sum {
	double v[SHIFT_SIDES][SHIFT_METRICS];
} sum_t;

/* A move that is judged. */
typedef struct trial {
	char *service;
	char *target;
	uint64_t order;
	ms_t duration;
	ms_t seen_at;
	shift_step_t step; /* the newest decision that was kept */
	ms_t step_at;
	bool decided;	  /* there is one */
	bool pending;	  /* the next one is on its way */
	GHashTable *told; /* told_t by host and cell */
	ms_t marked_at;
} trial_t;

struct judge {
	const judge_ops_t *ops;
	void *ctx;
	double canary_share;
	GHashTable *trials; /* trial_t by service */
	ms_t look_at;
};

static void told_free(gpointer v)
{
	told_t *t = v;

	g_free(t->server);
	g_free(t->route);
	g_free(t);
}

static void trial_free(gpointer v)
{
	trial_t *t = v;

	g_hash_table_destroy(t->told);
	g_free(t->service);
	g_free(t->target);
	g_free(t);
}

/* Returns a judge that knows no move; canary_share is the most, 0 to 1. */
judge_t *judge_new(const judge_ops_t *ops, void *ctx, double canary_share)
{
	judge_t *j = g_new0(judge_t, 1);

	j->ops = ops;
	j->ctx = ctx;
	j->canary_share = canary_share;
	j->trials = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  trial_free);
	return j;
}

/* Frees the judge. */
void judge_free(judge_t *j)
{
	g_hash_table_destroy(j->trials);
	g_free(j);
}

/* Takes a new most for a version on trial, for moves that go on too. */
void judge_canary(judge_t *j, double share)
{
	j->canary_share = share;
}

/* Takes an order; a newer one of a service replaces the older. */
void judge_order(judge_t *j, const shift_order_t *o, ms_t now)
{
	trial_t *t = g_hash_table_lookup(j->trials, o->service);

	if (t && t->order >= o->number)
		return;
	t = g_new0(trial_t, 1);
	t->service = g_strdup(o->service);
	t->target = g_strdup(o->target);
	t->order = o->number;
	t->duration = o->duration;
	t->seen_at = now;
	t->marked_at = now;
	t->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					told_free);
	g_hash_table_replace(j->trials, t->service, t);
}

/* Takes a decision that was kept, by this judge or an earlier one. */
void judge_step(judge_t *j, const char *service, const shift_step_t *s,
		ms_t now)
{
	trial_t *t = g_hash_table_lookup(j->trials, service);

	if (!t || t->order != s->order)
		return;
	if (!t->decided || t->step.share != s->share)
		t->step_at = now;
	t->step = *s;
	t->decided = true;
	t->pending = false;
}

/* The last decision could not be kept: another one was kept before it. */
void judge_refused(judge_t *j, const char *service)
{
	trial_t *t = g_hash_table_lookup(j->trials, service);

	if (t)
		t->pending = false;
}

/* Reads a cell's name, as SHIFT_CELL writes it. */
static bool read_cell(told_t *t, const char *cell)
{
	char **part;
	bool ok;

	if (strcmp(cell, SHIFT_CELL_RUNNING) == 0) {
		t->metric = -1;
		return true;
	}
	part = g_strsplit(cell, "/", 4);
	ok = g_strv_length(part) == 4;
	if (ok) {
		t->side = (shift_side_t)g_ascii_strtoull(part[0], NULL, 10);
		t->metric = (int)g_ascii_strtoll(part[1], NULL, 10);
		t->server = g_strdup(part[2]);
		t->route = g_strdup(part[3]);
		ok = t->side < SHIFT_SIDES && t->metric >= 0 &&
		     t->metric < SHIFT_METRICS;
	}
	g_strfreev(part);
	return ok;
}

/* Takes a value that a host told: the sum since its start. */
void judge_told(judge_t *j, uint64_t host, const char *service, uint64_t order,
		const char *cell, uint64_t value)
{
	trial_t *t = g_hash_table_lookup(j->trials, service);
	told_t *v;
	char *key;

	if (!t || t->order != order)
		return;
	key = g_strdup_printf("%" PRIx64 "/%s", host, cell);
	v = g_hash_table_lookup(t->told, key);
	if (v) {
		g_free(key);
		v->value = value;
		return;
	}
	v = g_new0(told_t, 1);
	v->host = host;
	v->value = value;
	if (!read_cell(v, cell)) {
		log_line(LOG_WARN, "move_cell_bad", "cell=%s", cell);
		told_free(v);
		g_free(key);
		return;
	}
	g_hash_table_insert(t->told, key, v);
}

/* A host is gone: nothing of it runs any more. What it counted stays. */
void judge_host_gone(judge_t *j, uint64_t host)
{
	GHashTableIter trials;
	GHashTableIter it;
	gpointer t;
	gpointer v;

	g_hash_table_iter_init(&trials, j->trials);
	while (g_hash_table_iter_next(&trials, NULL, &t)) {
		g_hash_table_iter_init(&it, ((trial_t *)t)->told);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			told_t *told = v;

			if (told->host == host && told->metric < 0)
				told->value = 0;
		}
	}
}

static sum_t *sum_get(GHashTable *sums, const char *name)
{
	sum_t *s = g_hash_table_lookup(sums, name);

	if (!s) {
		s = g_new0(sum_t, 1);
		g_hash_table_insert(sums, g_strdup(name), s);
	}
	return s;
}

/* Sums what was told by route, and of one server of the target if given. */
static GHashTable *sum_up(const trial_t *t, bool recent, const char *server)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const told_t *x = v;

		if (x->metric < 0 || (server && strcmp(x->server, server) != 0))
			continue;
		sum_get(sums, x->route)->v[x->side][x->metric] +=
			(double)(x->value - (recent ? x->before_mark : 0));
	}
	return sums;
}

/* Probability that a good version fails so often, compared with the old. */
static double chance(const sum_t *s, const sum_t *less)
{
	const double *o = s->v[SHIFT_OLD];
	const double *n = s->v[SHIFT_TARGET];
	double usual = (o[SHIFT_FAILURES] + 1) / (o[SHIFT_REQUESTS] + 20);
	double requests = n[SHIFT_REQUESTS];
	double failures = n[SHIFT_FAILURES];

	if (less) {
		requests -= less->v[SHIFT_TARGET][SHIFT_REQUESTS];
		failures -= less->v[SHIFT_TARGET][SHIFT_FAILURES];
	}
	return stat_poisson(requests * MAX(usual, failures_usual), failures,
			    true);
}

static double mean_of(const double *v, int k)
{
	return v[k + 1] / SHIFT_LOG_UNIT / v[k];
}

static double variance_of(const double *v, int k)
{
	double m = mean_of(v, k);

	return MAX(v[k + 2] / SHIFT_LOG_UNIT / v[k] - m * m, 0.05);
}

/* How many standard errors the target is beyond slow_times of the old. */
static double slower(const sum_t *s, const sum_t *less, int k)
{
	double n[SHIFT_METRICS];
	const double *o = s->v[SHIFT_OLD];

	memcpy(n, s->v[SHIFT_TARGET], sizeof(n));
	for (int i = 0; less && i < SHIFT_METRICS; i++)
		n[i] -= less->v[SHIFT_TARGET][i];
	if (n[k] < NEED_TIMES || o[k] < NEED_TIMES)
		return 0;
	return (mean_of(n, k) - mean_of(o, k) - log2(slow_times)) /
	       sqrt(variance_of(n, k) / n[k] + variance_of(o, k) / o[k]);
}

/* The target's servers that were told of. */
static GHashTable *servers_of(const trial_t *t)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const told_t *x = v;

		if (x->metric == SHIFT_REQUESTS && x->side == SHIFT_TARGET)
			g_hash_table_add(set, x->server);
	}
	return set;
}

/* What one look finds against the target. */
typedef struct finding {
	const char *why; /* NULL: nothing */
	char route[64];
	double n;
	double failures;
} finding_t;

static const char *blame(const sum_t *s, const sum_t *less)
{
	double failures = s->v[SHIFT_TARGET][SHIFT_FAILURES];
	double z = less ? 0 : sigmas;

	if (less)
		failures -= less->v[SHIFT_TARGET][SHIFT_FAILURES];
	if (failures >= (less ? 1 : FAILURES_LEAST) &&
	    chance(s, less) < (less ? alpha_rest : alpha))
		return "failures";
	if (slower(s, less, SHIFT_FIRST_N) > z)
		return "first_event";
	if (slower(s, less, SHIFT_GAP_N) > z)
		return "gaps";
	return NULL;
}

/* One server alone does not condemn a version that others run as well. */
static bool stands_without(const trial_t *t, bool recent, const char *route,
			   const sum_t *s)
{
	GHashTable *servers = servers_of(t);
	bool stands = true;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, servers);
	while (stands && g_hash_table_size(servers) > 1 &&
	       g_hash_table_iter_next(&it, &name, NULL)) {
		GHashTable *one = sum_up(t, recent, name);
		const sum_t *less = g_hash_table_lookup(one, route);

		stands = !less || blame(s, less) != NULL;
		g_hash_table_destroy(one);
	}
	g_hash_table_destroy(servers);
	return stands;
}

static void look_at_sums(const trial_t *t, bool recent, finding_t *f)
{
	GHashTable *sums = sum_up(t, recent, NULL);
	GHashTableIter it;
	gpointer route;
	gpointer v;

	g_hash_table_iter_init(&it, sums);
	while (!f->why && g_hash_table_iter_next(&it, &route, &v)) {
		const sum_t *s = v;
		const char *why = blame(s, NULL);

		if (!why || !stands_without(t, recent, route, s))
			continue;
		f->why = why;
		g_strlcpy(f->route, route, sizeof(f->route));
		f->n = s->v[SHIFT_TARGET][SHIFT_REQUESTS];
		f->failures = s->v[SHIFT_TARGET][SHIFT_FAILURES];
	}
	g_hash_table_destroy(sums);
}

/* Remembers the sums, so that what came after can be seen by itself. */
static void mark(trial_t *t, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now - t->marked_at < RECENT_MS)
		return;
	t->marked_at = now;
	g_hash_table_iter_init(&it, t->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		told_t *x = v;

		x->before_mark = x->at_mark;
		x->at_mark = x->value;
	}
}

static double total(const trial_t *t, shift_side_t side, int metric)
{
	GHashTableIter it;
	gpointer v;
	double sum = 0;

	g_hash_table_iter_init(&it, t->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const told_t *x = v;

		if (x->metric == metric && (metric < 0 || x->side == side))
			sum += (double)x->value;
	}
	return sum;
}

static ms_t age_of(const trial_t *t, ms_t now)
{
	ms_t age = now - t->seen_at;

	return t->decided ? MAX(age, t->step.age + now - t->step_at) : age;
}

/* Has a decision kept; it counts once judge_step brings it back. */
static void decide(judge_t *j, trial_t *t, shift_state_t state,
		   unsigned int share, const finding_t *f, ms_t now)
{
	shift_step_t step = { .order = t->order,
			      .state = state,
			      .share = share,
			      .age = age_of(t, now) };

	t->pending = true;
	log_line(LOG_INFO, "move_decided",
		 "service=%s target=%s order=%" PRIu64
		 " state=%s share=%u why=%s route=%s age_ms=%lld "
		 "target_requests=%.0f target_failures=%.0f old_requests=%.0f "
		 "old_failures=%.0f",
		 t->service, t->target, t->order, shift_state_name(state),
		 share, f->why ? f->why : "fine", f->why ? f->route : "-",
		 (long long)step.age, total(t, SHIFT_TARGET, SHIFT_REQUESTS),
		 total(t, SHIFT_TARGET, SHIFT_FAILURES),
		 total(t, SHIFT_OLD, SHIFT_REQUESTS),
		 total(t, SHIFT_OLD, SHIFT_FAILURES));
	j->ops->decided(j->ctx, t->service, &step);
}

/* The share that the age allows, once enough of the target was seen. */
static unsigned int share_by(const judge_t *j, const trial_t *t, ms_t now)
{
	double part = (double)age_of(t, now) / (double)MAX(t->duration, 1);
	unsigned int share =
		(unsigned int)(j->canary_share * canary_use * FULL);

	if (total(t, SHIFT_TARGET, SHIFT_REQUESTS) < NEED)
		return share;
	for (size_t i = 0; i < G_N_ELEMENTS(stages); i++) {
		if (part >= stages[i].from)
			share = stages[i].share;
	}
	return share;
}

/* Whether all traffic was at the target for long enough to end the move. */
static bool may_end(const trial_t *t, ms_t now)
{
	double part = (double)age_of(t, now) / (double)MAX(t->duration, 1);

	if (!t->decided || t->step.share < FULL ||
	    now - t->step_at < FULL_LEAST_MS)
		return false;
	return total(t, SHIFT_OLD, -1) == 0 || part >= end_latest;
}

static void look(judge_t *j, trial_t *t, ms_t now)
{
	finding_t f = { 0 };
	unsigned int share = share_by(j, t, now);

	if (t->pending || (t->decided && t->step.state != SHIFT_RUNNING))
		return;
	look_at_sums(t, false, &f);
	if (!f.why)
		look_at_sums(t, true, &f);
	mark(t, now);
	if (f.why)
		decide(j, t, SHIFT_REVERSED, 0, &f, now);
	else if (may_end(t, now))
		decide(j, t, SHIFT_DONE, FULL, &f, now);
	else if (!t->decided || share > t->step.share)
		decide(j, t, SHIFT_RUNNING, share, &f, now);
}

/* Looks at the evidence of all moves, when it is time to. */
void judge_tick(judge_t *j, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now < j->look_at)
		return;
	j->look_at = now + LOOK_MS;
	g_hash_table_iter_init(&it, j->trials);
	while (g_hash_table_iter_next(&it, NULL, &v))
		look(j, v, now);
}
