/* Connections between entries and sidecars. */
#include "rig/priv.h"

/* Returns the link of an entry and a sidecar. */
rig_link_t *link_of(rig_t *rig, unsigned int entry, unsigned int side)
{
	return &rig->links[entry * rig->conf.sidecars + side];
}

static ms_t delay(rig_t *rig)
{
	return g_rand_int_range(rig->rand, (gint32)rig->conf.delay_min,
				(gint32)rig->conf.delay_max + 1);
}

/* When the next message arrives at that end: never before an earlier one. */
static ms_t arrival(rig_t *rig, rig_link_t *l, int to)
{
	l->last[to] = MAX(l->last[to], rig->now + delay(rig));
	return l->last[to];
}

static event_t *push_to(rig_t *rig, event_type_t type, ms_t due,
			unsigned int entry, unsigned int side, int to)
{
	event_t *e = event_push(rig, type, due);

	e->end = to;
	e->entry = entry;
	e->side = side;
	e->epoch = link_of(rig, entry, side)->epoch;
	return e;
}

/* Sends a message to an end; lost when the connection is not up here. */
void link_send(rig_t *rig, unsigned int entry, unsigned int side, int to,
	       const msg_t *m)
{
	rig_link_t *l = link_of(rig, entry, side);
	int from = to == END_SIDE ? END_ENTRY : END_SIDE;
	event_t *e;

	rig->messages++;
	if (!l->alive || !l->up[from] || l->up_epoch[from] != l->epoch)
		return;
	e = push_to(rig, EVENT_MSG, arrival(rig, l, to), entry, side, to);
	e->bytes = g_byte_array_new();
	msg_encode(m, e->bytes);
}

/* Has the entry try to connect at a time. */
void link_plan(rig_t *rig, unsigned int entry, unsigned int side, ms_t due)
{
	push_to(rig, EVENT_CONNECT, due, entry, side, END_ENTRY);
}

static ms_t backoff(rig_t *rig)
{
	return g_rand_int_range(rig->rand, 1, (gint32)rig->conf.silent + 2);
}

/* The entry connects, or tries again later. */
void link_connect(rig_t *rig, unsigned int entry, unsigned int side)
{
	rig_link_t *l = link_of(rig, entry, side);
	node_t *n = &rig->entries[entry];
	node_t *s = &rig->sides[side];

	if (l->alive || n->dead)
		return;
	if (s->dead || s->paused_until > rig->now) {
		link_plan(rig, entry, side, rig->now + backoff(rig));
		return;
	}
	l->epoch++;
	l->alive = true;
	l->last[END_ENTRY] = rig->now;
	l->last[END_SIDE] = rig->now;
	push_to(rig, EVENT_UP, arrival(rig, l, END_SIDE), entry, side,
		END_SIDE);
	l->up[END_ENTRY] = true;
	l->up_epoch[END_ENTRY] = l->epoch;
	entry_side_up(n->entry, s->inc, s->name, "one", rig->now);
}

/* The sidecar learns of the connection; an older one is over by that. */
void link_side_up(rig_t *rig, const event_t *e)
{
	rig_link_t *l = link_of(rig, e->entry, e->side);
	node_t *n = &rig->entries[e->entry];
	node_t *s = &rig->sides[e->side];

	if (!l->alive || l->epoch != e->epoch || n->dead)
		return;
	if (l->up[END_SIDE])
		side_entry_down(s->side, n->inc, rig->now);
	l->up[END_SIDE] = true;
	l->up_epoch[END_SIDE] = e->epoch;
	side_entry_up(s->side, n->inc, rig->now);
	node_state(s, e->entry);
}

/*
 * Breaks the connection. What still arrives soon at an end may be read there,
 * the rest is lost; each end notices in its own time.
 */
void link_cut(rig_t *rig, unsigned int entry, unsigned int side)
{
	rig_link_t *l = link_of(rig, entry, side);
	ms_t notice[ENDS];

	if (!l->alive)
		return;
	l->alive = false;
	for (int i = 0; i < ENDS; i++) {
		event_t *e;

		l->cut_at[i] = rig->now + delay(rig) - rig->conf.delay_min;
		notice[i] = l->cut_at[i] + backoff(rig);
		e = push_to(rig, EVENT_DOWN, notice[i], entry, side, i);
		e->n = i == END_ENTRY ? rig->sides[side].inc
				      : rig->entries[entry].inc;
	}
	link_plan(rig, entry, side, notice[END_ENTRY] + backoff(rig));
}

/* An end notices that its connection broke. */
void link_down(rig_t *rig, const event_t *e)
{
	rig_link_t *l = link_of(rig, e->entry, e->side);

	if (!l->up[e->end] || l->up_epoch[e->end] != e->epoch)
		return;
	l->up[e->end] = false;
	if (e->end == END_ENTRY)
		entry_side_down(rig->entries[e->entry].entry, e->n, rig->now);
	else
		side_entry_down(rig->sides[e->side].side, e->n, rig->now);
}

/* A message arrives, unless its connection broke before. */
void link_deliver(rig_t *rig, const event_t *e)
{
	rig_link_t *l = link_of(rig, e->entry, e->side);
	node_t *n = &rig->entries[e->entry];
	node_t *s = &rig->sides[e->side];
	msg_t m;

	if (l->epoch != e->epoch || !l->up[e->end] ||
	    l->up_epoch[e->end] != e->epoch)
		return;
	if (!l->alive && e->at > l->cut_at[e->end])
		return;
	if (msg_decode(&rig->decoder, (char *)e->bytes->data + WIRE_HEADER_SIZE,
		       e->bytes->len - WIRE_HEADER_SIZE, &m) != CODE_OK)
		g_error("a message that its sender made does not decode");
	if (e->end == END_ENTRY)
		entry_recv(n->entry, s->inc, &m, rig->now);
	else
		side_recv(s->side, n->inc, &m, rig->now);
}
