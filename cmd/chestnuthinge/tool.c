/* Event loop, HTTP client and config stream reader of a command. */
#include <string.h>
#include "fns.h"

static void on_record(void *ctx, const log_record_t *r)
{
	tool_t *t = ctx;
	code_t code = ledger_read_record(t->ledger, r->offset, r->data);

	if (t->on_record)
		t->on_record(t, r, code);
}

static void on_truncated(void *ctx, uint64_t first)
{
	tool_t *t = ctx;

	ledger_truncated(t->ledger, first);
}

static void on_caught_up(void *ctx, uint64_t next)
{
	tool_t *t = ctx;

	t->next_offset = next;
	t->caught_up = true;
	if (t->on_caught_up)
		t->on_caught_up(t);
}

static void on_reachable(void *ctx, bool yes)
{
	tool_t *t = ctx;

	if (t->on_reachable)
		t->on_reachable(t, yes);
}

static void on_timeout(uv_timer_t *timer)
{
	tool_t *t = timer->data;

	failure("the platform did not answer in time");
	tool_end(t, EXIT_UNREACHABLE);
}

/*
 * Reads the platform's address and namespace from the file of -c and the
 * options, which override it. Returns false after a message when one is
 * missing.
 */
static bool find_platform(const options_t *o, operator_conf_t *c)
{
	GError *err = NULL;

	memset(c, 0, sizeof(*c));
	if (o->conf_path && !operator_load(o->conf_path, c, &err)) {
		usage_error("%s", err->message);
		g_error_free(err);
		return false;
	}
	if (o->platform && !addr_parse(o->platform, &c->platform)) {
		usage_error("--platform: expected IP:PORT");
		return false;
	}
	if (o->ns) {
		g_free(c->platform_ns);
		c->platform_ns = g_strdup(o->ns);
	}
	if (c->platform.port != 0 && c->platform_ns)
		return true;
	usage_error("expected --platform and --namespace, or -c FILE");
	return false;
}

/*
 * Sets up the tool for reading and appending; ops and ctx are passed to the
 * ledger. Returns false after a message when the platform's address or
 * namespace is missing.
 */
bool tool_open(tool_t *t, const options_t *o, const ledger_ops_t *ops,
	       void *ctx)
{
	operator_conf_t c;
	bool ok = find_platform(o, &c);

	memset(t, 0, sizeof(*t));
	if (ok) {
		uv_loop_init(&t->loop);
		uv_timer_init(&t->loop, &t->timeout);
		uv_timer_init(&t->loop, &t->timer);
		t->timeout.data = t;
		t->timer.data = t;
		t->ctx = ctx;
		t->counters = counters_new();
		t->http = httpc_new(&t->loop, t->counters);
		t->log = logc_new(&t->loop, t->http, &c.platform, c.platform_ns,
				  "config", POLL_MS);
		t->ledger = ledger_new(ops, ctx);
	}
	g_free(c.platform_ns);
	return ok;
}

/* Starts reading the config stream. */
void tool_read(tool_t *t)
{
	static const log_reader_ops_t reader = { on_record, on_truncated,
						 on_caught_up, on_reachable };

	logc_read(t->log, 1, &reader, t);
}

/* Appends a record to the config stream; done is called with t as its ctx. */
void tool_append(tool_t *t, const char *record, log_appended_t done)
{
	logc_append(t->log, str_of(record), done, t);
}

/* Ends the command with EXIT_UNREACHABLE after timeout ms; 0 cancels that. */
void tool_timeout(tool_t *t, ms_t timeout)
{
	if (timeout > 0)
		uv_timer_start(&t->timeout, on_timeout, (uint64_t)timeout, 0);
	else
		uv_timer_stop(&t->timeout);
}

/* Stops the loop; tool_run returns code. */
void tool_end(tool_t *t, exit_code_t code)
{
	t->exit = code;
	uv_stop(&t->loop);
}

/* Runs until tool_end; returns its exit code. */
exit_code_t tool_run(tool_t *t)
{
	uv_run(&t->loop, UV_RUN_DEFAULT);
	return t->exit;
}

/* Closes the handles and frees what tool_open made. */
void tool_close(tool_t *t)
{
	logc_free(t->log);
	httpc_free(t->http);
	uv_close((uv_handle_t *)&t->timeout, NULL);
	uv_close((uv_handle_t *)&t->timer, NULL);
	uv_run(&t->loop, UV_RUN_DEFAULT);
	uv_loop_close(&t->loop);
	ledger_free(t->ledger);
	counters_free(t->counters);
}

/*
 * Reads the configuration stream to its end and calls caught_up there, which
 * has to call tool_end. Returns the exit code; EXIT_USAGE when the platform's
 * address or namespace is missing.
 */
int tool_read_to_end(const options_t *o, void *ctx,
		     void (*caught_up)(tool_t *t))
{
	static const ledger_ops_t ops = { 0 };
	tool_t t;
	int code;

	if (!tool_open(&t, o, &ops, ctx))
		return EXIT_USAGE;
	t.on_caught_up = caught_up;
	tool_timeout(&t, PLATFORM_TIMEOUT_MS);
	tool_read(&t);
	code = tool_run(&t);
	tool_close(&t);
	return code;
}
