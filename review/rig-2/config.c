/*
 * Case config: the open channels to the store go silent, and a desired state
 * that moves a route to another service follows.
 */
#include "rig.h"

enum {
	SYNC_MS = 2000,	    /* after the start: a first change */
	SILENT_MS = 7100,   /* from there to the silence */
	CHANGE_MS = 500,    /* from there to the change that is judged */
	SEND_EVERY_MS = 50, /* to each front */
};

static const char *const services[] = { "old", "new", NULL };
static ms_t changed_first;
static ms_t silent_at;
static ms_t acked_at;
static unsigned int judged;
static unsigned int stale;

static void write_config(rig_t *r, const char *service)
{
	rig_config(r, rig_route("r", "a.example", "safe", 2, service),
		   services);
}

static void start(rig_t *r)
{
	write_config(r, "old");
	for (int i = 0; i < SIDES; i++)
		rig_backend(r, "llm", "v1", true);
	rig_backend(r, "old", "v1", false);
	rig_backend(r, "old", "v1", false);
	rig_backend(r, "new", "v1", false);
	rig_backend(r, "new", "v1", false);
}

static void tick(rig_t *r, ms_t now)
{
	if (!changed_first && now >= r->ready_at + SYNC_MS) {
		changed_first = now;
		write_config(r, "old");
	}
	if (changed_first && !silent_at && now >= changed_first + SILENT_MS) {
		silent_at = now;
		if (r->trouble)
			rig_silence_store(r);
	}
	if (silent_at && !acked_at && now >= silent_at + CHANGE_MS) {
		acked_at = now;
		write_config(r, "new");
	}
	if (now < r->next_send)
		return;
	r->next_send = now + SEND_EVERY_MS;
	for (unsigned int i = 0; i < FRONTS; i++)
		rig_ask(r, i, "a.example", "");
}

/* Run by the old service though sent later than the bound, in touch. */
static void ran(rig_t *r, backend_s_t *b, ask_t *a, ms_t now)
{
	(void)now;
	if (!acked_at || a->sent_at <= acked_at + CONFIG_MS ||
	    (r->trouble && a->sent_at <= silent_at + STABLE_MS))
		return;
	judged++;
	if (g_strcmp0(b->service, "new") == 0)
		return;
	stale++;
	rig_note(r, "CONFIG: %s was sent %d ms after the ack, run by the old",
		 a->id, (int)(a->sent_at - acked_at));
}

static int verdict(rig_t *r)
{
	rig_note(r, "%u requests judged, %u run by the old service", judged,
		 stale);
	if (judged == 0)
		return RIG_NOT_RUN;
	return stale > 0 ? RIG_BROKEN : RIG_HELD;
}

const scene_t scene_config = { .name = "config",
			       .length = 22000,
			       .start = start,
			       .tick = tick,
			       .ran = ran,
			       .verdict = verdict };
