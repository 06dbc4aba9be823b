/*
 * Customers' quotas over all hosts. Every host keeps a token bucket per
 * customer, filled at the customer's rate and drained by what this host sends
 * and by what the other hosts report that they sent. A silent host is assumed
 * to use an equal part of the rate, and a host that hears from no other uses no
 * more than its own part, so the sum holds during a partition too.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	RETRY_FLOOR_MS = 100, /* a shorter pause would only add load */
	/* Callers cap the pause that they accept well below it */
	RETRY_CEIL_MS = 2000,
	REPORT_DELAY_MS = 80, /* delay of a report between hosts, including the
				 wait until it is sent */
};

static const double tolerance_use = 0.8; /* part of the tolerance that is used;
					    the rest is for delayed reports */
/* Part of the slack that is always used */
static const double slack_use = 0.25;
/*
 * Times the rate: what a customer is assumed to get in excess while hosts have
 * not yet received each other's reports
 */
static const double excess_factor = 2.5;
/*
 * Part of the burst: cheaper requests are admitted on credit, as they cost
 * other requests next to nothing
 */
static const double small_cost = 0.005;
static const double small_credit = 0.5; /* limit of that credit, of the burst */
/* Part of the burst reserved per priority that a route is below the highest */
static const double priority_reserve = 0.02;

static quota_t *quota_of(edge_t *e, const char *customer)
{
	quota_t *q = g_hash_table_lookup(e->quotas, customer);

	if (q)
		return q;
	q = g_new0(quota_t, 1);
	g_hash_table_insert(e->quotas, g_strdup(customer), q);
	return q;
}

/* Returns the part of a customer's rate that silent hosts may be using. */
static double silent_part(const edge_t *e)
{
	return e->nhosts > 0 ? (double)e->nhosts_silent / e->nhosts : 0;
}

/*
 * Returns what may be admitted in a window beyond the rate, the burst and the
 * used part of the tolerance: the rest of the tolerance and the slack, less
 * what all hosts together may admit before they receive each other's reports.
 * That grows with the rate, so small customers get most of the slack and large
 * ones little.
 */
static double excess(const edge_t *e, const edge_customer_t *c)
{
	double window = (double)e->conf.quota_window / MS_PER_S;
	double rest = e->conf.quota_tolerance * (1 - tolerance_use) *
		      (c->rate * window + c->burst);
	double delay =
		(double)(edge_report_interval(e) + REPORT_DELAY_MS) / MS_PER_S;

	return MAX(e->conf.quota_slack * slack_use,
		   rest + e->conf.quota_slack -
			   c->rate * excess_factor * delay);
}

/*
 * Whether requests sent by earlier processes may still count in the window.
 * Nothing is known of those, nor of what was admitted in excess: when all hosts
 * are killed at once, all totals are lost. So a process starts with empty
 * buckets and admits no excess until a window has passed.
 */
static bool is_starting(const edge_t *e, ms_t now)
{
	return e->ticked && now - e->started < e->conf.quota_window;
}

static void refill(const edge_t *e, quota_t *q, const edge_customer_t *c,
		   ms_t now)
{
	bool starting = is_starting(e, now);
	double factor =
		starting ? 1 : 1 + e->conf.quota_tolerance * tolerance_use;
	double slack = starting ? 0
				: excess(e, c) * MS_PER_S /
					  (double)e->conf.quota_window;
	double rate = (c->rate * factor + slack) * (1 - silent_part(e));
	double full = c->burst * factor * (1 - silent_part(e));

	/* A bucket fills from the process's start, not from its first use. */
	if (q->filled_at == 0)
		q->filled_at = e->ticked ? e->started : now;
	q->level += rate * (double)(now - q->filled_at) / MS_PER_S;
	q->level = MIN(q->level, full);
	q->filled_at = now;
}

/* Returns the cost of a request in its customer's quota. */
double quota_cost(const edge_customer_t *c, double tokens)
{
	if (!c->by_tokens)
		return 1;
	return tokens > 0 ? tokens : c->default_cost;
}

/*
 * Returns the level above which a request of that cost and priority is
 * admitted.
 */
static double floor_of(const edge_customer_t *c, double cost,
		       unsigned int priority)
{
	if (cost < c->burst * small_cost)
		return -c->burst * small_credit;
	return c->burst * priority_reserve * (priority % ROUTE_PRIORITIES);
}

/*
 * Takes the cost from the customer's bucket and returns 0, or returns when to
 * retry, in ms. A request is admitted while the level is above its floor and
 * may take it below zero: one larger than the burst would otherwise never run.
 */
ms_t quota_take(edge_t *e, const edge_customer_t *c, double cost,
		unsigned int priority, ms_t now)
{
	quota_t *q;
	double wait;

	if (c->rate <= 0)
		return 0;
	q = quota_of(e, c->name);
	refill(e, q, c, now);
	if (q->level > floor_of(c, cost, priority)) {
		q->level -= cost;
		return 0;
	}
	wait = (cost - q->level) * MS_PER_S / c->rate;
	return CLAMP((ms_t)wait, RETRY_FLOOR_MS, RETRY_CEIL_MS);
}

/* Refunds the cost of a request that was never sent. */
void quota_return(edge_t *e, const edge_customer_t *c, double cost)
{
	if (c->rate > 0)
		quota_of(e, c->name)->level += cost;
}

/*
 * Counts the cost of an admitted request as sent, for the reports to other
 * hosts.
 */
void quota_count_sent(edge_t *e, const edge_customer_t *c, double cost)
{
	if (c->rate > 0)
		quota_of(e, c->name)->sent_total += cost;
}

/* Takes what another host has sent for the customer since its last report. */
void quota_sent_elsewhere(edge_t *e, const char *customer, double cost)
{
	quota_of(e, customer)->level -= cost;
}

/* Calls fn for each customer with the total that this process has sent. */
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
