/*
 * confirm: appends a plan to the config stream and waits until it is accepted
 * or rejected. On a conflict, prints the plan that was accepted first.
 */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

typedef struct confirm {
	tool_t *t;
	char *op;
	char *record;
	bool sent; /* the append was started: the record may be in the log */
	bool answer_lost; /* the last append may have taken effect */
	bool force;	  /* append even if the accepted revision is unknown */
} confirm_t;

static void on_accepted(void *ctx, const revision_t *r)
{
	confirm_t *c = ctx;

	if (g_strcmp0(r->op, c->op) != 0)
		return;
	printf("accepted offset=%" PRIu64 " op=%s\n", r->offset, r->op);
	tool_end(c->t, EXIT_DONE);
}

static void on_rejected(void *ctx, const char *op, code_t code)
{
	confirm_t *c = ctx;
	const revision_t *first;

	if (strcmp(op, c->op) != 0)
		return;
	first = ledger_log_revision(c->t->ledger);
	if (code != CODE_CONFLICT) {
		failure("rejected: %d %s", code, code_name(code));
		tool_end(c->t, EXIT_FAILED);
		return;
	}
	failure("rejected: %d %s, another plan was first: offset=%" PRIu64
		" op=%s; plan again",
		code, code_name(code), first->offset,
		first->op ? first->op : "none");
	tool_end(c->t, EXIT_CONFLICT);
}

static void append(tool_t *t);

static void on_retry(uv_timer_t *timer)
{
	append(timer->data);
}

/*
 * Retries an append that did not take effect. When the answer was lost the
 * record may be in the log: it is then awaited there, and not appended again.
 */
static void on_appended(void *ctx, code_t code, uint64_t offset)
{
	tool_t *t = ctx;
	confirm_t *c = t->ctx;

	(void)offset;
	c->answer_lost = code == CODE_ANSWER_LOST;
	if (code == CODE_THROTTLED || code == CODE_UNREACHABLE)
		uv_timer_start(&t->timer, on_retry, RETRY_MS, 0);
}

static void append(tool_t *t)
{
	confirm_t *c = t->ctx;

	tool_append(t, c->record, on_appended);
}

/* Appends once the log was read and the plan's operation is not in it. */
static void on_caught_up(tool_t *t)
{
	confirm_t *c = t->ctx;

	if (c->sent)
		return;
	if (!ledger_certain(t->ledger) && !c->force) {
		failure("the accepted revision is forgotten: the log was "
			"truncated past it; plan --force replaces it");
		tool_end(t, EXIT_FAILED);
		return;
	}
	c->sent = true;
	append(t);
}

static int confirm(const options_t *o, confirm_t *c)
{
	static const ledger_ops_t ops = { .accepted = on_accepted,
					  .rejected = on_rejected };
	tool_t t;
	int code;

	if (!tool_open(&t, o, &ops, c))
		return EXIT_USAGE;
	c->t = &t;
	t.on_caught_up = on_caught_up;
	tool_timeout(&t, PLATFORM_TIMEOUT_MS);
	tool_read(&t);
	code = tool_run(&t);
	if (code == EXIT_UNREACHABLE && c->answer_lost)
		failure("the answer was lost: the plan may yet be accepted. "
			"Confirm the same plan again; it applies only once");
	tool_close(&t);
	c->t = NULL;
	return code;
}

/* Confirms the plan in the file argv[1]. */
int run_confirm(int argc, char **argv)
{
	confirm_t c = { 0 };
	options_t o = { 0 };
	GError *err = NULL;
	char *plan = NULL;
	int code = EXIT_USAGE;

	if (options_parse(command_find("confirm"), NULL, &o, &argc, &argv)) {
		if (g_file_get_contents(argv[1], &plan, NULL, &err))
			c.record = plan_record(plan, &err);
		if (c.record) {
			c.op = plan_op(plan);
			c.force = strstr(plan, "\nforce = yes\n") != NULL;
			code = confirm(&o, &c);
		} else {
			code = failure("%s", err->message);
		}
	}
	g_clear_error(&err);
	g_free(plan);
	g_free(c.op);
	g_free(c.record);
	options_clear(&o);
	return code;
}
