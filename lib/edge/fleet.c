/* The table of backend servers, as listed by the platform. */
#include <string.h>
#include "edge/priv.h"

enum {
	SENT_WINDOW_MS = 2000, /* window of the rate of first attempts */
};

/* Initial means in ms, before any answer. */
static const double initial_first_event = 60;
static const double initial_slot_time = 300;

/* Returns the pool of a service; makes an empty one if there is none. */
pool_t *pool_get(edge_t *e, const char *service)
{
	pool_t *p = g_hash_table_lookup(e->pools, service);
	char *labels;

	if (p)
		return p;
	p = g_new0(pool_t, 1);
	p->name = g_strdup(service);
	list_init(&p->servers);
	for (int i = 0; i < PRIORITIES; i++) {
		list_init(&p->waiting[i][0]);
		list_init(&p->waiting[i][1]);
	}
	warm_pool(e, p);
	p->first_event_mean = initial_first_event;
	p->slot_time_mean = initial_slot_time;
	p->token_ms = 0;
	window_init(&p->arrivals, e->conf.retry_window);
	window_init(&p->retries, e->conf.retry_window);
	for (int i = 0; i < PRIORITIES; i++)
		window_init(&p->dispatched[i], SENT_WINDOW_MS);
	labels = g_strdup_printf("service=\"%s\"", service);
	p->first_ms = hist_new(e->counters, "edge_first_event_ms", labels);
	p->wait_ms = hist_new(e->counters, "edge_wait_ms", labels);
	g_free(labels);
	subset_init(e, p);
	g_hash_table_insert(e->pools, p->name, p);
	return p;
}

static void backend_free(backend_t *b)
{
	g_free(b->id);
	g_free(b->version);
	g_free(b->data_center);
	g_free(b);
}

/* Frees a server that is no longer listed once no request runs there. */
void backend_release(edge_t *e, backend_t *b)
{
	if (!b->gone || b->running > 0)
		return;
	e->ops->forget(e->ctx, b);
	backend_free(b);
}

/* Takes a server out of use when it drains, or its data centre is evacuated. */
void backend_set_draining(backend_t *b)
{
	bool draining = b->listed_draining || b->leaving || b->evacuated;

	b->pool->subset_changed =
		b->pool->subset_changed || b->draining != draining;
	b->draining = draining;
}

static void remove_server(edge_t *e, backend_t *b, const char *why)
{
	log_line(LOG_INFO, "server_gone",
		 "server=%s service=%s why=%s running=%u", b->id, b->pool->name,
		 why, b->running);
	g_hash_table_remove(e->by_id, b->id);
	list_del(&b->link);
	subset_drop(b->pool, b);
	b->gone = true;
	slots_forget_server(e, b);
	slots_count_unkept(b->pool);
	backend_release(e, b);
}

static bool same_incarnation(const backend_t *b, const backend_info_t *info)
{
	return b->started_unix == info->started_unix &&
	       b->addr.port == info->addr.port &&
	       strcmp(b->addr.ip, info->addr.ip) == 0 &&
	       strcmp(b->pool->name, info->service) == 0;
}

static backend_t *backend_new(edge_t *e, const backend_info_t *info)
{
	backend_t *b = g_new0(backend_t, 1);

	b->serial = ++e->last_serial;
	b->pool = pool_get(e, info->service);
	b->service = b->pool->name;
	b->id = g_strdup(info->id);
	b->version = g_strdup(info->version);
	b->data_center = g_strdup(info->data_center);
	b->evacuated = evacuate_holds(e, info->data_center);
	b->addr = info->addr;
	b->started_unix = info->started_unix;
	list_init(&b->requests);
	warm_new_server(e, b);
	list_add_tail(&b->pool->servers, &b->link);
	g_hash_table_insert(e->by_id, b->id, b);
	b->pool->subset_changed = true;
	slots_set_keeper(e, b);
	log_line(LOG_INFO, "server_new",
		 "server=%s service=%s version=%s data_center=%s slots=%u "
		 "leaving=%d",
		 b->id, info->service, b->version, b->data_center, info->slots,
		 info->draining);
	return b;
}

/*
 * Of two servers listed at one address, the one started later has it. The
 * other's entry expires only some heartbeats after its end; until then every
 * request sent to it would be rejected.
 */
static void displace_older(const edge_t *e, backend_t *b)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		backend_t *o = v;

		if (o == b || o->started_unix == 0 || b->started_unix == 0 ||
		    o->started_unix == b->started_unix ||
		    o->addr.port != b->addr.port ||
		    strcmp(o->addr.ip, b->addr.ip) != 0)
			continue;
		health_displace(o->started_unix < b->started_unix ? o : b);
	}
}

/*
 * Adds or updates a server by its entry. A server that restarted or moved under
 * its id is a new one: the statistics of the old one are dropped. Returns
 * whether more than its heartbeat is new.
 */
bool edge_server_put(edge_t *e, const backend_info_t *info, ms_t now)
{
	backend_t *b = g_hash_table_lookup(e->by_id, info->id);
	bool known;
	bool changed;

	if (b && !same_incarnation(b, info)) {
		recall_keep(e, b, now);
		remove_server(e, b, "reborn");
		b = NULL;
	}
	known = b != NULL;
	if (!b) {
		b = backend_new(e, info);
		recall_apply(e, b, now);
	}
	changed = !known || b->slots != info->slots ||
		  b->listed_draining != info->draining ||
		  (info->cold_left > 0 && info->seq > b->seq) ||
		  (b->displaced && info->seq > b->seq);
	if (info->draining && !b->listed_draining)
		log_line(LOG_INFO, "server_leaving", "server=%s running=%u",
			 b->id, b->running);
	if (info->cold_left > 0 && info->seq > b->seq)
		warm_told(e, b, info->cold_left, now);
	if (info->seq > b->seq)
		b->displaced = false;
	b->seq = MAX(b->seq, info->seq);
	b->slots = info->slots;
	b->listed_draining = info->draining;
	backend_set_draining(b);
	if (!known)
		displace_older(e, b);
	return changed;
}

/*
 * Removes a server that is no longer listed; requests that run there continue.
 */
void edge_server_gone(edge_t *e, const char *id, ms_t now)
{
	backend_t *b = g_hash_table_lookup(e->by_id, id);

	if (!b)
		return;
	recall_keep(e, b, now);
	remove_server(e, b, "unlisted");
}

/* Removes a server because this process stops. */
void server_remove(edge_t *e, const char *id)
{
	backend_t *b = g_hash_table_lookup(e->by_id, id);

	if (b)
		remove_server(e, b, "stopping");
}

/*
 * Returns the ids of all listed servers. The caller frees the array, not the
 * ids.
 */
GPtrArray *edge_server_ids(const edge_t *e)
{
	GPtrArray *ids = g_ptr_array_new();
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, &id, NULL))
		g_ptr_array_add(ids, id);
	return ids;
}

/* Returns the number of listed servers. */
unsigned int edge_nservers(const edge_t *e)
{
	return g_hash_table_size(e->by_id);
}

/*
 * Whether servers are missing that will probably be listed soon: none is
 * listed, or the address of a listed one was taken over by another server.
 */
bool edge_servers_missing(const edge_t *e, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(e->by_id) == 0)
		return true;
	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((backend_t *)v)->displaced)
			return true;
	}
	return false;
}
