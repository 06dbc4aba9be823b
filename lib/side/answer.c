/* Answers: numbered chunks, kept until the entry acknowledges them. */
#include "side/priv.h"

static void chunk_free(gpointer p)
{
	chunk_t *c = p;

	g_bytes_unref(c->data);
	g_free(c);
}

/* Makes an empty answer. */
void answer_init(answer_t *a)
{
	g_queue_init(&a->chunks);
	a->first_delay = -1;
}

/* Frees what the answer holds. */
void answer_clear(answer_t *a)
{
	g_queue_clear_full(&a->chunks, chunk_free);
	g_free(a->type);
	a->type = NULL;
	a->kept_bytes = 0;
}

static void send_head(side_t *s, job_t *j)
{
	msg_t m = { .type = MSG_HEAD };

	m.u.head.rid = j->rid;
	m.u.head.status = (uint64_t)j->a.status;
	m.u.head.content_type = str_of(j->a.type);
	side_send(s, j, &m);
}

static void send_chunk(side_t *s, job_t *j, const chunk_t *c)
{
	msg_t m = { .type = MSG_CHUNK };
	gsize n;

	m.u.chunk.rid = j->rid;
	m.u.chunk.seq = c->seq;
	m.u.chunk.data.p = g_bytes_get_data(c->data, &n);
	m.u.chunk.data.n = n;
	side_send(s, j, &m);
}

/* Keeps the head and sends it to an attached entry. */
void answer_head(side_t *s, job_t *j, int status, str_t type)
{
	j->a.status = status;
	j->a.type = str_dup(type);
	sse_init(&j->a.sse, type);
	if (j->attached)
		send_head(s, j);
}

/* Keeps data as the next chunk and sends it to an attached entry. */
void answer_data(side_t *s, job_t *j, str_t data, ms_t now)
{
	answer_t *a = &j->a;
	chunk_t *c = g_new0(chunk_t, 1);
	uint64_t tokens = a->sse.tokens;

	c->seq = ++a->last_seq;
	c->data = g_bytes_new(data.p, data.n);
	g_queue_push_tail(&a->chunks, c);
	a->kept_bytes += data.n;
	a->bytes += data.n;
	sse_add(&a->sse, data);
	if (a->first_delay < 0) {
		a->first_delay = now - j->state_since;
		a->first_at = now;
		a->last_at = now;
	}
	if (a->sse.events && a->sse.tokens > tokens) {
		capacity_add_tokens(&s->capacity, a->sse.tokens - tokens,
				    now - a->last_at);
		a->last_at = now;
	}
	if (j->attached)
		send_chunk(s, j, c);
}

/* Returns the mean time between the tokens of a streamed answer, or 0. */
ms_t answer_token_gap(const answer_t *a)
{
	if (!a->sse.events || a->sse.tokens < 2)
		return 0;
	return (a->last_at - a->first_at) / (ms_t)(a->sse.tokens - 1);
}

/* Sends the entry the end of the answer. */
void answer_end(side_t *s, job_t *j)
{
	msg_t m = { .type = MSG_END };

	m.u.end.rid = j->rid;
	m.u.end.code = j->a.code;
	m.u.end.chunks = j->a.last_seq;
	m.u.end.output_tokens = sse_tokens(&j->a.sse);
	m.u.end.first_ms = (uint64_t)MAX(j->a.first_delay, 0);
	m.u.end.gap_ms = (uint64_t)answer_token_gap(&j->a);
	side_send(s, j, &m);
}

/* Frees the chunks up to the number seq. */
void answer_acked(answer_t *a, uint64_t seq)
{
	chunk_t *c;

	while ((c = g_queue_peek_head(&a->chunks)) && c->seq <= seq) {
		a->kept_bytes -= g_bytes_get_size(c->data);
		chunk_free(g_queue_pop_head(&a->chunks));
	}
}

/* Resends the head, the chunks from a number on, and the end if known. */
void answer_resend(side_t *s, job_t *j, uint64_t from)
{
	if (j->a.status)
		send_head(s, j);
	for (GList *l = j->a.chunks.head; l; l = l->next) {
		const chunk_t *c = l->data;

		if (c->seq >= from)
			send_chunk(s, j, c);
	}
	if (j->state == JOB_ENDED)
		answer_end(s, j);
}
