/* The other edge hosts: how many there are, and what depends on it. */
#include "edge/priv.h"

enum {
	/* Hosts of an earlier release know quotas by reports only */
	REPORT_MS = 100,
	/*
	 * Added per other host, so that a host's reports cost at most a few
	 * hundred writes a second
	 */
	REPORT_PER_HOST_MS = 8,
	/* They take a host for silent after 700 ms */
	REPORT_MAX_MS = 500,
};

/* Creates the table of other hosts. */
void hosts_init(edge_t *e)
{
	e->other_hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->nhosts = 1;
	e->hosts_changed = true;
}

/*
 * Returns the interval of reports to hosts of an earlier release, in ms. It
 * grows with the number of hosts, up to REPORT_MAX_MS.
 */
ms_t edge_report_interval(const edge_t *e)
{
	ms_t others = MAX(e->nhosts, 1) - 1;

	return MIN(REPORT_MS + others * REPORT_PER_HOST_MS, REPORT_MAX_MS);
}

static void count(edge_t *e)
{
	unsigned int n = g_hash_table_size(e->other_hosts) + 1;

	if (n == e->nhosts)
		return;
	e->nhosts = n;
	e->quotas_changed = true;
	e->hosts_changed = true;
	subset_all_changed(e);
}

/* A host other than this one is listed, or was heard of. */
void edge_host_listed(edge_t *e, const char *name)
{
	g_hash_table_add(e->other_hosts, g_strdup(name));
	count(e);
}

/* A host is no longer listed. */
void edge_host_unlisted(edge_t *e, const char *name)
{
	g_hash_table_remove(e->other_hosts, name);
	count(e);
}

/* All hosts of the store's list have been named. */
void edge_hosts_listed(edge_t *e)
{
	e->quotas_changed = e->quotas_changed || !e->hosts_known;
	e->hosts_known = true;
}

/* Frees the table. */
void hosts_clear(edge_t *e)
{
	g_hash_table_destroy(e->other_hosts);
}
