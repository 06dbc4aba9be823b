/*
 * What servers say of themselves in their answers, and the bounds on what
 * reaches them from edges that have passed such an answer on.
 */
#include <signal.h>
#include <string.h>
#include "fns.h"

enum {
	LIMIT_MS = 9000, /* a limit is named for so long */
	LIMIT_WINDOW_MS = 4000,
	LIMIT_MORE = 5,		/* requests in a window, beyond the limit */
	LIMIT_STABLE_MS = 3000, /* after the first word nothing is asked */
	TOLD_MS = 500,	   /* nor of an edge that was told later than this */
	LEAVING_MS = 5000, /* from the word to the end */
	LEAVING_BOUND_MS = 2000, /* requests of edges that were told */
	DOWN_MS = 500,
	TURNING_MS = 600,     /* requests are turned away for so long */
	PAUSE_SAID_MS = 2500, /* the time given with them */
	PAUSE_MORE = 2,	      /* requests of an edge within it */
	LAPSE_MIN_MS = 200,   /* of an entry, after a pause began */
	LAPSE_MAX_MS = 1500,
};

/* Which servers say something at once; or what else happens. */
enum {
	TOGETHER_ALL,
	TOGETHER_PLAIN,
	TOGETHER_STREAMS,
	TOGETHER_SECOND,
	TOGETHER_KILL,
	TOGETHERS,
};

static const double limit_per_s = 2;
/* What may come in a window, as a factor on the limit */
static const double limit_over = 1.5;

/* The edge that sent a request. */
static unsigned int edge_of(const soak_t *s, const char *id)
{
	const proc_t *p = fate_get((soak_t *)s, id)->to;

	return p ? (unsigned int)(p - s->procs) % EDGES_MAX : 0;
}

static void begin(server_t *v, said_t says)
{
	if (!v->up || v->word.says != SAID_NOTHING)
		return;
	if (v->word.arrivals)
		g_array_unref(v->word.arrivals);
	memset(&v->word, 0, sizeof(v->word));
	v->word.arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	v->word.says = says;
	v->word.from = clock_now();
	soak_note(v->s, "%s says %d", v->id, says);
}

/* A server that says nothing yet begins to. */
void words_fault(soak_t *s)
{
	server_t *v = &s->servers[g_rand_int_range(s->faults, 0,
						   (gint32)s->nservers)];

	begin(v, (said_t)g_rand_int_range(s->faults, SAID_LIMIT, SAIDS));
}

/* A server says what all do; its entry may lapse meanwhile. */
static void begin_together(server_t *v)
{
	ms_t after = g_rand_int_range(v->s->faults, LAPSE_MIN_MS, LAPSE_MAX_MS);

	begin(v, v->s->together);
	if (g_rand_boolean(v->s->faults))
		v->word.lapse_at = clock_now() + after;
}

/*
 * Servers want nothing for a while, or leave: all of them, those of one
 * service, every second one; or an edge is killed.
 */
void words_together(soak_t *s)
{
	int what = g_rand_int_range(s->faults, 0, TOGETHERS);
	int edge = g_rand_int_range(s->faults, 0, (gint32)s->nedges);

	if (what == TOGETHER_KILL) {
		soak_note(s, "kill %s", s->procs[edge].name);
		proc_signal(&s->procs[edge], SIGKILL);
		return;
	}
	for (unsigned int i = 0; i < s->nservers; i++) {
		server_t *v = &s->servers[i];

		if (what == TOGETHER_ALL ||
		    (what == TOGETHER_PLAIN && !v->stream) ||
		    (what == TOGETHER_STREAMS && v->stream) ||
		    (what == TOGETHER_SECOND && i % 2))
			begin_together(v);
	}
}

