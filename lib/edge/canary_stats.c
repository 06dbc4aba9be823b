/*
 * What all hosts counted of a move, and whether it speaks against the target:
 * more failures than the old version has at the same time, or times that are
 * longer, over all of the move or lately, on any route.
 */
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include "edge/priv.h"

enum {
	RECENT_MS = 2000, /* what is compared by itself, so that a version that
			     turns bad late is not hidden by its good past */
	FAILURES_LEAST = 3,
	NEED_TIMES = 8, /* times of each side before they are compared */
	CELL_PARTS = 4, /* of a cell's name */
	RUNNING = -1,	/* stands for the requests that run on the old side */
};

static const double alpha = 1e-5;	    /* of a false alarm at one look */
static const double alpha_rest = 0.01;	    /* without the worst server */
static const double failures_usual = 0.005; /* at least, of any version */
static const double usual_weight = 20;	/* requests that say so beforehand, */
static const double usual_failures = 1; /* with so many failures */
static const double slow_times = 2;	/* as slow is bad */
static const double sigmas = 4.5;	/* by which it must be slower */

/* A value that a host told. */
typedef struct reported {
	uint64_t host;
	shift_side_t side;
	int metric;   /* metric_t, or RUNNING */
	char *server; /* of the target */
	char *route;
	uint64_t value;
	uint64_t at_mark;     /* at the last mark of all values */
	uint64_t before_mark; /* and at the one before that */
} reported_t;

/* What one route says, or one server on it. */
typedef struct route_sum {
	req_stats_t side[SHIFT_SIDES];
} route_sum_t;

struct canary_stats {
	GHashTable *told; /* reported_t by host and cell */
	ms_t marked_at;
};

static void told_free(gpointer v)
{
	reported_t *t = v;

	g_free(t->server);
	g_free(t->route);
	g_free(t);
}

/* Returns the sums of a move of which nothing was told. */
canary_stats_t *canary_stats_new(ms_t now)
{
	canary_stats_t *s = g_new0(canary_stats_t, 1);

	s->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					told_free);
	s->marked_at = now;
	return s;
}

/* Frees the sums. */
void canary_stats_free(canary_stats_t *s)
{
	g_hash_table_destroy(s->told);
	g_free(s);
}

/* Reads a cell's name, as SHIFT_CELL writes it. */
static bool read_cell(reported_t *t, const char *cell)
{
	char **part;
	guint64 side = 0;
	guint64 metric = 0;
	bool ok;

	if (strcmp(cell, SHIFT_CELL_RUNNING) == 0) {
		t->metric = RUNNING;
		return true;
	}
	part = g_strsplit(cell, "/", CELL_PARTS);
	ok = g_strv_length(part) == CELL_PARTS &&
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
 * Takes a value that a host told: a count since its start. Returns false when
 * the cell's name can't be read.
 */
bool canary_stats_report(canary_stats_t *s, uint64_t host, const char *cell,
			 uint64_t value)
{
	char *key = g_strdup_printf("%" PRIx64 "/%s", host, cell);
	reported_t *t = g_hash_table_lookup(s->told, key);

	if (t) {
		g_free(key);
		t->value = value;
		return true;
	}
	t = g_new0(reported_t, 1);
	t->host = host;
	t->value = value;
	if (!read_cell(t, cell)) {
		told_free(t);
		g_free(key);
		return false;
	}
	g_hash_table_insert(s->told, key, t);
	return true;
}

/* A host is gone: nothing of it runs any more. What it counted stays. */
void canary_stats_host_gone(canary_stats_t *s, uint64_t host)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		reported_t *t = v;

		if (t->host == host && t->metric == RUNNING)
			t->value = 0;
	}
}

/* Sum of a counter over all hosts, routes and servers. */
uint64_t canary_stats_total(const canary_stats_t *s, shift_side_t side,
			    metric_t k)
{
	GHashTableIter it;
	gpointer v;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, s->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == (int)k && t->side == side)
			sum += t->value;
	}
	return sum;
}

/* Requests that still run on the old version. */
uint64_t canary_stats_running(const canary_stats_t *s)
{
	GHashTableIter it;
	gpointer v;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, s->told);
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

