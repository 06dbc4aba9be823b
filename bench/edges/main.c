/* edges [-p FILE]: a table of goodput by kind, load and way of placing. */
#include <stdlib.h>
#include "fns.h"

enum {
	SEED = 7,
	HOSTS = 8,
	ENGINES = 24,
	SPAN_MS = 40000, /* in which requests come */
	FLEET_SPAN_MS = 12000,
	SUBSET = 12, /* as the settings have it */
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

/* Fleets with uneven callers, for subsets against all engines. */
typedef struct fleet {
	unsigned int hosts;
	unsigned int engines;
} fleet_t;

static const fleet_t fleets[] = { { 8, 24 }, { 30, 60 }, { 103, 180 } };
static const double fleet_loads[] = { 0.5, 0.85, 1.0, 1.5 };
/* Of what callers get in time with all engines. */
static const double subset_part = 0.97;

static result_t play_fleet(const fleet_t *f, way_t way, double load,
			   unsigned int subset)
{
	play_t play = { .way = way,
			.hosts = f->hosts,
			.engines = f->engines,
			.subset = subset,
			.uneven = true,
			.load = load,
			.span = FLEET_SPAN_MS,
			.seed = SEED };

	return world_play(&play);
}

static void compare_subsets(const fleet_t *f, way_t way, double load)
{
	char name[64];
	result_t all = play_fleet(f, way, load, f->engines);
	result_t some = play_fleet(f, way, load, SUBSET);

	printf("%3u %3u %4.2f %-12s %6.2f %6.2f %6.2f %6.2f\n", f->hosts,
	       f->engines, load, way_name(way), goodput(&all), goodput(&some),
	       served(&all), served(&some));
	g_snprintf(name, sizeof(name), "edges-subset-of-%u-in-time-percent-%s",
		   f->engines, way_name(way));
	bound(name, load, goodput(&some), goodput(&all) * subset_part);
	fflush(stdout);
}

/* What subsets cost callers that come unevenly, by size of the fleet. */
static void print_subsets(void)
{
	printf("hosts, engines, load, way, in time with all and a subset, "
	       "whole with both\n");
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(fleet_loads); k++) {
			compare_subsets(&fleets[i], WAY_KEEPERS,
					fleet_loads[k]);
			compare_subsets(&fleets[i], WAY_ESTIMATES,
					fleet_loads[k]);
		}
	}
}

enum {
	POISON_PER_S = 3,
	/* Five, what comes in the next 3 s, and three more */
	CRASHES_MAX = 5 + 3 * POISON_PER_S + 3,
	/* The same from the third on */
	REPEAT_CRASHES_MAX = 3 + 3 * POISON_PER_S + 3,
	POISON_LATE_MAX = 3,
	FEW_ENGINES = 4,
};

/* Requests that crash engines, and the fleet that they come to. */
typedef struct bad_case {
	const char *name;
	double load;
	unsigned int engines;
	bool repeats;
	bool plain;
	ms_t store_ms; /* 0: as usual */
	bool cut;
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{ .name = "poison", .load = 0.5, .engines = ENGINES },
	{ .name = "poison", .load = 0.85, .engines = ENGINES },
	{ .name = "repeat", .load = 0.5, .engines = ENGINES, .repeats = true },
	{ .name = "repeat-few",
	  .load = 0.5,
	  .engines = FEW_ENGINES,
	  .repeats = true },
	{ .name = "repeat-plain",
	  .load = 0.5,
	  .engines = FEW_ENGINES,
	  .repeats = true,
	  .plain = true },
	{ .name = "repeat-slow-store",
	  .load = 0.5,
	  .engines = FEW_ENGINES,
	  .repeats = true,
	  .plain = true,
	  .store_ms = 1500 },
	{ .name = "repeat-part-lost-store",
	  .load = 0.5,
	  .engines = FEW_ENGINES,
	  .repeats = true,
	  .plain = true,
	  .cut = true },
};
/* Of the sound requests that begin where none are bad. */
static const double sound_part = 0.5;

static void bound_most(const char *name, double load, double value,
		       double target)
{
	printf("bound %s-at-%.2f %.2f %.2f %s\n", name, load, value, target,
	       value <= target ? "ok" : "MISSED");
}

