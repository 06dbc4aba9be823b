/*
 * A quota server: the token buckets of the customers that this process keeps.
 *
 * The bucket's share of the customer's limit is the part of all edge hosts that
 * have joined here. A host joins one server at a time for a customer, so the
 * shares of all servers add up to one at most: also while hosts disagree on
 * which server to use, when a server ends and another takes over, and in a
 * partition. A host that is silent or restarted is dropped with its connection
 * and joins anew.
 *
 * State grows with customers times hosts: one entry of some 60 bytes each.
 */
#include "quota/fns.h"

enum {
	/*
	 * Edge hosts assumed while no host that joined knows how many there
	 * are: more than any fleet has, so that hosts that start together
	 * without a list don't each apply the whole limit.
	 */
	HOSTS_ASSUMED = 1024,
	/*
	 * Hosts join within some seconds after a start of all: of this process,
	 * whose customers' former servers are taken for ended, or of all hosts.
	 */
	STARTING_MS = 5000,
};

/* A customer whose quota is kept here. */
typedef struct account {
	quota_limit_t limit;
	uint64_t version; /* of the configuration with the limit */
	bucket_t bucket;
	double start_share;  /* share for which the bucket got its start */
	ms_t starting_until; /* shares joined before this get a start */
	GHashTable *hosts;   /* by incarnation, how many hosts each knows */
} account_t;

struct quota_server {
	quota_bounds_t bounds;
	ms_t started;
	GHashTable *accounts; /* account_t by customer */
	counter_t *joins;
	counter_t *grants;
	counter_t *refusals;
	counter_t *rejected; /* messages that changed nothing */
};

static void account_free(gpointer v)
{
	account_t *a = v;

	g_hash_table_destroy(a->hosts);
	g_free(a);
}

/* Returns a server that keeps no customer yet, in a process started now. */
quota_server_t *quota_server_new(const quota_bounds_t *bounds,
				 counters_t *counters, ms_t now)
{
	quota_server_t *s = g_new0(quota_server_t, 1);

	s->bounds = *bounds;
	s->started = now;
	s->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    account_free);
	s->joins = counter_get(counters, "quota_joins_total", NULL);
	s->grants = counter_get(counters, "quota_grants_total", NULL);
	s->refusals = counter_get(counters, "quota_refusals_total", NULL);
	s->rejected = counter_get(counters, "quota_rejected_total", NULL);
	return s;
}

/* Frees the server. */
void quota_server_free(quota_server_t *s)
{
	g_hash_table_destroy(s->accounts);
	g_free(s);
}

/* Applies new bounds from the settings. */
void quota_server_set_bounds(quota_server_t *s, const quota_bounds_t *bounds)
{
	s->bounds = *bounds;
}

/* Returns how many edge hosts there are, by what the joined ones know. */
static unsigned int known_hosts(const account_t *a)
{
	unsigned int most = 0;
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, a->hosts);
	while (g_hash_table_iter_next(&it, NULL, &n))
		most = MAX(most, GPOINTER_TO_UINT(n));
	return most > 0 ? most : HOSTS_ASSUMED;
}

static void update_share(const quota_server_t *s, account_t *a, ms_t now)
{
	double joined = g_hash_table_size(a->hosts);
	double share = MIN(joined / known_hosts(a), 1);

	bucket_set_share(&a->bucket, &a->limit, &s->bounds, share, now);
	if (now >= a->starting_until || share <= a->start_share)
		return;
	bucket_add_start(&a->bucket, &a->limit, &s->bounds,
			 share - a->start_share);
	a->start_share = share;
}

static void set_host(account_t *a, uint64_t host, unsigned int hosts)
{
	g_hash_table_replace(a->hosts, g_memdup2(&host, sizeof(host)),
			     GUINT_TO_POINTER(hosts));
}

