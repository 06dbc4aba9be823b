/* Connections between processes, through a forwarder that can lose them. */
#include <check.h>
#include <string.h>
#include "net/fns.h"

enum {
	HEARTBEAT_MS = 20,
	SILENT_MS = 120,
	WAIT_MS = 3000,
	PIPES_MAX = 64,
	LONG_SILENT_MS = 600,
	HELD_MS = 450, /* frames on their way */
	BUSY_MS = 200, /* a long turn of the loop */
	QUEUE_MAX = 64 << 10,
};

/* One process under test and what it was told. */
typedef struct node {
	peers_t *ps;
	counters_t *counters;
	int ups;
	int downs;
	int msgs;
	uint64_t other;
	uint64_t last_seq;
	char name[32];
} node_t;

/* A forwarded connection; once in a hole its bytes are read and dropped. */
typedef struct pipe {
	uv_tcp_t end[2];
	uv_connect_t connecting;
	bool hole;
} pipe_t;

typedef struct fixture {
	uv_loop_t loop;
	node_t entry;
	node_t side;
	uv_tcp_t listener;
	addr_t side_at;
	addr_t pipe_at;
	pipe_t pipes[PIPES_MAX];
	int npipes;
} fixture_t;

static void on_up(void *ctx, const msg_hello_t *who)
{
	node_t *n = ctx;

	n->ups++;
	n->other = who->inc;
	g_snprintf(n->name, sizeof(n->name), "%.*s", (int)who->name.n,
		   who->name.p);
}

static void on_down(void *ctx, uint64_t inc, bool silent)
{
	node_t *n = ctx;

	ck_assert_uint_eq(inc, n->other);
	n->downs++;
}

static void on_msg(void *ctx, uint64_t inc, const msg_t *m)
{
	node_t *n = ctx;

	ck_assert_uint_eq(inc, n->other);
	ck_assert_int_eq(m->type, MSG_CHUNK);
	n->last_seq = m->u.chunk.seq;
	n->msgs++;
}

static void node_start(node_t *n, uv_loop_t *loop, role_t role, uint64_t inc,
		       const char *key, ms_t silent)
{
	static const peers_ops_t ops = { on_up, on_down, on_msg };
	peers_conf_t conf = { .role = role,
			      .name = role == ROLE_ENTRY ? "e1" : "s1",
			      .data_center = "dc",
			      .inc = inc,
			      .key = str_of(key),
			      .frame_max = 32 << 10,
			      .queue_max = QUEUE_MAX,
			      .heartbeat = HEARTBEAT_MS,
			      .silent = silent,
			      .retry_base = 10,
			      .retry_max = 50,
			      .greetings_max = 64 };

	n->counters = counters_new();
	n->ps = peers_new(loop, &conf, &ops, n, n->counters);
}

static uint64_t count(const node_t *n, const char *name, const char *labels)
{
	return counter_get(n->counters, name, labels)->value;
}

static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	static char bytes[16 << 10];

	(void)h;
	(void)hint;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void pipe_close(pipe_t *p)
{
	for (int i = 0; i < 2; i++) {
		if (!uv_is_closing((uv_handle_t *)&p->end[i]))
			uv_close((uv_handle_t *)&p->end[i], NULL);
	}
}

static void on_forwarded(uv_write_t *w, int status)
{
	(void)status;
	g_free(w);
}

static void on_pipe_bytes(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	pipe_t *p = s->data;
	uv_write_t *w;
	uv_buf_t copy;

	if (n < 0) {
		pipe_close(p);
		return;
	}
	if (p->hole || n == 0)
		return;
	w = g_malloc(sizeof(*w) + n);
	memcpy(w + 1, buf->base, n);
	copy = uv_buf_init((char *)(w + 1), n);
	uv_write(w, (uv_stream_t *)&p->end[s == (uv_stream_t *)&p->end[0]],
		 &copy, 1, on_forwarded);
}

static void on_pipe_open(uv_connect_t *req, int status)
{
	pipe_t *p = req->data;

	if (status < 0) {
		if (status != UV_ECANCELED)
			pipe_close(p);
		return;
	}
	for (int i = 0; i < 2; i++)
		uv_read_start((uv_stream_t *)&p->end[i], on_alloc,
			      on_pipe_bytes);
}

