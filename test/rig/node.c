/* Entries, sidecars and their engines in the rig. */
#include <stdlib.h>
#include <string.h>
#include "rig/priv.h"

static rig_request_t *request_of(const rig_t *rig, gpointer user)
{
	return rig->requests->pdata[GPOINTER_TO_UINT(user) - 1];
}

static unsigned int side_by_inc(const rig_t *rig, uint64_t inc)
{
	for (unsigned int i = 0; i < rig->conf.sidecars; i++) {
		if (rig->sides[i].inc == inc)
			return i;
	}
	return rig->conf.sidecars;
}

static unsigned int entry_by_inc(const rig_t *rig, uint64_t inc)
{
	for (unsigned int i = 0; i < rig->conf.entries; i++) {
		if (rig->entries[i].inc == inc)
			return i;
	}
	return rig->conf.entries;
}

static void entry_send(void *ctx, uint64_t inc, const msg_t *m)
{
	node_t *n = ctx;
	unsigned int side = side_by_inc(n->rig, inc);

	if (side < n->rig->conf.sidecars)
		link_send(n->rig, n->i, side, END_SIDE, m);
}

static void entry_head(void *ctx, void *user, const outcome_t *o, int status,
		       str_t type)
{
	g_assert_nonnull(o->server);
	g_assert_true(status == 200);
}

static void entry_data(void *ctx, void *user, str_t data)
{
	node_t *n = ctx;
	rig_request_t *r = request_of(n->rig, user);

	g_assert_false(r->gone);
	if (r->first_at < 0)
		r->first_at = n->rig->now;
	r->got_bytes += data.n;
	if (r->got)
		g_string_append_len(r->got, data.p, (gssize)data.n);
}

static void entry_end(void *ctx, void *user, const outcome_t *o)
{
	node_t *n = ctx;
	rig_request_t *r = request_of(n->rig, user);

	r->ends++;
	r->code = o->code;
	r->retry_after = o->retry_after;
	r->ended_at = n->rig->now;
	if (n->rig->conf.ended)
		n->rig->conf.ended(n->rig->conf.ctx, r);
}

static void entry_claim(void *ctx, rid_t rid, const char *customer,
			const char *key)
{
	node_t *n = ctx;
	event_t *e = event_push(n->rig, EVENT_CLAIMED, n->rig->now + 20);
	gint32 dice = g_rand_int_range(n->rig->rand, 0, 10);

	e->end = END_ENTRY;
	e->entry = n->i;
	e->rid = rid;
	e->n = dice == 0 ? CODE_DUPLICATE : dice == 1 ? CODE_NO_CLAIM : CODE_OK;
}

static const char *entry_pick(void *ctx, const char *service, ms_t now)
{
	return "v1";
}

static const char *entry_fallback(void *ctx, const char *service,
				  const char *picked)
{
	return NULL;
}

static void entry_note(void *ctx, const sample_t *s, ms_t now)
{
}

static const entry_ops_t entry_ops = {
	.send = entry_send,
	.head = entry_head,
	.data = entry_data,
	.end = entry_end,
	.claim = entry_claim,
	.pick_version = entry_pick,
	.fallback_version = entry_fallback,
	.record_run = entry_note,
};

static void note_cannot_finish(const node_t *n, rid_t rid)
{
	rig_request_t *r = g_hash_table_lookup(n->rig->by_rid, &rid);

	if (r)
		r->cannot_finish |= UINT64_C(1) << n->i;
}

static void side_send_msg(void *ctx, uint64_t inc, const msg_t *m)
{
	node_t *n = ctx;
	unsigned int entry = entry_by_inc(n->rig, inc);

	if (m->type == MSG_REFUSE && m->u.refuse.code == CODE_CANNOT_FINISH)
		note_cannot_finish(n, m->u.refuse.rid);
	if (entry < n->rig->conf.entries)
		link_send(n->rig, entry, n->i, END_ENTRY, m);
}

static event_t *push_engine(node_t *n, event_type_t type, rid_t rid)
{
	event_t *e = event_push(n->rig, type, n->rig->now);

	e->end = END_SIDE;
	e->side = n->i;
	e->epoch = n->inc;
	e->rid = rid;
	return e;
}

static void side_dispatch(void *ctx, const side_dispatch_t *d)
{
	node_t *n = ctx;
	char *body = str_dup(d->body);
	unsigned int number = (unsigned int)strtoul(body, NULL, 10);
	rig_request_t *r = n->rig->requests->pdata[number - 1];

	if (n->refuses_until > n->rig->now) {
		push_engine(n, EVENT_NOT_SENT, d->rid);
	} else {
		r->dispatches++;
		r->dispatched_at = n->rig->now;
		r->side = n->i;
		r->prefix_known = rig_prefix_known(n->rig, r->prefix);
		engine_add(n->engine, d->rid, body, n->rig->now);
		node_engine_plan(n);
	}
	g_free(body);
}

static void side_resume(void *ctx, rid_t rid, uint64_t from)
{
	push_engine(ctx, EVENT_RESUME, rid)->n = from;
}

static void side_cancel(void *ctx, rid_t rid)
{
	node_t *n = ctx;

	engine_cancel(n->engine, rid);
}

static const side_ops_t side_ops = {
	.send = side_send_msg,
	.dispatch = side_dispatch,
	.resume = side_resume,
	.cancel = side_cancel,
};

static void engine_head(void *ctx, engine_job_t *j)
{
	node_t *n = ctx;

	side_engine_head(n->side, j->rid, 200, str_of("text/event-stream"),
			 n->rig->now);
}

static void engine_data(void *ctx, engine_job_t *j, str_t data)
{
	node_t *n = ctx;

	side_engine_data(n->side, j->rid, data, n->rig->now);
}

