/* drain: asks the process on a host to finish its requests and stop. */
#include <inttypes.h>
#include "fns.h"

static void append(tool_t *t);

static void on_retry(uv_timer_t *timer)
{
	append(timer->data);
}

/*
 * A second drain record is harmless, so the append is retried after any
 * failure, a lost answer included.
 */
static void on_appended(void *ctx, code_t code, uint64_t offset)
{
	tool_t *t = ctx;

	if (code != CODE_OK) {
		uv_timer_start(&t->timer, on_retry, RETRY_MS, 0);
		return;
	}
	printf("drain offset=%" PRIu64 "\n", offset);
	tool_end(t, EXIT_DONE);
}

static void append(tool_t *t)
{
	tool_append(t, t->ctx, on_appended);
}

/* Appends the drain record for the host that is named. */
int run_drain(int argc, char **argv)
{
	static const ledger_ops_t ops = { 0 };
	options_t o = { 0 };
	char *record = NULL;
	tool_t t;
	int code = EXIT_USAGE;

	if (options_parse(command_find("drain"), NULL, &o, &argc, &argv))
		record = drain_record(argv[1]);
	if (record && tool_open(&t, &o, &ops, record)) {
		tool_timeout(&t, PLATFORM_TIMEOUT_MS);
		append(&t);
		code = tool_run(&t);
		tool_close(&t);
	}
	g_free(record);
	options_clear(&o);
	return code;
}
