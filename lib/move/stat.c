/* Comparison of two versions, stratified by time and server. */
#include <math.h>
#include <string.h>
#include "move/priv.h"

enum {
	UNKNOWN_SPEED = 1, /* doublings that other hardware may be slower */
};

/* Of what went before, what still counts a stratum later. */
static const double keep[SCORES] = { 0.82, 0.967, 1, 1 };

static const metric_t time_of[TIMES] = { M_FIRST_TOKEN_N, M_GAP_N };

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

/* Variance of the logarithms of a version within its servers, in doublings. */
double stat_variance(const req_stats_t *cells, metric_t k)
{
	double n = 0;
	double sum = 0;

	for (int i = 0; i < SERVERS; i++) {
		double each = (double)cells[i].v[k];
		double mean;

		if (each < 2)
			continue;
		mean = req_stats_mean(&cells[i], k);
		sum += req_stats_sum_squares(&cells[i], k) - each * mean * mean;
		n += each - 1;
	}
	return n > 0 ? MAX(sum / n, 0.05) : 1;
}

static void cells_sub(req_stats_t *out, const req_stats_t *a,
		      const req_stats_t *b)
{
	for (int i = 0; i < SERVERS; i++) {
		out[i] = a[i];
		req_stats_subtract(&out[i], &b[i]);
	}
}

static req_stats_t cells_sum(const req_stats_t *c)
{
	req_stats_t sum = { { 0 } };

	for (int i = 0; i < SERVERS; i++)
		req_stats_merge(&sum, &c[i]);
	return sum;
}

/* Failures of the new version, and how many if both had failed alike. */
static void add_failures(score_t *x, const req_stats_t *new_cells,
			 const req_stats_t *all_new, const req_stats_t *all_old)
{
	double f = (double)(all_new->v[M_FAILURES] + all_old->v[M_FAILURES]);
	double n = (double)(all_new->v[M_REQUESTS] + all_old->v[M_REQUESTS]);

	if (all_new->v[M_REQUESTS] == 0 || all_old->v[M_REQUESTS] == 0)
		return;
	for (int i = 0; i < SERVERS; i++) {
		row_t *r = &x->rows[i];

		r->seen += (double)new_cells[i].v[M_FAILURES];
		r->want += (double)new_cells[i].v[M_REQUESTS] * f / n;
		r->requests += (double)new_cells[i].v[M_REQUESTS];
	}
	x->old_seen += (double)all_old->v[M_FAILURES];
	x->old_want += (double)all_old->v[M_REQUESTS] * f / n;
	x->strata += all_new->v[M_FAILURES] > 0;
}

/*
 * Adds how much slower the new version was at each server. One that never ran
 * the old version is compared with all others, less what hardware explains.
 */
static void add_times(score_t *x, int t, const req_stats_t *new_cells,
		      const req_stats_t *old_cells, const req_stats_t *old_ever)
{
	metric_t k = time_of[t];
	req_stats_t fleet = cells_sum(old_cells);

	for (int i = 0; i < SERVERS; i++) {
		const req_stats_t *b = &old_cells[i];
		double other = 0;
		double w;

		if (old_ever[i].v[k] == 0) {
			b = &fleet;
			other = UNKNOWN_SPEED;
		}
		if (new_cells[i].v[k] == 0 || b->v[k] == 0)
			continue;
		w = (double)new_cells[i].v[k] * (double)b->v[k] /
		    (double)(new_cells[i].v[k] + b->v[k]);
		x->rows[i].weight[t] += w;
		x->rows[i].slower[t] += w * (req_stats_mean(&new_cells[i], k) -
					     req_stats_mean(b, k) - other);
	}
}

static void decay(score_t *x, double by)
{
	double *p = (double *)x;

	if (by == 1)
		return;
	for (size_t i = 0; i < sizeof(*x) / sizeof(double); i++)
		p[i] *= by;
}

/*
 * Ends a stratum of time: adds what came in it to the scores. Shares change
 * from one stratum to the next, so only requests of the same one are compared.
 */
void stat_stratum(route_seen_t *r)
{
	req_stats_t d[MOVE_SIDES][SERVERS];
	req_stats_t sum[MOVE_SIDES];

	for (int i = 0; i < MOVE_SIDES; i++) {
		cells_sub(d[i], r->total[i].servers, r->before[i].servers);
		sum[i] = cells_sum(d[i]);
	}
	for (int i = 0; i < SCORES; i++) {
		score_t *x = &r->scores[i];

		decay(x, keep[i]);
		add_failures(x, d[MOVE_NEW], &sum[MOVE_NEW], &sum[MOVE_OLD]);
		for (int t = 0; t < TIMES; t++)
			add_times(x, t, d[MOVE_NEW], d[MOVE_OLD],
				  r->total[MOVE_OLD].servers);
	}
	memcpy(r->before, r->total, sizeof(r->total));
}

/*
 * Probability of so many failures of the new version, or more, if both fail
 * alike; row skip is left out. The rarer version gives the sharper bound.
 */
double stat_failures(const score_t *x, int skip)
{
	double seen = 0;
	double want = 0;
	double all = 0;
	double old_want;

	for (int i = 0; i < SERVERS; i++) {
		all += x->rows[i].seen;
		if (i == skip)
			continue;
		seen += x->rows[i].seen;
		want += x->rows[i].want;
	}
	if (seen <= want || all == 0)
		return 1;
	old_want = x->old_want * (seen + x->old_seen) / (all + x->old_seen);
	if (want <= old_want)
		return poisson_tail(want, seen, true);
	return poisson_tail(old_want, x->old_seen, false);
}

/*
 * How many standard errors the new version is slower than by least doublings;
 * 0 when there is too little to compare. Row skip is left out.
 */
double stat_slower(const score_t *x, int t, int skip, double variance,
		   double least)
{
	double weight = 0;
	double slower = 0;

	for (int i = 0; i < SERVERS; i++) {
		if (i == skip)
			continue;
		weight += x->rows[i].weight[t];
		slower += x->rows[i].slower[t];
	}
	if (weight < WEIGHT_LEAST)
		return 0;
	return (slower / weight - least) / sqrt(variance / weight);
}
