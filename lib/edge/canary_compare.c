/*
 * Comparison of the counters of a rollout: whether on any route, over the whole
 * rollout or recently, the target has more failures or longer latencies than
 * the old version at the same time.
 */
#include <math.h>
#include <string.h>
#include "edge/canary.h"

enum {
	MIN_FAILURES = 3,
	/* A single failure of the other servers may have any cause, as a crash
	 */
	OTHERS_FAILURES = 2,
	/* Latency samples of each side before they are compared */
	MIN_LATENCIES = 8,
	/* Two lives that both served for so long tell of the same time. */
	OVERLAP_MS = 500,
	/* Requests at the target after which the other servers, if they had
	   none, are not expected to get any on the route */
	ALONE_REQUESTS = 30,
};

/* Probability of a false alarm per comparison */
static const double alpha = 1e-5;
/* Failure rate expected of any version, at least */
static const double min_failure_rate = 0.005;
/* Prior of the old version's failure rate: requests */
static const double prior_requests = 20;
static const double prior_failures = 1; /* and failures among them */
/* A latency this many times the old version's is too slow. */
static const double slow_factor = 2;
/* Standard errors by which it must exceed that. */
static const double sigmas = 4.5;
/* Odds, as a logarithm, from which servers are taken for bad too: 10 to 1 */
static const double others_odds = 2.3;

/*
 * Returns the probability that a version as good as the old one has at least as
 * many failures as the target.
 */
static double failure_probability(const req_stats_t *old,
				  const req_stats_t *target)
{
	double expected = ((double)old->v[M_FAILURES] + prior_failures) /
			  ((double)old->v[M_REQUESTS] + prior_requests);

	return poisson_tail((double)target->v[M_REQUESTS] *
				    MAX(expected, min_failure_rate),
			    (double)target->v[M_FAILURES], true);
}

/*
 * Returns by how many standard errors the target's latency exceeds slow_factor
 * times the old version's.
 */
static double latency_excess(const req_stats_t *old, const req_stats_t *target,
			     metric_t k)
{
	if (target->v[k] < MIN_LATENCIES || old->v[k] < MIN_LATENCIES)
		return 0;
	return (req_stats_mean(target, k) - req_stats_mean(old, k) -
		log2(slow_factor)) /
	       sqrt(req_stats_variance(target, k) / (double)target->v[k] +
		    req_stats_variance(old, k) / (double)old->v[k]);
}

/* Returns the metric by which the route condemns the target, or NULL. */
static const char *condemning_metric(const route_sum_t *r)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	const req_stats_t *target = &r->side[SHIFT_TARGET];

	if (target->v[M_FAILURES] >= MIN_FAILURES &&
	    failure_probability(old, target) < alpha)
		return "failures";
	if (latency_excess(old, target, M_FIRST_TOKEN_N) > sigmas)
		return "first_event";
	if (latency_excess(old, target, M_GAP_N) > sigmas)
		return "gaps";
	return NULL;
}

/* Whether some of the target's servers are bad by that metric themselves. */
static bool are_bad(const canary_stats_t *s, const route_sum_t *r,
		    const char *why)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	const req_stats_t *some = &r->side[SHIFT_TARGET];

	if (strcmp(why, "first_event") == 0)
		return latency_excess(old, some, M_FIRST_TOKEN_N) > 0;
	if (strcmp(why, "gaps") == 0)
		return latency_excess(old, some, M_GAP_N) > 0;
	return some->v[M_FAILURES] >= OTHERS_FAILURES &&
	       odds_against(s->odds, old, some) > others_odds;
}

/* Whether any server of the target has requests in the sums. */
static bool has_requests(GHashTable *sums)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, NULL, &r)) {
		if (((route_sum_t *)r)->side[SHIFT_TARGET].v[M_REQUESTS] > 0)
			return true;
	}
	return false;
}

/* The servers of the target that are compared with one of them. */
typedef struct others {
	const canary_stats_t *stats;
	const life_t *one;
} others_t;

/*
 * Whether a counter is of the old version, or of a server that answered while
 * the one did. Others tell nothing of the one: what ended before it began may
 * be an earlier life of the same server, and the version may have turned bad
 * since then.
 */
static bool is_of_others(void *ctx, const reported_t *t)
{
	const others_t *o = ctx;
	const life_t *l;

	if (t->side == SHIFT_OLD)
		return true;
	l = g_hash_table_lookup(o->stats->lives, t->server);
	return l && l != o->one &&
	       MIN(l->passed_at, o->one->last_at) -
			       MAX(l->first_at, o->one->first_at) >=
		       OVERLAP_MS;
}

/*
 * Whether a finding on a route may be the fault of one server of the target:
 * there are others, and they are not known to be bad too. Others that get none
 * of the route's requests do not excuse the version for long.
 */
static bool may_be_of_one(const canary_stats_t *s, GHashTable *others,
			  const char *route, const route_sum_t *all,
			  const char *why)
{
	const route_sum_t *r = g_hash_table_lookup(others, route);

	if (r && r->side[SHIFT_TARGET].v[M_REQUESTS] > 0)
		return !are_bad(s, r, why);
	return has_requests(others) &&
	       all->side[SHIFT_TARGET].v[M_REQUESTS] < ALONE_REQUESTS;
}

/* Whether a finding may be the fault of any single server of the target. */
static bool may_be_of_any(const canary_stats_t *s, bool recent,
			  const char *route, const route_sum_t *all,
			  const char *why)
{
	bool may = false;
	GHashTableIter it;
	gpointer life;

	g_hash_table_iter_init(&it, s->lives);
	while (!may && g_hash_table_iter_next(&it, NULL, &life)) {
		others_t o = { s, life };
		GHashTable *others =
			canary_stats_by_route(s, recent, is_of_others, &o);

		may = may_be_of_one(s, others, route, all, why);
		g_hash_table_destroy(others);
	}
	return may;
}

static canary_finding_t compare(const canary_stats_t *s, bool recent)
{
	GHashTable *routes = canary_stats_by_route(s, recent, NULL, NULL);
	canary_finding_t f = { 0 };
	GHashTableIter it;
	gpointer route;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (!f.why && g_hash_table_iter_next(&it, &route, &r)) {
		const char *why = condemning_metric(r);

		if (!why || may_be_of_any(s, recent, route, r, why))
			continue;
		f.why = why;
		g_strlcpy(f.route, route, sizeof(f.route));
	}
	g_hash_table_destroy(routes);
	return f;
}

/*
 * Returns the evidence against the target, over the whole rollout, then recent.
 */
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now)
{
	canary_finding_t f;

	canary_stats_look(s, now);
	f = compare(s, false);
	return f.why ? f : compare(s, true);
}
