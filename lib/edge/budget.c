/*
 * Retry budget. Retries are limited to a ratio of the requests that this host
 * took for the service, so the limit holds over all hosts without communication
 * between them.
 */
#include "edge/priv.h"

/* The rest of the slack is for hosts not listed yet */
static const double slack_use = 0.5;

/* Counts a request that callers sent for the service. */
void budget_earn(pool_t *p, ms_t now)
{
	window_add(&p->arrivals, 1, now);
}

/* Takes one retry out of the budget; returns false if it is used up. */
bool budget_spend(edge_t *e, pool_t *p, ms_t now)
{
	double limit = window_sum(&p->arrivals, now) * e->conf.retry_ratio +
		       e->conf.retry_slack * slack_use / e->nhosts;

	if (window_sum(&p->retries, now) + 1 > limit)
		return false;
	window_add(&p->retries, 1, now);
	return true;
}
