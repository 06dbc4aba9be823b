/*
 * The other edge hosts: who is listed, who is heard, and what each has sent
 * for the customers. Only what a host says of itself is taken from it.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	TELL_MS = 100,	      /* quotas are off by what is sent meanwhile */
	TELL_FOR_EACH_MS = 8, /* more for each host, so that a host's messages
				 cost a few hundred writes a second at most */
	SILENT_MS = 700,      /* several times the period of their messages */
};

/* Another host. */
typedef struct other {
	uint64_t inc;	  /* of its process; 0 not heard yet */
	ms_t heard;	  /* 0 never */
	GHashTable *sent; /* double by customer */
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

/* Makes the table of other hosts. */
void hosts_init(edge_t *e)
{
	e->other_hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       other_free);
	e->nhosts = 1;
}

/* How often each host tells the others what it has sent, in ms. */
ms_t edge_report_interval(const edge_t *e)
{
	return TELL_MS + (ms_t)(MAX(e->nhosts, 1) - 1) * TELL_FOR_EACH_MS;
}

/* A host other than this one is listed. */
void edge_host_listed(edge_t *e, const char *name)
{
	other_get(e, name);
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
	e->nhosts_silent = e->nhosts - 1;
}

/* A host is off the list. */
void edge_host_unlisted(edge_t *e, const char *name)
{
	g_hash_table_remove(e->other_hosts, name);
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
}

/* Any word from another host; inc tells its process from earlier ones. */
void edge_host_alive(edge_t *e, const char *name, uint64_t inc, ms_t now)
{
	other_t *o = other_get(e, name);

	if (o->inc != inc)
		g_hash_table_remove_all(o->sent);
	if (o->heard == 0 || now - o->heard > SILENT_MS)
		log_line(LOG_INFO, "host_heard", "host=%s silent_ms=%lld", name,
			 o->heard ? (long long)(now - o->heard) : -1);
	o->inc = inc;
	o->heard = now;
	e->nhosts = g_hash_table_size(e->other_hosts) + 1;
}

/*
 * Another host's count of what it has sent for a customer, over the life of
 * its process. The first count heard is where counting begins.
 */
void edge_host_usage(edge_t *e, const char *name, const char *customer,
		     double sent)
{
	other_t *o = other_get(e, name);
	double *had = g_hash_table_lookup(o->sent, customer);

	if (!had) {
		had = g_new(double, 1);
		g_hash_table_insert(o->sent, g_strdup(customer), had);
		*had = sent;
		return;
	}
	if (sent > *had)
		quota_sent_elsewhere(e, customer, sent - *had);
	*had = MAX(*had, sent);
}

/* Counts the hosts that are not heard now. */
void hosts_tick(edge_t *e, ms_t now)
{
	unsigned int silent = 0;
	GHashTableIter it;
	gpointer name;
	gpointer v;

	g_hash_table_iter_init(&it, e->other_hosts);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const other_t *o = v;

		silent += o->heard == 0 || now - o->heard > SILENT_MS;
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
