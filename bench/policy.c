/*
 * policy [weigh]: goodput by tier of offers and grants, in virtual time,
 * beside two schemes that dispatch at once: round robin, and the least of the
 * loads last reported. With weigh, also the choices within offers and grants.
 */
#include <stdlib.h>
#include <string.h>
#include "rig/work.h"

enum {
	WARM = 20000,	    /* ms before requests are counted */
	SPAN = 60000,	    /* ms in which they are */
	TAIL = 65000,	    /* ms for the last to end */
	DEADLINE = 60000,   /* ms */
	FIRST_TOKEN = 2000, /* ms */
	TOKEN_GAP = 70,	    /* ms */
	REPORT_EVERY = 500, /* ms */
	ENGINES_MOST = 20,
	PREFIXES = 200,
	DAEMON_WAITING = 10000, /* requests, the daemon's default */
};

typedef enum scheme {
	SCHEME_OFFERS,
	SCHEME_ROUND_ROBIN,
	SCHEME_LEAST_LOAD,
} scheme_t;

typedef struct policy {
	const char *name;
	scheme_t scheme;
	unsigned int offers;
	ms_t head_start;
	size_t waiting;	  /* places in a sidecar's list */
	bool late_behind; /* the order within a tier */
} policy_t;

typedef struct setup {
	const char *name;
	unsigned int engines;
	unsigned int entries;
} setup_t;

typedef struct result {
	unsigned int offered[TIER_COUNT];
	unsigned int good[TIER_COUNT];
	unsigned int whole;
	uint64_t computed; /* prompt tokens */
	uint64_t useful;   /* of those, tokens that a good answer needed */
	ms_t longest;	   /* from the request to its first token */
	uint64_t messages;
} result_t;

static const setup_t setups[] = {
	{ "prairie-bolt", 20, 3 },
	{ "kockarna", 12, 4 },
};

static const double loads[] = { 0.7, 1.0, 1.5, 3.0 };
static const double speeds[] = { 1.0, 0.7, 0.4 };

static const policy_t main_policies[] = {
	{ "offers", SCHEME_OFFERS, 4, 15, DAEMON_WAITING, true },
	{ "round-robin", SCHEME_ROUND_ROBIN, 0, 0, 0, false },
	{ "least-load", SCHEME_LEAST_LOAD, 0, 0, 0, false },
};

static const policy_t weighed[] = {
	{ "d=1", SCHEME_OFFERS, 1, 15, DAEMON_WAITING, true },
	{ "d=2", SCHEME_OFFERS, 2, 15, DAEMON_WAITING, true },
	{ "d=3", SCHEME_OFFERS, 3, 15, DAEMON_WAITING, true },
	{ "d=4", SCHEME_OFFERS, 4, 15, DAEMON_WAITING, true },
	{ "head-0", SCHEME_OFFERS, 4, 0, DAEMON_WAITING, true },
	{ "head-20", SCHEME_OFFERS, 4, 20, DAEMON_WAITING, true },
	{ "head-50", SCHEME_OFFERS, 4, 50, DAEMON_WAITING, true },
	{ "in-turn", SCHEME_OFFERS, 4, 15, DAEMON_WAITING, false },
	{ "list-8", SCHEME_OFFERS, 4, 15, 8, true },
	{ "list-32", SCHEME_OFFERS, 4, 15, 32, true },
};

static void make_engines(engine_conf_t *out, unsigned int n)
{
	for (unsigned int i = 0; i < n; i++) {
		out[i] = (engine_conf_t){ .step_ms = 10,
					  .decode_ms = 0.6,
					  .prefill_ms = 0.05,
					  .chunk = 512,
					  .batch = 256,
					  .memory = 400000,
					  .cache = 20000,
					  .flush = 4 };
		out[i].speed = speeds[i % G_N_ELEMENTS(speeds)];
	}
}

static bool is_good(const rig_request_t *r)
{
	ms_t gap;

	if (!r->ends || r->code != CODE_OK || !rig_answer_is_whole(r))
		return false;
	gap = (r->ended_at - r->first_at) / (ms_t)MAX(r->output - 1, 1);
	return r->first_at - r->submitted_at <= FIRST_TOKEN && gap <= TOKEN_GAP;
}

