/*
 * How long a server takes to the first event, learned from answers. Servers
 * are unlike, so each has its own straight line over the prompt's length.
 */
#include "edge/priv.h"

static const double fade = 0.97;	 /* a sample counts for about 30 more */
static const double token_weight = 0.05; /* of one run in the mean */
static const double far_off = 3; /* times what a caller expects of its output */
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
double fit_guess(const fit_t *f, double tokens, double otherwise)
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
double cost_first(const pool_t *p, const backend_t *b, double prompt)
{
	return fit_guess(&b->fit, prompt, p->first_mean);
}

/* Learns from a whole stream how long a token of output takes there. */
void cost_note(backend_t *b, const request_t *r, ms_t now)
{
	pool_t *p = b->pool;
	double ms;

	if (!r->route->stream || r->output <= 0 || !r->first_here)
		return;
	ms = (double)(now - r->first_at) / r->output;
	p->token_ms += token_weight * (ms - p->token_ms);
	if (b->token_ms <= 0)
		b->token_ms = p->token_ms;
	b->token_ms += token_weight * (ms - b->token_ms);
}

/*
 * By how much the request would outlast its time there, in ms; 0 when it fits.
 * What callers expect of the output is right at the median and often far off,
 * so a run is taken to be several times as long.
 */
double cost_late(const backend_t *b, const request_t *r, double first, ms_t now)
{
	double token_ms = b->token_ms > 0 ? b->token_ms : b->pool->token_ms;
	double run = first + token_ms * r->output * far_off;

	return MAX(run - (double)(r->deadline - now), 0);
}
