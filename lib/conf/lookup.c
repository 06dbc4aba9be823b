/* Finding what a request refers to in an intent. */
#include <string.h>
#include "conf/priv.h"
#include "wire/fns.h"

/* Returns the service of that name, NULL if there is none. */
const service_t *intent_service(const intent_t *in, const char *name)
{
	for (guint i = 0; i < in->services->len; i++) {
		const service_t *s = in->services->pdata[i];

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/* Returns the plain service whose prefix the path starts with, or NULL. */
const service_t *intent_service_by_path(const intent_t *in, const char *path)
{
	for (guint i = 0; i < in->services->len; i++) {
		const service_t *s = in->services->pdata[i];

		if (s->prefix && g_str_has_prefix(path, s->prefix))
			return s;
	}
	return NULL;
}

/* Tells whether the route takes the call; a missing field takes any value. */
static bool route_takes(const route_t *r, const char *service,
			const char *method, const char *path)
{
	return strcmp(r->service, service) == 0 &&
	       (!r->method || strcmp(r->method, method) == 0) &&
	       (!r->path || g_str_has_prefix(path, r->path));
}

/* Tells whether a is the closer match of two routes that take a call. */
static bool route_closer(const route_t *a, const route_t *b)
{
	size_t x = a->path ? strlen(a->path) : 0;
	size_t y = b->path ? strlen(b->path) : 0;

	return x != y ? x > y : a->method && !b->method;
}

/*
 * Returns the route of a call: the one with the longest path that takes it,
 * and of two with the same path the one with a method. NULL if none takes it.
 */
const route_t *intent_route(const intent_t *in, const char *service,
			    const char *method, const char *path)
{
	const route_t *best = NULL;

	for (guint i = 0; i < in->routes->len; i++) {
		const route_t *r = in->routes->pdata[i];

		if (route_takes(r, service, method, path) &&
		    (!best || route_closer(r, best)))
			best = r;
	}
	return best;
}

/* Returns the customer whose key this is, or NULL. */
const customer_t *intent_customer_by_key(const intent_t *in, const char *key)
{
	uint8_t digest[32];
	gsize n = sizeof(digest);
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	const customer_t *c;

	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, digest, &n);
	g_checksum_free(sum);
	c = g_hash_table_lookup(in->by_key, digest);
	if (!c || !bytes_equal_const_time(c->key_sha256, digest, n))
		return NULL;
	return c;
}

/* Returns the customer of that name, or NULL. */
const customer_t *intent_customer(const intent_t *in, const char *name)
{
	for (guint i = 0; i < in->customers->len; i++) {
		const customer_t *c = in->customers->pdata[i];

		if (strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

/* Returns the version of that name of the service, or NULL. */
const version_t *intent_version(const intent_t *in, const char *service,
				const char *name)
{
	for (guint i = 0; i < in->versions->len; i++) {
		const version_t *v = in->versions->pdata[i];

		if (strcmp(v->service, service) == 0 &&
		    strcmp(v->name, name) == 0)
			return v;
	}
	return NULL;
}
