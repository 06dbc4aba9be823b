/* The settings file of an edge host. */
#include <string.h>
#include "conf/priv.h"

enum {
	SPAN_MAX = 600000, /* milliseconds */
	SECONDS_MAX = 3600,
	SLACK_MAX = 1000000,
	QUOTA_SLACK_MAX = 1000000000,
	RATIO_MAX = 1,
	CONNECTIONS_MAX = 100000,
	MEMORY_MIN = 32, /* megabytes */
	MEMORY_MAX = 1 << 20,
	SUBSET_MIN = 4, /* servers */
	SUBSET_MAX = 100000,
};

static const char *const level_names[] = { "error", "warn", "info", "debug",
					   NULL };

#define AT(m) offsetof(edge_settings_t, m)

static const field_t process_fields[] = {
	{ "name", FIELD_NAME, AT(name), true, 0, 0, NULL },
	{ "data_center", FIELD_NAME, AT(data_center), true, 0, 0, NULL },
	{ "regions", FIELD_LIST, AT(regions_text), false, 0, 0, NULL },
	{ "log_level", FIELD_CHOICE, AT(log_level), false, 0, 0, level_names },
};

static const field_t listen_fields[] = {
	{ "callers", FIELD_ADDR, AT(callers), false, 0, 0, NULL },
	{ "ready", FIELD_ADDR, AT(ready), false, 0, 0, NULL },
	{ "metrics", FIELD_ADDR, AT(metrics), false, 0, 0, NULL },
	{ "peers", FIELD_ADDR, AT(peers), true, 0, 0, NULL },
};

static const field_t store_fields[] = {
	{ "address", FIELD_ADDR, AT(store), true, 0, 0, NULL },
};

static const field_t fleet_fields[] = {
	{ "key", FIELD_TEXT, AT(key_text), true, 0, 0, NULL },
};

static const field_t limits_fields[] = {
	{ "connections", FIELD_SIZE, AT(connections_max), false, 1,
	  CONNECTIONS_MAX, NULL },
	{ "memory_mb", FIELD_SIZE, AT(memory_mb), false, MEMORY_MIN, MEMORY_MAX,
	  NULL },
	{ "subset", FIELD_SIZE, AT(subset), false, SUBSET_MIN, SUBSET_MAX,
	  NULL },
};

/* The platform may give any of these as a fraction. */
static const field_t bounds_fields[] = {
	{ "drain_ms", FIELD_REAL_MS, AT(drain), false, 1, SPAN_MAX, NULL },
	{ "settle_ms", FIELD_REAL_MS, AT(settle), false, 1, SPAN_MAX, NULL },
	{ "config_ms", FIELD_REAL_MS, AT(config), false, 1, SPAN_MAX, NULL },
	{ "grace_s", FIELD_REAL_S, AT(grace), false, 1, SECONDS_MAX, NULL },
	{ "retry_ratio", FIELD_REAL, AT(retry_ratio), false, 0, RATIO_MAX,
	  NULL },
	{ "retry_slack", FIELD_REAL, AT(retry_slack), false, 0, SLACK_MAX,
	  NULL },
	{ "retry_window_s", FIELD_REAL_S, AT(retry_window), false, 1,
	  SECONDS_MAX, NULL },
	{ "quota_tolerance", FIELD_REAL, AT(quota_tolerance), false, 0,
	  RATIO_MAX, NULL },
	{ "quota_slack", FIELD_REAL, AT(quota_slack), false, 0, QUOTA_SLACK_MAX,
	  NULL },
	{ "quota_window_s", FIELD_REAL_S, AT(quota_window), false, 1,
	  SECONDS_MAX, NULL },
	{ "canary_share", FIELD_REAL, AT(canary_share), false, 0, RATIO_MAX,
	  NULL },
	{ "canary_slack", FIELD_REAL, AT(canary_slack), false, 0, SLACK_MAX,
	  NULL },
};

static const section_t sections[] = {
	SECTION("process", process_fields, true),
	SECTION("listen", listen_fields, true),
	SECTION("fleet", fleet_fields, true),
	SECTION("store", store_fields, false),
	SECTION("limits", limits_fields, false),
	SECTION("bounds", bounds_fields, false),
};

static void set_defaults(edge_settings_t *s)
{
	s->log_level = LOG_INFO;
	s->drain = 2000;
	s->settle = 3000;
	s->config = 2000;
	s->grace = (ms_t)8 * MS_PER_S;
	s->retry_ratio = 0.1;
	s->retry_slack = 0;
	s->retry_window = (ms_t)10 * MS_PER_S;
	s->quota_window = (ms_t)8 * MS_PER_S;
	s->canary_share = 0.1;
	s->canary_slack = 50;
	s->connections_max = 3000;
	s->subset = 12;
	s->memory_mb = 160;
}

