/* Counters of requests: failures, and times as sums of their logarithms. */
#include <math.h>
#include "move/fns.h"

enum {
	LOG_UNIT = 16,	  /* steps of a doubling */
	LOG_RANGE = 20,	  /* doublings; what lies outside is clipped */
	SIZE_LEAST = 256, /* tokens; smaller work takes as long */
};

static const double variance_least = 0.05; /* doublings: times of few requests
					      may be alike by chance */

static void add_log(req_stats_t *c, metric_t k, double value)
{
	double doublings = log2(MAX(value, 1e-6)) + LOG_RANGE / 2.0;

	doublings = CLAMP(doublings, 0, LOG_RANGE);
	c->v[k]++;
	c->v[k + 1] += (uint64_t)lround(doublings * LOG_UNIT);
	c->v[k + 2] += (uint64_t)lround(doublings * doublings * LOG_UNIT);
}

/*
 * Counts a request that ran. first is the time to the first part of its
 * answer, -1 none came; gap the mean time between parts, 0 or less unknown;
 * tokens the size of the work. Times of failures say nothing.
 */
void req_stats_add(req_stats_t *c, bool failed, double first, double gap,
		   uint64_t tokens)
{
	c->v[M_REQUESTS]++;
	if (failed) {
		c->v[M_FAILURES]++;
		return;
	}
	if (first >= 0)
		add_log(c, M_FIRST_TOKEN_N,
			MAX(first, 1) / (double)(tokens + SIZE_LEAST));
	if (gap > 0)
		add_log(c, M_GAP_N, MAX(gap, 1));
}

/* Adds the counters of b to a. */
void req_stats_merge(req_stats_t *a, const req_stats_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] += b->v[k];
}

/* Takes the counters of b, which are part of a, from it. */
void req_stats_subtract(req_stats_t *a, const req_stats_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] -= b->v[k];
}

/* Mean of a time's logarithm, in doublings; k is M_FIRST_TOKEN_N or M_GAP_N. */
double req_stats_mean(const req_stats_t *c, metric_t k)
{
	return (double)c->v[k + 1] / LOG_UNIT / (double)c->v[k];
}

/* Sum of the squares of a time's logarithms, in doublings. */
double req_stats_sum_squares(const req_stats_t *c, metric_t k)
{
	return (double)c->v[k + 2] / LOG_UNIT;
}

/* Variance of a time's logarithm over the requests, in doublings. */
double req_stats_variance(const req_stats_t *c, metric_t k)
{
	double mean = req_stats_mean(c, k);

	return MAX(req_stats_sum_squares(c, k) / (double)c->v[k] - mean * mean,
		   variance_least);
}
