/* Claims of idempotency keys: which request may run, and what is released. */
#include <check.h>
#include <string.h>
#include "ledger/fns.h"

enum {
	BATCH = 5,
	WINDOW = 1000,
	TIMEOUT = 100,
	LOG_MAX = 64,
	SETTLED_MAX = 64,
};

/* A log, and two entries that claim through it. */
typedef struct log {
	char *records[LOG_MAX];
	size_t n;
} log_t;

typedef struct entry {
	claims_t *c;
	log_t *log;
	uint64_t inc;
	size_t read;
	char *sent; /* append in flight */
	int appends;
	GString *settled; /* "SEQ:CODE " or "SEQ:CODE>SEQ " in order */
} entry_t;

static void on_append(void *ctx, str_t data)
{
	entry_t *e = ctx;

	ck_assert_ptr_null(e->sent);
	e->sent = str_dup(data);
	e->appends++;
}

static void on_settled(void *ctx, rid_t rid, code_t code, rid_t first)
{
	entry_t *e = ctx;

	ck_assert_uint_eq(rid.inc, e->inc);
	g_string_append_printf(e->settled, "%d:%d", (int)rid.seq, code);
	if (code == CODE_DUPLICATE)
		g_string_append_printf(e->settled, ">%d.%d", (int)first.inc,
				       (int)first.seq);
	g_string_append(e->settled, " ");
}

static const claims_ops_t ops = { on_append, on_settled };

static void entry_open(entry_t *e, log_t *log, uint64_t inc)
{
	memset(e, 0, sizeof(*e));
	e->log = log;
	e->inc = inc;
	e->settled = g_string_new(NULL);
	e->c = claims_new(&ops, e, BATCH, WINDOW, TIMEOUT);
}

static void entry_close(entry_t *e)
{
	claims_free(e->c);
	g_string_free(e->settled, TRUE);
	g_free(e->sent);
}

static void log_close(log_t *log)
{
	for (size_t i = 0; i < log->n; i++)
		g_free(log->records[i]);
}

static void read_to_end(entry_t *e, ms_t now)
{
	while (e->read < e->log->n) {
		const char *text = e->log->records[e->read++];

		claims_read_record(e->c, e->read, str_of(text), now);
	}
	claims_caught_up(e->c, e->read + 1, now);
}

static void add(entry_t *e, uint64_t seq, const char *key, ms_t now)
{
	claims_add(e->c, (rid_t){ e->inc, seq }, "customer", key, now);
}

/* Lets the append in flight take effect or not, and answers it with a code. */
static void answer(entry_t *e, bool takes_effect, code_t code, ms_t now)
{
	ck_assert_ptr_nonnull(e->sent);
	if (takes_effect)
		e->log->records[e->log->n++] = e->sent;
	else
		g_free(e->sent);
	e->sent = NULL;
	claims_appended(e->c, code, now);
}

/* Ticks, lets a sent append succeed, and reads the log to its end. */
static void tick_and_read(entry_t *e, ms_t now)
{
	claims_tick(e->c, now);
	if (e->sent)
		answer(e, true, CODE_OK, now);
	read_to_end(e, now);
}

typedef struct fixture {
	log_t log;
	entry_t a;
	entry_t b;
} fixture_t;

static fixture_t fx;

static void setup(void)
{
	memset(&fx, 0, sizeof(fx));
	entry_open(&fx.a, &fx.log, 1);
	entry_open(&fx.b, &fx.log, 2);
	read_to_end(&fx.a, 0);
	read_to_end(&fx.b, 0);
}

static void teardown(void)
{
	entry_close(&fx.a);
	entry_close(&fx.b);
	log_close(&fx.log);
}

static void expect(const entry_t *e, const char *settled)
{
	ck_assert_str_eq(e->settled->str, settled);
}

START_TEST(first_in_the_log_wins)
{
	add(&fx.a, 1, "k", 0);
	add(&fx.b, 1, "k", 0);
	tick_and_read(&fx.b, 10);
	tick_and_read(&fx.a, 10);
	expect(&fx.b, "1:0 ");
	expect(&fx.a, "1:210>2.1 ");
}
END_TEST

START_TEST(one_append_for_many_claims)
{
	for (uint64_t i = 1; i <= 20; i++)
		add(&fx.a, i, i % 2 ? "odd" : "even", 0);
	tick_and_read(&fx.a, 10);
	ck_assert_int_eq(fx.a.appends, 1);
	ck_assert(g_str_has_prefix(fx.a.settled->str, "1:0 2:0 3:210>1.1 "));
}
END_TEST

