/*
 * Claims of idempotency keys through the log. A request runs only if its claim,
 * read back in log order, comes before every other valid claim of the key. A
 * claim is valid until its owner releases it, which it does when the request
 * ended without running, or until the window has passed.
 */
#include <string.h>
#include "ledger/claimrec.h"

enum {
	BATCH_ITEMS_MAX = 512,	/* claims, and releases, in one append */
	CLAIMS_MAX = 1 << 20,	/* claims read and kept */
	PENDING_MAX = 1 << 16,	/* own claims not settled yet */
	RELEASES_MAX = 1 << 16, /* releases not read back yet */
	RETRY_MS_MAX = 1000,	/* between append attempts */
};

typedef enum pending_state {
	PENDING_QUEUED, /* certainly not in the log */
	PENDING_SENT,	/* may be in the log: known when it is read */
} pending_state_t;

/* A claim of this process that is not settled yet. */
typedef struct pending {
	list_t link; /* oldest first */
	claim_item_t item;
	ms_t added;
	pending_state_t state;
	bool in_flight; /* in the append whose answer is awaited */
} pending_t;

/* A valid claim, read from the log. */
typedef struct claim {
	list_t age_link; /* oldest first */
	list_t key_link; /* in the claims of its key, in log order */
	claim_item_t item;
	ms_t until; /* it bars claims added before this time */
} claim_t;

/* A release by this process that was not read back yet. */
typedef struct release {
	list_t link;
	claim_item_t item;
	bool queued; /* to go into the next append */
	bool in_flight;
	ms_t since;
} release_t;

struct claims {
	const claims_ops_t *ops;
	void *ctx;
	ms_t batch;
	ms_t window;
	ms_t timeout;
	uint64_t inc; /* own incarnation; 0 before the first claim */
	bool reachable;
	bool caught_up; /* the log has been read to its end once */
	bool in_flight; /* an append awaits its answer */
	ms_t next_append;
	backoff_t retry;
	GRand *rand;
	list_t pending;
	GHashTable *pending_by_rid; /* owns them */
	list_t releases;
	GHashTable *release_by_rid; /* owns them */
	list_t claims;		    /* read and valid, oldest first */
	GHashTable *claim_by_rid;   /* owns them */
	GHashTable *claims_by_key;  /* to a list_t head */
	ms_t evicted_until; /* claims added before may follow an evicted one */
};

/* Makes a table by rid_t that frees its values; the keys are part of them. */
static GHashTable *rid_table(void)
{
	return g_hash_table_new_full(rid_hash, rid_equal, NULL, g_free);
}

/*
 * Makes an empty set of claims. Times in milliseconds: batch is the interval
 * between appends, window how long a claim is valid, timeout how long a claim
 * may stay unsettled before it ends with CODE_NO_CLAIM.
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
	c->evicted_until = INT64_MIN;
	backoff_init(&c->retry, batch, RETRY_MS_MAX);
	list_init(&c->pending);
	list_init(&c->releases);
	list_init(&c->claims);
	c->pending_by_rid = rid_table();
	c->release_by_rid = rid_table();
	c->claim_by_rid = rid_table();
	c->claims_by_key = g_hash_table_new_full(
		claim_key_hash, claim_key_equal, g_free, g_free);
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

static void claim_free(claims_t *c, claim_t *l)
{
	list_t *head = g_hash_table_lookup(c->claims_by_key, &l->item.key);

	list_del(&l->key_link);
	list_del(&l->age_link);
	if (head && list_empty(head))
		g_hash_table_remove(c->claims_by_key, &l->item.key);
	g_hash_table_remove(c->claim_by_rid, &l->item.rid);
}

/* Frees the claims; pending ones are not settled. */
void claims_free(claims_t *c)
{
	g_hash_table_destroy(c->pending_by_rid);
	g_hash_table_destroy(c->release_by_rid);
	g_hash_table_destroy(c->claims_by_key);
	g_hash_table_destroy(c->claim_by_rid);
	if (c->rand)
		g_rand_free(c->rand);
	g_free(c);
}

/* Queues a release for the next append. Repeated calls queue it once. */
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

/* Reports the outcome of a claim to its owner, exactly once per claim. */
static void settle(claims_t *c, pending_t *p, code_t code, rid_t first)
{
	rid_t rid = p->item.rid;

	pending_free(c, p);
	c->ops->settled(c->ctx, rid, code, first);
}

/*
 * Claims a customer's key for a request. Calls settled later, never from within
 * this call. The claim is settled with CODE_NO_CLAIM at the next tick if the
 * log is unreachable or too many claims are pending.
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

/*
 * Appends what is queued as one record, unless an append is in flight or the
 * last one was too short a time ago.
 */
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
 * Handles the answer to the append in flight. Claims that are certainly not in
 * the log are queued again; those that may be in it wait to be read. Releases
 * are appended again until they are read, as a second one has no effect.
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

static list_t *key_claims(claims_t *c, const claim_key_t *key)
{
	list_t *head = g_hash_table_lookup(c->claims_by_key, key);

	if (head)
		return head;
	head = g_new(list_t, 1);
	list_init(head);
	g_hash_table_insert(c->claims_by_key, g_memdup2(key, sizeof(*key)),
			    head);
	return head;
}

