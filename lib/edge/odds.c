/*
 * Odds that a version is bad, by its failures beside those of the old version.
 * They answer the load of a canary: a few requests a second and route, of which
 * some fail at any version. The odds are a Bayes factor, so that looking at
 * them again and again does not add up: at a good version they ever reach 1/a
 * with a probability of at most a.
 */
#include <math.h>
#include "edge/priv.h"

enum {
	USUAL = 96,	 /* failure rates of the old version that are weighed */
	NEGLIGIBLE = 40, /* a term whose logarithm is so much smaller */
};

/* Range of the usual failure rate, as its logit */
static const double usual_first = -5.3;
static const double usual_last = 3.9;
/* Prior of the usual failure rate: requests, of which one failed */
static const double prior_requests = 20;

struct odds {
	double weight[USUAL]; /* logarithm of the prior */
	/* Logarithms of the rates of failure and of success */
	double fail[USUAL];
	double pass[USUAL];
	double bad_fail[USUAL][ODDS_TENTHS];
	double bad_pass[USUAL][ODDS_TENTHS];
};

/* Returns the table of rates that odds_against weighs. */
odds_t *odds_new(void)
{
	odds_t *o = g_new0(odds_t, 1);

	for (int i = 0; i < USUAL; i++) {
		double logit = usual_first +
			       (usual_last - usual_first) * i / (USUAL - 1);
		double p = 1 / (1 + exp(-logit));

		o->fail[i] = log(p);
		o->pass[i] = log1p(-p);
		/* A step of the logit is one of p (1 - p) of the rate. */
		o->weight[i] = o->fail[i] + (prior_requests - 1) * o->pass[i];
		for (int k = 0; k < ODDS_TENTHS; k++) {
			double added = (k + 1) / (double)(ODDS_TENTHS + 1);

			o->bad_fail[i][k] = log(p + (1 - p) * added);
			o->bad_pass[i][k] = o->pass[i] + log1p(-added);
		}
	}
	return o;
}

/* Frees the table. */
void odds_free(odds_t *o)
{
	g_free(o);
}

/* Returns the sum of two odds, all as logarithms. */
double odds_add(double a, double b)
{
	double most = MAX(a, b);

	return most + log1p(exp(MIN(a, b) - most));
}

/* Returns the sum of n odds, all as logarithms. */
static double sum_of(const double *odds, size_t n)
{
	double most = -G_MAXDOUBLE;
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		most = MAX(most, odds[i]);
	for (size_t i = 0; i < n; i++) {
		if (odds[i] > most - NEGLIGIBLE)
			sum += exp(odds[i] - most);
	}
	return most + log(MAX(sum, 1)); /* the largest adds 1 */
}

/*
 * Returns the natural logarithm of the odds that the target fails more of its
 * requests than the old version; 0 if nothing is known, negative if the counts
 * speak for the target. Weighed against a good version are those that fail
 * least tenths or more of the answers that it would not, 1 to ODDS_TENTHS: a
 * version that fails few more is told from a good one only by many requests.
 */
double odds_against(const odds_t *o, const req_stats_t *old,
		    const req_stats_t *target, unsigned int least)
{
	double old_failed = (double)old->v[M_FAILURES];
	double old_passed = MAX((double)old->v[M_REQUESTS] - old_failed, 0);
	double failed = (double)target->v[M_FAILURES];
	double passed = MAX((double)target->v[M_REQUESTS] - failed, 0);
	double good[USUAL];
	double bad[USUAL * ODDS_TENTHS];
	size_t n = 0;

	for (size_t i = 0; i < USUAL; i++) {
		double usual = o->weight[i] + old_failed * o->fail[i] +
			       old_passed * o->pass[i];

		good[i] = usual + failed * o->fail[i] + passed * o->pass[i];
		for (size_t k = least - 1; k < ODDS_TENTHS; k++)
			bad[n++] = usual + failed * o->bad_fail[i][k] +
				   passed * o->bad_pass[i][k];
	}
	return sum_of(bad, n) - log((double)n / USUAL) - sum_of(good, USUAL);
}
