/* Canary analysis: whether a new version is bad, suspect, or may advance. */
#include "move/priv.h"

enum {
	FAILURES_MIN = 3,
	STRATA_MIN = 3,	   /* with failures; a single outage spans fewer */
	REQUESTS_MIN = 30, /* requests of the new version on a route */
	ROUTE_REQUESTS_MIN = 50, /* fewer: a route without traffic */
	RARE_ROUTE_PART = 50,	 /* a route with less than 1/50 of all requests
				    counts only in the last stage */
	STAGE_MS_MIN = 10000,	 /* minimum length of a stage */
	TIME_LEFT_PERCENT = 80, /* of the time left, for the remaining stages */
};

/* Length of each stage without a deadline, ms. */
static const ms_t stage_ms[STAGE_DONE] = { 30000, 60000, 120000, 600000 };

/* Probability of a false alarm in one analysis. */
static const double alpha_bad = 1e-6;
static const double alpha_suspect = 1e-3;
static const double alpha_others = 0.05; /* with the worst server left out */

/* Slowdown in doublings, and thresholds in standard errors. */
static const double slowdown_min = 0.26; /* 1.2 times */
static const double sigmas_bad = 6;
static const double sigmas_suspect = 3.5;
static const double sigmas_others = 2;

static const metric_t latency_metric[LATENCIES] = { M_FIRST_TOKEN_N, M_GAP_N };

/* Excess failures at a server for t < 0, else its slowdown in latency t. */
static double excess(const server_cmp_t *r, int t)
{
	return t < 0 ? r->failures - r->expected : r->slowdown[t];
}

/* The server with the largest excess; -1 if the new version ran on only one. */
static int worst_server(const comparison_t *x, int t)
{
	int max = 0;
	int servers_used = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		servers_used += x->servers[i].requests > 0;
		if (excess(&x->servers[i], t) > excess(&x->servers[max], t))
			max = i;
	}
	return servers_used > 1 ? max : -1;
}

/*
 * Whether the servers but one had enough requests to show failures too, if they
 * failed as many of them as all do.
 */
static bool others_tell_failures(const comparison_t *x, int skip)
{
	double failures = 0;
	double requests = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		failures += x->servers[i].failures;
		requests += x->servers[i].requests;
	}
	return (requests - x->servers[skip].requests) * failures >=
	       requests * FAILURES_MIN;
}

/* Whether the servers but one had enough requests to be compared in latency. */
static bool others_tell_latency(const comparison_t *x, int t, int skip)
{
	double weight = -x->servers[skip].weight[t];

	for (int i = 0; i < SERVER_BUCKETS; i++)
		weight += x->servers[i].weight[t];
	return weight >= PAIRS_MIN;
}

/*
 * A version that runs on several servers is not found bad for one of them,
 * unless the others have hardly any requests.
 */
