/* Rollouts of new versions: their stages, and how they end. */
#include <string.h>
#include "move/priv.h"

enum {
	STRATUM_MS = 2000, /* length of a stratum of the evidence */
	NOTIFY_MS = 5000,  /* between calls of ended; up to twice this */
	SETTLE_MS = 3000,  /* a late alarm in it still prevents MOVE_DONE */
};

static void move_free(gpointer p)
{
	move_t *v = p;

	g_hash_table_destroy(v->routes);
	g_hash_table_destroy(v->local);
	g_free(v->service);
	g_free(v->version[MOVE_OLD]);
	g_free(v->version[MOVE_NEW]);
	g_free(v->evidence);
	g_free(v);
}

static void service_move_free(gpointer p)
{
	service_move_t *g = p;

	g_free(g->service);
	g_free(g->version);
	g_free(g);
}

static GHashTable *move_table_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     move_free);
}

/* Makes a set of moves without any service. */
moves_t *moves_new(facts_t *facts, uint64_t inc, const moves_ops_t *ops,
		   void *ctx)
{
	moves_t *m = g_new0(moves_t, 1);

	m->facts = facts;
	m->inc = inc;
	m->ops = ops;
	m->ctx = ctx;
	m->rand = g_rand_new_with_seed((guint32)(inc ^ (inc >> 32)));
	m->by_id = move_table_new();
	m->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    service_move_free);
	m->source_seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->regs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

/* Frees the moves; the facts stay. */
void moves_free(moves_t *m)
{
	g_hash_table_destroy(m->services);
	g_hash_table_destroy(m->regs);
	g_hash_table_destroy(m->source_seen);
	g_hash_table_destroy(m->by_id);
	g_rand_free(m->rand);
	g_free(m);
}

/* Returns the move of that id, or NULL. */
move_t *move_find(const moves_t *m, uint64_t id)
{
	return g_hash_table_lookup(m->by_id, &id);
}

/* Unix time in seconds, advanced from the last moves_set_intent. */
int64_t moves_unix(const moves_t *m, ms_t now)
{
	return m->set_unix + (now - m->set_at) / 1000;
}

/* State of a move: its result in the log, else by the registers. */
move_state_t move_state(const move_t *v)
{
	if (v->has_result)
		return v->result;
	if (v->bad)
		return MOVE_ROLLED_BACK;
	if (v->stage >= STAGE_DONE)
		return MOVE_DONE;
	return v->stage == STAGE_WATCH ? MOVE_WATCHING : MOVE_RUNNING;
}

/* Value of one of the registers of a move, "stage" or "bad". */
uint64_t move_fact(const moves_t *m, const char *what, uint64_t id)
{
	char key[64];

	g_snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT, what, id);
	return facts_get(m->facts, key);
}

static void raise_fact(moves_t *m, const char *what, uint64_t id,
		       uint64_t value)
{
	char key[64];

	g_snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT, what, id);
	facts_raise(m->facts, key, value);
}

/* Begins a stage now. */
static void begin_stage(const moves_t *m, move_t *v, uint64_t stage, ms_t now)
{
	v->stage = MIN(stage, STAGE_DONE);
	v->stage_at = now;
	v->stage_min = canary_stage_ms(v, v->by - moves_unix(m, now));
	evidence_start_stage(v);
}

static move_t *move_new(moves_t *m, const version_t *d, ms_t now)
{
	move_t *v = g_new0(move_t, 1);

	v->id = move_id(d);
	v->service = g_strdup(d->service);
	v->version[MOVE_OLD] = g_strdup(d->replaces);
	v->version[MOVE_NEW] = g_strdup(d->name);
	v->by = d->by;
	v->first_percent = d->first_percent ? d->first_percent : 2;
	v->bad = move_fact(m, "bad", v->id) != 0;
	v->turn = 1 - g_rand_double(m->rand);
	v->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  route_free);
	v->local = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 local_stats_free);
	v->picked_since = now;
	v->notify_at = now;
	begin_stage(m, v, move_fact(m, "stage", v->id), now);
	return v;
}

static const move_result_t *find_result(const GPtrArray *results, uint64_t id)
{
	for (guint i = 0; results && i < results->len; i++) {
		const move_result_t *r = g_ptr_array_index(results, i);

		if (r->op == id)
			return r;
	}
	return NULL;
}

/* Adds or keeps the moves of an intent, and removes all others. */
static void update_moves(moves_t *m, const intent_t *in,
			 const GPtrArray *results, ms_t now)
{
	GHashTable *old = m->by_id;

	m->by_id = move_table_new();
	for (guint i = 0; i < in->versions->len; i++) {
		const version_t *d = g_ptr_array_index(in->versions, i);
		const move_result_t *r;
		uint64_t id;
		move_t *v;

		if (!d->replaces)
			continue;
		id = move_id(d);
		v = g_hash_table_lookup(old, &id);
		if (v)
			g_hash_table_steal(old, &id);
		else
			v = move_new(m, d, now);
		r = find_result(results, id);
		v->has_result = r != NULL;
		v->result = r ? r->state : MOVE_RUNNING;
		g_hash_table_replace(m->by_id, &v->id, v);
	}
	g_hash_table_destroy(old);
}

