/* Cost of requests at an entry and at a sidecar, without sockets. */
#include "entry/fns.h"
#include "side/fns.h"
#include "wire/fns.h"
#include "fns.h"

enum {
	CHUNKS = 100,	    /* of each answer */
	ENTRY_INC = 1,	    /* incarnation of the entry */
	FIRST_SIDE_INC = 2, /* incarnation of the first sidecar */
	DEADLINE_MS = 30000,
	SMALL_PLACE = 10000,
	LARGE_PLACE = 1 << 30,
};

typedef struct entry_state {
	entry_t *e;
	counters_t *cs;
	size_t sides;
	ms_t now;
	uint64_t offered; /* sidecar asked last */
	size_t done;
	GByteArray *control; /* messages but for bodies and answers */
} entry_state_t;

static void entry_send(void *ctx, uint64_t inc, const msg_t *m)
{
	entry_state_t *s = ctx;

	if (m->type == MSG_OFFER)
		s->offered = inc;
	if (m->type != MSG_BODY && s->control)
		msg_encode(m, s->control);
}

static void on_head(void *ctx, void *user, const outcome_t *o, int status,
		    str_t type)
{
}

static void on_data(void *ctx, void *user, str_t data)
{
}

static void on_end(void *ctx, void *user, const outcome_t *o)
{
	((entry_state_t *)ctx)->done++;
}

static void on_claim(void *ctx, rid_t rid, const char *customer,
		     const char *key)
{
}

static const char *pick(void *ctx, const char *service, ms_t now)
{
	return "v1";
}

static const char *no_fallback(void *ctx, const char *service,
			       const char *picked)
{
	return NULL;
}

static void note(void *ctx, const sample_t *s, ms_t now)
{
}

static const entry_ops_t entry_ops = {
	.send = entry_send,
	.head = on_head,
	.data = on_data,
	.end = on_end,
	.claim = on_claim,
	.pick_version = pick,
	.fallback_version = no_fallback,
	.record_run = note,
};

static void side_says_state(entry_state_t *s, uint64_t inc)
{
	msg_t m = { .type = MSG_STATE };

	m.u.state.service = str_of("helper");
	m.u.state.versions = str_of("v1");
	m.u.state.speed = 2000;
	m.u.state.limit = 100000;
	entry_recv(s->e, inc, &m, s->now);
}

static void *entry_setup(size_t sides)
{
	entry_state_t *s = g_new0(entry_state_t, 1);
	entry_conf_t conf = {
		.inc = ENTRY_INC,
		.seed = 1,
		.data_center = "dc1",
		.waiting_max = 1000000,
		.initial_offers = 4,
		.head_start = 15,
		.widen_before = 500,
		.disconnect_timeout = 10000,
		.ack_interval = 5000,
		.ack_bytes = 1 << 19,
	};

	s->cs = counters_new();
	s->e = entry_new(&conf, &entry_ops, s, s->cs);
	s->sides = sides;
	for (size_t i = 0; i < sides; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "side-%zu", i);
		entry_side_up(s->e, FIRST_SIDE_INC + i, name, "dc1", 0);
		side_says_state(s, FIRST_SIDE_INC + i);
	}
	return s;
}

static rid_t submit(entry_state_t *s)
{
	submission_t sub = {
		.service = "helper",
		.route = "chat",
		.customer = "school-1",
		.weight = 1,
		.tier = 1,
		.model = true,
		.stream = true,
		.idempotent = true,
		.method = "POST",
		.path = "/v1/chat/completions",
		.content_type = "application/json",
		.body = str_of("{\"model\":\"helper\"}"),
		.prompt_tokens = 1000,
		.time_left = DEADLINE_MS,
		.first_token_target = 2000,
	};

	return entry_submit(s->e, &sub, NULL, s->now);
}

/* Grants the request and begins its answer. */
static void begin(entry_state_t *s, rid_t rid, size_t chunks)
{
	msg_t m = { .type = MSG_GRANT };
	uint64_t at = s->offered;

	m.u.grant.rid = rid;
	m.u.grant.grant = 1;
	m.u.grant.lease_ms = 500;
	if (s->control)
		msg_encode(&m, s->control);
	entry_recv(s->e, at, &m, s->now);
	m = (msg_t){ .type = MSG_HEAD };
	m.u.head.rid = rid;
	m.u.head.status = 200;
	m.u.head.content_type = str_of("text/event-stream");
	entry_recv(s->e, at, &m, s->now);
	for (size_t i = 1; i <= chunks; i++) {
		m = (msg_t){ .type = MSG_CHUNK };
		m.u.chunk.rid = rid;
		m.u.chunk.seq = i;
		m.u.chunk.data = str_of("data: {\"n\":1}\n\n");
		entry_recv(s->e, at, &m, s->now);
	}
}

