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

G_STATIC_ASSERT(SPAN_MS >= 2 * SHIFT_REPORT_MS);

/* Notes in a life by how much its counters have grown. */
static void life_grow(life_t *l, ms_t now)
{
	const req_stats_t *sum = &l->sum;

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
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->lives);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((life_t *)v)->sum = (req_stats_t){ 0 };
	g_hash_table_iter_init(&it, s->cells);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const canary_cell_t *l = v;

		if (l->life)
			req_stats_merge(&l->life->sum, &l->all);
	}
	g_hash_table_iter_init(&it, s->lives);
	while (g_hash_table_iter_next(&it, NULL, &v))
		life_grow(v, now);
}

static failing_spans_t *spans_of(const canary_stats_t *s, unsigned int route)
{
	return &((canary_route_t *)s->routes->pdata[route])->failing;
}

/*
 * Returns in how many spans of time requests of a route failed at the target,
 * over the whole rollout or recently.
 */
unsigned int canary_stats_failing_spans(const canary_stats_t *s,
					unsigned int route, bool recent)
{
	const failing_spans_t *f = spans_of(s, route);

	return f->n - (recent ? f->at_earlier_checkpoint : 0);
}

/* Returns how many recent spans a rollout of its duration has, at least 1. */
unsigned int canary_stats_recent_spans(const canary_stats_t *s)
{
	return (unsigned int)MAX(s->duration / RECENT_MS, 1);
}

static void look_at_route(failing_spans_t *f, const route_sum_t *r, ms_t now)
{
	uint64_t failures = r->side[SHIFT_TARGET].v[M_FAILURES];

	if (failures > f->failures && (f->n == 0 || now - f->from >= SPAN_MS)) {
		f->n++;
		f->from = now;
	}
	f->failures = failures;
}

static void look_at_failures(canary_stats_t *s, ms_t now)
{
	route_sum_t *routes = canary_stats_by_route(s, false, NULL, NULL);

	for (guint i = 0; i < s->routes->len; i++)
		look_at_route(spans_of(s, i), &routes[i], now);
	g_free(routes);
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
	for (guint i = 0; i < s->routes->len; i++) {
		failing_spans_t *f = spans_of(s, i);

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
