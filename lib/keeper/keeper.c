/*
 * Grants the slots of one backend server. In a burst more requests come than
 * the server has slots. Those that queue here can still be overtaken by
 * requests of higher priority, or be withdrawn; those that queue in the server
 * cannot.
 */
#include "keeper/fns.h"

enum {
	SEEN_ALIVE_MS = 150, /* a server where a request has ended within this
				time is up, even if one host cannot reach it */
	UNUSED_MS = 8,	     /* a slot released sooner was not used */
	QUIET_MS = 500,	     /* without a request that has ended, the server may
				have been away */
	PAUSE_MS = 250, /* pause in granting after the server was unreachable: a
			   restart takes longer, a lost packet less */
	/*
	 * Every 8th grant goes to the priority that has gone longest without;
	 * a priority with half of all requests is then served at least a
	 * quarter as often as the average, whatever the load of higher
	 * priorities
	 */
	STARVATION_EVERY = 8,
};

/*
 * Between the end of one request and the start of the next lie two messages and
 * a send, some 5 ms. If slots are held for less than SHORT_HOLD_MS on average,
 * the server would be idle for more than 1/20 of the time. The keeper then
 * grants twice the slots, so that as many requests as there are slots queue in
 * the server.
 */
enum {
	SHORT_HOLD_MS = 100,
	SHORT_HOLD_PART = 1,
	/* Requests that have ended before the mean is used */
	SHORT_HOLD_SAMPLES = 20,
};

/* Weight of one request in the moving average */
static const double hold_weight = 0.05;

/* A request that waits for a slot or has one. */
typedef struct slot_entry {
	list_t link;
	rid_t rid;
	uint64_t host;
	unsigned int priority;
	ms_t requested_at;
	ms_t target_at;
	ms_t expires_at;
	bool has_slot;
	ms_t granted_at;
} slot_entry_t;

struct keeper {
	const keeper_ops_t *ops;
	void *ctx;
	unsigned int slots;	       /* 0: not known yet */
	unsigned int overlap;	       /* granted beyond the slots */
	list_t waiting[PRIORITIES][2]; /* [0] in time, [1] past their target */
	list_t granted;
	GHashTable *all; /* slot_entry_t by rid */
	unsigned int nwaiting;
	unsigned int ngranted;
	uint64_t ngrants;		 /* number of grants so far */
	uint64_t last_grant[PRIORITIES]; /* grant number of each priority's last
				       grant */
	server_limit_t limit;
	pace_t pace;	       /* of grants, while there is a limit */
	warmup_conf_t warming; /* what the server takes while it is cold */
	warmup_t warmup;
	ms_t paused_until; /* no grants before; the server was unreachable */
	bool probing; /* one grant at a time, until a request has ended there */
	double hold_ms;	    /* moving average of the ms that a slot is held; 0:
			       unknown */
	unsigned int ended; /* requests that had a slot */
	ms_t ended_at;	    /* when a request that used its slot last ended */
	counter_t *requests;
	counter_t *grants;
	counter_t *expired;
	counter_t *cold_waits;
};

/*
 * Returns a keeper of a server whose number of slots is not known yet. It
 * grants overlap more slots than the server has.
 */
keeper_t *keeper_new(const keeper_ops_t *ops, void *ctx, unsigned int overlap,
		     counters_t *counters)
{
	keeper_t *k = g_new0(keeper_t, 1);

	k->ops = ops;
	k->ctx = ctx;
	k->overlap = overlap;
	for (int i = 0; i < PRIORITIES; i++) {
		list_init(&k->waiting[i][0]);
		list_init(&k->waiting[i][1]);
	}
	list_init(&k->granted);
	k->all = g_hash_table_new_full(rid_hash, rid_equal, NULL, g_free);
	k->requests = counter_get(counters, "keeper_asks_total", NULL);
	k->grants = counter_get(counters, "keeper_grants_total", NULL);
	k->expired = counter_get(counters, "keeper_expired_total", NULL);
	k->cold_waits = counter_get(counters, "keeper_cold_waits_total", NULL);
	k->warming.quiet = QUIET_MS;
	warmup_init(&k->warmup);
	return k;
}

/* Frees the keeper. */
void keeper_free(keeper_t *k)
{
	g_hash_table_destroy(k->all);
	g_free(k);
}

static slot_entry_t *first(const list_t *head)
{
	return list_empty(head) ? NULL
				: list_entry(head->next, slot_entry_t, link);
}

static void forget(keeper_t *k, slot_entry_t *h, unsigned int *count)
{
	list_del(&h->link);
	(*count)--;
	g_hash_table_remove(k->all, &h->rid);
}

