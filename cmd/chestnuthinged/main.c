/* Command line of the daemon. */
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>
#include "edged.h"
#include "fns.h"
#include "keeperd.h"

enum {
	EXIT_BAD_START = 1,
	EXIT_USAGE = 2,
};

static const char version[] = "0.1";

typedef struct options {
	char *conf;
	gboolean edge;
	gboolean keeper;
	gboolean check;
	gboolean version;
} options_t;

static bool parse_options(options_t *o, int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "conf", 'c', 0, G_OPTION_ARG_FILENAME, &o->conf,
		  "Settings file", "FILE" },
		{ "edge", 0, 0, G_OPTION_ARG_NONE, &o->edge,
		  "Run as an edge host on the users' platform", NULL },
		{ "keeper", 0, 0, G_OPTION_ARG_NONE, &o->keeper,
		  "Run as a keeper of a backend server's slots there", NULL },
		{ "check", 0, 0, G_OPTION_ARG_NONE, &o->check,
		  "Check settings and intent, then exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &o->version,
		  "Print the version, then exit", NULL },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;
	bool ok;

	g_option_context_set_summary(ctx, "Runs an entry, a sidecar or an edge "
					  "of the request scheduler.");
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	if (!ok)
		fprintf(stderr, "chestnuthinged: %s\n", err->message);
	else if (argc > 1 || (!o->conf && !o->version)) {
		fprintf(stderr, "chestnuthinged: -c FILE is needed\n");
		ok = false;
	}
	g_clear_error(&err);
	g_option_context_free(ctx);
	return ok;
}

static int fail(GError *err)
{
	fprintf(stderr, "chestnuthinged: %s\n", err->message);
	g_error_free(err);
	return EXIT_BAD_START;
}

static int check(settings_t *set)
{
	GError *err = NULL;
	intent_t *in = NULL;

	if (set->intent_file)
		in = intent_load(set->intent_file, &err);
	settings_free(set);
	if (err)
		return fail(err);
	if (in)
		intent_free(in);
	return 0;
}

/* Runs an edge host or a keeper; their settings file has its own format. */
static int run_edge(const options_t *o)
{
	GError *err = NULL;
	edge_settings_t *set;

	/* Its default ends the process; settings that are read now are new. */
	signal(SIGHUP, SIG_IGN);
	set = edge_settings_load(o->conf, &err);
	if (!set)
		return fail(err);
	if (o->check) {
		edge_settings_free(set);
		return 0;
	}
	log_open(STDOUT_FILENO, set->log_level, true);
	if (o->keeper ? keeperd_run(set, o->conf, &err)
		      : edged_run(set, o->conf, &err))
		return 0;
	return fail(err);
}

static int run(const options_t *o)
{
	GError *err = NULL;
	settings_t *set = settings_load(o->conf, &err);
	daemon_t *d;

	if (!set)
		return fail(err);
	if (o->check)
		return check(set);
	log_open(STDERR_FILENO, set->log_level, false);
	d = daemon_new(set, &err);
	if (!d)
		return fail(err);
	daemon_run(d);
	daemon_free(d);
	return 0;
}

/* Runs the daemon. */
int main(int argc, char **argv)
{
	options_t o = { 0 };
	int code = EXIT_USAGE;

	if (parse_options(&o, argc, argv)) {
		if (o.version) {
			printf("chestnuthinged %s\n", version);
			code = 0;
		} else {
			code = o.edge || o.keeper ? run_edge(&o) : run(&o);
		}
	}
	g_free(o.conf);
	return code;
}
