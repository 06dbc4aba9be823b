/*
 * Comparison of the counters of a rollout: whether on any route, over the whole
 * rollout or recently, the target has more failures or longer latencies than
 * the old version at the same time.
 */
#include <math.h>
#include <string.h>
#include "edge/canary.h"

enum {
	/* Spans with failures: an incident does not condemn a version. */
	MIN_SPANS = 3,
	/* Tenths of its sound answers that a bad version fails, at least: of
	   any bad one, and of one that hundreds of requests need not show */
	ANY = 1,
	GROSS = 2,
	/* A single failure of other servers may have any cause, as a crash. */
	OTHERS_FAILURES = 2,
	/* Latency samples of each side before they are compared */
	MIN_LATENCIES = 8,
	/* Recent requests of the old version on a route that are enough to
	   compare with; if there are fewer, all of the rollout are taken */
	OLD_REQUESTS = 20,
	/* Two lives that both served for so long tell of the same time. */
	OVERLAP_MS = 500,
	/* Requests at the target after which the other servers, if they had
	   none, are not expected to get any on the route */
	ALONE_REQUESTS = 30,
};

/* Probability that a good version is ever rolled back for its failures, if
   each request fails by itself */
static const double alpha = 3e-4;
/* A latency this many times the old version's is too slow. */
static const double slow_factor = 2;
/* Standard errors by which it must exceed that. */
static const double sigmas = 4.5;
/* The same, for the target to seem slow */
static const double seeming_sigmas = 1;
/* Probability that one server of a good version is faulty */
static const double one_prior = 0.1;
/* Odds, as a logarithm, from which servers are taken for bad too: 100 to 1 */
static const double others_odds = 4.6;

/* Where the old version has few recent requests, takes all of the rollout. */
static void complete_old(const canary_stats_t *s, GHashTable *recent)
{
	GHashTable *all = canary_stats_by_route(s, false, NULL, NULL);
	GHashTableIter it;
	gpointer route;
	gpointer v;

	g_hash_table_iter_init(&it, recent);
	while (g_hash_table_iter_next(&it, &route, &v)) {
		const route_sum_t *r = g_hash_table_lookup(all, route);
		req_stats_t *old = &((route_sum_t *)v)->side[SHIFT_OLD];

		if (r && old->v[M_REQUESTS] < OLD_REQUESTS)
			*old = r->side[SHIFT_OLD];
	}
	g_hash_table_destroy(all);
}

/* Returns the sums by route of the counters that counts accepts. */
static GHashTable *sums_of(const canary_stats_t *s, bool recent,
			   bool (*counts)(void *ctx, const canary_cell_t *l),
			   void *ctx)
{
	GHashTable *routes = canary_stats_by_route(s, recent, counts, ctx);

	if (recent)
		complete_old(s, routes);
	return routes;
}

/*
 * Returns by how many standard errors the target's latency exceeds slow_factor
 * times the old version's.
 */
static double latency_excess(const req_stats_t *old, const req_stats_t *target,
			     metric_t k)
{
	if (target->v[k] < MIN_LATENCIES || old->v[k] < MIN_LATENCIES)
		return 0;
	return (req_stats_mean(target, k) - req_stats_mean(old, k) -
		log2(slow_factor)) /
	       sqrt(req_stats_variance(target, k) / (double)target->v[k] +
		    req_stats_variance(old, k) / (double)old->v[k]);
}

/* A comparison of all routes in one span of time. */
typedef struct comparison {
	const canary_stats_t *stats;
	bool recent;
	double odds_max; /* odds, as a logarithm, that condemn */
} comparison_t;

/*
 * Returns a comparison of nroutes routes. The probability of a false alarm is
 * divided between the routes, and for each of them between the whole rollout
 * and the recent spans, which all begin anew.
 */
static comparison_t comparison_of(const canary_stats_t *s, bool recent,
				  unsigned int nroutes)
{
	unsigned int spans = recent ? canary_stats_recent_spans(s) : 1;

	return (comparison_t){ s, recent, log(2.0 * spans * nroutes / alpha) };
}

/* Returns the metric by which the route condemns the target, or NULL. */
static const char *condemning_metric(const comparison_t *x, const char *route,
				     const route_sum_t *r)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	const req_stats_t *target = &r->side[SHIFT_TARGET];

	if (canary_stats_failing_spans(x->stats, route, x->recent) >=
		    MIN_SPANS &&
	    odds_against(x->stats->odds, old, target, ANY) > x->odds_max)
		return "failures";
	if (latency_excess(old, target, M_FIRST_TOKEN_N) > sigmas)
		return "first_event";
	if (latency_excess(old, target, M_GAP_N) > sigmas)
		return "gaps";
	return NULL;
}

