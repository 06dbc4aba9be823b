/*
 * Relays: who reads the store for whom, and what a host makes of what a relay
 * has read.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include "adapter.h"
#include "edge/fns.h"
#include "net/fns.h"

enum {
	HOSTS_MAX = 400,
	CONNECTIONS_MAX = 4, /* of a host that is no relay, to other hosts */
	SMALL_FLEET = 8,     /* hosts that all read the store */
	CONNS_MAX = 2,	     /* that a follower opens to the store */
};

static void name_of(char *out, size_t n, unsigned int i)
{
	snprintf(out, n, "front-%u", i);
}

static relays_t *choice_of(unsigned int self, unsigned int hosts)
{
	char name[32];
	relays_t *r;

	name_of(name, sizeof(name), self);
	r = relays_new(name);
	for (unsigned int i = 0; i < hosts; i++) {
		name_of(name, sizeof(name), i);
		relays_add(r, name);
	}
	return r;
}

typedef struct fleet_case {
	unsigned int hosts;
	unsigned int relays;
} fleet_case_t;

static const fleet_case_t fleets[] = {
	{ 1, 1 },  { 3, 3 },  { 4, 4 },	  { 8, 8 },   { 9, 3 },
	{ 31, 3 }, { 64, 4 }, { 103, 4 }, { 400, 4 },
};

/*
 * All hosts choose the same relays; a host that is none has a bounded number of
 * connections, and between two relays there is one.
 */
START_TEST(test_chosen_alike)
{
	const fleet_case_t *c = &fleets[_i];
	relays_t *first = choice_of(0, c->hosts);
	unsigned int links = 0;

	for (unsigned int i = 0; i < c->hosts; i++) {
		relays_t *r = choice_of(i, c->hosts);
		unsigned int connections = 0;
		unsigned int relays = 0;
		char name[32];

		for (unsigned int k = 0; k < c->hosts; k++) {
			name_of(name, sizeof(name), k);
			ck_assert_int_eq(relays_is_relay(r, name),
					 relays_is_relay(first, name));
			relays += relays_is_relay(r, name);
			connections += relays_connects(r, name);
		}
		ck_assert_uint_eq(relays, c->relays);
		ck_assert_uint_le(connections, c->hosts > SMALL_FLEET
						       ? CONNECTIONS_MAX
						       : SMALL_FLEET - 1);
		ck_assert_int_eq(relays_have_followers(r),
				 c->hosts > c->relays);
		links += connections;
		relays_free(r);
	}
	ck_assert_uint_eq(links, (c->hosts - c->relays) * c->relays +
					 c->relays * (c->relays - 1) / 2);
	relays_free(first);
}
END_TEST

/* A relay that is no longer listed is replaced, and the others stay. */
START_TEST(test_replaced)
{
	relays_t *r = choice_of(0, 103);
	char gone[32] = "";
	char name[32];
	unsigned int stay = 0;

	for (unsigned int i = 1; i < 103 && !gone[0]; i++) {
		name_of(name, sizeof(name), i);
		if (relays_is_relay(r, name))
			g_strlcpy(gone, name, sizeof(gone));
	}
	relays_remove(r, gone);
	ck_assert(!relays_is_relay(r, gone));
	for (unsigned int i = 0; i < 103; i++) {
		name_of(name, sizeof(name), i);
		stay += relays_is_relay(r, name);
	}
	ck_assert_uint_eq(stay, CONNECTIONS_MAX);
	relays_free(r);
}
END_TEST

/*
 * With a third of the hosts down some relay is up, and so connected to all that
 * are: seeds of which hosts are down.
 */
START_TEST(test_relay_is_up)
{
	enum { N = 103 };
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	relays_t *r = choice_of(0, N);
	unsigned int relays_up = 0;
	char name[32];

	for (unsigned int i = 0; i < N; i++) {
		bool up = g_rand_double(rand) > 1.0 / 3;

		name_of(name, sizeof(name), i);
		relays_up += up && relays_is_relay(r, name);
	}
	ck_assert_uint_gt(relays_up, 0);
	relays_free(r);
	g_rand_free(rand);
}
END_TEST

/*
 * A relay that loses the store right after an answer leaves its followers the
 * time to read a new configuration by themselves.
 */
/* Which of two relays has the duty that one has for all. */
typedef struct duty_case {
	const char *name;
	bool a_reaches;
	bool b_reaches;
	bool a_first; /* of "a" and "b" */
} duty_case_t;

static const duty_case_t duty_cases[] = {
	{ "both reach the store", true, true, true },
	{ "the first is cut off", false, true, false },
	{ "the second is cut off", true, false, true },
	{ "both are cut off", false, false, true },
};

