/* soak: runs the daemons under faults from a seed and checks what is seen. */
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <signal.h>
#include <unistd.h>
#include "fns.h"

enum {
	TICK_MS = 10,
	SETTLE_MS = 3000,  /* before the first fault */
	RECOVER_MS = 9000, /* from the last fault to the calm that is judged:
			      a stopping daemon's grace and a fresh start */
	JUDGED_MS = 2500,
	CALM_GOOD_PERCENT = 95, /* of the requests of the calm end */
	SHOWN = 20,		/* violations told in full */
	GRACE_MS = 3000,	/* of the daemons */
	LONG_GRACE_MS = 8000,	/* the same with planned stops only */
	NETS = 250, /* loopback networks, so that soaks don't meet on ports */
};

typedef struct options {
	gint seed;
	gint seconds;
	gint edges;
	gint servers;
	gint callers;
	gboolean pauses;
	gboolean stops;
	gboolean words;
	gboolean rest;
	gboolean leave;
	gboolean drills;
	gboolean evacuate;
	gboolean replace;
	gint poison;
	gint repeats;
	gboolean verbose;
	char *dir;
	char *daemon;
} options_t;

static options_t opt = {
	.seed = 1, .seconds = 10, .edges = 3, .servers = 6, .callers = 24
};

/* What became of the request; made when it is new. */
fate_t *fate_get(soak_t *s, const char *id)
{
	fate_t *f = g_hash_table_lookup(s->fates, id);

	if (f)
		return f;
	f = g_new0(fate_t, 1);
	g_hash_table_insert(s->fates, g_strdup(id), f);
	return f;
}

/* A promise was broken. */
void violation(soak_t *s, const char *rule, const char *fmt, ...)
{
	va_list ap;

	if (++s->violations > SHOWN)
		return;
	printf("violation at %" PRId64 " ms: %s: ", clock_now() - s->started,
	       rule);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

/* Tells what is done to the system. */
void soak_note(soak_t *s, const char *fmt, ...)
{
	va_list ap;

	if (!opt.verbose)
		return;
	printf("%6" PRId64 " ms: ", clock_now() - s->started);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static void beat_all(soak_t *s, ms_t now)
{
	static ms_t next;

	if (now < next)
		return;
	next = now + HEARTBEAT_MS;
	for (unsigned int i = 0; i < s->nservers; i++)
		server_beat(&s->servers[i]);
}

static void finish(soak_t *s)
{
	uv_stop(&s->loop);
	uv_close((uv_handle_t *)&s->tick, NULL);
}

static void on_tick(uv_timer_t *t)
{
	soak_t *s = t->data;
	ms_t now = clock_now();

	beat_all(s, now);
	procs_tick(s, now);
	for (unsigned int i = 0; i < s->nservers; i++)
		server_tick(&s->servers[i], now);
	if (!s->ended)
		fault_tick(s, now);
	for (unsigned int i = 0; i < s->ncallers && !s->ended; i++)
		caller_look(&s->callers[i], now);
	if (now >= s->end_at && !s->ended) {
		s->ended = true;
		callers_stop(s);
	}
	if (s->ended && procs_stop(s))
		finish(s);
}

static void parse(int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "Seed", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds,
		  "Time with faults", "S" },
		{ "edges", 0, 0, G_OPTION_ARG_INT, &opt.edges, "Edge hosts",
		  "N" },
		{ "servers", 0, 0, G_OPTION_ARG_INT, &opt.servers,
		  "Backend servers, a third of them plain", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &opt.callers, "Callers",
		  "N" },
		{ "poison", 0, 0, G_OPTION_ARG_INT, &opt.poison,
		  "Callers whose prompts end servers", "N" },
		{ "repeats", 0, 0, G_OPTION_ARG_INT, &opt.repeats,
		  "Callers who repeat a request that ends servers", "N" },
		{ "dir", 0, 0, G_OPTION_ARG_STRING, &opt.dir,
		  "For settings and logs", "DIR" },
		{ "daemon", 0, 0, G_OPTION_ARG_STRING, &opt.daemon,
		  "Program to run", "FILE" },
		{ "pauses", 0, 0, G_OPTION_ARG_NONE, &opt.pauses,
		  "Servers that pause, and no other fault", NULL },
		{ "words", 0, 0, G_OPTION_ARG_NONE, &opt.words,
		  "Servers that name limits, leave or pause, and no other "
		  "fault",
		  NULL },
		{ "rest", 0, 0, G_OPTION_ARG_NONE, &opt.rest,
		  "Servers that want nothing for a while, all of them at times",
		  NULL },
		{ "leave", 0, 0, G_OPTION_ARG_NONE, &opt.leave,
		  "Servers that leave, all of them at times", NULL },
		{ "drills", 0, 0, G_OPTION_ARG_NONE, &opt.drills,
		  "A store that comes back from copies, beside other faults",
		  NULL },
		{ "evacuate", 0, 0, G_OPTION_ARG_NONE, &opt.evacuate,
		  "A data centre that is evacuated or comes back cold, and "
		  "killed edges",
		  NULL },
		{ "replace", 0, 0, G_OPTION_ARG_NONE, &opt.replace,
		  "Orders of rollouts that replace one another as they end, "
		  "with all edges killed",
		  NULL },
		{ "stops", 0, 0, G_OPTION_ARG_NONE, &opt.stops,
		  "Only planned stops of edges, under long requests", NULL },
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &opt.verbose,
		  "Tell each fault", NULL },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) || !opt.dir ||
	    !opt.daemon) {
		fprintf(stderr, "soak: %s\n",
			err ? err->message : "--dir and --daemon are needed");
		exit(2);
	}
	g_option_context_free(ctx);
}