/* Whether some of the target's servers are bad by that metric themselves. */
static bool are_bad(const canary_stats_t *s, const route_sum_t *r,
		    const char *why)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	const req_stats_t *some = &r->side[SHIFT_TARGET];

	if (strcmp(why, "first_event") == 0)
		return latency_excess(old, some, M_FIRST_TOKEN_N) > 0;
	if (strcmp(why, "gaps") == 0)
		return latency_excess(old, some, M_GAP_N) > 0;
	return some->v[M_FAILURES] >= OTHERS_FAILURES &&
	       odds_against(s->odds, old, some, ANY) > others_odds;
}

/* Whether any server of the target has requests in the sums. */
static bool has_requests(GHashTable *sums)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, NULL, &r)) {
		if (((route_sum_t *)r)->side[SHIFT_TARGET].v[M_REQUESTS] > 0)
			return true;
	}
	return false;
}

/* The servers of the target that are compared with one of them. */
typedef struct others {
	const canary_stats_t *stats;
	const life_t *one;
} others_t;

/*
 * Whether a counter is of the old version, or of a server that answered while
 * the one did. Others tell nothing of the one: what ended before it began may
 * be an earlier life of the same server, and the version may have turned bad
 * since then.
 */
static bool is_of_others(void *ctx, const canary_cell_t *l)
{
	const others_t *o = ctx;
	const life_t *other;

	if (l->side == SHIFT_OLD)
		return true;
	other = g_hash_table_lookup(o->stats->lives, l->server);
	return other && other != o->one &&
	       MIN(other->passed_at, o->one->last_at) -
			       MAX(other->first_at, o->one->first_at) >=
		       OVERLAP_MS;
}

/*
 * Whether a finding on a route may be the fault of one server of the target:
 * there are others, and they are not known to be bad too. Others that get none
 * of the route's requests do not excuse the version for long.
 */
static bool may_be_of_one(const canary_stats_t *s, GHashTable *others,
			  const char *route, const route_sum_t *all,
			  const char *why)
{
	const route_sum_t *r = g_hash_table_lookup(others, route);

	if (r && r->side[SHIFT_TARGET].v[M_REQUESTS] > 0)
		return !are_bad(s, r, why);
	return has_requests(others) &&
	       all->side[SHIFT_TARGET].v[M_REQUESTS] < ALONE_REQUESTS;
}

/* Whether a finding may be the fault of any single server of the target. */
static bool may_be_of_any(const canary_stats_t *s, bool recent,
			  const char *route, const route_sum_t *all,
			  const char *why)
{
	bool may = false;
	GHashTableIter it;
	gpointer life;

	g_hash_table_iter_init(&it, s->lives);
	while (!may && g_hash_table_iter_next(&it, NULL, &life)) {
		others_t o = { s, life };
		GHashTable *others = sums_of(s, recent, is_of_others, &o);

		may = may_be_of_one(s, others, route, all, why);
		g_hash_table_destroy(others);
	}
	return may;
}

static bool is_of_life(void *life, const canary_cell_t *l)
{
	return l->side == SHIFT_OLD ||
	       strcmp(l->server, ((const life_t *)life)->server) == 0;
}

/* Returns the sums of a route, or of all routes together if it is NULL. */
static route_sum_t sum_of(GHashTable *routes, const char *route)
{
	route_sum_t sum = { 0 };
	GHashTableIter it;
	gpointer name;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (g_hash_table_iter_next(&it, &name, &r)) {
		if (route && strcmp(route, name) != 0)
			continue;
		for (int i = 0; i < SHIFT_SIDES; i++)
			req_stats_merge(&sum.side[i],
					&((route_sum_t *)r)->side[i]);
	}
	return sum;
}

/*
 * Returns the odds that one server of the target fails more requests of a route
 * than the old version, whichever it is; 0 if none had others beside it. route
 * may be NULL: all.
 */
