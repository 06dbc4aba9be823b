/*
 * Moves of good and bad versions over many seeds: entries that share facts,
 * servers of unlike speed, two routes. Prints a line for each kind of version.
 * Usage: movebench [SEEDS [KIND]].
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "move/fns.h"

enum {
	ENTRIES = 4,
	SERVERS = 12,
	STEP = 100,	/* ms */
	RATE = 60,	/* requests a second of all entries */
	TIME = 900,	/* s from the confirm to the time to finish by */
	RUN = 1100,	/* s of one simulation */
	TURN = 300,	/* s after which a late one turns bad */
	EXCHANGE = 500, /* ms between messages of facts */
	PENDING = 4096, /* requests in progress */
};

typedef enum kind {
	GOOD,
	GOOD_SLOW_SERVERS, /* the new version runs on the slow half mostly */
	GOOD_BURST,	   /* everything fails and slows down for a while */
	GOOD_CRASH,	   /* one server fails all for some seconds, twice */
	BAD_FAILS,
	BAD_SLOW,
	BAD_LATE,
	BAD_LOAD,
	BAD_ROUTE,
	BAD_SLIGHT, /* fails 5 in a hundred */
	KINDS,
} kind_t;

static const char *const names[KINDS] = {
	"good",	     "good-slow-servers", "good-burst", "good-crash",
	"bad-fails", "bad-slow",	  "bad-late",	"bad-load",
	"bad-route", "bad-slight",
};

typedef struct request {
	ms_t end;
	int entry;
	sample_t s;
	bool is_new;
} request_t;

typedef struct sim {
	kind_t kind;
	GRand *rand;
	intent_t in;
	facts_t *facts[ENTRIES];
	moves_t *moves[ENTRIES];
	uint64_t told[ENTRIES];
	double speed[SERVERS];
	request_t pending[PENDING];
	size_t npending;
	size_t open_new;
	ms_t now;
	/* Results. */
	unsigned int new_requests;
	unsigned int bad_answers; /* of new requests, failed or slow */
	ms_t reversed;		  /* -1: never */
	ms_t done;		  /* -1: never */
} sim_t;

static version_t versions[] = {
	{ .service = "helper", .name = "v1" },
	{ .service = "helper",
	  .name = "v2",
	  .replaces = "v1",
	  .by = TIME,
	  .first_percent = 2 },
};

static const char *const server_names[SERVERS] = {
	"side-1", "side-2", "side-3", "side-4",	 "side-5",  "side-6",
	"side-7", "side-8", "side-9", "side-10", "side-11", "side-12",
};

static void on_ended(void *ctx, const move_result_t *r)
{
	sim_t *sim = ctx;

	if (r->state == MOVE_DONE && sim->done < 0)
		sim->done = sim->now;
	if (r->state == MOVE_ROLLED_BACK && sim->reversed < 0)
		sim->reversed = sim->now;
}

static const moves_ops_t ops = { on_ended };

static void sim_start(sim_t *sim, kind_t kind, uint32_t seed)
{
	memset(sim, 0, sizeof(*sim));
	sim->kind = kind;
	sim->rand = g_rand_new_with_seed(seed);
	sim->done = -1;
	sim->reversed = -1;
	sim->in.versions = g_ptr_array_new();
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
		g_ptr_array_add(sim->in.versions, &versions[i]);
	for (int i = 0; i < ENTRIES; i++) {
		sim->facts[i] = facts_new();
		sim->moves[i] = moves_new(
			sim->facts[i], g_rand_int(sim->rand) + 1ULL, &ops, sim);
		moves_set_intent(sim->moves[i], &sim->in, 1, NULL, 0, 0);
	}
	for (int i = 0; i < SERVERS; i++)
		sim->speed[i] = i % 2 ? 1 : 2.5;
}

static void sim_stop(sim_t *sim)
{
	for (int i = 0; i < ENTRIES; i++) {
		moves_free(sim->moves[i]);
		facts_free(sim->facts[i]);
	}
	g_ptr_array_free(sim->in.versions, TRUE);
	g_rand_free(sim->rand);
}

static int pick_server(sim_t *sim, bool is_new)
{
	int i = g_rand_int_range(sim->rand, 0, SERVERS);

	/* Even rows are the slow half. */
	if (sim->kind == GOOD_SLOW_SERVERS && is_new &&
	    g_rand_double(sim->rand) < 0.8)
		i &= ~1;
	return i;
}

/* Whether trouble that is not the version's hits a server now. */
static bool outside_trouble(const sim_t *sim, int server)
{
	ms_t s = sim->now / 1000;

	if (sim->kind == GOOD_CRASH)
		return server == 4 &&
		       ((s >= 100 && s < 106) || (s >= 400 && s < 415));
	return sim->kind == GOOD_BURST &&
	       ((s >= 60 && s < 90) || (s >= 420 && s < 480));
}

/* How the new version itself fails and slows down on a request. */
static void version_trouble(const sim_t *sim, bool chat, double *fail,
			    double *slow)
{
	switch (sim->kind) {
	case BAD_FAILS:
		*fail = 0.3;
		break;
	case BAD_SLOW:
		*slow = 2;
		break;
	case BAD_LATE:
		*fail = sim->now > (ms_t)TURN * 1000 ? 0.2 : 0;
		break;
	case BAD_LOAD:
		*fail = sim->open_new > 25 ? 0.2 : 0;
		break;
	case BAD_ROUTE:
		*fail = chat ? 0 : 0.3;
		break;
	case BAD_SLIGHT:
		*fail = 0.05;
		break;
	default:
		break;
	}
}

