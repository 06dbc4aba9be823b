/* Evidence: own counters into registers, and all registers summed. */
#include <inttypes.h>
#include <string.h>
#include "move/priv.h"

enum {
	ARRIVAL = 5000, /* ms for all registers of another entry to come */
};

static const char *const metric_names[METRICS] = { "n",	 "f",  "tn", "t",
						   "tq", "gn", "g",  "gq" };

/* Frees a route_seen_t. */
void route_free(gpointer p)
{
	route_seen_t *r = p;

	g_free(r->name);
	g_free(r);
}

/* Frees an own_t. */
void own_free(gpointer p)
{
	own_t *o = p;

	g_free(o->prefix);
	g_free(o);
}

static route_seen_t *route_get(move_t *v, const char *name)
{
	route_seen_t *r = g_hash_table_lookup(v->routes, name);

	if (r)
		return r;
	r = g_new0(route_seen_t, 1);
	r->name = g_strdup(name);
	g_hash_table_insert(v->routes, r->name, r);
	return r;
}

static own_t *own_get(moves_t *m, move_t *v, side_of_move_t side,
		      const sample_t *s)
{
	const char *server = s->server ? s->server : "";
	unsigned int row =
		(unsigned int)(hash64(server, strlen(server), 0) % SERVERS);
	char key[KEY_SIZE];
	own_t *o;

	g_snprintf(key, sizeof(key),
		   "ev/%" G_GUINT64_FORMAT "/%" PRIx64 "/%d/%u/%s", v->id,
		   m->inc, (int)side, row, s->route ? s->route : "");
	o = g_hash_table_lookup(v->own, key);
	if (o)
		return o;
	o = g_new0(own_t, 1);
	o->prefix = g_strdup(key);
	g_hash_table_insert(v->own, o->prefix, o);
	return o;
}

/* Whether the request says something of the version that ran it. */
static bool counts(const sample_t *s)
{
	return !code_not_run(s->code) && s->code != CODE_CANCELLED;
}

static bool failed(const sample_t *s)
{
	return s->code != CODE_OK || s->status >= 500;
}

/* Adds a request to this entry's counters. */
void evidence_note(moves_t *m, move_t *v, side_of_move_t side,
		   const sample_t *s)
{
	if (counts(s))
		req_stats_add(&own_get(m, v, side, s)->cell, failed(s),
			      (double)s->first_token, (double)s->gap,
			      s->tokens);
}

