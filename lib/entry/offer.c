/* Offers of requests to sidecars, and their grants and refusals. */
#include "entry/priv.h"

static void send_withdraw(entry_t *e, const sidecar_t *s, rid_t rid)
{
	msg_t m = { .type = MSG_WITHDRAW };

	m.u.withdraw.rid = rid;
	e->ops.send(e->ctx, s->inc, &m);
}

/* Removes an offer; withdraw also has the sidecar forget a pending one. */
void offer_drop(entry_t *e, offer_t *o, bool withdraw)
{
	if (!o->refused) {
		o->request->pending_offers--;
		if (withdraw && o->sidecar->up)
			send_withdraw(e, o->sidecar, o->request->rid);
	}
	list_del(&o->by_request);
	list_del(&o->by_sidecar);
	g_free(o);
}

/* Withdraws all offers of the request. */
void offers_withdraw(entry_t *e, request_t *r)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &r->offers)
		offer_drop(e, list_entry(pos, offer_t, by_request), true);
}

static offer_t *find_offer(const request_t *r, const sidecar_t *s)
{
	for (list_t *p = r->offers.next; p != &r->offers; p = p->next) {
		offer_t *o = list_entry(p, offer_t, by_request);

		if (o->sidecar == s)
			return o;
	}
	return NULL;
}

static void send_offer(entry_t *e, const request_t *r, const sidecar_t *s,
		       ms_t now)
{
	msg_t m = { .type = MSG_OFFER };
	msg_offer_t *o = &m.u.offer;

	o->rid = r->rid;
	o->service = str_of(r->sub.service);
	o->version = str_of(r->version);
	o->customer = str_of(r->sub.customer);
	o->tier = (uint64_t)r->sub.tier;
	o->prompt_tokens = r->sub.prompt_tokens;
	o->output_tokens = estimate_output(e, &r->sub);
	o->prefix = r->sub.prefix_hash;
	o->left_ms = (uint64_t)MAX(r->deadline - now, 0);
	e->offers_sent->value++;
	e->ops.send(e->ctx, s->inc, &m);
}

static offer_t *offer_new(request_t *r, sidecar_t *s)
{
	offer_t *o = g_new0(offer_t, 1);

	o->request = r;
	o->sidecar = s;
	list_add_tail(&r->offers, &o->by_request);
	list_add_tail(&s->offers, &o->by_sidecar);
	return o;
}

static void mark_refused(offer_t *o, code_t code, ms_t until, ms_t retry)
{
	o->refused = true;
	o->code = code;
	o->hold_until = until;
	o->retry_after = retry;
}

/* The sidecar did not run the request: no offer to it for NOT_RUN_PAUSE. */
void offer_pause(request_t *r, sidecar_t *s, ms_t now)
{
	offer_t *o = offer_new(r, s);

	o->sent_at = now;
	mark_refused(o, CODE_NOT_SENT, now + NOT_RUN_PAUSE, NOT_RUN_PAUSE);
}

/*
 * Offers the request to a sidecar. While a refusal of a higher tier holds
 * there, or its engine is down, the offer counts as refused and no message is
 * sent.
 */
static void offer_to(entry_t *e, request_t *r, sidecar_t *s, ms_t now)
{
	offer_t *o = find_offer(r, s);
	ms_t refuses_until = s->refuses_until[r->sub.tier];

	if (!o)
		o = offer_new(r, s);
	o->sent_at = now;
	if (refuses_until > now) {
		mark_refused(o, CODE_SHED, refuses_until, refuses_until - now);
		return;
	}
	if (s->no_engine_until > now) {
		mark_refused(o, CODE_NO_SERVER, s->no_engine_until,
			     RETRY_AFTER_DEFAULT);
		return;
	}
	o->refused = false;
	r->pending_offers++;
	r->no_sidecar_since = -1;
	send_offer(e, r, s, now);
}

static bool has_live(const entry_t *e, const request_t *r, const char *version)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		const sidecar_t *s = list_entry(p, sidecar_t, link);

		if (sidecar_serves(s, r->sub.service, version))
			return true;
	}
	return false;
}

/* Without a picked version, takes the first that a live sidecar lists. */
static const char *any_version(const entry_t *e, const request_t *r)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		const sidecar_t *s = list_entry(p, sidecar_t, link);

		if (sidecar_serves(s, r->sub.service, NULL))
			return s->versions[0];
	}
	return NULL;
}

static void set_version(entry_t *e, request_t *r, const char *version)
{
	if (!version || g_strcmp0(version, r->version) == 0)
		return;
	offers_withdraw(e, r);
	g_free(r->version);
	r->version = g_strdup(version);
}

