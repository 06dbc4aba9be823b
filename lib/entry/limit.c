/*
 * Token buckets of customers. Every entry allows its share of a rate, so that
 * the entries together keep to it without messages between them.
 */
#include <math.h>
#include "entry/fns.h"

enum {
	BURST_MS = 1000, /* this much time's share passes at once */
};

typedef struct bucket {
	uint64_t rate;	/* units a second over all entries; 0 no limit */
	double level;	/* units left */
	ms_t filled_at; /* -1 never */
} bucket_t;

typedef struct customer_limits {
	bucket_t requests;
	bucket_t tokens;
} customer_limits_t;

struct limits {
	GHashTable *customers; /* by name, of customer_limits_t */
	unsigned int live;     /* entries that share the rates */
};

/* Returns an empty table: no customer is limited. */
limits_t *limits_new(void)
{
	limits_t *l = g_new0(limits_t, 1);

	l->customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->live = 1;
	return l;
}

/* Frees the table. */
void limits_free(limits_t *l)
{
	g_hash_table_destroy(l->customers);
	g_free(l);
}

/* Sets a customer's rates over all entries; 0 is no limit. */
void limits_set(limits_t *l, const char *customer, uint64_t requests_per_s,
		uint64_t tokens_per_s)
{
	customer_limits_t *c = g_hash_table_lookup(l->customers, customer);

	if (!c) {
		c = g_new0(customer_limits_t, 1);
		c->requests.filled_at = -1;
		c->tokens.filled_at = -1;
		g_hash_table_insert(l->customers, g_strdup(customer), c);
	}
	c->requests.rate = requests_per_s;
	c->tokens.rate = tokens_per_s;
}

/* Sets the number of live entries that share each rate; 0 counts as 1. */
void limits_set_entries(limits_t *l, unsigned int live)
{
	l->live = MAX(live, 1);
}

/* This entry's share of the rate, in units a millisecond. */
static double share(const limits_t *l, const bucket_t *b)
{
	return (double)b->rate / l->live / 1000;
}

static void fill(const limits_t *l, bucket_t *b, ms_t now)
{
	double max = MAX(share(l, b) * BURST_MS, 1);

	if (b->filled_at < 0)
		b->level = max;
	else
		b->level += share(l, b) * (double)MAX(now - b->filled_at, 0);
	b->level = MIN(b->level, max);
	b->filled_at = now;
}

/* Returns the milliseconds until the bucket holds need; 0 if it does now. */
static ms_t wait_for(const limits_t *l, const bucket_t *b, double need)
{
	if (b->rate == 0 || b->level >= need)
		return 0;
	return (ms_t)ceil((need - b->level) / share(l, b));
}

/*
 * Takes one request of that many tokens from the customer's buckets. The token
 * bucket only has to hold one token and may then go below zero, so that a
 * request larger than the burst can pass. Returns CODE_OK, or CODE_OVER_LIMIT
 * with the milliseconds to wait in *retry.
 */
code_t limits_take(limits_t *l, const char *customer, uint64_t tokens, ms_t now,
		   ms_t *retry)
{
	customer_limits_t *c = g_hash_table_lookup(l->customers, customer);

	*retry = 0;
	if (!c)
		return CODE_OK;
	fill(l, &c->requests, now);
	fill(l, &c->tokens, now);
	*retry = MAX(wait_for(l, &c->requests, 1), wait_for(l, &c->tokens, 1));
	if (*retry > 0)
		return CODE_OVER_LIMIT;
	c->requests.level -= 1;
	c->tokens.level -= (double)tokens;
	return CODE_OK;
}
