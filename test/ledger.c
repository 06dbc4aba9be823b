/* The config stream: confirms, results, snapshots, peers and plans. */
#include <check.h>
#include <string.h>
#include "ledger/fns.h"

#define TEXT_A "[service a]\nkind = model\n[version a/v1]\n"
#define TEXT_B TEXT_A "[version a/v2]\nreplaces = v1\n"
#define TEXT_C TEXT_A "[service c]\nkind = model\n"

/* What a ledger reported by its callbacks. */
typedef struct reports {
	int accepted;
	int rejected;
	int results;
	int drains;
	code_t code;
	char op[64];
} reports_t;

static void on_accepted(void *ctx, const revision_t *r)
{
	reports_t *h = ctx;

	ck_assert(r->intent != NULL);
	h->accepted++;
}

static void on_rejected(void *ctx, const char *op, code_t code)
{
	reports_t *h = ctx;

	h->rejected++;
	h->code = code;
	g_strlcpy(h->op, op, sizeof(h->op));
}

static void on_result(void *ctx, const move_result_t *r)
{
	reports_t *h = ctx;

	ck_assert_uint_gt(r->op, 0);
	h->results++;
}

static void on_drain(void *ctx, const char *host, uint64_t offset)
{
	reports_t *h = ctx;

	ck_assert_str_eq(host, "side-1");
	ck_assert_uint_gt(offset, 0);
	h->drains++;
}

static const ledger_ops_t ops = { on_accepted, on_rejected, on_result,
				  on_drain };

/*
 * What is done with the ledger: c reads a confirm, f a forced confirm, r a
 * result, k a snapshot, j the record in text; g truncates the log; p receives a
 * peer's configuration.
 */
typedef struct step {
	char kind;
	uint64_t offset;
	uint64_t n; /* base, as_of, op, first or the peer's offset */
	const char *op;
	const char *text;
	code_t code; /* expected */
} step_t;

typedef struct script {
	const char *name;
	step_t steps[8];
	uint64_t offset; /* of the active revision at the end */
	bool certain;
	reports_t reports;
} script_t;