/* Ends what a server says, when it is time to. */
void words_tick(server_t *v, ms_t now)
{
	static const ms_t spans[SAIDS] = {
		[SAID_LIMIT] = LIMIT_MS,
		[SAID_LEAVING] = LEAVING_MS,
		[SAID_PAUSE] = TURNING_MS + PAUSE_SAID_MS,
	};
	bool leaves = v->word.says == SAID_LEAVING;

	if (v->word.lapse_at && now >= v->word.lapse_at) {
		v->word.lapse_at = 0;
		soak_note(v->s, "the entry of %s lapses", v->id);
		store_put(&v->s->store, "keyed.servers", v->id, NULL);
	}
	if (v->word.says == SAID_NOTHING ||
	    now < v->word.from + spans[v->word.says])
		return;
	v->word.says = SAID_NOTHING;
	if (leaves)
		server_fall(v, DOWN_MS, g_rand_boolean(v->s->faults));
}

/* Appends the fields of an answer to a request, and notes who is told. */
void words_put(server_t *v, const char *id, GString *out)
{
	ms_t *told = &v->word.told[edge_of(v->s, id)];

	if (v->word.says == SAID_LIMIT)
		g_string_append_printf(out, "Server-Limit: %.1f\r\n",
				       limit_per_s);
	else if (v->word.says == SAID_LEAVING)
		g_string_append(out, "Server-Leaving: 1\r\n");
	else
		return;
	if (!*told)
		*told = clock_now();
}

/* Whether a request is turned away; notes who is told. */
bool words_turn_away(server_t *v, const char *id)
{
	ms_t *told = &v->word.told[edge_of(v->s, id)];
	ms_t now = clock_now();

	if (v->word.says != SAID_PAUSE || now >= v->word.from + TURNING_MS)
		return false;
	if (!*told)
		*told = now;
	return true;
}

/* The fields with which a request is turned away; the caller frees them. */
char *words_turn_fields(const char *id)
{
	return g_strdup_printf("X-Not-Executed: 1\r\nX-Request-Id: "
			       "%s\r\nRetry-After: %.1f\r\n",
			       id, (double)PAUSE_SAID_MS / MS_PER_S);
}

static void check_limit(server_t *v, ms_t now)
{
	unsigned int most = (unsigned int)(limit_over * limit_per_s *
					   LIMIT_WINDOW_MS / MS_PER_S) +
			    LIMIT_MORE;
	unsigned int n = 0;

	for (guint i = 0; i < v->word.arrivals->len; i++) {
		const arrival_t *a =
			&g_array_index(v->word.arrivals, arrival_t, i);
		ms_t told = v->word.told[a->edge];

		n += told && a->at >= told + TOLD_MS &&
		     a->at > now - LIMIT_WINDOW_MS;
	}
	if (now >= v->word.from + LIMIT_STABLE_MS && n > most)
		violation(v->s, "limit", "%s got %u in a window, allowed %u",
			  v->id, n, most);
}

/* A request has reached a server. */
void words_arrived(server_t *v, const char *id)
{
	arrival_t a = { clock_now(), edge_of(v->s, id) };
	ms_t told = v->word.told[a.edge];

	if (v->word.says == SAID_NOTHING)
		return;
	if (told < v->s->procs[a.edge].disturbed_at) {
		v->word.told[a.edge] = 0;
		told = 0;
	}
	g_array_append_val(v->word.arrivals, a);
	if (v->word.says == SAID_LIMIT)
		check_limit(v, a.at);
	if (!told)
		return;
	if (v->word.says == SAID_LEAVING && a.at > told + LEAVING_BOUND_MS)
		violation(v->s, "drain", "%s reached %s %d ms after its word",
			  id, v->id, (int)(a.at - told));
	if (v->word.says == SAID_PAUSE && a.at >= told + TOLD_MS &&
	    a.at < told + PAUSE_SAID_MS &&
	    ++v->word.reached[a.edge] > PAUSE_MORE)
		violation(v->s, "budget", "%u reached %s in its pause",
			  v->word.reached[a.edge], v->id);
}
