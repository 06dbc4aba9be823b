/*
 * Which servers may take a request: the one filter of first attempts, retries
 * and reroutes, with a keeper's grant or without.
 *
 * Routes and customers may have homes, the regions where their requests may
 * run; where both have some, both bind. A server whose region is unknown is in
 * none.
 */
#include <string.h>
#include "edge/priv.h"

static bool has_home(char **homes, const char *region)
{
	return !homes ||
	       (region && g_strv_contains((const char *const *)homes, region));
}

/* Whether a request may run in the server's region. */
static bool at_home(const edge_t *e, const request_t *r, const backend_t *b)
{
	char **of_customer = r->customer ? r->customer->homes : NULL;
	const char *region;

	if (!r->route->homes && !of_customer)
		return true;
	region = e->conf.regions
			 ? g_hash_table_lookup(e->conf.regions, b->data_center)
			 : NULL;
	return has_home(r->route->homes, region) &&
	       has_home(of_customer, region);
}

/* Whether the server may take the request now. */
bool allow_server(const edge_t *e, const request_t *r, const backend_t *b,
		  ms_t now)
{
	return health_usable(b, now) && at_home(e, r, b) &&
	       shift_allows(r, b, now);
}

/*
 * Returns why no server that is listed may ever take the request as things are,
 * or NULL. Takes time in proportion to the servers for requests with homes, and
 * while a data centre is evacuated.
 */
const char *allow_none(const edge_t *e, const pool_t *p, const request_t *r)
{
	if (list_empty(&p->servers))
		return NULL;
	if (evacuate_holds_all(e, p))
		return "evacuated";
	if (!r->route->homes && !(r->customer && r->customer->homes))
		return NULL;
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		if (!b->evacuated && at_home(e, r, b))
			return NULL;
	}
	return "no_server_at_home";
}
