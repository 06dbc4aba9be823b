/* The entry: connections of sidecars, their messages, new requests. */
#include <inttypes.h>
#include <string.h>
#include "entry/priv.h"

static void make_counters(entry_t *e, counters_t *cs)
{
	e->counters = cs;
	e->offers_sent = counter_get(cs, "entry_offers", NULL);
	e->refusals = counter_get(cs, "entry_refusals", NULL);
	e->grants_late = counter_get(cs, "entry_grants_late", NULL);
	e->stray_messages = counter_get(cs, "entry_stray_messages", NULL);
	e->resumes = counter_get(cs, "entry_resumes", NULL);
	e->shed_unasked = counter_get(cs, "entry_shed_unasked", NULL);
	e->ejections = counter_get(cs, "entry_sidecars_set_aside", NULL);
}

/* Returns a new entry. ops, ctx and counters have to outlive it. */
entry_t *entry_new(const entry_conf_t *conf, const entry_ops_t *ops, void *ctx,
		   counters_t *counters)
{
	entry_t *e = g_new0(entry_t, 1);

	e->conf = *conf;
	e->conf.initial_offers = MAX(conf->initial_offers, 1);
	e->data_center = g_strdup(conf->data_center);
	e->conf.data_center = e->data_center;
	e->ops = *ops;
	e->ctx = ctx;
	e->rand = g_rand_new_with_seed(
		(guint32)(conf->seed ^ (conf->seed >> 32)));
	e->next_seq = 1;
	list_init(&e->requests);
	list_init(&e->sidecars);
	e->by_rid = g_hash_table_new(rid_hash, rid_equal);
	e->by_inc = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->output_lengths =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	make_counters(e, counters);
	return e;
}

/* Frees the entry. Requests in progress get no callback. */
void entry_free(entry_t *e)
{
	while (!list_empty(&e->requests))
		request_free(e, list_entry(e->requests.next, request_t, link));
	while (!list_empty(&e->sidecars))
		sidecar_free(e, list_entry(e->sidecars.next, sidecar_t, link));
	g_hash_table_destroy(e->by_rid);
	g_hash_table_destroy(e->by_inc);
	g_hash_table_destroy(e->queues);
	g_hash_table_destroy(e->output_lengths);
	g_rand_free(e->rand);
	g_free(e->data_center);
	g_free(e);
}

static sidecar_t *find_sidecar(const entry_t *e, uint64_t inc)
{
	return g_hash_table_lookup(e->by_inc, &inc);
}

static void drop_offers(entry_t *e, sidecar_t *s)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &s->offers)
		offer_drop(e, list_entry(pos, offer_t, by_sidecar), false);
}

/* Drops the offers; what was sent stays until disconnect_timeout. */
static void disconnect(entry_t *e, sidecar_t *s, ms_t now)
{
	if (s->up)
		s->down_since = now;
	s->up = false;
	s->state_known = false;
	e->sidecar_changes++;
	drop_offers(e, s);
}

/* Frees a sidecar; the outcome of the requests sent to it is unknown. */
static void drop_sidecar(entry_t *e, sidecar_t *s, ms_t now)
{
	disconnect(e, s, now);
	while (!list_empty(&s->sent)) {
		request_t *r = list_entry(s->sent.next, request_t, by_sidecar);

		if (r->state == REQUEST_STOPPED)
			request_free(e, r);
		else
			request_end(e, r, CODE_PATH_LOST, 0);
	}
	sidecar_free(e, s);
}

/* Drops the sidecars disconnected for disconnect_timeout. */
void sidecars_drop_disconnected(entry_t *e, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &e->sidecars)
	{
		sidecar_t *s = list_entry(pos, sidecar_t, link);

		if (!s->up && now - s->down_since >= e->conf.disconnect_timeout)
			drop_sidecar(e, s, now);
	}
}

/* A new incarnation of a sidecar has lost the requests of older ones. */
static void drop_older_incarnations(entry_t *e, const char *name, uint64_t inc,
				    ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &e->sidecars)
	{
		sidecar_t *s = list_entry(pos, sidecar_t, link);

		if (s->inc != inc && strcmp(s->name, name) == 0)
			drop_sidecar(e, s, now);
	}
}

/* Resumes, or cancels again, what was sent before the connection broke. */
static void reconnect(entry_t *e, sidecar_t *s)
{
	for (list_t *p = s->sent.next; p != &s->sent; p = p->next) {
		request_t *r = list_entry(p, request_t, by_sidecar);

		if (r->state == REQUEST_STOPPED)
			request_send_cancel(e, r);
		else
			answer_resume(e, r);
	}
}

