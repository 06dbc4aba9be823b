/*
 * Which server a request goes to. Answers load from many callers that each see
 * a part: own requests are known, others' are estimated from the last answer.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	FADE_LEAST_MS = 40,  /* a few turns of an answer */
	FADE_MOST_MS = 2000, /* most runs are shorter */
	SHARE_TIMES = 2,     /* an equal part of the places, so often: hosts
				have unlike numbers of callers */
};

/* Others' load, when seen, says little after so many runs have ended. */
static const double fade_runs = 2;

static const double full_cost = 0.6; /* more time, relative, when full */
static const double away_ms = 12;    /* what another data centre counts */
static const double spread = 0.15;   /* random part, so hosts differ */

/* How long an answer's word on the load is of use, in ms. */
static double fade_time(const pool_t *p)
{
	return CLAMP(p->slot_time_mean * fade_runs, FADE_LEAST_MS,
		     FADE_MOST_MS);
}

/* Requests at the server, ours and, as far as they are known, others'. */
unsigned int select_load(const backend_t *b, ms_t now)
{
	double left = 1 - (double)(now - b->other_load_at) / fade_time(b->pool);

	if (left <= 0)
		return b->running;
	return b->running + (unsigned int)(b->other_load * left + 0.5);
}

/*
 * Places that this host may use there without a keeper's grant. Where nothing
 * was heard of the others for long, no more than a part that leaves some.
 */
static unsigned int places(const edge_t *e, const backend_t *b, ms_t now)
{
	unsigned int part = b->slots * SHARE_TIMES / MAX(e->nhosts, 1);

	if (b->other_load_at > 0 && now - b->other_load_at < FADE_MOST_MS)
		return b->slots;
	return CLAMP(part, 1, b->slots);
}

/* Places of the pool that seem free now. */
unsigned int select_free_slots(const pool_t *p, ms_t now)
{
	unsigned int n = 0;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);
		unsigned int load = select_load(b, now);

		if (health_usable(b, now) && load < b->slots)
			n += b->slots - load;
	}
	return n;
}

/* Whether the request was sent to the server before. */
bool select_was_tried(const request_t *r, const backend_t *b)
{
	for (unsigned int i = 0; i < r->ntried; i++) {
		if (r->tried[i] == b->serial)
			return true;
	}
	return false;
}

/* Expected cost of sending the request there, in ms; lower is better. */
double select_score(edge_t *e, const backend_t *b, const request_t *r,
		    unsigned int load, ms_t now)
{
	double first = estimate_first_event(b->pool, b, r->prompt);
	double ms = first + b->gap_ms;

	ms *= 1 + full_cost * load / MAX(b->slots, 1);
	if (load >= b->slots)
		ms += (load - b->slots + 1) * b->pool->slot_time_mean /
		      b->slots;
	ms += estimate_overrun(b, r, first, now);
	if (strcmp(b->data_center, e->conf.data_center) != 0)
		ms += away_ms;
	return ms * (1 + spread * g_rand_double(e->rand));
}

/*
 * Returns the best server with a free place for the request, or NULL. Servers
 * with a keeper are not looked at: their places are asked for.
 */
backend_t *select_server(edge_t *e, pool_t *p, const request_t *r, ms_t now)
{
	backend_t *best[2] = { NULL, NULL };
	double least[2] = { 0, 0 };
	bool untried = false;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		backend_t *b = list_entry(l, backend_t, link);
		int again = select_was_tried(r, b);
		unsigned int load;
		double s;

		if (b->keeper || !health_usable(b, now) ||
		    !shift_allows(r, b, now))
			continue;
		untried = untried || !again;
		load = select_load(b, now);
		if (load >= places(e, b, now))
			continue;
		s = select_score(e, b, r, load, now);
		if (!best[again] || s < least[again]) {
			best[again] = b;
			least[again] = s;
		}
	}
	return untried ? best[0] : best[1];
}
