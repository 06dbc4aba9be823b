/* The operators' command line tool: finds the command and runs it. */
#include <string.h>
#include "fns.h"

#define TOOL_VERSION "0.1"

static const command_t commands[] = {
	{ "check", run_check, "FILE", "check a settings file or an intent" },
	{ "plan", run_plan, "INTENT", "print the plan for an intent" },
	{ "confirm", run_confirm, "PLAN",
	  "make a plan the active configuration" },
	{ "status", run_status, "",
	  "print the revision, rollout results, entries" },
	{ "watch", run_watch, "", "follow the configuration stream" },
	{ "drain", run_drain, "HOST",
	  "have a host finish its requests and stop" },
	{ "explain", run_explain, "ID [LOG...]",
	  "explain the outcome of a request from logs" },
	{ "losses", run_losses, "LOG...",
	  "count lost requests by cause, from logs" },
	{ "top", run_top, "ADDRESS", "show a host's counters and status" },
	{ "burn", run_burn, "", "report the burn rate of error budgets" },
};

/* Returns the command of that name, or NULL. */
const command_t *command_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

static void print_help(FILE *to)
{
	fprintf(to, "usage: chestnuthinge COMMAND [OPTION...] [ARGUMENT]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(to, "  %-8s %-11s %s\n", commands[i].name,
			commands[i].args, commands[i].summary);
	fprintf(to, "\nchestnuthinge COMMAND --help lists the options.\n"
		    "Exit codes: 0 done, 1 failed, 2 wrong usage, "
		    "3 conflict, 4 platform unreachable.\n");
}

/* Runs the command that the first argument names. */
int main(int argc, char **argv)
{
	const command_t *c = NULL;

	if (argc < 2) {
		print_help(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_help(stdout);
		return EXIT_DONE;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("chestnuthinge %s\n", TOOL_VERSION);
		return EXIT_DONE;
	}
	c = command_find(argv[1]);
	if (!c)
		return usage_error("no command \"%s\"", argv[1]);
	return c->run(argc - 1, argv + 1);
}
