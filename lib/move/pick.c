/* Which version a request goes to. */
#include <string.h>
#include "move/priv.h"

enum {
	SECOND_PERCENT = 10,
	HALF_PERCENT = 50,
	WATCH_PERCENT = 95, /* the rest goes to the old version to compare */
	OPEN_LEAST = 2,	    /* requests in progress allowed at any share */
	OPEN_SPAN = 30000,  /* ms after which an unnoted one is given up */
};

/*
 * Returns the id of a move: a hash over service, versions and time, so that
 * every process finds the same one, whatever else a revision changes. It fits
 * a double, and is never 0.
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

/* The new version's share now, 0 to 1. Under suspicion it is at most a half. */
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

/* In small stages the version is also limited in requests in progress. */
static bool too_many_open(const move_t *v, double share)
{
	double all = (double)(v->open[MOVE_OLD] + v->open[MOVE_NEW]);

	if (v->stage >= 2)
		return false;
	return (double)v->open[MOVE_NEW] >= OPEN_LEAST + 2 * share * all;
}

/*
 * Error diffusion: the new version has had at most one request more than its
 * share of all so far. Its turn within a round is random, so that a period in
 * the traffic does not choose its requests.
 */
static side_of_move_t next_side(moves_t *m, move_t *v, ms_t now)
{
	double share = move_share(m, v, now);

	if (share <= 0)
		return MOVE_OLD;
	if (share >= 1)
		return MOVE_NEW;
	v->due += share;
	if (v->due < v->given + v->offset)
		return MOVE_OLD;
	if (too_many_open(v, share)) {
		v->due = v->given + v->offset;
		return MOVE_OLD;
	}
	v->given++;
	v->offset = 1 - g_rand_double(m->rand);
	return MOVE_NEW;
}

/* A picked request has ended. */
void move_returned(move_t *v, side_of_move_t side)
{
	if (v->open[side])
		v->open[side]--;
}

/* Gives up those picked long ago of which nothing was heard. */
void move_age(move_t *v, ms_t now)
{
	if (now - v->recent_at < OPEN_SPAN)
		return;
	for (int i = 0; i < MOVE_SIDES; i++) {
		v->open[i] = MIN(v->open[i], v->recent[i] + v->before[i]);
		v->before[i] = v->recent[i];
		v->recent[i] = 0;
	}
	v->recent_at = now;
}

/* Which version the next request of the service goes to; NULL: none known. */
const char *moves_pick(moves_t *m, const char *service, ms_t now)
{
	moving_t *g = g_hash_table_lookup(m->services, service);
	side_of_move_t side;

	if (!g)
		return NULL;
	if (!g->move)
		return g->version;
	if (move_fact(m, "bad", g->move->id))
		g->move->bad = true;
	side = next_side(m, g->move, now);
	g->move->open[side]++;
	g->move->recent[side]++;
	return g->move->version[side];
}

/*
 * The version to fall back to when no live server has the picked one: the old
 * one, or a new one that has passed the gates of all smaller shares.
 */
const char *moves_fallback(const moves_t *m, const char *service,
			   const char *picked)
{
	const moving_t *g = g_hash_table_lookup(m->services, service);
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
