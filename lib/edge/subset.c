/*
 * Subsets of the backend servers. A host uses a bounded number of the servers
 * of each service and version: so its connections to keepers don't grow with
 * the number of servers, and it learns of each server from more requests.
 *
 * Servers stand on rings, each in an order of its own by a hash of their ids. A
 * host takes a run of them that begins at its rank among the hosts, so each
 * server is in about as many subsets as any other, and a host or a server that
 * joins or leaves moves a run by one server at most. A third of a subset is of
 * the host's own data centre. The other runs have different orders, so that two
 * hosts whose runs coincide on one ring don't on the next.
 *
 * The servers of shared keepers (keepers.c) don't count, so a host has as many
 * connections whichever its run is.
 *
 * Load it answers: callers that come to some hosts only. A host whose requests
 * wait doubles its subset, up to SUBSET_MAX_TIMES its size, and to all servers
 * when none of the subset is usable.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	OWN_PART = 3,		  /* one in so many is of the own data centre */
	SUBSET_MAX_TIMES = 4,	  /* the size, while requests wait */
	SUBSET_WIDEN_MS = 100,	  /* between two enlargements */
	SUBSET_NARROW_MS = 10000, /* without an enlargement */
	/* A keeper is connected within some ms */
	KEEPER_WAIT_MS = 300,
	HOST_SEED = 11, /* of the hashes of hosts' names */
	OWN_SEED = 12,	/* of the hashes of servers' ids, one a ring */
	FIRST_SEED = 13,
	SECOND_SEED = 14,
};

/* Makes a ring of the servers; data_center NULL: of all. */
static GArray *ring_new(const GPtrArray *servers, const char *data_center,
			uint64_t seed)
{
	GArray *ring = ranks_new();

	for (guint i = 0; i < servers->len; i++) {
		backend_t *b = servers->pdata[i];

		if (!data_center || strcmp(b->data_center, data_center) == 0)
			ranks_add(ring, b->id, b, seed);
	}
	ranks_sort(ring);
	return ring;
}

static bool is_shared(const edge_t *e, const backend_t *b)
{
	GHashTable *shared = keepers_shared(e);

	return shared && g_hash_table_contains(shared, b->addr.ip);
}

/*
 * Chooses n servers of a ring that are not chosen yet, or as many as there are,
 * and those between them whose keepers are shared: this host is connected to
 * them anyway. Returns how many it chose without these.
 */
static guint choose_run(const edge_t *e, GArray *ring, guint n)
{
	guint start = ring->len * e->host_rank / e->nhosts;
	guint chosen = 0;

	for (guint i = 0; i < ring->len && chosen < n; i++) {
		backend_t *b = ranks_at(ring, (start + i) % ring->len)->item;

		if (b->chosen)
			continue;
		b->chosen = true;
		chosen += !is_shared(e, b);
	}
	g_array_free(ring, TRUE);
	return chosen;
}

/* Chooses among the servers of one version. */
static void choose_version(const edge_t *e, const GPtrArray *servers, guint n)
{
	const char *own = e->conf.data_center;
	guint left = n;
	double part = MIN(1, (double)n / servers->len);

	for (guint i = 0; i < servers->len; i++)
		((backend_t *)servers->pdata[i])->subset_part = part;

	left -= choose_run(e, ring_new(servers, own, OWN_SEED), n / OWN_PART);
	left -= choose_run(e, ring_new(servers, NULL, FIRST_SEED), left / 2);
	choose_run(e, ring_new(servers, NULL, SECOND_SEED), left);
}

static GHashTable *servers_by_version(const pool_t *p)
{
	GHashTable *versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		backend_t *b = list_entry(l, backend_t, link);
		GPtrArray *group = g_hash_table_lookup(versions, b->version);

		b->chosen = false;
		if (b->draining)
			continue;
		if (!group) {
			group = g_ptr_array_new();
			g_hash_table_insert(versions, b->version, group);
		}
		g_ptr_array_add(group, b);
	}
	return versions;
}

/*
 * Lists the chosen servers. One that an enlargement has added is used without
 * its keeper only once the keeper has had the time to connect.
 */