static bool version_is_bad(const entry_t *e, const request_t *r,
			   const char *version)
{
	return version && e->ops.is_bad &&
	       e->ops.is_bad(e->ctx, r->sub.service, version);
}

/* Gives up a version that was found bad after it was picked. */
static void forget_bad_version(entry_t *e, request_t *r)
{
	if (version_is_bad(e, r, r->picked_version))
		g_clear_pointer(&r->picked_version, g_free);
	if (!version_is_bad(e, r, r->version))
		return;
	offers_withdraw(e, r);
	g_clear_pointer(&r->version, g_free);
}

/*
 * Picks the version once, before any sidecar. While no live sidecar has it, the
 * fallback version is used; the picked one is used again once only it is live.
 */
static void choose_version(entry_t *e, request_t *r, ms_t now)
{
	const char *fallback;

	forget_bad_version(e, r);
	if (!r->picked_version)
		r->picked_version = g_strdup(
			e->ops.pick_version(e->ctx, r->sub.service, now));
	if (!r->picked_version) {
		set_version(e, r, any_version(e, r));
		return;
	}
	if (!r->version)
		set_version(e, r, r->picked_version);
	if (has_live(e, r, r->version))
		return;
	fallback = e->ops.fallback_version(e->ctx, r->sub.service,
					   r->picked_version);
	if (fallback && has_live(e, r, fallback))
		set_version(e, r, fallback);
	else if (has_live(e, r, r->picked_version))
		set_version(e, r, r->picked_version);
}

/*
 * Time to repeat an offer that was refused. A widened request is offered again
 * before the hold ends, so that no lower tier gets in between.
 */
static ms_t reoffer_time(const request_t *r, const offer_t *o)
{
	if (!o->refused || o->code == CODE_CANNOT_FINISH)
		return INT64_MAX;
	if (!r->widened)
		return o->hold_until;
	return MAX(o->hold_until - REOFFER_LEAD, o->sent_at + REOFFER_LEAD);
}

static ms_t first_reoffer_time(const request_t *r)
{
	ms_t first = INT64_MAX;

	for (list_t *p = r->offers.next; p != &r->offers; p = p->next)
		first = MIN(first, reoffer_time(r, list_entry(p, offer_t,
							      by_request)));
	return first;
}

/*
 * Returns the live sidecars without an offer; with lapsed set, also those due
 * for a repeated one.
 */
static GPtrArray *sidecars_to_offer(const request_t *r, const GPtrArray *live,
				    bool lapsed, ms_t now)
{
	GPtrArray *left = g_ptr_array_new();

	for (guint i = 0; i < live->len; i++) {
		const offer_t *o = find_offer(r, live->pdata[i]);

		if (!o || (lapsed && reoffer_time(r, o) <= now))
			g_ptr_array_add(left, live->pdata[i]);
	}
	return left;
}

/* Offers to the prefix's sidecar, alone for head_start unless it is busy. */
static void offer_by_prefix(entry_t *e, request_t *r, const GPtrArray *live,
			    GPtrArray *left, ms_t now)
{
	sidecar_t *s = pick_by_prefix(live, r->sub.prefix_hash);

	if (!s || !g_ptr_array_remove_fast(left, s))
		return;
	offer_to(e, r, s, now);
	if (pick_load_acceptable(live, s))
		r->head_start_end = now + e->conf.head_start;
}

static void fill_from(entry_t *e, request_t *r, GPtrArray *left, ms_t now)
{
	unsigned int want = r->widened ? UINT_MAX : e->conf.initial_offers;

	if (!r->widened && now < r->head_start_end)
		want = 1;
	while (left->len > 0 && r->pending_offers < want)
		offer_to(e, r, pick_random(e->rand, left), now);
}

static void wait_for_server(entry_t *e, request_t *r, ms_t now)
{
	if (r->no_sidecar_since < 0)
		r->no_sidecar_since = now;
	if (now - r->no_sidecar_since >= NO_SERVER_WAIT)
		request_end(e, r, CODE_NO_SERVER, RETRY_AFTER_DEFAULT);
}

/*
 * Brings the pending offers of a waiting request up to the wanted number. Ends
 * it when every live sidecar has refused, or there was none for NO_SERVER_WAIT.
 */
