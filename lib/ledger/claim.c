/*
 * Claims of idempotency keys. A request runs only when its claim, read back in
 * log order, comes before every other claim of the key that counts. A claim
 * stops counting when its owner releases it, which it does when the request
 * has ended without running, or when the window has passed.
 */
#include <string.h>
#include "ledger/claimrec.h"

enum {
	BATCH_ITEMS_MAX = 512,	/* items in one append */
	LIVE_MAX = 1 << 20,	/* claims remembered */
	PENDING_MAX = 1 << 16,	/* own claims not settled */
	RELEASES_MAX = 1 << 16, /* releases not read back yet */
	RETRY_MAX = 1000,	/* milliseconds between append attempts */
};

typedef enum pending_state {
	PENDING_QUEUED, /* surely not in the log */
	PENDING_SENT,	/* in the log or not: to be read */
} pending_state_t;

/* A claim of this process that is not settled. */
typedef struct pending {
	list_t link; /* oldest first */
	claim_item_t item;
	ms_t added;
	pending_state_t state;
	bool in_flight; /* in the append whose answer is awaited */
} pending_t;

/* A claim that was read and counts. */
typedef struct live {
	list_t age;    /* oldest first */
	list_t of_key; /* claims of one key, in log order */
	claim_item_t item;
	ms_t until; /* it counts for claims added before */
} live_t;

/* A release of this process that was not read back yet. */
typedef struct release {
	list_t link;
	claim_item_t item;
	bool queued; /* for the next append */
	bool in_flight;
	ms_t since;
} release_t;

struct claims {
	const claims_ops_t *ops;
	void *ctx;
	ms_t batch;
	ms_t window;
	ms_t timeout;
	uint64_t inc; /* of this process; 0 before the first claim */
	bool reachable;
	bool caught_up; /* the log was read to its end once */
	bool in_flight; /* an append awaits its answer */
	ms_t next_append;
	backoff_t retry;
	GRand *rand;
	list_t pending;
	GHashTable *pending_by_rid; /* owns them */
	list_t releases;
	GHashTable *release_by_rid; /* owns them */
	list_t live;
	GHashTable *live_by_rid; /* owns them */
	GHashTable *live_by_key; /* to a list_t head */
	ms_t blind_until; /* claims added before can't be known to be first */
};

/* A table by rid_t that frees its values, in which the keys lie. */
static GHashTable *rid_table(void)
{
	return g_hash_table_new_full(rid_hash, rid_equal, NULL, g_free);
}

/*
 * Makes an empty set of claims. Spans in milliseconds: batch from one append
 * to the next, window for which a claim counts, timeout after which a claim
 * that is not settled ends with CODE_NO_CLAIM.
 */
claims_t *claims_new(const claims_ops_t *ops, void *ctx, ms_t batch,
		     ms_t window, ms_t timeout)
{
	claims_t *c = g_new0(claims_t, 1);

	c->ops = ops;
	c->ctx = ctx;
	c->batch = batch;
	c->window = window;
	c->timeout = timeout;
	c->reachable = true;
	c->blind_until = INT64_MIN;
	backoff_init(&c->retry, batch, RETRY_MAX);
	list_init(&c->pending);
	list_init(&c->releases);
	list_init(&c->live);
	c->pending_by_rid = rid_table();
	c->release_by_rid = rid_table();
	c->live_by_rid = rid_table();
	c->live_by_key = g_hash_table_new_full(claim_key_hash, claim_key_equal,
					       g_free, g_free);
	return c;
}

static void pending_free(claims_t *c, pending_t *p)
{
	list_del(&p->link);
	g_hash_table_remove(c->pending_by_rid, &p->item.rid);
}

static void release_free(claims_t *c, release_t *r)
{
	list_del(&r->link);
	g_hash_table_remove(c->release_by_rid, &r->item.rid);
}

static void live_free(claims_t *c, live_t *l)
{
	list_t *head = g_hash_table_lookup(c->live_by_key, &l->item.key);

	list_del(&l->of_key);
	list_del(&l->age);
	if (head && list_empty(head))
		g_hash_table_remove(c->live_by_key, &l->item.key);
	g_hash_table_remove(c->live_by_rid, &l->item.rid);
}

/* Frees the claims; nothing more is settled. */
void claims_free(claims_t *c)
{
	g_hash_table_destroy(c->pending_by_rid);
	g_hash_table_destroy(c->release_by_rid);
	g_hash_table_destroy(c->live_by_key);
	g_hash_table_destroy(c->live_by_rid);
	if (c->rand)
		g_rand_free(c->rand);
	g_free(c);
}

/* Asks for a release to be appended, once however often it is called. */
static void release_add(claims_t *c, const claim_item_t *item, ms_t now)
{
	release_t *r = g_hash_table_lookup(c->release_by_rid, &item->rid);

	if (r) {
		r->queued = true;
		return;
	}
	if (g_hash_table_size(c->release_by_rid) >= RELEASES_MAX)
		release_free(c, list_entry(c->releases.next, release_t, link));
	r = g_new0(release_t, 1);
	r->item = *item;
	r->queued = true;
	r->since = now;
	list_add_tail(&c->releases, &r->link);
	g_hash_table_insert(c->release_by_rid, &r->item.rid, r);
}

