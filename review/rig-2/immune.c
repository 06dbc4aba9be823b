/*
 * Case immune: the one server of a new version crashes on a read and comes
 * back; later the version fails most of the orders.
 */
#include <string.h>
#include "rig.h"

enum {
	ORDER_MS = 3000,    /* after the fronts serve */
	READS_OF = 7,	    /* 2 of so many requests are reads */
	BAD_MS = 6000,	    /* after the order: orders begin to fail */
	SEND_EVERY_MS = 50, /* to each front */
	BAD_PERCENT = 80,
	BAD_ANSWERS = 50,
	ROLLBACK_MS = 5000, /* the bound of a small deployment */
	DESKS = 3,
};

static const char *const services[] = { "desk", NULL };
static ms_t ordered_at;
static ms_t known_at; /* the 50th bad answer */
static backend_s_t *old[DESKS];
static unsigned int bad_answers;
static unsigned int late;
static bool succeeded;
static bool crashed;
static unsigned int turn;

static int status_of(backend_s_t *b, const ask_t *a)
{
	rig_t *r = b->rig;

	if (a->is_read || clock_now() < ordered_at + BAD_MS ||
	    g_str_hash(a->id) % 100 >= BAD_PERCENT)
		return 200;
	if (++bad_answers == BAD_ANSWERS) {
		known_at = clock_now();
		rig_note(r, "the 50th bad answer of the version");
	}
	return 500;
}

static void start(rig_t *r)
{
	char *redeem = rig_route("redeem", "a.example", "unsafe", 1, "desk");
	char *read = rig_route("read", "b.example", "safe", 2, "desk");
	char *routes = g_strconcat(redeem, ",", read, NULL);

	g_free(redeem);
	g_free(read);
	rig_config(r, routes, services);
	for (int i = 0; i < SIDES; i++)
		rig_backend(r, "llm", "v1", true);
	for (int i = 0; i < DESKS; i++)
		old[i] = rig_backend(r, "desk", "v1", false);
}

static void order(rig_t *r, ms_t now)
{
	backend_s_t *b;

	ordered_at = now;
	rig_operator(r, "rollout/desk",
		     "{\"service\":\"desk\",\"target\":\"v2\","
		     "\"duration_s\":20}");
	b = rig_backend(r, "desk", "v2", false);
	b->status = status_of;
	b->renames = true;
	b->alone = true;
	r->next_beat = 0;
}

static void tick(rig_t *r, ms_t now)
{
	if (!ordered_at && now >= r->ready_at + ORDER_MS)
		order(r, now);
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++) {
		bool is_read = turn % READS_OF == 0 || turn % READS_OF == 3;

		turn++;
		rig_ask(r, i, is_read ? "b.example" : "a.example", "")
			->is_read = is_read;
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

static void on_crash(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)r;
	(void)b;
	(void)a;
	(void)now;
	crashed = true;
}

/* Also a request for the bad version that was sent later than the bound. */
static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)now;
	a->crashes = false;
	if (!b->status)
		return;
	a->crashes = r->trouble && a->is_read && !crashed;
	if (!known_at || a->sent_at <= known_at + ROLLBACK_MS)
		return;
	late++;
	rig_note(r, "EXPOSURE: %s was sent %d ms after the 50th bad answer",
		 a->id, (int)(a->sent_at - known_at));
}

static int verdict(rig_t *r)
{
	rig_note(r,
		 "status succeeded: %d; %u bad answers, %u requests for the "
		 "version too late",
		 succeeded, bad_answers, late);
	if (r->trouble ? !crashed : !ordered_at)
		return RIG_NOT_RUN;
	return late > 0 ? RIG_BROKEN : RIG_HELD;
}

const scene_t scene_immune = { .name = "immune",
			       .length = 36000,
			       .start = start,
			       .tick = tick,
			       .ran = ran,
			       .crashed = on_crash,
			       .status = status,
			       .verdict = verdict };