void offers_fill(entry_t *e, request_t *r, ms_t now)
{
	bool first = list_empty(&r->offers);
	GPtrArray *live;
	GPtrArray *left;
	bool no_sidecar;

	choose_version(e, r, now);
	r->changes_seen = e->sidecar_changes;
	live = pick_live(e, r, now);
	no_sidecar = live->len == 0 || !r->version;
	if (!no_sidecar) {
		left = sidecars_to_offer(r, live, false, now);
		if (first && r->sub.prefix_hash)
			offer_by_prefix(e, r, live, left, now);
		fill_from(e, r, left, now);
		g_ptr_array_unref(left);
	}
	if (!no_sidecar && (r->pending_offers == 0 || r->widened)) {
		left = sidecars_to_offer(r, live, true, now);
		fill_from(e, r, left, now);
		g_ptr_array_unref(left);
	}
	r->reoffer_at = first_reoffer_time(r);
	if (no_sidecar)
		wait_for_server(e, r, now);
	else if (r->pending_offers == 0)
		shed_if_refused(e, r, live, now);
	g_ptr_array_unref(live);
}

/* Offers the request to all live sidecars from now on. */
void offers_widen(entry_t *e, request_t *r, ms_t now)
{
	r->widened = true;
	offers_fill(e, r, now);
}

static void send_body(entry_t *e, const request_t *r, uint64_t grant, ms_t now)
{
	msg_t m = { .type = MSG_BODY };
	msg_body_t *b = &m.u.body;

	b->rid = r->rid;
	b->grant = grant;
	b->left_ms = (uint64_t)MAX(r->deadline - now, 0);
	b->max_output = r->sub.max_output;
	b->version = str_of(r->version);
	b->method = str_of(r->sub.method);
	b->path = str_of(r->sub.path);
	b->content_type = str_of(r->sub.content_type);
	b->route = str_of(r->sub.route);
	b->stream = r->sub.stream;
	b->body = r->sub.body;
	b->key = str_of(r->sub.key);
	e->ops.send(e->ctx, r->sidecar->inc, &m);
}

/* The first grant gets the request; later ones are withdrawn. */
void offer_granted(entry_t *e, sidecar_t *s, const msg_grant_t *m, ms_t now)
{
	request_t *r = request_find(e, m->rid);
	offer_t *o;

	if (r && r->sidecar == s)
		return;
	o = r && r->state == REQUEST_WAITING ? find_offer(r, s) : NULL;
	if (!o || now >= r->deadline) {
		e->grants_late->value++;
		send_withdraw(e, s, m->rid);
		return;
	}
	if (version_is_bad(e, r, r->version)) {
		send_withdraw(e, s, m->rid);
		offer_drop(e, o, false);
		offers_fill(e, r, now);
		return;
	}
	offer_drop(e, o, false);
	offers_withdraw(e, r);
	request_set_sent(e, r, s);
	r->acked_at = now;
	send_body(e, r, m->grant, now);
}

/* While a refusal of one tier holds, every lower tier is refused too. */
static void extend_hold(sidecar_t *s, int tier, ms_t until)
{
	for (int t = tier + 1; t < TIER_COUNT; t++)
		s->refuses_until[t] = MAX(s->refuses_until[t], until);
}

/*
 * A hold is counted from the sending of the offer, since the time of the
 * refusal at the sidecar is not known here.
 */
static void take_refusal(request_t *r, offer_t *o, const msg_refuse_t *m,
			 ms_t now)
{
	sidecar_t *s = o->sidecar;
	ms_t until = now + NOT_RUN_PAUSE;

	if (m->code == CODE_SHED) {
		until = o->sent_at + (ms_t)MIN(m->hold_ms, INT32_MAX);
		extend_hold(s, r->sub.tier, until);
	} else if (m->code == CODE_NO_SERVER) {
		until = now + NO_ENGINE_PAUSE;
		s->no_engine_until = until;
	}
	r->pending_offers--;
	mark_refused(o, (code_t)m->code, until,
		     (ms_t)MIN(m->retry_ms, INT32_MAX));
}

/* A sidecar refused an offer, at once or after queueing it. */
void offer_refused(entry_t *e, sidecar_t *s, const msg_refuse_t *m, ms_t now)
{
	request_t *r = request_find(e, m->rid);
	offer_t *o = r ? find_offer(r, s) : NULL;

	e->refusals->value++;
	if (m->code == CODE_STOPPING)
		sidecar_set_leaving(e, s);
	else if (m->code == CODE_NOT_LOADED)
		sidecar_forget_state(e, s);
	else if (o && !o->refused)
		take_refusal(r, o, m, now);
	if (!r || r->state != REQUEST_WAITING)
		return;
	r->head_start_end = 0;
	offers_fill(e, r, now);
}