static void on_pipe(uv_stream_t *listener, int status)
{
	fixture_t *f = listener->data;
	pipe_t *p = &f->pipes[f->npipes++];
	struct sockaddr_in sa;

	ck_assert_int_eq(status, 0);
	ck_assert_int_lt(f->npipes, PIPES_MAX);
	for (int i = 0; i < 2; i++) {
		uv_tcp_init(&f->loop, &p->end[i]);
		uv_tcp_nodelay(&p->end[i], 1);
		p->end[i].data = p;
	}
	uv_accept(listener, (uv_stream_t *)&p->end[0]);
	uv_ip4_addr(f->side_at.ip, f->side_at.port, &sa);
	p->connecting.data = p;
	uv_tcp_connect(&p->connecting, &p->end[1], (struct sockaddr *)&sa,
		       on_pipe_open);
}

static void bind_any(uv_tcp_t *t, addr_t *at)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_bind(t, (struct sockaddr *)&sa, 0);
	uv_tcp_getsockname(t, (struct sockaddr *)&sa, &n);
	strcpy(at->ip, "127.0.0.1");
	at->port = ntohs(sa.sin_port);
}

static void free_port(addr_t *at)
{
	uv_loop_t loop;
	uv_tcp_t t;

	uv_loop_init(&loop);
	uv_tcp_init(&loop, &t);
	bind_any(&t, at);
	uv_close((uv_handle_t *)&t, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

static fixture_t *start_silent(const char *entry_key, const char *target_name,
			       ms_t silent)
{
	fixture_t *f = g_new0(fixture_t, 1);

	uv_loop_init(&f->loop);
	uv_tcp_init(&f->loop, &f->listener);
	f->listener.data = f;
	bind_any(&f->listener, &f->pipe_at);
	uv_listen((uv_stream_t *)&f->listener, PIPES_MAX, on_pipe);
	free_port(&f->side_at);
	node_start(&f->entry, &f->loop, ROLE_ENTRY, 11, entry_key, silent);
	node_start(&f->side, &f->loop, ROLE_SIDECAR, 22, "key", silent);
	ck_assert_int_eq(peers_listen(f->side.ps, &f->side_at), CODE_OK);
	if (target_name)
		peers_connect(f->entry.ps, target_name, &f->pipe_at);
	return f;
}

static fixture_t *start(const char *entry_key, const char *target_name)
{
	return start_silent(entry_key, target_name, SILENT_MS);
}

static void stop(fixture_t *f)
{
	peers_close(f->entry.ps, NULL, NULL);
	peers_close(f->side.ps, NULL, NULL);
	uv_close((uv_handle_t *)&f->listener, NULL);
	for (int i = 0; i < f->npipes; i++)
		pipe_close(&f->pipes[i]);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&f->loop), 0);
	counters_free(f->entry.counters);
	counters_free(f->side.counters);
	g_free(f);
}

static void run_for(fixture_t *f, ms_t span)
{
	ms_t until = clock_now() + span;

	while (clock_now() < until) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		g_usleep(500);
	}
}

/* Runs until both nodes were told so many ups. */
static void run_until_up(fixture_t *f, int ups)
{
	ms_t until = clock_now() + WAIT_MS;

	while ((f->entry.ups < ups || f->side.ups < ups) && clock_now() < until)
		run_for(f, 1);
	ck_assert_int_eq(f->entry.ups, ups);
	ck_assert_int_eq(f->side.ups, ups);
}

static void send_chunk(node_t *n, uint64_t seq, str_t data)
{
	msg_t m = { .type = MSG_CHUNK };

	m.u.chunk.seq = seq;
	m.u.chunk.data = data;
	peers_send(n->ps, n->other, &m);
}

