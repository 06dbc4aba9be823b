/*
 * Asking keepers for places. It answers the load of bursts seen by many hosts:
 * each host knows only its own requests, the keeper those of all, so places
 * are neither fought for nor left empty, and urgent requests go first whichever
 * host they came to. A request waits at a few servers and takes the first
 * place. Without a keeper in touch, places are estimated (place.c).
 */
#include <string.h>
#include "edge/priv.h"

enum {
	ASK_MORE = 2,	    /* servers added at a time */
	MORE_AFTER_MS = 12, /* a grant takes a few ms where there is a place */
};

/* Times the expected time to the first event; above 1, so that most that are
   taken for in time are so although the time varies. */
static const double first_margin = 1.6;

/* Counts the servers whose places are estimated. */
void slots_count_unkept(pool_t *p)
{
	p->nunkept = 0;
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next)
		p->nunkept += list_entry(l, backend_t, link)->keeper == 0;
}

/* Whether the server's keeper was asked; it may keep several servers. */
static bool was_asked(const request_t *r, const backend_t *b)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		if (r->asked[i]->keeper == b->keeper)
			return true;
	}
	return false;
}

/* The best server with a keeper that was not asked yet, or NULL. */
static backend_t *best(edge_t *e, const request_t *r, ms_t now)
{
	pool_t *p = r->pool;
	backend_t *found[2] = { NULL, NULL };
	double least[2] = { 0, 0 };

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		backend_t *b = list_entry(l, backend_t, link);
		int again = select_was_tried(r, b);
		double s;

		if (!b->keeper || was_asked(r, b) || !health_usable(b, now) ||
		    !shift_allows(r, b, now))
			continue;
		s = select_score(e, b, r,
				 select_load(b, now) + b->slot_requests, now);
		if (!found[again] || s < least[again]) {
			found[again] = b;
			least[again] = s;
		}
	}
	return found[0] ? found[0] : found[1];
}

/*
 * How long the request may wait for a place there and still have its first
 * event in time, in ms. Without the server's own time in it, a keeper would
 * serve those first that have just run out of theirs, and all would be late.
 */
static ms_t slack(const backend_t *b, const request_t *r, ms_t now)
{
	double first =
		estimate_first_event(b->pool, b, r->prompt) * first_margin;

	return MAX(r->first_event_by - now - (ms_t)first, 0);
}

static bool ask_one(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b;
	ms_t in_time;

	if (r->nasked >= SLOT_REQUESTS_MAX)
		return false;
	b = best(e, r, now);
	if (!b)
		return false;
	r->asked[r->nasked++] = b;
	r->asked_at = now;
	b->slot_requests++;
	in_time = slack(b, r, now);
	e->ops->request_slot(e->ctx, b, r, in_time, now);
	edge_log_step(e, r, now, "asked",
		      "server=%s load=%u asks=%u slots=%u in_time_ms=%lld",
		      b->id, select_load(b, now), b->slot_requests, b->slots,
		      (long long)in_time);
	return select_load(b, now) + b->slot_requests <= b->slots;
}

/* Asks the best server, and a second one if that seems to be full. */
void slots_request_first(edge_t *e, request_t *r, ms_t now)
{
	if (!ask_one(e, r, now))
		ask_one(e, r, now);
}

/* Withdraws what the request asked for. */
void slots_withdraw(edge_t *e, request_t *r)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		r->asked[i]->slot_requests--;
		if (r->asked[i]->keeper && r->asked[i]->keeper != r->granted_by)
			e->ops->release_slot(e->ctx, r->asked[i]->keeper, r,
					     false);
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

/* Forgets what was asked of a server: its keeper or itself is gone. */
void slots_forget_server(edge_t *e, const backend_t *b)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, e->waiting);
	while (g_hash_table_iter_next(&it, NULL, &r))
		forget_one(r, b);
	((backend_t *)b)->slot_requests = 0;
}

static void ask_more(edge_t *e, list_t *head, ms_t now)
{
	for (list_t *l = head->next; l != head; l = l->next) {
		request_t *r = list_entry(l, request_t, link);

		if (r->nasked > 0 && now - r->asked_at < MORE_AFTER_MS)
			continue;
		for (int i = 0; i < ASK_MORE; i++)
			ask_one(e, r, now);
	}
}

