/*
 * Refusing early. A request that would wait until its caller leaves is told
 * so at once, and when a place is expected; so callers neither wait in vain
 * nor come back all together.
 */
#include "edge/priv.h"

enum {
	AFTER_LEAST_MS = 100, /* a shorter pause only adds load */
	AFTER_MOST_MS = 2500, /* callers wait a third of their time at most */
	LEAST_SENT = 4,	 /* with fewer, as after a start, no rate is known */
	LEAST_AHEAD = 4, /* fewer say little about a wait */
	RATE_SPAN_MS = 2000,	/* as the window of sent requests */
	AFTER_UNKNOWN_MS = 400, /* with no rate to go by */
};

static const double spread = 0.5; /* of the pause, so that few come together */

/* Requests of any rank that were sent lately. */
static double sent_at_all(pool_t *p, ms_t now)
{
	double sum = 0;

	for (int i = 0; i < RANKS; i++)
		sum += window_sum(&p->dispatched[i], now);
	return sum;
}

/*
 * Expected wait for a place, in ms; 0 when the rate is not known. What goes
 * first of other ranks shows in how many of this rank were sent lately.
 */
static double expected_wait(pool_t *p, const request_t *r, ms_t now)
{
	unsigned int ahead = queue_same_priority(p, r);
	double sent =
		window_sum(&p->dispatched[MIN(r->priority, RANKS - 1)], now);

	if (ahead < LEAST_AHEAD || sent_at_all(p, now) < LEAST_SENT)
		return 0;
	return ahead * (double)RATE_SPAN_MS / MAX(sent, 1);
}

/* When a refused caller should come back, in ms from now. */
ms_t admission_retry_after(edge_t *e, pool_t *p, const request_t *r, ms_t now)
{
	double wait = expected_wait(p, r, now);

	if (wait <= 0)
		wait = AFTER_UNKNOWN_MS;
	wait *= 1 + spread * (g_rand_double(e->rand) - 0.5);
	return CLAMP((ms_t)wait, AFTER_LEAST_MS, AFTER_MOST_MS);
}

/* Whether a request that has just come would get its place too late. */
bool admission_too_late(pool_t *p, const request_t *r, ms_t now)
{
	ms_t until = MIN(r->deadline, r->give_up_at);
	double wait = expected_wait(p, r, now);

	return (double)now + wait + p->first_event_mean > (double)until;
}