START_TEST(equal_keys_of_two_customers_do_not_conflict)
{
	claims_add(fx.a.c, (rid_t){ 1, 1 }, "x", "k", 0);
	claims_add(fx.a.c, (rid_t){ 1, 2 }, "y", "k", 0);
	tick_and_read(&fx.a, 10);
	expect(&fx.a, "1:0 2:0 ");
}
END_TEST

START_TEST(lost_answer_of_a_claim_that_took_effect)
{
	add(&fx.a, 1, "k", 0);
	claims_tick(fx.a.c, 10);
	answer(&fx.a, true, CODE_ANSWER_LOST, 20);
	read_to_end(&fx.a, 30);
	expect(&fx.a, "1:0 ");
	claims_tick(fx.a.c, 5000);
	ck_assert_int_eq(fx.a.appends, 1);
}
END_TEST

START_TEST(claim_with_lost_answer_is_not_appended_again)
{
	add(&fx.a, 1, "k", 0);
	claims_tick(fx.a.c, 10);
	answer(&fx.a, false, CODE_ANSWER_LOST, 20);
	for (ms_t t = 20; t < TIMEOUT; t += 10)
		tick_and_read(&fx.a, t);
	expect(&fx.a, "");
	tick_and_read(&fx.a, TIMEOUT);
	expect(&fx.a, "1:211 ");
	ck_assert_int_eq(fx.a.appends, 1);
}
END_TEST

START_TEST(refused_append_is_retried)
{
	static const code_t codes[] = { CODE_THROTTLED, CODE_UNREACHABLE };
	ms_t now = 10;

	add(&fx.a, 1, "k", 0);
	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		claims_tick(fx.a.c, now);
		answer(&fx.a, false, codes[i], now);
		now += 40;
	}
	tick_and_read(&fx.a, now);
	expect(&fx.a, "1:0 ");
}
END_TEST

START_TEST(late_claim_is_released_and_a_retry_runs)
{
	char *late;

	add(&fx.a, 1, "k", 0);
	claims_tick(fx.a.c, 10);
	late = g_strdup(fx.a.sent);
	answer(&fx.a, false, CODE_ANSWER_LOST, 20);
	claims_tick(fx.a.c, TIMEOUT);
	expect(&fx.a, "1:211 ");
	fx.log.records[fx.log.n++] = late;
	read_to_end(&fx.a, 200);
	add(&fx.b, 1, "k", 200);
	tick_and_read(&fx.b, 210);
	expect(&fx.b, "1:210>1.1 ");
	tick_and_read(&fx.a, 220);
	tick_and_read(&fx.b, 230);
	add(&fx.b, 2, "k", 240);
	tick_and_read(&fx.b, 250);
	expect(&fx.b, "1:210>1.1 2:0 ");
}
END_TEST

START_TEST(released_key_can_run)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	claims_release(fx.a.c, (rid_t){ 1, 1 }, 20);
	claims_release(fx.a.c, (rid_t){ 1, 1 }, 20);
	tick_and_read(&fx.a, 30);
	add(&fx.b, 1, "k", 40);
	tick_and_read(&fx.b, 50);
	expect(&fx.b, "1:0 ");
	ck_assert_int_eq(fx.a.appends, 2);
}
END_TEST

START_TEST(lost_release_is_retried)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	claims_release(fx.a.c, (rid_t){ 1, 1 }, 20);
	claims_tick(fx.a.c, 30);
	answer(&fx.a, false, CODE_ANSWER_LOST, 30);
	tick_and_read(&fx.a, 100);
	add(&fx.b, 1, "k", 110);
	tick_and_read(&fx.b, 120);
	expect(&fx.b, "1:0 ");
}
END_TEST

START_TEST(only_the_owner_releases)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	read_to_end(&fx.b, 10);
	claims_release(fx.b.c, (rid_t){ 1, 1 }, 20);
	add(&fx.b, 1, "k", 20);
	tick_and_read(&fx.b, 30);
	expect(&fx.b, "1:210>1.1 ");
}
END_TEST

START_TEST(window_starts_when_the_claim_is_read)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	read_to_end(&fx.b, 500);
	add(&fx.b, 1, "k", 1499);
	tick_and_read(&fx.b, 1550);
	expect(&fx.b, "1:210>1.1 ");
	tick_and_read(&fx.b, 1560);
	add(&fx.b, 2, "k", 1600);
	tick_and_read(&fx.b, 1610);
	expect(&fx.b, "1:210>1.1 2:0 ");
}
END_TEST

