/*
 * Engines that turn requests away and want nothing for a while from the host
 * that sent them, and what reaches them in that time.
 */
#include "fns.h"

enum {
	REST_FROM_MS = 5000,
	REST_TO_MS = 20000,
	PAUSE_MS = 3000, /* that they ask for */
	TOLD_MS = 500,	 /* what arrives so soon after is not counted */
	LAPSE_EVERY_MS = 1000,
};

static bool rests(const world_t *w, unsigned int engine)
{
	return engine < w->play.rest && w->now >= REST_FROM_MS &&
	       w->now < REST_TO_MS;
}

/* Counts a request that has reached an engine in its pause. */
static void count_reached(world_t *w, told_t *t)
{
	if (!t->at || w->now < t->at + TOLD_MS || w->now >= t->at + PAUSE_MS)
		return;
	t->reached++;
	w->result.rest_reached = MAX(w->result.rest_reached, t->reached);
}

/* A request has reached an engine. Returns whether it is turned away. */
bool rest_turns_away(world_t *w, item_t *i, unsigned int engine)
{
	const server_word_t says = { .pause = PAUSE_MS };
	told_t *t = &w->seats[engine].told[i->host];
	edge_t *e = w->hosts[i->host].edge;

	count_reached(w, t);
	if (!rests(w, engine))
		return false;
	if (w->now >= t->at + PAUSE_MS || !t->at)
		*t = (told_t){ .at = w->now };
	w->result.turned_away++;
	edge_server_word(e, i->r.server, &says, w->now);
	if (edge_attempt_ended(e, &i->r, ATTEMPT_REJECTED, false, w->now) ==
	    NEXT_ANSWER)
		i->over = true;
	return true;
}

/* Entries of engines that rest lapse and come back. */
void rest_step(world_t *w)
{
	char id[16];

	if (!w->play.lapses || w->now % LAPSE_EVERY_MS != 0)
		return;
	for (unsigned int k = 0; k < w->play.rest; k++) {
		g_snprintf(id, sizeof(id), "%u", k);
		for (unsigned int h = 0; h < w->play.hosts; h++) {
			edge_server_gone(w->hosts[h].edge, id, w->now);
			world_list_engine(w, w->hosts[h].edge, k);
		}
	}
}
