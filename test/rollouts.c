/*
 * Status of a rollout, written to a scripted store. An order may replace
 * another whose last status was never written, as its analyst was killed or the
 * store did not answer: the operator must not read the end of the older order
 * as that of the newer one, on which it stops a version's servers.
 */
#include "../cmd/chestnuthinged/rolloutd.h"
#include "script.h"
#include "suite.h"

enum {
	WAIT_MAX_MS = 5000, /* for what is expected */
	SETTLE_MS = 1500,   /* a write is retried in less */
	STEPS_MAX = 2,
	VALUE_MAX = 128,
	ORDERS_MAX = 2,
};

#define HEAD	"HTTP/1.1 200 OK\r\nContent-Length: "
#define WRITTEN HEAD "2\r\n\r\n{}"
#define FAILED	"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

typedef struct rollouts_case {
	const char *name;
	shift_step_t step;		/* the newest decision in the store */
	const char *answers[STEPS_MAX]; /* to writes; the last one stays */
	/* Numbers of the operator's orders: at first, and once a status is
	   being written; 0: none */
	uint64_t orders[ORDERS_MAX];
	unsigned int statuses;	/* calls that write one */
	unsigned int decisions; /* the same */
} rollouts_case_t;

static const rollouts_case_t cases[] = {
	{ "its order's end",
	  { .order = 1, .state = SHIFT_DONE },
	  { WRITTEN },
	  { 1 },
	  1,
	  1 },
	{ "its order's end, already reported",
	  { .order = 1, .state = SHIFT_DONE, .reported = true },
	  { WRITTEN },
	  { 1 },
	  0,
	  0 },
	{ "the end of an order that was replaced",
	  { .order = 1, .state = SHIFT_DONE },
	  { WRITTEN },
	  { 2 },
	  0,
	  1 },
	{ "an order that was replaced while it ran",
	  { .order = 1, .state = SHIFT_RUNNING, .share = 100 },
	  { WRITTEN },
	  { 2 },
	  0,
	  1 },
	{ "a decision is read before its order",
	  { .order = 2, .state = SHIFT_DONE },
	  { WRITTEN },
	  { 1 },
	  0,
	  0 },
	{ "replaced between two attempts to write its end",
	  { .order = 1, .state = SHIFT_DONE },
	  { FAILED, WRITTEN },
	  { 1, 2 },
	  1,
	  1 },
	{ "replaced while the write of its end is not answered",
	  { .order = 1, .state = SHIFT_DONE },
	  { NULL, WRITTEN },
	  { 1, 2 },
	  1,
	  1 },
};

typedef struct play {
	uv_loop_t loop;
	script_t server;
	store_link_t store;
	counters_t *counters;
	edge_t *edge;
	append_t *append;
	rolloutd_t *rollouts;
} play_t;

static void on_written(void *ctx, const char *topic, const char *key,
		       append_result_t end)
{
	play_t *p = ctx;

	rolloutd_written(p->rollouts, topic, key, end);
}

static const append_ops_t append_ops = { on_written };
static const edge_ops_t edge_ops = { 0 };

static void play_open(play_t *p, const script_step_t *steps, size_t nsteps)
{
	edge_conf_t conf = { .inc = 7, .data_center = "a", .seed = 1 };

	memset(p, 0, sizeof(*p));
	uv_loop_init(&p->loop);
	script_open(&p->server, &p->loop, steps, nsteps);
	p->store.addr = p->server.at;
	reach_init(&p->store.reach);
	p->counters = counters_new();
	p->edge = edge_new(&conf, &edge_ops, p, p->counters);
	p->append =
		append_new(&p->loop, &p->store, &append_ops, p, p->counters);
	p->rollouts = rolloutd_new(&p->loop, &p->store, p->edge, p->append, 0.1,
				   50, p->counters);
}

static void play_close(play_t *p)
{
	rolloutd_free(p->rollouts);
	append_free(p->append);
	edge_free(p->edge);
	script_close(&p->server);
	uv_run(&p->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&p->loop), 0);
	script_free(&p->server);
	counters_free(p->counters);
}

/* Takes the operator's order; each names another version. */
static void order(play_t *p, uint64_t number)
{
	char text[VALUE_MAX];
	const char *why;

	if (number == 0)
		return;
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"target\":\"v%d\",\"duration_s\":60}",
		 (int)number);
	ck_assert(rolloutd_order(p->rollouts, str_of("rollout/desk"),
				 str_of(text), number, &why));
}

static unsigned int count(const char *text, const char *what)
{
	unsigned int n = 0;

	while ((text = strstr(text, what))) {
		text += strlen(what);
		n++;
	}
	return n;
}

static unsigned int statuses(const play_t *p)
{
	return count(p->server.requests->str, "topic=keyed.status");
}

static unsigned int decisions(const play_t *p)
{
	return count(p->server.requests->str, "topic=keyed.moves&part=0&at=");
}

/* Lets the host that decides run for a while. */
static void turn(play_t *p)
{
	rolloutd_tick(p->rollouts, true, clock_now());
	append_tick(p->append, clock_now());
	uv_run(&p->loop, UV_RUN_NOWAIT);
	g_usleep(1000);
}

static void run_for(play_t *p, ms_t time)
{
	for (ms_t until = clock_now() + time; clock_now() < until;)
		turn(p);
}

/* Runs until that many calls have come, or for long. */
static void run_until(play_t *p, unsigned int nstatuses,
		      unsigned int ndecisions)
{
	ms_t until = clock_now() + WAIT_MAX_MS;

	while ((statuses(p) < nstatuses || decisions(p) < ndecisions) &&
	       clock_now() < until)
		turn(p);
}

/* Returns the store's listing of that decision, as an answer. */
static char *listing(const shift_step_t *s)
{
	char *value = shift_step_format(s);
	char *encoded = g_base64_encode((guchar *)value, strlen(value));
	char *page = g_strdup_printf(
		"{\"items\":[{\"key\":\"desk\",\"value\":\"%s\",\"offset\":0}],"
		"\"has_more\":false,\"end\":1}",
		encoded);
	char *answer =
		g_strdup_printf(HEAD "%zu\r\n\r\n%s", strlen(page), page);

	g_free(value);
	g_free(encoded);
	g_free(page);
	return answer;
}

START_TEST(test_status)
{
	const rollouts_case_t *c = &cases[_i];
	script_step_t steps[STEPS_MAX + 2] = { 0 };
	char *first = listing(&c->step);
	size_t n = 2; /* the listing, and a read that waits */
	play_t p;

	steps[0].answer = first;
	for (size_t i = 0; i < STEPS_MAX; i++)
		steps[n + i].answer = c->answers[i];
	play_open(&p, steps, n + (c->answers[1] ? 2 : 1));
	order(&p, c->orders[0]);
	if (c->orders[1] > 0) {
		run_until(&p, 1, 0);
		order(&p, c->orders[1]);
	}
	run_until(&p, c->statuses, c->decisions);
	run_for(&p, SETTLE_MS);
	ck_assert_msg(statuses(&p) == c->statuses, "%s: %u statuses", c->name,
		      statuses(&p));
	ck_assert_msg(decisions(&p) == c->decisions, "%s: %u decisions",
		      c->name, decisions(&p));
	play_close(&p);
	g_free(first);
}
END_TEST

int main(void)
{
	return suite_run("rollouts", test_status, G_N_ELEMENTS(cases));
}
