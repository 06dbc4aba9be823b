/* Answers of sent requests: chunks in order, resuming, end. */
#include "entry/priv.h"

enum {
	HTTP_SERVER_ERROR = 500, /* the first status of this class */
};

static void send_ack(entry_t *e, const sidecar_t *s, rid_t rid, uint64_t seq,
		     bool end)
{
	msg_t m = { .type = MSG_ACK };

	m.u.ack.rid = rid;
	m.u.ack.seq = seq;
	m.u.ack.end = end;
	e->ops.send(e->ctx, s->inc, &m);
}

/* Acknowledges the chunks received so far; with end set, also the end. */
void answer_ack(entry_t *e, request_t *r, bool end, ms_t now)
{
	r->acked_seq = r->next_seq - 1;
	r->acked_at = now;
	r->unacked = 0;
	if (r->sidecar->up)
		send_ack(e, r->sidecar, r->rid, r->acked_seq, end);
}

/* Asks for the rest of the answer; from the head on if that is missing. */
void answer_resume(entry_t *e, request_t *r)
{
	msg_t m = { .type = MSG_RESUME };

	m.u.resume.rid = r->rid;
	m.u.resume.from = r->got_head ? r->next_seq : 0;
	r->resumes++;
	e->resumes->value++;
	e->ops.send(e->ctx, r->sidecar->inc, &m);
}

static bool is_failure(code_t code, int status)
{
	return code != CODE_OK || status >= HTTP_SERVER_ERROR;
}

/* Records a run for the canary analysis and for the sidecar's ejection. */
static void record_run(entry_t *e, request_t *r, code_t code,
		       const msg_end_t *m, ms_t now)
{
	sample_t s = { .service = r->sub.service,
		       .server = r->sidecar->name,
		       .version = r->version,
		       .route = r->sub.route,
		       .code = code,
		       .status = r->status,
		       .first_token = -1,
		       .gap = -1,
		       .tokens = r->sub.prompt_tokens };

	if (m) {
		s.tokens += m->output_tokens;
		if (m->chunks > 0)
			s.first_token = (ms_t)m->first_ms;
		if (m->output_tokens > 1)
			s.gap = (ms_t)m->gap_ms;
	}
	sidecar_count_run(e, r->sidecar, r->version,
			  !is_failure(code, r->status), now);
	e->ops.record_run(e->ctx, &s, now);
}

static void recv_head(entry_t *e, request_t *r, const msg_head_t *m)
{
	outcome_t o = request_outcome(r, CODE_OK, 0);

	if (r->got_head)
		return;
	r->got_head = true;
	r->status = (int)m->status;
	r->resumes = 0;
	request_drop_body(r);
	e->ops.head(e->ctx, r->user, &o, r->status, m->content_type);
}

/* A part is missing: resumes up to RESUMES_MAX times, then cuts the answer. */
static void recv_gap(entry_t *e, request_t *r, ms_t now)
{
	if (r->resumes < RESUMES_MAX) {
		answer_resume(e, r);
		return;
	}
	request_abandon(e, r, CODE_CUT, now);
}

static void recv_chunk(entry_t *e, request_t *r, const msg_chunk_t *m, ms_t now)
{
	if (m->seq < r->next_seq) {
		e->stray_messages->value++;
		return;
	}
	if (!r->got_head || m->seq > r->next_seq) {
		recv_gap(e, r, now);
		return;
	}
	r->next_seq++;
	r->resumes = 0;
	r->unacked += m->data.n;
	if (e->conf.ack_bytes && r->unacked >= e->conf.ack_bytes)
		answer_ack(e, r, false, now);
	e->ops.data(e->ctx, r->user, m->data);
}

/* A sent request may have run, so codes that say it did not become a cut. */
static code_t end_code(uint64_t code)
{
	if (code == CODE_OK ||
	    (code >= CODE_PATH_LOST && code <= CODE_BAD_ANSWER))
		return (code_t)code;
	return CODE_CUT;
}

