/* Makes the workload, and works out what an engine can carry of it. */
#include <math.h>
#include "rig/work.h"

enum {
	BURST_PERIOD = 10000, /* ms from one burst to the next */
	BURST_SPAN = 2000,    /* ms */
	PREFIX_LEAST = 200,   /* tokens */
	PREFIX_MOST = 1000,   /* tokens */
};

static const double burst = 1.8; /* times the mean rate */

/* A kind of request: how many of a hundred, and its ranges of tokens. */
typedef struct kind {
	int percent;
	int prompt[2]; /* after the prefix */
	int output[2];
} kind_t;

static const kind_t kinds[] = {
	{ 60, { 20, 200 }, { 8, 60 } },
	{ 30, { 200, 800 }, { 100, 300 } },
	{ 10, { 1000, 3000 }, { 400, 800 } },
};

static const int tier_percent[TIER_COUNT] = { 15, 25, 30, 30 };
static const int customer_percent[] = { 45, 30, 15, 6, 4 };

/* Draws an index by weights that add up to 100. */
static unsigned int draw(GRand *rand, const int *percent, unsigned int n)
{
	int at = g_rand_int_range(rand, 0, 100);
	unsigned int i;

	for (i = 0; i + 1 < n; i++) {
		at -= percent[i];
		if (at < 0)
			break;
	}
	return i;
}

static const kind_t *draw_kind(GRand *rand)
{
	int percent[G_N_ELEMENTS(kinds)];

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		percent[i] = kinds[i].percent;
	return &kinds[draw(rand, percent, G_N_ELEMENTS(kinds))];
}

/* A prefix by Zipf's law over their numbers, from 1. */
static uint64_t draw_prefix(GRand *rand, unsigned int n)
{
	return (uint64_t)exp(g_rand_double(rand) * log((double)n + 1));
}

static uint64_t prefix_len(uint64_t prefix)
{
	return PREFIX_LEAST + hash64(&prefix, sizeof(prefix), 0) %
				      (PREFIX_MOST - PREFIX_LEAST);
}

static rig_request_t draw_request(GRand *rand, const work_conf_t *c)
{
	const kind_t *k = draw_kind(rand);
	rig_request_t r = { .deadline = c->deadline };

	r.tier = (int)draw(rand, tier_percent, TIER_COUNT);
	r.customer =
		draw(rand, customer_percent, G_N_ELEMENTS(customer_percent));
	r.entry = (unsigned int)g_rand_int_range(rand, 0, (int)c->entries);
	r.prefix = draw_prefix(rand, c->prefixes);
	r.prefix_len = prefix_len(r.prefix);
	r.prompt = r.prefix_len +
		   (uint64_t)g_rand_int_range(rand, k->prompt[0], k->prompt[1]);
	r.output = (uint64_t)g_rand_int_range(rand, k->output[0], k->output[1]);
	return r;
}

/* Requests a millisecond at that time; its mean over a period is per_s. */
static double rate_at(const work_conf_t *c, ms_t t)
{
	double share = (double)BURST_SPAN / BURST_PERIOD;
	double calm = (1 - burst * share) / (1 - share);
	bool in_burst = t % BURST_PERIOD < BURST_SPAN;

	return c->per_s / 1000 * (in_burst ? burst : calm);
}

/* Draws all arrivals of a span. */
GArray *work_new(const work_conf_t *c)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	GRand *rand = g_rand_new_with_seed((guint32)c->seed);
	double t = 0;

	while (t < (double)c->span) {
		arrival_t a;
		double u = 1 - g_rand_double(rand);

		t += -log(u) / rate_at(c, (ms_t)t);
		a.at = (ms_t)t;
		a.like = draw_request(rand, c);
		g_array_append_val(all, a);
	}
	g_rand_free(rand);
	return all;
}

static double mean(const int range[2])
{
	return (range[0] + range[1]) / 2.0;
}

/*
 * Requests a second that the engine can carry with that time between tokens,
 * were every prefix in its cache.
 */
double work_capacity(const engine_conf_t *g, double gap_ms)
{
	double output = 0;
	double prompt = 0;
	double each;
	double n;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		output += kinds[i].percent / 100.0 * mean(kinds[i].output);
		prompt += kinds[i].percent / 100.0 * mean(kinds[i].prompt);
	}
	each = g->decode_ms + prompt / output * g->prefill_ms;
	n = (gap_ms * g->speed - g->step_ms) / each;
	n = CLAMP(n, 1, g->batch);
	return n / output * 1000 * g->speed / (g->step_ms + n * each);
}