/* An authenticated connection to incarnation inc of the sidecar is up. */
void entry_side_up(entry_t *e, uint64_t inc, const char *name,
		   const char *data_center, ms_t now)
{
	sidecar_t *s = find_sidecar(e, inc);

	drop_older_incarnations(e, name, inc, now);
	if (!s)
		s = sidecar_new(e, inc, name, data_center);
	else
		disconnect(e, s, now);
	s->up = true;
	reconnect(e, s);
}

/* The connection broke; its sent requests wait for the sidecar to reconnect. */
void entry_side_down(entry_t *e, uint64_t inc, ms_t now)
{
	sidecar_t *s = find_sidecar(e, inc);

	if (s)
		disconnect(e, s, now);
}

/* Offers nothing more to the sidecars of that name. */
void entry_side_leaving(entry_t *e, const char *name, ms_t now)
{
	(void)now;
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		sidecar_t *s = list_entry(p, sidecar_t, link);

		if (strcmp(s->name, name) == 0)
			sidecar_set_leaving(e, s);
	}
}

/* Handles a message from the sidecar; ignores types not meant for an entry. */
void entry_recv(entry_t *e, uint64_t inc, const msg_t *m, ms_t now)
{
	sidecar_t *s = find_sidecar(e, inc);

	if (!s || !s->up) {
		e->stray_messages->value++;
		return;
	}
	switch (m->type) {
	case MSG_STATE:
		sidecar_set_state(e, s, &m->u.state);
		break;
	case MSG_GRANT:
		offer_granted(e, s, &m->u.grant, now);
		break;
	case MSG_REFUSE:
		offer_refused(e, s, &m->u.refuse, now);
		break;
	case MSG_HEAD:
	case MSG_CHUNK:
	case MSG_END:
	case MSG_NOT_RUN:
		answer_recv(e, s, m, now);
		break;
	default:
		break;
	}
}

/*
 * Takes a request; user is handed back in head, data and end. The end may come
 * before the return. Returns the request's id, unique within the incarnation.
 */
rid_t entry_submit(entry_t *e, const submission_t *s, void *user, ms_t now)
{
	bool room = !e->draining && shed_make_room(e, s, now);
	request_t *r = request_new(e, s, user, now);
	rid_t rid = r->rid;

	if (e->draining) {
		request_end(e, r, CODE_STOPPING, RETRY_AFTER_DEFAULT);
	} else if (!room) {
		request_end(e, r, CODE_SHED,
			    pick_retry_after(e, r->sub.service));
	} else if (s->key && !s->idempotent) {
		e->ops.claim(e->ctx, rid, r->sub.customer, r->sub.key);
	} else {
		request_set_waiting(e, r);
		offers_fill(e, r, now);
	}
	return rid;
}

/* Takes the result of claiming a request's Idempotency-Key. */
void entry_claim_done(entry_t *e, rid_t rid, code_t code, ms_t now)
{
	request_t *r = request_find(e, rid);

	if (!r || r->state != REQUEST_CLAIMING)
		return;
	if (code == CODE_OK) {
		request_set_waiting(e, r);
		offers_fill(e, r, now);
		return;
	}
	request_end(e, r, code,
		    code == CODE_NO_CLAIM ? RETRY_AFTER_DEFAULT : 0);
}

/*
 * The caller hung up: no callback follows. Returns whether the request was
 * never sent, so that it did not run and will not.
 */
bool entry_hangup(entry_t *e, rid_t rid, ms_t now)
{
	request_t *r = request_find(e, rid);

	if (!r || r->state == REQUEST_STOPPED)
		return false;
	if (r->state == REQUEST_SENT) {
		request_stop(e, r, now);
		return false;
	}
	offers_withdraw(e, r);
	request_free(e, r);
	return true;
}

/* Refuses new requests from now on; those in progress go on to their end. */
void entry_drain(entry_t *e, ms_t now)
{
	(void)now;
	e->draining = true;
}

/* Tells whether no request is left. */
bool entry_idle(const entry_t *e)
{
	return list_empty(&e->requests);
}

/* Appends a line for each sidecar. */
void entry_print(const entry_t *e, GString *out)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		const sidecar_t *s = list_entry(p, sidecar_t, link);

		g_string_append_printf(
			out,
			"sidecar name=%s up=%d leaving=%d aside=%d service=%s "
			"speed=%" PRIu64 " limit=%" PRIu64 " used=%" PRIu64
			" waiting=%" PRIu64 " sent=%zu\n",
			s->name, s->up, s->leaving, s->ejections > 0,
			s->service ? s->service : "-", s->speed, s->limit,
			s->used, s->waiting, list_len(&s->sent));
	}
}
