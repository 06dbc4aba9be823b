/*
 * Slot requests to keepers. Each host knows only its own requests, a keeper
 * those of all hosts, so that in bursts slots are neither overbooked nor left
 * empty, and requests of high priority go first whichever host they came to. A
 * request waits at several keepers and takes the first slot granted. For
 * servers without a connected keeper, free slots are estimated (select.c).
 */
#include <string.h>
#include "edge/priv.h"

enum {
	MORE_SERVERS = 2,   /* further servers requested at a time */
	MORE_AFTER_MS = 12, /* a grant of a free slot takes a few ms */
};

/*
 * Factor on the expected first event latency; above 1, so that most requests
 * that are granted a slot in time meet their target although the latency
 * varies.
 */
static const double first_margin = 1.6;

/*
 * Counts the servers of the subset without a keeper, whose free slots are
 * estimated.
 */
void slots_count_unkept(pool_t *p)
{
	p->nunkept = 0;
	for (guint i = 0; i < p->subset->len; i++)
		p->nunkept += ((backend_t *)p->subset->pdata[i])->keeper == 0;
}

/*
 * Whether the server's keeper has a slot request of r, or has granted its slot.
 * A keeper may serve several servers.
 */
static bool was_requested(const request_t *r, const backend_t *b)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		if (r->asked[i]->keeper == b->keeper)
			return true;
	}
	return r->granted_by && r->granted_by == b->keeper;
}

/*
 * Returns the best server of the subset whose keeper has no slot request of r
 * yet, or NULL. Servers not tried before are preferred; one that runs goes to
 * none but these.
 */
static backend_t *best_server(edge_t *e, const request_t *r, ms_t now)
{
	const GPtrArray *servers = subset_servers(e, r->pool, now);
	backend_t *found[2] = { NULL, NULL };
	double lowest[2] = { 0, 0 };

	for (guint i = 0; i < servers->len; i++) {
		backend_t *b = servers->pdata[i];
		int tried = select_was_tried(r, b);
		double s;

		if (!b->keeper || was_requested(r, b) ||
		    (tried && r->state == REQUEST_RUNNING) ||
		    !allow_server(e, r, b, now))
			continue;
		s = select_score(e, b, r,
				 select_load(b, now) + b->slot_requests, now);
		if (!found[tried] || s < lowest[tried]) {
			found[tried] = b;
			lowest[tried] = s;
		}
	}
	return found[0] ? found[0] : found[1];
}

/*
 * Returns how long the request may wait for a slot there and still meet its
 * first event target, in ms. The server's own latency is subtracted: otherwise
 * a keeper would first serve requests that can no longer meet their target, and
 * all would be late.
 */
static ms_t time_to_target(const backend_t *b, const request_t *r, ms_t now)
{
	double first_event =
		estimate_first_event(b->pool, b, r->prompt) * first_margin;

	return MAX(r->first_event_by - now - (ms_t)first_event, 0);
}

static bool request_one(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b;
	ms_t in_time;

	if (r->nasked >= SLOT_REQUESTS_MAX)
		return false;
	b = best_server(e, r, now);
	if (!b)
		return false;
	r->asked[r->nasked++] = b;
	r->asked_at = now;
	b->slot_requests++;
	in_time = time_to_target(b, r, now);
	warm_before_request(e, b, now);
	e->ops->request_slot(e->ctx, b, r, in_time, now);
	edge_log_step(e, r, now, "asked",
		      "server=%s load=%u pending=%u slots=%u in_time_ms=%lld",
		      b->id, select_load(b, now), b->slot_requests, b->slots,
		      (long long)in_time);
	return select_load(b, now) + b->slot_requests <= b->slots;
}

/*
 * Requests a slot from the best server, and from a second one if that seems to
 * be full.
 */
void slots_request_first(edge_t *e, request_t *r, ms_t now)
{
	if (!request_one(e, r, now))
		request_one(e, r, now);
}

/* Withdraws the pending slot requests, except the granted one. */
void slots_withdraw(edge_t *e, request_t *r)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		r->asked[i]->slot_requests--;
		if (r->asked[i]->keeper &&
		    r->asked[i]->keeper != r->granted_by &&
		    (!r->next || r->asked[i]->keeper != r->next_keeper))
			e->ops->release_slot(e->ctx, r->asked[i]->keeper, r,
					     SLOT_ENDED);
	}
	r->nasked = 0;
}

static void forget_one(request_t *r, const backend_t *b)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		if (r->asked[i] != b)
			continue;
		r->asked[i] = r->asked[--r->nasked];
		return;
	}
}

/* Drops all slot requests to a server: it or its keeper is gone. */
void slots_forget_server(edge_t *e, const backend_t *b)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, e->waiting);
	while (g_hash_table_iter_next(&it, NULL, &r))
		forget_one(r, b);
	g_hash_table_iter_init(&it, e->rerouting);
	while (g_hash_table_iter_next(&it, NULL, &r))
		forget_one(r, b);
	((backend_t *)b)->slot_requests = 0;
}