static double odds_of_one(const comparison_t *x, const char *route,
			  unsigned int least)
{
	double sum = -G_MAXDOUBLE;
	unsigned int n = 0;
	GHashTableIter it;
	gpointer life;

	g_hash_table_iter_init(&it, x->stats->lives);
	while (g_hash_table_iter_next(&it, NULL, &life)) {
		others_t o = { x->stats, life };
		GHashTable *others =
			sums_of(x->stats, x->recent, is_of_others, &o);
		GHashTable *one =
			sums_of(x->stats, x->recent, is_of_life, life);
		route_sum_t r = sum_of(one, route);

		if (has_requests(others)) {
			sum = odds_add(sum, odds_against(x->stats->odds,
							 &r.side[SHIFT_OLD],
							 &r.side[SHIFT_TARGET],
							 least));
			n++;
		}
		g_hash_table_destroy(one);
		g_hash_table_destroy(others);
	}
	return n > 0 ? sum - log(n) : 0;
}

/*
 * Returns the odds that the version fails more requests of a route than the old
 * one, against those that none or a single one of its servers does. route may
 * be NULL: all.
 */
static double odds_of_version(const comparison_t *x, const char *route,
			      const route_sum_t *r, unsigned int least)
{
	double odds = odds_against(x->stats->odds, &r->side[SHIFT_OLD],
				   &r->side[SHIFT_TARGET], least);

	if (odds <= 0)
		return odds;
	return odds - odds_add(log(1 - one_prior),
			       log(one_prior) + odds_of_one(x, route, least));
}

static void set_route(canary_finding_t *f, const char *route)
{
	g_strlcpy(f->route, route, sizeof(f->route));
}

/* Whether the target seems slow on a route, and not for a single server. */
static bool seems_slow(const comparison_t *x, const char *route,
		       const route_sum_t *r)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	const req_stats_t *target = &r->side[SHIFT_TARGET];

	return (latency_excess(old, target, M_FIRST_TOKEN_N) > seeming_sigmas &&
		!may_be_of_any(x->stats, x->recent, route, r, "first_event")) ||
	       (latency_excess(old, target, M_GAP_N) > seeming_sigmas &&
		!may_be_of_any(x->stats, x->recent, route, r, "gaps"));
}

/* Adds what one route says to the finding. */
static void add_route(canary_finding_t *f, const comparison_t *x,
		      const char *route, const route_sum_t *r)
{
	double gross = odds_of_version(x, route, r, GROSS);

	f->slow = f->slow || seems_slow(x, route, r);
	if (x->recent) {
		f->gross_lately = MAX(f->gross_lately, gross);
		return;
	}
	f->odds = MAX(f->odds, odds_of_version(x, route, r, ANY));
	if (gross > f->gross) {
		f->gross = gross;
		set_route(f, route);
	}
}

static void compare(canary_finding_t *f, const canary_stats_t *s, bool recent)
{
	GHashTable *routes = sums_of(s, recent, NULL, NULL);
	comparison_t x = comparison_of(s, recent, g_hash_table_size(routes));
	GHashTableIter it;
	gpointer route;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (!f->why && g_hash_table_iter_next(&it, &route, &r)) {
		const char *why = condemning_metric(&x, route, r);

		add_route(f, &x, route, r);
		if (!why || may_be_of_any(s, recent, route, r, why))
			continue;
		f->why = why;
		set_route(f, route);
	}
	g_hash_table_destroy(routes);
}

/* Returns the odds of gross failures, of all routes together. */
static double gross_of_all(const canary_stats_t *s)
{
	GHashTable *routes = sums_of(s, false, NULL, NULL);
	comparison_t x = comparison_of(s, false, 1);
	route_sum_t sum = sum_of(routes, NULL);

	g_hash_table_destroy(routes);
	return odds_of_version(&x, NULL, &sum, GROSS);
}

/* Returns even odds if no route had a say. */
static double or_even(double odds)
{
	return odds > -G_MAXDOUBLE ? odds : 0;
}

/*
 * Returns the evidence on the target, over the whole rollout, then recent.
 */
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now)
{
	canary_finding_t f = { .route = "-" };

	canary_stats_look(s, now);
	if (g_hash_table_size(s->reported) == 0)
		return f;
	f.odds = f.gross = f.gross_lately = -G_MAXDOUBLE;
	f.gross_of_all = gross_of_all(s);
	compare(&f, s, false);
	if (!f.why)
		compare(&f, s, true);
	f.odds = or_even(f.odds);
	f.gross = or_even(f.gross);
	f.gross_lately = or_even(f.gross_lately);
	return f;
}
