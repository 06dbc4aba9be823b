/*
 * top: shows the activity of a running edge, keeper or entry: the total and the
 * rate of each counter that changed between two scrapes of its metrics page,
 * and its status page.
 */
#include <string.h>
#include "fns.h"

enum {
	DEFAULT_INTERVAL_S = 2, /* between the two scrapes */
	MAX_INTERVAL_S = 3600,
};

/* Parses a metrics page; each line is NAME{LABELS} VALUE. */
static GHashTable *read_counters(const char *text)
{
	GHashTable *all =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char **lines = g_strsplit(text, "\n", -1);

	for (size_t i = 0; lines[i]; i++) {
		char *space = strrchr(lines[i], ' ');
		double *value;

		if (!space || lines[i][0] == '#')
			continue;
		*space = '\0';
		value = g_new(double, 1);
		*value = g_ascii_strtod(space + 1, NULL);
		g_hash_table_replace(all, g_strdup(lines[i]), value);
	}
	g_strfreev(lines);
	return all;
}

static GHashTable *scrape_host(const char *host)
{
	code_t code;
	char *text = page_get(host, "/metrics", &code);
	GHashTable *all;

	if (!text) {
		failure("%s: %s", host, code_name(code));
		return NULL;
	}
	all = read_counters(text);
	g_free(text);
	return all;
}

/* Histogram buckets are left out: a single one says little. */
static bool is_shown(const char *name)
{
	return !strstr(name, "_bucket{");
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void print_changes(GHashTable *before, GHashTable *after, int seconds)
{
	GList *names = g_list_sort(g_hash_table_get_keys(after), compare_names);

	for (GList *l = names; l; l = l->next) {
		const double *now = g_hash_table_lookup(after, l->data);
		const double *previous = g_hash_table_lookup(before, l->data);
		double delta = *now - (previous ? *previous : 0);

		if (delta != 0 && is_shown(l->data))
			printf("%s total=%.0f per_s=%.1f\n",
			       (const char *)l->data, *now, delta / seconds);
	}
	g_list_free(names);
}

static void print_status(const char *host)
{
	code_t code;
	char *text = page_get(host, "/status", &code);
	char **lines = g_strsplit(text ? text : "", "\n", -1);

	for (size_t i = 0; lines[i]; i++) {
		if (lines[i][0])
			printf("%s\n", lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
}

static int print_activity(const char *host, int seconds)
{
	GHashTable *before = scrape_host(host);
	GHashTable *after;

	if (!before)
		return EXIT_UNREACHABLE;
	g_usleep((gulong)seconds * G_USEC_PER_SEC);
	after = scrape_host(host);
	if (after) {
		print_changes(before, after, seconds);
		print_status(host);
		g_hash_table_destroy(after);
	}
	g_hash_table_destroy(before);
	return after ? EXIT_DONE : EXIT_UNREACHABLE;
}

/* Shows the activity of the host at argv[1] during the seconds of --for. */
int run_top(int argc, char **argv)
{
	int seconds = DEFAULT_INTERVAL_S;
	const GOptionEntry more[] = {
		{ "for", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Seconds between the two scrapes", "SECONDS" },
		{ 0 },
	};
	options_t o = { 0 };
	int code = EXIT_USAGE;

	if (options_parse(command_find("top"), more, &o, &argc, &argv)) {
		if (seconds < 1 || seconds > MAX_INTERVAL_S)
			usage_error("--for: expected 1 to %d seconds",
				    MAX_INTERVAL_S);
		else
			code = print_activity(argv[1], seconds);
	}
	options_clear(&o);
	return code;
}