static const script_t scripts[] = {
	{ "first on a base wins",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'c', 2, 1, "y", TEXT_B, CODE_OK },
	    { 'c', 3, 1, "z", TEXT_C, CODE_CONFLICT } },
	  2,
	  true,
	  { .accepted = 2, .rejected = 1, .code = CODE_CONFLICT, .op = "z" } },
	{ "base ahead of the log",
	  { { 'c', 1, 7, "x", TEXT_A, CODE_CONFLICT } },
	  0,
	  true,
	  { .rejected = 1, .code = CODE_CONFLICT, .op = "x" } },
	{ "appended twice applies once, and is not rejected",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'c', 2, 0, "x", TEXT_A, CODE_OK } },
	  1,
	  true,
	  { .accepted = 1 } },
	{ "not an intent",
	  { { 'c', 1, 0, "x", "[nothing]\n", CODE_UNKNOWN_SECTION },
	    { 'c', 2, 0, "y", TEXT_A, CODE_OK } },
	  2,
	  true,
	  { .accepted = 1,
	    .rejected = 1,
	    .code = CODE_UNKNOWN_SECTION,
	    .op = "x" } },
	{ "old records after new ones",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'c', 2, 1, "y", TEXT_B, CODE_OK },
	    { 'c', 1, 0, "x", TEXT_A, CODE_OK } },
	  2,
	  true,
	  { .accepted = 2 } },
	{ "bad records",
	  { { 'j', 1, 0, NULL, "{", CODE_BAD_RECORD },
	    { 'j', 2, 0, NULL, "{\"type\":\"other\"}", CODE_BAD_RECORD },
	    { 'j', 3, 0, NULL, "{\"type\":\"confirm\",\"base\":0}",
	      CODE_BAD_RECORD },
	    { 'j', 4, 0, NULL,
	      "{\"type\":\"confirm\",\"base\":-1,\"op\":\"x\",\"text\":\"\"}",
	      CODE_BAD_RECORD },
	    { 'j', 5, 0, NULL, "[]", CODE_BAD_RECORD } },
	  0,
	  true,
	  { 0 } },
	{ "first result of a move counts",
	  { { 'c', 1, 0, "x", TEXT_B, CODE_OK },
	    { 'r', 2, 1, "v2", "done", CODE_OK },
	    { 'r', 3, 1, "v2", "reversed", CODE_OK },
	    { 'r', 4, 0, "v2", "done", CODE_BAD_RECORD },
	    { 'r', 5, (1ULL << 53) - 1, "v2", "done", CODE_OK } },
	  1,
	  true,
	  { .accepted = 1, .results = 2 } },
	{ "drain",
	  { { 'j', 1, 0, NULL, "{\"type\":\"drain\",\"host\":\"side-1\"}",
	      CODE_OK } },
	  0,
	  true,
	  { .drains = 1 } },
	{ "a record read twice",
	  { { 'j', 1, 0, NULL, "{\"type\":\"drain\",\"host\":\"side-1\"}",
	      CODE_OK },
	    { 'j', 1, 0, NULL, "{\"type\":\"drain\",\"host\":\"side-1\"}",
	      CODE_OK } },
	  0,
	  true,
	  { .drains = 1 } },
	{ "held records that the snapshot includes",
	  { { 'g', 0, 5, NULL, NULL, CODE_OK },
	    { 'c', 5, 2, "x", TEXT_B, CODE_OK },
	    { 'k', 6, 5, "w", TEXT_A, CODE_OK } },
	  4,
	  true,
	  { .accepted = 1 } },
	{ "peer ahead, the log agrees later",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'p', 0, 2, NULL, TEXT_B, CODE_OK },
	    { 'c', 2, 1, "y", TEXT_B, CODE_OK },
	    { 'c', 3, 1, "z", TEXT_C, CODE_CONFLICT } },
	  2,
	  true,
	  { .accepted = 2, .rejected = 1, .code = CODE_CONFLICT, .op = "z" } },
	{ "older configuration of a peer",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'c', 2, 1, "y", TEXT_B, CODE_OK },
	    { 'p', 0, 1, NULL, TEXT_A, CODE_OK } },
	  2,
	  true,
	  { .accepted = 2 } },
	{ "peer's revision that the log does not have",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'r', 2, 1, "v2", "done", CODE_OK },
	    { 'p', 0, 2, NULL, TEXT_C, CODE_CONFLICT } },
	  1,
	  true,
	  { .accepted = 1, .results = 1 } },
	{ "an older record while a peer's revision is active",
	  { { 'p', 0, 5, NULL, TEXT_C, CODE_OK },
	    { 'c', 1, 0, "x", TEXT_A, CODE_OK } },
	  5,
	  true,
	  { .accepted = 1 } },
	{ "uncertain without a snapshot",
	  { { 'g', 0, 5, NULL, NULL, CODE_OK },
	    { 'c', 5, 4, "x", TEXT_A, CODE_OK } },
	  0,
	  false,
	  { 0 } },
	{ "snapshot, then the held records",
	  { { 'g', 0, 5, NULL, NULL, CODE_OK },
	    { 'c', 5, 3, "x", TEXT_B, CODE_OK },
	    { 'k', 6, 4, "w", TEXT_A, CODE_OK },
	    { 'c', 7, 3, "y", TEXT_C, CODE_CONFLICT } },
	  5,
	  true,
	  { .accepted = 2, .rejected = 1, .code = CODE_CONFLICT, .op = "y" } },
	{ "snapshot from before the gap",
	  { { 'g', 0, 9, NULL, NULL, CODE_OK },
	    { 'k', 9, 4, "w", TEXT_A, CODE_OK },
	    { 'c', 10, 3, "x", TEXT_B, CODE_OK } },
	  3,
	  false,
	  { .accepted = 1 } },
	{ "forced, first from its base on",
	  { { 'g', 0, 5, NULL, NULL, CODE_OK },
	    { 'f', 5, 5, "x", TEXT_A, CODE_OK },
	    { 'f', 6, 5, "y", TEXT_B, CODE_CONFLICT },
	    { 'f', 7, 5, "x", TEXT_A, CODE_OK } },
	  5,
	  true,
	  { .accepted = 1, .rejected = 1, .code = CODE_CONFLICT, .op = "y" } },
	{ "forced, but another came before",
	  { { 'c', 1, 0, "x", TEXT_A, CODE_OK },
	    { 'f', 2, 1, "y", TEXT_B, CODE_CONFLICT } },
	  1,
	  true,
	  { .accepted = 1, .rejected = 1, .code = CODE_CONFLICT, .op = "y" } },
	{ "forced, on a base before the first record read",
	  { { 'g', 0, 5, NULL, NULL, CODE_OK },
	    { 'f', 5, 4, "x", TEXT_A, CODE_OK } },
	  0,
	  false,
	  { 0 } },
};