static void recv_end(entry_t *e, request_t *r, const msg_end_t *m, ms_t now)
{
	code_t code = end_code(m->code);

	if (code == CODE_OK && (!r->got_head || m->chunks + 1 > r->next_seq)) {
		recv_gap(e, r, now);
		return;
	}
	answer_ack(e, r, true, now);
	if (code != CODE_CANCELLED)
		record_run(e, r, code, m, now);
	if (code == CODE_OK && r->sub.model && !is_failure(code, r->status))
		estimate_learn(e, &r->sub, m->output_tokens);
	request_end(e, r, code, 0);
}

/*
 * The sidecar did not run the request: it waits again. A sidecar that could
 * not reach its engine gets no offer of it for NOT_RUN_PAUSE.
 */
static void recv_not_run(entry_t *e, request_t *r, const msg_not_run_t *m,
			 ms_t now)
{
	sidecar_t *s = r->sidecar;

	if (r->got_head) {
		request_abandon(e, r, CODE_CUT, now);
		return;
	}
	if (m->code == CODE_NOT_SENT && r->resumes == 0)
		sidecar_count_run(e, s, r->version, false, now);
	request_set_waiting(e, r);
	if (m->code == CODE_STOPPING)
		sidecar_set_leaving(e, s);
	else if (m->code == CODE_NOT_LOADED)
		sidecar_forget_state(e, s);
	else if (m->code != CODE_GRANT_LAPSED)
		offer_pause(r, s, now);
	offers_fill(e, r, now);
}

/* An answer to a request that is over: has the sidecar drop or cancel it. */
static void recv_stray(entry_t *e, sidecar_t *s, const msg_t *m, rid_t rid)
{
	msg_t cancel = { .type = MSG_CANCEL };

	e->stray_messages->value++;
	if (m->type == MSG_END) {
		send_ack(e, s, rid, m->u.end.chunks, true);
	} else if (m->type == MSG_HEAD) {
		cancel.u.cancel.rid = rid;
		e->ops.send(e->ctx, s->inc, &cancel);
	}
}

static void recv_stopped(entry_t *e, request_t *r, const msg_t *m)
{
	if (m->type == MSG_END)
		send_ack(e, r->sidecar, r->rid, m->u.end.chunks, true);
	if (m->type == MSG_END || m->type == MSG_NOT_RUN)
		request_free(e, r);
}

static rid_t rid_of(const msg_t *m)
{
	switch (m->type) {
	case MSG_HEAD:
		return m->u.head.rid;
	case MSG_CHUNK:
		return m->u.chunk.rid;
	case MSG_END:
		return m->u.end.rid;
	default:
		return m->u.not_run.rid;
	}
}

/* Handles a head, chunk, end or not-run of the sidecar. */
void answer_recv(entry_t *e, sidecar_t *s, const msg_t *m, ms_t now)
{
	rid_t rid = rid_of(m);
	request_t *r = request_find(e, rid);

	if (!r || r->sidecar != s)
		recv_stray(e, s, m, rid);
	else if (r->state == REQUEST_STOPPED)
		recv_stopped(e, r, m);
	else if (m->type == MSG_HEAD)
		recv_head(e, r, &m->u.head);
	else if (m->type == MSG_CHUNK)
		recv_chunk(e, r, &m->u.chunk, now);
	else if (m->type == MSG_END)
		recv_end(e, r, &m->u.end, now);
	else
		recv_not_run(e, r, &m->u.not_run, now);
}

/*
 * The deadline passed while the request may be running. Without a connection
 * the run is not recorded, as the delay says nothing about the version.
 */
void answer_expired(entry_t *e, request_t *r, ms_t now)
{
	if (r->sidecar->up)
		record_run(e, r, CODE_EXPIRED_RUNNING, NULL, now);
	request_abandon(e, r, CODE_EXPIRED_RUNNING, now);
}
