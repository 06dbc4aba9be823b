/*
 * The learned place of a sidecar against fixed ones, on fake engines of unlike
 * speed under more load than they can take. Prints a line for each.
 * Usage: placebench [SECONDS].
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "side/fns.h"

enum {
	JOBS = 65536,
	GAP = 70,	    /* ms, target */
	FIRST = 3000,	    /* ms from the offer, target */
	DEADLINE = 30000,   /* ms */
	PREFILL_STEP = 512, /* prompt tokens in one step */
	GOOD_PERCENT = 120, /* of the target gap still counts as good */
	TICK = 50,	    /* ms */
	LEARNED = 0,
};

typedef struct job {
	ms_t offered;
	ms_t first;
	ms_t last;
	unsigned int tier;
	uint64_t prompt;
	uint64_t output;
	uint64_t prefilled;
	uint64_t made;
	bool running;
	bool sent;
} job_t;

typedef struct sim {
	side_t *s;
	GRand *rand;
	job_t jobs[JOBS + 1];
	size_t njobs;
	size_t run[JOBS]; /* jobs at the engine, in order of dispatch */
	size_t nrun;
	ms_t now;
	double step_end;
	double slow;	/* the engine's steps take so many times longer */
	ms_t slower_at; /* then twice as long again; 0 never */
	/* Results. */
	uint64_t tokens;
	unsigned int good[TIER_COUNT];
	unsigned int offered[TIER_COUNT];
	unsigned int refused;
	unsigned int late;     /* first token after its target */
	unsigned int slow_gap; /* gap above its target */
	unsigned int worst_run;
} sim_t;

static void on_send(void *ctx, uint64_t inc, const msg_t *m)
{
	sim_t *sim = ctx;
	msg_t body = { .type = MSG_BODY };

	if (m->type == MSG_REFUSE || m->type == MSG_NOT_RUN)
		sim->refused++;
	if (m->type != MSG_GRANT)
		return;
	body.u.body.rid = m->u.grant.rid;
	body.u.body.grant = m->u.grant.grant;
	body.u.body.left_ms = DEADLINE;
	sim->jobs[m->u.grant.rid.seq].sent = true;
	side_recv(sim->s, inc, &body, sim->now);
}

static void on_dispatch(void *ctx, const side_dispatch_t *d)
{
	sim_t *sim = ctx;

	sim->run[sim->nrun++] = d->rid.seq;
	sim->worst_run = MAX(sim->worst_run, (unsigned int)sim->nrun);
	side_engine_head(sim->s, d->rid, 200, str_of("text/event-stream"),
			 sim->now);
}

static void on_resume(void *ctx, rid_t rid, uint64_t from)
{
	(void)ctx;
	(void)rid;
	(void)from;
}

static void on_cancel(void *ctx, rid_t rid)
{
	sim_t *sim = ctx;

	for (size_t i = 0; i < sim->nrun; i++) {
		if (sim->run[i] != rid.seq)
			continue;
		memmove(&sim->run[i], &sim->run[i + 1],
			(sim->nrun - i - 1) * sizeof(sim->run[0]));
		sim->nrun--;
		return;
	}
}

static const side_ops_t ops = { on_send, on_dispatch, on_resume, on_cancel };

static uint64_t size_of(sim_t *sim, double least, double most)
{
	return (uint64_t)(least * pow(most / least, g_rand_double(sim->rand)));
}

static void offer(sim_t *sim)
{
	job_t *j = &sim->jobs[++sim->njobs];
	msg_t m = { .type = MSG_OFFER };

	j->offered = sim->now;
	j->tier = (unsigned int)g_rand_int_range(sim->rand, 0, TIER_COUNT);
	j->prompt = size_of(sim, 20, 2000);
	j->output = size_of(sim, 10, 400);
	sim->offered[j->tier]++;
	m.u.offer.rid = (rid_t){ 1, sim->njobs };
	m.u.offer.tier = j->tier;
	m.u.offer.customer = str_of("a");
	m.u.offer.prompt_tokens = j->prompt;
	m.u.offer.output_tokens = size_of(sim, 60, 120);
	m.u.offer.left_ms = DEADLINE;
	side_recv(sim->s, 1, &m, sim->now);
}

static void finished(sim_t *sim, job_t *j, rid_t rid)
{
	msg_t ack = { .type = MSG_ACK };
	ms_t gap = j->made > 1 ? (j->last - j->first) / (ms_t)(j->made - 1) : 0;

	if (gap * 100 > (ms_t)GAP * GOOD_PERCENT)
		sim->slow_gap++;
	else if (j->first - j->offered > FIRST)
		sim->late++;
	else
		sim->good[j->tier]++;
	side_engine_data(sim->s, rid, str_of("data: [DONE]\n\n"), sim->now);
	side_engine_end(sim->s, rid, CODE_OK, sim->now);
	ack.u.ack.rid = rid;
	ack.u.ack.seq = UINT64_MAX;
	ack.u.ack.end = 1;
	side_recv(sim->s, 1, &ack, sim->now);
}

