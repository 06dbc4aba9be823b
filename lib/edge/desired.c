/* The desired configuration: routes by host and path, customers by API key. */
#include <string.h>
#include "edge/fns.h"

static void route_free(gpointer p)
{
	edge_route_t *r = p;

	for (size_t i = 0; i < r->nsplits; i++)
		g_free(r->splits[i].service);
	g_free(r->splits);
	g_strfreev(r->homes);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r);
}

static void customer_free(gpointer p)
{
	edge_customer_t *c = p;

	g_strfreev(c->homes);
	g_free(c->name);
	g_free(c);
}

static void service_free(gpointer p)
{
	edge_service_t *s = p;

	g_free(s->name);
	g_free(s);
}

static void host_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

/* Returns an empty configuration with one reference. */
desired_t *desired_new(uint64_t version)
{
	desired_t *d = g_new0(desired_t, 1);

	d->refs = 1;
	d->version = version;
	d->routes = g_ptr_array_new_with_free_func(route_free);
	d->by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	d->customers = g_ptr_array_new_with_free_func(customer_free);
	d->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->services = g_ptr_array_new_with_free_func(service_free);
	return d;
}

/* Adds a reference. */
desired_t *desired_ref(desired_t *d)
{
	d->refs++;
	return d;
}

/* Drops a reference, and the configuration with the last; NULL is allowed. */
void desired_unref(desired_t *d)
{
	if (!d || --d->refs > 0)
		return;
	g_hash_table_destroy(d->by_host);
	g_hash_table_destroy(d->by_key);
	g_ptr_array_free(d->routes, TRUE);
	g_ptr_array_free(d->customers, TRUE);
	g_ptr_array_free(d->services, TRUE);
	g_free(d);
}

static gint longer_first(gconstpointer a, gconstpointer b)
{
	const edge_route_t *x = *(edge_route_t *const *)a;
	const edge_route_t *y = *(edge_route_t *const *)b;
	size_t nx = strlen(x->prefix);
	size_t ny = strlen(y->prefix);

	return nx < ny ? 1 : nx > ny ? -1 : 0;
}

/* Indexes the routes for look-ups; to be called once, after all are added. */
void desired_index(desired_t *d)
{
	GHashTableIter it;
	gpointer list;

	for (guint i = 0; i < d->routes->len; i++) {
		edge_route_t *r = d->routes->pdata[i];
		GPtrArray *of_host = g_hash_table_lookup(d->by_host, r->host);

		if (!of_host) {
			of_host = g_ptr_array_new();
			g_hash_table_insert(d->by_host, r->host, of_host);
		}
		g_ptr_array_add(of_host, r);
	}
	g_hash_table_iter_init(&it, d->by_host);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_ptr_array_sort(list, longer_first);
}

/* Writes the host of a request without its port, in lower case. */
static bool host_of(str_t host, char *out, size_t size)
{
	const char *colon = memchr(host.p, ':', host.n);
	size_t n = colon ? (size_t)(colon - host.p) : host.n;

	if (n == 0 || n >= size)
		return false;
	for (size_t i = 0; i < n; i++)
		out[i] = g_ascii_tolower(host.p[i]);
	out[n] = '\0';
	return true;
}

/*
 * Returns the route of the host with the longest prefix of the path, or NULL.
 */
const edge_route_t *desired_route(const desired_t *d, str_t host, str_t path)
{
	char name[256];
	const GPtrArray *of_host;
	const char *query = memchr(path.p, '?', path.n);
	size_t n = query ? (size_t)(query - path.p) : path.n;

	if (!host_of(host, name, sizeof(name)))
		return NULL;
	of_host = g_hash_table_lookup(d->by_host, name);
	for (guint i = 0; of_host && i < of_host->len; i++) {
		const edge_route_t *r = of_host->pdata[i];
		size_t len = strlen(r->prefix);

		if (len <= n && memcmp(r->prefix, path.p, len) == 0)
			return r;
	}
	return NULL;
}

/* Returns the customer that holds the key, or NULL. */
const edge_customer_t *desired_customer(const desired_t *d, str_t key)
{
	char text[256];

	if (key.n == 0 || key.n >= sizeof(text))
		return NULL;
	memcpy(text, key.p, key.n);
	text[key.n] = '\0';
	return g_hash_table_lookup(d->by_key, text);
}

/* Returns the configuration of a service, or NULL. */
const edge_service_t *desired_service(const desired_t *d, const char *name)
{
	for (guint i = 0; i < d->services->len; i++) {
		const edge_service_t *s = d->services->pdata[i];

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}