/* The next move of the service away from the version; NULL: none. */
static move_t *move_from(const moves_t *m, const intent_t *in,
			 const char *service, const char *version)
{
	move_t *found = NULL;

	for (guint i = 0; i < in->versions->len; i++) {
		const version_t *d = g_ptr_array_index(in->versions, i);
		uint64_t id;
		move_t *v;

		if (!d->replaces || strcmp(d->service, service) != 0 ||
		    strcmp(d->replaces, version) != 0)
			continue;
		id = move_id(d);
		v = move_find(m, id);
		if (!v->has_result)
			return v;
		if (v->result == MOVE_DONE)
			found = v;
	}
	return found;
}

/* Finds the version in use: follows finished moves from the first version. */
static void resolve_service(moves_t *m, const intent_t *in,
			    const version_t *first)
{
	service_move_t *g;
	const char *version = first->name;
	move_t *v = move_from(m, in, first->service, version);
	guint steps = in->versions->len;

	if (g_hash_table_lookup(m->services, first->service))
		return;
	while (v && v->has_result && steps-- > 0) {
		version = v->version[MOVE_NEW];
		v = move_from(m, in, first->service, version);
	}
	g = g_new0(service_move_t, 1);
	g->service = g_strdup(first->service);
	g->version = g_strdup(version);
	g->move = v && !v->has_result ? v : NULL;
	g_hash_table_insert(m->services, g->service, g);
}

/* Removes the evidence of moves that have a result in the log. */
static void remove_evidence(moves_t *m)
{
	GHashTableIter it;
	gpointer p;
	char prefix[64];

	g_hash_table_iter_init(&it, m->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const move_t *v = p;

		if (!v->has_result)
			continue;
		g_snprintf(prefix, sizeof(prefix), "ev/%" G_GUINT64_FORMAT "/",
			   v->id);
		facts_drop(m->facts, prefix);
	}
}

/*
 * Sets the accepted intent; results are of move_result_t and end their moves
 * for good. unix_now is in seconds. May be called again with the same intent.
 */
void moves_set_intent(moves_t *m, const intent_t *in, uint64_t offset,
		      const GPtrArray *results, ms_t now, int64_t unix_now)
{
	(void)offset;
	m->set_at = now;
	m->set_unix = unix_now;
	update_moves(m, in, results, now);
	g_hash_table_remove_all(m->services);
	for (guint i = 0; i < in->versions->len; i++) {
		const version_t *d = g_ptr_array_index(in->versions, i);

		if (!d->replaces)
			resolve_service(m, in, d);
	}
	remove_evidence(m);
	evidence_recompute(m, now);
}

/* Whether the version was found bad or its move was rolled back. */
bool moves_is_bad(const moves_t *m, const char *service, const char *version)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const move_t *v = p;

		if (!strcmp(v->service, service) &&
		    !strcmp(v->version[MOVE_NEW], version) &&
		    move_state(v) == MOVE_ROLLED_BACK)
			return true;
	}
	return false;
}

/* Counts a finished request for its version. */
void moves_add_sample(moves_t *m, const sample_t *s, ms_t now)
{
	const service_move_t *g = g_hash_table_lookup(m->services, s->service);
	move_t *v = g ? g->move : NULL;

	if (!v || !s->version)
		return;
	for (int side = 0; side < MOVE_SIDES; side++) {
		if (strcmp(s->version, v->version[side]) != 0)
			continue;
		move_request_done(v, (move_side_t)side);
		evidence_add(m, v, (move_side_t)side, s);
	}
	move_expire_in_progress(v, now);
}

/* Reads the registers of a move that other entries may have raised. */
static void read_peer_registers(moves_t *m, move_t *v, ms_t now)
{
	uint64_t stage = MIN(move_fact(m, "stage", v->id), STAGE_DONE);

	v->bad = move_fact(m, "bad", v->id) != 0;
	if (stage > v->stage)
		begin_stage(m, v, stage, now);
}

