/* Gates: whether a new version is bad, suspect, or may go on. */
#include "move/priv.h"

enum {
	FAILURES_LEAST = 3,
	STRATA_LEAST = 3,   /* with failures; one breakdown fails in fewer */
	NEED = 30,	    /* requests of the new version on a route */
	ROUTE_LEAST = 50,   /* requests that make a route one with traffic */
	ROUTE_PART = 50,    /* a route with less than 1/50 waits for the end */
	SPAN_LEAST = 10000, /* ms of a stage */
	PERCENT_OF_TIME = 80, /* of the time left, for the stages left */
};

/* How long the stages take when there is time, ms. */
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

static const metric_t time_of[TIMES] = { M_FIRST_TOKEN_N, M_GAP_N };

/* What a row says against the new version: failures, or slowness of a time. */
static double blame(const row_t *r, int t)
{
	return t < 0 ? r->seen - r->want : r->slower[t];
}

/* The server that says most; -1 when the new version ran on no other. */
static int worst(const score_t *x, int t)
{
	int max = 0;
	int rows = 0;

	for (int i = 0; i < SERVERS; i++) {
		rows += x->rows[i].requests > 0;
		if (blame(&x->rows[i], t) > blame(&x->rows[max], t))
			max = i;
	}
	return rows > 1 ? max : -1;
}

/* One server alone does not condemn a version that others run as well. */
static verdict_t judge_failures(const score_t *x)
{
	int skip = worst(x, -1);
	double seen = 0;
	double p;

	for (int i = 0; i < SERVERS; i++)
		seen += x->rows[i].seen;
	if (seen < FAILURES_LEAST)
		return VERDICT_FINE;
	p = stat_failures(x, -1);
	if (p >= alpha_suspect)
		return VERDICT_FINE;
	if (p >= alpha_bad || x->strata < STRATA_LEAST)
		return VERDICT_SUSPECT;
	if (skip >= 0 && stat_failures(x, skip) >= alpha_rest)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

static verdict_t judge_slow(const route_seen_t *r, const score_t *x, int t)
{
	double old = stat_variance(r->total[MOVE_OLD].servers, time_of[t]);
	double new = stat_variance(r->total[MOVE_NEW].servers, time_of[t]);
	double variance = MAX(old, new);
	int skip = worst(x, t);
	double z = stat_slower(x, t, -1, variance, slow_least);

	if (z < sigmas_suspect)
		return VERDICT_FINE;
	if (z < sigmas_bad)
		return VERDICT_SUSPECT;
	if (skip >= 0 &&
	    stat_slower(x, t, skip, variance, slow_least) < sigmas_rest)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

/* The new version now against the old one before: a reason to look closer. */
static verdict_t judge_past(const route_seen_t *r)
{
	const score_t *x = &r->scores[SCORE_RECENT];
	double n = (double)tally_sum(&r->total[MOVE_OLD], NULL, M_REQUESTS);
	double f = (double)tally_sum(&r->total[MOVE_OLD], NULL, M_FAILURES);
	double seen = 0;
	double requests = 0;

	for (int i = 0; i < SERVERS; i++) {
		seen += x->rows[i].seen;
		requests += x->rows[i].requests;
	}
	if (seen < FAILURES_LEAST || n < ROUTE_LEAST)
		return VERDICT_FINE;
	if (poisson_tail(requests * (f + 1) / n, seen, true) < alpha_suspect)
		return VERDICT_SUSPECT;
	return VERDICT_FINE;
}

static verdict_t judge_route(const route_seen_t *r, const char **why)
{
	static const char *const names[TIMES] = { "first", "gap" };
	verdict_t all = judge_past(r);

	*why = "past";
	for (int i = 0; i < SCORES; i++) {
		verdict_t one = judge_failures(&r->scores[i]);

		if (one > all) {
			all = one;
			*why = "failures";
		}
		for (int t = 0; t < TIMES; t++) {
			one = judge_slow(r, &r->scores[i], t);
			if (one > all) {
				all = one;
				*why = names[t];
			}
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
		verdict_t one = judge_route(r, &reason);

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

/*
 * How long a stage that begins now takes at least, in ms: as usual, or its part
 * of the time left. left is in seconds and ignored for a move without a time.
 */
ms_t gate_span(const move_t *v, int64_t left)
{
	ms_t usual = 0;
	ms_t span;

	if (v->stage >= STAGE_DONE)
		return 0;
	for (uint64_t i = v->stage; i < STAGE_DONE; i++)
		usual += spans[i];
	span = spans[v->stage];
	if (v->by)
		span = MIN(span,
			   MAX(left, 0) * 10 * PERCENT_OF_TIME * span / usual);
	return MAX(span, SPAN_LEAST);
}