static void begin(sim_t *sim)
{
	request_t *r = &sim->pending[sim->npending];
	bool chat = g_rand_double(sim->rand) < 0.85;
	double size = exp(g_rand_double(sim->rand) * 4.6); /* 1 to 100 */
	double slow = 1;
	double fail = 0;
	double noise =
		0.5 + g_rand_double(sim->rand) + g_rand_double(sim->rand);
	int server;

	r->entry = g_rand_int_range(sim->rand, 0, ENTRIES);
	memset(&r->s, 0, sizeof(r->s));
	r->s.service = "helper";
	r->s.version = moves_pick(sim->moves[r->entry], "helper", sim->now);
	r->is_new = !strcmp(r->s.version, "v2");
	server = pick_server(sim, r->is_new);
	if (r->is_new)
		version_trouble(sim, chat, &fail, &slow);
	if (outside_trouble(sim, server)) {
		fail = sim->kind == GOOD_CRASH ? 1 : 0.3;
		slow = 3;
	}
	r->s.server = server_names[server];
	r->s.route = chat ? "chat" : "lesson";
	r->s.tokens = (uint64_t)(size * 20);
	r->s.status = 200;
	r->s.code = CODE_OK;
	if (g_rand_double(sim->rand) < fail + 0.003)
		r->s.code = CODE_CUT;
	r->s.first_token =
		(ms_t)(noise * slow * sim->speed[server] * (50 + size * 10));
	r->s.gap = (ms_t)(noise * slow * sim->speed[server] * 20);
	r->end = sim->now + r->s.first_token + r->s.gap * (ms_t)size;
	sim->new_requests += r->is_new;
	sim->bad_answers += r->is_new && (r->s.code != CODE_OK || slow > 1);
	sim->open_new += r->is_new;
	sim->npending++;
}

static void finish_due(sim_t *sim)
{
	for (size_t i = 0; i < sim->npending;) {
		request_t *r = &sim->pending[i];

		if (r->end > sim->now) {
			i++;
			continue;
		}
		moves_add_sample(sim->moves[r->entry], &r->s, sim->now);
		sim->open_new -= r->is_new;
		*r = sim->pending[--sim->npending];
	}
}

/* Entry i tells all others what has changed at it. */
static void exchange(sim_t *sim, int i)
{
	fact_kv_t kv[256];
	size_t n;

	do {
		n = facts_since(sim->facts[i], sim->told[i], kv, 256,
				&sim->told[i]);
		for (int to = 0; to < ENTRIES; to++) {
			for (size_t k = 0; to != i && k < n; k++)
				facts_merge(sim->facts[to], kv[k].key,
					    kv[k].value);
		}
	} while (n == 256);
}

static bool sim_step(sim_t *sim)
{
	int most = 2 * RATE * STEP / 1000;

	for (int i = 0; i < most; i++) {
		if (g_rand_boolean(sim->rand) && sim->npending < PENDING)
			begin(sim);
	}
	sim->now += STEP;
	finish_due(sim);
	for (int i = 0; i < ENTRIES; i++) {
		if (sim->now % EXCHANGE == 0)
			exchange(sim, i);
		moves_tick(sim->moves[i], sim->now);
	}
	return sim->now < (ms_t)RUN * 1000 && sim->reversed < 0 &&
	       sim->done < 0;
}

typedef struct sums {
	unsigned int reversed, done, in_time;
	unsigned int new_requests, most, bad_answers;
	double reverse_s, most_s;
} sums_t;

static void add(sums_t *t, const sim_t *sim)
{
	double at = (double)sim->reversed / 1000;

	t->reversed += sim->reversed >= 0;
	t->done += sim->done >= 0;
	t->in_time += sim->done >= 0 && sim->done <= (ms_t)TIME * 1000;
	t->new_requests += sim->new_requests;
	t->most = MAX(t->most, sim->new_requests);
	t->bad_answers += sim->bad_answers;
	if (sim->reversed >= 0) {
		t->reverse_s += at;
		t->most_s = MAX(t->most_s, at);
	}
}

static void run(kind_t kind, unsigned int seeds)
{
	sim_t *sim = g_new0(sim_t, 1);
	sums_t t = { 0 };

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		sim_start(sim, kind, seed);
		while (sim_step(sim))
			;
		add(&t, sim);
		sim_stop(sim);
	}
	printf("%-18s seeds=%u reversed=%u done=%u in_time=%u "
	       "new_requests=%.0f most=%u bad_answers=%.1f "
	       "reversed_after_s=%.0f "
	       "longest_s=%.0f\n",
	       names[kind], seeds, t.reversed, t.done, t.in_time,
	       (double)t.new_requests / seeds, t.most,
	       (double)t.bad_answers / seeds,
	       t.reversed ? t.reverse_s / t.reversed : 0, t.most_s);
	fflush(stdout);
	g_free(sim);
}

int main(int argc, char **argv)
{
	unsigned int seeds = argc > 1 ? (unsigned int)atoi(argv[1]) : 20;

	for (int k = 0; k < KINDS; k++) {
		if (argc < 3 || !strcmp(argv[2], names[k]))
			run((kind_t)k, MAX(seeds, 1));
	}
	return 0;
}
