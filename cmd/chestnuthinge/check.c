/* check: validates a settings file or an intent by the file alone. */
#include <string.h>
#include "fns.h"

/* Returns whether the text has a [process] section; only settings have one. */
static bool is_settings(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool found = false;

	for (size_t i = 0; lines[i] && !found; i++)
		found = g_str_has_prefix(g_strstrip(lines[i]), "[process]");
	g_strfreev(lines);
	return found;
}

/* Returns whether settings are of an edge host or a keeper. */
static bool is_edge(const char *text)
{
	return strstr(text, "\npeers = ") && !strstr(text, "\nrole = ");
}

static bool check_settings(const char *path, const char *text, GError **err)
{
	edge_settings_t *e;
	settings_t *s;

	if (is_edge(text)) {
		e = edge_settings_load(path, err);
		edge_settings_free(e);
		return e != NULL;
	}
	s = settings_load(path, err);
	settings_free(s);
	return s != NULL;
}

static bool check_intent(const char *path, GError **err)
{
	intent_t *in = intent_load(path, err);

	intent_free(in);
	return in != NULL;
}

/* Checks the settings file or the intent argv[1]. */
int run_check(int argc, char **argv)
{
	options_t o = { 0 };
	GError *err = NULL;
	char *text = NULL;
	bool settings;
	bool ok;

	if (!options_parse(command_find("check"), NULL, &o, &argc, &argv)) {
		options_clear(&o);
		return EXIT_USAGE;
	}
	options_clear(&o);
	ok = g_file_get_contents(argv[1], &text, NULL, &err);
	settings = ok && is_settings(text);
	if (ok)
		ok = settings ? check_settings(argv[1], text, &err)
			      : check_intent(argv[1], &err);
	g_free(text);
	if (!ok) {
		failure("%s", err->message);
		g_error_free(err);
		return EXIT_FAILED;
	}
	printf("%s: good %s\n", argv[1], settings ? "settings" : "intent");
	return EXIT_DONE;
}
