/*
 * The places of one backend server: who has one, who waits, who is next. It
 * answers the load of bursts, when more requests come than the server has
 * places: what waits here can still be overtaken by what is more urgent, or be
 * withdrawn, while what waits in the server cannot.
 */
#include "keeper/fns.h"

enum {
	ALIVE_MS = 150,	   /* a server where a request has ended within this is
			      not down, whatever one host finds */
	RETURNED_MS = 8,   /* a place given back sooner was not used */
	SHUT_MS = 250,	   /* no grants after the server could not be reached: a
			      restart takes longer, a lost packet less */
	STARVED_EVERY = 8, /* one grant in so many goes to the rank that has
			      had none for longest: a rank with half of all
			      requests is then served a quarter as often as all,
			      at least, whatever the more urgent ask for */
};

/*
 * Between the end of one request and the start of the next lie two messages
 * and a send, some 5 ms. Where a place is held for less than SHORT_MS, the
 * server would stand idle for more than 1 in 20 of the time; as many
 * requests as there are places then wait in the server.
 */
enum {
	SHORT_MS = 100,
	SHORT_PART = 1,
	SHORT_SAMPLES = 20, /* ended requests before the mean is believed */
};

static const double held_weight = 0.05; /* of one request in the mean */

/* A request that waits or has a place. */
typedef struct holder {
	list_t link;
	rid_t rid;
	uint64_t host;
	unsigned int rank;
	ms_t asked;
	ms_t in_time; /* points in time */
	ms_t of_use;
	bool placed;
	ms_t placed_at;
} holder_t;

struct keeper {
	const keeper_ops_t *ops;
	void *ctx;
	unsigned int places;	  /* 0: not told yet */
	unsigned int overlap;	  /* granted beyond the places */
	list_t waiting[RANKS][2]; /* in time, and past their target */
	list_t granted;
	GHashTable *all; /* holder_t by rid */
	unsigned int nwaiting;
	unsigned int ngranted;
	uint64_t turn;		   /* grants so far */
	uint64_t last_turn[RANKS]; /* of each rank */
	ms_t shut_until;	   /* the server could not be reached */
	bool trying;		   /* since then no request has ended there */
	double held; /* ms that a place is held, on the mean; 0 unknown */
	unsigned int ended; /* requests that had a place */
	ms_t ended_at;	    /* when a request last ended in the server */
	counter_t *asks;
	counter_t *grants;
	counter_t *expired;
};

/*
 * Returns a keeper of a server whose places are not known yet. It grants as
 * many more than these as overlap says.
 */
keeper_t *keeper_new(const keeper_ops_t *ops, void *ctx, unsigned int overlap,
		     counters_t *counters)
{
	keeper_t *k = g_new0(keeper_t, 1);

	k->ops = ops;
	k->ctx = ctx;
	k->overlap = overlap;
	for (int i = 0; i < RANKS; i++) {
		list_init(&k->waiting[i][0]);
		list_init(&k->waiting[i][1]);
	}
	list_init(&k->granted);
	k->all = g_hash_table_new_full(rid_hash, rid_equal, NULL, g_free);
	k->asks = counter_get(counters, "keeper_asks_total", NULL);
	k->grants = counter_get(counters, "keeper_grants_total", NULL);
	k->expired = counter_get(counters, "keeper_expired_total", NULL);
	return k;
}

/* Frees the keeper. */
void keeper_free(keeper_t *k)
{
	g_hash_table_destroy(k->all);
	g_free(k);
}

static holder_t *first(const list_t *head)
{
	return list_empty(head) ? NULL : list_entry(head->next, holder_t, link);
}

static void forget(keeper_t *k, holder_t *h, unsigned int *count)
{
	list_del(&h->link);
	(*count)--;
	g_hash_table_remove(k->all, &h->rid);
}

/*
 * The first request in time of the rank that has had no place for longest, or
 * NULL. Not the request that has waited longest: in a burst the urgent wait as
 * long as all others.
 */
static holder_t *starved(const keeper_t *k)
{
	holder_t *found = NULL;
	uint64_t least = 0;

	for (int i = 0; i < RANKS; i++) {
		holder_t *h = first(&k->waiting[i][0]);

		if (h && (!found || k->last_turn[i] < least)) {
			found = h;
			least = k->last_turn[i];
		}
	}
	return found;
}

/* Who is next: in the order of rank_turns, one in a few the starved. */
static holder_t *next(keeper_t *k)
{
	holder_t *h = NULL;

	if (++k->turn % STARVED_EVERY == 0)
		h = starved(k);
	for (int i = 0; i < RANK_TURNS && !h; i++) {
		const turn_t *t = &rank_turns[i];

		h = first(&k->waiting[t->rank][t->late]);
	}
	k->last_turn[h->rank] = k->turn;
	return h;
}

static void sort_late(keeper_t *k, int rank, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &k->waiting[rank][0])
	{
		holder_t *h = list_entry(pos, holder_t, link);

		if (now < h->in_time)
			break;
		list_del(&h->link);
		list_add_tail(&k->waiting[rank][1], &h->link);
	}
}

