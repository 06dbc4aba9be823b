/* Sheds requests under overload, the lowest tier first. */
#include "entry/priv.h"

enum {
	RESERVE_DIVISOR = 4, /* reserve: waiting_max divided by this */
};

/* Returns the refused offer of r to s, or NULL. */
static const offer_t *refusal_of(const request_t *r, const sidecar_t *s)
{
	for (list_t *p = r->offers.next; p != &r->offers; p = p->next) {
		const offer_t *o = list_entry(p, offer_t, by_request);

		if (o->sidecar == s)
			return o->refused ? o : NULL;
	}
	return NULL;
}

static bool refusal_holds(const offer_t *o, ms_t now)
{
	return o && (o->code == CODE_CANNOT_FINISH || o->hold_until > now);
}

/*
 * The code for a request refused with both: shed if any sidecar shed it, and
 * no-server only if none had an engine.
 */
static code_t combine_codes(code_t a, code_t b)
{
	if (a == CODE_SHED || b == CODE_SHED)
		return CODE_SHED;
	if (a == CODE_NO_SERVER)
		return b;
	return b == CODE_NO_SERVER ? a : CODE_CANNOT_FINISH;
}

/*
 * Ends a request that every live sidecar has refused, if all the refusals still
 * hold: then no lower tier waits or is granted at any of them. Returns whether
 * it ended.
 */
bool shed_if_refused(entry_t *e, request_t *r, const GPtrArray *live, ms_t now)
{
	code_t code = CODE_NO_SERVER;
	ms_t retry = -1;

	for (guint i = 0; i < live->len; i++) {
		const offer_t *o = refusal_of(r, live->pdata[i]);

		if (!refusal_holds(o, now) || o->code == CODE_NOT_SENT)
			return false;
		code = combine_codes(code, o->code);
		if (retry < 0 || o->retry_after < retry)
			retry = o->retry_after;
	}
	request_end(e, r, code, MAX(retry, 1));
	return true;
}

/* Returns the newest request of the service's lowest tier, or NULL. */
static request_t *newest_of_lowest_tier(entry_t *e, const char *service)
{
	queue_t *q = queue_get(e, service);

	for (int t = TIER_LOWEST; t >= 0; t--) {
		if (!list_empty(&q->tiers[t]))
			return list_entry(q->tiers[t].prev, request_t,
					  by_queue);
	}
	return NULL;
}

/* Whether a request of the tier is shed before every sidecar has refused it. */
static bool may_shed_unasked(const entry_t *e, int tier)
{
	return tier == TIER_LOWEST ||
	       e->waiting >= e->conf.waiting_max +
				     e->conf.waiting_max / RESERVE_DIVISOR;
}

static void count_shed_unasked(entry_t *e, int tier)
{
	if (tier != TIER_LOWEST)
		e->shed_unasked->value++;
}

/*
 * Makes room for a new request when waiting_max is reached: the newest of the
 * lowest tier of its service is shed, which may be the new one itself. A tier
 * above the lowest is first offered to all sidecars, until the reserve is used
 * up too. Returns whether the new request may come in.
 */
bool shed_make_room(entry_t *e, const submission_t *s, ms_t now)
{
	int tier = CLAMP(s->tier, 0, TIER_LOWEST);
	request_t *r;

	if (e->waiting < e->conf.waiting_max)
		return true;
	r = newest_of_lowest_tier(e, s->service);
	if (!r || r->sub.tier <= tier) {
		if (!may_shed_unasked(e, tier))
			return true;
		count_shed_unasked(e, tier);
		return false;
	}
	if (may_shed_unasked(e, r->sub.tier)) {
		count_shed_unasked(e, r->sub.tier);
		request_end(e, r, CODE_SHED, pick_retry_after(e, s->service));
	} else if (r->state == REQUEST_WAITING && !r->widened) {
		offers_widen(e, r, now);
	}
	return true;
}