/* Asks more servers for requests that have waited for a while. */
void slots_tick(edge_t *e, pool_t *p, ms_t now)
{
	for (int i = 0; i < RANKS; i++) {
		ask_more(e, &p->waiting[i][0], now);
		ask_more(e, &p->waiting[i][1], now);
	}
}

static bool is_plain(const edge_t *e, const backend_t *b)
{
	const edge_service_t *s =
		e->desired ? desired_service(e->desired, b->pool->name) : NULL;

	return s && !s->is_model;
}

/*
 * The keeper that all hosts choose for a server without one on its own host:
 * the one in touch with the highest hash of both names, so that a keeper that
 * comes or goes moves only its own servers.
 */
static uint64_t keeper_elsewhere(const edge_t *e, const backend_t *b)
{
	uint64_t seed = hash64(b->id, strlen(b->id), 0);
	uint64_t most = 0;
	uint64_t found = 0;
	GHashTableIter it;
	gpointer ip;
	gpointer inc;

	g_hash_table_iter_init(&it, e->keepers);
	while (g_hash_table_iter_next(&it, &ip, &inc)) {
		uint64_t weight = hash64(ip, strlen(ip), seed);

		if (found && weight <= most)
			continue;
		most = weight;
		found = *(uint64_t *)inc;
	}
	return found;
}

/*
 * Incarnation of a server's keeper; 0 when none is in touch. A model server
 * without the keeper of its own host is placed by estimates: its host is in
 * trouble, and that should not reach others.
 */
static uint64_t keeper_of(const edge_t *e, const backend_t *b)
{
	const uint64_t *inc = g_hash_table_lookup(e->keepers, b->addr.ip);

	if (inc)
		return *inc;
	return is_plain(e, b) ? keeper_elsewhere(e, b) : 0;
}

/* Gives the server the keeper that it should have now. */
void slots_set_keeper(edge_t *e, backend_t *b)
{
	uint64_t inc = keeper_of(e, b);

	if (b->keeper == inc)
		return;
	log_line(LOG_INFO, inc ? "keeper_up" : "keeper_down",
		 "server=%s asks=%u running=%u", b->id, b->slot_requests,
		 b->running);
	slots_forget_server(e, b);
	b->keeper = inc;
	slots_count_unkept(b->pool);
}

/* Gives all servers the keepers that they should have now. */
void slots_set_keepers(edge_t *e)
{
	GHashTableIter it;
	gpointer b;

	g_hash_table_iter_init(&it, e->by_id);
	while (g_hash_table_iter_next(&it, NULL, &b))
		slots_set_keeper(e, b);
}

/* The keeper at an address is in touch as inc, or with 0 no more. */
void edge_keeper_state(edge_t *e, const char *ip, uint64_t inc)
{
	if (inc)
		g_hash_table_replace(e->keepers, g_strdup(ip),
				     g_memdup2(&inc, sizeof(inc)));
	else
		g_hash_table_remove(e->keepers, ip);
	slots_set_keepers(e);
}

static backend_t *asked_of(const request_t *r, uint64_t keeper)
{
	for (unsigned int i = 0; i < r->nasked; i++) {
		if (r->asked[i]->keeper == keeper)
			return r->asked[i];
	}
	return NULL;
}

/*
 * A keeper granted a place. Returns false when it is of no use any more and
 * has to be given back.
 */
bool edge_slot_granted(edge_t *e, uint64_t keeper, rid_t rid, ms_t now)
{
	request_t *r = g_hash_table_lookup(e->waiting, &rid);
	backend_t *b = r ? asked_of(r, keeper) : NULL;

	if (!b)
		return false;
	if (!health_usable(b, now) || !shift_allows(r, b, now)) {
		forget_one(r, b);
		b->slot_requests--;
		return false;
	}
	r->granted_by = keeper;
	queue_remove(e, r);
	edge_dispatch(e, r, b, now);
	return true;
}
