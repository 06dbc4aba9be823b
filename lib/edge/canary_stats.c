/*
 * Counters of a rollout from all hosts, and their comparison: whether on any
 * route, over the whole rollout or recently, the target has more failures or
 * longer latencies than the old version at the same time.
 */
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include "edge/priv.h"

enum {
	RECENT_MS = 2000, /* recent counts are also compared by themselves, so
			     that a version that turns bad late is not hidden by
			     its good start */
	MIN_FAILURES = 3,
	/* Latency samples of each side before they are compared */
	MIN_LATENCIES = 8,
	CELL_FIELDS = 4, /* fields of a cell's name */
	RUNNING = -1,	 /* metric of SHIFT_CELL_RUNNING */
};

/* Probability of a false alarm per comparison */
static const double alpha = 1e-5;
/* The same, when one of the target's servers is left out */
static const double alpha_without_one = 0.01;
/* Failure rate expected of any version, at least */
static const double min_failure_rate = 0.005;
/* Prior of the old version's failure rate: requests */
static const double prior_requests = 20;
static const double prior_failures = 1; /* and failures among them */
/* A latency this many times the old version's is too slow. */
static const double slow_factor = 2;
/* Standard errors by which it must exceed that. */
static const double sigmas = 4.5;

/* A counter that a host reported. */
typedef struct reported {
	uint64_t host;
	shift_side_t side;
	int metric;   /* metric_t, or RUNNING */
	char *server; /* of the target; empty on the old side */
	char *route;
	uint64_t value;
	uint64_t at_checkpoint;		/* value at the last checkpoint */
	uint64_t at_earlier_checkpoint; /* and at the one before it */
} reported_t;

/* Counters of one route, or of one server on it. */
typedef struct route_sum {
	req_stats_t side[SHIFT_SIDES];
} route_sum_t;

struct canary_stats {
	GHashTable *reported; /* reported_t by host and cell */
	ms_t checkpoint_at;
};

static void reported_free(gpointer v)
{
	reported_t *t = v;

	g_free(t->server);
	g_free(t->route);
	g_free(t);
}

/* Returns empty counters of a rollout. */
canary_stats_t *canary_stats_new(ms_t now)
{
	canary_stats_t *s = g_new0(canary_stats_t, 1);

	s->reported = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    reported_free);
	s->checkpoint_at = now;
	return s;
}

/* Frees the counters. */
void canary_stats_free(canary_stats_t *s)
{
	g_hash_table_destroy(s->reported);
	g_free(s);
}

/* Parses a cell's name, in the format of SHIFT_CELL. */
static bool parse_cell(reported_t *t, const char *cell)
{
	char **part;
	guint64 side = 0;
	guint64 metric = 0;
	bool ok;

	if (strcmp(cell, SHIFT_CELL_RUNNING) == 0) {
		t->metric = RUNNING;
		return true;
	}
	part = g_strsplit(cell, "/", CELL_FIELDS);
	ok = g_strv_length(part) == CELL_FIELDS &&
	     g_ascii_string_to_unsigned(part[0], 10, 0, SHIFT_SIDES - 1, &side,
					NULL) &&
	     g_ascii_string_to_unsigned(part[1], 10, 0, METRICS - 1, &metric,
					NULL);
	if (ok) {
		t->side = (shift_side_t)side;
		t->metric = (int)metric;
		t->server = g_strdup(part[2]);
		t->route = g_strdup(part[3]);
	}
	g_strfreev(part);
	return ok;
}

/*
 * Takes a value that a host reported: a count since its start. Returns false if
 * the cell's name is malformed.
 */
bool canary_stats_report(canary_stats_t *s, uint64_t host, const char *cell,
			 uint64_t value)
{
	char *key = g_strdup_printf("%" PRIx64 "/%s", host, cell);
	reported_t *t = g_hash_table_lookup(s->reported, key);

	if (t) {
		g_free(key);
		t->value = value;
		return true;
	}
	t = g_new0(reported_t, 1);
	t->host = host;
	t->value = value;
	if (!parse_cell(t, cell)) {
		reported_free(t);
		g_free(key);
		return false;
	}
	g_hash_table_insert(s->reported, key, t);
	return true;
}

/* A host is gone: its running requests are dropped, its counts stay. */
void canary_stats_host_gone(canary_stats_t *s, uint64_t host)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		reported_t *t = v;

		if (t->host == host && t->metric == RUNNING)
			t->value = 0;
	}
}

/* Returns the sum of a metric over all hosts, routes and servers. */
uint64_t canary_stats_total(const canary_stats_t *s, shift_side_t side,
			    metric_t k)
{
	GHashTableIter it;
	gpointer v;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == (int)k && t->side == side)
			sum += t->value;
	}
	return sum;
}

