/*
 * Customers' quotas, as an edge host uses them. For each customer the host has
 * one quota server, chosen by rendezvous hashing over the shared keepers, or
 * over the relays where there are none, and asks it for each request: so it is
 * known at one place what all hosts send. While no quota server is connected
 * the host uses its own part of the limit.
 *
 * A host counts at one quota server at a time (lib/quota). Before it joins
 * another one, the former one has confirmed that the host has left, or has
 * ended, or has had the time to notice that the connection is gone.
 *
 * One message each way per request, and one per customer when the choice or
 * the configuration changes. A request waits for one round trip.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	/*
	 * A quota server answers within some ms; one that has not answered for
	 * this long is being lost.
	 */
	ANSWER_MAX_MS = 1000,
	/* Retry-After then: the next server takes over within seconds */
	UNANSWERED_RETRY_MS = 500,
	SYNC_MS = 50,	      /* between looks at what has changed */
	KEEPERLESS_MS = 1000, /* keepers are connected within some ms */
};

/* A customer's quota on this host. */
typedef struct quota {
	uint64_t server;  /* incarnation of the quota server that this host has
			     joined; 0: none */
	uint64_t leaving; /* of the former one, until it confirms; 0: none */
	uint64_t lost;	  /* of the one lost by silence; 0: none */
	ms_t lost_until;  /* it still counts this host until then */
	uint64_t told_version;	 /* configuration of the last join */
	unsigned int told_hosts; /* of the last join */
	quota_limit_t limit;
	bucket_t own;	   /* used without a quota server */
	double sent_total; /* cost of all requests sent since this process
			      started */
} quota_t;

static quota_t *quota_of(edge_t *e, const char *customer)
{
	quota_t *q = g_hash_table_lookup(e->quotas, customer);

	if (q)
		return q;
	q = g_new0(quota_t, 1);
	bucket_init(&q->own, e->started);
	g_hash_table_insert(e->quotas, g_strdup(customer), q);
	return q;
}

static bool is_limited(const edge_customer_t *c)
{
	return c->rate > 0;
}

/* Returns this host's part of a limit when it shares it with no server. */
static double own_share(const edge_t *e)
{
	return e->hosts_known ? 1.0 / e->nhosts : 0;
}

static void set_own_share(const edge_t *e, quota_t *q, double share, ms_t now)
{
	if (q->own.share != share)
		bucket_set_share(&q->own, &q->limit, &e->conf.quota, share,
				 now);
}

/* Returns the cost of a request in its customer's quota. */
double quota_cost(const edge_customer_t *c, double tokens)
{
	if (!c->by_tokens)
		return 1;
	return tokens > 0 ? tokens : c->default_cost;
}

static void ask(edge_t *e, const quota_t *q, request_t *r)
{
	e->ops->quota_take(e->ctx, q->server, r);
}

/* Asks for all requests of the customer that wait for an answer. */
static void ask_again(edge_t *e, const char *customer, const quota_t *q)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &e->asking)
	{
		request_t *r = list_entry(pos, request_t, link);

		if (strcmp(r->customer->name, customer) == 0)
			ask(e, q, r);
	}
}

static void join(edge_t *e, const char *customer, quota_t *q, uint64_t server)
{
	quota_join_t j = { .customer = customer,
			   .version = q->told_version,
			   .limit = q->limit,
			   .hosts = e->hosts_known ? e->nhosts : 0 };
	bool first = q->server != server;

	q->server = server;
	q->lost = 0;
	q->told_hosts = j.hosts;
	e->ops->quota_join(e->ctx, server, &j);
	if (!first)
		return;
	log_line(LOG_DEBUG, "quota_joined", "customer=%s server=%llx hosts=%u",
		 customer, (unsigned long long)server, j.hosts);
	ask_again(e, customer, q);
}

static void leave(edge_t *e, const char *customer, quota_t *q)
{
	q->leaving = q->server;
	q->server = 0;
	e->ops->quota_leave(e->ctx, q->leaving, customer);
}

/* Whether a former quota server may still count this host. */
static bool counted_elsewhere(const quota_t *q, uint64_t server, ms_t now)
{
	return q->leaving ||
	       (q->lost && q->lost != server && now < q->lost_until);
}

