/* Tests of the entry: scripts of events and the actions they must cause. */
#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "entry/fns.h"

/*
 * A script is a list of steps; K is a request's number, I a sidecar's:
 *   UI up, UI=NAME up by a name, DI down, SI state, SI=VERSIONS, LI leaving,
 *   R submit: R<tier>, then k: key, n: not idempotent, p: prefix,
 *   KK.code claimed, GI.K grant, XI.K.code.hold refuse, NI.K.code not run,
 *   HI.K head, CI.K.seq chunk, EI.K.code.chunks.tokens end, QK hang up,
 *   TMS time passes, P drain, B version v1 is found bad.
 * The actions are, sorted for each step: oI.K offer, wI.K withdraw, bI.K body,
 * aI.K.seq.end ack, rI.K.from resume, cI.K cancel; and to the caller of K:
 * kK claim, hK head, dK.data, eK.code.
 */
typedef struct script_case {
	const char *name;
	const char *steps;
	const char *want;
} script_case_t;

typedef struct bench {
	entry_t *entry;
	counters_t *counters;
	ms_t now;
	GPtrArray *actions; /* of the current step */
	const char *bad_version;
	unsigned int runs_recorded;
	code_t last_code; /* of the last run recorded */
	int submitted;
	uint64_t prefix;
	uint64_t max_output;
	uint64_t offered_output; /* estimate in the last offer */
} bench_t;

enum {
	INC = 7,
	DEADLINE = 10000,
};