static result_t play_bad(const bad_case_t *c, double per_s, bool reports)
{
	play_t play = { .way = WAY_KEEPERS,
			.hosts = HOSTS,
			.engines = c->engines,
			.subset = SUBSET,
			.load = c->load,
			.span = SPAN_MS,
			.seed = SEED,
			.poison_per_s = per_s,
			.reports = reports,
			.repeats = c->repeats,
			.plain = c->plain,
			.store_ms = c->store_ms,
			.cut = c->cut };
	result_t r = world_play(&play);

	printf("%-22s %4.2f %4.1f %3s %5u %5u %6.2f %6.2f\n", c->name, c->load,
	       per_s, reports ? "yes" : "no", r.crashes, r.poison_late,
	       percent(r.sound_begun, r.sound), goodput(&r));
	fflush(stdout);
	return r;
}

/* What a part of prompts, or a request, that crashes engines costs. */
static void print_bad(const bad_case_t *c)
{
	result_t none = play_bad(c, 0, true);
	result_t r;
	char name[64];

	play_bad(c, POISON_PER_S, false);
	r = play_bad(c, POISON_PER_S, true);
	g_snprintf(name, sizeof(name), "edges-%s-crashes", c->name);
	bound_most(name, c->load, r.crashes,
		   c->repeats ? REPEAT_CRASHES_MAX : CRASHES_MAX);
	g_snprintf(name, sizeof(name), "edges-%s-sent-late", c->name);
	bound_most(name, c->load, r.poison_late, POISON_LATE_MAX);
	g_snprintf(name, sizeof(name), "edges-%s-sound-begun-percent", c->name);
	bound(name, c->load, percent(r.sound_begun, r.sound),
	      percent(none.sound_begun, none.sound) * sound_part);
}

/* Engines that want nothing for a while, and the fleet. */
typedef struct rest_case {
	const char *name;
	unsigned int engines;
	unsigned int rest; /* of these */
	bool lapses;
	double served; /* part of what is in time when none rests */
} rest_case_t;

static const rest_case_t rest_cases[] = {
	{ "two-of-24", ENGINES, 2, false, 0.9 },
	{ "two-of-24-lapse", ENGINES, 2, true, 0.9 },
	{ "two-of-four", FEW_ENGINES, 2, false, 0.5 },
	{ "all-of-four", FEW_ENGINES, FEW_ENGINES, false, 0.5 },
	{ "all-of-four-lapse", FEW_ENGINES, FEW_ENGINES, true, 0.5 },
};

enum {
	REST_REACHED_MAX = 2, /* of a host, in an engine's pause */
};

static const double rest_load = 0.5;

static result_t play_rest(const rest_case_t *c, unsigned int rest)
{
	play_t play = { .way = WAY_KEEPERS,
			.hosts = HOSTS,
			.engines = c->engines,
			.subset = SUBSET,
			.load = rest_load,
			.span = SPAN_MS,
			.seed = SEED,
			.rest = rest,
			.lapses = c->lapses };
	result_t r = world_play(&play);

	printf("%-18s %4u %6u %4u %6.2f\n", c->name, rest, r.turned_away,
	       r.rest_reached, goodput(&r));
	fflush(stdout);
	return r;
}

/* What engines cost that turn requests away and want nothing for a while. */
static void print_rest(const rest_case_t *c)
{
	result_t none = play_rest(c, 0);
	result_t r = play_rest(c, c->rest);
	char name[64];

	g_snprintf(name, sizeof(name), "edges-rest-%s-reached", c->name);
	bound_most(name, rest_load, r.rest_reached, REST_REACHED_MAX);
	g_snprintf(name, sizeof(name), "edges-rest-%s-in-time-percent",
		   c->name);
	bound(name, rest_load, goodput(&r), goodput(&none) * c->served);
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
			play_t play = { .way = (way_t)w,
					.hosts = HOSTS,
					.engines = ENGINES,
					.subset = SUBSET,
					.load = loads[i],
					.span = SPAN_MS,
					.seed = SEED };

			r[w] = world_play(&play);
			print_row(loads[i], (way_t)w, &r[w]);
			plotted[w][i] = goodput(&r[w]);
		}
		if (loads[i] >= 0.85)
			print_bounds(loads[i], r);
	}
	print_subsets();
	printf("bad, load, a second, reports, crashes, sent late, sound begun, "
	       "in time\n");
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++)
		print_bad(&bad_cases[i]);
	printf("rest, engines that do, turned away, reached, in time\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rest_cases); i++)
		print_rest(&rest_cases[i]);
	if (argc > 2)
		plot_write(argv[2], loads, G_N_ELEMENTS(loads), plotted);
	return EXIT_SUCCESS;
}