/*
 * Returns the customer's quota server; 0: none. Relays stand in when there has
 * been no keeper for a while.
 */
static uint64_t choose_server(edge_t *e, const char *customer, ms_t now)
{
	uint64_t keeper = rendezvous_choose(e->quota_servers[QUOTA_BY_KEEPER],
					    keepers_shared(e), customer);

	if (keeper) {
		e->quota_keeperless_at = 0;
		return keeper;
	}
	if (e->quota_keeperless_at == 0)
		e->quota_keeperless_at = now;
	if (now - e->quota_keeperless_at < KEEPERLESS_MS)
		return 0;
	return rendezvous_choose(e->quota_servers[QUOTA_BY_RELAY], NULL,
				 customer);
}

/* Joins the customer's quota server, or goes on towards it. */
static void place(edge_t *e, const char *customer, quota_t *q, ms_t now)
{
	uint64_t server = choose_server(e, customer, now);

	if (server && q->server && server != q->server) {
		set_own_share(e, q, 0, now);
		leave(e, customer, q);
	} else if (counted_elsewhere(q, server, now)) {
		set_own_share(e, q, 0, now);
	} else if (!server) {
		set_own_share(e, q, own_share(e), now);
	} else if (server != q->server) {
		set_own_share(e, q, 0, now);
		join(e, customer, q, server);
	}
}

/* Takes the limit of the newest configuration. Returns whether it is new. */
static bool take_limit(edge_t *e, quota_t *q, const edge_customer_t *c,
		       ms_t now)
{
	uint64_t version = e->desired->version;
	quota_limit_t limit = { c->rate, c->burst };
	bool changed =
		q->limit.rate != limit.rate || q->limit.burst != limit.burst;

	if (!changed)
		return false;
	bucket_set_share(&q->own, &q->limit, &e->conf.quota, q->own.share, now);
	q->limit = limit;
	q->told_version = version;
	return true;
}

/*
 * Brings all customers to their quota servers and tells these what has changed.
 * Takes time in proportion to customers times keepers, and only when something
 * has changed.
 */
static void sync_all(edge_t *e, ms_t now)
{
	unsigned int hosts = e->hosts_known ? e->nhosts : 0;

	for (guint i = 0; i < e->desired->customers->len; i++) {
		const edge_customer_t *c = e->desired->customers->pdata[i];
		quota_t *q;
		uint64_t before;
		bool changed;

		if (!is_limited(c))
			continue;
		q = quota_of(e, c->name);
		before = q->server;
		changed = take_limit(e, q, c, now);
		place(e, c->name, q, now);
		if (q->server && q->server == before &&
		    (changed || q->told_hosts != hosts))
			join(e, c->name, q, q->server);
		e->quotas_unplaced += !q->server;
	}
}

static void refuse_unanswered(edge_t *e, request_t *r, ms_t now)
{
	e->quota_unanswered->value++;
	edge_log_step(e, r, now, "refused",
		      "why=quota_unanswered waited_ms=%lld",
		      (long long)(now - r->asked_at));
	quota_forget(e, r);
	r->state = REQUEST_ENDED;
	e->ops->refuse(e->ctx, r, CODE_QUOTA_UNKNOWN, UNANSWERED_RETRY_MS);
}

/* Refuses requests whose quota server has not answered. */
static void expire(edge_t *e, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &e->asking)
	{
		request_t *r = list_entry(pos, request_t, link);

		if (now - r->asked_at >= ANSWER_MAX_MS || now >= r->deadline)
			refuse_unanswered(e, r, now);
	}
}

/* To be called every few tens of ms. */
void quota_tick(edge_t *e, ms_t now)
{
	expire(e, now);
	if (!e->desired || now < e->quota_sync_at ||
	    (!e->quotas_changed && e->quotas_unplaced == 0))
		return;
	e->quota_sync_at = now + SYNC_MS;
	e->quotas_changed = false;
	e->quotas_unplaced = 0;
	sync_all(e, now);
}

/*
 * Uses a request's quota. QUOTA_ASKED: the request waits for its quota server,
 * and edge_quota_answer goes on with it. wait is set for QUOTA_REFUSED.
 */