START_TEST(test_duty)
{
	const duty_case_t *c = &duty_cases[_i];

	ck_assert_msg(relays_precedes("a", c->a_reaches, "b", c->b_reaches) ==
			      c->a_first,
		      "%s", c->name);
	ck_assert_msg(relays_precedes("b", c->b_reaches, "a", c->a_reaches) !=
			      c->a_first,
		      "%s, the other way", c->name);
}
END_TEST

/* A process reaches the store until its calls have failed for a while. */
START_TEST(test_link)
{
	store_link_t s = { .failing_since = 0 };

	ck_assert(store_link_up(&s, 1000));
	store_link_failed(&s, 1000);
	ck_assert(store_link_up(&s, 1100));
	store_link_failed(&s, 1700);
	ck_assert(!store_link_up(&s, 1800));
	store_link_answered(&s);
	ck_assert(store_link_up(&s, 1800));
}
END_TEST

START_TEST(test_in_time)
{
	static const ms_t configs[] = { 500, 2000, 3000, 4000, 10000, 60000 };
	ms_t config = configs[_i];

	ck_assert_int_gt(relays_news_max(config), relays_read_wait(config));
	ck_assert_int_lt(relays_news_max(config), config / 2);
}
END_TEST

/* A store that lists two keys, a and b, and then holds reads open. */
typedef struct store {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_tcp_t conns[CONNS_MAX];
	int nconns;
	int conns_allowed;
	addr_t at;
	int listings;
	int reads;
} store_t;

/* What a follower was told. */
typedef struct told {
	store_t store;
	store_link_t link;
	follow_t *follow;
	counters_t *counters;
	GString *records; /* KEY=VALUE@OFFSET */
	bool up;
} told_t;

static void on_record(void *ctx, str_t key, str_t value, uint64_t offset)
{
	told_t *t = ctx;

	g_string_append_printf(t->records, "%.*s=%.*s@%llu ", (int)key.n, key.p,
			       (int)value.n, value.p,
			       (unsigned long long)offset);
}

static void on_listing(void *ctx)
{
	(void)ctx;
}

static void on_reachable(void *ctx, bool yes)
{
	((told_t *)ctx)->up = yes;
}

static void on_range(void *ctx, uint64_t from, uint64_t to)
{
	(void)ctx;
	(void)from;
	(void)to;
}

static const follow_ops_t follow_ops = { on_record, on_listing, on_listing,
					 on_reachable, on_range };

static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)h;
	(void)hint;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_written(uv_write_t *w, int status)
{
	(void)status;
	g_free(w);
}

static void reply(uv_stream_t *conn, const char *text)
{
	uv_write_t *w = g_malloc0(sizeof(*w));
	uv_buf_t buf = uv_buf_init((char *)text, strlen(text));

	uv_write(w, conn, &buf, 1, on_written);
}

static void on_bytes(uv_stream_t *conn, ssize_t n, const uv_buf_t *buf)
{
	static const char listing[] =
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		"Content-Length: 119\r\n\r\n"
		"{\"items\":[{\"key\":\"a\",\"value\":\"MQ==\",\"offset\":7},"
		"{\"key\":\"b\",\"value\":\"Mg==\",\"offset\":9}],"
		"\"has_more\":false,\"end\":10}      ";
	store_t *s = conn->data;

	if (n <= 0)
		return;
	if (g_strstr_len(buf->base, n, "log-newest")) {
		s->listings++;
		reply(conn, listing);
	} else {
		s->reads++;
	}
}

static void on_connection(uv_stream_t *listener, int status)
{
	store_t *s = listener->data;
	uv_tcp_t *conn = &s->conns[s->nconns];

	ck_assert_int_eq(status, 0);
	ck_assert_int_lt(s->nconns, s->conns_allowed);
	uv_tcp_init(&s->loop, conn);
	conn->data = s;
	uv_accept(listener, (uv_stream_t *)conn);
	uv_tcp_nodelay(conn, 1);
	uv_read_start((uv_stream_t *)conn, on_alloc, on_bytes);
	s->nconns++;
}

static void store_open(store_t *s)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	uv_loop_init(&s->loop);
	uv_tcp_init(&s->loop, &s->listener);
	s->listener.data = s;
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0);
	uv_listen((uv_stream_t *)&s->listener, 8, on_connection);
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&sa, &n);
	g_strlcpy(s->at.ip, "127.0.0.1", sizeof(s->at.ip));
	s->at.port = ntohs(sa.sin_port);
}

