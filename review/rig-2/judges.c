/*
 * Cases judges and added: while a version gets all of the traffic and streams
 * still run on the old one, a front that was killed comes back, or two fronts
 * are added; later the version turns bad.
 */
#include <signal.h>
#include <string.h>
#include "rig.h"

enum {
	ORDER_MS = 1000,    /* after the fronts serve */
	HALF = 3,	    /* decisions: the canary's share, 250 and 500 */
	ALL = 4,	    /* the share is 1000 */
	ADD_MS = 300,	    /* from there */
	DOWN_FOR_MS = 2700, /* the front, from there */
	BAD_MS = 18200,	    /* after the order: the first bad answer */
	BAD_PERCENT = 80,
	BAD_ANSWERS = 50,
	ROLLBACK_MS = 5000, /* the bound of a small deployment */
	SEND_EVERY_MS = 50, /* to each front */
	LONG_EVERY = 41,    /* one request in so many is a long stream */
	VICTIM = 1,
	DESKS = 4,
};

static ms_t ordered_at;
static ms_t killed_at;
static bool back;
static ms_t all_at;
static bool added;
static ms_t known_at; /* the 50th bad answer */
static backend_s_t *old[DESKS];
static unsigned int bad_answers;
static unsigned int late;
static unsigned int cut;
static unsigned int turn;
static bool succeeded;

static int status_of(backend_s_t *b, const ask_t *a)
{
	rig_t *r = b->rig;
	ms_t now = clock_now();

	if (!ordered_at || now < ordered_at + BAD_MS ||
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
		     "\"stream\",\"timeout_ms\":8000,\"latency_target_ms\":"
		     "600,\"gap_target_ms\":400,\"priority\":0,\"attempts\":1,"
		     "\"service\":\"desk\"}],\"services\":[{\"name\":\"llm\","
		     "\"engine\":{}},{\"name\":\"desk\"}],\"tenants\":"
		     "[{\"name\":\"t\",\"api_keys\":[\"key\"]}]}");
	for (int i = 0; i < SIDES; i++)
		rig_backend(r, "llm", "v1", true);
	for (int i = 0; i < DESKS; i++)
		old[i] = rig_backend(r, "desk", "v1", false);
}

static void order(rig_t *r, ms_t now)
{
	ordered_at = now;
	rig_operator(r, "rollout/desk",
		     "{\"service\":\"desk\",\"target\":\"v2\","
		     "\"duration_s\":20}");
	for (int i = 0; i < DESKS; i++)
		rig_backend(r, "desk", "v2", false)->status = status_of;
	r->next_beat = 0;
}

static void trouble(rig_t *r, ms_t now)
{
	topic_t *moves = rig_topic(r, "keyed.moves");

	if (!killed_at && moves && moves->recs->len >= HALF) {
		killed_at = now;
		rig_signal(r, VICTIM, SIGKILL);
	}
	if (killed_at && !back && now >= killed_at + DOWN_FOR_MS) {
		back = true;
		rig_start_daemon(r, VICTIM);
	}
}

/* Planned work: machines are added to the system. */
static void add_fronts(rig_t *r, ms_t now)
{
	topic_t *moves = rig_topic(r, "keyed.moves");

	if (!all_at && moves && moves->recs->len >= ALL)
		all_at = now;
	if (!all_at || added || now < all_at + ADD_MS)
		return;
	added = true;
	rig_add_front(r, "front-0b");
	rig_add_front(r, "front-0c");
}

static void tick(rig_t *r, ms_t now)
{
	if (!ordered_at && now >= r->ready_at + ORDER_MS)
		order(r, now);
	if (r->trouble && ordered_at && r->scene == &scene_judges)
		trouble(r, now);
	else if (r->trouble && ordered_at)
		add_fronts(r, now);
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++) {
		if (!r->daemons[i].running)
			continue;
		rig_ask(r, i, "a.example", "")->is_long =
			++turn % LONG_EVERY == 0;
	}
}

/* At `succeeded` the old engines stop immediately. */
static void status(rig_t *r, const char *text)
{
	if (succeeded || !strstr(text, "succeeded"))
		return;
	succeeded = true;
	for (int i = 0; i < DESKS; i++)
		rig_stop(r, old[i]);
}

static void answered(rig_t *r, ask_t *a, ms_t now)
{
	(void)r;
	(void)now;
	cut += a->cut && succeeded && g_strcmp0(a->ran_by->version, "v1") == 0;
}

/* A request for the bad version that was sent later than the bound, in touch */
static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)now;
	if (!known_at || g_strcmp0(b->version, "v2") != 0 ||
	    a->sent_at <= known_at + ROLLBACK_MS ||
	    (r->trouble && r->scene == &scene_judges && a->front == VICTIM))
		return;
	late++;
	rig_note(r, "EXPOSURE: %s was sent %d ms after the 50th bad answer",
		 a->id, (int)(a->sent_at - known_at));
}

static bool broken(rig_t *r)
{
	rig_note(r,
		 "status succeeded: %d, %u streams of the old version cut; %u "
		 "bad answers, %u requests for the version too late",
		 succeeded, cut, bad_answers, late);
	return late > 0;
}

const scene_t scene_judges = { .name = "judges",
			       .length = 34000,
			       .timeout = 8000,
			       .start = start,
			       .tick = tick,
			       .ran = ran,
			       .answered = answered,
			       .status = status,
			       .broken = broken };

const scene_t scene_added = { .name = "added",
			      .length = 34000,
			      .timeout = 8000,
			      .start = start,
			      .tick = tick,
			      .ran = ran,
			      .answered = answered,
			      .status = status,
			      .broken = broken };
