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
	window_add(&p->asked, 1, now);
}

/* Takes one repeated send out of the budget; false when it is used up. */
bool budget_spend(edge_t *e, pool_t *p, ms_t now)
{
	double most = window_sum(&p->asked, now) * e->conf.retry_ratio +
		      e->conf.retry_slack * slack_use / e->hosts;

	if (window_sum(&p->repeats, now) + 1 > most)
		return false;
	window_add(&p->repeats, 1, now);
	return true;
}
