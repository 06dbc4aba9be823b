/* Gates: whether a new version is bad, suspect, or may go on. */
#include "move/priv.h"

enum {
	FAILURES_LEAST = 3,
	SLOTS_LEAST = 3,  /* spans of time with failures */
	TIMES_LEAST = 20, /* of each version */
	NEED = 30,	  /* requests of the new version on a route */
	ROUTE_LEAST = 50, /* requests that make a route one with traffic */
	ROUTE_PART = 50,  /* a route with less than 1/50 may wait for the end */
	SPAN_LEAST = 10000, /* ms of a stage */
};

static const ms_t spans[STAGE_DONE] = { 30000, 60000, 120000, 600000 };

/* Probabilities of a false alarm at one look. */
static const double alpha_bad = 1e-6;
static const double alpha_suspect = 1e-3;
static const double alpha_rest = 0.05; /* without the worst server */

/* Slowness, in doublings, and multiples of its standard error. */
static const double slow_least = 0.26; /* 1.2 times */
static const double sigmas_bad = 6;
static const double sigmas_suspect = 3.5;
static const double sigmas_rest = 2;

/* The figures of one span of time. */
typedef struct span_seen {
	cell_t c[MOVE_SIDES][SERVERS];
	uint64_t slots; /* with failures of the new version */
} span_seen_t;

static void span_fill(span_seen_t *x, const tally_t *now, const tally_t *since)
{
	for (int side = 0; side < MOVE_SIDES; side++) {
		for (int i = 0; i < SERVERS; i++) {
			for (int k = 0; k < METRICS; k++)
				x->c[side][i].v[k] =
					now[side].servers[i].v[k] -
					(since ? since[side].servers[i].v[k]
					       : 0);
		}
	}
	x->slots = now[MOVE_NEW].failed_slots -
		   (since ? since[MOVE_NEW].failed_slots : 0);
}

static uint64_t sum(const cell_t *c, metric_t k, int skip)
{
	uint64_t n = 0;

	for (int i = 0; i < SERVERS; i++) {
		if (i != skip)
			n += c[i].v[k];
	}
	return n;
}

/* The server with the largest counter; -1 when no other has the metric of. */
static int worst(const cell_t *c, metric_t by, metric_t of)
{
	int max = 0;
	int rows = 0;

	for (int i = 0; i < SERVERS; i++) {
		if (c[i].v[of])
			rows++;
		if (c[i].v[by] > c[max].v[by])
			max = i;
	}
	return rows > 1 ? max : -1;
}

static double failures(const span_seen_t *x, int skip)
{
	return stat_failures(sum(x->c[MOVE_NEW], M_FAILURES, skip),
			     sum(x->c[MOVE_NEW], M_REQUESTS, skip),
			     sum(x->c[MOVE_OLD], M_FAILURES, skip),
			     sum(x->c[MOVE_OLD], M_REQUESTS, skip));
}