START_TEST(right_key_is_up_and_messages_pass)
{
	fixture_t *f = start("key", "s1");

	run_until_up(f, 1);
	ck_assert_uint_eq(f->entry.other, 22);
	ck_assert_uint_eq(f->side.other, 11);
	ck_assert_str_eq(f->entry.name, "s1");
	ck_assert_str_eq(f->side.name, "e1");
	send_chunk(&f->entry, 7, str_of("a"));
	send_chunk(&f->side, 8, str_of("b"));
	run_for(f, SILENT_MS * 4L);
	ck_assert_int_eq(f->side.msgs, 1);
	ck_assert_uint_eq(f->side.last_seq, 7);
	ck_assert_uint_eq(f->entry.last_seq, 8);
	ck_assert_int_eq(f->entry.downs, 0);
	ck_assert_int_eq(f->side.downs, 0);
	stop(f);
}
END_TEST

/* Nonces are random bytes; a handshake holds whatever bytes they have. */
START_TEST(every_handshake_with_the_key_passes)
{
	fixture_t *f = start("key", NULL);
	node_t nodes[60] = { 0 };
	int n = G_N_ELEMENTS(nodes);

	for (int i = 0; i < n; i++) {
		node_start(&nodes[i], &f->loop, ROLE_ENTRY, 100 + i, "key",
			   SILENT_MS);
		peers_connect(nodes[i].ps, "s1", &f->side_at);
	}
	run_for(f, SILENT_MS * 2L);
	ck_assert_int_eq(f->side.ups, n);
	ck_assert_uint_eq(
		count(&f->side, "chestnuthinge_peer_auth_failures_total", ""),
		0);
	for (int i = 0; i < n; i++)
		peers_close(nodes[i].ps, NULL, NULL);
	stop(f);
	for (int i = 0; i < n; i++)
		counters_free(nodes[i].counters);
}
END_TEST

START_TEST(wrong_key_is_refused_and_counted)
{
	fixture_t *f = start("kez", "s1");

	run_for(f, SILENT_MS * 3L);
	ck_assert_int_eq(f->entry.ups, 0);
	ck_assert_int_eq(f->side.ups, 0);
	ck_assert_uint_gt(
		count(&f->side, "chestnuthinge_peer_auth_failures_total", ""),
		1);
	stop(f);
}
END_TEST

START_TEST(other_name_is_refused)
{
	fixture_t *f = start("key", "s2");

	run_for(f, SILENT_MS);
	ck_assert_int_eq(f->entry.ups, 0);
	ck_assert_int_eq(f->side.ups, 0);
	stop(f);
}
END_TEST

START_TEST(silent_connection_is_replaced)
{
	fixture_t *f = start("key", "s1");

	run_until_up(f, 1);
	f->pipes[0].hole = true;
	run_until_up(f, 2);
	ck_assert_int_eq(f->entry.downs, 1);
	ck_assert_int_eq(f->side.downs, 1);
	send_chunk(&f->entry, 9, str_of("a"));
	run_for(f, 50);
	ck_assert_uint_eq(f->side.last_seq, 9);
	stop(f);
}
END_TEST

/* Bytes that came during a pause of one's own lie unread: no silence. */
START_TEST(own_pause_is_not_silence)
{
	fixture_t *f = start("key", "s1");

	run_until_up(f, 1);
	g_usleep(SILENT_MS * 3000UL);
	run_for(f, SILENT_MS);
	ck_assert_int_eq(f->entry.downs, 0);
	ck_assert_int_eq(f->side.downs, 0);
	stop(f);
}
END_TEST

/* Frames that lie unread after a long turn of the loop: no silence. */
START_TEST(long_turn_is_not_silence)
{
	fixture_t *f = start_silent("key", "s1", LONG_SILENT_MS);
	uv_stream_t *from_side = (uv_stream_t *)&f->pipes[0].end[1];

	run_until_up(f, 1);
	uv_read_stop(from_side);
	run_for(f, HELD_MS);
	uv_read_start(from_side, on_alloc, on_pipe_bytes);
	uv_run(&f->loop, UV_RUN_NOWAIT);
	g_usleep(BUSY_MS * 1000UL);
	run_for(f, BUSY_MS);
	ck_assert_int_eq(f->entry.downs, 0);
	ck_assert_int_eq(f->side.downs, 0);
	stop(f);
}
END_TEST