/*
 * Evicts the oldest claim. Later claims that it might have barred are refused
 * with CODE_NO_CLAIM.
 */
static void claim_evict(claims_t *c)
{
	claim_t *l = list_entry(c->claims.next, claim_t, age_link);

	c->evicted_until = MAX(c->evicted_until, l->until);
	claim_free(c, l);
}

static void claim_insert(claims_t *c, const claim_item_t *item, ms_t now)
{
	claim_t *l;

	if (g_hash_table_contains(c->claim_by_rid, &item->rid))
		return;
	if (g_hash_table_size(c->claim_by_rid) >= CLAIMS_MAX)
		claim_evict(c);
	l = g_new0(claim_t, 1);
	l->item = *item;
	l->until = now + c->window;
	list_add_tail(&c->claims, &l->age_link);
	list_add_tail(key_claims(c, &item->key), &l->key_link);
	g_hash_table_insert(c->claim_by_rid, &l->item.rid, l);
}

/*
 * Finds the first claim that bars one added at the given time: it was read
 * before, less than the window before that time. Both times are of this
 * process's clock, so that a claim may bar others for longer than the window,
 * never for less.
 */
static const claim_t *find_earlier(const claims_t *c, const claim_key_t *key,
				   ms_t added)
{
	list_t *head = g_hash_table_lookup(c->claims_by_key, key);

	for (list_t *p = head ? head->next : NULL; p && p != head;
	     p = p->next) {
		const claim_t *l = list_entry(p, claim_t, key_link);

		if (l->until > added)
			return l;
	}
	return NULL;
}

/*
 * Settles a claim of this process when it is read from the log. One that is
 * read after its timeout, as after a pause of the process, ends with
 * CODE_NO_CLAIM, since the key may have run elsewhere meanwhile.
 */
static void read_own_claim(claims_t *c, const claim_item_t *item, ms_t now)
{
	pending_t *p = g_hash_table_lookup(c->pending_by_rid, &item->rid);
	const rid_t none = { 0 };
	const claim_t *first;

	if (g_hash_table_contains(c->claim_by_rid, &item->rid))
		return;
	if (!p) {
		release_add(c, item, now);
		return;
	}
	first = find_earlier(c, &item->key, p->added);
	if (first) {
		release_add(c, item, now);
		settle(c, p, CODE_DUPLICATE, first->item.rid);
		return;
	}
	if (p->added < c->evicted_until || now - p->added >= c->timeout) {
		release_add(c, item, now);
		settle(c, p, CODE_NO_CLAIM, none);
		return;
	}
	claim_insert(c, item, now);
	settle(c, p, CODE_OK, item->rid);
}

static void read_release(claims_t *c, const claim_item_t *item)
{
	claim_t *l = g_hash_table_lookup(c->claim_by_rid, &item->rid);
	release_t *r = g_hash_table_lookup(c->release_by_rid, &item->rid);

	if (l && claim_key_equal(&l->item.key, &item->key))
		claim_free(c, l);
	if (r)
		release_free(c, r);
}

/*
 * Reads the next record of the claims stream, starting with the first one that
 * the log still has. Ignores a malformed record.
 */
void claims_read_record(claims_t *c, uint64_t offset, str_t data, ms_t now)
{
	claim_batch_t b;

	(void)offset;
	claim_batch_init(&b);
	if (claim_batch_parse(&b, data) == CODE_OK) {
		for (guint i = 0; i < b.released->len; i++)
			read_release(
				c, &g_array_index(b.released, claim_item_t, i));
		for (guint i = 0; i < b.claims->len; i++) {
			const claim_item_t *it =
				&g_array_index(b.claims, claim_item_t, i);

			if (c->rand && it->rid.inc == c->inc)
				read_own_claim(c, it, now);
			else
				claim_insert(c, it, now);
		}
	}
	claim_batch_clear(&b);
}

/* The log was read to its end. Appends start after the first call. */
void claims_caught_up(claims_t *c, uint64_t next, ms_t now)
{
	(void)next;
	(void)now;
	c->caught_up = true;
}

/* Sets whether the log can be reached. */
void claims_set_reachable(claims_t *c, bool yes, ms_t now)
{
	(void)now;
	c->reachable = yes;
}

/*
 * Releases the key of a request whose claim was settled with CODE_OK and which
 * has ended without running. Ignores any other request.
 */
void claims_release(claims_t *c, rid_t rid, ms_t now)
{
	claim_t *l = g_hash_table_lookup(c->claim_by_rid, &rid);
	claim_item_t item;

	if (!l || !c->rand || rid.inc != c->inc)
		return;
	item = l->item;
	claim_free(c, l);
	release_add(c, &item, now);
}

/*
 * Sets the window of claims that are read from now on, in milliseconds. Claims
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

/* Drops claims too old to bar any pending claim. */
static void expire_claims(claims_t *c, ms_t now)
{
	while (!list_empty(&c->claims)) {
		claim_t *l = list_entry(c->claims.next, claim_t, age_link);

		if (now < l->until + c->timeout)
			return;
		claim_free(c, l);
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

/* Ends claims at their timeout, drops old ones, and appends what is queued. */
void claims_tick(claims_t *c, ms_t now)
{
	expire_pending(c, now);
	expire_claims(c, now);
	expire_releases(c, now);
	append(c, now);
}