/* One server alone does not condemn a version that others run as well. */
static verdict_t judge_failures(const span_seen_t *x)
{
	int skip = worst(x->c[MOVE_NEW], M_FAILURES, M_REQUESTS);
	double p;

	if (sum(x->c[MOVE_NEW], M_FAILURES, -1) < FAILURES_LEAST)
		return VERDICT_FINE;
	p = failures(x, -1);
	if (p >= alpha_suspect)
		return VERDICT_FINE;
	if (p >= alpha_bad || x->slots < SLOTS_LEAST)
		return VERDICT_SUSPECT;
	if (skip >= 0 && failures(x, skip) >= alpha_rest)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

static double sigmas(const span_seen_t *x, metric_t k, int skip)
{
	double slower = 0;
	double error =
		stat_slower(x->c[MOVE_NEW], x->c[MOVE_OLD], k, skip, &slower);

	return error <= 0 ? 0 : (slower - slow_least) / error;
}

static verdict_t judge_slow(const span_seen_t *x, metric_t k)
{
	int skip = worst(x->c[MOVE_NEW], k + 1, k);
	double z;

	if (sum(x->c[MOVE_NEW], k, -1) < TIMES_LEAST ||
	    sum(x->c[MOVE_OLD], k, -1) < TIMES_LEAST)
		return VERDICT_FINE;
	z = sigmas(x, k, -1);
	if (z < sigmas_suspect)
		return VERDICT_FINE;
	if (z < sigmas_bad)
		return VERDICT_SUSPECT;
	if (skip >= 0 && sigmas(x, k, skip) < sigmas_rest)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

static verdict_t judge_span(const span_seen_t *x, const char **why)
{
	static const char *const names[] = { "failures", "first", "gap" };
	verdict_t all = VERDICT_FINE;

	for (int i = 0; i < 3; i++) {
		verdict_t one = i == 0	 ? judge_failures(x)
				: i == 1 ? judge_slow(x, M_FIRST_N)
					 : judge_slow(x, M_GAP_N);

		if (one > all) {
			all = one;
			*why = names[i];
		}
	}
	return all;
}

/* The new version now against the old one before: a reason to look closer. */
static verdict_t judge_past(const route_seen_t *r, const span_seen_t *recent)
{
	uint64_t f = sum(recent->c[MOVE_NEW], M_FAILURES, -1);
	double p;

	if (f < FAILURES_LEAST)
		return VERDICT_FINE;
	p = stat_failures(f, sum(recent->c[MOVE_NEW], M_REQUESTS, -1),
			  tally_sum(&r->total[MOVE_OLD], NULL, M_FAILURES),
			  tally_sum(&r->total[MOVE_OLD], NULL, M_REQUESTS));
	return p < alpha_suspect ? VERDICT_SUSPECT : VERDICT_FINE;
}

/* Snapshot taken that many times ago; NULL if there is none. */
static const tally_t *past(const move_t *v, const route_seen_t *r, size_t back)
{
	if (v->snapshots < back || back > SNAPSHOTS)
		return NULL;
	return r->past[(v->snapshots - back) % SNAPSHOTS];
}

static verdict_t judge_route(const move_t *v, const route_seen_t *r,
			     const char **why)
{
	const tally_t *since[] = { past(v, r, 3), past(v, r, SNAPSHOTS),
				   r->stage, NULL };
	verdict_t all = VERDICT_FINE;
	span_seen_t x;

	for (size_t i = 0; i < G_N_ELEMENTS(since); i++) {
		const char *reason = "";
		verdict_t one;

		span_fill(&x, r->total, since[i]);
		one = judge_span(&x, &reason);
		if (i == 1)
			one = MAX(one, judge_past(r, &x));
		if (one > all) {
			all = one;
			*why = reason;
		}
	}
	return all;
}

/* Judges the new version by its worst route, which is returned as well. */
verdict_t gate_judge(const move_t *v, const char **route, const char **why)
{
	verdict_t all = VERDICT_FINE;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const route_seen_t *r = p;
		const char *reason = "";
		verdict_t one = judge_route(v, r, &reason);

		if (one > all) {
			all = one;
			*route = r->name;
			*why = reason;
		}
	}
	return all;
}

static uint64_t requests(const route_seen_t *r, side_of_move_t side)
{
	return tally_sum(&r->total[side], &r->stage[side], M_REQUESTS);
}

/*
 * Whether the new version has run enough requests in this stage on the routes
 * with traffic; rare routes count only with all set.
 */
bool gate_evidence(const move_t *v, bool all)
{
	uint64_t total = 0;
	uint64_t total_new = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		total += requests(p, MOVE_OLD) + requests(p, MOVE_NEW);
		total_new += requests(p, MOVE_NEW);
	}
	if (total_new < NEED)
		return false;
	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		uint64_t n = requests(p, MOVE_OLD) + requests(p, MOVE_NEW);

		if (n < ROUTE_LEAST || (!all && n < total / ROUTE_PART))
			continue;
		if (requests(p, MOVE_NEW) < NEED)
			return false;
	}
	return true;
}

/* How long the move stays in its stage at least, in ms. */
ms_t gate_span(const move_t *v)
{
	if (v->stage >= STAGE_DONE)
		return 0;
	return MAX((ms_t)((double)spans[v->stage] * v->pace), SPAN_LEAST);
}
