/* Estimates how long requests wait and run, from those that have ended. */
#include "side/priv.h"

enum {
	ANSWERS_MIN = 8,   /* answers before an estimate is used */
	WINDOW = 1000,	   /* ms over which departing work is summed */
	DRAIN_DIVISOR = 8, /* a window has 1 / this of the mean's weight */
	WAIT_TIME_MAX = 3600000, /* ms, bound of the estimate */
};

/* Adds a value to a moving average; 0 is one without any value yet. */
static void update_mean(double *mean, double value)
{
	if (*mean == 0)
		*mean = value;
	else
		*mean += (value - *mean) / 16;
}

/* Updates the means from an answer that ended whole. */
void speed_learn(side_t *s, const job_t *j, ms_t now)
{
	speed_t *v = &s->speed;
	ms_t span = now - j->state_since;
	uint64_t tokens = sse_tokens(&j->a.sse);

	if (j->a.status != 200)
		return;
	if (!s->conf.model) {
		capacity_add_answer(&s->capacity, span);
		update_mean(&v->token_gap, (double)MAX(span, 1));
		v->answers++;
		return;
	}
	if (!j->a.sse.events) {
		if (tokens)
			update_mean(&v->token_gap,
				    (double)MAX(span, 1) / (double)tokens);
		v->answers++;
		return;
	}
	if (j->prompt)
		update_mean(&v->prefill_rate,
			    (double)j->prompt /
				    (double)MAX(j->a.first_delay, 1));
	if (j->a.sse.tokens > 1)
		update_mean(&v->token_gap,
			    (double)(j->a.last_at - j->a.first_at) /
				    (double)(j->a.sse.tokens - 1));
	v->answers++;
}

/* Counts work that left the waiting list, granted here or elsewhere. */
void speed_count_left(side_t *s, unsigned int tier, uint64_t work)
{
	s->speed.left_work[tier] += work;
}

/* Updates the drain rate of each tier from windows in which jobs wait in it. */
void speed_tick(side_t *s, ms_t now)
{
	speed_t *v = &s->speed;
	double span = (double)(now - v->window_start);

	if (now - v->window_start < WINDOW)
		return;
	for (int i = 0; i < TIER_COUNT; i++) {
		double rate = (double)v->left_work[i] / span;

		if (v->drain_rate[i] == 0)
			v->drain_rate[i] = rate;
		else if (s->tiers[i].len > 0)
			v->drain_rate[i] +=
				(rate - v->drain_rate[i]) / DRAIN_DIVISOR;
		v->left_work[i] = 0;
	}
	v->window_start = now;
}

/* Estimates the ms from dispatch to the first token; 0 while unknown. */
ms_t speed_first_token_time(const side_t *s, uint64_t prompt)
{
	const speed_t *v = &s->speed;

	if (v->answers < ANSWERS_MIN || v->prefill_rate <= 0)
		return 0;
	return (ms_t)((double)prompt / v->prefill_rate);
}

/* Estimates the ms from dispatch to the last token; 0 while unknown. */
ms_t speed_run_time(const side_t *s, uint64_t prompt, uint64_t output)
{
	const speed_t *v = &s->speed;
	double t = 0;

	if (v->answers < ANSWERS_MIN)
		return 0;
	if (!s->conf.model)
		return (ms_t)v->token_gap;
	if (v->prefill_rate > 0)
		t += (double)prompt / v->prefill_rate;
	return (ms_t)(t + (double)output * v->token_gap);
}

/*
 * Estimates the ms until all that waits in the tier and above has left the
 * list; 0 while unknown. The drain rate of a tier includes the delay by higher
 * ones.
 */
ms_t speed_wait_time(const side_t *s, unsigned int tier)
{
	double t = 0;

	for (unsigned int i = 0; i <= tier; i++) {
		if (s->speed.drain_rate[i] > 0)
			t += (double)s->tiers[i].work / s->speed.drain_rate[i];
	}
	return (ms_t)MIN(t, WAIT_TIME_MAX);
}