/* Counts a request that came at a time after the start. */
static void count(result_t *res, const rig_request_t *r, ms_t at)
{
	bool good = is_good(r);
	uint64_t needed = r->prompt;

	if (good && r->prefix_known)
		needed -= r->prefix_len;
	if (good)
		res->useful += MIN(needed, r->computed);
	if (at < WARM)
		return;
	res->offered[r->tier]++;
	res->good[r->tier] += good;
	res->whole += r->ends && r->code == CODE_OK;
	if (r->first_at >= 0)
		res->longest = MAX(res->longest, r->first_at - r->submitted_at);
}

static rig_conf_t offers_conf(const setup_t *s, const policy_t *p,
			      const engine_conf_t *engines)
{
	rig_conf_t c = { .seed = 1,
			 .entries = s->entries,
			 .sidecars = s->engines,
			 .engines = engines,
			 .delay_min = 1,
			 .delay_max = 2,
			 .tick = 10,
			 .state_every = REPORT_EVERY,
			 .silent = 2000 };

	c.entry = (entry_conf_t){ .data_center = "one",
				  .waiting_max = DAEMON_WAITING,
				  .initial_offers = p->offers,
				  .head_start = p->head_start,
				  .widen_before = 1000,
				  .disconnect_timeout = 8000,
				  .ack_interval = 200 };
	c.side = (side_conf_t){ .service = "helper",
				.model = true,
				.waiting_max = p->waiting,
				.answer_max = 4 << 20,
				.first_token_target =
					p->late_behind ? FIRST_TOKEN : 0,
				.token_gap_target = TOKEN_GAP,
				.wait_max = FIRST_TOKEN,
				.lease = 1000,
				.hold = 1000,
				.entry_timeout = 10000,
				.engine_silent = 2000,
				.capacity_start = 8000,
				.capacity_max = 2000000 };
	return c;
}

static void run_offers(const setup_t *s, const policy_t *p,
		       const engine_conf_t *engines, const GArray *work,
		       result_t *res)
{
	rig_conf_t conf = offers_conf(s, p, engines);
	rig_t *rig = rig_new(&conf);
	ms_t start;

	rig_run(rig, REPORT_EVERY);
	start = rig_now(rig);
	for (guint i = 0; i < work->len; i++) {
		const arrival_t *a = &g_array_index(work, arrival_t, i);

		rig_run(rig, start + a->at - rig_now(rig));
		rig_submit(rig, a->like.entry, &a->like);
	}
	rig_run(rig, TAIL);
	for (guint i = 0; i < work->len; i++)
		count(res, rig_requests(rig)->pdata[i],
		      g_array_index(work, arrival_t, i).at);
	for (unsigned int i = 0; i < s->engines; i++)
		res->computed += engine_computed(rig_engine(rig, i));
	res->messages = rig_messages(rig);
	rig_free(rig);
}

/* The driver of the schemes that dispatch at once. */
typedef struct direct {
	const setup_t *setup;
	scheme_t scheme;
	engine_t *engines[ENGINES_MOST];
	unsigned int reported[ENGINES_MOST];
	unsigned int next[ENGINES_MOST]; /* round robin, of each entry */
	GArray *requests;		 /* of rig_request_t */
	GRand *rand;
	ms_t now;
} direct_t;

static rig_request_t *direct_request(const direct_t *d, unsigned int number)
{
	return &g_array_index(d->requests, rig_request_t, number - 1);
}

static void direct_head(void *ctx, engine_job_t *j)
{
	const direct_t *d = ctx;

	direct_request(d, j->number)->first_at = d->now;
}

static void direct_data(void *ctx, engine_job_t *j, str_t data)
{
	direct_request(ctx, j->number)->got_bytes += data.n;
}

static void direct_end(void *ctx, engine_job_t *j)
{
	const direct_t *d = ctx;
	rig_request_t *r = direct_request(d, j->number);

	r->ends = 1;
	r->ended_at = d->now;
	r->computed = j->computed;
}

