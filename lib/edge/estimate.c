/*
 * Estimates of latency, learned from answers. Servers differ, so each has its
 * own least-squares line of the first event latency over the prompt's length.
 */
#include "edge/priv.h"

static const double decay = 0.97; /* decay per sample: a memory of about 30 */
static const double token_weight = 0.05; /* weight of one stream in the mean */
static const double gap_weight = 0.05;	 /* weight of one gap in the mean */
/* Decay per stream: a memory of about 100 */
static const double sum_decay = 0.99;
/* Decay per event: a server that left counts for some seconds more */
static const double slowest_decay = 0.9995;
/* Factor on the expected output length: nine in ten streams are no longer */
static const double output_margin = 1.8;
static const double min_samples = 4; /* before a slope or a mean gap is used */

/* Adds one measured first event latency. */
void fit_add(fit_t *f, double tokens, double ms)
{
	f->n = f->n * decay + 1;
	f->x = f->x * decay + tokens;
	f->y = f->y * decay + ms;
	f->xx = f->xx * decay + tokens * tokens;
	f->xy = f->xy * decay + tokens * ms;
}

/*
 * Returns the expected first event latency in ms; otherwise, if there are no
 * samples. At least half of the mean, so that a short prompt is not taken to be
 * free.
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
	if (f->n >= min_samples && spread > 1)
		slope = MAX((f->xy - f->x * f->y / f->n) / spread, 0);
	return MAX(mean + slope * (tokens - f->x / f->n), mean / 2);
}

/* Returns the expected first event latency of a request at a server, in ms. */
double estimate_first_event(const pool_t *p, const backend_t *b, double prompt)
{
	return fit_estimate(&b->fit, prompt, p->first_event_mean);
}

/*
 * Adds a gap between two events. Gaps are measured in every stream, the ms per
 * token only in streams that end before their deadline: judged by those alone,
 * a slow server would seem fast.
 */
void estimate_add_gap(backend_t *b, double ms)
{
	double weight;

	b->gap_samples++;
	weight = MAX(gap_weight, 1.0 / b->gap_samples);
	b->gap_ms += weight * (ms - b->gap_ms);
	if (b->gap_samples >= min_samples)
		b->pool->slowest_token_ms =
			MAX(b->pool->slowest_token_ms * slowest_decay,
			    estimate_token_ms(b));
}

/*
 * Returns the expected ms per output token there; 0: unknown. A server with few
 * samples is taken to be as slow as the slowest one, so that long streams go to
 * servers known to be fast.
 */
double estimate_token_ms(const backend_t *b)
{
	const pool_t *p = b->pool;

	if (b->gap_samples >= min_samples && p->tokens > 0 && p->events > 0)
		return b->gap_ms * p->events / p->tokens;
	if (p->slowest_token_ms > 0)
		return p->slowest_token_ms;
	return b->token_ms > 0 ? b->token_ms : p->token_ms;
}

/* Adds the ms per output token of a complete stream. */
void estimate_add_stream(backend_t *b, const request_t *r, ms_t now)
{
	pool_t *p = b->pool;
	double ms;

	if (!r->route->stream || r->output <= 0 || !r->responded)
		return;
	p->tokens = p->tokens * sum_decay + r->output;
	p->events = p->events * sum_decay + r->events;
	ms = (double)(now - r->first_at) / r->output;
	p->token_ms += token_weight * (ms - p->token_ms);
	if (b->token_ms <= 0)
		b->token_ms = p->token_ms;
	b->token_ms += token_weight * (ms - b->token_ms);
}

/*
 * Returns by how much the request would exceed its deadline there, in ms; 0:
 * not at all. Callers' estimates of the output length are right at the median
 * but vary, so the output is taken to be longer.
 */
double estimate_overrun(const backend_t *b, const request_t *r, double first,
			ms_t now)
{
	double run = first + estimate_token_ms(b) * r->output * output_margin;

	return MAX(run - (double)(r->deadline - now), 0);
}
