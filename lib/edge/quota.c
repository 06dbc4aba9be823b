/*
 * Customers' quotas. Each host admits against its share of a customer's rate;
 * shares follow what the customer asks of each host, and add up to one, so the
 * sum over hosts holds also when they are out of touch.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	RETRY_FLOOR_MS = 100,	/* a shorter pause would only add load */
	RETRY_CEIL_MS = 2000,	/* callers cap what they honour well below */
	DEMAND_SPAN_MS = 2000,	/* demand is averaged over about this long */
};

static quota_t *quota_of(edge_t *e, const char *customer)
{
	quota_t *q = g_hash_table_lookup(e->quotas, customer);

	if (q)
		return q;
	q = g_new0(quota_t, 1);
	q->share = e->quota_share;
	window_init(&q->asked, DEMAND_SPAN_MS);
	g_hash_table_insert(e->quotas, g_strdup(customer), q);
	return q;
}

static void refill(quota_t *q, const edge_customer_t *c, ms_t now)
{
	double rate = c->rate * q->share;
	double full = MAX(c->burst * q->share, rate);

	if (q->filled_at == 0)
		q->level = full;
	else
		q->level += rate * (double)(now - q->filled_at) / MS_PER_S;
	q->level = MIN(q->level, full);
	q->filled_at = now;
}

/* What a request counts against its customer's quota. */
double quota_cost(const edge_customer_t *c, double tokens)
{
	if (!c->by_tokens)
		return 1;
	return tokens > 0 ? tokens : c->plain_cost;
}

/*
 * Takes the cost from the customer's quota on this host. Returns 0 when it was
 * there, else how long until it will be, in milliseconds. A request is let in
 * while the level is above zero and may take it below: one that is larger than
 * the burst would otherwise never run.
 */
ms_t quota_take(edge_t *e, const edge_customer_t *c, double cost, ms_t now)
{
	quota_t *q;
	double wait;

	if (c->rate <= 0)
		return 0;
	q = quota_of(e, c->name);
	window_add(&q->asked, cost, now);
	refill(q, c, now);
	if (q->level > 0) {
		q->level -= cost;
		return 0;
	}
	wait = (cost - q->level) * MS_PER_S / MAX(c->rate * q->share, 1e-9);
	return CLAMP((ms_t)wait, RETRY_FLOOR_MS, RETRY_CEIL_MS);
}

/* Gives back what a request took that never reached a server. */
void quota_return(edge_t *e, const edge_customer_t *c, double cost)
{
	quota_t *q = g_hash_table_lookup(e->quotas, c->name);

	if (q)
		q->level += cost;
}
