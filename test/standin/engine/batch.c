/* Continuous batching: steps that grow with the batch, jobs and their sinks. */
#include <math.h>
#include "fns.h"

enum {
	NS_PER_S = 1000000000,
	NS_PER_MS = 1000000,
};

/* The connection of a sink is gone; the job goes on for a resume. */
static void on_sink_closed(void *user, hs_req_t *r)
{
	(void)r;
	sink_t *s = user;
	if (s->job != NULL)
		g_ptr_array_remove(s->job->sinks, s);
	g_free(s);
}

/* Sends a sink what the job's body has and the sink has not. */
static void sink_flush(sink_t *s)
{
	job_t *j = s->job;
	if (!s->open && (j->body->len > 0 || j->done)) {
		s->open = true;
		hs_open(s->r, 200,
			j->stream ? "text/event-stream" : "application/json");
	}
	if (j->body->len > s->pos) {
		str_t part = { j->body->str + s->pos, j->body->len - s->pos };
		s->pos = j->body->len;
		hs_write(s->r, part);
	}
	if (j->done)
		hs_finish(s->r);
}

/* Passes on new bytes of the job's body. */
void job_flush(job_t *j)
{
	for (guint i = 0; i < j->sinks->len; i++)
		sink_flush(j->sinks->pdata[i]);
}

/* Answers r with the job's body from a byte on, also while it is made. */
void sink_add(job_t *j, hs_req_t *r, size_t from)
{
	sink_t *s = g_new0(sink_t, 1);
	s->job = j;
	s->r = r;
	s->pos = from;
	r->user = s;
	r->closed = on_sink_closed;
	g_ptr_array_add(j->sinks, s);
	sink_flush(s);
}

/* Frees a finished job; its sinks keep their connections. */
static void job_free(engine_t *e, job_t *j)
{
	if (g_hash_table_lookup(e->jobs, j->id) == j)
		g_hash_table_remove(e->jobs, j->id);
	for (guint i = 0; i < j->sinks->len; i++)
		((sink_t *)j->sinks->pdata[i])->job = NULL;
	g_ptr_array_free(j->sinks, TRUE);
	g_array_free(j->blocks, TRUE);
	g_string_free(j->content, TRUE);
	g_string_free(j->body, TRUE);
	g_free(j->id);
	g_free(j->marker);
	g_free(j->version);
	g_free(j->model);
	g_free(j);
}

/* Moves a job to the finished ones, and forgets the oldest of those. */
static void job_finish(engine_t *e, job_t *j)
{
	j->done = true;
	job_flush(j);
	list_del(&j->link);
	list_add_tail(&e->finished, &j->link);
	if (++e->kept <= KEPT_JOBS)
		return;
	job_t *old = list_entry(e->finished.next, job_t, link);
	list_del(&old->link);
	e->kept--;
	job_free(e, old);
}

/* Writes the whole answer as one JSON object. */
static void body_whole(job_t *j)
{
	g_string_append_printf(
		j->body,
		"{\"id\":\"%s\",\"object\":\"chat.completion\","
		"\"model\":\"%s\",\"choices\":[{\"index\":0,\"message\":"
		"{\"role\":\"assistant\",\"content\":\"%s\"},"
		"\"finish_reason\":\"stop\"}],\"usage\":"
		"{\"prompt_tokens\":%u,\"completion_tokens\":%u}}",
		j->id, j->model, j->content->str, j->prompt, j->made);
}

/* Makes one token of a job. */
static void job_token(engine_t *e, job_t *j)
{
	GString *t = answer_token(j->marker, j->made, j->total, j->content);
	j->made++;
	bool last = j->made == j->total;
	if (j->stream) {
		g_string_append_printf(
			j->body,
			"data: {\"id\":\"%s\",\"object\":"
			"\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"%s\"}}]}\n\n",
			j->id, t->str);
		if (last)
			g_string_append(j->body, "data: [DONE]\n\n");
	} else if (last) {
		body_whole(j);
	}
	g_string_free(t, TRUE);
	if (!last) {
		job_flush(j);
		return;
	}
	event_write("done", "id=%s version=%s tokens=%u", j->id, j->version,
		    j->made);
	job_finish(e, j);
}