/*
 * Returns the first request in time of the priority that has gone longest
 * without a grant, or NULL. It is not the request that has waited longest: in a
 * burst requests of high priority wait as long as all others.
 */
static slot_entry_t *longest_without_grant(const keeper_t *k)
{
	slot_entry_t *found = NULL;
	uint64_t least = 0;

	for (int i = 0; i < PRIORITIES; i++) {
		slot_entry_t *h = first(&k->waiting[i][0]);

		if (h && (!found || k->last_grant[i] < least)) {
			found = h;
			least = k->last_grant[i];
		}
	}
	return found;
}

/*
 * Returns the next request to grant, in the order of grant_order, with every
 * STARVATION_EVERY-th grant for the priority that has gone longest without one.
 */
static slot_entry_t *next(keeper_t *k)
{
	slot_entry_t *h = NULL;

	if (++k->ngrants % STARVATION_EVERY == 0)
		h = longest_without_grant(k);
	for (int i = 0; i < GRANT_CLASSES && !h; i++) {
		const grant_class_t *t = &grant_order[i];

		h = first(&k->waiting[t->priority][t->late]);
	}
	k->last_grant[h->priority] = k->ngrants;
	return h;
}

static void sort_late(keeper_t *k, int priority, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &k->waiting[priority][0])
	{
		slot_entry_t *h = list_entry(pos, slot_entry_t, link);

		if (now < h->target_at)
			break;
		list_del(&h->link);
		list_add_tail(&k->waiting[priority][1], &h->link);
	}
}

static void drop_expired(keeper_t *k, list_t *head, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		slot_entry_t *h = list_entry(pos, slot_entry_t, link);

		if (now < h->expires_at)
			continue;
		k->expired->value++;
		forget(k, h, &k->nwaiting);
	}
}

/* Returns the number of slots that may be granted now. */
static unsigned int grant_limit(const keeper_t *k, ms_t now)
{
	if (now < k->paused_until)
		return 0;
	if (k->probing)
		return 1;
	if (k->ended >= SHORT_HOLD_SAMPLES && k->hold_ms < SHORT_HOLD_MS)
		return k->slots + MAX(k->overlap, k->slots / SHORT_HOLD_PART);
	return k->slots + k->overlap;
}

/* Whether the server takes another request now, by its limit and when cold. */
static bool takes_more(keeper_t *k, ms_t now)
{
	if (k->limit.set && !pace_ready(&k->pace, now))
		return false;
	if (warmup_ready(&k->warmup, &k->warming, 1, now))
		return true;
	k->cold_waits->value++;
	return false;
}

/* Grants free slots to waiting requests, as far as the server takes them. */
static void grant(keeper_t *k, ms_t now)
{
	while (k->ngranted < grant_limit(k, now) && k->nwaiting > 0 &&
	       takes_more(k, now)) {
		slot_entry_t *h = next(k);

		list_del(&h->link);
		k->nwaiting--;
		list_add_tail(&k->granted, &h->link);
		k->ngranted++;
		h->has_slot = true;
		h->granted_at = now;
		pace_take(&k->pace);
		warmup_take(&k->warmup);
		k->grants->value++;
		k->ops->grant(k->ctx, h->host, h->rid);
	}
}

/*
 * Inserts a request in its queue, ordered by the time of its target. In order
 * of arrival, of two kinds of requests with the same priority the one with the
 * shorter target would always be the late one.
 */
static void enqueue(keeper_t *k, slot_entry_t *h, ms_t now)
{
	list_t *head = &k->waiting[h->priority][now >= h->target_at];
	list_t *pos = head->prev;

	while (pos != head &&
	       list_entry(pos, slot_entry_t, link)->target_at > h->target_at)
		pos = pos->prev;
	list_add(pos, &h->link);
	k->nwaiting++;
}

/* Takes a request for a slot. A repeated request has no effect. */
void keeper_request(keeper_t *k, uint64_t host, const keeper_request_t *a,
		    ms_t now)
{
	slot_entry_t *h;

	k->slots = a->slots;
	k->requests->value++;
	if (g_hash_table_contains(k->all, &a->rid))
		return;
	h = g_new0(slot_entry_t, 1);
	h->rid = a->rid;
	h->host = host;
	h->priority = MIN(a->priority, PRIORITIES - 1);
	h->requested_at = now;
	h->target_at = now + a->target;
	h->expires_at = now + a->deadline;
	g_hash_table_insert(k->all, &h->rid, h);
	enqueue(k, h, now);
	grant(k, now);
}

/* A slot was not used: the limits that it counted for get it back. */
static void return_unused(keeper_t *k)
{
	pace_return(&k->pace);
	warmup_return(&k->warmup);
}