/* Returns the number of requests that still run on the old version. */
uint64_t canary_stats_running(const canary_stats_t *s)
{
	GHashTableIter it;
	gpointer v;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		sum += t->metric == RUNNING ? t->value : 0;
	}
	return sum;
}

static route_sum_t *route_get(GHashTable *routes, const char *name)
{
	route_sum_t *r = g_hash_table_lookup(routes, name);

	if (!r) {
		r = g_new0(route_sum_t, 1);
		g_hash_table_insert(routes, g_strdup(name), r);
	}
	return r;
}

/* Returns the sums by route; of one server of the target if that is given. */
static GHashTable *by_route(const canary_stats_t *s, bool recent,
			    const char *server)
{
	GHashTable *routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == RUNNING ||
		    (server && strcmp(t->server, server) != 0))
			continue;
		route_get(routes, t->route)->side[t->side].v[t->metric] +=
			t->value - (recent ? t->at_earlier_checkpoint : 0);
	}
	return routes;
}

/*
 * Returns the probability that a version as good as the old one has at least as
 * many failures as the target.
 */
static double failure_probability(const req_stats_t *old,
				  const req_stats_t *target)
{
	double expected = ((double)old->v[M_FAILURES] + prior_failures) /
			  ((double)old->v[M_REQUESTS] + prior_requests);

	return poisson_tail((double)target->v[M_REQUESTS] *
				    MAX(expected, min_failure_rate),
			    (double)target->v[M_FAILURES], true);
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

/*
 * Returns the metric by which the route condemns the target, or NULL. If less
 * is given, the counters of one of the target's servers, those are left out and
 * weaker evidence from the other servers is enough.
 */
static const char *condemning_metric(const route_sum_t *r,
				     const route_sum_t *less)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	req_stats_t target = r->side[SHIFT_TARGET];
	double z = less ? 0 : sigmas;

	if (less)
		req_stats_subtract(&target, &less->side[SHIFT_TARGET]);
	if (target.v[M_FAILURES] >= (less ? 1 : MIN_FAILURES) &&
	    failure_probability(old, &target) <
		    (less ? alpha_without_one : alpha))
		return "failures";
	if (latency_excess(old, &target, M_FIRST_TOKEN_N) > z)
		return "first_event";
	if (latency_excess(old, &target, M_GAP_N) > z)
		return "gaps";
	return NULL;
}

/* Returns the set of the target's servers in reports; names are not copied. */
static GHashTable *servers_of(const canary_stats_t *s)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == M_REQUESTS && t->side == SHIFT_TARGET)
			g_hash_table_add(set, t->server);
	}
	return set;
}

/*
 * Whether a finding holds without any single server of the target: one faulty
 * server does not condemn a version that others run well.
 */
static bool holds_without_any_server(const canary_stats_t *s, bool recent,
				     const char *route, const route_sum_t *r)
{
	GHashTable *servers = servers_of(s);
	bool holds = true;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, servers);
	while (holds && g_hash_table_size(servers) > 1 &&
	       g_hash_table_iter_next(&it, &name, NULL)) {
		GHashTable *one = by_route(s, recent, name);
		const route_sum_t *less = g_hash_table_lookup(one, route);

		holds = !less || condemning_metric(r, less) != NULL;
		g_hash_table_destroy(one);
	}
	g_hash_table_destroy(servers);
	return holds;
}

static canary_finding_t compare(const canary_stats_t *s, bool recent)
{
	GHashTable *routes = by_route(s, recent, NULL);
	canary_finding_t f = { 0 };
	GHashTableIter it;
	gpointer route;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (!f.why && g_hash_table_iter_next(&it, &route, &r)) {
		const char *why = condemning_metric(r, NULL);

		if (!why || !holds_without_any_server(s, recent, route, r))
			continue;
		f.why = why;
		g_strlcpy(f.route, route, sizeof(f.route));
	}
	g_hash_table_destroy(routes);
	return f;
}

/*
 * Takes a checkpoint of the values every RECENT_MS, to compare what came after.
 */
static void take_checkpoint(canary_stats_t *s, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now - s->checkpoint_at < RECENT_MS)
		return;
	s->checkpoint_at = now;
	g_hash_table_iter_init(&it, s->reported);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		reported_t *t = v;

		t->at_earlier_checkpoint = t->at_checkpoint;
		t->at_checkpoint = t->value;
	}
}

/*
 * Returns the evidence against the target, over the whole rollout, then recent.
 */
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now)
{
	canary_finding_t f = compare(s, false);

	if (!f.why)
		f = compare(s, true);
	take_checkpoint(s, now);
	return f;
}
