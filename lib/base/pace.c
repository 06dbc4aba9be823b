/* Token buckets that keep requests to a rate. */
#include "base/fns.h"

enum {
	BURST_MS = 1000, /* this much time's requests pass at once */
	/*
	 * Thousandths of a request a second. A server with a lower limit is
	 * still sent a request now and then: only its answers tell that the
	 * limit has ended.
	 */
	LIMIT_MIN = 250,
};

/* Returns the rate of a server's limit, in requests a second. */
double limit_rate(const server_limit_t *l)
{
	return (double)MAX(l->rate, LIMIT_MIN) / MS_PER_S;
}

/* Whether two limits are the same. */
bool limit_equal(const server_limit_t *a, const server_limit_t *b)
{
	return a->set == b->set && (!a->set || a->rate == b->rate);
}

static double depth(const pace_t *p)
{
	ms_t burst = p->burst ? p->burst : BURST_MS;

	return MAX(p->rate * (double)burst / MS_PER_S, 1);
}

/* Makes an empty bucket, for requests a second. */
void pace_init(pace_t *p, double rate, ms_t now)
{
	*p = (pace_t){ .rate = rate, .filled_at = now };
}

/* Changes the rate from now on. */
void pace_set_rate(pace_t *p, double rate, ms_t now)
{
	pace_ready(p, now);
	p->rate = rate;
	p->level = MIN(p->level, depth(p));
}

/* Makes the bucket full. */
void pace_fill(pace_t *p)
{
	p->level = depth(p);
}

/* Whether a request may be sent now. */
bool pace_ready(pace_t *p, ms_t now)
{
	double passed = (double)MAX(now - p->filled_at, 0) / MS_PER_S;

	p->level = MIN(p->level + p->rate * passed, depth(p));
	p->filled_at = now;
	return p->level >= 1;
}

/* A request is sent. */
void pace_take(pace_t *p)
{
	p->level -= 1;
}

/* A request that was taken was not sent after all. */
void pace_return(pace_t *p)
{
	p->level += 1;
}