/* A follower that has listed both keys and pauses for an hour. */
static told_t *told_open(void)
{
	told_t *t = g_new0(told_t, 1);
	follow_conf_t conf = { .topic = "keyed.t",
			       .wait = 1000,
			       .pause = 3600000,
			       .retry_max = 100,
			       .news_max = 500 };

	store_open(&t->store);
	t->store.conns_allowed = 1;
	t->link.addr = t->store.at;
	reach_init(&t->link.reach);
	conf.store = &t->link;
	t->counters = counters_new();
	t->records = g_string_new(NULL);
	t->follow =
		follow_new(&t->store.loop, &conf, &follow_ops, t, t->counters);
	follow_tick(t->follow, clock_now());
	while (!t->up)
		uv_run(&t->store.loop, UV_RUN_ONCE);
	g_string_truncate(t->records, 0);
	return t;
}

static void told_close(told_t *t)
{
	follow_free(t->follow);
	for (int i = 0; i < t->store.nconns; i++)
		uv_close((uv_handle_t *)&t->store.conns[i], NULL);
	uv_close((uv_handle_t *)&t->store.listener, NULL);
	uv_run(&t->store.loop, UV_RUN_DEFAULT);
	uv_loop_close(&t->store.loop);
	counters_free(t->counters);
	g_string_free(t->records, TRUE);
	g_free(t);
}

/* Runs the follower's loop until it would wait. */
static void settle(told_t *t, ms_t now)
{
	follow_tick(t->follow, now);
	for (int i = 0; i < 20; i++)
		uv_run(&t->store.loop, UV_RUN_NOWAIT);
}

/* A record of news; key NULL ends the list. */
typedef struct piece {
	uint64_t offset;
	const char *key;
	const char *value;
} piece_t;

typedef struct news_case {
	const char *name;
	uint64_t from;
	uint64_t to;
	bool complete;
	piece_t pieces[3];
	size_t cut;	     /* bytes that are missing at the end */
	const char *records; /* what the follower takes */
	uint64_t next;	     /* offset that it reads next */
	bool reads;	     /* it reads by itself at once */
} news_case_t;

/* The follower has read all before offset 10. */
static const news_case_t news_cases[] = {
	{ "nothing new", 10, 10, true, { { 0 } }, 0, "", 10, false },
	{ "heartbeats only", 10, 25, true, { { 0 } }, 0, "", 25, false },
	{ "a record",
	  10,
	  12,
	  true,
	  { { 11, "a", "x" } },
	  0,
	  "a=x@11 ",
	  12,
	  false },
	{ "a key deleted",
	  10,
	  12,
	  true,
	  { { 10, "a", "" } },
	  0,
	  "a=@10 ",
	  12,
	  false },
	{ "two records",
	  10,
	  30,
	  true,
	  { { 11, "a", "x" }, { 29, "b", "y" } },
	  0,
	  "a=x@11 b=y@29 ",
	  30,
	  false },
	{ "known in part",
	  5,
	  12,
	  true,
	  { { 6, "a", "old" }, { 11, "a", "x" } },
	  0,
	  "a=x@11 ",
	  12,
	  false },
	{ "known whole", 5, 9, true, { { 6, "a", "old" } }, 0, "", 10, false },
	{ "a gap before", 11, 20, true, { { 12, "a", "x" } }, 0, "", 10, true },
	{ "not complete", 10, 12, false, { { 0 } }, 0, "", 10, true },
	{ "not complete, known", 5, 10, false, { { 0 } }, 0, "", 10, false },
	{ "cut off", 10, 12, true, { { 11, "a", "x" } }, 1, "", 10, false },
	{ "cut in the head",
	  10,
	  12,
	  true,
	  { { 11, "a", "x" } },
	  8,
	  "",
	  10,
	  false },
	{ "offset past the end",
	  10,
	  12,
	  true,
	  { { 12, "a", "x" } },
	  0,
	  "",
	  10,
	  false },
	{ "offset before the start",
	  10,
	  12,
	  true,
	  { { 9, "a", "x" } },
	  0,
	  "",
	  10,
	  false },
	{ "offsets that fall",
	  10,
	  30,
	  true,
	  { { 20, "a", "x" }, { 15, "b", "y" } },
	  0,
	  "",
	  10,
	  false },
	{ "end before the start", 12, 11, true, { { 0 } }, 0, "", 10, false },
};

START_TEST(test_news)
{
	const news_case_t *c = &news_cases[_i];
	GByteArray *bytes = g_byte_array_new();
	told_t *t = told_open();
	ms_t now = clock_now();
	follow_news_t n = { .from = c->from,
			    .to = c->to,
			    .complete = c->complete };
	uint64_t next = 0;

	for (int i = 0; i < 3 && c->pieces[i].key; i++)
		follow_news_add(bytes, c->pieces[i].offset,
				str_of(c->pieces[i].key),
				str_of(c->pieces[i].value));
	n.records = (str_t){ (char *)bytes->data, bytes->len - c->cut };
	follow_feed(t->follow, &n, now);
	settle(t, now);
	ck_assert_str_eq(t->records->str, c->records);
	ck_assert(follow_next(t->follow, &next));
	ck_assert_msg(next == c->next, "%s: %llu", c->name,
		      (unsigned long long)next);
	ck_assert_msg((t->store.reads > 0) == c->reads, "%s", c->name);
	told_close(t);
	g_byte_array_free(bytes, TRUE);
}
END_TEST