/* One token of a running job; true when it was the last. */
static bool token(sim_t *sim, job_t *j, rid_t rid)
{
	msg_t ack = { .type = MSG_ACK };

	if (j->made++ == 0)
		j->first = sim->now;
	j->last = sim->now;
	sim->tokens++;
	side_engine_data(sim->s, rid, str_of("data: {}\n\n"), sim->now);
	ack.u.ack.rid = rid;
	ack.u.ack.seq = j->made;
	side_recv(sim->s, 1, &ack, sim->now);
	return j->made >= j->output;
}

/* A step of continuous batching ends: prompts first, a token for the rest. */
static uint64_t engine_step(sim_t *sim)
{
	uint64_t left = PREFILL_STEP;
	size_t n = sim->nrun;
	size_t batch[1024];

	n = MIN(n, G_N_ELEMENTS(batch));
	memcpy(batch, sim->run, n * sizeof(batch[0]));
	for (size_t i = 0; i < n; i++) {
		job_t *j = &sim->jobs[batch[i]];
		rid_t rid = { 1, batch[i] };
		uint64_t got = MIN(left, j->prompt - j->prefilled);

		if (j->prefilled < j->prompt) {
			j->prefilled += got;
			left -= got;
		} else if (token(sim, j, rid)) {
			on_cancel(sim, rid);
			finished(sim, j, rid);
		}
	}
	return PREFILL_STEP - left;
}

static void step(sim_t *sim)
{
	uint64_t prompt = engine_step(sim);
	double ms = 10 + 0.5 * (double)sim->nrun + 0.06 * (double)prompt;

	if (sim->slower_at && sim->now >= sim->slower_at)
		ms *= 2;
	sim->step_end = (double)sim->now + ms * sim->slow;
}

static uint64_t refused_for(counters_t *counters, const char *code)
{
	char *labels = g_strdup_printf("code=\"%s\"", code);
	uint64_t n = counter_get(counters, "side_refused", labels)->value;

	g_free(labels);
	return n;
}

static void run(const char *name, ms_t wait_most, double slow, uint64_t fixed,
		double rate, int seconds, bool slower)
{
	sim_t *sim = g_new0(sim_t, 1);
	side_conf_t conf = { .name = "side-1",
			     .service = "helper",
			     .model = true,
			     .waiting_max = 100,
			     .answer_max = 1 << 20,
			     .token_gap_target = fixed ? 1000000 : GAP,
			     .lease = 500,
			     .hold = 500,
			     .entry_timeout = 5000,
			     .capacity_start = fixed ? fixed : 4096,
			     .capacity_max = fixed ? fixed : 1 << 20,
			     .wait_max = wait_most };
	counters_t *counters = counters_new();
	msg_state_t st;

	sim->rand = g_rand_new_with_seed(1);
	sim->slow = slow;
	sim->slower_at = slower ? (ms_t)seconds * 500 : 0;
	sim->s = side_new(&conf, &ops, sim, counters);
	side_entry_up(sim->s, 1, 0);
	while (sim->now < (ms_t)seconds * 1000) {
		sim->now++;
		if (g_rand_double(sim->rand) < rate / 1000 && sim->njobs < JOBS)
			offer(sim);
		if ((double)sim->now >= sim->step_end)
			step(sim);
		if (sim->now % TICK == 0)
			side_tick(sim->s, sim->now);
	}
	side_get_state(sim->s, &st);
	printf("%s engine=%.1f place=%s limit=%lu tokens_s=%lu good_s=%.2f "
	       "good_by_tier=%.2f,%.2f,%.2f,%.2f late=%u slow_gap=%u "
	       "refused=%u cannot_finish=%lu "
	       "most_running=%u\n",
	       name, slow, fixed ? "fixed" : "learned", st.limit,
	       sim->tokens / (uint64_t)seconds,
	       (double)(sim->good[0] + sim->good[1] + sim->good[2] +
			sim->good[3]) /
		       seconds,
	       (double)sim->good[0] / MAX(sim->offered[0], 1),
	       (double)sim->good[1] / MAX(sim->offered[1], 1),
	       (double)sim->good[2] / MAX(sim->offered[2], 1),
	       (double)sim->good[3] / MAX(sim->offered[3], 1), sim->late,
	       sim->slow_gap, sim->refused,
	       refused_for(counters, "cannot-finish"), sim->worst_run);
	side_free(sim->s);
	counters_free(counters);
	g_rand_free(sim->rand);
	g_free(sim);
}

int main(int argc, char **argv)
{
	static const double slows[] = { 0.7, 1, 1.8 };
	static const uint64_t limits[] = { LEARNED, 4096, 16384, 65536 };
	int seconds = argc > 1 ? atoi(argv[1]) : 300;

	for (size_t i = 0; i < G_N_ELEMENTS(slows); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(limits); k++)
			run("overload", 0, slows[i], limits[k], 24 / slows[i],
			    seconds, false);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(slows); i++)
		run("overload-bounded-wait", FIRST, slows[i], LEARNED,
		    24 / slows[i], seconds, false);
	for (size_t k = 0; k < G_N_ELEMENTS(limits); k++)
		run("slows-down", 0, 0.7, limits[k], 24 / 0.7, seconds, true);
	for (size_t i = 0; i < G_N_ELEMENTS(slows); i++)
		run("light", FIRST, slows[i], LEARNED, 4 / slows[i], seconds,
		    false);
	return 0;
}