/* Decodes the fleet's key. */
static bool key_set(scan_t *s, edge_settings_t *out)
{
	out->key_len = strlen(out->key_text) / 2;
	out->key = g_malloc0(out->key_len + 1);
	if (out->key_len >= KEY_BYTES_MIN &&
	    hex_decode(out->key_text, out->key, out->key_len))
		return true;
	s->err = g_error_new(code_quark(), CODE_BAD_TYPE,
			     "%s: [fleet] key: expected at least %d bytes as "
			     "hexadecimal digits",
			     s->file, KEY_BYTES_MIN);
	return false;
}

static bool bad_regions(scan_t *s, const char *part)
{
	s->err = g_error_new(code_quark(), CODE_BAD_TYPE,
			     "%s: [process] regions: expected "
			     "DATA_CENTER:REGION,..., got \"%s\"",
			     s->file, part);
	return false;
}

/* Decodes the regions of the data centres. */
static bool regions_set(scan_t *s, edge_settings_t *out)
{
	char **parts =
		g_strsplit(out->regions_text ? out->regions_text : "", ",", -1);
	bool ok = true;

	out->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **p = parts; *p && ok; p++) {
		char **pair = g_strsplit(*p, ":", 2);

		ok = g_strv_length(pair) == 2 && name_valid(pair[0]) &&
		     name_valid(pair[1]);
		if (ok)
			g_hash_table_replace(out->regions, g_strdup(pair[0]),
					     g_strdup(pair[1]));
		else
			bad_regions(s, *p);
		g_strfreev(pair);
	}
	g_strfreev(parts);
	return ok;
}

static bool is_any(const char *ip)
{
	return strcmp(ip, "0.0.0.0") == 0 || strcmp(ip, "::") == 0;
}

/* Whether one process cannot listen at both; port 0 is not listened at. */
static bool exclude(const addr_t *a, const addr_t *b)
{
	return a->port != 0 && a->port == b->port &&
	       (strcmp(a->ip, b->ip) == 0 || is_any(a->ip) || is_any(b->ip));
}

/* Refuses two listeners at one address. */
static bool listeners_check(scan_t *s, const edge_settings_t *set)
{
	for (size_t i = 0; i < G_N_ELEMENTS(listen_fields); i++) {
		const addr_t *a = G_STRUCT_MEMBER_P(set, listen_fields[i].at);

		for (size_t j = 0; j < i; j++) {
			if (!exclude(a, G_STRUCT_MEMBER_P(set,
							  listen_fields[j].at)))
				continue;
			s->err = g_error_new(
				code_quark(), CODE_BAD_REFERENCE,
				"%s: [listen] %s: has the address of %s",
				s->file, listen_fields[i].key,
				listen_fields[j].key);
			return false;
		}
	}
	return true;
}

/*
 * Reads settings from text; name is the file's name, for messages. Returns
 * NULL with an error whose code is one of the 1xx group.
 */
edge_settings_t *edge_settings_parse(const char *text, const char *name,
				     GError **err)
{
	edge_settings_t *out = g_new0(edge_settings_t, 1);
	scan_t s;
	bool ok;

	set_defaults(out);
	scan_init(&s, name, text, sections, G_N_ELEMENTS(sections), out);
	ok = scan_run(&s) && key_set(&s, out) && regions_set(&s, out) &&
	     listeners_check(&s, out);
	if (!ok)
		g_propagate_error(err, s.err);
	scan_clear(&s);
	if (ok)
		return out;
	edge_settings_free(out);
	return NULL;
}

/* Reads a settings file. Errors as edge_settings_parse, and CODE_FILE. */
edge_settings_t *edge_settings_load(const char *path, GError **err)
{
	char *text = file_read(path, err);
	edge_settings_t *s;

	if (!text)
		return NULL;
	s = edge_settings_parse(text, path, err);
	g_free(text);
	return s;
}

/* Frees settings; NULL is allowed. */
void edge_settings_free(edge_settings_t *s)
{
	if (!s)
		return;
	g_free(s->name);
	g_free(s->data_center);
	g_free(s->key_text);
	g_free(s->key);
	g_free(s->regions_text);
	if (s->regions)
		g_hash_table_destroy(s->regions);
	g_free(s);
}
