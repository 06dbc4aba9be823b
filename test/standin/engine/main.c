/* Options and start of the engine stand-in. */
#include <stdlib.h>
#include "fns.h"

/* Reads the options; exits on a wrong one. */
static void parse_options(engine_conf_t *c, int argc, char **argv)
{
	GOptionEntry options[] = {
		{ "port", 0, 0, G_OPTION_ARG_INT, &c->port, "0: any", "N" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &c->name, "Name", "S" },
		{ "speed", 0, 0, G_OPTION_ARG_INT, &c->speed,
		  "Output tokens a second", "N" },
		{ "prefill", 0, 0, G_OPTION_ARG_INT, &c->prefill,
		  "Prompt tokens a second", "N" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &c->slots, "Batch size",
		  "N" },
		{ "cache", 0, 0, G_OPTION_ARG_INT, &c->cache_blocks,
		  "Blocks of 64 tokens in the prefix cache", "N" },
		{ "lag", 0, 0, G_OPTION_ARG_INT, &c->lag_ms,
		  "Lag of load reports", "MS" },
		{ "load-ms", 0, 0, G_OPTION_ARG_INT, &c->load_ms,
		  "Time to load a version", "MS" },
		{ "versions", 0, 0, G_OPTION_ARG_STRING, &c->versions,
		  "Versions loaded at start", "V,V" },
		{ "events", 0, 0, G_OPTION_ARG_STRING, &c->events,
		  "Event log; standard output if none", "FILE" },
		{ "check-fence", 0, 0, G_OPTION_ARG_NONE, &c->check_fence,
		  "Refuse orders with an old fence", NULL },
		{ 0 },
	};
	GError *err = NULL;
	GOptionContext *ctx = g_option_context_new(NULL);
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		exit(2);
	}
	g_option_context_free(ctx);
}

/* Publishes load and cache events that have become old enough. */
static void on_lag(uv_timer_t *t)
{
	load_publish(t->data);
}

/* Sets up the state of an engine without work. */
static void init(engine_t *e)
{
	e->faults = (faults_t){ .slow = 1, .bad_rate = 1, .bad_factor = 5 };
	list_init(&e->queued);
	list_init(&e->running);
	list_init(&e->finished);
	e->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	e->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->rand = g_rand_new_with_seed(1);
	e->versions = g_ptr_array_new_with_free_func(g_free);
	char **names = g_strsplit(e->conf.versions, ",", -1);
	for (char **p = names; *p != NULL; p++)
		g_ptr_array_add(e->versions, g_strdup(*p));
	g_strfreev(names);
	cache_init(&e->cache, (size_t)e->conf.cache_blocks);
}

/* Runs the engine until a signal. */
int main(int argc, char **argv)
{
	static engine_t e;
	e.conf = (engine_conf_t){
		.name = "engine",
		.speed = 100,
		.prefill = 10000,
		.slots = 8,
		.cache_blocks = 256,
		.lag_ms = 200,
		.load_ms = 200,
		.versions = "v1",
	};
	parse_options(&e.conf, argc, argv);
	events_open(e.conf.events);
	init(&e);
	uv_loop_init(&e.loop);
	uv_timer_init(&e.loop, &e.step_timer);
	e.step_timer.data = &e;
	uv_timer_init(&e.loop, &e.lag_timer);
	e.lag_timer.data = &e;
	uint64_t lag = (uint64_t)MAX(e.conf.lag_ms, 1);
	uv_timer_start(&e.lag_timer, on_lag, lag, lag);
	stand_exit_on_signal(&e.loop);
	hs_start(&e.http, &e.loop, e.conf.port, api_handle, &e);
	return uv_run(&e.loop, UV_RUN_DEFAULT);
}
