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
	/* Latency samples of each side before they are compared */
	MIN_LATENCIES = 8,
};

/* Probability of a false alarm per comparison */
static const double alpha = 1e-5;
/* The same, when one of the target's servers is left out */
static const double alpha_without_one = 0.01;
/* Failure rate expected of any version, at least */
static const double min_failure_rate = 0.005;
/* Prior of the old version's failure rate: requests */
static const double prior_requests = 20;
static const double prior_failures = 1; /* and failures among them */
/* A latency this many times the old version's is too slow. */
static const double slow_factor = 2;
/* Standard errors by which it must exceed that. */
static const double sigmas = 4.5;

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

/*
 * Returns the metric by which the route condemns the target, or NULL. If less
 * is given, the counters of one of the target's servers, those are left out and
 * weaker evidence from the other servers is enough.
 */
static const char *condemning_metric(const route_sum_t *r,
				     const route_sum_t *less)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	req_stats_t target = r->side[SHIFT_TARGET];
	double z = less ? 0 : sigmas;

	if (less)
		req_stats_subtract(&target, &less->side[SHIFT_TARGET]);
	if (target.v[M_FAILURES] >= (less ? 1 : MIN_FAILURES) &&
	    failure_probability(old, &target) <
		    (less ? alpha_without_one : alpha))
		return "failures";
	if (latency_excess(old, &target, M_FIRST_TOKEN_N) > z)
		return "first_event";
	if (latency_excess(old, &target, M_GAP_N) > z)
		return "gaps";
	return NULL;
}

/* Returns the set of the target's servers in reports; names are not copied. */
static GHashTable *servers_of(const canary_stats_t *s)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == M_REQUESTS && t->side == SHIFT_TARGET)
			g_hash_table_add(set, t->server);
	}
	return set;
}

static bool is_of(void *server, const reported_t *t)
{
	return strcmp(t->server, server) == 0;
}

/*
 * Whether a finding holds without any single server of the target: one faulty
 * server does not condemn a version that others run well.
 */
static bool holds_without_any_server(const canary_stats_t *s, bool recent,
				     const char *route, const route_sum_t *r)
{
	GHashTable *servers = servers_of(s);
	bool holds = true;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, servers);
	while (holds && g_hash_table_size(servers) > 1 &&
	       g_hash_table_iter_next(&it, &name, NULL)) {
		GHashTable *one = canary_stats_by_route(s, recent, is_of, name);
		const route_sum_t *less = g_hash_table_lookup(one, route);

		holds = !less || condemning_metric(r, less) != NULL;
		g_hash_table_destroy(one);
	}
	g_hash_table_destroy(servers);
	return holds;
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
		const char *why = condemning_metric(r, NULL);

		if (!why || !holds_without_any_server(s, recent, route, r))
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
	canary_finding_t f = compare(s, false);

	if (!f.why)
		f = compare(s, true);
	canary_stats_checkpoint(s, now);
	return f;
}