static account_t *account_new(quota_server_t *s, const quota_join_t *j,
			      ms_t now)
{
	account_t *a = g_new0(account_t, 1);

	a->limit = j->limit;
	a->version = j->version;
	a->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	a->starting_until = s->started + STARTING_MS;
	bucket_init(&a->bucket, now);
	g_hash_table_insert(s->accounts, g_strdup(j->customer), a);
	log_line(LOG_INFO, "quota_kept", "customer=%s rate=%.0f burst=%.0f",
		 j->customer, j->limit.rate, j->limit.burst);
	return a;
}

/*
 * All hosts were gone and come back. No more than two starts fall into a
 * window.
 */
static void restart(const quota_server_t *s, account_t *a, ms_t now)
{
	if (now - a->starting_until + STARTING_MS <= s->bounds.window / 2)
		return;
	a->start_share = 0;
	a->starting_until = now + STARTING_MS;
}

static bool is_valid(const quota_join_t *j)
{
	return j->customer[0] && j->limit.rate > 0 && j->limit.burst >= 0;
}

/*
 * A host joins, or repeats its word after a change. The limit of the newest
 * configuration holds; an older one, or another one of the same version,
 * changes nothing. Returns false when the message is invalid.
 */
bool quota_server_join(quota_server_t *s, uint64_t host, const quota_join_t *j,
		       ms_t now)
{
	account_t *a = g_hash_table_lookup(s->accounts, j->customer);

	if (!is_valid(j)) {
		s->rejected->value++;
		log_line(LOG_WARN, "quota_message_bad",
			 "what=join customer=%s host=%llx rate=%g burst=%g",
			 j->customer, (unsigned long long)host, j->limit.rate,
			 j->limit.burst);
		return false;
	}
	if (!a)
		a = account_new(s, j, now);
	else if (g_hash_table_size(a->hosts) == 0)
		restart(s, a, now);
	update_share(s, a, now);
	if (j->version > a->version) {
		a->limit = j->limit;
		a->version = j->version;
	}
	s->joins->value++;
	set_host(a, host, j->hosts);
	update_share(s, a, now);
	return true;
}

/* A host no longer uses this server for the customer. */
void quota_server_leave(quota_server_t *s, uint64_t host, const char *customer,
			ms_t now)
{
	account_t *a = g_hash_table_lookup(s->accounts, customer);

	if (!a || !g_hash_table_remove(a->hosts, &host)) {
		s->rejected->value++;
		return;
	}
	update_share(s, a, now);
}

/*
 * A host's request uses the customer's quota. A host that has not joined gets
 * nothing.
 */
quota_answer_t quota_server_take(quota_server_t *s, uint64_t host,
				 const char *customer, double cost,
				 unsigned int priority, ms_t now)
{
	account_t *a = g_hash_table_lookup(s->accounts, customer);
	quota_answer_t answer;

	if (!a || !g_hash_table_contains(a->hosts, &host) || !(cost >= 0)) {
		s->rejected->value++;
		log_line(LOG_WARN, "quota_message_bad",
			 "what=take customer=%s host=%llx cost=%g", customer,
			 (unsigned long long)host, cost);
		return (quota_answer_t){ .granted = false, .retry_after = 0 };
	}
	answer = bucket_take(&a->bucket, &a->limit, &s->bounds, cost, priority,
			     now);
	(answer.granted ? s->grants : s->refusals)->value++;
	return answer;
}

/* A host's connection is gone: it no longer counts for any customer. */
void quota_server_host_gone(quota_server_t *s, uint64_t host, ms_t now)
{
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, s->accounts);
	while (g_hash_table_iter_next(&it, NULL, &a)) {
		if (g_hash_table_remove(((account_t *)a)->hosts, &host))
			update_share(s, a, now);
	}
}

/* Returns the number of customers that some host has joined for. */
unsigned int quota_server_customers(const quota_server_t *s)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, s->accounts);
	while (g_hash_table_iter_next(&it, NULL, &a))
		n += g_hash_table_size(((account_t *)a)->hosts) > 0;
	return n;
}
