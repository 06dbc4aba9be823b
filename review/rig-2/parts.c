/*
 * Case parts: one part of a long conversation's prompt crashes each server that
 * begins to answer a request with it.
 */
#include <stdlib.h>
#include "rig.h"

enum {
	PARTS = 72,	     /* of a prompt, without its last */
	POISON_MS = 3000,    /* after the fronts serve: the first of them */
	POISON_EVERY = 2000, /* ms */
	SEND_EVERY_MS = 100, /* sound ones to each front */
	CRASHES = 5,
	ALLOWED = 3,
	LAST_POISON_MS = 32000,
};

static const char *const none;
static ms_t next_poison;
static ms_t judged_from; /* 0: not yet */
static unsigned int poisons;
static unsigned int crashes;
static unsigned int reached;

static void start(rig_t *r)
{
	rig_config(r, rig_route("r", "a.example", "stream", 1, "llm"), &none);
	for (int i = 0; i < SIDES; i++)
		rig_backend(r, "llm", "v1", true);
}

/*
 * The parts of a conversation in their order. Sound and crashing requests share
 * all but one of them, the one before the last.
 */
static char *fields_of(const rig_t *r, bool crashing)
{
	const char *n = getenv("PARTS");
	int parts = n ? atoi(n) : PARTS;
	GString *out = g_string_new("X-Model: m\r\nX-Token-Usage: 1460,80\r\n"
				    "X-Prompt-Prefix: ");

	for (int i = 1; i < parts; i++)
		g_string_append_printf(out, "%x:20,", 0x5c1e0000 + i);
	g_string_append_printf(out, "%x:20,", crashing ? 0xbad0bad : 0xc0ffee);
	g_string_append_printf(out, "%x:20\r\n",
			       0x70000000 + (unsigned int)r->last_id);
	return g_string_free(out, FALSE);
}

static void send_one(rig_t *r, unsigned int front, bool crashing)
{
	char *fields = fields_of(r, crashing);
	ask_t *a = rig_ask(r, front, "a.example", fields);

	a->crashes = crashing;
	if (crashing)
		rig_note(r, "%s has the part that crashes servers", a->id);
	g_free(fields);
}

static void tick(rig_t *r, ms_t now)
{
	if (!next_poison)
		next_poison = now + POISON_MS;
	if (r->trouble && now >= next_poison && rig_time(r) < LAST_POISON_MS) {
		next_poison = now + POISON_EVERY;
		send_one(r, poisons++ % FRONTS, true);
	}
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++)
		send_one(r, i, false);
}

static void crashed(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)b;
	(void)a;
	if (++crashes != CRASHES)
		return;
	judged_from = now + STABLE_MS;
	rig_note(r, "the fifth crash");
}

static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)now;
	if (!a->crashes || !judged_from || a->sent_at <= judged_from)
		return;
	reached++;
	rig_note(r, "BUDGET: %s reaches %s", a->id, b->id);
}

static int verdict(rig_t *r)
{
	rig_note(r,
		 "%u crashes, %u requests with the part reached servers too "
		 "late, of %u sent",
		 crashes, reached, poisons);
	if (r->trouble && poisons == 0)
		return RIG_NOT_RUN;
	return reached > ALLOWED ? RIG_BROKEN : RIG_HELD;
}

const scene_t scene_parts = { .name = "parts",
			      .length = 35000,
			      .start = start,
			      .tick = tick,
			      .ran = ran,
			      .crashed = crashed,
			      .verdict = verdict };
