/*
 * Admission. A request that would get no slot before its deadline is refused at
 * once, with the time when a slot is expected, so that callers neither wait in
 * vain nor all retry together.
 */
#include "edge/priv.h"

enum {
	RETRY_AFTER_MIN_MS = 100, /* a shorter pause would only add load */
	/* Callers pause for at most a third of their deadline before a retry */
	RETRY_AFTER_MAX_MS = 2500,
	/* With fewer attempts, as after a start, the rate is unknown */
	MIN_SENT = 4,
	MIN_QUEUE = 4, /* with a shorter queue no wait is predicted */
	/* Length of the window of first attempts (fleet.c) */
	RATE_WINDOW_MS = 2000,
	RETRY_AFTER_DEFAULT_MS = 400, /* if the rate is unknown */
};

static const double jitter = 0.5; /* random part of the pause, so that callers
				     do not retry together */

/* Returns the recent first attempts of all priorities. */
static double sent_lately(pool_t *p, ms_t now)
{
	double sum = 0;

	for (int i = 0; i < PRIORITIES; i++)
		sum += window_sum(&p->dispatched[i], now);
	return sum;
}

/*
 * Returns the expected wait for a slot, in ms; 0: unknown. The rate is that of
 * the request's own priority, which includes the effect of higher ones.
 */
static double expected_wait(pool_t *p, const request_t *r, ms_t now)
{
	unsigned int ahead = queue_same_priority(p, r);
	double sent = window_sum(
		&p->dispatched[MIN(r->priority, PRIORITIES - 1)], now);

	if (ahead < MIN_QUEUE || sent_lately(p, now) < MIN_SENT)
		return 0;
	return ahead * (double)RATE_WINDOW_MS / MAX(sent, 1);
}

/* Returns when a refused caller should retry, in ms from now. */
ms_t admission_retry_after(edge_t *e, pool_t *p, const request_t *r, ms_t now)
{
	ms_t paused_until = word_all_paused(p, now);
	double wait = expected_wait(p, r, now);

	if (wait <= 0)
		wait = RETRY_AFTER_DEFAULT_MS;
	if (paused_until > 0)
		return paused_until - now +
		       (ms_t)(wait * jitter * g_rand_double(e->rand));
	wait *= 1 + jitter * (g_rand_double(e->rand) - 0.5);
	return CLAMP((ms_t)wait, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* Whether a new request would get its slot too late to meet its deadline. */
bool admission_too_late(pool_t *p, const request_t *r, ms_t now)
{
	ms_t until = MIN(r->deadline, r->give_up_at);
	ms_t paused_until = word_all_paused(p, now);
	double wait = expected_wait(p, r, now);

	if (paused_until > 0)
		wait = MAX(wait, (double)(paused_until - now));
	return (double)now + wait + p->first_event_mean > (double)until;
}