START_TEST(pause_between_two_reads_frees_no_key)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	add(&fx.b, 1, "k", 20);
	claims_tick(fx.b.c, 30);
	read_to_end(&fx.b, 40);
	answer(&fx.b, true, CODE_ANSWER_LOST, 5000);
	read_to_end(&fx.b, 5000);
	ck_assert(!strstr(fx.b.settled->str, "1:0"));
}
END_TEST

START_TEST(pause_longer_than_the_timeout_ends_the_claim)
{
	add(&fx.a, 1, "k", 0);
	claims_tick(fx.a.c, 10);
	answer(&fx.a, true, CODE_OK, 20);
	read_to_end(&fx.b, 30);
	add(&fx.b, 1, "k", 1100);
	tick_and_read(&fx.b, 1110);
	expect(&fx.b, "1:0 ");
	read_to_end(&fx.a, 1200);
	expect(&fx.a, "1:211 ");
}
END_TEST

START_TEST(no_append_before_the_log_was_read)
{
	entry_t e;

	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	entry_open(&e, &fx.log, 3);
	add(&e, 1, "k", 20);
	claims_tick(e.c, 30);
	ck_assert_ptr_null(e.sent);
	read_to_end(&e, 40);
	tick_and_read(&e, 50);
	expect(&e, "1:210>1.1 ");
	entry_close(&e);
}
END_TEST

START_TEST(claims_fail_while_the_log_is_down)
{
	claims_set_reachable(fx.a.c, false, 0);
	add(&fx.a, 1, "k", 10);
	expect(&fx.a, "");
	claims_tick(fx.a.c, 11);
	expect(&fx.a, "1:211 ");
	claims_set_reachable(fx.a.c, true, 20);
	add(&fx.a, 2, "k", 30);
	tick_and_read(&fx.a, 40);
	expect(&fx.a, "1:211 2:0 ");
}
END_TEST

START_TEST(claim_read_twice_settles_once)
{
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	fx.log.records[fx.log.n] = g_strdup(fx.log.records[0]);
	fx.log.n++;
	tick_and_read(&fx.a, 20);
	expect(&fx.a, "1:0 ");
	ck_assert_int_eq(fx.a.appends, 1);
}
END_TEST

START_TEST(malformed_records_are_ignored)
{
	static const char *const bad[] = {
		"",
		"{",
		"[]",
		"{\"claims\":1}",
		"{\"claims\":[{\"k\":\"00\",\"i\":\"1\",\"s\":\"1\"}]}",
		"{\"claims\":[{\"i\":\"1\",\"s\":\"1\"}]}",
		"{\"released\":[7]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		claims_read_record(fx.a.c, i + 1, str_of(bad[i]), 0);
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	expect(&fx.a, "1:0 ");
}
END_TEST

START_TEST(new_window_applies_to_claims_read_later)
{
	claims_set_window(fx.b.c, 50);
	add(&fx.a, 1, "k", 0);
	tick_and_read(&fx.a, 10);
	read_to_end(&fx.b, 10);
	add(&fx.b, 1, "k", 70);
	tick_and_read(&fx.b, 80);
	expect(&fx.b, "1:0 ");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("claim");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, first_in_the_log_wins);
	tcase_add_test(tc, one_append_for_many_claims);
	tcase_add_test(tc, equal_keys_of_two_customers_do_not_conflict);
	tcase_add_test(tc, lost_answer_of_a_claim_that_took_effect);
	tcase_add_test(tc, claim_with_lost_answer_is_not_appended_again);
	tcase_add_test(tc, refused_append_is_retried);
	tcase_add_test(tc, late_claim_is_released_and_a_retry_runs);
	tcase_add_test(tc, released_key_can_run);
	tcase_add_test(tc, lost_release_is_retried);
	tcase_add_test(tc, only_the_owner_releases);
	tcase_add_test(tc, window_starts_when_the_claim_is_read);
	tcase_add_test(tc, pause_between_two_reads_frees_no_key);
	tcase_add_test(tc, pause_longer_than_the_timeout_ends_the_claim);
	tcase_add_test(tc, no_append_before_the_log_was_read);
	tcase_add_test(tc, claims_fail_while_the_log_is_down);
	tcase_add_test(tc, claim_read_twice_settles_once);
	tcase_add_test(tc, malformed_records_are_ignored);
	tcase_add_test(tc, new_window_applies_to_claims_read_later);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? 1 : 0;
}
