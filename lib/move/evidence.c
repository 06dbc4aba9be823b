/*
 * Evidence for the canary analysis: publishes this entry's counters in
 * registers and sums the registers of all entries.
 */
#include <inttypes.h>
#include <string.h>
#include "move/priv.h"

enum {
	ARRIVAL_MS = 5000, /* for all registers of another entry to arrive */
};

static const char *const metric_names[METRICS] = { "n",	 "f",  "tn", "t",
						   "tq", "gn", "g",  "gq" };

/* Frees a move_route_t. */
void route_free(gpointer p)
{
	move_route_t *r = p;

	g_free(r->name);
	g_free(r);
}

/* Frees a local_stats_t. */
void local_stats_free(gpointer p)
{
	local_stats_t *o = p;

	g_free(o->prefix);
	g_free(o);
}

static move_route_t *route_get(move_t *v, const char *name)
{
	move_route_t *r = g_hash_table_lookup(v->routes, name);

	if (r)
		return r;
	r = g_new0(move_route_t, 1);
	r->name = g_strdup(name);
	g_hash_table_insert(v->routes, r->name, r);
	return r;
}

static local_stats_t *local_stats_get(moves_t *m, move_t *v, move_side_t side,
				      const sample_t *s)
{
	const char *server = s->server ? s->server : "";
	unsigned int bucket = (unsigned int)(hash64(server, strlen(server), 0) %
					     SERVER_BUCKETS);
	char key[KEY_SIZE];
	local_stats_t *o;

	g_snprintf(key, sizeof(key),
		   "ev/%" G_GUINT64_FORMAT "/%" PRIx64 "/%d/%u/%s", v->id,
		   m->inc, (int)side, bucket, s->route ? s->route : "");
	o = g_hash_table_lookup(v->local, key);
	if (o)
		return o;
	o = g_new0(local_stats_t, 1);
	o->prefix = g_strdup(key);
	g_hash_table_insert(v->local, o->prefix, o);
	return o;
}

/* Whether the outcome of the request depends on the version that ran it. */
static bool is_evidence(const sample_t *s)
{
	return !code_not_run(s->code) && s->code != CODE_CANCELLED;
}

static bool failed(const sample_t *s)
{
	return s->code != CODE_OK || s->status >= 500;
}

/* Adds a request to this entry's counters. */
void evidence_add(moves_t *m, move_t *v, move_side_t side, const sample_t *s)
{
	if (is_evidence(s))
		req_stats_add(&local_stats_get(m, v, side, s)->stats, failed(s),
			      (double)s->first_token, (double)s->gap,
			      s->tokens);
}

/* Publishes this entry's changed counters in registers. */
void evidence_flush(moves_t *m, move_t *v)
{
	GHashTableIter it;
	gpointer p;
	char key[KEY_SIZE + 8];

	g_hash_table_iter_init(&it, v->local);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		local_stats_t *o = p;

		for (int k = 0; k < METRICS; k++) {
			if (o->stats.v[k] == o->published.v[k])
				continue;
			g_snprintf(key, sizeof(key), "%s/%s", o->prefix,
				   metric_names[k]);
			facts_raise(m->facts, key, o->stats.v[k]);
		}
		o->published = o->stats;
	}
}

static int metric_of(const char *name)
{
	for (int k = 0; k < METRICS; k++) {
		if (!strcmp(metric_names[k], name))
			return k;
	}
	return -1;
}

/* The counter that a register is part of. */
typedef struct reg_target {
	move_route_t *route; /* NULL: not of a current move */
	uint64_t side;
	uint64_t bucket;
	int metric;
	bool gathered_before; /* its first value belongs to no stratum */
} reg_target_t;

/*
 * Whether the first register of entry INC in move ID arrived less than
 * ARRIVAL_MS ago. The values that its registers then hold were gathered before,
 * under other traffic shares, and belong to no stratum.
 */
static bool arriving(moves_t *m, const char *id, const char *inc, ms_t now)
{
	char *source = g_strdup_printf("%s/%s", id, inc);
	ms_t *at = g_hash_table_lookup(m->source_seen, source);

	if (g_ascii_strtoull(inc, NULL, 16) == m->inc) {
		g_free(source);
		return false;
	}
	if (at) {
		g_free(source);
		return now - *at < ARRIVAL_MS;
	}
	at = g_new(ms_t, 1);
	*at = now;
	g_hash_table_insert(m->source_seen, source, at);
	return true;
}