static void G_GNUC_PRINTF(2, 3) add_action(bench_t *b, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_ptr_array_add(b->actions, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

static void on_send(void *ctx, uint64_t inc, const msg_t *m)
{
	bench_t *b = ctx;

	switch (m->type) {
	case MSG_OFFER:
		b->offered_output = m->u.offer.output_tokens;
		add_action(b, "o%" PRIu64 ".%" PRIu64, inc, m->u.offer.rid.seq);
		break;
	case MSG_WITHDRAW:
		add_action(b, "w%" PRIu64 ".%" PRIu64, inc,
			   m->u.withdraw.rid.seq);
		break;
	case MSG_BODY:
		ck_assert(str_eq(m->u.body.body, str_of("body")));
		add_action(b, "b%" PRIu64 ".%" PRIu64, inc, m->u.body.rid.seq);
		break;
	case MSG_ACK:
		add_action(b, "a%" PRIu64 ".%" PRIu64 ".%" PRIu64 ".%" PRIu64,
			   inc, m->u.ack.rid.seq, m->u.ack.seq, m->u.ack.end);
		break;
	case MSG_RESUME:
		add_action(b, "r%" PRIu64 ".%" PRIu64 ".%" PRIu64, inc,
			   m->u.resume.rid.seq, m->u.resume.from);
		break;
	default:
		ck_assert(m->type == MSG_CANCEL);
		add_action(b, "c%" PRIu64 ".%" PRIu64, inc,
			   m->u.cancel.rid.seq);
	}
}

static void on_head(void *ctx, void *user, const outcome_t *o, int status,
		    str_t type)
{
	add_action(ctx, "h%d", GPOINTER_TO_INT(user));
	ck_assert_int_eq(status, 200);
	ck_assert(str_eq(type, str_of("text/plain")));
	ck_assert_ptr_nonnull(o->server);
}

static void on_data(void *ctx, void *user, str_t data)
{
	add_action(ctx, "d%d.%.*s", GPOINTER_TO_INT(user), (int)data.n, data.p);
}

static void on_end(void *ctx, void *user, const outcome_t *o)
{
	add_action(ctx, "e%d.%d", GPOINTER_TO_INT(user), o->code);
	if (code_not_run(o->code))
		ck_assert_ptr_null(o->server);
}

static void on_claim(void *ctx, rid_t rid, const char *customer,
		     const char *key)
{
	ck_assert_str_eq(customer, "school");
	ck_assert_str_eq(key, "key");
	add_action(ctx, "k%" PRIu64, rid.seq);
}

static const char *on_pick(void *ctx, const char *service, ms_t now)
{
	const bench_t *b = ctx;

	ck_assert_str_eq(service, "helper");
	ck_assert_int_eq(now, b->now);
	return b->bad_version ? "v2" : "v1";
}

static const char *on_fallback(void *ctx, const char *service,
			       const char *picked)
{

	ck_assert_ptr_nonnull(ctx);
	ck_assert_str_eq(service, "helper");
	return strcmp(picked, "v1") == 0 ? "v0" : NULL;
}

static bool on_is_bad(void *ctx, const char *service, const char *version)
{

	ck_assert_str_eq(service, "helper");
	return g_strcmp0(((bench_t *)ctx)->bad_version, version) == 0;
}

static void on_record_run(void *ctx, const sample_t *s, ms_t now)
{

	bench_t *b = ctx;

	ck_assert_int_eq(now, b->now);
	b->last_code = s->code;
	b->runs_recorded++;
}

static const entry_ops_t ops = {
	.send = on_send,
	.head = on_head,
	.data = on_data,
	.end = on_end,
	.claim = on_claim,
	.pick_version = on_pick,
	.fallback_version = on_fallback,
	.is_bad = on_is_bad,
	.record_run = on_record_run,
};

static const entry_conf_t conf = { .inc = INC,
				   .seed = 1,
				   .data_center = "one",
				   .waiting_max = 4,
				   .initial_offers = 2,
				   .head_start = 20,
				   .widen_before = 2000,
				   .disconnect_timeout = 3000,
				   .ack_interval = 100,
				   .ack_bytes = 3 };

static void bench_open(bench_t *b, const entry_conf_t *c)
{
	*b = (bench_t){ .counters = counters_new(), .now = 1000, .prefix = 42 };
	b->actions = g_ptr_array_new_with_free_func(g_free);
	b->entry = entry_new(c, &ops, b, b->counters);
}

static void bench_close(bench_t *b)
{
	entry_free(b->entry);
	counters_free(b->counters);
	g_ptr_array_unref(b->actions);
}

static void send_state(bench_t *b, uint64_t inc, const char *versions,
		       uint64_t used)
{
	msg_t m = { .type = MSG_STATE };

	m.u.state.service = str_of("helper");
	m.u.state.versions = str_of(versions ? versions : "v1");
	m.u.state.limit = 1000;
	m.u.state.used = used;
	m.u.state.speed = 100;
	entry_recv(b->entry, inc, &m, b->now);
}

static void submit(bench_t *b, const char *how)
{
	submission_t s = { .service = "helper",
			   .route = "chat",
			   .customer = "school",
			   .model = true,
			   .idempotent = !strchr(how, 'n'),
			   .key = strchr(how, 'k') ? "key" : NULL,
			   .prefix_hash = strchr(how, 'p') ? b->prefix : 0,
			   .max_output = b->max_output,
			   .tier = atoi(how),
			   .body = str_of("body"),
			   .time_left = DEADLINE };

	b->submitted++;
	entry_submit(b->entry, &s, GINT_TO_POINTER(b->submitted), b->now);
}

/* Numbers of a step after its letter, separated by dots. */
typedef struct args {
	uint64_t v[5];
} args_t;

static args_t parse_args(const char *p)
{
	args_t a = { 0 };

	for (int i = 0; i < 5; i++) {
		char *end;

		a.v[i] = strtoull(p, &end, 10);
		if (*end != '.')
			break;
		p = end + 1;
	}
	return a;
}

static void message(bench_t *b, char kind, args_t a)
{
	rid_t rid = { INC, a.v[1] };
	msg_t m = { 0 };

	switch (kind) {
	case 'G':
		m.type = MSG_GRANT;
		m.u.grant = (msg_grant_t){ rid, 1, 1000 };
		break;
	case 'X':
		m.type = MSG_REFUSE;
		m.u.refuse = (msg_refuse_t){ rid, a.v[2], a.v[3], 500 };
		break;
	case 'N':
		m.type = MSG_NOT_RUN;
		m.u.not_run = (msg_not_run_t){ rid, a.v[2] };
		break;
	case 'H':
		m.type = MSG_HEAD;
		m.u.head = (msg_head_t){ rid, 200, str_of("text/plain") };
		break;
	case 'C':
		m.type = MSG_CHUNK;
		m.u.chunk = (msg_chunk_t){ rid, a.v[2], str_of("x") };
		break;
	default:
		m.type = MSG_END;
		m.u.end = (msg_end_t){ .rid = rid,
				       .code = a.v[2],
				       .chunks = a.v[3],
				       .output_tokens = a.v[4] };
	}
	entry_recv(b->entry, a.v[0], &m, b->now);
}

static void side_up(bench_t *b, uint64_t inc, const char *name)
{
	char *own = g_strdup_printf("s%" PRIu64, inc);

	entry_side_up(b->entry, inc, name ? name : own, "one", b->now);
	g_free(own);
}

static void step(bench_t *b, const char *s)
{
	args_t a = parse_args(s + 1);
	const char *eq = strchr(s, '=');
	rid_t rid = { INC, a.v[0] };
	char *name = g_strdup_printf("s%" PRIu64, a.v[0]);

	if (*s == 'U')
		side_up(b, a.v[0], eq ? eq + 1 : NULL);
	else if (*s == 'D')
		entry_side_down(b->entry, a.v[0], b->now);
	else if (*s == 'S')
		send_state(b, a.v[0], eq ? eq + 1 : "v1", 0);
	else if (*s == 'L')
		entry_side_leaving(b->entry, name, b->now);
	else if (*s == 'R')
		submit(b, s + 1);
	else if (*s == 'K')
		entry_claim_done(b->entry, rid, (code_t)a.v[1], b->now);
	else if (*s == 'Q')
		entry_hangup(b->entry, rid, b->now);
	else if (*s == 'P')
		entry_drain(b->entry, b->now);
	else if (*s == 'B')
		b->bad_version = "v1";
	else if (*s == 'T')
		entry_tick(b->entry, b->now += (ms_t)a.v[0]);
	else
		message(b, *s, a);
	g_free(name);
}

static gint by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Runs a script; returns the actions, those of a step separated by " | ". */
static char *run(bench_t *b, const char *steps)
{
	char **all = g_strsplit(steps, " ", 0);
	GString *out = g_string_new(NULL);

	for (char **s = all; *s; s++) {
		step(b, *s);
		if (b->actions->len == 0)
			continue;
		g_ptr_array_sort(b->actions, by_text);
		if (out->len > 0)
			g_string_append(out, " |");
		for (guint i = 0; i < b->actions->len; i++)
			g_string_append_printf(out, "%s%s", out->len ? " " : "",
					       (char *)b->actions->pdata[i]);
		g_ptr_array_set_size(b->actions, 0);
	}
	g_strfreev(all);
	return g_string_free(out, FALSE);
}

#define UP1   "U1 S1 "
#define UP2   "U1 S1 U2 S2 "
#define SENT1 "U1 S1 R0 G1.1 "
#define OUT1  "o1.1 | b1.1"

static const script_case_t scripts[] = {
	{ "whole answer", SENT1 "H1.1 C1.1.1 C1.1.2 E1.1.0.2",
	  OUT1 " | h1 | d1.x | d1.x | a1.1.2.1 e1.0" },
	{ "first grant wins, the other offer is withdrawn", UP2 "R0 G2.1 G1.1",
	  "o1.1 o2.1 | b2.1 w1.1 | w1.1" },
	{ "repeated grant is not a late one", SENT1 "G1.1", OUT1 },
	{ "duplicate chunks are dropped", SENT1 "H1.1 H1.1 C1.1.1 C1.1.1",
	  OUT1 " | h1 | d1.x" },
	{ "gap resumes from the missing chunk", SENT1 "H1.1 C1.1.1 C1.1.3",
	  OUT1 " | h1 | d1.x | r1.1.2" },
	{ "chunk before the head resumes from the head", SENT1 "C1.1.1",
	  OUT1 " | r1.1.0" },
	{ "end with chunks missing is not whole", SENT1 "H1.1 C1.1.1 E1.1.0.2",
	  OUT1 " | h1 | d1.x | r1.1.2" },
	{ "an answer with repeated gaps is cut",
	  SENT1 "E1.1.0.1 E1.1.0.1 E1.1.0.1 E1.1.0.1 E1.1.0.1 E1.1.254.0",
	  OUT1 " | r1.1.0 | r1.1.0 | r1.1.0 | r1.1.0 | c1.1 e1.252 | "
	       "a1.1.0.1" },
	{ "a not-run code after sending becomes a cut", SENT1 "E1.1.206.0",
	  OUT1 " | a1.1.0.1 e1.252" },
	{ "chunks are acknowledged", SENT1 "H1.1 C1.1.1 T100 T100",
	  OUT1 " | h1 | d1.x | a1.1.1.0" },
	{ "many bytes are acknowledged at once",
	  SENT1 "H1.1 C1.1.1 C1.1.2 C1.1.3 C1.1.4",
	  OUT1 " | h1 | d1.x | d1.x | a1.1.3.0 d1.x | d1.x" },
	{ "a request not run is offered again", SENT1 "N1.1.213",
	  OUT1 " | o1.1" },
	{ "a request not sent is offered elsewhere", UP2 "R0 G1.1 N1.1.214",
	  "o1.1 o2.1 | b1.1 w2.1 | o2.1" },
	{ "a request not sent is offered there again after a pause",
	  SENT1 "N1.1.214 T49 T1", OUT1 " | o1.1" },
	{ "not run after the head becomes a cut", SENT1 "H1.1 N1.1.214",
	  OUT1 " | h1 | c1.1 e1.252" },
	{ "same incarnation resumes", SENT1 "H1.1 C1.1.1 D1 T1000 U1",
	  OUT1 " | h1 | d1.x | r1.1.2" },
	{ "a new incarnation loses the path", SENT1 "D1 U2=s1",
	  OUT1 " | e1.251" },
	{ "the path is lost after the disconnect timeout", SENT1 "D1 T2999 T1",
	  OUT1 " | e1.251" },
	{ "a waiting request survives its sidecar", UP2 "R0 D1 T1 D2 U3 S3 T1",
	  "o1.1 o2.1 | o3.1" },
	{ "a leaving sidecar's offers go elsewhere",
	  "U1 S1 U2 S2 R0 U3 S3 L1 T1", "o1.1 o2.1 | w1.1 | o3.1" },
	{ "an unloaded version's offers go elsewhere",
	  "U1 S1 U2 S2 R0 U3 S3 S1=v9 T1", "o1.1 o2.1 | w1.1 | o3.1" },
	{ "hanging up while waiting withdraws", UP1 "R0 Q1 G1.1 T10000",
	  "o1.1 | w1.1 | w1.1" },
	{ "hanging up while sent cancels", SENT1 "Q1 H1.1 C1.1.1 E1.1.254.1",
	  OUT1 " | c1.1 | a1.1.1.1" },
	{ "a lost cancel is resent", SENT1 "Q1 D1 U1 N1.1.214",
	  OUT1 " | c1.1 | c1.1" },
	{ "expires waiting", UP1 "R0 T10000 G1.1",
	  "o1.1 | e1.208 w1.1 | w1.1" },
	{ "expires running", SENT1 "T10000 E1.1.254.0",
	  OUT1 " | c1.1 e1.253 | a1.1.0.1" },
	{ "a late answer is dropped", SENT1 "E1.1.252.0 H1.1 E1.1.0.0 R0",
	  OUT1 " | a1.1.0.1 e1.252 | c1.1 | a1.1.0.1 | o1.2" },
	{ "shed when all refuse", UP2 "R0 X1.1.206.1000 X2.1.206.1000",
	  "o1.1 o2.1 | e1.206" },
	{ "offers to every sidecar before shedding",
	  UP2 "U3 S3 R0 X3.1.206.1000 X2.1.206.1000 X1.1.206.1000",
	  "o2.1 o3.1 | o1.1 | e1.206" },
	{ "offers again when a refusal has lapsed",
	  UP2 "R0 T1 X1.1.206.100 T200 X2.1.206.1000 X1.1.206.1000",
	  "o1.1 o2.1 | o1.1 | e1.206" },
	{ "holds count from the offer, not from the refusal",
	  UP1 "R0 T600 X1.1.206.500", "o1.1 | o1.1" },
	{ "a hold refuses lower tiers without an offer",
	  UP1 "R1 X1.1.206.1000 R2 R1", "o1.1 | e1.206 | e2.206 | o1.3" },
	{ "all cannot finish", UP2 "R0 X1.1.207.0 X2.1.207.0",
	  "o1.1 o2.1 | e1.207" },
	{ "no engine anywhere", UP2 "R0 X1.1.212.0 X2.1.212.0 R0",
	  "o1.1 o2.1 | e1.212 | e2.212" },
	{ "a sidecar without engine gets no offers for a while",
	  UP2 "R0 X1.1.212.0 Q1 R0 Q2 T500 R0",
	  "o1.1 o2.1 | w2.1 | o2.2 | w2.2 | o1.3 o2.3" },
	{ "no engine at one, cannot finish at the other",
	  UP2 "R0 X1.1.212.0 X2.1.207.0", "o1.1 o2.1 | e1.207" },
	{ "shed where one cannot finish", UP2 "R0 X1.1.207.0 X2.1.206.99",
	  "o1.1 o2.1 | e1.206" },
	{ "a leaving sidecar does not count for shedding",
	  UP2 "R0 X1.1.206.9000 X2.1.209.0", "o1.1 o2.1 | e1.206 w2.1" },
	{ "one that unloaded the version does not count either",
	  UP2 "R0 X1.1.215.0 X2.1.206.9000", "o1.1 o2.1 | w1.1 | e1.206" },
	{ "no server after a time", "R0 T999 T1 T1000", "e1.212" },
	{ "no server, then one", "R0 T999 U1 S1 T1", "o1.1" },
	{ "falls back to the old version", "U1 S1=v0 R0", "o1.1" },
	{ "uses no version that was not picked", "U1 S1=v3 R0 T1000",
	  "e1.212" },
	{ "a bad version's grant is withdrawn", "U1 S1 U2 S2=v2 R0 B G1.1",
	  "o1.1 | o2.1 w1.1" },
	{ "widens before the deadline", UP2 "U3 S3 R0 T7999 T1",
	  "o2.1 o3.1 | o1.1" },
	{ "once widened, offers again before a hold ends",
	  UP2 "R0 T8000 X1.1.206.9000 T949 T1", "o1.1 o2.1 | o1.1" },
	{ "head start of the prefix", UP2 "R0p T19 T1", "o1.1 | o2.1" },
	{ "a refusal ends the head start", UP2 "R0p X1.1.206.99",
	  "o1.1 | o2.1" },
	{ "claims the key first", UP1 "R0nk G1.1 K1.0 G1.1",
	  "k1 | w1.1 | o1.1 | b1.1" },
	{ "a duplicate is refused", UP1 "R0nk K1.210", "k1 | e1.210" },
	{ "not run without a claim", UP1 "R0nk K1.211", "k1 | e1.211" },
	{ "a request that expires while claiming is not run",
	  UP1 "R0nk T10000 K1.0", "k1 | e1.208" },
	{ "idempotent requests ignore the key", UP1 "R0k", "o1.1" },
	{ "draining refuses new requests only", SENT1 "P R0 H1.1 E1.1.0.0",
	  OUT1 " | e2.209 | h1 | a1.1.0.1 e1.0" },
	{ "a full entry sheds the newest of the lowest tier",
	  UP1 "R3 R3 R1 R2 R0 R3",
	  "o1.1 | o1.2 | o1.3 | o1.4 | e2.206 o1.5 w1.2 | e6.206" },
	{ "a full entry offers to all before it sheds a higher tier",
	  UP2 "U3 S3 R1 R1 R1 R1 R0 R0",
	  "o2.1 o3.1 | o1.2 o2.2 | o1.3 o3.3 | o2.4 o3.4 | "
	  "o1.4 o1.5 o3.5 | e4.206 o1.6 o2.6 w1.4 w2.4 w3.4" },
};

START_TEST(script)
{
	const script_case_t *c = &scripts[_i];
	bench_t b;
	char *got;

	bench_open(&b, &conf);
	got = run(&b, c->steps);
	ck_assert_msg(strcmp(got, c->want) == 0, "%s:\n got %s\nwant %s",
		      c->name, got, c->want);
	g_free(got);
	bench_close(&b);
}
END_TEST

/* The runs recorded after a script. */
typedef struct record_case {
	const char *name;
	const char *steps;
	unsigned int runs;
	code_t last;
} record_case_t;

static const record_case_t records[] = {
	{ "an answer", SENT1 "H1.1 E1.1.0.0", 1, CODE_OK },
	{ "a cut", SENT1 "H1.1 E1.1.252.0", 1, CODE_CUT },
	{ "too slow", SENT1 "T10000", 1, CODE_EXPIRED_RUNNING },
	{ "too slow, but the path was down", SENT1 "D1 T2000 T8000", 0, 0 },
	{ "a dead host", SENT1 "D1 T3000", 0, 0 },
	{ "a caller that hung up", SENT1 "Q1 E1.1.254.0", 0, 0 },
	{ "a cancel at the sidecar", SENT1 "E1.1.254.0", 0, 0 },
	{ "a refusal", UP1 "R0 X1.1.206.100", 0, 0 },
	{ "not run", SENT1 "N1.1.213", 0, 0 },
};

START_TEST(records_finished_runs)
{
	const record_case_t *c = &records[_i];
	bench_t b;

	bench_open(&b, &conf);
	g_free(run(&b, c->steps));
	ck_assert_msg(b.runs_recorded == c->runs, "%s", c->name);
	ck_assert_msg(b.last_code == c->last, "%s", c->name);
	bench_close(&b);
}
END_TEST

static unsigned int count_of(const char *trace, const char *what)
{
	unsigned int n = 0;

	for (const char *p = trace; (p = strstr(p, what)); p++)
		n++;
	return n;
}

/* Returns the offers to sidecar 1 after its first four requests failed. */
static unsigned int offers_after_failures(bench_t *b, const char *others)
{
	GString *steps = g_string_new("U1 S1 ");
	char *trace;
	unsigned int n;

	g_string_append(steps, others);
	for (int i = 1; i <= 4; i++)
		g_string_append_printf(steps, "R0 G1.%d E1.%d.252.0 ", i, i);
	g_free(run(b, g_strstrip(steps->str)));
	g_string_assign(steps, "T1");
	for (int i = 0; i < 30; i++)
		g_string_append_printf(steps, " R0 Q%d", i + 5);
	trace = run(b, steps->str);
	n = count_of(trace, "o1.");
	g_string_free(steps, TRUE);
	g_free(trace);
	return n;
}

START_TEST(a_sidecar_that_fails_is_ejected)
{
	entry_conf_t c = conf;
	bench_t b;
	char *trace;

	c.initial_offers = 4;
	bench_open(&b, &c);
	ck_assert_uint_eq(offers_after_failures(&b, "U2 S2 U3 S3 U4 S4 "), 0);
	trace = run(&b, "T6000 R0");
	ck_assert_uint_eq(count_of(trace, "o1."), 1);
	g_free(trace);
	bench_close(&b);
	/* At most a third of the sidecars is ejected. */
	bench_open(&b, &c);
	ck_assert_uint_eq(offers_after_failures(&b, "U2 S2 "), 30);
	bench_close(&b);
}
END_TEST

START_TEST(a_prefix_head_start_depends_on_load)
{
	bench_t b;
	char *trace;

	bench_open(&b, &conf);
	g_free(run(&b, "U1 S1 U2 S2"));
	send_state(&b, 1, "v1", 900);
	send_state(&b, 2, "v1", 100);
	trace = run(&b, "R0p");
	ck_assert_str_eq(trace, "o1.1 o2.1");
	g_free(trace);
	bench_close(&b);
}
END_TEST

START_TEST(prefixes_stay_when_a_sidecar_comes)
{
	entry_conf_t c = conf;
	unsigned int moved = 0;
	bench_t b;

	c.initial_offers = 1;
	bench_open(&b, &c);
	g_free(run(&b, "U1 S1 U2 S2 U3 S3 U4 S4"));
	for (int i = 1; i <= 400; i++) {
		char *before;
		char *after;

		b.prefix = (uint64_t)i;
		before = run(&b, "R0p");
		g_free(run(&b, "U5 S5"));
		after = run(&b, "R0p");
		moved += strncmp(before, after, 2) != 0;
		ck_assert(!strncmp(before, after, 2) || after[1] == '5');
		g_free(before);
		g_free(after);
		g_free(run(&b, "D5"));
		entry_hangup(b.entry, (rid_t){ INC, (uint64_t)b.submitted },
			     b.now);
		entry_hangup(b.entry, (rid_t){ INC, (uint64_t)b.submitted - 1 },
			     b.now);
		g_ptr_array_set_size(b.actions, 0);
	}
	ck_assert_uint_ge(moved, 400 / 5 - 30);
	ck_assert_uint_le(moved, 400 / 5 + 30);
	bench_close(&b);
}
END_TEST

START_TEST(output_estimates_are_learned)
{
	bench_t b;

	bench_open(&b, &conf);
	g_free(run(&b, "U1 S1 R0"));
	ck_assert_uint_eq(b.offered_output, 256);
	g_free(run(&b, "G1.1 H1.1 E1.1.0.0.40 R0"));
	ck_assert_uint_eq(b.offered_output, 40);
	b.max_output = 10;
	g_free(run(&b, "R0"));
	ck_assert_uint_eq(b.offered_output, 10);
	bench_close(&b);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("entry");
	TCase *t = tcase_create("entry");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, script, 0, G_N_ELEMENTS(scripts));
	tcase_add_loop_test(t, records_finished_runs, 0, G_N_ELEMENTS(records));
	tcase_add_test(t, a_sidecar_that_fails_is_ejected);
	tcase_add_test(t, a_prefix_head_start_depends_on_load);
	tcase_add_test(t, prefixes_stay_when_a_sidecar_comes);
	tcase_add_test(t, output_estimates_are_learned);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