static void engine_end(void *ctx, engine_job_t *j)
{
	node_t *n = ctx;
	rig_request_t *r = n->rig->requests->pdata[j->number - 1];

	r->computed += j->computed;
	side_engine_end(n->side, j->rid, CODE_OK, n->rig->now);
}

static const engine_ops_t engine_ops = {
	.head = engine_head,
	.data = engine_data,
	.end = engine_end,
};

/* Has an event come at the end of the engine's present step. */
void node_engine_plan(node_t *n)
{
	ms_t next = engine_next(n->engine);
	event_t *e;

	if (next < 0 || n->engine_due >= 0)
		return;
	e = event_push(n->rig, EVENT_ENGINE, next);
	e->end = END_SIDE;
	e->side = n->i;
	e->epoch = n->inc;
	n->engine_due = e->due;
}

static void push_own(node_t *n, event_type_t type, ms_t due)
{
	event_t *e = event_push(n->rig, type, due);

	e->end = n->end;
	e->entry = n->i;
	e->side = n->i;
	e->epoch = n->inc;
}

static void start_entry(node_t *n)
{
	entry_conf_t c = n->rig->conf.entry;

	c.inc = n->inc;
	c.seed = g_rand_int(n->rig->rand);
	n->entry = entry_new(&c, &entry_ops, n, n->counters);
	for (unsigned int i = 0; i < n->rig->conf.sidecars; i++)
		link_plan(n->rig, n->i, i, n->rig->now);
}

static void start_side(node_t *n)
{
	side_conf_t c = n->rig->conf.side;

	c.name = n->name;
	c.seed = g_rand_int(n->rig->rand);
	n->side = side_new(&c, &side_ops, n, n->counters);
	side_set_versions(n->side, "v1", n->rig->now);
	if (n->drained)
		side_drain(n->side, n->rig->now);
	if (!n->engine)
		n->engine =
			engine_new(&n->rig->conf.engines[n->i], &engine_ops, n);
	n->engine_due = -1;
	push_own(n, EVENT_STATE, n->rig->now + n->rig->conf.state_every);
}

/* Starts a process under a new incarnation. */
void node_start(node_t *n)
{
	n->dead = false;
	n->paused_until = 0;
	n->inc = ++n->rig->incs;
	if (n->end == END_ENTRY)
		start_entry(n);
	else
		start_side(n);
	push_own(n, EVENT_TICK, n->rig->now + n->rig->conf.tick);
}

/* Ends a process; the engine beside it drops what it ran. */
void node_stop(node_t *n)
{
	n->dead = true;
	if (n->entry)
		entry_free(n->entry);
	if (n->side)
		side_free(n->side);
	if (n->engine)
		engine_clear(n->engine);
	n->entry = NULL;
	n->side = NULL;
}

/* Sends the sidecar's state to an entry. */
void node_state(node_t *n, unsigned int entry)
{
	msg_t m = { .type = MSG_STATE };

	side_get_state(n->side, &m.u.state);
	link_send(n->rig, entry, n->i, END_ENTRY, &m);
}

static void tick(node_t *n)
{
	if (n->end == END_ENTRY)
		entry_tick(n->entry, n->rig->now);
	else
		side_tick(n->side, n->rig->now);
	push_own(n, EVENT_TICK, n->rig->now + n->rig->conf.tick);
}

static void send_states(node_t *n)
{
	for (unsigned int i = 0; i < n->rig->conf.entries; i++)
		node_state(n, i);
	side_set_load(n->side, engine_running(n->engine),
		      engine_queued(n->engine), n->rig->now);
	push_own(n, EVENT_STATE, n->rig->now + n->rig->conf.state_every);
}

static void resume(node_t *n, const event_t *e)
{
	engine_job_t *j = engine_find(n->engine, e->rid);
	ms_t now = n->rig->now;

	if (!j || j->cancelled || e->n > j->text->len) {
		side_engine_head(n->side, e->rid, 404, str_of(""), now);
		return;
	}
	j->attached = true;
	side_engine_head(n->side, e->rid, 200, str_of("text/event-stream"),
			 now);
	side_engine_data(n->side, e->rid,
			 (str_t){ j->text->str + e->n, j->text->len - e->n },
			 now);
}

static void cut_stream(node_t *n)
{
	const GPtrArray *all = n->rig->requests;

	for (guint i = 0; i < all->len; i++) {
		const rig_request_t *r = all->pdata[i];
		engine_job_t *j = engine_find(n->engine, r->rid);

		if (!j || !j->attached || !j->started || j->cancelled)
			continue;
		j->attached = false;
		side_engine_end(n->side, j->rid, CODE_CUT, n->rig->now);
		return;
	}
}

/* Runs an event of the node's own; those of older incarnations are void. */
void node_event(node_t *n, const event_t *e)
{
	if (e->type == EVENT_CLAIMED) {
		entry_claim_done(n->entry, e->rid, (code_t)e->n, n->rig->now);
		return;
	}
	if (e->epoch != n->inc)
		return;
	if (e->type == EVENT_TICK) {
		tick(n);
	} else if (e->type == EVENT_STATE) {
		send_states(n);
	} else if (e->type == EVENT_ENGINE) {
		n->engine_due = -1;
		engine_step(n->engine);
		node_engine_plan(n);
	} else if (e->type == EVENT_NOT_SENT) {
		side_engine_end(n->side, e->rid, CODE_NOT_SENT, n->rig->now);
	} else if (e->type == EVENT_RESUME) {
		resume(n, e);
	} else if (e->type == EVENT_CUT_STREAM) {
		cut_stream(n);
	}
}
