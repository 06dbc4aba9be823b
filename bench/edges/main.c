/* edges [-p FILE]: a table of goodput by kind, load and way of placing. */
#include <stdlib.h>
#include "fns.h"

enum {
	SEED = 7,
};

static const double loads[] = { 0.5, 0.7, 0.85, 1.0, 1.25, 1.5, 2.0 };

static double percent(unsigned int part, unsigned int of)
{
	return of ? 100.0 * part / of : 0;
}

static double goodput(const result_t *r)
{
	unsigned int good = 0;
	unsigned int asked = 0;

	for (int k = 0; k < KINDS; k++) {
		good += r->kinds[k].in_time;
		asked += r->kinds[k].asked;
	}
	return percent(good, asked);
}

static double served(const result_t *r)
{
	unsigned int whole = 0;
	unsigned int asked = 0;

	for (int k = 0; k < KINDS; k++) {
		whole += r->kinds[k].whole;
		asked += r->kinds[k].asked;
	}
	return percent(whole, asked);
}

static void print_row(double load, way_t way, const result_t *r)
{
	printf("%4.2f %-12s", load, way_name(way));
	for (int k = 0; k < KINDS; k++)
		printf(" %6.2f",
		       percent(r->kinds[k].in_time, r->kinds[k].asked));
	printf(" %6.2f %6.2f\n", goodput(r), served(r));
	fflush(stdout);
}

static void bound(const char *name, double load, double value, double target)
{
	printf("bound %s-at-%.2f %.2f %.2f %s\n", name, load, value, target,
	       value >= target ? "ok" : "MISSED");
}

/*
 * Against the baselines: keepers must bring more callers their answer in time,
 * the most urgent kind above all, and a kind must not be served less than a
 * quarter as often as all.
 */
static void print_bounds(double load, const result_t *r)
{
	const got_t *urgent = &r[WAY_KEEPERS].kinds[0];
	const got_t *last = &r[WAY_KEEPERS].kinds[KINDS - 1];

	for (int w = WAY_LEAST_LOAD; w < WAYS; w++) {
		char name[64];

		g_snprintf(name, sizeof(name), "edges-in-time-percent-over-%s",
			   way_name((way_t)w));
		bound(name, load, goodput(&r[WAY_KEEPERS]), goodput(&r[w]));
		g_snprintf(name, sizeof(name), "edges-urgent-percent-over-%s",
			   way_name((way_t)w));
		bound(name, load, percent(urgent->in_time, urgent->asked),
		      percent(r[w].kinds[0].in_time, r[w].kinds[0].asked));
	}
	bound("edges-least-urgent-served-percent", load,
	      percent(last->whole, last->asked), served(&r[WAY_KEEPERS]) / 4);
}

int main(int argc, char **argv)
{
	static double plotted[WAYS][16];

	log_open(2, LOG_ERROR, false);
	printf("load way          %6s %6s %6s %6s %6s\n", kinds[0].name,
	       kinds[1].name, kinds[2].name, "all", "whole");
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		result_t r[WAYS];

		for (int w = 0; w < WAYS; w++) {
			r[w] = world_play((way_t)w, loads[i], SEED);
			print_row(loads[i], (way_t)w, &r[w]);
			plotted[w][i] = goodput(&r[w]);
		}
		if (loads[i] >= 0.85)
			print_bounds(loads[i], r);
	}
	if (argc > 2)
		plot_write(argv[2], loads, G_N_ELEMENTS(loads), plotted);
	return EXIT_SUCCESS;
}
