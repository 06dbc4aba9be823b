/* Command line options and error messages. */
#include <stdarg.h>
#include "fns.h"

static void message(const char *fmt, va_list ap) G_GNUC_PRINTF(1, 0);

static void message(const char *fmt, va_list ap)
{
	fprintf(stderr, "chestnuthinge: ");
	vfprintf(stderr, fmt, ap);
	fputc('\n', stderr);
}

/* Prints what is wrong with the command line; returns EXIT_USAGE. */
int usage_error(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	message(fmt, ap);
	va_end(ap);
	fprintf(stderr, "Try chestnuthinge --help.\n");
	return EXIT_USAGE;
}

/* Prints why a command failed; returns EXIT_FAILED. */
int failure(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	message(fmt, ap);
	va_end(ap);
	return EXIT_FAILED;
}

/*
 * Parses the options of a command: the shared ones and those in more, which may
 * be NULL. Returns false after a message when an option is wrong, or when the
 * command takes another number of arguments.
 */
bool options_parse(const command_t *c, const GOptionEntry *more, options_t *o,
		   int *argc, char ***argv)
{
	const GOptionEntry shared[] = {
		{ "platform", 0, 0, G_OPTION_ARG_STRING, &o->platform,
		  "Address of the platform", "IP:PORT" },
		{ "namespace", 0, 0, G_OPTION_ARG_STRING, &o->ns,
		  "Namespace of the streams", "NAME" },
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &o->conf_path,
		  "File with the platform's address and namespace", "FILE" },
		{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->entries,
		  "An entry's HTTP address; may be repeated", "IP:PORT" },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(c->args);
	GError *err = NULL;
	int want_argc = c->args[0] ? 2 : 1;
	char *summary =
		g_strdup_printf("chestnuthinge %s: %s", c->name, c->summary);
	bool ok;

	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, shared, NULL);
	if (more)
		g_option_context_add_main_entries(ctx, more, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &err);
	if (!ok)
		usage_error("%s: %s", c->name, err->message);
	else if (*argc != want_argc)
		usage_error("%s: expected %s", c->name,
			    want_argc == 2 ? c->args : "no argument");
	g_clear_error(&err);
	g_option_context_free(ctx);
	g_free(summary);
	return ok && *argc == want_argc;
}

/* Frees the shared options. */
void options_clear(options_t *o)
{
	g_free(o->platform);
	g_free(o->ns);
	g_free(o->conf_path);
	g_strfreev(o->entries);
}