/* Requests slots from more servers, unless it has just done so. */
void slots_request_more(edge_t *e, request_t *r, ms_t now)
{
	if (r->nasked > 0 && now - r->asked_at < MORE_AFTER_MS)
		return;
	for (int i = 0; i < MORE_SERVERS; i++)
		request_one(e, r, now);
}

/*
 * Requests slots from more servers for requests of a queue. Returns whether one
 * of them waits at all servers where it may.
 */
static bool request_more(edge_t *e, list_t *head, ms_t now)
{
	bool short_of_servers = false;

	for (list_t *l = head->next; l != head; l = l->next) {
		request_t *r = list_entry(l, request_t, link);
		unsigned int asked = r->nasked;

		if (asked > 0 && now - r->asked_at < MORE_AFTER_MS)
			continue;
		slots_request_more(e, r, now);
		short_of_servers = short_of_servers || r->nasked == asked;
	}
	return short_of_servers;
}

/*
 * Requests slots from more servers for requests that have waited for
 * MORE_AFTER_MS.
 */
void slots_tick(edge_t *e, pool_t *p, ms_t now)
{
	bool short_of_servers = false;

	for (int i = 0; i < PRIORITIES; i++) {
		for (int late = 0; late < 2; late++) {
			if (request_more(e, &p->waiting[i][late], now))
				short_of_servers = true;
		}
	}
	if (short_of_servers)
		subset_widen(e, p, now);
}

static bool is_plain_service(const edge_t *e, const backend_t *b)
{
	const edge_service_t *s =
		e->desired ? desired_service(e->desired, b->pool->name) : NULL;

	return s && !s->is_model;
}

/*
 * Returns the incarnation of a server's keeper; 0: none is connected. A plain
 * service's server, whose host has none, gets one that all hosts choose alike.
 * A model server without the keeper of its own host gets none: its host has a
 * fault, which should not load other hosts' keepers.
 */
static uint64_t keeper_of(const edge_t *e, const backend_t *b)
{
	const uint64_t *inc = g_hash_table_lookup(e->keepers, b->addr.ip);

	if (inc)
		return *inc;
	if (!is_plain_service(e, b))
		return 0;
	return rendezvous_choose(e->keepers, keepers_shared(e), b->id);
}

/* Assigns the server its keeper, by the keepers connected now. */
void slots_set_keeper(edge_t *e, backend_t *b)
{
	uint64_t inc = keeper_of(e, b);

	if (b->keeper == inc)
		return;
	log_line(LOG_INFO, inc ? "keeper_up" : "keeper_down",
		 "server=%s pending=%u running=%u", b->id, b->slot_requests,
		 b->running);
	slots_forget_server(e, b);
	b->keeper = inc;
	word_keeper_changed(e, b);
	slots_count_unkept(b->pool);
}

/* Assigns all servers their keepers. */
void slots_set_keepers(edge_t *e)
{
	GHashTableIter it;
	gpointer b;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &b))
		slots_set_keeper(e, b);
}

/*
 * The keeper at an address has connected with incarnation inc; 0: it has
 * disconnected.
 */
void edge_keeper_state(edge_t *e, const char *ip, uint64_t inc)
{
	if (inc)
		g_hash_table_replace(e->keepers, g_strdup(ip),
				     g_memdup2(&inc, sizeof(inc)));
	else
		g_hash_table_remove(e->keepers, ip);
	slots_set_keepers(e);
}

static backend_t *requested_server(const request_t *r, uint64_t keeper)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		if (r->asked[i]->keeper == keeper)
			return r->asked[i];
	}
	return NULL;
}

static bool is_sendable(edge_t *e, const request_t *r, const backend_t *b,
			ms_t now)
{
	return allow_server(e, r, b, now) && !quarantine_holds(e, r, now);
}

/*
 * A keeper's grant came too late to be used. The request may ask that keeper
 * again.
 */
void edge_slot_lapsed(edge_t *e, uint64_t keeper, rid_t rid)
{
	request_t *r = g_hash_table_lookup(e->waiting, &rid);
	backend_t *b;

	if (!r)
		r = g_hash_table_lookup(e->rerouting, &rid);
	b = r ? requested_server(r, keeper) : NULL;
	if (!b)
		return;
	forget_one(r, b);
	b->slot_requests--;
}

/*
 * A keeper granted a slot to a request. Returns false if the request no longer
 * needs it; the caller then has to release it.
 */
bool edge_slot_granted(edge_t *e, uint64_t keeper, rid_t rid, ms_t now)
{
	request_t *r = g_hash_table_lookup(e->waiting, &rid);
	request_t *moves = g_hash_table_lookup(e->rerouting, &rid);
	backend_t *b = NULL;

	if (r || moves)
		b = requested_server(r ? r : moves, keeper);
	if (!b)
		return false;
	if (!is_sendable(e, r ? r : moves, b, now) ||
	    (moves && !reroute_granted(e, moves, b, keeper, now))) {
		forget_one(r ? r : moves, b);
		b->slot_requests--;
		return false;
	}
	if (moves)
		return true;
	r->granted_by = keeper;
	queue_remove(e, r);
	edge_dispatch(e, r, b, now);
	return true;
}
