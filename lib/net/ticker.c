/* The periodic work of a process, on a timer of its event loop. */
#include "net/fns.h"

static void on_timer(uv_timer_t *timer)
{
	ticker_t *t = timer->data;
	ms_t now = clock_now();

	hist_add(t->gap_ms, now - t->tick.last);
	if (tick_runs(&t->tick, now))
		t->fn(t->ctx, now);
	else
		t->skipped->value++;
}

/*
 * Calls fn each period ms, except for late ticks that are skipped (tick_runs).
 * The metrics are PREFIX_tick_gap_ms and PREFIX_ticks_skipped_total.
 */
void ticker_start(ticker_t *t, uv_loop_t *loop, ms_t period,
		  counters_t *counters, const char *prefix,
		  void (*fn)(void *ctx, ms_t now), void *ctx)
{
	char *gap = g_strconcat(prefix, "_tick_gap_ms", NULL);
	char *skipped = g_strconcat(prefix, "_ticks_skipped_total", NULL);

	t->fn = fn;
	t->ctx = ctx;
	t->gap_ms = hist_new(counters, gap, NULL);
	t->skipped = counter_get(counters, skipped, NULL);
	g_free(gap);
	g_free(skipped);
	tick_init(&t->tick, period, clock_now());
	uv_timer_init(loop, &t->timer);
	t->timer.data = t;
	uv_timer_start(&t->timer, on_timer, 0, (uint64_t)period);
}

/* Ends the calls; the loop has to run once more before t is freed. */
void ticker_stop(ticker_t *t)
{
	uv_close((uv_handle_t *)&t->timer, NULL);
	hist_free(t->gap_ms);
	t->gap_ms = NULL;
}