/* Sums by route, and of one server of the target if that is given. */
static GHashTable *by_route(const canary_stats_t *s, bool recent,
			    const char *server)
{
	GHashTable *routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == RUNNING ||
		    (server && strcmp(t->server, server) != 0))
			continue;
		route_get(routes, t->route)->side[t->side].v[t->metric] +=
			t->value - (recent ? t->before_mark : 0);
	}
	return routes;
}

/* Probability that a good version fails so often, compared with the old. */
static double chance(const req_stats_t *old, const req_stats_t *target)
{
	double usual = ((double)old->v[M_FAILURES] + usual_failures) /
		       ((double)old->v[M_REQUESTS] + usual_weight);

	return poisson_tail((double)target->v[M_REQUESTS] *
				    MAX(usual, failures_usual),
			    (double)target->v[M_FAILURES], true);
}

/* How many standard errors the target is beyond slow_times of the old. */
static double slower(const req_stats_t *old, const req_stats_t *target,
		     metric_t k)
{
	if (target->v[k] < NEED_TIMES || old->v[k] < NEED_TIMES)
		return 0;
	return (req_stats_mean(target, k) - req_stats_mean(old, k) -
		log2(slow_times)) /
	       sqrt(req_stats_variance(target, k) / (double)target->v[k] +
		    req_stats_variance(old, k) / (double)old->v[k]);
}

/*
 * What the route says against the target, or NULL. With less, which is one of
 * its servers, a weaker sign from the others is enough.
 */
static const char *blame(const route_sum_t *r, const route_sum_t *less)
{
	const req_stats_t *old = &r->side[SHIFT_OLD];
	req_stats_t target = r->side[SHIFT_TARGET];
	double z = less ? 0 : sigmas;

	if (less)
		req_stats_subtract(&target, &less->side[SHIFT_TARGET]);
	if (target.v[M_FAILURES] >= (less ? 1 : FAILURES_LEAST) &&
	    chance(old, &target) < (less ? alpha_rest : alpha))
		return "failures";
	if (slower(old, &target, M_FIRST_TOKEN_N) > z)
		return "first_event";
	if (slower(old, &target, M_GAP_N) > z)
		return "gaps";
	return NULL;
}

/* The target's servers that were told of; their names are not copied. */
static GHashTable *servers_of(const canary_stats_t *s)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const reported_t *t = v;

		if (t->metric == M_REQUESTS && t->side == SHIFT_TARGET)
			g_hash_table_add(set, t->server);
	}
	return set;
}

/* One server alone does not condemn a version that others run as well. */
static bool stands_without(const canary_stats_t *s, bool recent,
			   const char *route, const route_sum_t *r)
{
	GHashTable *servers = servers_of(s);
	bool stands = true;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, servers);
	while (stands && g_hash_table_size(servers) > 1 &&
	       g_hash_table_iter_next(&it, &name, NULL)) {
		GHashTable *one = by_route(s, recent, name);
		const route_sum_t *less = g_hash_table_lookup(one, route);

		stands = !less || blame(r, less) != NULL;
		g_hash_table_destroy(one);
	}
	g_hash_table_destroy(servers);
	return stands;
}

static canary_finding_t find(const canary_stats_t *s, bool recent)
{
	GHashTable *routes = by_route(s, recent, NULL);
	canary_finding_t f = { 0 };
	GHashTableIter it;
	gpointer route;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (!f.why && g_hash_table_iter_next(&it, &route, &r)) {
		const char *why = blame(r, NULL);

		if (!why || !stands_without(s, recent, route, r))
			continue;
		f.why = why;
		g_strlcpy(f.route, route, sizeof(f.route));
	}
	g_hash_table_destroy(routes);
	return f;
}

/* Remembers the values, so that what came after can be seen by itself. */
static void mark(canary_stats_t *s, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now - s->marked_at < RECENT_MS)
		return;
	s->marked_at = now;
	g_hash_table_iter_init(&it, s->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		reported_t *t = v;

		t->before_mark = t->at_mark;
		t->at_mark = t->value;
	}
}

/* What speaks against the target now. */
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now)
{
	canary_finding_t f = find(s, false);

	if (!f.why)
		f = find(s, true);
	mark(s, now);
	return f;
}
