/*
 * How long a server takes to the first event, learned from answers. Servers
 * are unlike, so each has its own straight line over the prompt's length.
 */
#include "edge/priv.h"

static const double fade = 0.97;	 /* a sample counts for about 30 more */
static const double token_weight = 0.05; /* of one run in the mean */
static const double step_weight = 0.05;	 /* of one gap between events */
static const double sum_fade = 0.99; /* a stream counts for about 100 more */
static const double slowest_fade = 0.9995; /* an event: one that left counts
					      for some seconds more */
static const double far_off = 1.8; /* times what a caller expects of its output:
				      nine in ten runs are no longer */
static const double least_samples = 4; /* before the slope is believed */

/* Adds one measured time to the first event. */
void fit_add(fit_t *f, double tokens, double ms)
{
	f->n = f->n * fade + 1;
	f->x = f->x * fade + tokens;
	f->y = f->y * fade + ms;
	f->xx = f->xx * fade + tokens * tokens;
	f->xy = f->xy * fade + tokens * ms;
}

/*
 * Expected time to the first event in ms; otherwise when nothing was seen.
 * Never less than half of the mean, so that a short prompt isn't thought free.
 */
double fit_estimate(const fit_t *f, double tokens, double otherwise)
{
	double mean;
	double spread;
	double slope = 0;

	if (f->n < 0.5)
		return otherwise;
	mean = f->y / f->n;
	spread = f->xx - f->x * f->x / f->n;
	if (f->n >= least_samples && spread > 1)
		slope = MAX((f->xy - f->x * f->y / f->n) / spread, 0);
	return MAX(mean + slope * (tokens - f->x / f->n), mean / 2);
}

/* Expected time to the first event of a request at a server, in ms. */
double estimate_first_event(const pool_t *p, const backend_t *b, double prompt)
{
	return fit_estimate(&b->fit, prompt, p->first_event_mean);
}

/*
 * Learns from a gap between two events. Gaps come from every run, whole runs
 * only from those that were short enough: a slow server would seem fast.
 */
void estimate_add_gap(backend_t *b, double ms)
{
	double weight;

	b->gap_samples++;
	weight = MAX(step_weight, 1.0 / b->gap_samples);
	b->gap_ms += weight * (ms - b->gap_ms);
	if (b->gap_samples >= least_samples)
		b->pool->slowest_token_ms =
			MAX(b->pool->slowest_token_ms * slowest_fade,
			    estimate_token_ms(b));
}

/*
 * Expected ms for a token of output there; 0 when nothing is known. A server
 * that this host hardly knows is taken for as slow as the slowest, so that
 * long runs go to those that are known to be fast.
 */
double estimate_token_ms(const backend_t *b)
{
	const pool_t *p = b->pool;

	if (b->gap_samples >= least_samples && p->tokens > 0 && p->events > 0)
		return b->gap_ms * p->events / p->tokens;
	if (p->slowest_token_ms > 0)
		return p->slowest_token_ms;
	return b->token_ms > 0 ? b->token_ms : p->token_ms;
}

/* Learns from a whole stream how long a token of output takes there. */
void estimate_add_stream(backend_t *b, const request_t *r, ms_t now)
{
	pool_t *p = b->pool;
	double ms;

	if (!r->route->stream || r->output <= 0 || !r->responded)
		return;
	p->tokens = p->tokens * sum_fade + r->output;
	p->events = p->events * sum_fade + r->events;
	ms = (double)(now - r->first_at) / r->output;
	p->token_ms += token_weight * (ms - p->token_ms);
	if (b->token_ms <= 0)
		b->token_ms = p->token_ms;
	b->token_ms += token_weight * (ms - b->token_ms);
}

/*
 * By how much the request would outlast its time there, in ms; 0 when it fits.
 * What callers expect of the output is right at the median and often off, so a
 * run is taken to be longer.
 */
double estimate_overrun(const backend_t *b, const request_t *r, double first,
			ms_t now)
{
	double run = first + estimate_token_ms(b) * r->output * far_off;

	return MAX(run - (double)(r->deadline - now), 0);
}
