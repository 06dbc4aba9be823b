/*
 * Requests that wait here for a place, rather than in a server's own queue,
 * which knows no order but that of arrival. The order of ranks is the one that
 * keepers have too (rank_turns).
 */
#include "edge/priv.h"

/* A customer's rank goes before the route's; 0 is the most urgent. */
unsigned int edge_priority(const edge_route_t *r, const edge_customer_t *c)
{
	unsigned int customer =
		c && c->priority > 0 ? (unsigned int)c->priority : 0;

	return MIN(customer, CUSTOMER_RANKS - 1) * ROUTE_RANKS +
	       MIN(r->priority, ROUTE_RANKS - 1);
}

static unsigned int rank_of(const request_t *r)
{
	return MIN(r->priority, RANKS - 1);
}

/* Puts a request at the end of its queue. */
void queue_push(edge_t *e, request_t *r, ms_t now)
{
	unsigned int rank = rank_of(r);
	pool_t *p = r->pool;

	r->state = REQUEST_WAITING;
	r->late = now >= r->first_event_by;
	list_add_tail(&p->waiting[rank][r->late], &r->link);
	p->nwaiting++;
	g_hash_table_insert(e->waiting, &r->rid, r);
}

/* Takes a waiting request out of its queue; what it asked for is withdrawn. */
void queue_remove(edge_t *e, request_t *r)
{
	g_hash_table_remove(e->waiting, &r->rid);
	slots_withdraw(e, r);
	list_del(&r->link);
	r->pool->nwaiting--;
}

/* Takes out a request that is given up; its quota is free again. */
void queue_abandon(edge_t *e, request_t *r)
{
	queue_remove(e, r);
	if (r->customer && !r->charged)
		quota_return(e, r->customer, r->cost);
}

/* Requests of the same rank that wait here. */
unsigned int queue_same_priority(const pool_t *p, const request_t *r)
{
	unsigned int rank = rank_of(r);

	return list_len(&p->waiting[rank][0]) + list_len(&p->waiting[rank][1]);
}

/* Returns the request that is to be sent next, or NULL. */
request_t *queue_next(pool_t *p, ms_t now)
{
	for (int i = 0; i < RANK_TURNS; i++) {
		const turn_t *t = &rank_turns[i];
		const list_t *head = &p->waiting[t->rank][t->late];

		if (!list_empty(head))
			return list_entry(head->next, request_t, link);
	}
	return NULL;
}

/* Moves requests that can no longer be in time behind those that can. */
static void sort_late(pool_t *p, int rank, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &p->waiting[rank][0])
	{
		request_t *r = list_entry(pos, request_t, link);

		if (now + p->first_event_mean < r->first_event_by)
			continue;
		list_del(&r->link);
		r->late = true;
		list_add_tail(&p->waiting[rank][1], &r->link);
	}
}

static void expire(edge_t *e, list_t *head, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, head)
	{
		request_t *r = list_entry(pos, request_t, link);
		pool_t *p = r->pool;
		ms_t need = (ms_t)p->first_event_mean;

		if (now < r->deadline - need && now < r->give_up_at - need)
			continue;
		edge_log_step(
			e, r, now, "given_up",
			"why=no_place waiting=%u asked=%u usable_places=%u "
			"late=%d",
			p->nwaiting, r->nasked, select_free_slots(p, now),
			r->late);
		queue_abandon(e, r);
		r->state = REQUEST_ENDED;
		e->ops->refuse(e->ctx, r, CODE_EXPIRED_WAITING,
			       admission_retry_after(e, p, r, now));
	}
}

/* Gives up requests that no server could answer in time any more. */
void queue_expire(edge_t *e, pool_t *p, ms_t now)
{
	for (int i = 0; i < RANKS; i++) {
		sort_late(p, i, now);
		expire(e, &p->waiting[i][0], now);
		expire(e, &p->waiting[i][1], now);
	}
}