static void set_evidence(move_t *v, const char *route, const char *why,
			 bool late)
{
	uint64_t n[MOVE_SIDES] = { 0, 0 };
	uint64_t f[MOVE_SIDES] = { 0, 0 };
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->routes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const move_route_t *r = p;

		for (int i = 0; i < MOVE_SIDES; i++) {
			n[i] += version_stats_sum(&r->total[i], NULL,
						  M_REQUESTS);
			f[i] += version_stats_sum(&r->total[i], NULL,
						  M_FAILURES);
		}
	}
	g_free(v->evidence);
	v->evidence = g_strdup_printf(
		"stage=%" G_GUINT64_FORMAT " why=%s route=%s late=%d "
		"new_requests=%" G_GUINT64_FORMAT
		" new_failures=%" G_GUINT64_FORMAT
		" old_requests=%" G_GUINT64_FORMAT
		" old_failures=%" G_GUINT64_FORMAT,
		v->stage, *why ? why : "none", *route ? route : "none",
		(int)late, n[MOVE_NEW], f[MOVE_NEW], n[MOVE_OLD], f[MOVE_OLD]);
}

static bool is_late(const moves_t *m, const move_t *v, ms_t now)
{
	return v->by && moves_unix(m, now) > v->by;
}

/* Applies the verdict on the evidence: raises the stage, or marks as bad. */
static void decide(moves_t *m, move_t *v, ms_t now)
{
	const char *route = "";
	const char *why = "";
	verdict_t verdict = canary_verdict(v, &route, &why);

	set_evidence(v, route, why, is_late(m, v, now));
	v->suspect = verdict == VERDICT_SUSPECT;
	if (verdict == VERDICT_BAD) {
		raise_fact(m, "bad", v->id, 1);
	} else if (verdict == VERDICT_FINE &&
		   now - v->stage_at >= v->stage_min &&
		   canary_enough_requests(v, v->stage == STAGE_WATCH)) {
		raise_fact(m, "stage", v->id, v->stage + 1);
	}
	read_peer_registers(m, v, now);
}

/* Calls ended with the move's result, repeatedly until the log has it. */
static void notify(moves_t *m, move_t *v, ms_t now)
{
	move_result_t r = { .op = v->id,
			    .service = v->service,
			    .version = v->version[MOVE_NEW],
			    .state = move_state(v),
			    .evidence = v->evidence };

	if (r.state == MOVE_DONE && now - v->stage_at < SETTLE_MS)
		return;
	if (now < v->notify_at)
		return;
	v->notify_at =
		now + NOTIFY_MS + g_rand_int_range(m->rand, 0, NOTIFY_MS);
	if (!v->evidence)
		set_evidence(v, "", "", is_late(m, v, now));
	r.evidence = v->evidence;
	m->ops->ended(m->ctx, &r);
}

static void tick_move(moves_t *m, move_t *v, bool end_stratum, ms_t now)
{
	move_state_t state;

	if (v->has_result)
		return;
	if (end_stratum) {
		evidence_flush(m, v);
		evidence_read(m, now);
	}
	read_peer_registers(m, v, now);
	state = move_state(v);
	if (end_stratum && (state == MOVE_RUNNING || state == MOVE_WATCHING)) {
		evidence_end_stratum(v);
		decide(m, v, now);
	}
	state = move_state(v);
	if (state == MOVE_DONE || state == MOVE_ROLLED_BACK)
		notify(m, v, now);
	move_expire_in_progress(v, now);
}

/*
 * Analyses the moves at the end of each stratum, and takes over the stage or
 * alarm of other entries at each call.
 */
void moves_tick(moves_t *m, ms_t now)
{
	bool end_stratum = now >= m->next_stratum_at;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const service_move_t *g = p;

		if (g->move)
			tick_move(m, g->move, end_stratum, now);
	}
	if (end_stratum)
		m->next_stratum_at = now + STRATUM_MS;
}

static const char *state_name(move_state_t s)
{
	static const char *const names[] = { "running", "watching", "done",
					     "reversed" };

	return names[s];
}

/* Prints each move on a line of key=value pairs. */
void moves_print(const moves_t *m, GString *out)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const move_t *v = p;

		g_string_append_printf(
			out,
			"move id=%" G_GUINT64_FORMAT
			" service=%s from=%s to=%s state=%s suspect=%d %s\n",
			v->id, v->service, v->version[MOVE_OLD],
			v->version[MOVE_NEW], state_name(move_state(v)),
			(int)v->suspect, v->evidence ? v->evidence : "");
	}
}

/*
 * Versions of the service that a backend server should have loaded, oldest
 * first: the one in use and the one being rolled out. Free the array with
 * g_ptr_array_free, which frees the names as well.
 */
GPtrArray *moves_versions_to_load(const intent_t *in, const char *service,
				  const GPtrArray *results)
{
	static const moves_ops_t none;
	facts_t *facts = facts_new();
	moves_t *m = moves_new(facts, 0, &none, NULL);
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	const service_move_t *g;

	moves_set_intent(m, in, 0, results, 0, 0);
	g = g_hash_table_lookup(m->services, service);
	if (g)
		g_ptr_array_add(out, g_strdup(g->version));
	if (g && g->move)
		g_ptr_array_add(out, g_strdup(g->move->version[MOVE_NEW]));
	moves_free(m);
	facts_free(facts);
	return out;
}