/* Frees a request's slot; heard: the server has answered it. */
static void release(keeper_t *k, rid_t rid, bool heard, ms_t now)
{
	slot_entry_t *h = g_hash_table_lookup(k->all, &rid);

	if (!h)
		return;
	if (h->has_slot) {
		k->probing = false;
		if (now - h->granted_at <= UNUSED_MS)
			return_unused(k);
		else
			k->ended_at = now;
		if (heard && now - h->granted_at > UNUSED_MS)
			warmup_heard(&k->warmup, &k->warming, h->granted_at,
				     now);
		k->ended++;
		k->hold_ms +=
			(k->hold_ms > 0 ? hold_weight : 1) *
			((double)MAX(now - h->granted_at, 1) - k->hold_ms);
	}
	forget(k, h, h->has_slot ? &k->ngranted : &k->nwaiting);
	grant(k, now);
}

/* The request is withdrawn, or has ended and its slot is free. */
void keeper_release(keeper_t *k, rid_t rid, ms_t now)
{
	release(k, rid, true, now);
}

/* The server has ended the request without an answer, or was silent. */
void keeper_lost(keeper_t *k, rid_t rid, ms_t now)
{
	warmup_lost(&k->warmup, now);
	release(k, rid, false, now);
}

/*
 * The host could not reach the server, which may be down. Granting pauses for
 * PAUSE_MS and continues with one slot at a time; otherwise a dead server would
 * always have free slots and attract requests that wait elsewhere. If requests
 * have ended there recently, the server is up and only this host's path to it
 * is broken.
 */
void keeper_unreachable(keeper_t *k, rid_t rid, ms_t now)
{
	if (k->ended_at > 0 && now - k->ended_at < SEEN_ALIVE_MS) {
		release(k, rid, false, now);
		return;
	}
	if (!k->probing)
		log_line(LOG_INFO, "server_unreached", "granted=%u waiting=%u",
			 k->ngranted, k->nwaiting);
	k->paused_until = now + PAUSE_MS;
	keeper_lost(k, rid, now);
	k->probing = true;
}

static void drop_host(keeper_t *k, list_t *head, uint64_t host,
		      unsigned int *count)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		slot_entry_t *h = list_entry(pos, slot_entry_t, link);

		if (h->host == host)
			forget(k, h, count);
	}
}

/* A host is gone: drops its requests and frees their slots. */
void keeper_host_gone(keeper_t *k, uint64_t host, ms_t now)
{
	for (int i = 0; i < PRIORITIES; i++) {
		drop_host(k, &k->waiting[i][0], host, &k->nwaiting);
		drop_host(k, &k->waiting[i][1], host, &k->nwaiting);
	}
	drop_host(k, &k->granted, host, &k->ngranted);
	grant(k, now);
}

/*
 * Moves late requests to the late queues, drops expired ones and grants slots.
 * To be called every few tens of ms.
 */
void keeper_tick(keeper_t *k, ms_t now)
{
	for (int i = 0; i < PRIORITIES; i++) {
		sort_late(k, i, now);
		drop_expired(k, &k->waiting[i][0], now);
		drop_expired(k, &k->waiting[i][1], now);
	}
	grant(k, now);
}

/* Sets the server's limit, or that it has none. */
void keeper_set_limit(keeper_t *k, const server_limit_t *l, ms_t now)
{
	if (l->set && !k->limit.set)
		pace_init(&k->pace, limit_rate(l), now);
	else if (l->set)
		pace_set_rate(&k->pace, limit_rate(l), now);
	k->limit = *l;
	grant(k, now);
}

/*
 * Sets how many requests a second the server takes while it is cold, and for
 * how long after a start or a return it is; a rate of 0: any.
 */
void keeper_set_warmup(keeper_t *k, double rate, ms_t time, ms_t now)
{
	k->warming.rate = rate;
	k->warming.time = time;
	grant(k, now);
}

/* The server is cold for at least left ms more, by its own word. */
void keeper_told_cold(keeper_t *k, ms_t left, ms_t now)
{
	warmup_told(&k->warmup, left, now);
}

/* Whether the server is taken for cold. */
bool keeper_cold(const keeper_t *k, ms_t now)
{
	return warmup_cold(&k->warmup, &k->warming, now);
}

/* Returns the server's limit. */
server_limit_t keeper_limit(const keeper_t *k)
{
	return k->limit;
}

/* Whether the request waits for a slot or has one here. */
bool keeper_knows(const keeper_t *k, rid_t rid)
{
	return g_hash_table_contains(k->all, &rid);
}

/* Number of slots granted. */
unsigned int keeper_granted(const keeper_t *k)
{
	return k->ngranted;
}

/* Number of requests that wait. */
unsigned int keeper_waiting(const keeper_t *k)
{
	return k->nwaiting;
}
