/* Running the rig, and what a test does to it. */
#include <inttypes.h>
#include <string.h>
#include "rig/priv.h"

static node_t *nodes_new(rig_t *rig, unsigned int count, int end,
			 const char *prefix)
{
	node_t *all = g_new0(node_t, count);

	for (unsigned int i = 0; i < count; i++) {
		all[i].rig = rig;
		all[i].end = end;
		all[i].i = i;
		all[i].counters = counters_new();
		g_snprintf(all[i].name, sizeof(all[i].name), "%s-%u", prefix,
			   i);
	}
	return all;
}

/* Starts all processes; conf is copied, the array of engines is not. */
rig_t *rig_new(const rig_conf_t *conf)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->conf = *conf;
	rig->rand = g_rand_new_with_seed((guint32)conf->seed);
	rig->now = 1000;
	rig->heap = g_ptr_array_new();
	rig->requests = g_ptr_array_new();
	rig->by_rid = g_hash_table_new(rid_hash, rid_equal);
	rig->links = g_new0(rig_link_t, (gsize)conf->entries * conf->sidecars);
	rig->entries = nodes_new(rig, conf->entries, END_ENTRY, "entry");
	rig->sides = nodes_new(rig, conf->sidecars, END_SIDE, "side");
	for (unsigned int i = 0; i < conf->sidecars; i++)
		node_start(&rig->sides[i]);
	for (unsigned int i = 0; i < conf->entries; i++)
		node_start(&rig->entries[i]);
	return rig;
}

static void request_free_all(rig_t *rig)
{
	for (guint i = 0; i < rig->requests->len; i++) {
		rig_request_t *r = rig->requests->pdata[i];

		g_free(r->service);
		if (r->got)
			g_string_free(r->got, TRUE);
		g_free(r);
	}
	g_ptr_array_unref(rig->requests);
	g_hash_table_destroy(rig->by_rid);
}

static void nodes_free(node_t *all, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		node_stop(&all[i]);
		if (all[i].engine)
			engine_free(all[i].engine);
		counters_free(all[i].counters);
	}
	g_free(all);
}

/* Ends all processes and frees the rig. */
void rig_free(rig_t *rig)
{
	nodes_free(rig->entries, rig->conf.entries);
	nodes_free(rig->sides, rig->conf.sidecars);
	for (guint i = 0; i < rig->heap->len; i++)
		event_free(rig->heap->pdata[i]);
	g_ptr_array_unref(rig->heap);
	request_free_all(rig);
	decoder_clear(&rig->decoder);
	g_free(rig->links);
	g_rand_free(rig->rand);
	g_free(rig);
}

/* The present time, in ms. */
ms_t rig_now(const rig_t *rig)
{
	return rig->now;
}

static void run_event(rig_t *rig, node_t *n, const event_t *e)
{
	switch (e->type) {
	case EVENT_MSG:
		link_deliver(rig, e);
		break;
	case EVENT_UP:
		link_side_up(rig, e);
		break;
	case EVENT_DOWN:
		link_down(rig, e);
		break;
	case EVENT_CONNECT:
		link_connect(rig, e->entry, e->side);
		break;
	default:
		node_event(n, e);
	}
}

/* Runs for a span of virtual time. What comes to a paused process waits. */
void rig_run(rig_t *rig, ms_t span)
{
	ms_t until = rig->now + span;
	event_t *e;

	while ((e = event_pop(rig, until))) {
		node_t *n = e->end == END_ENTRY ? &rig->entries[e->entry]
						: &rig->sides[e->side];

		rig->now = e->due;
		if (e->type == EVENT_REVIVE) {
			node_start(n);
		} else if (!n->dead && n->paused_until > rig->now) {
			event_push_again(rig, e, n->paused_until);
			continue;
		} else if (!n->dead) {
			run_event(rig, n, e);
		}
		event_free(e);
	}
	rig->now = until;
}

static rig_request_t *copy_request(rig_t *rig, const rig_request_t *like)
{
	rig_request_t *r = g_new0(rig_request_t, 1);

	*r = *like;
	r->service = g_strdup(rig->conf.side.service);
	g_ptr_array_add(rig->requests, r);
	r->number = rig->requests->len;
	r->submitted_at = rig->now;
	r->first_at = -1;
	r->got = rig->conf.keep_got ? g_string_new(NULL) : NULL;
	return r;
}

/* Submits a request to an entry that is alive; NULL when it is not. */
rig_request_t *rig_submit(rig_t *rig, unsigned int entry,
			  const rig_request_t *like)
{
	node_t *n = &rig->entries[entry];
	rig_request_t *r;
	char *body;
	char customer[16];
	submission_t s = { .route = "chat", .model = true };

	if (n->dead || n->paused_until > rig->now)
		return NULL;
	r = copy_request(rig, like);
	r->entry = entry;
	body = g_strdup_printf(
		"%u %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64, r->number,
		r->prompt, r->output, r->prefix, r->prefix_len);
	g_snprintf(customer, sizeof(customer), "customer-%u", r->customer);
	s.customer = customer;
	s.service = r->service;
	s.stream = true;
	s.tier = r->tier;
	s.idempotent = !r->plain && !r->key;
	s.key = r->key ? body : NULL;
	s.body = str_of(body);
	s.prompt_tokens = r->prompt;
	s.prefix_hash = r->prefix;
	s.time_left = r->deadline;
	r->rid = entry_submit(n->entry, &s, GUINT_TO_POINTER(r->number),
			      rig->now);
	g_hash_table_insert(rig->by_rid, &r->rid, r);
	g_free(body);
	return r;
}