static void answer(entry_state_t *s, rid_t rid, size_t chunks)
{
	msg_t m = { .type = MSG_END };
	uint64_t at = s->offered;

	begin(s, rid, chunks);
	m.u.end.rid = rid;
	m.u.end.code = CODE_OK;
	m.u.end.chunks = chunks;
	m.u.end.output_tokens = chunks;
	m.u.end.first_ms = 100;
	m.u.end.gap_ms = 20;
	entry_recv(s->e, at, &m, s->now);
}

static void entry_run_chunks(void *state, size_t n, size_t chunks)
{
	entry_state_t *s = state;
	size_t before = s->done;

	for (size_t i = 0; i < n; i++) {
		s->now += 1;
		answer(s, submit(s), chunks);
	}
	if (s->done - before != n)
		g_error("%zu of %zu requests ended", s->done - before, n);
}

/* Prints the bytes of control that one request takes, both ways. */
static void entry_bytes(entry_state_t *s)
{
	s->control = g_byte_array_new();
	entry_run_chunks(s, 100, 1 + CHUNKS);
	printf("bytes %u\n", s->control->len / 100);
}

static void entry_run(void *state, size_t n)
{
	if (n == 0)
		entry_bytes(state);
	entry_run_chunks(state, n, 1);
}

static void entry_run_long(void *state, size_t n)
{
	entry_run_chunks(state, n, 1 + CHUNKS);
}

static void *entry_waiting_setup(size_t waiting)
{
	entry_state_t *s = entry_setup(4);

	for (size_t i = 0; i < waiting; i++)
		submit(s);
	return s;
}

static void *entry_running_setup(size_t running)
{
	entry_state_t *s = entry_setup(4);

	for (size_t i = 0; i < running; i++)
		begin(s, submit(s), 1);
	return s;
}

static void entry_ticks(void *state, size_t n)
{
	entry_state_t *s = state;

	for (size_t i = 0; i < n; i++)
		entry_tick(s->e, s->now);
}

static void entry_states(void *state, size_t n)
{
	entry_state_t *s = state;

	for (size_t i = 0; i < n; i++)
		side_says_state(s, FIRST_SIDE_INC + i % s->sides);
}

typedef struct side_state {
	side_t *s;
	counters_t *cs;
	ms_t now;
	uint64_t seq;
	uint64_t grant;
	rid_t granted;
	size_t ended;
} side_state_t;

static void side_send(void *ctx, uint64_t inc, const msg_t *m)
{
	side_state_t *s = ctx;

	if (m->type == MSG_GRANT) {
		s->grant = m->u.grant.grant;
		s->granted = m->u.grant.rid;
	}
	if (m->type == MSG_END)
		s->ended++;
}

static void side_on_dispatch(void *ctx, const side_dispatch_t *d)
{
}

static void side_on_resume(void *ctx, rid_t rid, uint64_t from)
{
}

static void side_on_cancel(void *ctx, rid_t rid)
{
}

static const side_ops_t side_ops = {
	.send = side_send,
	.dispatch = side_on_dispatch,
	.resume = side_on_resume,
	.cancel = side_on_cancel,
};

static void side_offer(side_state_t *s)
{
	msg_t m = { .type = MSG_OFFER };

	m.u.offer.rid = (rid_t){ ENTRY_INC, ++s->seq };
	m.u.offer.service = str_of("helper");
	m.u.offer.version = str_of("v1");
	m.u.offer.customer = str_of("school-1");
	m.u.offer.tier = 1;
	m.u.offer.prompt_tokens = 1000;
	m.u.offer.output_tokens = 300;
	m.u.offer.left_ms = 1000000;
	side_recv(s->s, ENTRY_INC, &m, s->now);
}