static verdict_t judge_failures(const comparison_t *x)
{
	int skip = worst_server(x, -1);
	double failures = 0;
	double p;

	for (int i = 0; i < SERVER_BUCKETS; i++)
		failures += x->servers[i].failures;
	if (failures < FAILURES_MIN)
		return VERDICT_FINE;
	p = stat_failures_p(x, -1);
	if (p >= alpha_suspect)
		return VERDICT_FINE;
	if (p >= alpha_bad || x->failed_strata < STRATA_MIN)
		return VERDICT_SUSPECT;
	if (skip >= 0 && others_tell_failures(x, skip) &&
	    stat_failures_p(x, skip) >= alpha_others)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

static verdict_t judge_latency(const move_route_t *r, const comparison_t *x,
			       int t)
{
	double old =
		stat_variance(r->total[MOVE_OLD].servers, latency_metric[t]);
	double new =
		stat_variance(r->total[MOVE_NEW].servers, latency_metric[t]);
	double variance = MAX(old, new);
	int skip = worst_server(x, t);
	double z = stat_slowdown_z(x, t, -1, variance, slowdown_min);

	if (z < sigmas_suspect)
		return VERDICT_FINE;
	if (z < sigmas_bad)
		return VERDICT_SUSPECT;
	if (skip >= 0 && others_tell_latency(x, t, skip) &&
	    stat_slowdown_z(x, t, skip, variance, slowdown_min) < sigmas_others)
		return VERDICT_SUSPECT;
	return VERDICT_BAD;
}

/*
 * Compares recent failures of the new version with the old one's failure rate
 * over the whole move. The two come from different times, so that a difference
 * makes the version only suspect.
 */
static verdict_t judge_history(const move_route_t *r)
{
	const comparison_t *x = &r->windows[WINDOW_RECENT];
	double n = (double)version_stats_sum(&r->total[MOVE_OLD], NULL,
					     M_REQUESTS);
	double f = (double)version_stats_sum(&r->total[MOVE_OLD], NULL,
					     M_FAILURES);
	double failures = 0;
	double requests = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		failures += x->servers[i].failures;
		requests += x->servers[i].requests;
	}
	if (failures < FAILURES_MIN || n < ROUTE_REQUESTS_MIN)
		return VERDICT_FINE;
	if (poisson_tail(requests * (f + 1) / n, failures, true) <
	    alpha_suspect)
		return VERDICT_SUSPECT;
	return VERDICT_FINE;
}

static verdict_t judge_route(const move_route_t *r, const char **why)
{
	static const char *const names[LATENCIES] = { "first", "gap" };
	verdict_t all = judge_history(r);

	*why = "past";
	for (int i = 0; i < WINDOWS; i++) {
		verdict_t one = judge_failures(&r->windows[i]);

		if (one > all) {
			all = one;
			*why = "failures";
		}
		for (int t = 0; t < LATENCIES; t++) {
			one = judge_latency(r, &r->windows[i], t);
			if (one > all) {
				all = one;
				*why = names[t];
			}
		}
	}
	return all;
}

/*
 * Returns the verdict on the new version on its worst route. Sets *route and
 * *why unless the verdict is VERDICT_FINE.
 */
verdict_t canary_verdict(const move_t *v, const char **route, const char **why)
{
	verdict_t all = VERDICT_FINE;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const move_route_t *r = p;
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

static uint64_t requests(const move_route_t *r, move_side_t side)
{
	return version_stats_sum(&r->total[side], &r->stage_start[side],
				 M_REQUESTS);
}

/*
 * Whether the new version has run enough requests in this stage on the routes
 * with traffic; rarely used routes count only if all is set.
 */
bool canary_enough_requests(const move_t *v, bool all)
{
	uint64_t total = 0;
	uint64_t new_total = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		total += requests(p, MOVE_OLD) + requests(p, MOVE_NEW);
		new_total += requests(p, MOVE_NEW);
	}
	if (new_total < REQUESTS_MIN)
		return false;
	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		uint64_t n = requests(p, MOVE_OLD) + requests(p, MOVE_NEW);

		if (n < ROUTE_REQUESTS_MIN ||
		    (!all && n < total / RARE_ROUTE_PART))
			continue;
		if (requests(p, MOVE_NEW) < REQUESTS_MIN)
			return false;
	}
	return true;
}

/*
 * Minimum length in ms of a stage that begins now: its normal length, or its
 * share of the time left until the deadline if that is shorter. left is in
 * seconds and ignored for a move without a deadline.
 */
ms_t canary_stage_ms(const move_t *v, int64_t left)
{
	ms_t normal = 0;
	ms_t span;

	if (v->stage >= STAGE_DONE)
		return 0;
	for (uint64_t i = v->stage; i < STAGE_DONE; i++)
		normal += stage_ms[i];
	span = stage_ms[v->stage];
	if (v->by)
		span = MIN(span, MAX(left, 0) * 10 * TIME_LEFT_PERCENT * span /
					 normal);
	return MAX(span, STAGE_MS_MIN);
}
