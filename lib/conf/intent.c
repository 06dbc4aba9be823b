/* Intents: services, routes, customers and versions from INI text. */
#include <string.h>
#include "conf/priv.h"

enum {
	TARGET_MAX = 600000, /* milliseconds, of targets and deadlines */
	OUTPUT_TOKENS_MAX = 1000000, /* tokens */
	RATE_MAX = 1000000000,	     /* a second */
	WEIGHT_MAX = 1000,
	CLAIM_WINDOW_MAX = 7 * 86400, /* seconds */
	RETENTION_MAX = 366 * 86400,  /* seconds */
};

static const char *const kind_names[] = { "model", "plain", NULL };

#define INTENT(m)   offsetof(intent_t, m)
#define SERVICE(m)  offsetof(service_t, m)
#define ROUTE(m)    offsetof(route_t, m)
#define CUSTOMER(m) offsetof(customer_t, m)
#define VERSION(m)  offsetof(version_t, m)

static const field_t fleet_fields[] = {
	{ "claim_window_s", FIELD_COUNT, INTENT(claim_window_s), false, 1,
	  CLAIM_WINDOW_MAX, NULL },
	{ "log_retention_s", FIELD_COUNT, INTENT(log_retention_s), false, 2,
	  RETENTION_MAX, NULL },
};

static const field_t service_fields[] = {
	{ "kind", FIELD_CHOICE, SERVICE(kind), true, 0, 0, kind_names },
	{ "prefix", FIELD_PATH, SERVICE(prefix), false, 0, 0, NULL },
	{ "first_token_ms", FIELD_SPAN, SERVICE(first_token), false, 1,
	  TARGET_MAX, NULL },
	{ "token_gap_ms", FIELD_SPAN, SERVICE(token_gap), false, 1, TARGET_MAX,
	  NULL },
	{ "deadline_ms", FIELD_SPAN, SERVICE(deadline), false, 1, TARGET_MAX,
	  NULL },
	{ "output_tokens", FIELD_COUNT, SERVICE(output_tokens), false, 1,
	  OUTPUT_TOKENS_MAX, NULL },
};

static const field_t route_fields[] = {
	{ "path", FIELD_PATH, ROUTE(path), false, 0, 0, NULL },
	{ "method", FIELD_METHOD, ROUTE(method), false, 0, 0, NULL },
	{ "idempotent", FIELD_FLAG, ROUTE(idempotent), false, 0, 0, NULL },
	{ "key_needed", FIELD_FLAG, ROUTE(key_needed), false, 0, 0, NULL },
};

static const field_t customer_fields[] = {
	{ "key_sha256", FIELD_HEX32, CUSTOMER(key_sha256), true, 0, 0, NULL },
	{ "tier", FIELD_INT, CUSTOMER(tier), false, 0, TIER_LOWEST, NULL },
	{ "requests_per_s", FIELD_COUNT, CUSTOMER(requests_per_s), false, 0,
	  RATE_MAX, NULL },
	{ "tokens_per_s", FIELD_COUNT, CUSTOMER(tokens_per_s), false, 0,
	  RATE_MAX, NULL },
	{ "weight", FIELD_COUNT, CUSTOMER(weight), false, 1, WEIGHT_MAX, NULL },
};

static const field_t version_fields[] = {
	{ "replaces", FIELD_NAME, VERSION(replaces), false, 0, 0, NULL },
	{ "by", FIELD_TIME, VERSION(by), false, 0, 0, NULL },
	{ "first_percent", FIELD_COUNT, VERSION(first_percent), false, 1, 100,
	  NULL },
};

static void *fleet_begin(scan_t *s, const char *arg)
{
	(void)arg;
	return s->ctx;
}

static bool arg_valid(scan_t *s, const char *arg)
{
	return name_valid(arg) ||
	       scan_fail(s, CODE_BAD_TYPE, NULL,
			 "%s: expected 1 to 64 letters, digits or . _ : - as "
			 "the name",
			 s->title);
}

static void *service_begin(scan_t *s, const char *arg)
{
	intent_t *in = s->ctx;
	service_t *row;

	if (!arg_valid(s, arg))
		return NULL;
	row = g_new0(service_t, 1);
	row->name = g_strdup(arg);
	row->first_token = 2000;
	row->token_gap = 70;
	row->deadline = 30000;
	row->output_tokens = 256;
	g_ptr_array_add(in->services, row);
	return row;
}

static void *customer_begin(scan_t *s, const char *arg)
{
	intent_t *in = s->ctx;
	customer_t *row;

	if (!arg_valid(s, arg))
		return NULL;
	row = g_new0(customer_t, 1);
	row->name = g_strdup(arg);
	row->tier = 1;
	row->weight = 1;
	g_ptr_array_add(in->customers, row);
	return row;
}