static void list_chosen(const edge_t *e, pool_t *p, ms_t now)
{
	GPtrArray *before = p->subset;
	bool enlarged = p->subset_size > e->conf.subset;

	p->subset = g_ptr_array_new();
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		backend_t *b = list_entry(l, backend_t, link);

		if (!b->chosen)
			continue;
		if (!g_ptr_array_find(before, b, NULL))
			b->unkept_from = enlarged ? now + KEEPER_WAIT_MS : 0;
		g_ptr_array_add(p->subset, b);
	}
	g_ptr_array_unref(before);
}

/*
 * Ranks this host among those listed, by a hash of their names. Takes time in
 * proportion to the hosts, after a change of them.
 */
static void rank_host(edge_t *e)
{
	const char *self = e->conf.name ? e->conf.name : "";
	uint64_t own = hash64(self, strlen(self), HOST_SEED);
	GHashTableIter it;
	gpointer name;

	e->hosts_changed = false;
	e->host_rank = 0;
	g_hash_table_iter_init(&it, e->other_hosts);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		uint64_t hash = hash64(name, strlen(name), HOST_SEED);

		e->host_rank +=
			hash < own || (hash == own && strcmp(name, self) < 0);
	}
}

/*
 * Chooses the pool's subset anew. Takes time in proportion to n log n servers,
 * after a change of the servers, the hosts or the subset's size.
 */
static void choose(edge_t *e, pool_t *p, ms_t now)
{
	GHashTable *versions = servers_by_version(p);
	GHashTableIter it;
	gpointer group;

	if (e->hosts_changed)
		rank_host(e);
	g_hash_table_iter_init(&it, versions);
	while (g_hash_table_iter_next(&it, NULL, &group))
		choose_version(e, group, p->subset_size);
	g_hash_table_destroy(versions);
	list_chosen(e, p, now);
	slots_count_unkept(p);
	p->subset_changed = false;
	e->keepers_changed = true;
}

/* The pool has no servers yet. */
void subset_init(const edge_t *e, pool_t *p)
{
	p->subset = g_ptr_array_new();
	p->subset_size = e->conf.subset;
}

/* The size of subsets has changed. */
void subset_resize(const edge_t *e, pool_t *p)
{
	p->subset_size = e->conf.subset;
	p->subset_changed = true;
}

/* The hosts or the shared keepers have changed. */
void subset_all_changed(edge_t *e)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((pool_t *)p)->subset_changed = true;
}

/* Frees the subset, not the servers. */
void subset_clear(pool_t *p)
{
	g_ptr_array_unref(p->subset);
}

/* A server is about to be removed from the pool. */
void subset_drop(pool_t *p, backend_t *b)
{
	g_ptr_array_remove_fast(p->subset, b);
	b->chosen = false;
	p->subset_changed = true;
}

/* Returns the pool's subset: backend_t, up to date until the next change. */
const GPtrArray *subset_servers(edge_t *e, pool_t *p, ms_t now)
{
	if (p->subset_changed)
		choose(e, p, now);
	return p->subset;
}

/* Returns how many hosts use the server, if all have subsets of this size. */
double subset_hosts(const edge_t *e, const backend_t *b)
{
	return MAX(e->nhosts * b->subset_part, 1);
}

static bool has_usable(const pool_t *p, ms_t now)
{
	for (guint i = 0; i < p->subset->len; i++) {
		if (health_usable(p->subset->pdata[i], now))
			return true;
	}
	return false;
}

/* Requests wait that find no further server in the subset. */
void subset_widen(edge_t *e, pool_t *p, ms_t now)
{
	unsigned int all = list_len(&p->servers);
	unsigned int max =
		has_usable(p, now) ? e->conf.subset * SUBSET_MAX_TIMES : all;

	if (p->subset_size >= MIN(max, all) ||
	    now - p->widened_at < SUBSET_WIDEN_MS)
		return;
	p->subset_size *= 2;
	p->widened_at = now;
	log_line(LOG_INFO, "subset_widened", "service=%s size=%u waiting=%u",
		 p->name, p->subset_size, p->nwaiting);
	choose(e, p, now);
}

/* Brings the pool's subset up to date. To be called each tick. */
void subset_tick(edge_t *e, pool_t *p, ms_t now)
{
	if (p->subset_size > e->conf.subset &&
	    now - p->widened_at >= SUBSET_NARROW_MS) {
		p->subset_size /= 2;
		p->widened_at = now;
		p->subset_changed = true;
		log_line(LOG_INFO, "subset_narrowed", "service=%s size=%u",
			 p->name, p->subset_size);
	}
	subset_servers(e, p, now);
}