static char *snapshot_text(const step_t *s)
{
	ledger_t *l = ledger_new(&(const ledger_ops_t){ 0 }, NULL);
	char *text;

	/* The accepted confirm lies just before as_of. */
	for (uint64_t o = 1; o < s->n - 1; o++)
		ledger_read_record(l, o, str_of("{}"));
	text = g_strdup_printf("{\"type\":\"confirm\",\"op\":\"%s\","
			       "\"base\":0,\"text\":\"%s\"}",
			       s->op,
			       "[service a]\\nkind = model\\n"
			       "[version a/v1]\\n");
	ledger_read_record(l, s->n - 1, str_of(text));
	g_free(text);
	ledger_read_record(l, s->n, str_of("{}"));
	text = snapshot_record(l);
	ledger_free(l);
	return text;
}

static char *step_text(const step_t *s)
{
	move_result_t r = { s->n, "a", (char *)s->op, MOVE_DONE, "n=1" };
	GString *out = g_string_new(NULL);
	char **lines;

	if (s->kind == 'r') {
		r.state = strcmp(s->text, "done") == 0 ? MOVE_DONE
						       : MOVE_ROLLED_BACK;
		g_string_free(out, TRUE);
		return result_record(&r);
	}
	if (s->kind == 'k') {
		g_string_free(out, TRUE);
		return snapshot_text(s);
	}
	if (s->kind == 'j')
		return g_string_free(g_string_append(out, s->text), FALSE);
	lines = g_strsplit(s->text, "\n", -1);
	g_string_append_printf(out,
			       "{\"type\":\"confirm\",\"op\":\"%s\","
			       "\"base\":%d,\"force\":%s,\"text\":\"",
			       s->op, (int)s->n,
			       s->kind == 'f' ? "true" : "false");
	for (size_t i = 0; lines[i]; i++)
		g_string_append_printf(out, "%s%s", i ? "\\n" : "", lines[i]);
	g_string_append(out, "\"}");
	g_strfreev(lines);
	return g_string_free(out, FALSE);
}

static code_t run_step(ledger_t *l, const step_t *s)
{
	char *text;
	code_t code;

	if (s->kind == 'g') {
		ledger_truncated(l, s->n);
		return CODE_OK;
	}
	if (s->kind == 'p')
		return ledger_from_peer(l, s->n, str_of(s->text));
	text = step_text(s);
	code = ledger_read_record(l, s->offset, str_of(text));
	g_free(text);
	return code;
}

START_TEST(scripted)
{
	const script_t *t = &scripts[_i];
	reports_t h = { 0 };
	ledger_t *l = ledger_new(&ops, &h);

	for (size_t i = 0; i < G_N_ELEMENTS(t->steps) && t->steps[i].kind; i++)
		ck_assert_msg(run_step(l, &t->steps[i]) == t->steps[i].code,
			      "%s: step %zu", t->name, i);
	ck_assert_msg(ledger_revision(l)->offset == t->offset, "%s: %d",
		      t->name, (int)ledger_revision(l)->offset);
	ck_assert_msg(ledger_certain(l) == t->certain, "%s", t->name);
	ck_assert_msg(memcmp(&h, &t->reports, sizeof(h)) == 0,
		      "%s: %d %d %d %s", t->name, h.accepted, h.rejected,
		      h.results, h.op);
	ledger_free(l);
}
END_TEST

START_TEST(no_snapshot_of_an_uncertain_state)
{
	reports_t h = { 0 };
	ledger_t *l = ledger_new(&ops, &h);

	ck_assert_ptr_null(snapshot_record(l));
	ledger_truncated(l, 5);
	ck_assert_int_eq(ledger_from_peer(l, 3, str_of(TEXT_A)), CODE_OK);
	ck_assert_ptr_null(snapshot_record(l));
	ledger_free(l);
}
END_TEST