static void start(soak_t *s)
{
	s->rand = g_rand_new_with_seed((guint32)opt.seed);
	s->faults = g_rand_new_with_seed((guint32)opt.seed + 1);
	s->poison.rand = g_rand_new_with_seed((guint32)opt.seed + 2);
	s->poison.callers = (unsigned int)CLAMP(opt.poison, 0, CALLERS_MAX);
	s->poison.repeats = (unsigned int)CLAMP(opt.repeats, 0, CALLERS_MAX);
	s->floods = g_rand_new_with_seed((guint32)opt.seed + 3);
	s->sheds = g_rand_new_with_seed((guint32)opt.seed + 4);
	if (opt.drills)
		s->drills = g_rand_new_with_seed((guint32)opt.seed + 5);
	s->daemon = opt.daemon;
	s->net = 1 + (unsigned int)getpid() % NETS;
	s->pauses_only = opt.pauses;
	s->words_only = opt.words;
	s->evacuates = opt.evacuate;
	s->replaces = opt.replace;
	if (opt.rest)
		s->together = SAID_PAUSE;
	if (opt.leave)
		s->together = SAID_LEAVING;
	s->dir = opt.dir;
	s->stops = opt.stops;
	s->grace = opt.stops ? LONG_GRACE_MS : GRACE_MS;
	s->timeout = opt.stops ? LONG_TIMEOUT_MS : TIMEOUT_MS;
	s->nedges = (unsigned int)CLAMP(opt.edges, 1, EDGES_MAX);
	s->nservers = (unsigned int)CLAMP(opt.servers, 3, SERVERS_MAX);
	s->fates = g_hash_table_new(g_str_hash, g_str_equal);
	s->limited_sent = g_array_new(FALSE, FALSE, sizeof(ms_t));
	s->started = clock_now();
	s->next_fault = s->started + SETTLE_MS;
	s->faults_end = s->next_fault + (ms_t)opt.seconds * MS_PER_S;
	s->calm_at = s->faults_end + RECOVER_MS;
	store_start(&s->store, s);
	s->store.on_decision = move_decided;
	config_write(s);
	for (unsigned int i = 0; i < s->nservers; i++)
		server_start(&s->servers[i], s, i, i % 3 != 2);
	procs_start(s);
	callers_start(s, (unsigned int)CLAMP(opt.callers, 1, CALLERS_MAX));
	s->end_at = s->calm_at + JUDGED_MS;
}

/* Of the requests of the calm end, nearly all must be served. */
static void judge_end(soak_t *s)
{
	if (s->calm_done == 0 ||
	    s->calm_good * 100 < s->calm_done * CALM_GOOD_PERCENT)
		violation(s, "recover", "%u of %u served after the faults",
			  s->calm_good, s->calm_done);
}

static unsigned int sum_of(const unsigned int *counts)
{
	unsigned int sum = 0;

	for (int i = 0; i < BANES; i++)
		sum += counts[i];
	return sum;
}

static void report(const soak_t *s)
{
	printf("soak seed=%d faults=%u safe=%u/%u once=%u/%u stream=%u/%u "
	       "calm=%u/%u poison=%u/%u memory_mb=%zu "
	       "violations=%u\n",
	       opt.seed, s->nfaults, s->good[KIND_SAFE], s->done[KIND_SAFE],
	       s->good[KIND_ONCE], s->done[KIND_ONCE], s->good[KIND_STREAM],
	       s->done[KIND_STREAM], s->calm_good, s->calm_done,
	       sum_of(s->poison.reached), sum_of(s->poison.crashes),
	       s->memory_most >> 20, s->violations);
}

int main(int argc, char **argv)
{
	static soak_t s;

	parse(argc, argv);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&s.loop);
	log_open(2, LOG_ERROR, false);
	start(&s);
	uv_timer_init(&s.loop, &s.tick);
	s.tick.data = &s;
	uv_timer_start(&s.tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	judge_end(&s);
	move_judge_end(&s);
	report(&s);
	return s.violations > 0;
}
