/* plan: what an intent would change, on the revision now accepted. */
#include "fns.h"

typedef struct planning {
	const char *path;
	char *text;
	gboolean force;
} planning_t;

static char *make(const tool_t *t, const planning_t *p, GError **err)
{
	if (p->force)
		return plan_make_forced(t->next, p->text, p->path, clock_unix(),
					err);
	return plan_make(ledger_log_revision(t->ledger), p->text, p->path,
			 clock_unix(), err);
}

static void on_caught_up(tool_t *t)
{
	const planning_t *p = t->ctx;
	GError *err = NULL;
	char *plan;

	if (!ledger_certain(t->ledger) && !p->force) {
		failure("the log has forgotten the accepted revision, and no "
			"process has carried it forward; plan --force "
			"replaces it");
		tool_end(t, EXIT_FAILED);
		return;
	}
	plan = make(t, p, &err);
	if (plan) {
		fputs(plan, stdout);
		g_free(plan);
		tool_end(t, EXIT_DONE);
		return;
	}
	failure("%s", err->message);
	g_error_free(err);
	tool_end(t, EXIT_FAILED);
}

/* Prints the plan for the intent that is named; nothing is stored. */
int run_plan(int argc, char **argv)
{
	planning_t p = { 0 };
	const GOptionEntry more[] = {
		{ "force", 0, 0, G_OPTION_ARG_NONE, &p.force,
		  "Replace whatever was accepted, for a log that forgot it",
		  NULL },
		{ 0 },
	};
	options_t o = { 0 };
	GError *err = NULL;
	int code = EXIT_USAGE;

	if (options_parse(command_find("plan"), more, &o, &argc, &argv)) {
		p.path = argv[1];
		if (g_file_get_contents(p.path, &p.text, NULL, &err))
			code = tool_read_to_end(&o, &p, on_caught_up);
		else
			code = failure("%s", err->message);
	}
	g_clear_error(&err);
	g_free(p.text);
	options_clear(&o);
	return code;
}
