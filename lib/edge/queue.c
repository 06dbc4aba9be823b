/*
 * Queues of requests that wait for a slot. They wait here rather than in a
 * server's own queue, which is in order of arrival only. Priorities are served
 * in the same order as by keepers (grant_order).
 */
#include "edge/priv.h"

/*
 * Returns the priority of a request, 0 the highest: by the customer's, then by
 * the route's.
 */
unsigned int edge_priority(const edge_route_t *r, const edge_customer_t *c)
{
	unsigned int customer =
		c && c->priority > 0 ? (unsigned int)c->priority : 0;

	return MIN(customer, CUSTOMER_PRIORITIES - 1) * ROUTE_PRIORITIES +
	       MIN(r->priority, ROUTE_PRIORITIES - 1);
}

static unsigned int priority_of(const request_t *r)
{
	return MIN(r->priority, PRIORITIES - 1);
}

/* Puts a request at the end of its queue. */
void queue_push(edge_t *e, request_t *r, ms_t now)
{
	unsigned int priority = priority_of(r);
	pool_t *p = r->pool;

	r->state = REQUEST_WAITING;
	r->late = now >= r->first_event_by;
	list_add_tail(&p->waiting[priority][r->late], &r->link);
	p->nwaiting++;
	g_hash_table_insert(e->waiting, &r->rid, r);
}

/* Takes a waiting request out of its queue and withdraws its slot requests. */
void queue_remove(edge_t *e, request_t *r)
{
	g_hash_table_remove(e->waiting, &r->rid);
	slots_withdraw(e, r);
	list_del(&r->link);
	r->pool->nwaiting--;
}

/* Returns the queue length of the request's priority. */
unsigned int queue_same_priority(const pool_t *p, const request_t *r)
{
	unsigned int priority = priority_of(r);

	return list_len(&p->waiting[priority][0]) +
	       list_len(&p->waiting[priority][1]);
}

/* Returns the request to send next, or NULL. */
request_t *queue_next(pool_t *p, ms_t now)
{
	for (int i = 0; i < GRANT_CLASSES; i++) {
		const grant_class_t *t = &grant_order[i];
		const list_t *head = &p->waiting[t->priority][t->late];

		if (!list_empty(head))
			return list_entry(head->next, request_t, link);
	}
	return NULL;
}

/* Moves requests that will miss their first event target to the late queue. */
static void sort_late(pool_t *p, int priority, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &p->waiting[priority][0])
	{
		request_t *r = list_entry(pos, request_t, link);

		if (now + p->first_event_mean < r->first_event_by)
			continue;
		list_del(&r->link);
		r->late = true;
		list_add_tail(&p->waiting[priority][1], &r->link);
	}
}

static bool has_begun(const request_t *r)
{
	return r->route->stream && r->ever_responded;
}

/*
 * Returns until when a request may wait for a slot. A stream that has begun and
 * lost its server may wait for another until its deadline.
 */
ms_t edge_waits_until(const request_t *r)
{
	return has_begun(r) ? r->deadline : MIN(r->deadline, r->give_up_at);
}

/* Whether a request has waited too long; one that has begun is never early. */
static bool waited_too_long(const request_t *r, ms_t now)
{
	ms_t need = has_begun(r) ? 0 : (ms_t)r->pool->first_event_mean;

	return now >= edge_waits_until(r) - need;
}

/* Returns why no server may take the request any more, or NULL. */
static const char *unservable(const edge_t *e, const request_t *r)
{
	return e->nevacuated > 0 && !has_begun(r) ? allow_none(e, r->pool, r)
						  : NULL;
}

static void expire(edge_t *e, list_t *head, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		request_t *r = list_entry(pos, request_t, link);
		pool_t *p = r->pool;
		const char *why = unservable(e, r);

		if (!why && !waited_too_long(r, now))
			continue;
		edge_log_step(e, r, now, "given_up",
			      "why=%s waiting=%u asked=%u free_slots=%u "
			      "late=%d",
			      why ? why : "no_slot", p->nwaiting, r->nasked,
			      select_free_slots(p, now), r->late);
		queue_remove(e, r);
		r->state = REQUEST_ENDED;
		e->ops->refuse(e->ctx, r,
			       why ? CODE_NO_SERVER : CODE_EXPIRED_WAITING,
			       admission_retry_after(e, p, r, now));
	}
}

/* Refuses requests that no server could answer before their deadline. */
void queue_expire(edge_t *e, pool_t *p, ms_t now)
{
	for (int i = 0; i < PRIORITIES; i++) {
		sort_late(p, i, now);
		expire(e, &p->waiting[i][0], now);
		expire(e, &p->waiting[i][1], now);
	}
}
