/* Statistical comparison of two versions, stratified by time and server. */
#include <math.h>
#include <string.h>
#include "move/priv.h"

enum {
	OTHER_HARDWARE = 1, /* doublings; allowed for unlike hardware */
};

/* Factor by which each window decays at the end of a stratum. */
static const double decay_factor[WINDOWS] = { 0.82, 0.967, 1, 1 };

static const metric_t latency_metric[LATENCIES] = { M_FIRST_TOKEN_N, M_GAP_N };

/*
 * Probability that a Poisson variable of that mean is at least k, or at most k
 * if upper is false. k may be fractional.
 */
double poisson_tail(double mean, double k, bool upper)
{
	double first = upper ? ceil(k - 1e-9) : 0;
	double last = upper ? MAX(first, mean) + 20 * sqrt(mean + 1) + 20
			    : floor(k + 1e-9);
	double sum = 0;

	if (mean <= 0)
		return upper && first > 0 ? 0 : 1;
	for (long n = (long)first; n <= (long)last; n++)
		sum += exp((double)n * log(mean) - mean -
			   lgamma((double)n + 1));
	return MIN(sum, 1);
}

/*
 * Pooled within-server variance of a latency's logarithm, in doublings; 1 when
 * no server has two requests.
 */
double stat_variance(const req_stats_t *servers, metric_t k)
{
	double n = 0;
	double sum = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		double each = (double)servers[i].v[k];
		double mean;

		if (each < 2)
			continue;
		mean = req_stats_mean(&servers[i], k);
		sum += req_stats_sum_squares(&servers[i], k) -
		       each * mean * mean;
		n += each - 1;
	}
	return n > 0 ? MAX(sum / n, 0.05) : 1;
}

static void servers_subtract(req_stats_t *out, const req_stats_t *a,
			     const req_stats_t *b)
{
	for (int i = 0; i < SERVER_BUCKETS; i++) {
		out[i] = a[i];
		req_stats_subtract(&out[i], &b[i]);
	}
}

static req_stats_t servers_sum(const req_stats_t *c)
{
	req_stats_t sum = { { 0 } };

	for (int i = 0; i < SERVER_BUCKETS; i++)
		req_stats_merge(&sum, &c[i]);
	return sum;
}

/*
 * Adds the new version's failures, and how many to expect if both versions
 * failed equally often.
 */
static void add_failures(comparison_t *x, const req_stats_t *new_servers,
			 const req_stats_t *all_new, const req_stats_t *all_old)
{
	double f = (double)(all_new->v[M_FAILURES] + all_old->v[M_FAILURES]);
	double n = (double)(all_new->v[M_REQUESTS] + all_old->v[M_REQUESTS]);

	if (all_new->v[M_REQUESTS] == 0 || all_old->v[M_REQUESTS] == 0)
		return;
	for (int i = 0; i < SERVER_BUCKETS; i++) {
		server_cmp_t *r = &x->servers[i];

		r->failures += (double)new_servers[i].v[M_FAILURES];
		r->expected += (double)new_servers[i].v[M_REQUESTS] * f / n;
		r->requests += (double)new_servers[i].v[M_REQUESTS];
	}
	x->old_failures += (double)all_old->v[M_FAILURES];
	x->old_expected += (double)all_old->v[M_REQUESTS] * f / n;
	x->failed_strata += all_new->v[M_FAILURES] > 0;
}

/*
 * Adds the slowdown of the new version at each server. A server that
 * never ran the old version is compared with the old version on all servers,
 * with OTHER_HARDWARE doublings subtracted for a difference in hardware.
 */
static void add_latency(comparison_t *x, int t, const req_stats_t *new_servers,
			const req_stats_t *old_servers,
			const req_stats_t *old_total)
{
	metric_t k = latency_metric[t];
	req_stats_t all_servers = servers_sum(old_servers);

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		const req_stats_t *b = &old_servers[i];
		double allowance = 0;
		double w;

		if (old_total[i].v[k] == 0) {
			b = &all_servers;
			allowance = OTHER_HARDWARE;
		}
		if (new_servers[i].v[k] == 0 || b->v[k] == 0)
			continue;
		w = (double)new_servers[i].v[k] * (double)b->v[k] /
		    (double)(new_servers[i].v[k] + b->v[k]);
		x->servers[i].weight[t] += w;
		x->servers[i].slowdown[t] +=
			w * (req_stats_mean(&new_servers[i], k) -
			     req_stats_mean(b, k) - allowance);
	}
}

static void decay(comparison_t *x, double factor)
{
	double *p = (double *)x;

	if (factor == 1)
		return;
	for (size_t i = 0; i < sizeof(*x) / sizeof(double); i++)
		p[i] *= factor;
}

/*
 * Ends a stratum of time: adds its requests to all windows. The traffic shares
 * change from one stratum to the next, so that only requests of the same
 * stratum are compared.
 */
void stat_end_stratum(move_route_t *r)
{
	req_stats_t d[MOVE_SIDES][SERVER_BUCKETS];
	req_stats_t sum[MOVE_SIDES];

	for (int i = 0; i < MOVE_SIDES; i++) {
		servers_subtract(d[i], r->total[i].servers,
				 r->stratum_start[i].servers);
		sum[i] = servers_sum(d[i]);
	}
	for (int i = 0; i < WINDOWS; i++) {
		comparison_t *x = &r->windows[i];

		decay(x, decay_factor[i]);
		add_failures(x, d[MOVE_NEW], &sum[MOVE_NEW], &sum[MOVE_OLD]);
		for (int t = 0; t < LATENCIES; t++)
			add_latency(x, t, d[MOVE_NEW], d[MOVE_OLD],
				    r->total[MOVE_OLD].servers);
	}
	memcpy(r->stratum_start, r->total, sizeof(r->total));
}

/*
 * Returns the p-value of the new version's failures: the probability of that
 * many or more if both versions fail equally often. Server skip is left out.
 * Tests the version with fewer expected failures, whose bound is sharper.
 */
double stat_failures_p(const comparison_t *x, int skip)
{
	double failures = 0;
	double expected = 0;
	double all = 0;
	double old_expected;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		all += x->servers[i].failures;
		if (i == skip)
			continue;
		failures += x->servers[i].failures;
		expected += x->servers[i].expected;
	}
	if (failures <= expected || all == 0)
		return 1;
	old_expected = x->old_expected * (failures + x->old_failures) /
		       (all + x->old_failures);
	if (expected <= old_expected)
		return poisson_tail(expected, failures, true);
	return poisson_tail(old_expected, x->old_failures, false);
}

/*
 * Returns the z-score of the new version's slowdown in latency t beyond min
 * doublings; 0 when there are too few requests. Server skip is left out.
 */
double stat_slowdown_z(const comparison_t *x, int t, int skip, double variance,
		       double min)
{
	double weight = 0;
	double slowdown = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++) {
		if (i == skip)
			continue;
		weight += x->servers[i].weight[t];
		slowdown += x->servers[i].slowdown[t];
	}
	if (weight < PAIRS_MIN)
		return 0;
	return (slowdown / weight - min) / sqrt(variance / weight);
}