START_TEST(changed_address_is_taken)
{
	fixture_t *f = start("key", NULL);
	addr_t nobody;

	free_port(&nobody);
	peers_connect(f->entry.ps, "s1", &nobody);
	run_for(f, SILENT_MS);
	ck_assert_int_eq(f->entry.ups, 0);
	peers_connect(f->entry.ps, "s1", &f->side_at);
	run_until_up(f, 1);
	peers_connect(f->entry.ps, "s1", &f->side_at);
	run_for(f, SILENT_MS);
	ck_assert_int_eq(f->entry.downs, 0);
	stop(f);
}
END_TEST

START_TEST(forgotten_peer_keeps_its_connection)
{
	fixture_t *f = start("key", "s1");

	run_until_up(f, 1);
	peers_forget(f->entry.ps, "s1");
	run_for(f, SILENT_MS * 2L);
	ck_assert_int_eq(f->entry.downs, 0);
	peers_connect(f->entry.ps, "s1", &f->pipe_at);
	run_for(f, SILENT_MS);
	ck_assert_int_eq(f->entry.downs, 0);
	peers_forget(f->entry.ps, "s1");
	f->pipes[0].hole = true;
	run_for(f, SILENT_MS * 3L);
	ck_assert_int_eq(f->entry.ups, 1);
	ck_assert_int_eq(f->entry.downs, 1);
	stop(f);
}
END_TEST

START_TEST(new_connection_of_an_incarnation_replaces_the_old)
{
	fixture_t *f = start("key", "s1");
	node_t twin = { 0 };

	run_until_up(f, 1);
	node_start(&twin, &f->loop, ROLE_ENTRY, 11, "key", SILENT_MS);
	peers_connect(twin.ps, "s1", &f->side_at);
	run_for(f, 10);
	peers_forget(f->entry.ps, "s1");
	run_for(f, SILENT_MS);
	ck_assert_int_ge(f->side.ups, 2);
	ck_assert_int_eq(f->side.ups - f->side.downs, 1);
	ck_assert_int_eq(f->entry.ups, f->entry.downs);
	peers_close(twin.ps, NULL, NULL);
	stop(f);
	counters_free(twin.counters);
}
END_TEST

START_TEST(peer_that_does_not_read_is_closed)
{
	fixture_t *f = start("key", "s1");
	char data[8 << 10] = { 0 };

	run_until_up(f, 1);
	for (int i = 0; i <= QUEUE_MAX / (int)sizeof(data); i++)
		send_chunk(&f->entry, i, (str_t){ data, sizeof(data) });
	ck_assert_int_eq(f->entry.downs, 0);
	run_for(f, 10);
	ck_assert_int_eq(f->entry.downs, 1);
	ck_assert_int_eq(f->side.msgs, 0);
	stop(f);
}
END_TEST

START_TEST(large_frame_is_bounded_after_the_handshake)
{
	fixture_t *f = start("key", "s1");
	char data[33 << 10] = { 0 };

	run_until_up(f, 1);
	send_chunk(&f->entry, 1, (str_t){ data, 31 << 10 });
	run_for(f, 100);
	ck_assert_int_eq(f->side.msgs, 1);
	send_chunk(&f->entry, 2, (str_t){ data, sizeof(data) });
	run_for(f, 100);
	ck_assert_int_eq(f->side.msgs, 1);
	ck_assert_int_eq(f->side.downs, 1);
	stop(f);
}
END_TEST

typedef struct raw_case {
	const char *name;
	const char *bytes;
	size_t n;
	const char *code;
} raw_case_t;

static const raw_case_t raw_cases[] = {
	{ "frame larger than a greeting", "\x00\x00\x20\x00", 4,
	  "frame-too-large" },
	{ "frame of 4 GiB", "\xff\xff\xff\xff", 4, "frame-too-large" },
	{ "not msgpack", "\x00\x00\x00\x01\x01", 5, "bad-field" },
	{ "wrong version", "\x00\x00\x00\x03\x92\x09\x03", 7, "wrong-version" },
	{ "message before the hello", "\x00\x00\x00\x04\x93\x01\x03\x05", 8,
	  "unknown-type" },
	{ "HTTP", "GET / HTTP/1.1\r\n\r\n", 18, "frame-too-large" },
	{ "nothing", "", 0, NULL },
};

