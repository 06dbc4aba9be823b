/* Estimates of how long requests take, from those that have ended. */
#include "side/priv.h"

enum {
	SEEN_LEAST = 8,	     /* answers before an estimate is used */
	WINDOW = 1000,	     /* ms over which work that left is summed */
	DRAIN_PART = 8,	     /* a window counts so much of the mean */
	WAIT_MOST = 3600000, /* ms */
};

static void mix(double *mean, double value)
{
	if (*mean == 0)
		*mean = value;
	else
		*mean += (value - *mean) / 16;
}

/* Learns from a whole answer. */
void speed_ended(side_t *s, const job_t *j, ms_t now)
{
	speed_t *v = &s->speed;
	ms_t span = now - j->since;
	uint64_t tokens = sse_tokens(&j->a.scan);

	if (j->a.status != 200)
		return;
	if (!s->conf.model) {
		place_answered(&s->place, span);
		mix(&v->gap, (double)MAX(span, 1));
		v->seen++;
		return;
	}
	if (!j->a.scan.events) {
		if (tokens)
			mix(&v->gap, (double)MAX(span, 1) / (double)tokens);
		v->seen++;
		return;
	}
	if (j->prompt)
		mix(&v->prefill,
		    (double)j->prompt / (double)MAX(j->a.first, 1));
	if (j->a.scan.tokens > 1)
		mix(&v->gap, (double)(j->a.last_at - j->a.first_at) /
				     (double)(j->a.scan.tokens - 1));
	v->seen++;
}

/* Work has left the waiting list for a place, here or elsewhere. */
void speed_left(side_t *s, unsigned int tier, uint64_t work)
{
	s->speed.left[tier] += work;
}

/* Learns how fast each tier leaves the list, from windows in which it waits. */
void speed_tick(side_t *s, ms_t now)
{
	speed_t *v = &s->speed;
	double span = (double)(now - v->window_at);

	if (now - v->window_at < WINDOW)
		return;
	for (int i = 0; i < TIER_COUNT; i++) {
		double rate = (double)v->left[i] / span;

		if (v->drain[i] == 0)
			v->drain[i] = rate;
		else if (s->tiers[i].len > 0)
			v->drain[i] += (rate - v->drain[i]) / DRAIN_PART;
		v->left[i] = 0;
	}
	v->window_at = now;
}

/* Time from dispatch to the first token, in ms; 0 while nothing is known. */
ms_t speed_first_time(const side_t *s, uint64_t prompt)
{
	const speed_t *v = &s->speed;

	if (v->seen < SEEN_LEAST || v->prefill <= 0)
		return 0;
	return (ms_t)((double)prompt / v->prefill);
}

/* Time from dispatch to the last token, in ms; 0 while nothing is known. */
ms_t speed_run_time(const side_t *s, uint64_t prompt, uint64_t output)
{
	const speed_t *v = &s->speed;
	double t = 0;

	if (v->seen < SEEN_LEAST)
		return 0;
	if (!s->conf.model)
		return (ms_t)v->gap;
	if (v->prefill > 0)
		t += (double)prompt / v->prefill;
	return (ms_t)(t + (double)output * v->gap);
}

/*
 * Time until all that waits in the tier and above has left the list, in ms; 0
 * while nothing is known. A tier leaves as fast as the higher ones let it.
 */
ms_t speed_wait_time(const side_t *s, unsigned int tier)
{
	double t = 0;

	for (unsigned int i = 0; i <= tier; i++) {
		if (s->speed.drain[i] > 0)
			t += (double)s->tiers[i].work / s->speed.drain[i];
	}
	return (ms_t)MIN(t, WAIT_MOST);
}