/* While news come there are no reads; without them they are taken up again. */
START_TEST(test_news_end)
{
	told_t *t = told_open();
	ms_t start = clock_now();
	follow_news_t n = { .from = 10, .to = 10, .complete = true };
	ms_t now;

	for (now = start; now < start + 5000; now += 100) {
		follow_feed(t->follow, &n, now);
		settle(t, now);
	}
	ck_assert_int_eq(t->store.reads, 0);
	settle(t, now + 600);
	ck_assert_int_eq(t->store.reads, 1);
	told_close(t);
}
END_TEST

/* A shorter bound on silence holds for a read that was put off already. */
START_TEST(test_news_bound_shortened)
{
	told_t *t = told_open();
	follow_news_t n = { .from = 10, .to = 10, .complete = true };
	ms_t now = clock_now();

	follow_feed(t->follow, &n, now);
	follow_set_news_max(t->follow, 100, now);
	settle(t, now + 99);
	ck_assert_int_eq(t->store.reads, 0);
	settle(t, now + 101);
	ck_assert_int_eq(t->store.reads, 1);
	told_close(t);
}
END_TEST

/* A read that may be held open for too long is made anew on a new path. */
typedef struct end_wait_case {
	const char *name;
	ms_t wait; /* set while a read with 1000 ms is in progress */
	int reads;
} end_wait_case_t;

static const end_wait_case_t end_waits[] = {
	{ "shorter", 200, 2 },
	{ "the same", 1000, 1 },
	{ "longer", 5000, 1 },
};

START_TEST(test_end_wait)
{
	const end_wait_case_t *c = &end_waits[_i];
	told_t *t = told_open();
	ms_t now = clock_now();

	t->store.conns_allowed = c->reads;
	follow_read_now(t->follow, now);
	settle(t, now);
	ck_assert_int_eq(t->store.reads, 1);
	follow_set_wait(t->follow, c->wait);
	follow_end_wait(t->follow, now);
	for (int i = 0; i < 20; i++)
		settle(t, now);
	ck_assert_msg(t->store.reads == c->reads, "%s: %d", c->name,
		      t->store.reads);
	ck_assert(t->up);
	told_close(t);
}
END_TEST

/* Records that are on their way are not asked of another host as well. */
START_TEST(test_receiving)
{
	told_t *t = told_open();
	uv_stream_t *conn = (uv_stream_t *)&t->store.conns[0];
	ms_t now = clock_now();

	follow_read_now(t->follow, now);
	settle(t, now);
	ck_assert_int_eq(t->store.reads, 1);
	ck_assert(!follow_receiving(t->follow));
	reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n8 bytes.");
	settle(t, now);
	ck_assert(follow_receiving(t->follow));
	reply(conn, "8 bytes.");
	settle(t, now);
	ck_assert(!follow_receiving(t->follow));
	told_close(t);
}
END_TEST

/* A refusal's pause stays while the store answers other clients. */
START_TEST(test_refused)
{
	told_t *t = told_open();
	uv_stream_t *conn = (uv_stream_t *)&t->store.conns[0];
	ms_t now = clock_now();

	follow_read_now(t->follow, now);
	settle(t, now);
	reply(conn, "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n");
	while (t->up)
		uv_run(&t->store.loop, UV_RUN_ONCE);
	reach_answered(&t->link.reach, NULL, now + 1, now + 1);
	settle(t, now);
	ck_assert_int_eq(t->store.reads, 1);
	told_close(t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relays");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, test_chosen_alike, 0, G_N_ELEMENTS(fleets));
	tcase_add_test(t, test_replaced);
	tcase_add_loop_test(t, test_relay_is_up, 0, 50);
	tcase_add_loop_test(t, test_news, 0, G_N_ELEMENTS(news_cases));
	tcase_add_test(t, test_news_end);
	tcase_add_test(t, test_receiving);
	tcase_add_test(t, test_refused);
	tcase_add_test(t, test_news_bound_shortened);
	tcase_add_loop_test(t, test_end_wait, 0, G_N_ELEMENTS(end_waits));
	tcase_add_loop_test(t, test_in_time, 0, 6);
	tcase_add_loop_test(t, test_duty, 0, G_N_ELEMENTS(duty_cases));
	tcase_add_test(t, test_link);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