/* Splits "service/name"; both parts must be names. */
static bool arg_split(scan_t *s, const char *arg, char **service, char **name)
{
	char **parts = g_strsplit(arg, "/", 2);
	bool ok = parts[0] && parts[1] && name_valid(parts[0]) &&
		  name_valid(parts[1]);

	if (ok) {
		*service = g_strdup(parts[0]);
		*name = g_strdup(parts[1]);
	}
	g_strfreev(parts);
	return ok || scan_fail(s, CODE_BAD_TYPE, NULL,
			       "%s: expected SERVICE/NAME", s->title);
}

static void *route_begin(scan_t *s, const char *arg)
{
	intent_t *in = s->ctx;
	char *service = NULL;
	char *name = NULL;
	route_t *row;

	if (!arg_split(s, arg, &service, &name))
		return NULL;
	row = g_new0(route_t, 1);
	row->service = service;
	row->name = name;
	g_ptr_array_add(in->routes, row);
	return row;
}

static void *version_begin(scan_t *s, const char *arg)
{
	intent_t *in = s->ctx;
	char *service = NULL;
	char *name = NULL;
	version_t *row;

	if (!arg_split(s, arg, &service, &name))
		return NULL;
	row = g_new0(version_t, 1);
	row->service = service;
	row->name = name;
	row->first_percent = 2;
	g_ptr_array_add(in->versions, row);
	return row;
}

#define ROW(name, arg, fields, begin)                                          \
	{                                                                      \
		name, arg, fields, G_N_ELEMENTS(fields), begin, false          \
	}

static const section_t sections[] = {
	ROW("fleet", false, fleet_fields, fleet_begin),
	ROW("service", true, service_fields, service_begin),
	ROW("route", true, route_fields, route_begin),
	ROW("customer", true, customer_fields, customer_begin),
	ROW("version", true, version_fields, version_begin),
};

static void service_free(gpointer p)
{
	service_t *s = p;

	g_free(s->name);
	g_free(s->prefix);
	g_free(s);
}

static void route_free(gpointer p)
{
	route_t *r = p;

	g_free(r->service);
	g_free(r->name);
	g_free(r->path);
	g_free(r->method);
	g_free(r);
}

static void customer_free(gpointer p)
{
	customer_t *c = p;

	g_free(c->name);
	g_free(c);
}

static void version_free(gpointer p)
{
	version_t *v = p;

	g_free(v->service);
	g_free(v->name);
	g_free(v->replaces);
	g_free(v);
}

static guint digest_hash(gconstpointer p)
{
	return (guint)hash64(p, sizeof(((customer_t *)0)->key_sha256), 0);
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(((customer_t *)0)->key_sha256)) == 0;
}

static intent_t *intent_new(void)
{
	intent_t *in = g_new0(intent_t, 1);

	in->services = g_ptr_array_new_with_free_func(service_free);
	in->routes = g_ptr_array_new_with_free_func(route_free);
	in->customers = g_ptr_array_new_with_free_func(customer_free);
	in->versions = g_ptr_array_new_with_free_func(version_free);
	in->claim_window_s = 3600;
	in->log_retention_s = 86400;
	in->by_key = g_hash_table_new(digest_hash, digest_equal);
	return in;
}

/*
 * Reads an intent from text; name is used in messages. Returns NULL with an
 * error whose code is one of the 1xx group.
 */
intent_t *intent_parse(const char *text, const char *name, GError **err)
{
	intent_t *in = intent_new();
	scan_t s;
	bool ok;

	scan_init(&s, name, text, sections, G_N_ELEMENTS(sections), in);
	ok = scan_run(&s) && intent_check(&s, in);
	if (!ok)
		g_propagate_error(err, s.err);
	scan_clear(&s);
	if (ok)
		return in;
	intent_free(in);
	return NULL;
}

/* Reads an intent file. Errors as intent_parse, and CODE_FILE. */
intent_t *intent_load(const char *path, GError **err)
{
	char *text = file_read(path, err);
	intent_t *in;

	if (!text)
		return NULL;
	in = intent_parse(text, path, err);
	g_free(text);
	return in;
}

/* Frees an intent; NULL is allowed. */
void intent_free(intent_t *in)
{
	if (!in)
		return;
	g_hash_table_destroy(in->by_key);
	g_ptr_array_free(in->services, TRUE);
	g_ptr_array_free(in->routes, TRUE);
	g_ptr_array_free(in->customers, TRUE);
	g_ptr_array_free(in->versions, TRUE);
	g_free(in);
}
