/* Faults, in series and overlapping, all from one seed. */
#include <signal.h>
#include <string.h>
#include "fns.h"

enum {
	FAULT_EVERY_MS = 700, /* between two faults, at most */
	STOP_MS = 1200,	      /* SIGSTOP, at most */
	DRILL_PERCENT = 20,   /* of faults that come with a drill */
	COPY_AGE_MS = 6000,   /* of a store's copy, at most */
	FLOOD_PERCENT = 15,   /* of faults that come with one of those */
	SHED_PERCENT = 15,    /* the same */
	PAUSE_MIN_MS = 1000,  /* of a server that goes on afterwards */
	PAUSE_MAX_MS = 1500,
	ROUTES_MORE = 5,      /* routes beside the three that are used */
	TERM_EVERY_MS = 3000, /* between two planned stops, at least */
};

/* Writes the next configuration: the routes in use, and some others. */
void config_write(soak_t *s)
{
	static const char *const kinds[KINDS] = { "safe", "unsafe", "stream" };
	static const char *const names[KINDS] = { "safe", "once", "stream" };
	GString *t = g_string_new(NULL);
	int more = g_rand_int_range(s->faults, 0, ROUTES_MORE);

	s->version += 1 + (uint64_t)g_rand_int_range(s->faults, 0, 3);
	g_string_printf(t, "{\"version\":%d,\"routes\":[", (int)s->version);
	for (int i = 0; i < KINDS; i++)
		g_string_append_printf(
			t,
			"{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":"
			"\"/a/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
			"\"latency_target_ms\":200,\"gap_target_ms\":200,"
			"\"priority\":%d,\"attempts\":2,\"service\":\"%s\","
			"\"resumable\":true},",
			names[i], names[i], kinds[i], (int)s->timeout, i,
			i == KIND_STREAM ? "models" : "desk");
	for (int i = 0; i <= more; i++)
		g_string_append_printf(
			t,
			"%s{\"name\":\"m%d\",\"host\":\"m%d\",\"path_prefix\":"
			"\"/\",\"kind\":\"safe\",\"service\":\"desk\"}",
			i ? "," : "", i, i);
	g_string_append_printf(t,
			       "],\"services\":[{\"name\":\"models\","
			       "\"engine\":{},\"cold_start_s\":%g,"
			       "\"cold_per_s\":%d},",
			       (double)COLD_MS / MS_PER_S,
			       s->evacuates ? COLD_PER_S : 0);
	g_string_append(t, "{\"name\":\"desk\"}],\"tenants\":[{\"name\":"
			   "\"school\",\"api_keys\":[\"key\"]},{\"name\":"
			   "\"guild\",\"api_keys\":[\"guild\"],");
	g_string_append_printf(t, "\"rate_per_s\":%d,\"burst\":%d}]}",
			       LIMIT_PER_S, LIMIT_PER_S);
	store_put(&s->store, "keyed.op", "config", t->str);
	g_string_free(t, TRUE);
}

static proc_t *any_proc(soak_t *s)
{
	return &s->procs[g_rand_int_range(s->faults, 0, (gint32)s->nprocs)];
}

static server_t *any_server(soak_t *s)
{
	return &s->servers[g_rand_int_range(s->faults, 0, (gint32)s->nservers)];
}

static void fault_kill(soak_t *s)
{
	proc_t *p = any_proc(s);

	soak_note(s, "kill %s", p->name);
	proc_signal(p, SIGKILL);
}

/* Kills all daemons. */
void fault_kill_all(soak_t *s)
{
	soak_note(s, "kill all");
	for (unsigned int i = 0; i < s->nprocs; i++)
		proc_signal(&s->procs[i], SIGKILL);
}

static void fault_term(soak_t *s)
{
	proc_t *p = any_proc(s);

	soak_note(s, "term %s", p->name);
	if (!p->stopped_until)
		proc_signal(p, SIGTERM);
}

static void fault_hup(soak_t *s)
{
	proc_t *p = any_proc(s);

	soak_note(s, "hup %s", p->name);
	proc_signal(p, SIGHUP);
}

static void fault_stop(soak_t *s)
{
	proc_t *p = any_proc(s);

	if (!p->running || p->stopping || p->stopped_until)
		return;
	soak_note(s, "stop %s", p->name);
	p->stopped_until =
		clock_now() + 100 + g_rand_int_range(s->faults, 0, STOP_MS);
	proc_signal(p, SIGSTOP);
}

static void fault_store(soak_t *s)
{
	store_state_t state = (store_state_t)g_rand_int_range(s->faults, 0, 4);

	soak_note(s, "store state %d", state);
	store_set(&s->store, state);
}

static void fault_compact(soak_t *s)
{
	soak_note(s, "store forgets");
	store_compact(&s->store);
}

static void fault_config(soak_t *s)
{
	config_write(s);
	soak_note(s, "config %d", (int)s->version);
}

static void fault_crash(soak_t *s)
{
	server_t *v = any_server(s);

	soak_note(s, "crash %s", v->id);
	server_crash(v);
}

static void fault_leave(soak_t *s)
{
	server_t *v = any_server(s);

	soak_note(s, "leave %s", v->id);
	server_leave(v);
}