typedef struct raw {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	bool closed;
} raw_t;

static void on_raw_bytes(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	raw_t *r = s->data;

	(void)buf;
	if (n < 0)
		r->closed = true;
}

static void on_raw_open(uv_connect_t *req, int status)
{
	raw_t *r = req->data;

	if (status == 0)
		uv_read_start((uv_stream_t *)&r->tcp, on_alloc, on_raw_bytes);
}

static void raw_open(raw_t *r, fixture_t *f)
{
	struct sockaddr_in sa;

	memset(r, 0, sizeof(*r));
	uv_ip4_addr(f->side_at.ip, f->side_at.port, &sa);
	uv_tcp_init(&f->loop, &r->tcp);
	r->tcp.data = r;
	r->connecting.data = r;
	uv_tcp_connect(&r->connecting, &r->tcp, (struct sockaddr *)&sa,
		       on_raw_open);
}

START_TEST(garbage_is_closed_and_counted)
{
	const raw_case_t *c = &raw_cases[_i];
	fixture_t *f = start("key", NULL);
	char labels[64];
	uv_buf_t buf;
	raw_t r;

	raw_open(&r, f);
	run_for(f, 100);
	buf = uv_buf_init((char *)c->bytes, c->n);
	if (c->n > 0)
		ck_assert_int_eq(uv_try_write((uv_stream_t *)&r.tcp, &buf, 1),
				 c->n);
	run_for(f, c->n > 0 ? SILENT_MS / 2 : SILENT_MS * 2L);
	ck_assert_msg(r.closed, "%s", c->name);
	if (c->code) {
		g_snprintf(labels, sizeof(labels), "code=\"%s\"", c->code);
		ck_assert_msg(count(&f->side,
				    "chestnuthinge_peer_malformed_total",
				    labels) == 1,
			      "%s", c->name);
	}
	uv_close((uv_handle_t *)&r.tcp, NULL);
	stop(f);
}
END_TEST

START_TEST(greetings_are_bounded)
{
	fixture_t *f = start("key", NULL);
	raw_t raws[80];
	int closed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(raws); i++)
		raw_open(&raws[i], f);
	run_for(f, SILENT_MS / 2);
	for (size_t i = 0; i < G_N_ELEMENTS(raws); i++) {
		closed += raws[i].closed;
		uv_close((uv_handle_t *)&raws[i].tcp, NULL);
	}
	ck_assert_int_eq(closed, 16);
	ck_assert(!raws[79].closed);
	stop(f);
}
END_TEST

START_TEST(busy_port_is_told)
{
	fixture_t *f = start("key", NULL);

	ck_assert_int_eq(peers_listen(f->entry.ps, &f->side_at),
			 CODE_UNREACHABLE);
	stop(f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peers");
	TCase *t = tcase_create("all");
	SRunner *run = srunner_create(s);
	int failed;

	tcase_add_test(t, right_key_is_up_and_messages_pass);
	tcase_add_test(t, every_handshake_with_the_key_passes);
	tcase_add_test(t, wrong_key_is_refused_and_counted);
	tcase_add_test(t, other_name_is_refused);
	tcase_add_test(t, silent_connection_is_replaced);
	tcase_add_test(t, own_pause_is_not_silence);
	tcase_add_test(t, long_turn_is_not_silence);
	tcase_add_test(t, changed_address_is_taken);
	tcase_add_test(t, forgotten_peer_keeps_its_connection);
	tcase_add_test(t, new_connection_of_an_incarnation_replaces_the_old);
	tcase_add_test(t, peer_that_does_not_read_is_closed);
	tcase_add_test(t, large_frame_is_bounded_after_the_handshake);
	tcase_add_loop_test(t, garbage_is_closed_and_counted, 0,
			    G_N_ELEMENTS(raw_cases));
	tcase_add_test(t, greetings_are_bounded);
	tcase_add_test(t, busy_port_is_told);
	suite_add_tcase(s, t);
	log_open(2, LOG_ERROR, false);
	srunner_run_all(run, CK_NORMAL);
	failed = srunner_ntests_failed(run);
	srunner_free(run);
	return failed ? 1 : 0;
}
