/*
 * The keepers that a host is connected to: those of the servers in its subsets,
 * and a few that all hosts share. The shared ones grant the slots of plain
 * services' servers and keep customers' quotas, so all hosts have to choose
 * them alike: they are those whose addresses have the lowest hashes. In a small
 * fleet all keepers are shared.
 *
 * A host has a connection to SHARED_KEEPERS and to its subsets' servers,
 * whatever the number of keepers; a shared keeper has one to each host.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	SHARED_ALL = 16,     /* keepers of a small fleet */
	SHARED_KEEPERS = 6,  /* with a third of them down, 1 in 700 times none
				is up */
	UNWANTED_MS = 10000, /* after which a connection is ended */
	SHARED_SEED = 21,
};

/* A keeper that a connection is kept to. */
typedef struct kept {
	addr_t server;	  /* the address of a server on its host */
	ms_t unwanted_at; /* 0: it is wanted */
} kept_t;

/* Plain services' servers have no keepers of their own. */
static bool may_have_keeper(const edge_t *e, const backend_t *b)
{
	const edge_service_t *s =
		e->desired ? desired_service(e->desired, b->service) : NULL;

	return !s || s->is_model;
}

/* Creates the tables. */
void keepers_init(edge_t *e)
{
	e->kept =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->shared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->all_shared = true;
}

/* Frees the tables. */
void keepers_clear(edge_t *e)
{
	g_hash_table_destroy(e->kept);
	g_hash_table_destroy(e->shared);
}

/* Returns how many keepers this host keeps a connection to. */
unsigned int edge_nkeepers(const edge_t *e)
{
	return g_hash_table_size(e->kept);
}

/* Returns the set of addresses of shared keepers; NULL: all are shared. */
GHashTable *keepers_shared(const edge_t *e)
{
	return e->all_shared ? NULL : e->shared;
}

/* Returns the addresses of all keepers, by IP; both belong to the servers. */
static GHashTable *all_keepers(const edge_t *e)
{
	GHashTable *all = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		backend_t *b = v;

		/* Keepers of an evacuated data centre go on. */
		if (!b->listed_draining && !b->leaving && may_have_keeper(e, b))
			g_hash_table_replace(all, b->addr.ip, &b->addr);
	}
	return all;
}

static GArray *ranked(GHashTable *all)
{
	GArray *ranks = ranks_new();
	GHashTableIter it;
	gpointer ip;

	g_hash_table_iter_init(&it, all);
	while (g_hash_table_iter_next(&it, &ip, NULL))
		ranks_add(ranks, ip, NULL, SHARED_SEED);
	ranks_sort(ranks);
	return ranks;
}

/*
 * Chooses the shared keepers and adds them to those wanted. Takes time in
 * proportion to n log n keepers.
 */
static void choose_shared(edge_t *e, GHashTable *want)
{
	GHashTable *all = all_keepers(e);
	GArray *ranks = ranked(all);
	bool all_shared = ranks->len <= SHARED_ALL;
	guint n = all_shared ? ranks->len : SHARED_KEEPERS;
	bool changed = all_shared != e->all_shared;

	for (guint i = 0; i < n; i++) {
		const char *ip = ranks_at(ranks, i)->name;

		changed = changed || !g_hash_table_contains(e->shared, ip);
		g_hash_table_replace(want, (gpointer)ip,
				     g_hash_table_lookup(all, ip));
	}
	changed = changed || n != g_hash_table_size(e->shared);
	if (changed) {
		g_hash_table_remove_all(e->shared);
		for (guint i = 0; i < n; i++)
			g_hash_table_add(e->shared,
					 g_strdup(ranks_at(ranks, i)->name));
		e->all_shared = all_shared;
		e->quotas_changed = true;
		slots_set_keepers(e);
		subset_all_changed(e);
	}
	g_array_free(ranks, TRUE);
	g_hash_table_destroy(all);
}

/*
 * Adds the keepers of the subsets' servers, and those that requests of this
 * host still hold slots of. Returns whether there is one of the latter.
 */
static bool add_used(edge_t *e, GHashTable *want)
{
	bool held = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		backend_t *b = v;
		bool used = b->running > 0 || b->slot_requests > 0;

		if (!may_have_keeper(e, b) || (!b->chosen && !used))
			continue;
		held = held || !b->chosen;
		g_hash_table_replace(want, b->addr.ip, &b->addr);
	}
	return held;
}

static void want_all(edge_t *e, GHashTable *want)
{
	GHashTableIter it;
	gpointer ip;
	gpointer at;

	g_hash_table_iter_init(&it, want);
	while (g_hash_table_iter_next(&it, &ip, &at)) {
		kept_t *k = g_hash_table_lookup(e->kept, ip);

		if (!k) {
			k = g_new0(kept_t, 1);
			k->server = *(const addr_t *)at;
			g_hash_table_insert(e->kept, g_strdup(ip), k);
			e->ops->keeper_wanted(e->ctx, &k->server, true);
		}
		k->unwanted_at = 0;
	}
}

/* Returns whether one that is unwanted is still kept. */
static bool drop_unwanted(edge_t *e, GHashTable *want, ms_t now)
{
	bool left = false;
	GHashTableIter it;
	gpointer ip;
	gpointer v;

	g_hash_table_iter_init(&it, e->kept);
	while (g_hash_table_iter_next(&it, &ip, &v)) {
		kept_t *k = v;

		if (g_hash_table_contains(want, ip))
			continue;
		if (k->unwanted_at == 0)
			k->unwanted_at = now;
		if (now - k->unwanted_at < UNWANTED_MS) {
			left = true;
			continue;
		}
		e->ops->keeper_wanted(e->ctx, &k->server, false);
		g_hash_table_iter_remove(&it);
	}
	return left;
}

/*
 * Asks for connections to the keepers that are wanted now, and ends those that
 * have not been for UNWANTED_MS. To be called each tick; takes time in
 * proportion to the servers after a change only.
 */
void keepers_tick(edge_t *e, ms_t now)
{
	GHashTable *want;
	bool held;

	if (!e->keepers_changed)
		return;
	want = g_hash_table_new(g_str_hash, g_str_equal);
	choose_shared(e, want);
	held = add_used(e, want);
	want_all(e, want);
	e->keepers_changed = drop_unwanted(e, want, now) || held;
	g_hash_table_destroy(want);
}
