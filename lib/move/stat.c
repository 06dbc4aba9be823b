/* Tests of the new version's figures against the old one's. */
#include <math.h>
#include "move/priv.h"

enum {
	LOG_UNIT = 16, /* steps of a doubling, as in evidence.c */
	ROW_LEAST = 4, /* times of the old version that make a server known */
	UNKNOWN_SPEED = 1, /* doublings that other hardware may be slower */
};

static double log_choose(double n, double k)
{
	return lgamma(n + 1) - lgamma(k + 1) - lgamma(n - k + 1);
}

/*
 * Fisher's exact test, one sided: the probability that the new version has f1
 * or more of all failures if both fail alike, with n1 and n0 requests.
 */
double stat_failures(uint64_t f1, uint64_t n1, uint64_t f0, uint64_t n0)
{
	double all = (double)(n1 + n0);
	double f = (double)(f1 + f0);
	double most = MIN(f, (double)n1);
	double x = (double)f1;
	double term;
	double sum = 0;

	if (n1 == 0 || n0 == 0 ||
	    (double)f1 * (double)n0 <= (double)f0 * (double)n1)
		return 1;
	term = exp(log_choose((double)n1, x) + log_choose((double)n0, f - x) -
		   log_choose(all, f));
	while (x <= most && term > sum * 1e-9) {
		sum += term;
		term *= ((double)n1 - x) * (f - x) /
			((x + 1) * ((double)n0 - f + x + 1));
		x++;
	}
	return MIN(sum, 1);
}

/* Number, mean and variance of logarithms, in doublings. */
typedef struct moments {
	double n;
	double mean;
	double var;
} moments_t;

static moments_t moments(const cell_t *c, metric_t k)
{
	moments_t r = { (double)c->v[k], 0, 0 };
	double square;

	if (r.n == 0)
		return r;
	r.mean = (double)c->v[k + 1] / LOG_UNIT / r.n;
	square = (double)c->v[k + 2] / LOG_UNIT / r.n;
	r.var = MAX(square - r.mean * r.mean, 0.01);
	return r;
}

static moments_t moments_all(const cell_t *cells, metric_t k, int skip)
{
	cell_t sum = { { 0 } };

	for (int i = 0; i < SERVERS; i++) {
		if (i == skip)
			continue;
		for (unsigned int j = k; j < k + 3U; j++)
			sum.v[j] += cells[i].v[j];
	}
	return moments(&sum, k);
}

/*
 * How much slower the new version is, in doublings, and the standard error of
 * that (returned; negative when there is nothing to compare). Servers are
 * compared each with itself; one that never ran the old version with all
 * others, less what other hardware may explain. Row skip is left out.
 */
double stat_slower(const cell_t *new_cells, const cell_t *old_cells, metric_t k,
		   int skip, double *doublings)
{
	moments_t fleet = moments_all(old_cells, k, skip);
	double weight = 0;
	double sum = 0;
	double var = 0;

	for (int i = 0; i < SERVERS; i++) {
		moments_t a = moments(&new_cells[i], k);
		moments_t b = moments(&old_cells[i], k);
		double other = 0;
		double w;

		if (a.n == 0 || i == skip)
			continue;
		if (b.n < ROW_LEAST) {
			b = fleet;
			other = UNKNOWN_SPEED;
		}
		if (b.n < ROW_LEAST)
			continue;
		w = a.n * b.n / (a.n + b.n);
		weight += w;
		sum += w * (a.mean - b.mean - other);
		var += w * w * (MAX(a.var, b.var) / a.n + b.var / b.n);
	}
	if (weight == 0)
		return -1;
	*doublings = sum / weight;
	return sqrt(var) / weight;
}
