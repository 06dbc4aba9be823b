/*
 * What the analysis of a rollout notes over time: when each server of the
 * target answered, in which spans of time requests failed, and the counters at
 * checkpoints.
 */
#include "edge/canary.h"

enum {
	RECENT_MS = 2000, /* recent counts are also compared by themselves, so
			     that a version that turns bad late is not hidden by
			     its good start */
	SPAN_MS = 500,	  /* hosts report an incident within it */
};

/* Returns the life of a server of the target; it is made if there is none. */
static life_t *life_get(canary_stats_t *s, const char *server)
{
	life_t *l = g_hash_table_lookup(s->lives, server);

	if (!l) {
		char *key = g_strdup(server);

		l = g_new0(life_t, 1);
		l->server = key;
		g_hash_table_insert(s->lives, key, l);
	}
	return l;
}

/* Notes in a life that its counters have grown to a sum. */
static void life_grow(life_t *l, const req_stats_t *sum, ms_t now)
{
	if (sum->v[M_REQUESTS] > l->seen.v[M_REQUESTS]) {
		if (l->seen.v[M_REQUESTS] == 0)
			l->first_at = now;
		l->last_at = now;
	}
	if (sum->v[M_REQUESTS] + l->seen.v[M_FAILURES] >
	    l->seen.v[M_REQUESTS] + sum->v[M_FAILURES])
		l->passed_at = now;
	l->seen = *sum;
}

static void look_at_lives(canary_stats_t *s, ms_t now)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter it;
	gpointer server;
	gpointer v;

	g_hash_table_iter_init(&it, s->cells);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const canary_cell_t *l = v;
		req_stats_t *sum;

		if (l->side != SHIFT_TARGET)
			continue;
		sum = g_hash_table_lookup(sums, l->server);
		if (!sum) {
			sum = g_new0(req_stats_t, 1);
			g_hash_table_insert(sums, l->server, sum);
		}
		req_stats_merge(sum, &l->all);
	}
	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, &server, &v))
		life_grow(life_get(s, server), v, now);
	g_hash_table_destroy(sums);
}

/*
 * Returns in how many spans of time requests of a route failed at the target,
 * over the whole rollout or recently.
 */
unsigned int canary_stats_failing_spans(const canary_stats_t *s,
					const char *route, bool recent)
{
	const failing_spans_t *f = g_hash_table_lookup(s->failing, route);

	if (!f)
		return 0;
	return f->n - (recent ? f->at_earlier_checkpoint : 0);
}

/* Returns how many recent spans a rollout of its duration has, at least 1. */
unsigned int canary_stats_recent_spans(const canary_stats_t *s)
{
	return (unsigned int)MAX(s->duration / RECENT_MS, 1);
}

static void look_at_route(canary_stats_t *s, const char *route,
			  const route_sum_t *r, ms_t now)
{
	failing_spans_t *f = g_hash_table_lookup(s->failing, route);
	uint64_t failures = r->side[SHIFT_TARGET].v[M_FAILURES];

	if (!f) {
		f = g_new0(failing_spans_t, 1);
		g_hash_table_insert(s->failing, g_strdup(route), f);
	}
	if (failures > f->failures && (f->n == 0 || now - f->from >= SPAN_MS)) {
		f->n++;
		f->from = now;
	}
	f->failures = failures;
}

static void look_at_failures(canary_stats_t *s, ms_t now)
{
	GHashTable *routes = canary_stats_by_route(s, false, NULL, NULL);
	GHashTableIter it;
	gpointer route;
	gpointer r;

	g_hash_table_iter_init(&it, routes);
	while (g_hash_table_iter_next(&it, &route, &r))
		look_at_route(s, route, r, now);
	g_hash_table_destroy(routes);
}

/* Takes a checkpoint every RECENT_MS, to compare what came after. */
static void take_checkpoint(canary_stats_t *s, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (now - s->checkpoint_at < RECENT_MS)
		return;
	s->checkpoint_at = now;
	g_hash_table_iter_init(&it, s->cells);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		canary_cell_t *l = v;

		l->at_earlier_checkpoint = l->at_checkpoint;
		l->at_checkpoint = l->all;
	}
	g_hash_table_iter_init(&it, s->failing);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		failing_spans_t *f = v;

		f->at_earlier_checkpoint = f->at_checkpoint;
		f->at_checkpoint = f->n;
	}
}

/* Notes what has changed since the last look. */
void canary_stats_look(canary_stats_t *s, ms_t now)
{
	look_at_lives(s, now);
	look_at_failures(s, now);
	take_checkpoint(s, now);
}
