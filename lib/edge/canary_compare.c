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

#define ALL_ROUTES G_MAXUINT /* in place of an index: their sum */

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

/* Sums by route of one server of the target. */
typedef struct server_sums {
	route_sum_t *own;
	route_sum_t *others; /* of those that it is compared with */
} server_sums_t;

/* A comparison of all routes, over the whole rollout or recent ones. */
typedef struct comparison {
	const canary_stats_t *stats;
	bool recent;
	double odds_max;  /* odds, as a logarithm, that condemn */
	route_sum_t *all; /* by route */
	unsigned int nroutes;
	GPtrArray *servers; /* server_sums_t; NULL: not needed yet */
} comparison_t;

/* Where the old version has few recent requests, takes all of the rollout. */
static void complete_old(const canary_stats_t *s, route_sum_t *recent)
{
	route_sum_t *all = canary_stats_by_route(s, false, NULL, NULL);

	for (guint i = 0; i < s->routes->len; i++) {
		req_stats_t *old = &recent[i].side[SHIFT_OLD];

		if (old->v[M_REQUESTS] < OLD_REQUESTS)
			*old = all[i].side[SHIFT_OLD];
	}
	g_free(all);
}

/* Returns the sums by route of the counters that counts accepts. */
static route_sum_t *sums_of(const canary_stats_t *s, bool recent,
			    bool (*counts)(void *ctx, const canary_cell_t *l),
			    void *ctx)
{
	route_sum_t *routes = canary_stats_by_route(s, recent, counts, ctx);

	if (recent)
		complete_old(s, routes);
	return routes;
}

/*
 * Returns a comparison. The probability of a false alarm is divided between the
 * routes, and for each of them between the whole rollout and the recent spans,
 * which all begin anew.
 */
static comparison_t comparison_of(const canary_stats_t *s, bool recent)
{
	unsigned int spans = recent ? canary_stats_recent_spans(s) : 1;

	return (comparison_t){ .stats = s,
			       .recent = recent,
			       .odds_max = log(2.0 * spans * s->routes->len /
					       alpha),
			       .all = sums_of(s, recent, NULL, NULL),
			       .nroutes = s->routes->len };
}

static void comparison_clear(comparison_t *x)
{
	g_free(x->all);
	if (x->servers)
		g_ptr_array_free(x->servers, TRUE);
}

static void server_sums_free(gpointer v)
{
	server_sums_t *a = v;

	g_free(a->own);
	g_free(a->others);
	g_free(a);
}

/*
 * Whether a counter is of the old version, or of a server that answered while
 * the one did. Others tell nothing of the one: what ended before it began may
 * be an earlier life of the same server, and the version may have turned bad
 * since then.
 */
static bool is_of_others(void *one, const canary_cell_t *l)
{
	const life_t *life = one;

	if (l->side == SHIFT_OLD)
		return true;
	return l->life != life &&
	       MIN(l->life->passed_at, life->last_at) -
			       MAX(l->life->first_at, life->first_at) >=
		       OVERLAP_MS;
}

static bool is_of_life(void *life, const canary_cell_t *l)
{
	return l->side == SHIFT_OLD || l->life == life;
}

