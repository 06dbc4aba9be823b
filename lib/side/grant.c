/* Grants: slots leased to requests, and the bodies that come for them. */
#include "side/priv.h"

static void send_grant(side_t *s, job_t *j, ms_t now)
{
	msg_t m = { .type = MSG_GRANT };

	m.u.grant.rid = j->rid;
	m.u.grant.grant = j->grant;
	m.u.grant.lease_ms = (uint64_t)(j->state_since + s->conf.lease - now);
	side_send(s, j, &m);
}

/* Whether the request holds a grant whose lease has lapsed. */
bool grant_lapsed(const side_t *s, const job_t *j, ms_t now)
{
	return j->state == JOB_GRANTED && now >= j->state_since + s->conf.lease;
}

/* Grants waiting jobs in their order, as long as the next fits the capacity. */
void grant_all(side_t *s, ms_t now)
{
	job_t *j;

	if (s->draining || !s->engine_up)
		return;
	while ((j = wait_next(s)) && capacity_fits(&s->capacity, j->work)) {
		if (j->flow)
			j->flow->deficit -= j->work;
		speed_count_left(s, j->tier, j->work);
		job_set_state(s, j, JOB_GRANTED, now);
		j->grant = ++s->last_grant;
		j->conn = peer_get(s, j->rid.inc)->conn;
		send_grant(s, j, now);
	}
}

/* Resends a grant whose message may have been lost with its connection. */
void grant_resend(side_t *s, job_t *j, ms_t now)
{
	uint64_t conn = peer_get(s, j->rid.inc)->conn;

	if (j->conn == conn)
		return;
	j->conn = conn;
	send_grant(s, j, now);
}

/* Frees the slots of lapsed grants. */
void grant_reclaim_lapsed(side_t *s, ms_t now)
{
	while (!list_empty(&s->granted)) {
		job_t *j = list_entry(s->granted.next, job_t, link);

		if (!grant_lapsed(s, j, now))
			return;
		counter_get(s->counters, "side_grants_lapsed", NULL)->value++;
		if (j->void_grants)
			job_set_state(s, j, JOB_NOT_RUN, now);
		else
			job_free(s, j);
	}
}

/* Returns CODE_OK if the body may be dispatched now, or the reason why not. */
static code_t body_code(const side_t *s, const job_t *j, const msg_body_t *b,
			ms_t now)
{
	if (!j || j->state != JOB_GRANTED || j->grant != b->grant)
		return CODE_GRANT_LAPSED;
	if (grant_lapsed(s, j, now))
		return CODE_GRANT_LAPSED;
	if (b->left_ms == 0)
		return CODE_EXPIRED_WAITING;
	if (!s->engine_up)
		return CODE_NO_SERVER;
	if (!side_has_version(s, b->version))
		return CODE_NOT_LOADED;
	return CODE_OK;
}

/*
 * A body of a request that is not in the table. It may have run here if its
 * grant is among the forgotten ones.
 */
static void answer_unknown_body(side_t *s, const msg_body_t *b)
{
	msg_t m = { .type = MSG_END };

	if (b->grant > peer_get(s, b->rid.inc)->forgotten_grants) {
		side_not_run(s, b->rid, CODE_GRANT_LAPSED);
		return;
	}
	m.u.end.rid = b->rid;
	m.u.end.code = CODE_PATH_LOST;
	s->ops->send(s->ctx, b->rid.inc, &m);
}

/*
 * Dispatches a body under a valid grant, once. A repeated body gets the answer
 * of the first; one under a lapsed grant is not run.
 */
void grant_body(side_t *s, const msg_body_t *b, ms_t now)
{
	job_t *j = job_find(s, b->rid);
	code_t code;

	if (!j) {
		answer_unknown_body(s, b);
		return;
	}
	if (b->grant <= j->void_grants)
		return;
	if (j->state == JOB_RUNNING || j->state == JOB_ENDED) {
		if (!j->attached)
			answer_resend(s, j, 0);
		j->attached = true;
		return;
	}
	code = body_code(s, j, b, now);
	if (code == CODE_OK) {
		run_start(s, j, b, now);
		return;
	}
	if (j->state == JOB_GRANTED && j->grant == b->grant)
		job_free(s, j);
	side_not_run(s, b->rid, code);
	grant_all(s, now);
}