static const engine_ops_t direct_ops = { direct_head, direct_data, direct_end };

static unsigned int least_load(direct_t *d)
{
	unsigned int n = d->setup->engines;
	unsigned int from = (unsigned int)g_rand_int_range(d->rand, 0, (int)n);
	unsigned int best = from;

	for (unsigned int i = 1; i < n; i++) {
		unsigned int k = (from + i) % n;

		if (d->reported[k] < d->reported[best])
			best = k;
	}
	return best;
}

static void direct_dispatch(direct_t *d, const arrival_t *a,
			    unsigned int number)
{
	rig_request_t *r = direct_request(d, number);
	unsigned int to;
	char body[128];

	*r = a->like;
	r->number = number;
	r->rid = (rid_t){ 1, number };
	r->submitted_at = d->now;
	r->first_at = -1;
	if (d->scheme == SCHEME_LEAST_LOAD)
		to = least_load(d);
	else
		to = d->next[r->entry]++ % d->setup->engines;
	for (unsigned int i = 0; i < d->setup->engines; i++)
		r->prefix_known |= engine_caches(d->engines[i], r->prefix);
	r->side = to;
	g_snprintf(body, sizeof(body),
		   "%u %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		   " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
		   number, r->prompt, r->output, r->prefix, r->prefix_len);
	engine_add(d->engines[to], r->rid, body, d->now);
}

/* Steps the engines, and stops what is past its deadline. */
static void direct_step(direct_t *d, guint *expired)
{
	for (unsigned int i = 0; i < d->setup->engines; i++) {
		engine_t *g = d->engines[i];

		while (engine_next(g) >= 0 && engine_next(g) <= d->now)
			engine_step(g);
		if (d->now % REPORT_EVERY == 0)
			d->reported[i] = engine_running(g) + engine_queued(g);
	}
	while (*expired < d->requests->len) {
		rig_request_t *r = direct_request(d, *expired + 1);

		if (!r->number || d->now - r->submitted_at < DEADLINE)
			return;
		if (!r->ends)
			engine_cancel(d->engines[r->side], r->rid);
		++*expired;
	}
}

static void direct_open(direct_t *d, const setup_t *s, scheme_t scheme,
			const engine_conf_t *engines, guint requests)
{
	*d = (direct_t){ .setup = s, .scheme = scheme };
	d->rand = g_rand_new_with_seed(1);
	d->requests = g_array_new(FALSE, TRUE, sizeof(rig_request_t));
	g_array_set_size(d->requests, requests);
	for (unsigned int i = 0; i < s->engines; i++)
		d->engines[i] = engine_new(&engines[i], &direct_ops, d);
	for (unsigned int i = 0; i < s->entries; i++)
		d->next[i] = i * s->engines / s->entries;
}

static void run_direct(const setup_t *s, const policy_t *p,
		       const engine_conf_t *engines, const GArray *work,
		       result_t *res)
{
	direct_t d;
	guint next = 0;
	guint expired = 0;

	direct_open(&d, s, p->scheme, engines, work->len);
	for (d.now = 1; d.now < WARM + SPAN + TAIL; d.now++) {
		while (next < work->len) {
			const arrival_t *a =
				&g_array_index(work, arrival_t, next);

			if (a->at > d.now)
				break;
			direct_dispatch(&d, a, ++next);
		}
		direct_step(&d, &expired);
	}
	for (guint i = 0; i < work->len; i++)
		count(res, direct_request(&d, i + 1),
		      g_array_index(work, arrival_t, i).at);
	for (unsigned int i = 0; i < s->engines; i++) {
		res->computed += engine_computed(d.engines[i]);
		engine_free(d.engines[i]);
	}
	g_array_unref(d.requests);
	g_rand_free(d.rand);
}

/* Requests a second that all engines can carry together. */
static double capacity(const engine_conf_t *engines, unsigned int n)
{
	double sum = 0;

	for (unsigned int i = 0; i < n; i++)
		sum += work_capacity(&engines[i], TOKEN_GAP);
	return sum;
}