quota_result_t quota_take(edge_t *e, request_t *r, ms_t now, ms_t *wait)
{
	const edge_customer_t *c = r->customer;
	quota_answer_t a;
	quota_t *q;

	if (!c || !is_limited(c))
		return QUOTA_GRANTED;
	r->cost = quota_cost(c, r->tokens);
	q = quota_of(e, c->name);
	if (q->limit.rate == 0) {
		q->limit = (quota_limit_t){ c->rate, c->burst };
		place(e, c->name, q, now);
	}
	if (!q->server && q->own.share > 0) {
		a = bucket_take(&q->own, &q->limit, &e->conf.quota, r->cost,
				r->priority, now);
		*wait = a.retry_after;
		return a.granted ? QUOTA_GRANTED : QUOTA_REFUSED;
	}
	r->state = REQUEST_ASKING;
	r->asked_at = now;
	list_add_tail(&e->asking, &r->link);
	g_hash_table_insert(e->asking_by_rid, &r->rid, r);
	if (q->server)
		ask(e, q, r);
	return QUOTA_ASKED;
}

/* The request no longer waits for its quota server. */
void quota_forget(edge_t *e, request_t *r)
{
	g_hash_table_remove(e->asking_by_rid, &r->rid);
	list_del(&r->link);
}

/*
 * Returns the request that a quota server answers, or NULL: it no longer waits,
 * or waits for another server.
 */
request_t *quota_answered(edge_t *e, uint64_t server, rid_t rid)
{
	request_t *r = g_hash_table_lookup(e->asking_by_rid, &rid);

	if (!r || quota_of(e, r->customer->name)->server != server) {
		e->quota_strays->value++;
		return NULL;
	}
	quota_forget(e, r);
	return r;
}

/*
 * Counts the cost of an admitted request as sent, for the reports to hosts of
 * an earlier release.
 */
void quota_count_sent(edge_t *e, const edge_customer_t *c, double cost)
{
	if (is_limited(c))
		quota_of(e, c->name)->sent_total += cost;
}

/* A process that keeps customers' quotas is up, with incarnation inc. */
void edge_quota_server_up(edge_t *e, quota_kind_t kind, const char *name,
			  uint64_t inc)
{
	const uint64_t *known =
		g_hash_table_lookup(e->quota_servers[kind], name);

	if (known && *known == inc)
		return;
	g_hash_table_replace(e->quota_servers[kind], g_strdup(name),
			     g_memdup2(&inc, sizeof(inc)));
	e->quotas_changed = true;
}

/* A process that is still up is no longer a quota server. */
void edge_quota_server_retire(edge_t *e, quota_kind_t kind, const char *name)
{
	if (g_hash_table_remove(e->quota_servers[kind], name))
		e->quotas_changed = true;
}

/*
 * A quota server's connection is down; a newer process of that name may be up
 * already. lost_for: it may not know yet and count
 * this host for that many ms; 0: it has ended, or has closed the connection.
 */
void edge_quota_server_down(edge_t *e, quota_kind_t kind, const char *name,
			    uint64_t inc, ms_t lost_for, ms_t now)
{
	const uint64_t *known =
		g_hash_table_lookup(e->quota_servers[kind], name);
	GHashTableIter it;
	gpointer v;

	if (known && *known == inc)
		g_hash_table_remove(e->quota_servers[kind], name);
	e->quotas_changed = true;
	g_hash_table_iter_init(&it, e->quotas);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		quota_t *q = v;

		if (q->server != inc && q->leaving != inc)
			continue;
		q->server = q->server == inc ? 0 : q->server;
		q->leaving = 0;
		q->lost = lost_for > 0 ? inc : 0;
		q->lost_until = now + lost_for;
	}
}

/* A quota server confirms that this host no longer counts there. */
void edge_quota_left(edge_t *e, uint64_t server, const char *customer)
{
	quota_t *q = g_hash_table_lookup(e->quotas, customer);

	if (!q || q->leaving != server) {
		e->quota_strays->value++;
		return;
	}
	q->leaving = 0;
	e->quotas_changed = true;
	e->quota_sync_at = 0;
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
