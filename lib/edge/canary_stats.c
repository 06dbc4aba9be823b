/*
 * Counters of a rollout from all hosts, and their sums.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/canary.h"

enum {
	NAME_FIELDS = 4, /* of a counter */
};

static void route_free(gpointer v)
{
	canary_route_t *r = v;

	g_free(r->name);
	g_free(r);
}

/* Returns empty counters of a rollout that should take that duration. */
canary_stats_t *canary_stats_new(ms_t duration, ms_t now)
{
	canary_stats_t *s = g_new0(canary_stats_t, 1);

	s->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->cells =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->lives =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->routes = g_ptr_array_new_with_free_func(route_free);
	s->odds = odds_new();
	s->duration = duration;
	s->checkpoint_at = now;
	return s;
}

/* Frees the counters. */
void canary_stats_free(canary_stats_t *s)
{
	g_ptr_array_free(s->routes, TRUE);
	g_hash_table_destroy(s->lives);
	g_hash_table_destroy(s->reported);
	g_hash_table_destroy(s->cells);
	odds_free(s->odds);
	g_free(s);
}

/* Returns the index of a route; it is made if there is none. */
static unsigned int route_get(canary_stats_t *s, const char *name)
{
	canary_route_t *r;

	for (guint i = 0; i < s->routes->len; i++) {
		r = s->routes->pdata[i];
		if (strcmp(r->name, name) == 0)
			return i;
	}
	r = g_new0(canary_route_t, 1);
	r->name = g_strdup(name);
	g_ptr_array_add(s->routes, r);
	return s->routes->len - 1;
}

/* Returns the life of a server of the target; it is made if there is none. */
static life_t *life_get(canary_stats_t *s, const char *server)
{
	life_t *l = g_hash_table_lookup(s->lives, server);

	if (!l) {
		l = g_new0(life_t, 1);
		g_hash_table_insert(s->lives, g_strdup(server), l);
	}
	return l;
}

/* Returns the sum of a server's counters on a route; made if there is none. */
static canary_cell_t *cell_get(canary_stats_t *s, shift_side_t side,
			       const char *server, const char *route)
{
	char *key = g_strdup_printf("%d/%s/%s", (int)side, server, route);
	canary_cell_t *l = g_hash_table_lookup(s->cells, key);

	if (l) {
		g_free(key);
		return l;
	}
	l = g_new0(canary_cell_t, 1);
	l->side = side;
	l->life = side == SHIFT_TARGET ? life_get(s, server) : NULL;
	l->route = route_get(s, route);
	g_hash_table_insert(s->cells, key, l);
	return l;
}

/* Finds what a counter's name, in the format of SHIFT_CELL, stands for. */
static bool parse_name(canary_stats_t *s, reported_t *t, const char *name)
{
	char **part;
	guint64 side = 0;
	guint64 metric = 0;
	bool ok;

	if (strcmp(name, SHIFT_CELL_RUNNING) == 0)
		return true;
	part = g_strsplit(name, "/", NAME_FIELDS);
	ok = g_strv_length(part) == NAME_FIELDS &&
	     g_ascii_string_to_unsigned(part[0], 10, 0, SHIFT_SIDES - 1, &side,
					NULL) &&
	     g_ascii_string_to_unsigned(part[1], 10, 0, METRICS - 1, &metric,
					NULL);
	if (ok) {
		t->metric = (metric_t)metric;
		t->cell = cell_get(s, (shift_side_t)side, part[2], part[3]);
	}
	g_strfreev(part);
	return ok;
}

static void set_value(reported_t *t, uint64_t value)
{
	if (t->cell)
		t->cell->all.v[t->metric] += value - t->value;
	t->value = value;
}

/*
 * Takes a value that a host reported: a count since its start. Returns false if
 * the counter's name is malformed.
 */
bool canary_stats_report(canary_stats_t *s, uint64_t host, const char *name,
			 uint64_t value)
{
	char *key = g_strdup_printf("%" PRIx64 "/%s", host, name);
	reported_t *t = g_hash_table_lookup(s->reported, key);

	if (t) {
		g_free(key);
		set_value(t, value);
		return true;
	}
	t = g_new0(reported_t, 1);
	t->host = host;
	if (!parse_name(s, t, name)) {
		g_free(t);
		g_free(key);
		return false;
	}
	set_value(t, value);
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

		if (t->host == host && !t->cell)
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

	g_hash_table_iter_init(&it, s->cells);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const canary_cell_t *l = v;

		sum += l->side == side ? l->all.v[k] : 0;
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

		sum += t->cell ? 0 : t->value;
	}
	return sum;
}

/*
 * Returns the sums by route, over the whole rollout or recent ones, of the
 * servers that counts accepts; of all if it is NULL. The caller frees them.
 */
route_sum_t *canary_stats_by_route(const canary_stats_t *s, bool recent,
				   bool (*counts)(void *ctx,
						  const canary_cell_t *l),
				   void *ctx)
{
	route_sum_t *routes = g_new0(route_sum_t, s->routes->len);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->cells);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const canary_cell_t *l = v;
		req_stats_t sum = l->all;

		if (counts && !counts(ctx, l))
			continue;
		if (recent)
			req_stats_subtract(&sum, &l->at_earlier_checkpoint);
		req_stats_merge(&routes[l->route].side[l->side], &sum);
	}
	return routes;
}