/* Reads a register's name, ev/ID/INC/SIDE/BUCKET/ROUTE/METRIC. */
static reg_target_t reg_parse(moves_t *m, const char *key, ms_t now)
{
	char **part = g_strsplit(key, "/", 6);
	char *last = part[0] && g_strv_length(part) == 6 ? strrchr(part[5], '/')
							 : NULL;
	reg_target_t p = { 0 };

	if (last) {
		move_t *v = move_find(m, g_ascii_strtoull(part[1], NULL, 10));

		p.side = g_ascii_strtoull(part[3], NULL, 10);
		p.bucket = g_ascii_strtoull(part[4], NULL, 10);
		p.metric = metric_of(last + 1);
		*last = '\0';
		if (v && p.metric >= 0 && p.side < MOVE_SIDES &&
		    p.bucket < SERVER_BUCKETS) {
			p.route = route_get(v, part[5]);
			p.gathered_before = arriving(m, part[1], part[2], now);
		}
	}
	g_strfreev(part);
	return p;
}

static void add_register(moves_t *m, const fact_kv_t *kv, ms_t now)
{
	summed_reg_t *r = g_hash_table_lookup(m->regs, kv->key.p);

	if (!r) {
		reg_target_t p = reg_parse(m, kv->key.p, now);

		if (!p.route)
			return;
		r = g_new0(summed_reg_t, 1);
		r->sum = &p.route->total[p.side].servers[p.bucket].v[p.metric];
		if (p.gathered_before)
			p.route->stratum_start[p.side]
				.servers[p.bucket]
				.v[p.metric] += kv->value;
		g_hash_table_insert(m->regs, g_strdup(kv->key.p), r);
	}
	*r->sum += kv->value - r->value;
	r->value = kv->value;
}

/* Adds the registers' changes to the sums. */
void evidence_read(moves_t *m, ms_t now)
{
	fact_kv_t kv[64];
	size_t n;

	do {
		n = facts_since(m->facts, m->facts_seq, kv, G_N_ELEMENTS(kv),
				&m->facts_seq);
		for (size_t i = 0; i < n; i++) {
			if (!strncmp(kv[i].key.p, "ev/", 3))
				add_register(m, &kv[i], now);
		}
	} while (n == G_N_ELEMENTS(kv));
}

/*
 * Sums all registers anew after moves were added or removed. Their present
 * values are not counted in any later stratum.
 */
void evidence_recompute(moves_t *m, ms_t now)
{
	GHashTableIter moves;
	GHashTableIter routes;
	gpointer v;
	gpointer p;

	g_hash_table_remove_all(m->regs);
	m->facts_seq = 0;
	g_hash_table_iter_init(&moves, m->by_id);
	while (g_hash_table_iter_next(&moves, NULL, &v)) {
		g_hash_table_iter_init(&routes, ((move_t *)v)->routes);
		while (g_hash_table_iter_next(&routes, NULL, &p)) {
			move_route_t *r = p;

			for (int i = 0; i < MOVE_SIDES; i++)
				memset(r->total[i].servers, 0,
				       sizeof(r->total[i].servers));
		}
	}
	evidence_read(m, now);
	g_hash_table_iter_init(&moves, m->by_id);
	while (g_hash_table_iter_next(&moves, NULL, &v)) {
		g_hash_table_iter_init(&routes, ((move_t *)v)->routes);
		while (g_hash_table_iter_next(&routes, NULL, &p)) {
			move_route_t *r = p;

			memcpy(r->stratum_start, r->total, sizeof(r->total));
		}
	}
}

/* Sums a counter over all servers; subtracts the sum at since unless NULL. */
uint64_t version_stats_sum(const version_stats_t *t,
			   const version_stats_t *since, metric_t k)
{
	uint64_t sum = 0;

	for (int i = 0; i < SERVER_BUCKETS; i++)
		sum += t->servers[i].v[k] -
		       (since ? since->servers[i].v[k] : 0);
	return sum;
}

/* Ends a stratum of time on every route. */
void evidence_end_stratum(move_t *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		stat_end_stratum(p);
}

/* Marks the start of a stage. */
void evidence_start_stage(move_t *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		move_route_t *r = p;

		memcpy(r->stage_start, r->total, sizeof(r->total));
		memset(&r->windows[WINDOW_STAGE], 0, sizeof(comparison_t));
	}
}
