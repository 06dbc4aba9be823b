/*
 * The roster of listed servers. Entries expire during an outage of the
 * platform's store although their servers are up, so servers that are missing
 * after an outage get time to renew their entries before they are removed.
 */
#include "edge/fns.h"

enum {
	RETURN_MS = 2300, /* expired entries are renewed within about 2 s of the
			     store's return */
	SENDING_MS = 100, /* for requests that are on their way to a server when
			     it is removed */
	NOTICE_MIN_MS = 200,
};

/*
 * Returns how soon the store's return must be noticed so that servers that are
 * still missing are removed within settle ms of it.
 */
ms_t roster_notice_max(ms_t settle)
{
	return MAX(settle - RETURN_MS - SENDING_MS, NOTICE_MIN_MS);
}

struct roster {
	edge_t *edge;
	bool up;
	ms_t back_at; /* when the store answered again; 0: no outage yet */
	GHashTable *missing; /* when to remove a missing server, ms_t by id */
	GHashTable *listed;  /* during a listing: ids read so far */
};

/* Returns a roster that feeds the edge's table of servers. */
roster_t *roster_new(edge_t *e)
{
	roster_t *r = g_new0(roster_t, 1);

	r->edge = e;
	r->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

/* Frees the roster. */
void roster_free(roster_t *r)
{
	g_hash_table_destroy(r->missing);
	if (r->listed)
		g_hash_table_destroy(r->listed);
	g_free(r);
}

/* A server's entry was read. Returns whether more than its heartbeat is new. */
bool roster_put(roster_t *r, const backend_info_t *info, ms_t now)
{
	bool back = g_hash_table_remove(r->missing, info->id);

	if (r->listed)
		g_hash_table_add(r->listed, g_strdup(info->id));
	return edge_server_put(r->edge, info, now) || back;
}

/* A server's entry is gone. */
void roster_remove(roster_t *r, const char *id, ms_t now)
{
	ms_t *until;

	if (r->up && (r->back_at == 0 || now - r->back_at >= RETURN_MS)) {
		g_hash_table_remove(r->missing, id);
		edge_server_gone(r->edge, id, now);
		return;
	}
	if (g_hash_table_contains(r->missing, id))
		return;
	log_line(LOG_INFO, "server_missing", "server=%s store_up=%d", id,
		 r->up);
	until = g_new(ms_t, 1);
	*until = r->up ? r->back_at + RETURN_MS : now + RETURN_MS;
	g_hash_table_insert(r->missing, g_strdup(id), until);
}

/* A whole listing begins. */
void roster_listing_begin(roster_t *r)
{
	if (r->listed)
		g_hash_table_destroy(r->listed);
	r->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* The listing is complete: servers not in it are missing. */
void roster_listing_end(roster_t *r, ms_t now)
{
	GPtrArray *ids = edge_server_ids(r->edge);
	GHashTable *listed = r->listed;

	if (!listed)
		listed = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < ids->len; i++) {
		if (!g_hash_table_contains(listed, ids->pdata[i]))
			roster_remove(r, ids->pdata[i], now);
	}
	g_ptr_array_free(ids, TRUE);
	g_hash_table_destroy(listed);
	r->listed = NULL;
}

/* The store answers again, or has stopped answering. */
void roster_store_reachable(roster_t *r, bool yes, ms_t now)
{
	if (yes && !r->up)
		r->back_at = now;
	r->up = yes;
}

/*
 * The store is back from a copy, whether or not it was seen to be away: entries
 * that are missing from the copy are written again.
 */
void roster_store_returned(roster_t *r, ms_t now)
{
	r->back_at = now;
}

/* Removes missing servers that have not come back in time. */
void roster_tick(roster_t *r, ms_t now)
{
	GHashTableIter it;
	gpointer id;
	gpointer until;

	if (!r->up)
		return;
	g_hash_table_iter_init(&it, r->missing);
	while (g_hash_table_iter_next(&it, &id, &until)) {
		if (now < MAX(*(ms_t *)until, r->back_at + RETURN_MS))
			continue;
		edge_server_gone(r->edge, id, now);
		g_hash_table_iter_remove(&it);
	}
}