/* Returns the server_sums_t of each server of the target, made once. */
static const GPtrArray *servers_of(comparison_t *x)
{
	GHashTableIter it;
	gpointer life;

	if (x->servers)
		return x->servers;
	x->servers = g_ptr_array_new_with_free_func(server_sums_free);
	g_hash_table_iter_init(&it, x->stats->lives);
	while (g_hash_table_iter_next(&it, NULL, &life)) {
		server_sums_t *a = g_new0(server_sums_t, 1);

		a->own = sums_of(x->stats, x->recent, is_of_life, life);
		a->others = sums_of(x->stats, x->recent, is_of_others, life);
		g_ptr_array_add(x->servers, a);
	}
	return x->servers;
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

/* Returns the metric by which the route condemns the target, or NULL. */
static const char *condemning_metric(const comparison_t *x, unsigned int route)
{
	const req_stats_t *old = &x->all[route].side[SHIFT_OLD];
	const req_stats_t *target = &x->all[route].side[SHIFT_TARGET];

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
static bool has_requests(const route_sum_t *sums, unsigned int nroutes)
{
	for (unsigned int i = 0; i < nroutes; i++) {
		if (sums[i].side[SHIFT_TARGET].v[M_REQUESTS] > 0)
			return true;
	}
	return false;
}

/*
 * Whether a finding on a route may be the fault of one server of the target:
 * there are others, and they are not known to be bad too. Others that get none
 * of the route's requests do not excuse the version for long.
 */
static bool may_be_of_one(const comparison_t *x, const server_sums_t *a,
			  unsigned int route, const char *why)
{
	const route_sum_t *others = &a->others[route];

	if (others->side[SHIFT_TARGET].v[M_REQUESTS] > 0)
		return !are_bad(x->stats, others, why);
	return has_requests(a->others, x->nroutes) &&
	       x->all[route].side[SHIFT_TARGET].v[M_REQUESTS] < ALONE_REQUESTS;
}

/* Whether a finding may be the fault of any single server of the target. */
static bool may_be_of_any(comparison_t *x, unsigned int route, const char *why)
{
	const GPtrArray *servers = servers_of(x);

	for (guint i = 0; i < servers->len; i++) {
		if (may_be_of_one(x, servers->pdata[i], route, why))
			return true;
	}
	return false;
}

/* Returns the sum of a route, or of all if it is ALL_ROUTES. */
static route_sum_t sum_of(const comparison_t *x, const route_sum_t *routes,
			  unsigned int route)
{
	route_sum_t sum = { 0 };

	if (route != ALL_ROUTES)
		return routes[route];
	for (unsigned int i = 0; i < x->nroutes; i++) {
		for (int k = 0; k < SHIFT_SIDES; k++)
			req_stats_merge(&sum.side[k], &routes[i].side[k]);
	}
	return sum;
}

/*
 * Returns the odds that one server of the target fails more requests of a route
 * than the old version, whichever it is; 0 if none had others beside it.
 */
static double odds_of_one(comparison_t *x, unsigned int route,
			  unsigned int least)
{
	const GPtrArray *servers = servers_of(x);
	double sum = -G_MAXDOUBLE;
	unsigned int n = 0;

	for (guint i = 0; i < servers->len; i++) {
		const server_sums_t *a = servers->pdata[i];
		route_sum_t r = sum_of(x, a->own, route);

		if (!has_requests(a->others, x->nroutes))
			continue;
		sum = odds_add(sum,
			       odds_against(x->stats->odds, &r.side[SHIFT_OLD],
					    &r.side[SHIFT_TARGET], least));
		n++;
	}
	return n > 0 ? sum - log(n) : 0;
}

/*
 * Returns the odds that the version fails more requests of a route than the old
 * one, against those that none or a single one of its servers does.
 */
static double odds_of_version(comparison_t *x, unsigned int route,
			      unsigned int least)
{
	route_sum_t r = sum_of(x, x->all, route);
	double odds = odds_against(x->stats->odds, &r.side[SHIFT_OLD],
				   &r.side[SHIFT_TARGET], least);

	if (odds <= 0)
		return odds;
	return odds - odds_add(log(1 - one_prior),
			       log(one_prior) + odds_of_one(x, route, least));
}

/* Whether the target seems slow on a route, and not for a single server. */
static bool seems_slow(comparison_t *x, unsigned int route)
{
	const req_stats_t *old = &x->all[route].side[SHIFT_OLD];
	const req_stats_t *target = &x->all[route].side[SHIFT_TARGET];

	return (latency_excess(old, target, M_FIRST_TOKEN_N) > seeming_sigmas &&
		!may_be_of_any(x, route, "first_event")) ||
	       (latency_excess(old, target, M_GAP_N) > seeming_sigmas &&
		!may_be_of_any(x, route, "gaps"));
}

static void set_route(canary_finding_t *f, const canary_stats_t *s,
		      unsigned int route)
{
	const canary_route_t *r = s->routes->pdata[route];

	g_strlcpy(f->route, r->name, sizeof(f->route));
}

/* Adds what one route says to the finding. */
static void add_route(canary_finding_t *f, comparison_t *x, unsigned int route)
{
	double gross = odds_of_version(x, route, GROSS);

	f->slow = f->slow || seems_slow(x, route);
	if (x->recent) {
		f->gross_lately = MAX(f->gross_lately, gross);
		return;
	}
	f->odds = MAX(f->odds, odds_of_version(x, route, ANY));
	if (gross > f->gross) {
		f->gross = gross;
		set_route(f, x->stats, route);
	}
}

static void compare(canary_finding_t *f, comparison_t *x)
{
	for (unsigned int i = 0; i < x->nroutes && !f->why; i++) {
		const char *why = condemning_metric(x, i);

		add_route(f, x, i);
		if (!why || may_be_of_any(x, i, why))
			continue;
		f->why = why;
		set_route(f, x->stats, i);
	}
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
	comparison_t x;

	canary_stats_look(s, now);
	if (g_hash_table_size(s->reported) == 0)
		return f;
	f.odds = f.gross = f.gross_lately = -G_MAXDOUBLE;
	x = comparison_of(s, false);
	f.gross_of_all = odds_of_version(&x, ALL_ROUTES, GROSS);
	compare(&f, &x);
	comparison_clear(&x);
	if (!f.why) {
		x = comparison_of(s, true);
		compare(&f, &x);
		comparison_clear(&x);
	}
	f.odds = or_even(f.odds);
	f.gross = or_even(f.gross);
	f.gross_lately = or_even(f.gross_lately);
	return f;
}
