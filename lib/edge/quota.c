/*
 * Customers' quotas, over all hosts. Every host keeps its own view of one
 * bucket for each customer: it is filled at the customer's rate and emptied by
 * what this host sends and by what the others say that they sent. A host that
 * is not heard is taken to use an equal part of the rate, and one that hears
 * nobody uses no more than that, so the sum holds for hosts out of touch too.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	RETRY_FLOOR_MS = 100, /* a shorter pause would only add load */
	RETRY_CEIL_MS = 2000, /* callers cap what they honour well below */
	WAY_MS = 80, /* of a message between hosts, with its wait for a turn */
};

static const double tolerance_use = 0.8; /* of what is tolerated: the rest is
					    for what hosts learn late */
static const double slack_use = 0.25;	 /* of the slack, at least */
static const double burst_times = 2.5;	 /* the rate that a customer may ask for
					    beyond it, while hosts have not yet
					    heard of each other's sends */
static const double small = 0.005; /* of the burst: so cheap a request is let
				      in on credit, for it serves a caller at
				      next to no cost to the others */
static const double credit = 0.5;  /* of the burst */
static const double kept_for_urgent = 0.02; /* of the burst, for each rank that
					       a route is below the first */

static quota_t *quota_of(edge_t *e, const char *customer)
{
	quota_t *q = g_hash_table_lookup(e->quotas, customer);

	if (q)
		return q;
	q = g_new0(quota_t, 1);
	g_hash_table_insert(e->quotas, g_strdup(customer), q);
	return q;
}

/* The part of a customer's rate that hosts out of touch may be using. */
static double unheard(const edge_t *e)
{
	return e->nhosts > 0 ? (double)e->nhosts_silent / e->nhosts : 0;
}

/*
 * What may pass in a window beyond the rate, the burst and the used part of
 * the tolerance: the rest of what is tolerated, less what all hosts together
 * may let in before they hear of each other. That grows with the rate, so
 * small customers get most of the slack and large ones little.
 */
static double extra(const edge_t *e, const edge_customer_t *c)
{
	double window = (double)e->conf.quota_window / MS_PER_S;
	double rest = e->conf.quota_tolerance * (1 - tolerance_use) *
		      (c->rate * window + c->burst);
	double late = (double)(edge_report_interval(e) + WAY_MS) / MS_PER_S;

	return MAX(e->conf.quota_slack * slack_use,
		   rest + e->conf.quota_slack - c->rate * burst_times * late);
}

/*
 * Whether what earlier processes sent may still count in a window. Nothing is
 * known of that, nor of what they let in too much: when all hosts are killed
 * at once all of it is forgotten. So a process begins with an empty bucket and
 * keeps to the plain quota until a window has passed.
 */
static bool is_young(const edge_t *e, ms_t now)
{
	return e->ticked && now - e->started < e->conf.quota_window;
}

static void refill(const edge_t *e, quota_t *q, const edge_customer_t *c,
		   ms_t now)
{
	bool young = is_young(e, now);
	double more = young ? 1 : 1 + e->conf.quota_tolerance * tolerance_use;
	double slack =
		young ? 0
		      : extra(e, c) * MS_PER_S / (double)e->conf.quota_window;
	double rate = (c->rate * more + slack) * (1 - unheard(e));
	double full = c->burst * more * (1 - unheard(e));

	/* A bucket fills from the process's start, not from its first use. */
	if (q->filled_at == 0)
		q->filled_at = e->ticked ? e->started : now;
	q->level += rate * (double)(now - q->filled_at) / MS_PER_S;
	q->level = MIN(q->level, full);
	q->filled_at = now;
}

/* What a request counts against its customer's quota. */
double quota_cost(const edge_customer_t *c, double tokens)
{
	if (!c->by_tokens)
		return 1;
	return tokens > 0 ? tokens : c->default_cost;
}

/* The level that has to be left for a request of that cost and rank. */
static double floor_of(const edge_customer_t *c, double cost, unsigned int rank)
{
	if (cost < c->burst * small)
		return -c->burst * credit;
	return c->burst * kept_for_urgent * (rank % ROUTE_RANKS);
}

/*
 * Takes the cost from the customer's bucket. Returns 0 when there was room,
 * else how long until there will be, in ms. A request is let in while the
 * level is above zero and may take it below: one that is larger than the burst
 * would otherwise never run.
 */
ms_t quota_take(edge_t *e, const edge_customer_t *c, double cost,
		unsigned int rank, ms_t now)
{
	quota_t *q;
	double wait;

	if (c->rate <= 0)
		return 0;
	q = quota_of(e, c->name);
	refill(e, q, c, now);
	if (q->level > floor_of(c, cost, rank)) {
		q->level -= cost;
		return 0;
	}
	wait = (cost - q->level) * MS_PER_S / c->rate;
	return CLAMP((ms_t)wait, RETRY_FLOOR_MS, RETRY_CEIL_MS);
}

/* Gives back what was taken for a request that was never sent. */
void quota_return(edge_t *e, const edge_customer_t *c, double cost)
{
	if (c->rate > 0)
		quota_of(e, c->name)->level += cost;
}

/* Notes that a request which was let in is sent: other hosts are told. */
void quota_count_sent(edge_t *e, const edge_customer_t *c, double cost)
{
	if (c->rate > 0)
		quota_of(e, c->name)->sent_total += cost;
}

/* Takes what another host has sent for the customer since it was last heard. */
void quota_sent_elsewhere(edge_t *e, const char *customer, double cost)
{
	quota_of(e, customer)->level -= cost;
}

/* Tells fn the customers and what this process sent for each in all. */
void edge_each_usage(const edge_t *e,
		     void (*fn)(void *ctx, const char *customer, double sent),
		     void *ctx)
{
	GHashTableIter it;
	gpointer name;
	gpointer q;

	g_hash_table_iter_init(&it, e->quotas);
	while (g_hash_table_iter_next(&it, &name, &q))
		fn(ctx, name, ((quota_t *)q)->sent_total);
}
