/* Checks of an intent as a whole: references, overlaps, moves. */
#include <string.h>
#include "conf/priv.h"

/* Paths that entries serve themselves. */
static const char *const own_paths[] = {
	"/v1/chat/completions",
	"/v1/revision",
	"/healthz",
	"/readyz",
	"/metrics",
	"/status",
};

static bool prefix_free(scan_t *s, const intent_t *in, const service_t *row)
{
	for (size_t i = 0; i < G_N_ELEMENTS(own_paths); i++) {
		if (g_str_has_prefix(row->prefix, own_paths[i]))
			return scan_fail_at(s, row, CODE_BAD_REFERENCE,
					    "[service %s] prefix: %s is "
					    "served by the entries",
					    row->name, own_paths[i]);
	}
	for (guint i = 0; i < in->services->len; i++) {
		const service_t *o = in->services->pdata[i];

		if (o == row || !o->prefix)
			continue;
		if (g_str_has_prefix(o->prefix, row->prefix))
			return scan_fail_at(s, row, CODE_BAD_REFERENCE,
					    "[service %s] prefix: overlaps "
					    "that of [service %s]",
					    row->name, o->name);
	}
	return true;
}

static bool service_check(scan_t *s, const intent_t *in, const service_t *row)
{
	if (row->kind == SERVICE_MODEL && row->prefix)
		return scan_fail_at(s, row, CODE_UNKNOWN_KEY,
				    "[service %s] prefix: only for kind = "
				    "plain",
				    row->name);
	if (row->kind == SERVICE_MODEL)
		return true;
	if (!row->prefix)
		return scan_fail_at(s, row, CODE_MISSING_KEY,
				    "[service %s] prefix: missing key, needed "
				    "by kind = plain",
				    row->name);
	return prefix_free(s, in, row);
}

/* Finds a route before row that takes exactly the same calls. */
static const route_t *route_twin(const intent_t *in, const route_t *row)
{
	for (guint i = 0; in->routes->pdata[i] != row; i++) {
		const route_t *o = in->routes->pdata[i];

		if (strcmp(o->service, row->service) == 0 &&
		    g_strcmp0(o->path, row->path) == 0 &&
		    g_strcmp0(o->method, row->method) == 0)
			return o;
	}
	return NULL;
}

static bool route_path_check(scan_t *s, const route_t *row,
			     const service_t *service)
{
	const char *p = service->prefix;

	if (service->kind == SERVICE_MODEL && row->path)
		return scan_fail_at(s, row, CODE_UNKNOWN_KEY,
				    "[route %s/%s] path: only for a plain "
				    "service",
				    row->service, row->name);
	if (p && row->path && !g_str_has_prefix(row->path, p))
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[route %s/%s] path: expected it to start "
				    "with the service's prefix %s",
				    row->service, row->name, p);
	return true;
}

/* A key must be held for as long as the request that claimed it may wait. */
static bool route_window_check(scan_t *s, const intent_t *in,
			       const route_t *row, const service_t *service)
{
	ms_t window = (ms_t)in->claim_window_s * 1000;

	if ((row->idempotent && !row->key_needed) ||
	    service->deadline <= window)
		return true;
	return scan_fail_at(s, row, CODE_OUT_OF_RANGE,
			    "[route %s/%s]: expected [fleet] claim_window_s "
			    "of at least the service's deadline_ms",
			    row->service, row->name);
}

static bool route_check(scan_t *s, const intent_t *in, const route_t *row)
{
	const service_t *service = intent_service(in, row->service);
	const route_t *twin;

	if (!service)
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[route %s/%s]: no such service",
				    row->service, row->name);
	if (!route_path_check(s, row, service) ||
	    !route_window_check(s, in, row, service))
		return false;
	twin = route_twin(in, row);
	if (twin)
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[route %s/%s]: takes the same calls as "
				    "[route %s/%s]",
				    row->service, row->name, twin->service,
				    twin->name);
	return true;
}

static bool customer_check(scan_t *s, const intent_t *in, customer_t *row)
{
	const customer_t *o = g_hash_table_lookup(in->by_key, row->key_sha256);

	if (o)
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[customer %s] key_sha256: same as that "
				    "of [customer %s]",
				    row->name, o->name);
	g_hash_table_insert(in->by_key, row->key_sha256, row);
	return true;
}

/* Finds an earlier version with which row can't stand in one intent. */
static const version_t *version_rival(const intent_t *in, const version_t *row)
{
	for (guint i = 0; in->versions->pdata[i] != row; i++) {
		const version_t *o = in->versions->pdata[i];

		if (strcmp(o->service, row->service) == 0 &&
		    !o->replaces == !row->replaces)
			return o;
	}
	return NULL;
}

static bool version_move_check(scan_t *s, const intent_t *in,
			       const version_t *row)
{
	if (!row->replaces && scan_given(s, row, "by"))
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[version %s/%s] by: only with replaces",
				    row->service, row->name);
	if (!row->replaces && scan_given(s, row, "first_percent"))
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[version %s/%s] first_percent: only with "
				    "replaces",
				    row->service, row->name);
	if (row->replaces && (strcmp(row->replaces, row->name) == 0 ||
			      !intent_version(in, row->service, row->replaces)))
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[version %s/%s] replaces: no other "
				    "version %s of the service",
				    row->service, row->name, row->replaces);
	return true;
}

static bool version_check(scan_t *s, const intent_t *in, const version_t *row)
{
	const version_t *rival = version_rival(in, row);

	if (!intent_service(in, row->service))
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[version %s/%s]: no such service",
				    row->service, row->name);
	if (!version_move_check(s, in, row))
		return false;
	if (rival)
		return scan_fail_at(s, row, CODE_BAD_REFERENCE,
				    "[version %s/%s]: expected one version "
				    "%s replaces in a service, %s is another",
				    row->service, row->name,
				    row->replaces ? "with" : "without",
				    rival->name);
	return true;
}

/*
 * A process that starts reads claims back from the log, so they must be there
 * for longer than they count.
 */
static bool window_check(scan_t *s, const intent_t *in)
{
	if (2 * in->claim_window_s <= in->log_retention_s)
		return true;
	return scan_fail_at(s, in, CODE_OUT_OF_RANGE,
			    "[fleet] claim_window_s: expected at most half of "
			    "log_retention_s");
}

/* Checks all references, and fills the index of customers by key. */
bool intent_check(scan_t *s, const intent_t *in)
{
	bool ok = window_check(s, in);

	for (guint i = 0; ok && i < in->services->len; i++)
		ok = service_check(s, in, in->services->pdata[i]);
	for (guint i = 0; ok && i < in->routes->len; i++)
		ok = route_check(s, in, in->routes->pdata[i]);
	for (guint i = 0; ok && i < in->customers->len; i++)
		ok = customer_check(s, in, in->customers->pdata[i]);
	for (guint i = 0; ok && i < in->versions->len; i++)
		ok = version_check(s, in, in->versions->pdata[i]);
	return ok;
}