static void fault_return(soak_t *s)
{
	for (unsigned int i = 0; i < s->nservers; i++) {
		server_t *v = &s->servers[i];

		if (v->up && !v->leaving)
			continue;
		server_return(v);
		soak_note(s, "return %s", v->id);
	}
}

static void fault_server(soak_t *s)
{
	server_t *v = any_server(s);

	v->mute = g_rand_double(s->faults) < 0.2;
	v->cut = g_rand_double(s->faults) * 0.2;
	v->fails = g_rand_double(s->faults) * 0.2;
	v->extra = g_rand_double(s->faults) * 0.1;
	v->unframed = g_rand_double(s->faults) * 0.2;
	soak_note(s, "server %s mute=%d cut=%.2f fails=%.2f extra=%.2f", v->id,
		  v->mute, v->cut, v->fails, v->extra);
}

static void fault_silence(soak_t *s)
{
	server_t *v = any_server(s);

	soak_note(s, "connections of %s go silent", v->id);
	for (list_t *p = v->at.conns.next; v->up && p != &v->at.conns;
	     p = p->next)
		list_entry(p, sconn_t, link)->mute = true;
}

/* A server answers some requests without end, until it is calm. */
static void fault_flood(soak_t *s)
{
	gint32 i = g_rand_int_range(s->floods, 0, (gint32)s->nservers);
	server_t *v = &s->servers[i];

	v->floods = g_rand_double(s->floods) * 0.2;
	soak_note(s, "server %s floods=%.2f", v->id, v->floods);
}

/* The store comes back from a copy that is some seconds old. */
static void fault_drill(soak_t *s)
{
	ms_t age = g_rand_int_range(s->drills, 0, COPY_AGE_MS);

	soak_note(s, "store restored from a copy of %d ms ago", (int)age);
	store_restore(&s->store, age);
}

/* A server turns requests away, some of them twice, until it is calm. */
static void fault_shed(soak_t *s)
{
	gint32 i = g_rand_int_range(s->sheds, 0, (gint32)s->nservers);
	server_t *v = &s->servers[i];

	v->sheds = g_rand_double(s->sheds) * 0.5;
	soak_note(s, "server %s sheds=%.2f", v->id, v->sheds);
}

/* Some servers pause at once, all of them at times. */
static void fault_pause(soak_t *s)
{
	int n = g_rand_int_range(s->faults, 1, (gint32)s->nservers + 1);

	for (int i = 0; i < n; i++) {
		server_t *v = any_server(s);
		ms_t length =
			g_rand_int_range(s->faults, PAUSE_MIN_MS, PAUSE_MAX_MS);

		soak_note(s, "server %s pauses for %d ms", v->id, (int)length);
		v->pause_until = clock_now() + length;
	}
}

static void (*const faults[])(soak_t *s) = {
	move_order,   fault_kill,   fault_kill_all, fault_term,
	fault_term,   fault_hup,    fault_stop,	    fault_stop,
	fault_store,  fault_store,  fault_compact,  fault_config,
	fault_config, fault_crash,  fault_leave,    fault_return,
	fault_return, fault_server, fault_server,   fault_silence,
};

/* Stops the edges in turn. */
static void next_planned_stop(soak_t *s, ms_t now)
{
	proc_t *p = &s->procs[s->next_stop++ % s->nedges];

	s->next_fault = now + TERM_EVERY_MS +
			g_rand_int_range(s->faults, 0, FAULT_EVERY_MS);
	if (!p->running || p->stopping)
		return;
	s->nfaults++;
	soak_note(s, "planned stop of %s", p->name);
	proc_signal(p, SIGTERM);
}

static void calm(soak_t *s, ms_t now)
{
	soak_note(s, "calm");
	store_set(&s->store, STORE_UP);
	evacuate_calm(s);
	for (unsigned int i = 0; i < s->nservers; i++)
		server_calm(&s->servers[i]);
	s->next_fault = 0;
}

/* Strikes when it is time to; ends all faults once it shall be calm. */
void fault_tick(soak_t *s, ms_t now)
{
	if (s->next_fault == 0 || now < s->next_fault)
		return;
	if (now >= s->faults_end) {
		calm(s, now);
		return;
	}
	if (s->stops) {
		next_planned_stop(s, now);
		return;
	}
	s->next_fault =
		now + 50 + g_rand_int_range(s->faults, 0, FAULT_EVERY_MS);
	s->nfaults++;
	if (s->replaces) {
		move_order(s);
		return;
	}
	if (s->evacuates) {
		evacuate_fault(s);
		return;
	}
	if (s->words_only) {
		words_fault(s);
		return;
	}
	if (s->together != SAID_NOTHING) {
		words_together(s);
		return;
	}
	if (s->pauses_only) {
		fault_pause(s);
		return;
	}
	faults[g_rand_int_range(s->faults, 0, G_N_ELEMENTS(faults))](s);
	if (g_rand_int_range(s->floods, 0, 100) < FLOOD_PERCENT)
		fault_flood(s);
	if (g_rand_int_range(s->sheds, 0, 100) < SHED_PERCENT)
		fault_shed(s);
	if (s->drills && g_rand_int_range(s->drills, 0, 100) < DRILL_PERCENT)
		fault_drill(s);
}
