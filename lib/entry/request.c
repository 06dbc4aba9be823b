/* The table of requests and their states. */
#include "entry/priv.h"

/* Returns the queue of a service, making it if new. */
queue_t *queue_get(entry_t *e, const char *service)
{
	queue_t *q = g_hash_table_lookup(e->queues, service);

	if (q)
		return q;
	q = g_new0(queue_t, 1);
	for (int i = 0; i < TIER_COUNT; i++)
		list_init(&q->tiers[i]);
	g_hash_table_insert(e->queues, g_strdup(service), q);
	return q;
}

static void copy_submission(submission_t *to, const submission_t *s)
{
	*to = *s;
	to->service = g_strdup(s->service);
	to->route = g_strdup(s->route);
	to->customer = g_strdup(s->customer);
	to->key = g_strdup(s->key);
	to->method = g_strdup(s->method);
	to->path = g_strdup(s->path);
	to->content_type = g_strdup(s->content_type);
	to->body.p = g_memdup2(s->body.p, s->body.n);
	to->tier = CLAMP(s->tier, 0, TIER_LOWEST);
}

static void free_submission(submission_t *s)
{
	g_free((char *)s->service);
	g_free((char *)s->route);
	g_free((char *)s->customer);
	g_free((char *)s->key);
	g_free((char *)s->method);
	g_free((char *)s->path);
	g_free((char *)s->content_type);
	g_free((char *)s->body.p);
}

static void enqueue(entry_t *e, request_t *r)
{
	queue_t *q = queue_get(e, r->sub.service);

	list_add_tail(&q->tiers[r->sub.tier], &r->by_queue);
	e->waiting++;
}

static void dequeue(entry_t *e, request_t *r)
{
	if (list_empty(&r->by_queue))
		return;
	list_del(&r->by_queue);
	e->waiting--;
}

/* Adds a copy of a submission to the table, in state claiming. */
request_t *request_new(entry_t *e, const submission_t *s, void *user, ms_t now)
{
	request_t *r = g_new0(request_t, 1);

	r->rid = (rid_t){ e->conf.inc, e->next_seq++ };
	r->user = user;
	r->state = REQUEST_CLAIMING;
	copy_submission(&r->sub, s);
	r->deadline = now + s->time_left;
	r->no_sidecar_since = -1;
	r->next_seq = 1;
	list_init(&r->by_sidecar);
	list_init(&r->by_queue);
	list_init(&r->offers);
	list_add_tail(&e->requests, &r->link);
	g_hash_table_insert(e->by_rid, &r->rid, r);
	enqueue(e, r);
	return r;
}

/* Returns the request, or NULL. */
request_t *request_find(const entry_t *e, rid_t rid)
{
	return g_hash_table_lookup(e->by_rid, &rid);
}

static void free_offers(entry_t *e, request_t *r)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &r->offers)
		offer_drop(e, list_entry(pos, offer_t, by_request), false);
}

static void unlink_request(entry_t *e, request_t *r)
{
	free_offers(e, r);
	dequeue(e, r);
	list_del(&r->by_sidecar);
	list_del(&r->link);
	g_hash_table_remove(e->by_rid, &r->rid);
}

static void free_request(request_t *r)
{
	free_submission(&r->sub);
	g_free(r->picked_version);
	g_free(r->version);
	g_free(r->server);
	g_free(r);
}

/* Takes the request out of all tables and frees it. */
void request_free(entry_t *e, request_t *r)
{
	unlink_request(e, r);
	free_request(r);
}

/* Queues the request, at first or after a sidecar did not run it. */
void request_set_waiting(entry_t *e, request_t *r)
{
	if (list_empty(&r->by_queue))
		enqueue(e, r);
	list_del(&r->by_sidecar);
	r->sidecar = NULL;
	g_clear_pointer(&r->server, g_free);
	r->state = REQUEST_WAITING;
	r->no_sidecar_since = -1;
}

/* Assigns the request to the one sidecar that gets its body. */
void request_set_sent(entry_t *e, request_t *r, sidecar_t *s)
{
	dequeue(e, r);
	r->sidecar = s;
	list_add_tail(&s->sent, &r->by_sidecar);
	g_free(r->server);
	r->server = g_strdup(s->name);
	r->state = REQUEST_SENT;
}

/* Describes the request as it is now; strings are valid as long as it is. */
outcome_t request_outcome(const request_t *r, code_t code, ms_t retry_after)
{
	outcome_t o = { .rid = r->rid,
			.code = code,
			.retry_after = retry_after };

	if (r->server) {
		o.version = r->version;
		o.server = r->server;
	}
	return o;
}

static void count_end(entry_t *e, const request_t *r, code_t code)
{
	char *labels =
		g_strdup_printf("service=\"%s\",tier=\"%d\",code=\"%s\"",
				r->sub.service, r->sub.tier, code_name(code));

	counter_get(e->counters, "entry_ended", labels)->value++;
	g_free(labels);
}

/*
 * Reports the end to the caller, once, and frees the request. retry_after is in
 * milliseconds. The request is out of all tables before the callback, which
 * may call the entry again.
 */
void request_end(entry_t *e, request_t *r, code_t code, ms_t retry_after)
{
	outcome_t o = request_outcome(r, code, retry_after);

	offers_withdraw(e, r);
	count_end(e, r, code);
	unlink_request(e, r);
	e->ops.end(e->ctx, r->user, &o);
	free_request(r);
}

/* Frees the body, which is not needed once an engine answers. */
void request_drop_body(request_t *r)
{
	g_free((char *)r->sub.body.p);
	r->sub.body = (str_t){ NULL, 0 };
}

/* Has the sidecar cancel a sent request. */
void request_send_cancel(entry_t *e, const request_t *r)
{
	msg_t m = { .type = MSG_CANCEL };

	m.u.cancel.rid = r->rid;
	e->ops.send(e->ctx, r->sidecar->inc, &m);
}

/*
 * Has the sidecar cancel a sent request that is over for its caller. It stays
 * in the table until the sidecar confirms or disconnect_timeout has passed.
 */
void request_stop(entry_t *e, request_t *r, ms_t now)
{
	r->state = REQUEST_STOPPED;
	r->stopped_at = now;
	r->user = NULL;
	request_drop_body(r);
	if (r->sidecar->up)
		request_send_cancel(e, r);
}

/* Like request_end, for a sent request that the sidecar has yet to cancel. */
void request_abandon(entry_t *e, request_t *r, code_t code, ms_t now)
{
	outcome_t o = request_outcome(r, code, 0);
	void *user = r->user;

	count_end(e, r, code);
	request_stop(e, r, now);
	e->ops.end(e->ctx, user, &o);
}
