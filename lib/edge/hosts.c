/*
 * The other edge hosts: which are listed, which report, and what each has sent
 * for each customer. A host's reports count only for itself.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	/* Quotas are inaccurate by what is sent between reports */
	REPORT_MS = 100,
	/*
	 * Added per other host, so that a host's reports cost at most a few
	 * hundred writes a second
	 */
	REPORT_PER_HOST_MS = 8,
	SILENT_MS = 700, /* several report intervals */
};

/* Another host. */
typedef struct other {
	uint64_t inc;	      /* of its process; 0: no message yet */
	ms_t last_message_at; /* 0: never */
	GHashTable *sent;     /* last reported total by customer, double */
} other_t;

static void other_free(gpointer p)
{
	other_t *o = p;

	g_hash_table_destroy(o->sent);
	g_free(o);
}

static other_t *other_get(edge_t *e, const char *name)
{
	other_t *o = g_hash_table_lookup(e->other_hosts, name);

	if (o)
		return o;
	o = g_new0(other_t, 1);
	o->sent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(e->other_hosts, g_strdup(name), o);
	return o;
}

/* Creates the table of other hosts. */
void hosts_init(edge_t *e)
{
	e->other_hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       other_free);
	e->nhosts = 1;
}

/* Returns the interval of each host's reports to the others, in ms. */
ms_t edge_report_interval(const edge_t *e)
{
	return REPORT_MS + (ms_t)(MAX(e->nhosts, 1) - 1) * REPORT_PER_HOST_MS;
}

/* A host other than this one is listed. */
void edge_host_listed(edge_t *e, const char *name)
{
	other_get(e, name);
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
	e->nhosts_silent = e->nhosts - 1;
}

/* A host is no longer listed. */
void edge_host_unlisted(edge_t *e, const char *name)
{
	g_hash_table_remove(e->other_hosts, name);
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
}

/* A message came from another host, whose process has incarnation inc. */
void edge_host_alive(edge_t *e, const char *name, uint64_t inc, ms_t now)
{
	other_t *o = other_get(e, name);

	if (o->inc != inc)
		g_hash_table_remove_all(o->sent);
	if (o->last_message_at == 0 || now - o->last_message_at > SILENT_MS)
		log_line(LOG_INFO, "host_heard", "host=%s silent_ms=%lld", name,
			 o->last_message_at
				 ? (long long)(now - o->last_message_at)
				 : -1);
	o->inc = inc;
	o->last_message_at = now;
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
}

/*
 * Takes another host's total of what it has sent for a customer since its
 * process started. The first total only sets the baseline.
 */
void edge_host_usage(edge_t *e, const char *name, const char *customer,
		     double sent)
{
	other_t *o = other_get(e, name);
	double *total = g_hash_table_lookup(o->sent, customer);

	if (!total) {
		total = g_new(double, 1);
		g_hash_table_insert(o->sent, g_strdup(customer), total);
		*total = sent;
		return;
	}
	if (sent > *total)
		quota_sent_elsewhere(e, customer, sent - *total);
	*total = MAX(*total, sent);
}

/* Counts the hosts without a recent message. */
void hosts_tick(edge_t *e, ms_t now)
{
	unsigned int silent = 0;
	GHashTableIter it;
	gpointer name;
	gpointer v;

	g_hash_table_iter_init(&it, e->other_hosts);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const other_t *o = v;

		silent += o->last_message_at == 0 ||
			  now - o->last_message_at > SILENT_MS;
	}
	if (silent != e->nhosts_silent)
		log_line(LOG_INFO, "hosts_silent", "silent=%u of=%u", silent,
			 e->nhosts);
	e->nhosts_silent = silent;
}

/* Frees the table. */
void hosts_clear(edge_t *e)
{
	g_hash_table_destroy(e->other_hosts);
}
