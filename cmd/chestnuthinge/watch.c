/* watch: follows the config stream and prints a line for each event. */
#include <inttypes.h>
#include "fns.h"

static void on_accepted(void *ctx, const revision_t *r)
{
	(void)ctx;
	printf("accepted offset=%" PRIu64 " op=%s\n", r->offset,
	       r->op ? r->op : "none");
}

static void on_rejected(void *ctx, const char *op, code_t code)
{
	(void)ctx;
	printf("rejected op=%s code=%s\n", op, code_name(code));
}

static void on_result(void *ctx, const move_result_t *r)
{
	(void)ctx;
	printf("result service=%s version=%s state=%s %s\n", r->service,
	       r->version, r->state == MOVE_DONE ? "done" : "reversed",
	       r->evidence);
}

static void on_drain(void *ctx, const char *host, uint64_t offset)
{
	(void)ctx;
	printf("drain offset=%" PRIu64 " host=%s\n", offset, host);
}

static void on_record(tool_t *t, const log_record_t *r, code_t code)
{
	(void)t;
	if (code == CODE_BAD_RECORD)
		printf("bad-record offset=%" PRIu64 "\n", r->offset);
	fflush(stdout);
}

static void on_reachable(tool_t *t, bool yes)
{
	(void)t;
	printf("platform %s\n", yes ? "reachable" : "unreachable");
	fflush(stdout);
}

static void on_duration_end(uv_timer_t *timer)
{
	tool_t *t = timer->data;

	tool_end(t, t->caught_up ? EXIT_DONE : EXIT_UNREACHABLE);
}

/* Follows the stream until a signal, or for the seconds of --for. */
int run_watch(int argc, char **argv)
{
	static const ledger_ops_t ops = { on_accepted, on_rejected, on_result,
					  on_drain };
	int seconds = 0;
	const GOptionEntry more[] = {
		{ "for", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Stop after this many seconds; 0: run until a signal",
		  "SECONDS" },
		{ 0 },
	};
	options_t o = { 0 };
	tool_t t;
	int code = EXIT_USAGE;

	if (options_parse(command_find("watch"), more, &o, &argc, &argv) &&
	    tool_open(&t, &o, &ops, NULL)) {
		t.on_record = on_record;
		t.on_reachable = on_reachable;
		if (seconds > 0)
			uv_timer_start(&t.timer, on_duration_end,
				       (uint64_t)seconds * MS_PER_S, 0);
		tool_read(&t);
		code = tool_run(&t);
		tool_close(&t);
	}
	options_clear(&o);
	return code;
}