/* Tells the owner how its claim ended. Comes exactly once a claim. */
static void settle(claims_t *c, pending_t *p, code_t code, rid_t first)
{
	rid_t rid = p->item.rid;

	pending_free(c, p);
	c->ops->settled(c->ctx, rid, code, first);
}

/*
 * Claims a customer's key for a request. It is settled later, never from
 * within this call.
 */
void claims_add(claims_t *c, rid_t rid, const char *customer, const char *key,
		ms_t now)
{
	pending_t *p = g_new0(pending_t, 1);

	if (!c->rand) {
		c->inc = rid.inc;
		c->rand = g_rand_new_with_seed((guint32)rid.inc);
	}
	p->item.key = claim_key_of(customer, key);
	p->item.rid = rid;
	p->added = now;
	g_hash_table_insert(c->pending_by_rid, &p->item.rid, p);
	if (c->reachable &&
	    g_hash_table_size(c->pending_by_rid) < PENDING_MAX) {
		list_add_tail(&c->pending, &p->link);
		return;
	}
	p->added = now - c->timeout;
	list_add(&c->pending, &p->link);
}

static void collect_releases(claims_t *c, claim_batch_t *b)
{
	for (list_t *p = c->releases.next; p != &c->releases; p = p->next) {
		release_t *r = list_entry(p, release_t, link);

		if (!r->queued || b->released->len == BATCH_ITEMS_MAX)
			continue;
		r->queued = false;
		r->in_flight = true;
		g_array_append_val(b->released, r->item);
	}
}

static void collect_claims(claims_t *c, claim_batch_t *b)
{
	for (list_t *p = c->pending.next; p != &c->pending; p = p->next) {
		pending_t *q = list_entry(p, pending_t, link);

		if (q->state != PENDING_QUEUED ||
		    b->claims->len == BATCH_ITEMS_MAX)
			continue;
		q->state = PENDING_SENT;
		q->in_flight = true;
		g_array_append_val(b->claims, q->item);
	}
}

/* Appends what is queued as one record, if it is time and none is under way. */
static void append(claims_t *c, ms_t now)
{
	claim_batch_t b;
	char *text;

	if (c->in_flight || !c->reachable || !c->caught_up ||
	    now < c->next_append)
		return;
	claim_batch_init(&b);
	collect_releases(c, &b);
	collect_claims(c, &b);
	if (b.claims->len + b.released->len > 0) {
		text = claim_batch_print(&b);
		c->in_flight = true;
		c->next_append = now + c->batch;
		c->ops->append(c->ctx, str_of(text));
		g_free(text);
	}
	claim_batch_clear(&b);
}

/*
 * Takes the answer to the append under way. Claims that surely did not get
 * into the log are appended again; those that may have are only read for.
 * Releases are appended again until they are read, since that changes nothing.
 */
void claims_appended(claims_t *c, code_t code, ms_t now)
{
	bool not_taken = code == CODE_THROTTLED || code == CODE_UNREACHABLE;

	c->in_flight = false;
	if (code == CODE_OK)
		backoff_reset(&c->retry);
	else if (c->rand)
		c->next_append = now + backoff_next(&c->retry, c->rand);
	for (list_t *p = c->pending.next; p != &c->pending; p = p->next) {
		pending_t *q = list_entry(p, pending_t, link);

		if (q->in_flight && not_taken)
			q->state = PENDING_QUEUED;
		q->in_flight = false;
	}
	for (list_t *p = c->releases.next; p != &c->releases; p = p->next) {
		release_t *r = list_entry(p, release_t, link);

		if (r->in_flight && code != CODE_OK)
			r->queued = true;
		r->in_flight = false;
	}
}

static list_t *key_list(claims_t *c, const claim_key_t *key)
{
	list_t *head = g_hash_table_lookup(c->live_by_key, key);

	if (head)
		return head;
	head = g_new(list_t, 1);
	list_init(head);
	g_hash_table_insert(c->live_by_key, g_memdup2(key, sizeof(*key)), head);
	return head;
}

/* Forgets the oldest claim; claims made within its window can't be first. */
static void live_evict(claims_t *c)
{
	live_t *l = list_entry(c->live.next, live_t, age);

	c->blind_until = MAX(c->blind_until, l->until);
	live_free(c, l);
}

static void live_add(claims_t *c, const claim_item_t *item, ms_t now)
{
	live_t *l;

	if (g_hash_table_contains(c->live_by_rid, &item->rid))
		return;
	if (g_hash_table_size(c->live_by_rid) >= LIVE_MAX)
		live_evict(c);
	l = g_new0(live_t, 1);
	l->item = *item;
	l->until = now + c->window;
	list_add_tail(&c->live, &l->age);
	list_add_tail(key_list(c, &item->key), &l->of_key);
	g_hash_table_insert(c->live_by_rid, &l->item.rid, l);
}

