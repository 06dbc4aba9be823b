/* Dispatched requests: engine answers, failures, resuming, cancelling. */
#include "side/priv.h"

enum {
	RESUME_MAX = 4,	       /* failed resumes in a row */
	RESUME_WAIT = 200,     /* ms, times the failures so far */
	DEADLINE_SLACK = 1000, /* ms for the entry to cancel first */
	ENDED_KEEP = 300000,  /* ms to wait for the acknowledgement of an end */
	NOT_RUN_KEEP = 60000, /* ms that a request that did not run is kept */
};

/* Dispatches the body of a granted request, which keeps its slot. */
void run_start(side_t *s, job_t *j, const msg_body_t *b, ms_t now)
{
	side_dispatch_t d = { .rid = j->rid,
			      .version = b->version,
			      .method = b->method,
			      .path = b->path,
			      .content_type = b->content_type,
			      .body = b->body,
			      .key = b->key,
			      .stream = b->stream != 0 };

	job_set_state(s, j, JOB_RUNNING, now);
	j->attached = true;
	j->deadline = now + (ms_t)b->left_ms;
	counter_get(s->counters, "side_dispatched", NULL)->value++;
	s->ops->dispatch(s->ctx, &d);
}

/* Ends a dispatched request; its answer is kept until it is acknowledged. */
void run_end(side_t *s, job_t *j, code_t code, ms_t now)
{
	j->a.code = code;
	if (code == CODE_OK)
		speed_learn(s, j, now);
	side_count(s, s->ended_by_code, "side_ended", code);
	job_set_state(s, j, JOB_ENDED, now);
	if (j->attached)
		answer_end(s, j);
	grant_all(s, now);
}

/* Ends a running request and cancels it at the engine. */
void run_cancel(side_t *s, job_t *j, code_t code, ms_t now)
{
	rid_t rid = j->rid;

	run_end(s, j, code, now);
	s->ops->cancel(s->ctx, rid);
}

static job_t *running_job(const side_t *s, rid_t rid)
{
	job_t *j = job_find(s, rid);

	return j && j->state == JOB_RUNNING ? j : NULL;
}

/* The engine's answer begins. After a resume any status but 200 ends it. */
void side_engine_head(side_t *s, rid_t rid, int status, str_t type, ms_t now)
{
	job_t *j = running_job(s, rid);

	if (!j || j->a.resume_at)
		return;
	if (j->a.awaiting_resume && status != 200) {
		run_cancel(s, j, CODE_PATH_LOST, now);
		return;
	}
	j->a.awaiting_resume = false;
	if (j->a.status == 0)
		answer_head(s, j, status, type);
}

/* Data of the answer; one with more than answer_max bytes kept is cut. */
void side_engine_data(side_t *s, rid_t rid, str_t data, ms_t now)
{
	job_t *j = running_job(s, rid);

	if (!j || j->a.resume_at || j->a.status == 0 || data.n == 0)
		return;
	if (j->a.kept_bytes + data.n > s->conf.answer_max) {
		run_cancel(s, j, CODE_CUT, now);
		return;
	}
	j->a.failed_resumes = 0;
	answer_data(s, j, data, now);
}

static void resume_now(side_t *s, job_t *j, code_t code)
{
	j->a.resume_at = 0;
	j->a.awaiting_resume = true;
	j->a.resumed = true;
	if (code != CODE_SILENT)
		j->a.failed_resumes++;
	counter_get(s->counters, "side_resumes", NULL)->value++;
	s->ops->resume(s->ctx, j->rid, j->a.bytes);
}

/*
 * Resumes a broken answer of a model. A silent stream may just be slow and is
 * resumed until the deadline; after RESUME_MAX other failures in a row the
 * answer is given up.
 */
static void try_resume(side_t *s, job_t *j, code_t code, ms_t now)
{
	code_t lost = j->a.status ? CODE_CUT : CODE_PATH_LOST;

	if (!s->conf.model || j->a.failed_resumes >= RESUME_MAX) {
		run_cancel(s, j, lost, now);
		return;
	}
	if (code == CODE_SILENT || j->a.failed_resumes == 0)
		resume_now(s, j, code);
	else
		j->a.resume_at = now + (ms_t)RESUME_WAIT * j->a.failed_resumes;
}

/* Nothing of the request was sent to the engine. */
static void not_sent(side_t *s, job_t *j, ms_t now)
{
	rid_t rid = j->rid;

	job_free(s, j);
	side_not_run(s, rid, CODE_NOT_SENT);
	grant_all(s, now);
}

/*
 * The engine's connection ended: CODE_OK after a whole response, CODE_NOT_SENT
 * before anything was sent, other codes when it broke.
 */
void side_engine_end(side_t *s, rid_t rid, code_t code, ms_t now)
{
	job_t *j = running_job(s, rid);

	if (!j || j->a.resume_at)
		return;
	if (code == CODE_NOT_SENT && !j->a.resumed) {
		not_sent(s, j, now);
		return;
	}
	if (code == CODE_BAD_ANSWER) {
		run_cancel(s, j, code, now);
		return;
	}
	if (code == CODE_OK && j->a.status == 0)
		code = CODE_CUT;
	if (code == CODE_OK && j->a.sse.events && !j->a.sse.done)
		code = CODE_CUT;
	if (code == CODE_OK)
		run_end(s, j, code, now);
	else
		try_resume(s, j, code, now);
}

static bool peer_timed_out(side_t *s, const job_t *j, ms_t now)
{
	const peer_t *p = peer_get(s, j->rid.inc);

	return !p->up && now - p->down_at > s->conf.entry_timeout;
}

/* Frees an ended request that its entry never acknowledged. */
static void forget_answer(side_t *s, job_t *j)
{
	peer_t *p = peer_get(s, j->rid.inc);

	p->forgotten_grants = MAX(p->forgotten_grants, j->grant);
	job_free(s, j);
}

static void tick_running(side_t *s, job_t *j, ms_t now)
{
	if (peer_timed_out(s, j, now))
		run_cancel(s, j, CODE_CANCELLED, now);
	else if (now > j->deadline + DEADLINE_SLACK)
		run_cancel(s, j, CODE_EXPIRED_RUNNING, now);
	else if (j->a.resume_at && now >= j->a.resume_at)
		resume_now(s, j, CODE_CUT);
}

/* Resumes, cancels and frees requests when their time has come. */
void run_tick(side_t *s, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &s->running)
	{
		tick_running(s, list_entry(pos, job_t, link), now);
	}
	list_for_each_safe(pos, tmp, &s->ended)
	{
		job_t *j = list_entry(pos, job_t, link);

		if (peer_timed_out(s, j, now) ||
		    now - j->state_since > ENDED_KEEP)
			forget_answer(s, j);
	}
	list_for_each_safe(pos, tmp, &s->not_run)
	{
		job_t *j = list_entry(pos, job_t, link);

		if (now - j->state_since < NOT_RUN_KEEP)
			break;
		job_free(s, j);
	}
}