static result_t run(const setup_t *s, const policy_t *p, double load)
{
	engine_conf_t engines[ENGINES_MOST];
	work_conf_t w = { .seed = 7,
			  .entries = s->entries,
			  .span = WARM + SPAN,
			  .prefixes = PREFIXES,
			  .deadline = DEADLINE };
	result_t res = { 0 };
	GArray *work;

	make_engines(engines, s->engines);
	w.per_s = load * capacity(engines, s->engines);
	work = work_new(&w);
	if (p->scheme == SCHEME_OFFERS)
		run_offers(s, p, engines, work, &res);
	else
		run_direct(s, p, engines, work, &res);
	g_array_unref(work);
	return res;
}

static double percent(uint64_t part, uint64_t of)
{
	return of ? 100.0 * (double)part / (double)of : 0;
}

static double tier_goodput(const result_t *r, int tier)
{
	return percent(r->good[tier], r->offered[tier]);
}

static double goodput(const result_t *r)
{
	unsigned int good = 0;
	unsigned int offered = 0;

	for (int t = 0; t < TIER_COUNT; t++) {
		good += r->good[t];
		offered += r->offered[t];
	}
	return percent(good, offered);
}

static double wasted(const result_t *r)
{
	return percent(r->computed - r->useful, r->computed);
}

static void print_head(void)
{
	printf("%-13s %4s %-12s %6s %6s %6s %6s %6s %7s %7s %9s\n", "size",
	       "load", "policy", "tier0", "tier1", "tier2", "tier3", "all",
	       "wasted", "longest", "messages");
}

static void print_row(const setup_t *s, double load, const policy_t *p,
		      const result_t *r)
{
	printf("%-13s %4.1f %-12s", s->name, load, p->name);
	for (int t = 0; t < TIER_COUNT; t++)
		printf(" %6.2f", tier_goodput(r, t));
	printf(" %6.2f %6.2f%% %5.1f s %9" G_GUINT64_FORMAT "\n", goodput(r),
	       wasted(r), (double)r->longest / 1000, r->messages);
	fflush(stdout);
}

static void print_bound(const char *name, const setup_t *s, double value,
			double target, bool ok)
{
	printf("bound %s-%s %.2f %.2f %s\n", name, s->name, value, target,
	       ok ? "ok" : "MISSED");
}

/* Prints the bounds that hold at that load; rows are in main_policies. */
static void print_bounds(const setup_t *s, double load, const result_t *r)
{
	double least = wasted(&r[2]);

	if (load == 3.0)
		print_bound("tier-0-goodput-percent-at-3", s,
			    tier_goodput(&r[0], 0), 99,
			    tier_goodput(&r[0], 0) >= 99);
	if (load != 1.0)
		return;
	print_bound("goodput-percent-at-1", s, goodput(&r[0]), 95,
		    goodput(&r[0]) >= 95);
	print_bound("wasted-prefill-percent-at-1", s, wasted(&r[0]), least / 2,
		    wasted(&r[0]) < least / 2);
}

static void compare(const setup_t *s, double load)
{
	result_t r[G_N_ELEMENTS(main_policies)];

	for (size_t i = 0; i < G_N_ELEMENTS(main_policies); i++) {
		r[i] = run(s, &main_policies[i], load);
		print_row(s, load, &main_policies[i], &r[i]);
	}
	print_bounds(s, load, r);
}

static void weigh(const setup_t *s, double load)
{
	for (size_t i = 0; i < G_N_ELEMENTS(weighed); i++) {
		result_t r = run(s, &weighed[i], load);

		print_row(s, load, &weighed[i], &r);
	}
}

int main(int argc, char **argv)
{
	bool more = argc > 1 && strcmp(argv[1], "weigh") == 0;

	print_head();
	for (size_t i = 0; i < G_N_ELEMENTS(setups); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
			if (more)
				weigh(&setups[i], loads[k]);
			else
				compare(&setups[i], loads[k]);
		}
	}
	return 0;
}
