/*
 * Case added: a version fails some of its requests once it gets all of the
 * traffic, while streams still run on the old one, and two fronts are added.
 */
#include <string.h>
#include "rig.h"

enum {
	ORDER_MS = 1000, /* after the fronts serve */
	ALL = 4,	 /* the share is 1000 */
	ADD_MS = 300,	 /* from there */
	BAD_PERCENT = 5,
	BAD_ANSWERS = 50,
	ROLLBACK_MS = 5000, /* the bound of a small deployment */
	SEND_EVERY_MS = 50, /* to each front */
	LONG_EVERY = 41,    /* one request in so many is a long stream */
	DESKS = 4,
};

static const char *const services[] = { "desk", NULL };
static ms_t ordered_at;
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

	if (!all_at || hash64(a->id, strlen(a->id), 0) % 100 >= BAD_PERCENT)
		return 200;
	if (++bad_answers == BAD_ANSWERS) {
		known_at = now;
		rig_note(r, "the 50th bad answer of the version");
	}
	return 500;
}

static void start(rig_t *r)
{
	rig_config(r, rig_route("r", "a.example", "stream", 1, "desk"),
		   services);
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

/* Planned work: machines are added to the system. */
static void add_fronts(rig_t *r, ms_t now)
{
	if (!all_at || added || now < all_at + ADD_MS)
		return;
	added = true;
	rig_add_front(r, "front-0b");
	rig_add_front(r, "front-0c");
}

static void tick(rig_t *r, ms_t now)
{
	const topic_t *moves = rig_topic(r, "keyed.moves");

	if (!ordered_at && now >= r->ready_at + ORDER_MS)
		order(r, now);
	if (ordered_at && !all_at && moves && moves->recs->len >= ALL) {
		all_at = now;
		rig_note(r, "the version gets all of the traffic");
	}
	if (r->trouble)
		add_fronts(r, now);
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++) {
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
	    a->sent_at <= known_at + ROLLBACK_MS)
		return;
	late++;
	rig_note(r, "EXPOSURE: %s was sent %d ms after the 50th bad answer",
		 a->id, (int)(a->sent_at - known_at));
}

static int verdict(rig_t *r)
{
	rig_note(r,
		 "status succeeded: %d, %u streams of the old version cut; %u "
		 "bad answers, %u requests for the version too late",
		 succeeded, cut, bad_answers, late);
	if (!all_at || (r->trouble && !added))
		return RIG_NOT_RUN;
	return late > 0 ? RIG_BROKEN : RIG_HELD;
}

const scene_t scene_added = { .name = "added",
			      .length = 44000,
			      .timeout = 8000,
			      .start = start,
			      .tick = tick,
			      .ran = ran,
			      .answered = answered,
			      .status = status,
			      .verdict = verdict };
