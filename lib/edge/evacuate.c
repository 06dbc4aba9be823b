/*
 * Evacuated data centres. An operator orders that nothing more is sent to the
 * servers of a data centre until the order is withdrawn; requests that run
 * there end as they are.
 *
 * Orders and withdrawals have positions in the operator's topic, and of one
 * data centre the later one is in force. So hosts may learn of them in any
 * order, from the store or from each other, and agree. A host that lists the
 * topic learns from a missing order that it was withdrawn, unless the store was
 * restored from a copy: the operator writes again what the copy lacks.
 *
 * An evacuated server is out of use like one that drains. When the order is
 * withdrawn it counts as cold.
 *
 * Load it answers: a data centre that is emptied and taken back under load.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	DATA_CENTERS_MAX = 256, /* with an order, in force or withdrawn */
};

typedef struct evacuation {
	uint64_t ordered; /* position of the newest order; 0: none */
	uint64_t lifted;  /* and of the newest withdrawal */
	ms_t since;	  /* when this host learned of the order */
	bool listed;	  /* by the listing in progress */
} evacuation_t;

/* Returns an empty table of evacuations. */
GHashTable *evacuate_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static bool in_force(const evacuation_t *v)
{
	return v->ordered > v->lifted;
}

/* Whether the servers of a data centre are out of use. */
bool evacuate_holds(const edge_t *e, const char *data_center)
{
	const evacuation_t *v =
		g_hash_table_lookup(e->evacuations, data_center);

	return v && in_force(v);
}

/* Whether all servers of the pool are evacuated, and there is one. */
bool evacuate_holds_all(const edge_t *e, const pool_t *p)
{
	if (e->nevacuated == 0 || list_empty(&p->servers))
		return false;
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		if (!list_entry(l, backend_t, link)->evacuated)
			return false;
	}
	return true;
}

static evacuation_t *get(edge_t *e, const char *data_center)
{
	evacuation_t *v = g_hash_table_lookup(e->evacuations, data_center);

	if (v)
		return v;
	if (g_hash_table_size(e->evacuations) >= DATA_CENTERS_MAX) {
		log_line(LOG_ERROR, "evacuation_left_out", "data_center=%s",
			 data_center);
		return NULL;
	}
	v = g_new0(evacuation_t, 1);
	g_hash_table_insert(e->evacuations, g_strdup(data_center), v);
	return v;
}

/* Takes the servers of a data centre out of use or back. */
static void apply(edge_t *e, const char *data_center, bool out, const char *by,
		  ms_t now)
{
	unsigned int servers = 0;
	unsigned int running = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		backend_t *b = p;

		if (strcmp(b->data_center, data_center) != 0)
			continue;
		servers++;
		running += b->running;
		b->evacuated = out;
		backend_set_draining(b);
		if (!out)
			warm_told(e, b, b->pool->warming.time, now);
	}
	counter_get(e->counters, "edge_evacuation_changes_total", NULL)
		->value++;
	log_line(servers > 0 ? LOG_INFO : LOG_WARN, "evacuation",
		 "data_center=%s evacuated=%d by=%s servers=%u running=%u",
		 data_center, out, by, servers, running);
}

static void update(edge_t *e, const char *data_center, evacuation_t *v,
		   bool was, const char *by, ms_t now)
{
	bool is = in_force(v);

	e->evacuations_version++;
	if (is == was)
		return;
	if (is)
		v->since = now;
	e->nevacuated += is ? 1 : -1;
	apply(e, data_center, is, by, now);
}

/* An order at a position of the operator's topic; by: where it was read. */
void edge_evacuate(edge_t *e, const char *data_center, uint64_t position,
		   const char *by, ms_t now)
{
	evacuation_t *v = get(e, data_center);
	bool was = v && in_force(v);

	if (!v)
		return;
	v->listed = true;
	if (position <= v->ordered)
		return;
	v->ordered = position;
	update(e, data_center, v, was, by, now);
}

/* The order was withdrawn at a position of the topic. */
void edge_evacuation_lift(edge_t *e, const char *data_center, uint64_t position,
			  const char *by, ms_t now)
{
	evacuation_t *v = get(e, data_center);
	bool was = v && in_force(v);

	if (!v || position <= v->lifted)
		return;
	v->lifted = position;
	update(e, data_center, v, was, by, now);
}

/* A listing of the operator's topic begins. */
void edge_evacuations_listing(edge_t *e)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->evacuations);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((evacuation_t *)v)->listed = false;
}

/*
 * The listing is complete up to a position, without it: orders before that were
 * withdrawn if they are not in it. restored: the store came back from a copy,
 * which may lack them.
 */
void edge_evacuations_listed(edge_t *e, uint64_t end, bool restored, ms_t now)
{
	GHashTableIter it;
	gpointer name;
	gpointer p;

	g_hash_table_iter_init(&it, e->evacuations);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		evacuation_t *v = p;

		if (v->listed || !in_force(v) || v->ordered + 1 >= end)
			continue;
		if (restored) {
			log_line(LOG_WARN, "evacuation_kept", "data_center=%s",
				 (const char *)name);
			continue;
		}
		v->lifted = end - 1;
		update(e, name, v, true, "listing", now);
	}
}

/* Returns a number that changes with each order and withdrawal. */
uint64_t edge_evacuations_version(const edge_t *e)
{
	return e->evacuations_version;
}

/* Calls fn for each data centre with the positions; 0: none. */
void edge_each_evacuation(const edge_t *e,
			  void (*fn)(void *ctx, const char *data_center,
				     uint64_t ordered, uint64_t lifted),
			  void *ctx)
{
	GHashTableIter it;
	gpointer name;
	gpointer v;

	g_hash_table_iter_init(&it, e->evacuations);
	while (g_hash_table_iter_next(&it, &name, &v))
		fn(ctx, name, ((evacuation_t *)v)->ordered,
		   ((evacuation_t *)v)->lifted);
}

/* Counts the servers, their slots and requests, by whether they are out. */
static void count(const edge_t *e, const char *data_center,
		  unsigned int *running, unsigned int *out, unsigned int *left)
{
	GHashTableIter it;
	gpointer p;

	*running = *out = *left = 0;
	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const backend_t *b = p;

		if (strcmp(b->data_center, data_center) == 0) {
			*running += b->running;
			*out += b->slots;
		} else if (!b->draining) {
			*left += b->slots;
		}
	}
}

/* Appends a line for each data centre that is evacuated, for operators. */
void evacuate_print(const edge_t *e, GString *text, ms_t now)
{
	GHashTableIter it;
	gpointer name;
	gpointer p;

	g_hash_table_iter_init(&it, e->evacuations);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		const evacuation_t *v = p;
		unsigned int running;
		unsigned int out;
		unsigned int left;

		if (!in_force(v))
			continue;
		count(e, name, &running, &out, &left);
		g_string_append_printf(text,
				       "evacuated=%s for_ms=%lld running=%u "
				       "slots_out=%u slots_left=%u\n",
				       (const char *)name,
				       (long long)(now - v->since), running,
				       out, left);
	}
}