static side_state_t *side_new_state(uint64_t place)
{
	side_state_t *s = g_new0(side_state_t, 1);
	side_conf_t conf = {
		.name = "side-1",
		.service = "helper",
		.model = true,
		.seed = 1,
		.waiting_max = 1000000,
		.answer_max = 1 << 22,
		.token_gap_target = 70,
		.lease = 1000000,
		.hold = 500,
		.entry_timeout = 1000000,
		.engine_silent = 1000000,
		.capacity_start = place,
		.capacity_max = place,
	};

	s->cs = counters_new();
	s->s = side_new(&conf, &side_ops, s, s->cs);
	side_set_engine_up(s->s, true, 0);
	side_set_versions(s->s, "v1", 0);
	side_entry_up(s->s, ENTRY_INC, 0);
	return s;
}

static void *side_setup(size_t waiting)
{
	side_state_t *s = side_new_state(SMALL_PLACE);

	for (size_t i = 0; i < waiting; i++)
		side_offer(s);
	return s;
}

static void side_body(side_state_t *s, rid_t rid)
{
	msg_t m = { .type = MSG_BODY };

	m.u.body.rid = rid;
	m.u.body.grant = s->grant;
	m.u.body.left_ms = DEADLINE_MS;
	m.u.body.version = str_of("v1");
	m.u.body.method = str_of("POST");
	m.u.body.path = str_of("/v1/chat/completions");
	m.u.body.content_type = str_of("application/json");
	m.u.body.stream = 1;
	m.u.body.body = str_of("{}");
	side_recv(s->s, ENTRY_INC, &m, s->now);
}

/* Each has its body at the engine and one chunk of its answer kept. */
static void *side_running_setup(size_t running)
{
	side_state_t *s = side_new_state(LARGE_PLACE);

	for (size_t i = 0; i < running; i++) {
		side_offer(s);
		side_body(s, s->granted);
		side_engine_head(s->s, s->granted, 200,
				 str_of("text/event-stream"), s->now);
		side_engine_data(s->s, s->granted,
				 str_of("data: {\"n\":1}\n\n"), s->now);
	}
	return s;
}

static void side_answer(side_state_t *s, rid_t rid, size_t chunks)
{
	msg_t m = { .type = MSG_ACK };

	side_engine_head(s->s, rid, 200, str_of("text/event-stream"), s->now);
	for (size_t i = 0; i < chunks; i++)
		side_engine_data(s->s, rid, str_of("data: {\"n\":1}\n\n"),
				 s->now);
	side_engine_data(s->s, rid, str_of("data: [DONE]\n\n"), s->now);
	side_engine_end(s->s, rid, CODE_OK, s->now);
	m.u.ack.rid = rid;
	m.u.ack.seq = chunks + 1;
	m.u.ack.end = 1;
	side_recv(s->s, ENTRY_INC, &m, s->now);
}

static void side_run_chunks(void *state, size_t n, size_t chunks)
{
	side_state_t *s = state;
	size_t before = s->ended;

	for (size_t i = 0; i < n; i++) {
		rid_t rid;

		s->now += 1;
		side_offer(s);
		rid = s->granted;
		side_body(s, rid);
		side_answer(s, rid, chunks);
	}
	if (s->ended - before != n)
		g_error("%zu of %zu runs ended", s->ended - before, n);
}

static void side_run(void *state, size_t n)
{
	side_run_chunks(state, n, 1);
}

static void side_run_long(void *state, size_t n)
{
	side_run_chunks(state, n, 1 + CHUNKS);
}

static void side_ticks(void *state, size_t n)
{
	side_state_t *s = state;

	for (size_t i = 0; i < n; i++)
		side_tick(s->s, s->now);
}

const cost_case_t request_cases[] = {
	{ "entry-request", "sidecars", entry_setup, entry_run },
	{ "entry-request-100-chunks", "sidecars", entry_setup, entry_run_long },
	{ "entry-tick", "waiting", entry_waiting_setup, entry_ticks },
	{ "entry-tick-running", "running", entry_running_setup, entry_ticks },
	{ "entry-state", "sidecars", entry_setup, entry_states },
	{ "side-request", "waiting", side_setup, side_run },
	{ "side-request-100-chunks", "waiting", side_setup, side_run_long },
	{ "side-tick", "waiting", side_setup, side_ticks },
	{ "side-tick-running", "running", side_running_setup, side_ticks },
	{ NULL, NULL, NULL, NULL },
};
