/*
 * The budget for sending a request again. It is a share of the requests that
 * this host took for the service, so the sum over all hosts keeps the share of
 * all requests without a word between them.
 */
#include "edge/priv.h"

static const double slack_use = 0.5; /* the rest is for hosts not listed yet */

/* Counts a request that callers sent for the service. */
void budget_earn(pool_t *p, ms_t now)
{
	window_add(&p->arrivals, 1, now);
}

/* Takes one repeated send out of the budget; false when it is used up. */
bool budget_spend(edge_t *e, pool_t *p, ms_t now)
{
	double most = window_sum(&p->arrivals, now) * e->conf.retry_ratio +
		      e->conf.retry_slack * slack_use / e->nhosts;

	if (window_sum(&p->retries, now) + 1 > most)
		return false;
	window_add(&p->retries, 1, now);
	return true;
}
