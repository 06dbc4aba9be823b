/*
 * Token buckets over shares of a customer's limit.
 *
 * In a window of length W a customer may use rate W + burst + EXCESS, where
 * EXCESS = tolerance (rate W + burst) + slack. A bucket whose share is s is
 * filled with s (rate + FILL EXCESS / W) a second, and holds at most
 * s (burst + CREDIT EXCESS). So in any window it grants at most
 *
 *	s (rate W + burst + (FILL + CREDIT) EXCESS)
 *
 * A bucket that gains share gets nothing to hold with it, and one that loses
 * share loses what no longer fits. So what all buckets of a customer hold
 * together grows only by filling, and buckets whose shares add up to one grant
 * no more than one bucket of share one, however often the shares move between
 * them.
 *
 * A bucket starts empty, as all that went before may have been used. When its
 * process or all its hosts have just started it holds s START EXCESS, which
 * nothing else uses. FILL + CREDIT + 2 START is below one, so a window holds
 * with two such starts in it. The rest covers clocks that differ in speed.
 *
 * A customer that uses all it gets never fills its bucket. When the bucket has
 * held at most its credit and LOW burst for a window, what it could hold beyond
 * that is filled in instead, until it is that full. In any window then it
 * grants at most
 *
 *	s (LOW burst + CREDIT EXCESS) +
 *	s (rate W + FILL EXCESS + (1 - LOW) burst)
 *
 * which is the same sum.
 *
 * A request is granted while the bucket holds more than its credit, whatever
 * the size of the request, so that large requests get their turn beside small
 * ones. The credit makes up for what is missing; cheap requests may use it too.
 */
#include <math.h>
#include "quota/fns.h"

enum {
	RETRY_FLOOR_MS = 100, /* a shorter pause would only add load */
	/* Callers cap the pause that they accept well below it */
	RETRY_CEIL_MS = 2000,
};

/* Parts of the excess: what is filled in over a window, beyond the rate */
static const double fill_part = 0.55;
/* What is held beyond the burst */
static const double credit_part = 0.2;
/* What is held at a start */
static const double start_part = 0.1;
/*
 * Part of the burst: cheaper requests are cheap, as they cost other requests
 * next to nothing
 */
static const double cheap_cost = 0.005;
/* Part of the burst that a bucket which is low may hold */
static const double low_part = 0.2;
/* Part of the burst kept per priority that a route is below the highest */
static const double priority_reserve = 0.06;

/* Returns by how much a customer's use in a window may exceed its limit. */
static double excess(const quota_limit_t *l, const quota_bounds_t *q)
{
	double window = (double)q->window / MS_PER_S;

	return q->tolerance * (l->rate * window + l->burst) + q->slack;
}

/* Whether the bucket has been low for a window. */
static bool is_low(const bucket_t *b, const quota_bounds_t *q, ms_t now)
{
	return now - b->high_at >= q->window;
}

/* Returns the rate at which the bucket fills, per second. */
static double fill_rate(const bucket_t *b, const quota_limit_t *l,
			const quota_bounds_t *q, ms_t now)
{
	double more = fill_part * excess(l, q);

	if (is_low(b, q, now))
		more += (1 - low_part) * l->burst;
	return b->share * (l->rate + more * MS_PER_S / (double)q->window);
}

/* Returns what the bucket holds for requests larger than what is left. */
static double credit(const bucket_t *b, const quota_limit_t *l,
		     const quota_bounds_t *q)
{
	return b->share * credit_part * excess(l, q);
}

/* Returns what the bucket can hold. */
static double depth(const bucket_t *b, const quota_limit_t *l,
		    const quota_bounds_t *q)
{
	return b->share * l->burst + credit(b, l, q);
}

/* Returns what a bucket that is low holds at most. */
static double low_level(const bucket_t *b, const quota_limit_t *l,
			const quota_bounds_t *q)
{
	return b->share * low_part * l->burst + credit(b, l, q);
}

static void fill(bucket_t *b, const quota_limit_t *l, const quota_bounds_t *q,
		 ms_t now)
{
	double passed = (double)MAX(now - b->filled_at, 0) / MS_PER_S;
	double more = fill_rate(b, l, q, b->filled_at) * passed;
	double low = low_level(b, l, q);
	bool was_low = is_low(b, q, b->filled_at);

	b->level = MIN(b->level + more, was_low ? low : depth(b, l, q));
	if (b->level >= low)
		b->high_at = now;
	b->promised = MAX(b->promised - more, 0);
	b->filled_at = now;
}

/* Makes an empty bucket without a share. */
void bucket_init(bucket_t *b, ms_t now)
{
	*b = (bucket_t){ .filled_at = now, .high_at = now };
}

/* Sets the share that the bucket has from now on. */
void bucket_set_share(bucket_t *b, const quota_limit_t *l,
		      const quota_bounds_t *q, double share, ms_t now)
{
	fill(b, l, q, now);
	if (share != b->share)
		b->high_at = now;
	b->share = share;
	b->level = MIN(b->level, depth(b, l, q));
}

/*
 * Adds what a bucket holds at a start, when the customer's former servers have
 * ended with all they knew.
 */
void bucket_add_start(bucket_t *b, const quota_limit_t *l,
		      const quota_bounds_t *q, double share)
{
	b->level += share * start_part * excess(l, q);
	b->level = MIN(b->level, depth(b, l, q));
}

/* Returns the level that a request of that cost needs. */
static double needed(const bucket_t *b, const quota_limit_t *l,
		     const quota_bounds_t *q, double cost,
		     unsigned int priority)
{
	double reserve = b->share * l->burst * priority_reserve *
			 (priority % ROUTE_PRIORITIES);

	if (cost < l->burst * cheap_cost)
		return cost;
	return MAX(credit(b, l, q) + reserve, cost);
}

/*
 * Returns when a caller that is refused should retry, in ms. Each is given the
 * time when the bucket has filled for all that were refused before as well: all
 * told the same time would come together, and most be refused again.
 */
static ms_t promise(bucket_t *b, const quota_limit_t *l,
		    const quota_bounds_t *q, double missing, double cost)
{
	double rate = fill_rate(b, l, q, b->filled_at);
	double wait = RETRY_CEIL_MS;

	if (rate > 0)
		wait = (missing + b->promised) * MS_PER_S / rate;
	if (wait >= RETRY_CEIL_MS)
		return RETRY_CEIL_MS;
	b->promised += cost;
	return MAX((ms_t)wait, RETRY_FLOOR_MS);
}

/*
 * Takes the cost of a request from the bucket, or returns when to retry. A
 * request larger than burst and credit together is never granted.
 */
quota_answer_t bucket_take(bucket_t *b, const quota_limit_t *l,
			   const quota_bounds_t *q, double cost,
			   unsigned int priority, ms_t now)
{
	double missing;

	fill(b, l, q, now);
	missing = needed(b, l, q, cost, priority) - b->level;
	if (missing > 0 || b->share <= 0)
		return (quota_answer_t){ .retry_after = promise(
						 b, l, q, missing, cost) };
	b->level -= cost;
	return (quota_answer_t){ .granted = true };
}

/* Returns what a customer may use in a window by its limit and the bounds. */
double quota_window_max(const quota_limit_t *l, const quota_bounds_t *q)
{
	double window = (double)q->window / MS_PER_S;

	return l->rate * window + l->burst + excess(l, q);
}
