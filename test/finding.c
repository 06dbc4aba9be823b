/*
 * When the counters of a rollout condemn the target: not for failures of one
 * incident, nor for what may be one faulty server, as far as the others tell of
 * the same time and of the same requests.
 */
#include <string.h>
#include "edge/priv.h"
#include "suite.h"

enum {
	LOOK_MS = 250, /* between two comparisons */
	DURATION_MS = 20000,
	OLD_REQUESTS = 400, /* of the old version, on each route */
	ROUTES = 2,
	SPELLS_MAX = 4,
	HOST = 1,
};

static const char *const routes[ROUTES] = { "orders", "reads" };

/* Requests at a server of the target in a span of time, at each comparison. */
typedef struct spell {
	const char *server;
	const char *route;
	ms_t from;
	ms_t until;
	uint64_t requests;
	uint64_t failures;
} spell_t;

typedef struct finding_case {
	const char *name;
	spell_t spells[SPELLS_MAX];
	ms_t at;	 /* of the comparison that is judged, the last */
	const char *why; /* NULL: not condemned */
} finding_case_t;

static const finding_case_t cases[] = {
	{ "all servers fail for half a second, an incident",
	  { { "a", "orders", 0, 4000, 5, 0 },
	    { "b", "orders", 0, 4000, 5, 0 },
	    { "a", "orders", 4250, 4500, 20, 20 },
	    { "b", "orders", 4250, 4500, 20, 20 } },
	  6000,
	  NULL },
	{ "they fail as many requests over two seconds",
	  { { "a", "orders", 0, 4000, 5, 0 },
	    { "b", "orders", 0, 4000, 5, 0 },
	    { "a", "orders", 4250, 6000, 5, 5 },
	    { "b", "orders", 4250, 6000, 5, 5 } },
	  6000,
	  "failures" },
	{ "one server of two fails",
	  { { "a", "orders", 0, 3000, 5, 0 },
	    { "b", "orders", 0, 3000, 5, 5 } },
	  3000,
	  NULL },
	{ "its only server fails once it is back under another id",
	  { { "a", "orders", 0, 3000, 5, 0 },
	    { "b", "orders", 3250, 5000, 5, 5 } },
	  5000,
	  "failures" },
	{ "the other one has none of the route's requests, at first",
	  { { "a", "reads", 0, 3000, 5, 0 }, { "b", "orders", 0, 3000, 2, 2 } },
	  3000,
	  NULL },
	{ "the other one has none of them at all",
	  { { "a", "reads", 0, 4000, 5, 0 }, { "b", "orders", 0, 4000, 2, 2 } },
	  4000,
	  "failures" },
};

typedef struct tally {
	uint64_t requests;
	uint64_t failures;
} tally_t;

static void report(canary_stats_t *s, shift_side_t side, const char *server,
		   const char *route, metric_t metric, uint64_t value)
{
	char name[64];

	g_snprintf(name, sizeof(name), SHIFT_CELL, (int)side, (int)metric,
		   server, route);
	ck_assert(canary_stats_report(s, HOST, name, value));
}

/* Returns what a server had on a route by then. */
static tally_t tally_of(const finding_case_t *c, const char *server,
			const char *route, ms_t now)
{
	tally_t t = { 0 };

	for (const spell_t *p = c->spells; p < c->spells + SPELLS_MAX; p++) {
		uint64_t looks;

		if (!p->server || strcmp(p->server, server) != 0 ||
		    strcmp(p->route, route) != 0 || now < p->from)
			continue;
		looks = (uint64_t)((MIN(now, p->until) - p->from) / LOOK_MS) +
			1;
		t.requests += p->requests * looks;
		t.failures += p->failures * looks;
	}
	return t;
}

static void report_all(canary_stats_t *s, const finding_case_t *c, ms_t now)
{
	for (const spell_t *p = c->spells; p < c->spells + SPELLS_MAX; p++) {
		tally_t t;

		if (!p->server || now < p->from)
			continue;
		t = tally_of(c, p->server, p->route, now);
		report(s, SHIFT_TARGET, p->server, p->route, M_REQUESTS,
		       t.requests);
		report(s, SHIFT_TARGET, p->server, p->route, M_FAILURES,
		       t.failures);
	}
}

START_TEST(test_finding)
{
	const finding_case_t *c = &cases[_i];
	canary_stats_t *s = canary_stats_new(DURATION_MS, 0);
	canary_finding_t f = { 0 };

	for (int i = 0; i < ROUTES; i++)
		report(s, SHIFT_OLD, "", routes[i], M_REQUESTS, OLD_REQUESTS);
	for (ms_t now = 0; now <= c->at && !f.why; now += LOOK_MS) {
		report_all(s, c, now);
		f = canary_stats_compare(s, now);
	}
	ck_assert_msg(g_strcmp0(f.why, c->why) == 0,
		      "%s: %s, odds %.1f, gross %.1f", c->name,
		      f.why ? f.why : "fine", f.odds, f.gross);
	canary_stats_free(s);
}
END_TEST

int main(void)
{
	return suite_run("finding", test_finding, G_N_ELEMENTS(cases));
}