START_TEST(plan_and_confirm)
{
	revision_t base = { .offset = 7, .text = TEXT_A };
	GError *err = NULL;
	char *plan;
	char *record;
	char *op;

	base.intent = intent_parse(TEXT_A, "a", NULL);
	plan = plan_make(&base, TEXT_B "by = 2027-01-10T12:00:00Z\n", "b.ini",
			 1799582399, &err);
	ck_assert_msg(plan != NULL, "%s", err ? err->message : "");
	ck_assert(strstr(plan, "base = 7\n"));
	ck_assert(strstr(plan, "  added   [version a/v2]\n"));
	ck_assert(strstr(plan, "  a: v1 -> v2\n"));
	ck_assert(strstr(plan, "1 s left: can't be met"));
	ck_assert(strstr(plan, "(503 too-late)"));
	op = plan_op(plan);
	record = plan_record(plan, &err);
	ck_assert_msg(record != NULL, "%s", err ? err->message : "");
	ck_assert(strstr(record, op));
	ck_assert(strstr(record, "\"base\":7"));
	ck_assert(!strstr(record, "force"));
	g_free(op);
	g_free(record);
	g_free(plan);
	intent_free(base.intent);
}
END_TEST

START_TEST(plans_differ_in_their_operation)
{
	const revision_t base = { 0 };
	char *a = plan_make(&base, TEXT_A, "a.ini", 0, NULL);
	char *b = plan_make(&base, TEXT_A, "a.ini", 0, NULL);

	ck_assert_str_ne(a, b);
	g_free(a);
	g_free(b);
}
END_TEST

START_TEST(plan_edited_or_cut_is_refused)
{
	static const char *const cut[] = { "", "chestnuthinge plan 1\n",
					   "plan\n" };
	const revision_t base = { 0 };
	GError *err = NULL;
	char *plan = plan_make(&base, TEXT_A, "a.ini", 0, NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(cut); i++) {
		ck_assert_ptr_null(plan_record(cut[i], &err));
		ck_assert_int_eq(err->code, CODE_BAD_PLAN);
		g_clear_error(&err);
	}
	for (size_t n = strlen(plan) - 1; n > 0; n -= 7 < n ? 7 : n) {
		char *part = g_strndup(plan, n);

		ck_assert_ptr_null(plan_record(part, &err));
		ck_assert_int_eq(err->code, CODE_BAD_PLAN);
		g_clear_error(&err);
		g_free(part);
	}
	plan[strlen(plan) - 2] = '9';
	ck_assert_ptr_null(plan_record(plan, &err));
	ck_assert_int_eq(err->code, CODE_BAD_PLAN);
	g_clear_error(&err);
	g_free(plan);
}
END_TEST

START_TEST(forced_plan)
{
	char *plan = plan_make_forced(12, TEXT_A, "a.ini", 0, NULL);
	char *record = plan_record(plan, NULL);

	ck_assert(strstr(record, "\"force\":true"));
	ck_assert(strstr(record, "\"base\":12"));
	g_free(record);
	g_free(plan);
}
END_TEST

START_TEST(diff_lists_each_change)
{
	revision_t base = { .offset = 1 };
	char *plan;

	base.text = "[service a]\nkind = model ; x\ntoken_gap_ms = 70\n"
		    "[service b]\nkind = model\n";
	base.intent = intent_parse(base.text, "a", NULL);
	plan = plan_make(&base,
			 "# more\n[service a]\nkind=model\ndeadline_ms = 5\n"
			 "[service c]\nkind = model\n",
			 "b.ini", 0, NULL);
	ck_assert(
		strstr(plan, "changed [service a] deadline_ms: default -> 5"));
	ck_assert(strstr(plan,
			 "changed [service a] token_gap_ms: 70 -> default"));
	ck_assert(strstr(plan, "added   [service c]"));
	ck_assert(strstr(plan, "removed [service b]"));
	ck_assert(!strstr(plan, "[service a] kind"));
	g_free(plan);
	intent_free(base.intent);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, scripted, 0, G_N_ELEMENTS(scripts));
	tcase_add_test(tc, no_snapshot_of_an_uncertain_state);
	tcase_add_test(tc, plan_and_confirm);
	tcase_add_test(tc, plans_differ_in_their_operation);
	tcase_add_test(tc, plan_edited_or_cut_is_refused);
	tcase_add_test(tc, forced_plan);
	tcase_add_test(tc, diff_lists_each_change);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? 1 : 0;
}
