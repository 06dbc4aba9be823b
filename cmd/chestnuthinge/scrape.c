/* Parses the request counters of an entry's metrics page. */
#include <string.h>
#include "fns.h"

/* Failures caused by the caller; they do not count for the service level. */
static const code_t caller_codes[] = {
	CODE_BAD_REQUEST, CODE_NO_SERVICE, CODE_TOO_LARGE,   CODE_BAD_KEY,
	CODE_OVER_LIMIT,  CODE_DUPLICATE,  CODE_CALLER_GONE, CODE_CANCELLED,
};

static void tally_free(gpointer p)
{
	tally_t *t = p;

	g_free(t->service);
	g_free(t);
}

/* Makes an empty table of tally_t. */
GPtrArray *tallies_new(void)
{
	return g_ptr_array_new_with_free_func(tally_free);
}

/* Returns the tally of a service and tier, or NULL. */
tally_t *tally_find(const GPtrArray *all, const char *service, int tier)
{
	for (guint i = 0; i < all->len; i++) {
		tally_t *t = all->pdata[i];

		if (t->tier == tier && strcmp(t->service, service) == 0)
			return t;
	}
	return NULL;
}

/* Returns the tally of a service and tier, added with zero counts if new. */
tally_t *tally_get(GPtrArray *all, const char *service, int tier)
{
	tally_t *t = tally_find(all, service, tier);

	if (t)
		return t;
	t = g_new0(tally_t, 1);
	t->service = g_strdup(service);
	t->tier = tier;
	g_ptr_array_add(all, t);
	return t;
}

/* Copies a label's value from a line name{a="x",b="y"} N; NULL if none. */
static char *label_value(const char *line, const char *name)
{
	char *start = g_strdup_printf("%s=\"", name);
	const char *p = strstr(line, start);
	char *value = NULL;

	if (p) {
		p += strlen(start);
		value = g_strndup(p, strcspn(p, "\""));
	}
	g_free(start);
	return value;
}

static bool is_counted(const char *code)
{
	for (size_t i = 0; i < G_N_ELEMENTS(caller_codes); i++) {
		if (g_strcmp0(code, code_name(caller_codes[i])) == 0)
			return false;
	}
	return true;
}

static void add_line(GPtrArray *all, const char *line)
{
	bool good = g_str_has_prefix(line, "chestnuthinge_good_total{");
	const char *value = strrchr(line, ' ');
	char *service = label_value(line, "service");
	char *tier = label_value(line, "tier");
	char *code = label_value(line, "code");
	guint64 n = 0;

	if (value && service && tier && (good || is_counted(code)) &&
	    g_ascii_string_to_unsigned(value + 1, 10, 0, G_MAXUINT64, &n,
				       NULL)) {
		tally_t *t = tally_get(all, service,
				       (int)g_ascii_strtoll(tier, NULL, 10));

		if (good)
			t->good += n;
		else
			t->total += n;
	}
	g_free(service);
	g_free(tier);
	g_free(code);
}

/* Parses a metrics page into a table of tally_t. */
GPtrArray *scrape_parse(str_t text)
{
	char *copy = str_dup(text);
	char **lines = g_strsplit(copy, "\n", -1);
	GPtrArray *all = tallies_new();

	for (size_t i = 0; lines[i]; i++) {
		if (g_str_has_prefix(lines[i],
				     "chestnuthinge_requests_total{") ||
		    g_str_has_prefix(lines[i], "chestnuthinge_good_total{"))
			add_line(all, lines[i]);
	}
	g_strfreev(lines);
	g_free(copy);
	return all;
}
