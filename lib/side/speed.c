/* Estimates of how long requests take, from those that have ended. */
#include "side/priv.h"

enum {
	SEEN_LEAST = 8,	     /* answers before an estimate is used */
	WINDOW = 1000,	     /* ms over which ended work is summed */
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

	v->ended += j->work;
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

/* Sums up the work ended in the last window, if the place was in use. */
void speed_tick(side_t *s, ms_t now)
{
	speed_t *v = &s->speed;

	if (now - v->window_at < WINDOW)
		return;
	if (v->window_at && v->ended && s->waiting)
		mix(&v->drain, (double)v->ended / (double)(now - v->window_at));
	v->window_at = now;
	v->ended = 0;
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

/* Time until that much work has ended, in ms; 0 while nothing is known. */
ms_t speed_wait_time(const side_t *s, uint64_t work_ahead)
{
	const speed_t *v = &s->speed;

	if (v->drain <= 0)
		return 0;
	return (ms_t)MIN((double)work_ahead / v->drain, WAIT_MOST);
}
