/*
 * Cases rollout and stop: a version turns bad when its share of the traffic is
 * raised, and the open channels to the store have just gone silent, or the
 * front that judges the version has just got SIGTERM.
 */
#include <signal.h>
#include <inttypes.h>
#include "rig.h"

enum {
	DURATION_S = 20, /* of the order */
	ORDER_MS = 1000, /* after the fronts serve */
	RAISED = 2,	 /* decisions: the canary's share, and a larger one */
	SILENT_MS = 300, /* from the second to the silence, or the SIGTERM */
	BAD_MS = 100,	 /* from there to the first bad answer */
	BAD_PERCENT = 80,
	BAD_ANSWERS = 50,
	ROLLBACK_MS = 5000, /* the bound of a small deployment */
	SEND_EVERY_MS = 25, /* to each front */
	JUDGE = 0,	    /* the front that judges: its name sorts first */
	/* Two misses of the ready address: no new channels. */
	ROTATION_MS = 2000,
	KEPT_MS = 5000, /* after the order: a channel is used, then kept */
};

static ms_t ordered_at;
static ms_t raised_at;
static ms_t silent_at;
static ms_t known_at; /* the 50th bad answer */
static unsigned int bad_answers;
static unsigned int late;
static bool kept;

static int status_of(backend_s_t *b, const ask_t *a)
{
	rig_t *r = b->rig;
	ms_t now = clock_now();

	if (!silent_at || now < silent_at + BAD_MS ||
	    g_str_hash(a->id) % 100 >= BAD_PERCENT)
		return 200;
	if (++bad_answers == BAD_ANSWERS) {
		known_at = now;
		rig_note(r, "the 50th bad answer of the version");
	}
	return 500;
}

static void start(rig_t *r)
{
	rig_operator(r, "config",
		     "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":"
		     "\"a.example\",\"path_prefix\":\"/p/\",\"kind\":"
		     "\"unsafe\",\"timeout_ms\":1000,\"latency_target_ms\":100,"
		     "\"priority\":0,\"attempts\":1,\"service\":\"desk\"}],"
		     "\"services\":[{\"name\":\"llm\",\"engine\":{}},"
		     "{\"name\":\"desk\"}],\"tenants\":[{\"name\":\"t\","
		     "\"api_keys\":[\"key\"]}]}");
	for (int i = 0; i < SIDES; i++)
		rig_backend(r, "llm", "v1", true);
	for (int i = 0; i < 4; i++)
		rig_backend(r, "desk", "v1", false);
}

static void order(rig_t *r, ms_t now)
{
	ordered_at = now;
	rig_operator(r, "rollout/desk",
		     "{\"service\":\"desk\",\"target\":\"v2\","
		     "\"duration_s\":20}");
	for (int i = 0; i < 4; i++)
		rig_backend(r, "desk", "v2", false)->status = status_of;
	r->next_beat = 0;
}

/* Whether the platform gives the front no new channels any more. */
static bool is_stopped(const rig_t *r, unsigned int front, ms_t now)
{
	return r->trouble && r->scene == &scene_stop && front == JUDGE &&
	       silent_at && now >= silent_at + ROTATION_MS;
}

static void tick(rig_t *r, ms_t now)
{
	topic_t *moves = rig_topic(r, "keyed.moves");

	if (!ordered_at && now >= r->ready_at + ORDER_MS)
		order(r, now);
	if (!raised_at && moves && moves->recs->len >= RAISED) {
		raised_at = now;
		rig_note(r, "the version's share was raised");
	}
	if (raised_at && !silent_at && now >= raised_at + SILENT_MS) {
		silent_at = now;
		if (r->trouble && r->scene == &scene_stop)
			rig_signal(r, JUDGE, SIGTERM);
		else if (r->trouble)
			rig_silence_store(r);
	}
	if (ordered_at && !kept && now >= ordered_at + KEPT_MS) {
		kept = true;
		for (unsigned int i = 0; i < FRONTS; i++)
			rig_ask(r, i, "a.example", "")->keeps = true;
	}
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++) {
		if (!is_stopped(r, i, now))
			rig_ask(r, i, "a.example", "");
	}
}

/* A request for the bad version that was sent later than the bound, in touch */
static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)now;
	if (!b->status || !known_at || a->sent_at <= known_at + ROLLBACK_MS ||
	    (r->trouble && r->scene == &scene_rollout &&
	     a->sent_at <= silent_at + STABLE_MS) ||
	    (r->trouble && r->scene == &scene_stop && a->front == JUDGE))
		return;
	late++;
	rig_note(r, "EXPOSURE: %s was sent %d ms after the 50th bad answer",
		 a->id, (int)(a->sent_at - known_at));
}

static bool broken(rig_t *r)
{
	rig_note(r, "%u bad answers, %u requests for the version too late",
		 bad_answers, late);
	return late > 0;
}

const scene_t scene_rollout = { .name = "rollout",
				.length = 32000,
				.start = start,
				.tick = tick,
				.ran = ran,
				.broken = broken };

const scene_t scene_stop = { .name = "stop",
			     .length = 32000,
			     .start = start,
			     .tick = tick,
			     .ran = ran,
			     .broken = broken };