/* Puts this entry's changed counters into registers. */
void evidence_flush(moves_t *m, move_t *v)
{
	GHashTableIter it;
	gpointer p;
	char key[KEY_SIZE + 8];

	g_hash_table_iter_init(&it, v->own);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		own_t *o = p;

		for (int k = 0; k < METRICS; k++) {
			if (o->cell.v[k] == o->told.v[k])
				continue;
			g_snprintf(key, sizeof(key), "%s/%s", o->prefix,
				   metric_names[k]);
			facts_raise(m->facts, key, o->cell.v[k]);
		}
		o->told = o->cell;
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

/* Where a register belongs: a counter of one version on one route. */
typedef struct place_of_reg {
	route_seen_t *route; /* NULL: nowhere */
	uint64_t side;
	uint64_t row;
	int metric;
	bool past; /* its first value is older than our watch */
} place_of_reg_t;

/*
 * Whether the entry INC has only just been seen in move ID. What its registers
 * then hold was gathered before, under other shares, and is no stratum.
 */
static bool just_seen(moves_t *m, const char *id, const char *inc, ms_t now)
{
	char *source = g_strdup_printf("%s/%s", id, inc);
	ms_t *at = g_hash_table_lookup(m->sources, source);

	if (g_ascii_strtoull(inc, NULL, 16) == m->inc) {
		g_free(source);
		return false;
	}
	if (at) {
		g_free(source);
		return now - *at < ARRIVAL;
	}
	at = g_new(ms_t, 1);
	*at = now;
	g_hash_table_insert(m->sources, source, at);
	return true;
}

/* Reads a register's name, ev/ID/INC/SIDE/ROW/ROUTE/METRIC. */
static place_of_reg_t place_of(moves_t *m, const char *key, ms_t now)
{
	char **part = g_strsplit(key, "/", 6);
	char *last = part[0] && g_strv_length(part) == 6 ? strrchr(part[5], '/')
							 : NULL;
	place_of_reg_t p = { 0 };

	if (last) {
		move_t *v = move_find(m, g_ascii_strtoull(part[1], NULL, 10));

		p.side = g_ascii_strtoull(part[3], NULL, 10);
		p.row = g_ascii_strtoull(part[4], NULL, 10);
		p.metric = metric_of(last + 1);
		*last = '\0';
		if (v && p.metric >= 0 && p.side < MOVE_SIDES &&
		    p.row < SERVERS) {
			p.route = route_get(v, part[5]);
			p.past = just_seen(m, part[1], part[2], now);
		}
	}
	g_strfreev(part);
	return p;
}

static void read_one(moves_t *m, const fact_kv_t *kv, ms_t now)
{
	reg_t *r = g_hash_table_lookup(m->regs, kv->key.p);

	if (!r) {
		place_of_reg_t p = place_of(m, kv->key.p, now);

		if (!p.route)
			return;
		r = g_new0(reg_t, 1);
		r->sum = &p.route->total[p.side].servers[p.row].v[p.metric];
		if (p.past)
			p.route->before[p.side].servers[p.row].v[p.metric] +=
				kv->value;
		g_hash_table_insert(m->regs, g_strdup(kv->key.p), r);
	}
	*r->sum += kv->value - r->value;
	r->value = kv->value;
}

/* Adds to the sums what has changed in the registers. */
void evidence_read(moves_t *m, ms_t now)
{
	fact_kv_t kv[64];
	size_t n;

	do {
		n = facts_since(m->facts, m->seen, kv, G_N_ELEMENTS(kv),
				&m->seen);
		for (size_t i = 0; i < n; i++) {
			if (!strncmp(kv[i].key.p, "ev/", 3))
				read_one(m, &kv[i], now);
		}
	} while (n == G_N_ELEMENTS(kv));
}

/*
 * Sums all registers again, as moves have come or gone. What is in them now is
 * part of no stratum to come.
 */
void evidence_again(moves_t *m, ms_t now)
{
	GHashTableIter moves;
	GHashTableIter routes;
	gpointer v;
	gpointer p;

	g_hash_table_remove_all(m->regs);
	m->seen = 0;
	g_hash_table_iter_init(&moves, m->all);
	while (g_hash_table_iter_next(&moves, NULL, &v)) {
		g_hash_table_iter_init(&routes, ((move_t *)v)->routes);
		while (g_hash_table_iter_next(&routes, NULL, &p)) {
			route_seen_t *r = p;

			for (int i = 0; i < MOVE_SIDES; i++)
				memset(r->total[i].servers, 0,
				       sizeof(r->total[i].servers));
		}
	}
	evidence_read(m, now);
	g_hash_table_iter_init(&moves, m->all);
	while (g_hash_table_iter_next(&moves, NULL, &v)) {
		g_hash_table_iter_init(&routes, ((move_t *)v)->routes);
		while (g_hash_table_iter_next(&routes, NULL, &p)) {
			route_seen_t *r = p;

			memcpy(r->before, r->total, sizeof(r->total));
		}
	}
}

/* A counter over all servers, less what it was at since if that is given. */
uint64_t tally_sum(const tally_t *t, const tally_t *since, metric_t k)
{
	uint64_t sum = 0;

	for (int i = 0; i < SERVERS; i++)
		sum += t->servers[i].v[k] -
		       (since ? since->servers[i].v[k] : 0);
	return sum;
}

/* Ends a stratum of time on every route. */
void evidence_look(move_t *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		stat_stratum(p);
}

/* Marks the start of a stage. */
void evidence_stage(move_t *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		route_seen_t *r = p;

		memcpy(r->stage, r->total, sizeof(r->total));
		memset(&r->scores[SCORE_STAGE], 0, sizeof(score_t));
	}
}
