/* The load: kinds, sizes and bursts, and what the engines can carry of it. */
#include <math.h>
#include "fns.h"

enum {
	BURST_PERIOD = 10000, /* ms from one burst to the next */
	BURST_SPAN = 2500,    /* ms */
	BURSTING_PART = 5,    /* one in so many hosts, with uneven callers */
	OUTPUT_MAX = 1200,    /* tokens */
	DOCUMENTS = 40,	      /* that prompts share */
	FIRST_CONTENT = 1 << 20,
};

static const double burst = 1.8;  /* times the mean rate */
static const double spread = 1.0; /* of the logarithm of the output */
static const double hint_off =
	0.5; /* of the logarithm of what callers expect */

const kind_t kinds[KINDS] = {
	{ "lesson", 0.41, 3720, 120, 600, 8000 },
	{ "hint", 0.19, 2890, 54, 500, 5000 },
	{ "chat", 0.40, 1110, 174, 500, 10000 },
};

/* Published figures of kockarna-hinge: a step, a prompt token, the places. */
#define ENGINE(x)                                                              \
	{                                                                      \
		.speed = (x), .step_ms = 3.41, .decode_ms = 0.097,             \
		.prefill_ms = 1.0 / 112, .chunk = 2048, .batch = 6,            \
		.memory = 849668, .cache = 0, .flush = 6                       \
	}

static const engine_conf_t engine_confs[] = { ENGINE(1.0), ENGINE(1.0),
					      ENGINE(1.0), ENGINE(0.25) };

/* Returns what an engine is like: one in four is slow. */
const engine_conf_t *load_engine(unsigned int number)
{
	return &engine_confs[number % G_N_ELEMENTS(engine_confs)];
}

/* Engine's ms for a request of the mean size, with all places taken. */
static double cost(const engine_conf_t *g, const kind_t *k)
{
	double step = g->step_ms / g->batch + g->decode_ms;

	return (k->prompt * g->prefill_ms + k->output * step) / g->speed;
}

/* Requests a second that all engines carry with all places taken. */
double load_capacity(unsigned int engines)
{
	double sum = 0;

	for (unsigned int i = 0; i < engines; i++) {
		double ms = 0;

		for (int k = 0; k < KINDS; k++)
			ms += kinds[k].part * cost(load_engine(i), &kinds[k]);
		sum += MS_PER_S / ms;
	}
	return sum;
}

/* A value whose logarithm is normal, with that mean. */
static double draw(GRand *rand, double mean, double sigma)
{
	double u = 1 - g_rand_double(rand);
	double v = g_rand_double(rand);
	double z = sqrt(-2 * log(u)) * cos(2 * G_PI * v);

	return mean * exp(sigma * z - sigma * sigma / 2);
}

static unsigned int draw_kind(GRand *rand)
{
	double at = g_rand_double(rand);
	unsigned int k = 0;

	while (k + 1 < KINDS && (at -= kinds[k].part) >= 0)
		k++;
	return k;
}

/* Draws the host that a request comes to. */
static unsigned int draw_host(world_t *w, bool in_burst)
{
	unsigned int hosts = w->play.hosts;

	if (w->play.uneven && in_burst &&
	    g_rand_double(w->rand) < (burst - 1) / burst)
		hosts /= BURSTING_PART;
	return (unsigned int)g_rand_int_range(w->rand, 0, (gint32)hosts);
}

/* Prompts begin with a part of their kind, then one of some documents. */
static void add_parts(item_t *i, unsigned int document, bool bad_part)
{
	i->parts[i->r.nparts++] = 1 + i->kind;
	i->parts[i->r.nparts++] = 0x100 + document;
	if (bad_part)
		i->parts[i->r.nparts++] = POISON;
	i->r.parts = i->parts;
}

static void make(world_t *w, unsigned int kind, bool poison, bool in_burst)
{
	item_t *i = g_new0(item_t, 1);
	const kind_t *k = &kinds[kind];

	i->kind = kind;
	i->host = draw_host(w, in_burst);
	i->output = CLAMP(draw(w->rand, k->output, spread), 1, OUTPUT_MAX);
	i->r.id = "";
	i->r.priority = kind;
	i->r.arrived = w->now;
	i->r.deadline = w->now + k->deadline;
	i->r.give_up_at = i->r.deadline;
	i->r.first_event_by = w->now + k->target;
	i->r.prompt = k->prompt;
	i->r.output = i->output * draw(w->rand, 1, hint_off);
	i->poison = poison;
	i->number = w->items->len;
	i->r.content =
		poison && w->play.repeats ? POISON : FIRST_CONTENT + i->number;
	if (!w->play.plain)
		add_parts(i, i->number % DOCUMENTS, poison && !w->play.repeats);
	g_ptr_array_add(w->items, i);
	world_take(w, i);
}

/* Has the requests of this ms come. */
void load_come(world_t *w, double per_s)
{
	double share = (double)BURST_SPAN / BURST_PERIOD;
	double calm = (1 - burst * share) / (1 - share);
	bool in_burst = w->now % BURST_PERIOD < BURST_SPAN;
	double mean = per_s / MS_PER_S * (in_burst ? burst : calm);
	double u = g_rand_double(w->rand);

	if (w->now >= w->play.span)
		return;
	/* Poisson, by inversion: the mean is a few requests. */
	for (double p = exp(-mean), n = 1; u > p && p > 0; n++) {
		u -= p;
		p *= mean / n;
		make(w, draw_kind(w->rand), false, in_burst);
	}
}

/* Has a bad request come. */
void load_poison(world_t *w)
{
	make(w, 0, true, false);
}