/*
 * Finds the first claim that bars one added at a time: read before, and less
 * than the window before the adding. Both times are this process's own, so an
 * earlier claim can only count for longer than the window, never shorter.
 */
static const live_t *barrier(const claims_t *c, const claim_key_t *key,
			     ms_t added)
{
	list_t *head = g_hash_table_lookup(c->live_by_key, key);

	for (list_t *p = head ? head->next : NULL; p && p != head;
	     p = p->next) {
		const live_t *l = list_entry(p, live_t, of_key);

		if (l->until > added)
			return l;
	}
	return NULL;
}

/*
 * Settles a claim of this process at its place in the log. One that is read
 * after its time, as after a pause, is given up: the key may have run since.
 */
static void own_read(claims_t *c, const claim_item_t *item, ms_t now)
{
	pending_t *p = g_hash_table_lookup(c->pending_by_rid, &item->rid);
	const rid_t none = { 0 };
	const live_t *first;

	if (g_hash_table_contains(c->live_by_rid, &item->rid))
		return;
	if (!p) {
		release_add(c, item, now);
		return;
	}
	first = barrier(c, &item->key, p->added);
	if (first) {
		release_add(c, item, now);
		settle(c, p, CODE_DUPLICATE, first->item.rid);
		return;
	}
	if (p->added < c->blind_until || now - p->added >= c->timeout) {
		release_add(c, item, now);
		settle(c, p, CODE_NO_CLAIM, none);
		return;
	}
	live_add(c, item, now);
	settle(c, p, CODE_OK, item->rid);
}

static void release_read(claims_t *c, const claim_item_t *item)
{
	live_t *l = g_hash_table_lookup(c->live_by_rid, &item->rid);
	release_t *r = g_hash_table_lookup(c->release_by_rid, &item->rid);

	if (l && claim_key_equal(&l->item.key, &item->key))
		live_free(c, l);
	if (r)
		release_free(c, r);
}

/*
 * Reads the next record of the claims stream, from the first one that the log
 * still has. A malformed record changes nothing.
 */
void claims_read_record(claims_t *c, uint64_t offset, str_t data, ms_t now)
{
	claim_batch_t b;

	(void)offset;
	claim_batch_init(&b);
	if (claim_batch_parse(&b, data) == CODE_OK) {
		for (guint i = 0; i < b.released->len; i++)
			release_read(
				c, &g_array_index(b.released, claim_item_t, i));
		for (guint i = 0; i < b.claims->len; i++) {
			const claim_item_t *it =
				&g_array_index(b.claims, claim_item_t, i);

			if (c->rand && it->rid.inc == c->inc)
				own_read(c, it, now);
			else
				live_add(c, it, now);
		}
	}
	claim_batch_clear(&b);
}

/* The log was read to its end; from the first time on, claims are appended. */
void claims_caught_up(claims_t *c, uint64_t next, ms_t now)
{
	(void)next;
	(void)now;
	c->caught_up = true;
}

/* The log became unreachable, or reachable again. */
void claims_set_reachable(claims_t *c, bool yes, ms_t now)
{
	(void)now;
	c->reachable = yes;
}

/*
 * Gives back the key of a request whose claim was settled with CODE_OK and
 * which has ended without running. Any other request is passed over.
 */
void claims_release(claims_t *c, rid_t rid, ms_t now)
{
	live_t *l = g_hash_table_lookup(c->live_by_rid, &rid);
	claim_item_t item;

	if (!l || !c->rand || rid.inc != c->inc)
		return;
	item = l->item;
	live_free(c, l);
	release_add(c, &item, now);
}

/*
 * Sets how long claims count that are read from now on, in milliseconds. Those
 * read before keep theirs.
 */
void claims_set_window(claims_t *c, ms_t window)
{
	c->window = window;
}

static void expire_pending(claims_t *c, ms_t now)
{
	const rid_t none = { 0 };

	while (!list_empty(&c->pending)) {
		pending_t *p = list_entry(c->pending.next, pending_t, link);

		if (now - p->added < c->timeout)
			return;
		settle(c, p, CODE_NO_CLAIM, none);
	}
}

/* Drops claims that can bar no pending one any more. */
static void expire_live(claims_t *c, ms_t now)
{
	while (!list_empty(&c->live)) {
		live_t *l = list_entry(c->live.next, live_t, age);

		if (now < l->until + c->timeout)
			return;
		live_free(c, l);
	}
}

static void expire_releases(claims_t *c, ms_t now)
{
	while (!list_empty(&c->releases)) {
		release_t *r = list_entry(c->releases.next, release_t, link);

		if (now - r->since < c->window)
			return;
		release_free(c, r);
	}
}

/* Ends claims whose time is up, forgets what is old, appends what is queued. */
void claims_tick(claims_t *c, ms_t now)
{
	expire_pending(c, now);
	expire_live(c, now);
	expire_releases(c, now);
	append(c, now);
}
