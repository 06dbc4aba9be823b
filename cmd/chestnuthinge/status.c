/* status: prints the accepted revision, rollout results and entries' status. */
#include <inttypes.h>
#include "fns.h"

static void print_result(const move_result_t *r)
{
	printf("result service=%s version=%s state=%s %s\n", r->service,
	       r->version, r->state == MOVE_DONE ? "done" : "reversed",
	       r->evidence);
}

static void on_caught_up(tool_t *t)
{
	const revision_t *r = ledger_log_revision(t->ledger);
	const GPtrArray *results = ledger_results(t->ledger);

	printf("revision offset=%" PRIu64 " op=%s certain=%s next=%" PRIu64
	       "\n",
	       r->offset, r->op ? r->op : "none",
	       ledger_certain(t->ledger) ? "yes" : "no", t->next_offset);
	for (guint i = 0; i < results->len; i++)
		print_result(results->pdata[i]);
	tool_end(t, EXIT_DONE);
}

static int print_entry_status(const char *entry)
{
	code_t code;
	char *text = page_get(entry, "/status", &code);

	if (!text)
		return failure("entry %s: %s", entry, code_name(code));
	printf("entry %s\n%s", entry, text);
	g_free(text);
	return EXIT_DONE;
}

/* Prints the state of the log and the status of each --entry. */
int run_status(int argc, char **argv)
{
	options_t o = { 0 };
	int code = EXIT_USAGE;

	if (options_parse(command_find("status"), NULL, &o, &argc, &argv)) {
		code = tool_read_to_end(&o, NULL, on_caught_up);
		for (size_t i = 0;
		     code != EXIT_USAGE && o.entries && o.entries[i]; i++) {
			int entry_code = print_entry_status(o.entries[i]);

			code = code == EXIT_DONE ? entry_code : code;
		}
	}
	options_clear(&o);
	return code;
}
