/* plan: prints what an intent would change in the accepted revision. */
#include "fns.h"

typedef struct plan_args {
	const char *path; /* of the intent */
	char *intent;
	gboolean
		force; /* replace the accepted revision even if it is unknown */
} plan_args_t;

static char *make_plan(const tool_t *t, const plan_args_t *p, GError **err)
{
	if (p->force)
		return plan_make_forced(t->next_offset, p->intent, p->path,
					clock_unix(), err);
	return plan_make(ledger_log_revision(t->ledger), p->intent, p->path,
			 clock_unix(), err);
}

static void on_caught_up(tool_t *t)
{
	const plan_args_t *p = t->ctx;
	GError *err = NULL;
	char *plan;

	if (!ledger_certain(t->ledger) && !p->force) {
		failure("the accepted revision is forgotten: the log was "
			"truncated past it, and no process has written a "
			"snapshot; plan --force replaces it");
		tool_end(t, EXIT_FAILED);
		return;
	}
	plan = make_plan(t, p, &err);
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

/* Prints the plan for the intent in the file argv[1]; stores nothing. */
int run_plan(int argc, char **argv)
{
	plan_args_t p = { 0 };
	const GOptionEntry more[] = {
		{ "force", 0, 0, G_OPTION_ARG_NONE, &p.force,
		  "Replace the accepted revision, also if the log lost it",
		  NULL },
		{ 0 },
	};
	options_t o = { 0 };
	GError *err = NULL;
	int code = EXIT_USAGE;

	if (options_parse(command_find("plan"), more, &o, &argc, &argv)) {
		p.path = argv[1];
		if (g_file_get_contents(p.path, &p.intent, NULL, &err))
			code = tool_read_to_end(&o, &p, on_caught_up);
		else
			code = failure("%s", err->message);
	}
	g_clear_error(&err);
	g_free(p.intent);
	options_clear(&o);
	return code;
}
