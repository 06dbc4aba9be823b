/* The entry's periodic work. */
#include "entry/priv.h"

/* Whether the offers of a waiting request have to be filled up. */
static bool waiting_due(const entry_t *e, const request_t *r, ms_t now)
{
	if (r->state != REQUEST_WAITING)
		return false;
	if (r->pending_offers == 0 || r->changes_seen != e->sidecar_changes)
		return true;
	if (r->head_start_end > 0 && now >= r->head_start_end)
		return true;
	if (r->widened)
		return now >= r->reoffer_at;
	return r->deadline - now <= e->conf.widen_before;
}

static void ack_if_due(entry_t *e, request_t *r, ms_t now)
{
	if (r->state != REQUEST_SENT || r->next_seq - 1 == r->acked_seq)
		return;
	if (now - r->acked_at >= e->conf.ack_interval)
		answer_ack(e, r, false, now);
}

/*
 * Collects the requests that are due. Callbacks may change the table, so the
 * walk over it ends before the first callback.
 */
static GArray *collect_due(entry_t *e, ms_t now)
{
	GArray *due = g_array_new(FALSE, FALSE, sizeof(rid_t));
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &e->requests)
	{
		request_t *r = list_entry(pos, request_t, link);

		ack_if_due(e, r, now);
		if (r->state == REQUEST_STOPPED) {
			if (now - r->stopped_at > e->conf.disconnect_timeout)
				request_free(e, r);
		} else if (now >= r->deadline || waiting_due(e, r, now)) {
			g_array_append_val(due, r->rid);
		}
	}
	return due;
}

static void handle_due(entry_t *e, request_t *r, ms_t now)
{
	if (now >= r->deadline) {
		if (r->state == REQUEST_SENT)
			answer_expired(e, r, now);
		else if (r->state != REQUEST_STOPPED)
			request_end(e, r, CODE_EXPIRED_WAITING,
				    pick_retry_after(e, r->sub.service));
		return;
	}
	if (r->state != REQUEST_WAITING)
		return;
	if (now >= r->head_start_end)
		r->head_start_end = 0;
	if (r->deadline - now <= e->conf.widen_before)
		r->widened = true;
	offers_fill(e, r, now);
}

/* Handles due deadlines, offers, acknowledgements and lost sidecars. */
void entry_tick(entry_t *e, ms_t now)
{
	GArray *due;

	sidecars_drop_disconnected(e, now);
	due = collect_due(e, now);
	for (guint i = 0; i < due->len; i++) {
		request_t *r = request_find(e, g_array_index(due, rid_t, i));

		if (r)
			handle_due(e, r, now);
	}
	g_array_unref(due);
}
