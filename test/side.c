/* Tests of the sidecar: scripts of messages and the actions they must cause. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include "side/fns.h"
#include "wire/fns.h"

enum {
	INC = 7, /* the entry's incarnation */
	START = 1000,
};

typedef struct rig {
	side_t *s;
	counters_t *counters;
	GString *out; /* actions of the sidecar, a word each */
	uint64_t grants[100];
	ms_t now;
} rig_t;

typedef struct script {
	const char *name;
	bool plain;
	const char *steps;
	const char *want;
} script_t;

static void add_action(rig_t *r, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
static void add_action(rig_t *r, const char *fmt, ...)
{
	va_list ap;

	if (r->out->len)
		g_string_append_c(r->out, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(r->out, fmt, ap);
	va_end(ap);
}

static void on_send(void *ctx, uint64_t inc, const msg_t *m)
{
	rig_t *r = ctx;

	ck_assert_uint_eq(inc, INC);
	switch (m->type) {
	case MSG_GRANT:
		r->grants[m->u.grant.rid.seq] = m->u.grant.grant;
		add_action(r, "grant:%lu", m->u.grant.rid.seq);
		break;
	case MSG_REFUSE:
		add_action(r, "refuse:%lu:%s:%lu", m->u.refuse.rid.seq,
			   code_name((code_t)m->u.refuse.code),
			   m->u.refuse.hold_ms);
		break;
	case MSG_NOT_RUN:
		add_action(r, "not-run:%lu:%s", m->u.not_run.rid.seq,
			   code_name((code_t)m->u.not_run.code));
		break;
	case MSG_HEAD:
		add_action(r, "head:%lu:%lu", m->u.head.rid.seq,
			   m->u.head.status);
		break;
	case MSG_CHUNK:
		add_action(r, "chunk:%lu:%lu", m->u.chunk.rid.seq,
			   m->u.chunk.seq);
		break;
	case MSG_END:
		add_action(r, "end:%lu:%s:%lu", m->u.end.rid.seq,
			   code_name((code_t)m->u.end.code), m->u.end.chunks);
		break;
	default:
		add_action(r, "other:%s", msg_type_name(m->type));
	}
}

static void on_dispatch(void *ctx, const side_dispatch_t *d)
{
	add_action(ctx, "dispatch:%lu", d->rid.seq);
}

static void on_resume(void *ctx, rid_t rid, uint64_t from)
{
	add_action(ctx, "resume:%lu:%lu", rid.seq, from);
}

static void on_cancel(void *ctx, rid_t rid)
{
	add_action(ctx, "cancel:%lu", rid.seq);
}

static const side_ops_t ops = { on_send, on_dispatch, on_resume, on_cancel };

static void rig_init(rig_t *r, bool plain, ms_t wait_max)
{
	side_conf_t conf = { .name = "side-1",
			     .service = "helper",
			     .model = !plain,
			     .waiting_max = 3,
			     .answer_max = 100,
			     .token_gap_target = 50,
			     .lease = 500,
			     .hold = 1000,
			     .entry_timeout = 5000,
			     .engine_silent = 2000,
			     .capacity_start = 100,
			     .capacity_max = 1000,
			     .wait_max = wait_max };

	memset(r, 0, sizeof(*r));
	r->now = START;
	r->out = g_string_new(NULL);
	r->counters = counters_new();
	r->s = side_new(&conf, &ops, r, r->counters);
	side_set_versions(r->s, "v1,v2", r->now);
	side_entry_up(r->s, INC, r->now);
}

static void rig_clear(rig_t *r)
{
	side_free(r->s);
	counters_free(r->counters);
	g_string_free(r->out, TRUE);
}

static code_t code_of(const char *name)
{
	for (int c = 0; c < 600; c++) {
		if (!strcmp(code_name((code_t)c), name))
			return (code_t)c;
	}
	ck_abort_msg("no code %s", name);
	return CODE_OK;
}

static uint64_t num(char **arg, int i, uint64_t unset)
{
	for (int k = 0; k <= i; k++) {
		if (!arg[k])
			return unset;
	}
	return strtoull(arg[i], NULL, 10);
}

/* offer:SEQ:TIER:CUSTOMER:TOKENS:LEFT:VERSION */
static void make_offer(msg_t *m, char **arg)
{
	size_t n = g_strv_length(arg);

	m->type = MSG_OFFER;
	m->u.offer.tier = num(arg, 2, 0);
	m->u.offer.customer = str_of(n > 3 ? arg[3] : "a");
	m->u.offer.prompt_tokens = num(arg, 4, 100);
	m->u.offer.left_ms = num(arg, 5, 20000);
	m->u.offer.version = str_of(n > 6 ? arg[6] : "v1");
	m->u.offer.service = str_of("helper");
}

static bool make(rig_t *r, msg_t *m, char **arg)
{
	rid_t rid = { INC, num(arg, 1, 0) };

	memset(m, 0, sizeof(*m));
	m->u.offer.rid = rid;
	if (!strcmp(arg[0], "offer")) {
		make_offer(m, arg);
	} else if (!strcmp(arg[0], "withdraw")) {
		m->type = MSG_WITHDRAW;
	} else if (!strcmp(arg[0], "cancel")) {
		m->type = MSG_CANCEL;
	} else if (!strcmp(arg[0], "resume")) {
		m->type = MSG_RESUME;
		m->u.resume.from = num(arg, 2, 1);
	} else if (!strcmp(arg[0], "ack")) {
		m->type = MSG_ACK;
		m->u.ack.seq = num(arg, 2, 0);
		m->u.ack.end = num(arg, 3, 0);
	} else if (!strcmp(arg[0], "body")) {
		m->type = MSG_BODY;
		m->u.body.grant = num(arg, 2, r->grants[rid.seq]);
		m->u.body.left_ms = 20000;
		m->u.body.version = str_of("v1");
	}
	return m->type != 0;
}

static void engine(rig_t *r, char **arg)
{
	rid_t rid = { INC, num(arg, 1, 0) };
	size_t n = g_strv_length(arg);
	char *text = n > 2 ? g_strcompress(arg[2]) : g_strdup("");

	if (!strcmp(arg[0], "e-head"))
		side_engine_head(r->s, rid, (int)num(arg, 2, 200),
				 str_of(n > 3 ? arg[3] : "application/json"),
				 r->now);
	else if (!strcmp(arg[0], "e-data"))
		side_engine_data(r->s, rid, str_of(text), r->now);
	else if (!strcmp(arg[0], "e-end"))
		side_engine_end(r->s, rid, code_of(text), r->now);
	else
		ck_abort_msg("no step %s", arg[0]);
	g_free(text);
}

static void step(rig_t *r, char **arg)
{
	msg_t m;

	if (make(r, &m, arg)) {
		side_recv(r->s, INC, &m, r->now);
	} else if (!strcmp(arg[0], "wait")) {
		r->now += (ms_t)num(arg, 1, 0);
		side_tick(r->s, r->now);
	} else if (!strcmp(arg[0], "late")) {
		r->now += (ms_t)num(arg, 1, 0);
	} else if (!strcmp(arg[0], "down")) {
		side_entry_down(r->s, INC, r->now);
	} else if (!strcmp(arg[0], "up")) {
		side_entry_up(r->s, INC, r->now);
	} else if (!strcmp(arg[0], "versions")) {
		side_set_versions(r->s, arg[1], r->now);
	} else if (!strcmp(arg[0], "engine")) {
		side_set_engine_up(r->s, num(arg, 1, 0) != 0, r->now);
	} else if (!strcmp(arg[0], "drain")) {
		side_drain(r->s, r->now);
	} else if (!strcmp(arg[0], "idle")) {
		add_action(r, side_idle(r->s) ? "idle" : "busy");
	} else if (!strcmp(arg[0], "uses")) {
		add_action(r,
			   side_version_in_use(r->s, arg[1]) ? "used" : "free");
	} else {
		engine(r, arg);
	}
}

static void play(rig_t *r, const char *steps)
{
	char **words = g_strsplit(steps, " ", 0);

	for (char **w = words; *w; w++) {
		char **arg = g_strsplit(*w, ":", 0);

		step(r, arg);
		g_strfreev(arg);
	}
	g_strfreev(words);
}

/* clang-format off */
static const script_t scripts[] = {
	{ "a request from offer to acknowledgement", false,
	  "offer:1 body:1 e-head:1 e-data:1:{} e-end:1:ok ack:1:1:1 drain idle",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 end:1:ok:1 idle" },
	{ "a version is used from the grant to the end", false,
	  "uses:v1 offer:1 uses:v1 uses:v2 body:1 uses:v1 e-head:1 uses:v1 "
	  "e-end:1:ok uses:v1",
	  "free grant:1 used free dispatch:1 used head:1:200 used end:1:ok:0 "
	  "free" },
	{ "a repeated offer is harmless", false,
	  "offer:1 offer:1 offer:2 offer:2 withdraw:1",
	  "grant:1 grant:2" },
	{ "a higher tier first", false,
	  "offer:1 offer:2:3 offer:3:1 withdraw:1 withdraw:3",
	  "grant:1 grant:3 grant:2" },
	{ "customers take turns by tokens", false,
	  "offer:1:0:x offer:2:1:a:1500 offer:3:1:a:1500 offer:4:1:b:1500 "
	  "withdraw:1 withdraw:2 withdraw:4",
	  "grant:1 grant:2 grant:4 grant:3" },
	{ "one large request fits an idle engine", false,
	  "offer:1:0:a:900 offer:2:0:a:10", "grant:1" },
	{ "a full list sheds the lowest tier, newest first", false,
	  "offer:1 offer:2:2 offer:3:3 offer:4:3 offer:5:1 offer:6:2 offer:7:0",
	  "grant:1 refuse:4:shed:1000 refuse:3:shed:1000 refuse:6:shed:1000" },
	{ "the lowest newcomer is itself refused", false,
	  "offer:1 offer:2:1 offer:3:1 offer:4:1 offer:5:1 offer:6:2",
	  "grant:1 refuse:5:shed:1000 refuse:6:shed:1000" },
	{ "nothing lower is taken while a refusal holds", false,
	  "offer:1 offer:2:1 offer:3:1 offer:4:1 offer:5:1 withdraw:2 "
	  "late:400 offer:6:2 late:600 offer:7:2",
	  "grant:1 refuse:5:shed:1000 refuse:6:shed:600" },
	{ "shedding takes back grants of lower tiers", false,
	  "offer:1:3 offer:2:1 offer:3:1 offer:4:1 offer:5:1 body:1",
	  "grant:1 refuse:5:shed:1000 grant:2 not-run:1:grant-lapsed" },
	{ "an offer that cannot finish in time", false,
	  "offer:1 wait:1 offer:2 offer:3:0:a:100:900 offer:4:0:a:100:1100",
	  "grant:1 refuse:3:cannot-finish:0" },
	{ "an expired offer", false, "offer:1:0:a:10:0",
	  "refuse:1:expired-waiting:0" },
	{ "an offer that expires while it waits", false,
	  "offer:1 body:1 offer:2:0:a:10:300 wait:299 wait:1",
	  "grant:1 dispatch:1 refuse:2:expired-waiting:0" },
	{ "a version that is not loaded", false, "offer:1:0:a:10:20000:v3",
	  "refuse:1:not-loaded:0" },
	{ "a version that is unloaded while it waits", false,
	  "offer:1 offer:2:0:a:10:20000:v2 versions:v1",
	  "grant:1 refuse:2:not-loaded:0" },
	{ "a lapsed lease gives the slot to the next", false,
	  "offer:1 offer:2 wait:499 wait:1 body:1",
	  "grant:1 grant:2 not-run:1:grant-lapsed" },
	{ "a body after the lease without a tick", false,
	  "offer:1 late:500 body:1", "grant:1 not-run:1:grant-lapsed" },
	{ "a body without any grant", false, "body:1:5",
	  "not-run:1:grant-lapsed" },
	{ "a repeated body is dispatched once", false,
	  "offer:1 body:1 body:1 e-head:1 body:1 e-end:1:ok body:1",
	  "grant:1 dispatch:1 head:1:200 end:1:ok:0" },
	{ "a grant is resent on a new connection", false,
	  "offer:1 down up offer:1 offer:1 body:1",
	  "grant:1 grant:1 dispatch:1" },
	{ "an offer after a lapsed grant is a new one", false,
	  "offer:1 down up late:500 offer:1 body:1", "grant:1 grant:1 dispatch:1" },
	{ "offers of a lost connection are dropped", false,
	  "offer:1 offer:2 down up withdraw:1 offer:2", "grant:1 grant:2" },
	{ "resume sends what is not acknowledged", false,
	  "offer:1 body:1 e-head:1 e-data:1:a e-data:1:b ack:1:1 down "
	  "e-data:1:c up e-data:1:d e-end:1:ok resume:1:2 ack:1:4:1 "
	  "resume:1:5",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 chunk:1:2 head:1:200 "
	  "chunk:1:2 chunk:1:3 chunk:1:4 end:1:ok:4 not-run:1:not-sent" },
	{ "a body overtaken by its resume is never run", false,
	  "offer:1 down up resume:1 body:1 offer:1 body:1:1 body:1",
	  "grant:1 not-run:1:not-sent grant:1 dispatch:1" },
	{ "running streams of an entry past its timeout are cancelled", false,
	  "offer:1 body:1 down wait:5000 wait:1 up resume:1 body:1",
	  "grant:1 dispatch:1 cancel:1 end:1:path-lost:0 end:1:path-lost:0" },
	{ "a running request is cancelled once", false,
	  "offer:1 body:1 cancel:1 cancel:1 e-data:1:x e-end:1:ok ack:1:0:1",
	  "grant:1 dispatch:1 end:1:cancelled:0 cancel:1 end:1:cancelled:0" },
	{ "a cancelled request that did not run", false,
	  "offer:1 cancel:1 body:1", "grant:1 not-run:1:caller-gone" },
	{ "no byte reached the engine", false,
	  "offer:1 body:1 e-end:1:not-sent resume:1",
	  "grant:1 dispatch:1 not-run:1:not-sent not-run:1:not-sent" },
	{ "a silent engine's stream is resumed at its byte", false,
	  "offer:1 body:1 e-head:1 e-data:1:abc e-end:1:silent e-head:1 "
	  "e-data:1:d e-end:1:ok",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 resume:1:3 chunk:1:2 "
	  "end:1:ok:2" },
	{ "resuming gives up after four attempts", false,
	  "offer:1 body:1 e-end:1:cut e-end:1:not-sent wait:200 e-end:1:cut "
	  "wait:200 wait:200 e-end:1:cut wait:600 e-end:1:cut",
	  "grant:1 dispatch:1 resume:1:0 resume:1:0 resume:1:0 resume:1:0 "
	  "end:1:path-lost:0 cancel:1" },
	{ "a silent stream is resumed until the deadline", false,
	  "offer:1 body:1 e-end:1:silent e-end:1:silent e-end:1:silent "
	  "e-end:1:silent e-end:1:silent e-head:1 e-end:1:ok",
	  "grant:1 dispatch:1 resume:1:0 resume:1:0 resume:1:0 resume:1:0 "
	  "resume:1:0 head:1:200 end:1:ok:0" },
	{ "a resume that is not sent does not count as not run", false,
	  "offer:1 body:1 e-end:1:silent e-end:1:not-sent",
	  "grant:1 dispatch:1 resume:1:0 resume:1:0" },
	{ "an engine that does not know the stream", false,
	  "offer:1 body:1 e-head:1 e-data:1:a e-end:1:cut e-head:1:404",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 resume:1:1 "
	  "end:1:path-lost:1 cancel:1" },
	{ "a plain service is never resumed", true,
	  "offer:1 body:1 e-head:1 e-data:1:a e-end:1:cut",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 end:1:cut:1 cancel:1" },
	{ "a plain service that never answered", true,
	  "offer:1 body:1 e-end:1:silent",
	  "grant:1 dispatch:1 end:1:path-lost:0 cancel:1" },
	{ "events without their last one are not whole", false,
	  "offer:1 body:1 e-head:1:200:text/event-stream "
	  "e-data:1:data\\072\\040[DONE e-end:1:ok e-head:1:200 "
	  "e-data:1:]\\n\\n e-end:1:ok",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 resume:1:11 chunk:1:2 "
	  "end:1:ok:2" },
	{ "an error status of the engine is an answer", false,
	  "offer:1 body:1 e-head:1:503 e-data:1:x e-end:1:ok",
	  "grant:1 dispatch:1 head:1:503 chunk:1:1 end:1:ok:1" },
	{ "an answer too long to keep is cut", false,
	  "offer:1 body:1 e-head:1 e-data:1:0123456789012345678901234567890123"
	  "456789012345678901234567890123456789 e-data:1:01234567890123456789"
	  "0123456789012345678901234567890123456789",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 end:1:cut:1 cancel:1" },
	{ "acknowledged bytes make room", false,
	  "offer:1 body:1 e-head:1 e-data:1:0123456789012345678901234567890123"
	  "456789012345678901234567890123456789 ack:1:1 e-data:1:0123456789012"
	  "34567890123456789012345678901234567890123456789",
	  "grant:1 dispatch:1 head:1:200 chunk:1:1 chunk:1:2" },
	{ "draining refuses what waits and finishes what was granted", false,
	  "offer:1 offer:2 drain body:1 offer:3 idle e-head:1 e-end:1:ok idle "
	  "ack:1:0:1 idle",
	  "grant:1 refuse:2:stopping:0 dispatch:1 refuse:3:stopping:0 busy "
	  "head:1:200 end:1:ok:0 busy idle" },
	{ "no grants while the engine is down", false,
	  "engine:0 offer:1 wait:900 engine:1", "grant:1" },
	{ "what waits for an engine that stays down is refused", false,
	  "engine:0 offer:1 wait:1001 offer:2",
	  "refuse:1:no-server:0 refuse:2:no-server:0" },
	{ "a deadline that passes while running", false,
	  "offer:1 body:1 wait:21001", 
	  "grant:1 dispatch:1 end:1:expired-running:0 cancel:1" },
};
/* clang-format on */

/* With wait_max of 500 ms. */
static const script_t bounded[] = {
	{ "a wait over the bound sheds lower tiers, then the offer", false,
	  "offer:1 wait:1 offer:4:2 offer:2 offer:3 offer:5:1",
	  "grant:1 refuse:4:shed:0 refuse:3:shed:1000 refuse:5:shed:1000" },
	{ "a wait within the bound", false,
	  "offer:1 wait:1 offer:4:2 offer:2:0:a:45 offer:3", "grant:1" },
	{ "a higher tier is not bounded by a lower one", false,
	  "offer:1 wait:1 offer:2:1 offer:3:1 offer:4", "grant:1" },
};

static void play_all(const script_t *c, ms_t wait_max)
{
	rig_t r;

	rig_init(&r, c->plain, wait_max);
	play(&r, c->steps);
	ck_assert_msg(!strcmp(r.out->str, c->want), "%s:\n got %s\nwant %s",
		      c->name, r.out->str, c->want);
	rig_clear(&r);
}

START_TEST(script)
{
	play_all(&scripts[_i], 0);
}
END_TEST

START_TEST(bounded_wait)
{
	play_all(&bounded[_i], 500);
}
END_TEST

START_TEST(foreign_ids_are_ignored)
{
	msg_t m = { .type = MSG_OFFER };
	rig_t r;

	rig_init(&r, false, 0);
	m.u.offer.rid = (rid_t){ INC + 1, 1 };
	m.u.offer.left_ms = 1000;
	side_recv(r.s, INC, &m, r.now);
	ck_assert_str_eq(r.out->str, "");
	rig_clear(&r);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("side");
	TCase *t = tcase_create("side");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(t, script, 0, G_N_ELEMENTS(scripts));
	tcase_add_loop_test(t, bounded_wait, 0, G_N_ELEMENTS(bounded));
	tcase_add_test(t, foreign_ids_are_ignored);
	suite_add_tcase(suite, t);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
