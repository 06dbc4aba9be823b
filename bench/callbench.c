/*
 * callbench PORT PATH KEY COUNT CONCURRENCY: a bounded closed loop of GET calls
 * to one port on loopback. Prints the latencies in microseconds and the rate.
 */
#include <stdlib.h>
#include <time.h>
#include "net/fns.h"

enum { MICROS_PER_S = 1000000 };

typedef struct bench {
	uv_loop_t loop;
	httpc_t *http;
	httpc_call_t call;
	size_t count;
	size_t started;
	size_t ended;
	size_t failed;
	int64_t *micros; /* of each call */
} bench_t;

typedef struct one {
	bench_t *b;
	size_t n;
	int64_t start;
	int status;
} one_t;

static int64_t micros_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * MICROS_PER_S + ts.tv_nsec / 1000;
}

static void start(bench_t *b);

static void on_head(void *ctx, int status, str_t type)
{
	((one_t *)ctx)->status = status;
}

static void on_data(void *ctx, str_t data)
{
}

static void on_end(void *ctx, code_t code)
{
	one_t *o = ctx;
	bench_t *b = o->b;

	b->micros[o->n] = micros_now() - o->start;
	if (code != CODE_OK || o->status != 200)
		b->failed++;
	b->ended++;
	g_free(o);
	if (b->started < b->count)
		start(b);
	else if (b->ended == b->count)
		uv_stop(&b->loop);
}

static void start(bench_t *b)
{
	static const httpc_ops_t ops = { on_head, on_data, on_end };
	one_t *o = g_new0(one_t, 1);

	o->b = b;
	o->n = b->started++;
	o->start = micros_now();
	httpc_call(b->http, &b->call, &ops, o);
}

static int by_size(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void report(const bench_t *b, int64_t span)
{
	qsort(b->micros, b->count, sizeof(*b->micros), by_size);
	printf("p50_us %lld p99_us %lld per_s %lld failed %zu\n",
	       (long long)b->micros[b->count / 2],
	       (long long)b->micros[b->count * 99 / 100],
	       (long long)((int64_t)b->count * MICROS_PER_S / span), b->failed);
}

/* Runs the loop; exit code 1 if a call failed. */
int main(int argc, char **argv)
{
	bench_t b = { 0 };
	size_t at_once;
	int64_t began;

	if (argc != 6) {
		fprintf(stderr, "usage: callbench PORT PATH KEY COUNT "
				"CONCURRENCY\n");
		return 2;
	}
	uv_loop_init(&b.loop);
	b.http = httpc_new(&b.loop, counters_new());
	b.call.to = (addr_t){ "127.0.0.1", (uint16_t)atoi(argv[1]) };
	b.call.method = "GET";
	b.call.path = argv[2];
	b.call.headers =
		g_strdup_printf("Authorization: Bearer %s\r\n", argv[3]);
	b.count = strtoul(argv[4], NULL, 10);
	b.micros = g_new0(int64_t, b.count);
	at_once = strtoul(argv[5], NULL, 10);
	began = micros_now();
	while (b.started < at_once && b.started < b.count)
		start(&b);
	uv_run(&b.loop, UV_RUN_DEFAULT);
	report(&b, micros_now() - began);
	return b.failed ? 1 : 0;
}
