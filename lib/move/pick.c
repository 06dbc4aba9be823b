/* Picks the version that a request goes to. */
#include <string.h>
#include "move/priv.h"

enum {
	SECOND_PERCENT = 10,
	HALF_PERCENT = 50,
	WATCH_PERCENT = 95,	/* the rest keeps the old version comparable */
	IN_PROGRESS_MIN = 2,	/* of the new version, allowed at any share */
	IN_PROGRESS_MS = 30000, /* after which a request without a sample no
				   longer counts */
};

/*
 * Returns the id of a move: a hash over service, versions and deadline, so that
 * every process computes the same one, whatever else a revision changes. It
 * fits a double, and is never 0.
 */
uint64_t move_id(const version_t *v)
{
	char *text = g_strdup_printf("%s\n%s\n%s\n%" G_GINT64_FORMAT,
				     v->service, v->name, v->replaces, v->by);
	uint64_t id = hash64(text, strlen(text), 0) >> 11;

	g_free(text);
	return MAX(id, 1);
}

static double stage_percent(const moves_t *m, const move_t *v, ms_t now)
{
	switch (v->stage) {
	case 0:
		return (double)v->first_percent;
	case 1:
		return (double)MAX(v->first_percent, SECOND_PERCENT);
	case 2:
		return (double)MAX(v->first_percent, HALF_PERCENT);
	case STAGE_WATCH:
		if (v->by && moves_unix(m, now) >= v->by)
			return 100;
		return WATCH_PERCENT;
	default:
		return 100;
	}
}

/* The new version's traffic share, 0 to 1; at most a half while suspect. */
double move_share(const moves_t *m, const move_t *v, ms_t now)
{
	double percent;

	switch (move_state(v)) {
	case MOVE_ROLLED_BACK:
		return 0;
	case MOVE_DONE:
		return 1;
	default:
		break;
	}
	percent = stage_percent(m, v, now);
	if (v->suspect)
		percent = MIN(percent, HALF_PERCENT);
	return percent / 100;
}

/* In the first two stages the requests in progress are limited as well. */
static bool too_many_in_progress(const move_t *v, double share)
{
	double all =
		(double)(v->in_progress[MOVE_OLD] + v->in_progress[MOVE_NEW]);

	if (v->stage >= 2)
		return false;
	return (double)v->in_progress[MOVE_NEW] >=
	       IN_PROGRESS_MIN + 2 * share * all;
}

/*
 * Error diffusion: the new version never has more than one request above its
 * share. Its turn within a round is random, so that periodic traffic does not
 * decide which requests it gets.
 */
static move_side_t choose_side(moves_t *m, move_t *v, ms_t now)
{
	double share = move_share(m, v, now);

	if (share <= 0)
		return MOVE_OLD;
	if (share >= 1)
		return MOVE_NEW;
	v->due += share;
	if (v->due < v->given + v->turn)
		return MOVE_OLD;
	if (too_many_in_progress(v, share)) {
		v->due = v->given + v->turn;
		return MOVE_OLD;
	}
	v->given++;
	v->turn = 1 - g_rand_double(m->rand);
	return MOVE_NEW;
}

/* Counts the end of a picked request. */
void move_request_done(move_t *v, move_side_t side)
{
	if (v->in_progress[side])
		v->in_progress[side]--;
}

/* Stops counting requests as in progress whose end was never reported. */
void move_expire_in_progress(move_t *v, ms_t now)
{
	if (now - v->picked_since < IN_PROGRESS_MS)
		return;
	for (int i = 0; i < MOVE_SIDES; i++) {
		v->in_progress[i] = MIN(v->in_progress[i],
					v->picked[i] + v->picked_before[i]);
		v->picked_before[i] = v->picked[i];
		v->picked[i] = 0;
	}
	v->picked_since = now;
}

/* Version that the next request of the service goes to; NULL: not known. */
const char *moves_pick(moves_t *m, const char *service, ms_t now)
{
	service_move_t *g = g_hash_table_lookup(m->services, service);
	move_side_t side;

	if (!g)
		return NULL;
	if (!g->move)
		return g->version;
	if (move_fact(m, "bad", g->move->id))
		g->move->bad = true;
	side = choose_side(m, g->move, now);
	g->move->in_progress[side]++;
	g->move->picked[side]++;
	return g->move->version[side];
}

/*
 * Version to fall back to when no live server has the picked one: the old one,
 * or the new one after it has passed all stages before STAGE_WATCH.
 */
const char *moves_fallback(const moves_t *m, const char *service,
			   const char *picked)
{
	const service_move_t *g = g_hash_table_lookup(m->services, service);
	const move_t *v = g ? g->move : NULL;
	move_state_t state;

	if (!v)
		return NULL;
	state = move_state(v);
	if (!strcmp(picked, v->version[MOVE_NEW]))
		return v->version[MOVE_OLD];
	if (state == MOVE_WATCHING || state == MOVE_DONE)
		return v->version[MOVE_NEW];
	return NULL;
}
