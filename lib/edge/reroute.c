/*
 * Requests at a server that has fallen silent. Such a request stays there until
 * another server is certain to take it: meanwhile the server may go on, and a
 * request that was given up for a slot that never comes has lost its answer.
 */
#include "edge/priv.h"

static bool may_leave(const request_t *r, bool resumable, ms_t now)
{
	return now < r->deadline && r->dispatches < ATTEMPTS_MAX &&
	       r->executions + 1 < r->route->attempts &&
	       edge_may_rerun(r, ATTEMPT_SILENT, resumable);
}

/* Takes the retry from the budget and notes where it goes. */
static bool choose(edge_t *e, request_t *r, backend_t *b, uint64_t keeper,
		   ms_t now)
{
	r->retry_reserved = r->retry_reserved || budget_spend(e, r->pool, now);
	if (!r->retry_reserved)
		return false;
	r->next = b;
	r->next_keeper = keeper;
	return true;
}

/* Ends the search of a request for another server. */
void reroute_stop(edge_t *e, request_t *r)
{
	if (r->nasked > 0)
		slots_withdraw(e, r);
	g_hash_table_remove(e->rerouting, &r->rid);
}

/*
 * Whether to end a stalled attempt now for its server's silence. That is so
 * only if a retry is allowed, in the budget, and has a free slot at another
 * server; edge_attempt_ended has to follow with ATTEMPT_SILENT and the same
 * now. Slots of servers with keepers are requested meanwhile, and granted ones
 * taken with the leave_silent operation.
 */
bool edge_give_up_silent(edge_t *e, request_t *r, bool resumable, ms_t now)
{
	backend_t *b;

	if (!may_leave(r, resumable, now)) {
		reroute_stop(e, r);
		return false;
	}
	b = select_server(e, r->pool, r, now);
	if (b && !select_was_tried(r, b) && choose(e, r, b, 0, now))
		return true;
	g_hash_table_insert(e->rerouting, &r->rid, r);
	slots_request_more(e, r, now);
	return false;
}

/*
 * A keeper granted a slot to a request at a silent server. Returns false if it
 * is not needed: the server has gone on.
 */
bool reroute_granted(edge_t *e, request_t *r, backend_t *b, uint64_t keeper,
		     ms_t now)
{
	if (now >= r->deadline || !edge_stalled(r, now) ||
	    !choose(e, r, b, keeper, now))
		return false;
	if (e->ops->leave_silent(e->ctx, r))
		return true;
	r->next = NULL;
	return false;
}

/*
 * Sends a request whose attempt has ended to the server that was found for it.
 * Returns false when there is none.
 */
bool reroute_dispatch(edge_t *e, request_t *r, ms_t now)
{
	backend_t *b = r->next;

	if (!b)
		return false;
	r->next = NULL;
	r->granted_by = r->next_keeper;
	edge_dispatch(e, r, b, now);
	return true;
}

/* The request gets no retry after all. */
void reroute_drop(edge_t *e, request_t *r)
{
	if (r->next && r->next_keeper)
		e->ops->release_slot(e->ctx, r->next_keeper, r, SLOT_ENDED);
	r->next = NULL;
}