/* All requests so far. */
const GPtrArray *rig_requests(const rig_t *rig)
{
	return rig->requests;
}

/* The caller of a request goes away. */
void rig_hangup(rig_t *rig, unsigned int number)
{
	rig_request_t *r = rig->requests->pdata[number - 1];
	node_t *n = &rig->entries[r->entry];

	if (r->ends || r->gone || n->dead || n->paused_until > rig->now)
		return;
	r->gone = true;
	entry_hangup(n->entry, r->rid, rig->now);
}

/* Breaks the connection of an entry and a sidecar. */
void rig_cut(rig_t *rig, unsigned int entry, unsigned int side)
{
	link_cut(rig, entry, side);
}

static void plan_revival(rig_t *rig, node_t *n, ms_t span)
{
	event_t *e = event_push(rig, EVENT_REVIVE, rig->now + span);

	e->end = n->end;
	e->entry = n->i;
	e->side = n->i;
}

/* Kills an entry for a span; its callers get no answer any more. */
void rig_kill_entry(rig_t *rig, unsigned int entry, ms_t span)
{
	node_t *n = &rig->entries[entry];

	if (n->dead)
		return;
	for (unsigned int i = 0; i < rig->conf.sidecars; i++) {
		link_cut(rig, entry, i);
		link_of(rig, entry, i)->up[END_ENTRY] = false;
	}
	for (guint i = 0; i < rig->requests->len; i++) {
		rig_request_t *r = rig->requests->pdata[i];

		if (r->entry == entry && !r->ends)
			r->gone = true;
	}
	node_stop(n);
	plan_revival(rig, n, span);
}

/* Kills a sidecar for a span; its engine drops what it ran. */
void rig_kill_side(rig_t *rig, unsigned int side, ms_t span)
{
	node_t *n = &rig->sides[side];

	if (n->dead)
		return;
	for (unsigned int i = 0; i < rig->conf.entries; i++) {
		link_cut(rig, i, side);
		link_of(rig, i, side)->up[END_SIDE] = false;
	}
	node_stop(n);
	plan_revival(rig, n, span);
}

/* An entry does nothing for a span; what comes to it waits. */
void rig_pause_entry(rig_t *rig, unsigned int entry, ms_t span)
{
	rig->entries[entry].paused_until = rig->now + span;
}

/* A sidecar does nothing for a span; what comes to it waits. */
void rig_pause_side(rig_t *rig, unsigned int side, ms_t span)
{
	rig->sides[side].paused_until = rig->now + span;
}

/* The sidecar leaves for good. */
void rig_drain_side(rig_t *rig, unsigned int side)
{
	node_t *n = &rig->sides[side];

	n->drained = true;
	if (!n->dead && n->paused_until <= rig->now)
		side_drain(n->side, rig->now);
}

/* For a span the engine takes no connection. */
void rig_engine_refuses(rig_t *rig, unsigned int side, ms_t span)
{
	rig->sides[side].refuses_until = rig->now + span;
}

/* One running stream of the engine breaks. */
void rig_engine_cut(rig_t *rig, unsigned int side)
{
	event_t *e = event_push(rig, EVENT_CUT_STREAM, rig->now);

	e->end = END_SIDE;
	e->side = side;
	e->epoch = rig->sides[side].inc;
}

/* Whether the caller has the whole answer to its own request, and no more. */
bool rig_answer_is_whole(const rig_request_t *r)
{
	GString *want = g_string_new(NULL);
	bool whole;

	for (uint64_t i = 1; i <= r->output; i++)
		g_string_append_printf(want, "data: %u.%u\n\n", r->number,
				       (unsigned int)i);
	g_string_append(want, "data: [DONE]\n\n");
	whole = r->got ? g_string_equal(want, r->got)
		       : want->len == r->got_bytes;
	g_string_free(want, TRUE);
	return whole;
}

/* The entry, or NULL while it is dead. */
entry_t *rig_entry(rig_t *rig, unsigned int entry)
{
	return rig->entries[entry].entry;
}

/* The sidecar, or NULL while it is dead. */
side_t *rig_side(rig_t *rig, unsigned int side)
{
	return rig->sides[side].side;
}

/* The engine beside a sidecar. */
engine_t *rig_engine(rig_t *rig, unsigned int side)
{
	return rig->sides[side].engine;
}

/* Whether both ends hold the connection for up, and neither is paused. */
bool rig_connected(const rig_t *rig, unsigned int entry, unsigned int side)
{
	const rig_link_t *l = &rig->links[entry * rig->conf.sidecars + side];

	return l->alive && l->up[END_ENTRY] && l->up[END_SIDE] &&
	       l->up_epoch[END_ENTRY] == l->up_epoch[END_SIDE] &&
	       rig->entries[entry].paused_until <= rig->now &&
	       rig->sides[side].paused_until <= rig->now;
}

/* A counter, summed over all processes since the start. */
uint64_t rig_counter(const rig_t *rig, const char *name)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < rig->conf.entries; i++)
		sum += counter_get(rig->entries[i].counters, name, NULL)->value;
	for (unsigned int i = 0; i < rig->conf.sidecars; i++)
		sum += counter_get(rig->sides[i].counters, name, NULL)->value;
	return sum;
}

/* Whether any engine has the prefix in its cache. */
bool rig_prefix_known(const rig_t *rig, uint64_t prefix)
{
	for (unsigned int i = 0; i < rig->conf.sidecars; i++) {
		if (engine_caches(rig->sides[i].engine, prefix))
			return true;
	}
	return false;
}

/* Messages sent by all processes. */
uint64_t rig_messages(const rig_t *rig)
{
	return rig->messages;
}
