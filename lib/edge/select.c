/*
 * Server selection. A host knows the load of its own requests on a server and
 * estimates that of other hosts' from the server's last answer.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	LOAD_AGE_MIN_MS = 40,	/* a few round trips */
	LOAD_AGE_MAX_MS = 2000, /* most requests take less */
	SHARE_TIMES = 2, /* factor on an equal part of the slots: hosts have
			    different numbers of callers */
};

/* A reported load is stale after this many mean request times. */
static const double load_age_requests = 2;

/* Relative extra time at a full server */
static const double full_penalty = 0.6;
/* Penalty for another data centre */
static const double remote_penalty_ms = 12;
/* Random part, so that hosts choose different servers */
static const double spread = 0.15;

/* Returns how long a load reported by an answer is used, in ms. */
static double load_max_age(const pool_t *p)
{
	return CLAMP(p->slot_time_mean * load_age_requests, LOAD_AGE_MIN_MS,
		     LOAD_AGE_MAX_MS);
}

/*
 * Returns the requests at the server: this host's, and an estimate of other
 * hosts' that decays with the age of the last report.
 */
unsigned int select_load(const backend_t *b, ms_t now)
{
	double left =
		1 - (double)(now - b->other_load_at) / load_max_age(b->pool);

	if (left <= 0)
		return b->running;
	return b->running + (unsigned int)(b->other_load * left + 0.5);
}

/*
 * Returns the slots that this host may use there without a keeper's grant.
 * Without a recent load report that is SHARE_TIMES an equal part of those whose
 * subsets have the server, which leaves some for other hosts.
 */
static unsigned int usable_slots(const edge_t *e, const backend_t *b, ms_t now)
{
	unsigned int part =
		(unsigned int)(b->slots * SHARE_TIMES / subset_hosts(e, b));

	if (b->other_load_at > 0 && now - b->other_load_at < LOAD_AGE_MAX_MS)
		return b->slots;
	return CLAMP(part, 1, b->slots);
}

/* Returns the slots of the pool's subset that seem free now. */
unsigned int select_free_slots(const pool_t *p, ms_t now)
{
	unsigned int n = 0;

	for (guint i = 0; i < p->subset->len; i++) {
		const backend_t *b = p->subset->pdata[i];
		unsigned int load = select_load(b, now);

		if (health_usable(b, now) && !b->limit.set && load < b->slots)
			n += b->slots - load;
	}
	return n;
}

/* Whether an earlier attempt went to the server. */
bool select_was_tried(const request_t *r, const backend_t *b)
{
	for (unsigned int i = 0; i < r->ntried; i++) {
		if (r->tried[i] == b->serial)
			return true;
	}
	return false;
}

/*
 * Returns the expected cost of sending the request there, in ms; lower is
 * better.
 */
double select_score(edge_t *e, backend_t *b, const request_t *r,
		    unsigned int load, ms_t now)
{
	double first_event = estimate_first_event(b->pool, b, r->prompt);
	double ms = first_event + b->gap_ms;

	ms *= 1 + full_penalty * load / MAX(b->slots, 1);
	if (load >= b->slots)
		ms += (load - b->slots + 1) * b->pool->slot_time_mean /
		      b->slots;
	ms += estimate_overrun(b, r, first_event, now);
	ms += word_penalty(e, b, now) + warm_penalty(e, b, now);
	if (strcmp(b->data_center, e->conf.data_center) != 0)
		ms += remote_penalty_ms;
	return ms * (1 + spread * g_rand_double(e->rand));
}

/*
 * Returns the best server of the subset with a free slot for the request, or
 * NULL. Servers with a keeper are skipped: it grants their slots.
 */
backend_t *select_server(edge_t *e, pool_t *p, const request_t *r, ms_t now)
{
	backend_t *best[2] = { NULL, NULL };
	double lowest[2] = { 0, 0 };
	bool untried = false;
	const GPtrArray *servers = subset_servers(e, p, now);

	for (guint i = 0; i < servers->len; i++) {
		backend_t *b = servers->pdata[i];
		int tried = select_was_tried(r, b);
		unsigned int load;
		double s;

		if (b->keeper || now < b->unkept_from ||
		    !allow_server(e, r, b, now) || !word_allows(e, b, now) ||
		    !warm_allows(e, b, now))
			continue;
		untried = untried || !tried;
		load = select_load(b, now);
		if (load >= usable_slots(e, b, now))
			continue;
		s = select_score(e, b, r, load, now);
		if (!best[tried] || s < lowest[tried]) {
			best[tried] = b;
			lowest[tried] = s;
		}
	}
	return untried ? best[0] : best[1];
}
