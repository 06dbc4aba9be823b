/* Request counters: failures, and latencies as sums of their logarithms. */
#include <math.h>
#include "move/fns.h"

enum {
	STEPS_PER_DOUBLING = 16, /* resolution of the sums of logarithms */
	DOUBLINGS_MAX = 20,	 /* range of a logarithm; clamped */
	TOKENS_MIN = 256,	 /* shorter requests take as long */
};

/* In doublings; latencies of few requests may be equal by chance. */
static const double variance_min = 0.05;

static void add_log(req_stats_t *c, metric_t k, double value)
{
	double doublings = log2(MAX(value, 1e-6)) + DOUBLINGS_MAX / 2.0;

	doublings = CLAMP(doublings, 0, DOUBLINGS_MAX);
	c->v[k]++;
	c->v[k + 1] += (uint64_t)lround(doublings * STEPS_PER_DOUBLING);
	c->v[k + 2] +=
		(uint64_t)lround(doublings * doublings * STEPS_PER_DOUBLING);
}

/*
 * Counts a request that ran. first_token is the time to its first token,
 * -1 if none came; gap the mean inter-token gap, 0 or less if unknown; tokens
 * the size of the request. Latencies of failed requests are not counted.
 */
void req_stats_add(req_stats_t *c, bool failed, double first_token, double gap,
		   uint64_t tokens)
{
	c->v[M_REQUESTS]++;
	if (failed) {
		c->v[M_FAILURES]++;
		return;
	}
	if (first_token >= 0)
		add_log(c, M_FIRST_TOKEN_N,
			MAX(first_token, 1) / (double)(tokens + TOKENS_MIN));
	if (gap > 0)
		add_log(c, M_GAP_N, MAX(gap, 1));
}

/* Adds the counters of b to those of a. */
void req_stats_merge(req_stats_t *a, const req_stats_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] += b->v[k];
}

/* Subtracts the counters of b, which are included in a. */
void req_stats_subtract(req_stats_t *a, const req_stats_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] -= b->v[k];
}

/*
 * Mean of a latency's logarithm, in doublings; k is M_FIRST_TOKEN_N or M_GAP_N.
 */
double req_stats_mean(const req_stats_t *c, metric_t k)
{
	return (double)c->v[k + 1] / STEPS_PER_DOUBLING / (double)c->v[k];
}

/* Sum of the squares of a latency's logarithms, in doublings. */
double req_stats_sum_squares(const req_stats_t *c, metric_t k)
{
	return (double)c->v[k + 2] / STEPS_PER_DOUBLING;
}

/* Variance of a latency's logarithm over the requests, in doublings. */
double req_stats_variance(const req_stats_t *c, metric_t k)
{
	double mean = req_stats_mean(c, k);

	return MAX(req_stats_sum_squares(c, k) / (double)c->v[k] - mean * mean,
		   variance_min);
}