static void drop_useless(keeper_t *k, list_t *head, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		holder_t *h = list_entry(pos, holder_t, link);

		if (now < h->of_use)
			continue;
		k->expired->value++;
		forget(k, h, &k->nwaiting);
	}
}

/* Places that may be granted now. */
static unsigned int most(const keeper_t *k, ms_t now)
{
	if (now < k->shut_until)
		return 0;
	if (k->trying)
		return 1;
	if (k->ended >= SHORT_SAMPLES && k->held < SHORT_MS)
		return k->places + MAX(k->overlap, k->places / SHORT_PART);
	return k->places + k->overlap;
}

/* Grants places while there are any and somebody waits. */
static void grant(keeper_t *k, ms_t now)
{
	while (k->ngranted < most(k, now) && k->nwaiting > 0) {
		holder_t *h = next(k);

		list_del(&h->link);
		k->nwaiting--;
		list_add_tail(&k->granted, &h->link);
		k->ngranted++;
		h->placed = true;
		h->placed_at = now;
		k->grants->value++;
		k->ops->grant(k->ctx, h->host, h->rid);
	}
}

/*
 * Puts a request in its queue: who runs out of time first goes first, so that
 * of two kinds of one rank the one with less time is not always the one that
 * is late.
 */
static void wait_for_place(keeper_t *k, holder_t *h, ms_t now)
{
	list_t *head = &k->waiting[h->rank][now >= h->in_time];
	list_t *pos = head->prev;

	while (pos != head &&
	       list_entry(pos, holder_t, link)->in_time > h->in_time)
		pos = pos->prev;
	list_add(pos, &h->link);
	k->nwaiting++;
}

/* Takes a request for a place. Asking again changes nothing. */
void keeper_request(keeper_t *k, uint64_t host, const keeper_request_t *a,
		    ms_t now)
{
	holder_t *h;

	k->places = a->slots;
	k->asks->value++;
	if (g_hash_table_contains(k->all, &a->rid))
		return;
	h = g_new0(holder_t, 1);
	h->rid = a->rid;
	h->host = host;
	h->rank = MIN(a->priority, RANKS - 1);
	h->asked = now;
	h->in_time = now + a->target;
	h->of_use = now + a->deadline;
	g_hash_table_insert(k->all, &h->rid, h);
	wait_for_place(k, h, now);
	grant(k, now);
}

/* The request is withdrawn, or has ended and its place is free. */
void keeper_release(keeper_t *k, rid_t rid, ms_t now)
{
	holder_t *h = g_hash_table_lookup(k->all, &rid);

	if (!h)
		return;
	if (h->placed) {
		k->trying = false;
		if (now - h->placed_at > RETURNED_MS)
			k->ended_at = now;
		k->ended++;
		k->held += (k->held > 0 ? held_weight : 1) *
			   ((double)MAX(now - h->placed_at, 1) - k->held);
	}
	forget(k, h, h->placed ? &k->ngranted : &k->nwaiting);
	grant(k, now);
}

/*
 * The request could not be handed to the server, which seems to be down. Its
 * places are shut for a while, and then tried one at a time: else a dead
 * server would always have a free place and draw all that waits elsewhere.
 * While requests of others end there, only this host's path is broken.
 */
void keeper_unreachable(keeper_t *k, rid_t rid, ms_t now)
{
	if (k->ended_at > 0 && now - k->ended_at < ALIVE_MS) {
		keeper_release(k, rid, now);
		return;
	}
	if (!k->trying)
		log_line(LOG_INFO, "server_unreached", "granted=%u waiting=%u",
			 k->ngranted, k->nwaiting);
	k->shut_until = now + SHUT_MS;
	keeper_release(k, rid, now);
	k->trying = true;
}

static void drop_host(keeper_t *k, list_t *head, uint64_t host,
		      unsigned int *count)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		holder_t *h = list_entry(pos, holder_t, link);

		if (h->host == host)
			forget(k, h, count);
	}
}

/* A host is gone, and its requests with it. */
void keeper_host_gone(keeper_t *k, uint64_t host, ms_t now)
{
	for (int i = 0; i < RANKS; i++) {
		drop_host(k, &k->waiting[i][0], host, &k->nwaiting);
		drop_host(k, &k->waiting[i][1], host, &k->nwaiting);
	}
	drop_host(k, &k->granted, host, &k->ngranted);
	grant(k, now);
}

/* Orders what waits by the time. To be called every few tens of ms. */
void keeper_tick(keeper_t *k, ms_t now)
{
	for (int i = 0; i < RANKS; i++) {
		sort_late(k, i, now);
		drop_useless(k, &k->waiting[i][0], now);
		drop_useless(k, &k->waiting[i][1], now);
	}
	grant(k, now);
}

/* Whether the request waits or has a place here. */
bool keeper_knows(const keeper_t *k, rid_t rid)
{
	return g_hash_table_contains(k->all, &rid);
}

/* Places that are taken. */
unsigned int keeper_granted(const keeper_t *k)
{
	return k->ngranted;
}

/* Requests that wait. */
unsigned int keeper_waiting(const keeper_t *k)
{
	return k->nwaiting;
}
