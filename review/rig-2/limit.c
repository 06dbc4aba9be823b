/*
 * Case limit: the processes beside the model engines are killed at once and
 * start again, while the servers of another service are in need and name
 * limits.
 */
#include <signal.h>
#include <string.h>
#include "rig.h"

enum {
	DESKS = 3,
	NAMED_PER_S = 15,
	WINDOW_MS = 4000,
	ALLOWED = NAMED_PER_S * 4 * 3 / 2 + 5,
	NAMED_MS = 1500, /* after the fronts serve: limits are named */
	KILL_MS = 7000,	 /* from there */
	DOWN_FOR_MS = 1000,
	TOLD_MS = 500,
	SEND_EVERY_MS = 33, /* to each front */
};

/* A server, as the clients and itself see it. */
typedef struct desk {
	backend_s_t *b;
	ms_t named_at;	      /* its first answer with a limit */
	ms_t told_at[FRONTS]; /* a front has passed one on */
	GArray *arrivals;     /* ms_t */
	unsigned int most;    /* in a window */
} desk_t;

static desk_t desks[DESKS];
static ms_t named_at;
static ms_t killed_at;
static bool started_again;
static bool over;

static desk_t *desk_of(const backend_s_t *b)
{
	for (int i = 0; i < DESKS; i++) {
		if (desks[i].b == b)
			return &desks[i];
	}
	return NULL;
}

static const char *fields_of(backend_s_t *b, const ask_t *a)
{
	desk_t *d = desk_of(b);

	(void)a;
	if (!named_at)
		return "";
	if (!d->named_at)
		d->named_at = clock_now();
	return "Server-Limit: 15\r\n";
}

static void start(rig_t *r)
{
	rig_operator(r, "config",
		     "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":"
		     "\"a.example\",\"path_prefix\":\"/p/\",\"kind\":"
		     "\"safe\",\"timeout_ms\":1000,\"latency_target_ms\":100,"
		     "\"priority\":0,\"attempts\":2,\"service\":\"desk\"}],"
		     "\"services\":[{\"name\":\"llm\",\"engine\":{}},"
		     "{\"name\":\"desk\"}],\"tenants\":[{\"name\":\"t\","
		     "\"api_keys\":[\"key\"]}]}");
	for (int i = 0; i < SIDES_MAX; i++)
		rig_backend(r, "llm", "v1", true);
	for (int i = 0; i < DESKS; i++) {
		desks[i].b = rig_backend(r, "desk", "v1", false);
		desks[i].b->fields = fields_of;
		desks[i].arrivals = g_array_new(FALSE, FALSE, sizeof(ms_t));
	}
}

/* The processes beside the model engines are killed at once, and start again.
 */
static void trouble(rig_t *r, ms_t now)
{
	if (!killed_at && now >= named_at + KILL_MS) {
		killed_at = now;
		for (unsigned int i = FRONTS; i < r->ndaemons; i++)
			rig_signal(r, i, SIGKILL);
	}
	if (killed_at && !started_again && now >= killed_at + DOWN_FOR_MS) {
		started_again = true;
		for (unsigned int i = FRONTS; i < r->ndaemons; i++)
			rig_start_daemon(r, i);
	}
}

static void tick(rig_t *r, ms_t now)
{
	if (!named_at && now >= r->ready_at + NAMED_MS) {
		named_at = now;
		rig_note(r, "the servers name limits");
	}
	if (r->trouble && named_at)
		trouble(r, now);
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++)
		rig_ask(r, i, "a.example", "");
}

static void answered(rig_t *r, ask_t *a, ms_t now)
{
	desk_t *d = a->ran_by ? desk_of(a->ran_by) : NULL;

	(void)r;
	if (d && d->named_at && a->status == 200 && a->ran_at > d->named_at &&
	    !d->told_at[a->front])
		d->told_at[a->front] = now;
}

/* Counts what reached a server in 4 s from fronts that know of its limit. */
static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	desk_t *d = desk_of(b);
	unsigned int n = 0;

	if (!d || !d->named_at || !d->told_at[a->front] ||
	    now < d->told_at[a->front] + TOLD_MS)
		return;
	g_array_append_val(d->arrivals, now);
	for (guint i = 0; i < d->arrivals->len; i++)
		n += g_array_index(d->arrivals, ms_t, i) > now - WINDOW_MS;
	if (now - WINDOW_MS < d->named_at + STABLE_MS)
		return;
	d->most = MAX(d->most, n);
	if (n <= ALLOWED)
		return;
	over = true;
	rig_note(r, "LIMIT: %s got %u in 4 s, allowed %d", b->id, n, ALLOWED);
}

static bool broken(rig_t *r)
{
	unsigned int most = 0;

	for (int i = 0; i < DESKS; i++)
		most = MAX(most, desks[i].most);
	rig_note(r, "a server got up to %u in 4 s, allowed %d", most, ALLOWED);
	return over;
}

const scene_t scene_limit = { .name = "limit",
			      .length = 20000,
			      .sides = SIDES_MAX,
			      .start = start,
			      .tick = tick,
			      .ran = ran,
			      .answered = answered,
			      .broken = broken };