/* Computes this step's share of the waiting prompts, first come first. */
static void apply_prefill(engine_t *e)
{
	unsigned int left = e->step_prefill;
	list_t *pos, *tmp;
	list_for_each_safe(pos, tmp, &e->running)
	{
		job_t *j = list_entry(pos, job_t, link);
		unsigned int want = j->prompt - j->prefilled;
		unsigned int got = MIN(want, left);
		if (want == 0)
			continue;
		j->prefilled += got;
		left -= got;
		if (j->prefilled < j->prompt)
			continue;
		cache_add(&e->cache, j->blocks, stand_now());
		event_write("prefill", "id=%s computed=%u cached=%u", j->id,
			    j->prompt - j->cached, j->cached);
	}
}

/* Ends a step: a token for each request whose prompt is computed. */
static void apply_step(engine_t *e)
{
	list_t *pos, *tmp;
	list_for_each_safe(pos, tmp, &e->running)
	{
		job_t *j = list_entry(pos, job_t, link);
		if (j->prefilled < j->prompt)
			continue;
		if (j->bad && j->skip > 0) {
			j->skip--;
			continue;
		}
		if (j->bad)
			j->skip = (unsigned int)e->faults.bad_factor;
		job_token(e, j);
	}
	apply_prefill(e);
}

/* Lets waiting jobs into free slots. */
static void admit(engine_t *e)
{
	size_t n = list_len(&e->running);
	while (n < (size_t)e->conf.slots && !list_empty(&e->queued)) {
		job_t *j = list_entry(e->queued.next, job_t, link);
		list_del(&j->link);
		list_add_tail(&e->running, &j->link);
		j->cached = cache_hit(&e->cache, j->blocks) * BLOCK_TOKENS;
		j->prefilled = j->cached;
		n++;
	}
}

/* Plans the next step and returns how long it takes, in nanoseconds. */
static uint64_t plan_step(engine_t *e)
{
	admit(e);
	unsigned int batch = 0;
	unsigned int prompt = 0;
	list_t *pos, *tmp;
	list_for_each_safe(pos, tmp, &e->running)
	{
		job_t *j = list_entry(pos, job_t, link);
		batch++;
		prompt += j->prompt - j->prefilled;
	}
	e->step_prefill = MIN(prompt, PREFILL_STEP_TOKENS);
	double grown = 1.0 + BATCH_SLOWDOWN_PERCENT / 100.0 * (batch - 1.0);
	double s = grown / e->conf.speed +
		   (double)e->step_prefill / e->conf.prefill;
	return (uint64_t)(s * e->faults.slow * NS_PER_S);
}

/* Runs the steps that are over. */
static void on_step(uv_timer_t *t)
{
	batch_wake(t->data);
}

/* Goes on with the steps, as far as there are any. */
void batch_wake(engine_t *e)
{
	uint64_t now = uv_hrtime();
	if (e->faults.freeze)
		return;
	while (e->step_end != 0 && e->step_end <= now) {
		apply_step(e);
		bool idle = list_empty(&e->running) && list_empty(&e->queued);
		e->step_end = idle ? 0 : e->step_end + plan_step(e);
	}
	if (e->step_end == 0 && !list_empty(&e->queued))
		e->step_end = now + plan_step(e);
	if (e->step_end == 0)
		return;
	uint64_t wait = e->step_end > now ? e->step_end - now : 0;
	uv_timer_start(&e->step_timer, on_step, wait / NS_PER_MS + 1, 0);
}

/* Takes a request into the queue. */
void batch_add(engine_t *e, job_t *j)
{
	g_hash_table_replace(e->jobs, j->id, j);
	list_add_tail(&e->queued, &j->link);
	batch_wake(e);
}

/* Stops a request, as its caller wants. */
void batch_cancel(engine_t *e, job_t *j)
{
	if (j->done)
		return;
	event_write("cancel", "id=%s made=%u", j->id, j->made);
	job_finish(e, j);
}

/* Makes all present answers silent, their connections left open. */
void batch_mute(engine_t *e)
{
	GHashTableIter it;
	gpointer job;
	g_hash_table_iter_init(&it, e->jobs);
	while (g_hash_table_iter_next(&it, NULL, &job)) {
		job_t *j = job;
		for (guint i = 0; i < j->sinks->len; i++)
			((sink_t *)j->sinks->pdata[i])->r->muted = true;
	}
}
