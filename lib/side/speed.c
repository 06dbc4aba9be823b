/* Estimates of how long requests take, from those that have ended. */
#include "side/priv.h"

enum {
	ANSWERS_MIN = 8,	 /* answers before an estimate is used */
	WINDOW = 1000,		 /* ms over which work that left is summed */
	DRAIN_DIVISOR = 8,	 /* a window counts so much of the mean */
	WAIT_TIME_MAX = 3600000, /* ms */
};

static void update_mean(double *mean, double value)
{
	if (*mean == 0)
		*mean = value;
	else
		*mean += (value - *mean) / 16;
}

/* Learns from a whole answer. */
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

/* Work has left the waiting list for a place, here or elsewhere. */
void speed_count_left(side_t *s, unsigned int tier, uint64_t work)
{
	s->speed.left_work[tier] += work;
}

/* Learns how fast each tier leaves the list, from windows in which it waits. */
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

/* Time from dispatch to the first token, in ms; 0 while nothing is known. */
ms_t speed_first_token_time(const side_t *s, uint64_t prompt)
{
	const speed_t *v = &s->speed;

	if (v->answers < ANSWERS_MIN || v->prefill_rate <= 0)
		return 0;
	return (ms_t)((double)prompt / v->prefill_rate);
}

/* Time from dispatch to the last token, in ms; 0 while nothing is known. */
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
 * Time until all that waits in the tier and above has left the list, in ms; 0
 * while nothing is known. A tier leaves as fast as the higher ones let it.
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
