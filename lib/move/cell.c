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

static void add_log(cell_t *c, metric_t k, double value)
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
void cell_note(cell_t *c, bool failed, double first, double gap,
	       uint64_t tokens)
{
	c->v[M_REQUESTS]++;
	if (failed) {
		c->v[M_FAILURES]++;
		return;
	}
	if (first >= 0)
		add_log(c, M_FIRST_N,
			MAX(first, 1) / (double)(tokens + SIZE_LEAST));
	if (gap > 0)
		add_log(c, M_GAP_N, MAX(gap, 1));
}

/* Adds the counters of b to a. */
void cell_add(cell_t *a, const cell_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] += b->v[k];
}

/* Takes the counters of b, which are part of a, from it. */
void cell_sub(cell_t *a, const cell_t *b)
{
	for (int k = 0; k < METRICS; k++)
		a->v[k] -= b->v[k];
}

/* Mean of a time's logarithm, in doublings; k is M_FIRST_N or M_GAP_N. */
double cell_mean(const cell_t *c, metric_t k)
{
	return (double)c->v[k + 1] / LOG_UNIT / (double)c->v[k];
}

/* Sum of the squares of a time's logarithms, in doublings. */
double cell_squares(const cell_t *c, metric_t k)
{
	return (double)c->v[k + 2] / LOG_UNIT;
}

/* Variance of a time's logarithm over the requests, in doublings. */
double cell_variance(const cell_t *c, metric_t k)
{
	double mean = cell_mean(c, k);

	return MAX(cell_squares(c, k) / (double)c->v[k] - mean * mean,
		   variance_least);
}
