/*
 * Idle connections of callers: they are told how long they may wait, and no
 * request that comes within that time goes unanswered.
 */
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "adapter.h"
#include "net/fns.h"
#include "world.h"

enum {
	HEADER_MAX = 1024, /* bytes */
	TURNS = 50,	   /* of the event loop, more than any exchange takes */
	ANSWER_MAX = 1024, /* bytes */
	IDLE_MS = 15000,   /* the usual idle timeout */
	SHORT_IDLE_MS = 10, /* of a later configuration */
};

static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/* A host in this process and a caller's connection to it. */
typedef struct host {
	world_t w;
	uv_loop_t loop;
	forward_t *f;
	int caller;
	char answer[ANSWER_MAX]; /* what the caller has received */
} host_t;

static void turn(host_t *h)
{
	for (int i = 0; i < TURNS; i++)
		uv_run(&h->loop, UV_RUN_NOWAIT);
}

static void configure(host_t *h, uint64_t version, ms_t idle_timeout)
{
	desired_t *d = desired_new(version);

	d->limits.header_max = HEADER_MAX;
	d->limits.header_timeout = IDLE_MS;
	d->limits.idle_timeout = idle_timeout;
	edge_configure(h->w.edge, d);
}

/* Returns a port that was free a moment ago. */
static uint16_t free_port(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t n = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, n), 0);
	getsockname(fd, (struct sockaddr *)&sa, &n);
	close(fd);
	return ntohs(sa.sin_port);
}

static void host_open(host_t *h, ms_t idle_timeout)
{
	forward_conf_t conf = { .connections_max = 10 };
	struct sockaddr_storage sa;

	memset(h, 0, sizeof(*h));
	world_init(&h->w, 0.2);
	uv_loop_init(&h->loop);
	g_strlcpy(conf.listen_addr.ip, "127.0.0.1",
		  sizeof(conf.listen_addr.ip));
	conf.listen_addr.port = free_port();
	h->f = forward_new(&h->loop, &conf, h->w.edge, &adapter_codec,
			   h->w.counters);
	ck_assert_int_eq(forward_listen(h->f), CODE_OK);
	configure(h, 1, idle_timeout);
	h->caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(tcp_sockaddr(&conf.listen_addr, &sa), 0);
	ck_assert_int_eq(connect(h->caller, (struct sockaddr *)&sa,
				 sizeof(struct sockaddr_in)),
			 0);
	turn(h);
}

static void host_close(host_t *h)
{
	close(h->caller);
	forward_close(h->f);
	uv_run(&h->loop, UV_RUN_DEFAULT);
	forward_free(h->f);
	uv_loop_close(&h->loop);
	world_clear(&h->w);
}

static void ask(const host_t *h)
{
	ck_assert_int_eq(send(h->caller, request, strlen(request), 0),
			 (int)strlen(request));
}

/* Reads what has come; returns whether the connection has ended instead. */
static bool has_ended(host_t *h)
{
	ssize_t n =
		recv(h->caller, h->answer, sizeof(h->answer) - 1, MSG_DONTWAIT);

	h->answer[MAX(n, 0)] = '\0';
	return n == 0;
}

static bool is_answered(host_t *h)
{
	turn(h);
	return !has_ended(h) && g_str_has_prefix(h->answer, "HTTP/1.1 404 ");
}

/* The host was busy while the idle timeout passed and the request came. */
START_TEST(test_request_unread_at_idle_timeout)
{
	host_t h;

	host_open(&h, IDLE_MS);
	ask(&h);
	forward_tick(h.f, clock_now() + 2 * (ms_t)IDLE_MS);
	ck_assert(is_answered(&h));
	host_close(&h);
}
END_TEST

/* A caller that sees the end late sends a request that nobody answers. */
START_TEST(test_idle_timeout_seen_at_once)
{
	host_t h;

	host_open(&h, IDLE_MS);
	ck_assert(!has_ended(&h));
	forward_tick(h.f, clock_now() + 2 * (ms_t)IDLE_MS);
	ck_assert(has_ended(&h));
	host_close(&h);
}
END_TEST

/* An idle timeout and what callers are told; NULL: nothing. */
typedef struct told_case {
	ms_t idle_timeout;
	const char *field;
} told_case_t;

static const told_case_t told_cases[] = {
	{ 15000, "\r\nKeep-Alive: timeout=12\r\n" },
	{ 5000, "\r\nKeep-Alive: timeout=4\r\n" },
	{ 1999, "\r\nKeep-Alive: timeout=1\r\n" },
	{ 1000, NULL },
	{ 0, NULL },
};

START_TEST(test_callers_are_told_the_idle_timeout)
{
	const told_case_t *c = &told_cases[_i];
	host_t h;

	host_open(&h, c->idle_timeout);
	ask(&h);
	ck_assert(is_answered(&h));
	if (c->field)
		ck_assert_ptr_nonnull(strstr(h.answer, c->field));
	else
		ck_assert_ptr_null(strstr(h.answer, "Keep-Alive"));
	host_close(&h);
}
END_TEST

/* A shorter timeout binds only connections that were told of it. */
START_TEST(test_shorter_idle_timeout_later)
{
	host_t h;

	host_open(&h, IDLE_MS);
	ask(&h);
	ck_assert(is_answered(&h));
	configure(&h, 2, SHORT_IDLE_MS);
	forward_tick(h.f, clock_now() + IDLE_MS / 2);
	turn(&h);
	ask(&h);
	ck_assert(is_answered(&h));
	forward_tick(h.f, clock_now() + IDLE_MS / 2);
	ck_assert(has_ended(&h));
	host_close(&h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("idle");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_test(t, test_request_unread_at_idle_timeout);
	tcase_add_test(t, test_idle_timeout_seen_at_once);
	tcase_add_loop_test(t, test_callers_are_told_the_idle_timeout, 0,
			    G_N_ELEMENTS(told_cases));
	tcase_add_test(t, test_shorter_idle_timeout_later);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
