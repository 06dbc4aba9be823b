/* Requests that crash the engine that begins to answer them. */
#include <math.h>
#include "fns.h"

enum {
	POISON_FROM_MS = 5000,
	RESTART_MS = 4000,  /* of an engine */
	CRASHES = 5,	    /* after which the rule counts */
	REPEAT_CRASHES = 3, /* the same where one request repeats */
	STABLE_MS = 3000,
	CUT_HOST = 0,
};

/* Prepares the store's records. */
void poison_open(world_t *w)
{
	w->records = g_array_new(FALSE, TRUE, sizeof(record_t));
}

/* Frees the store's records. */
void poison_close(world_t *w)
{
	for (guint i = 0; i < w->records->len; i++) {
		record_t *rec = &g_array_index(w->records, record_t, i);

		g_free(rec->server);
		g_array_free(rec->parts, TRUE);
	}
	g_array_free(w->records, TRUE);
}

static bool is_cut(const world_t *w, unsigned int host)
{
	return w->play.cut && host == CUT_HOST;
}

static void add_record(world_t *w, record_t rec, const trait_t *parts, size_t n)
{
	rec.at = w->now;
	rec.parts = g_array_new(FALSE, FALSE, sizeof(trait_t));
	g_array_append_vals(rec.parts, parts, (guint)n);
	g_array_append_val(w->records, rec);
}

/* A host reports a crash. */
void poison_seen(world_t *w, const host_t *h, const crash_report_t *c)
{
	if (is_cut(w, (unsigned int)(h - w->hosts)))
		return;
	add_record(w,
		   (record_t){ .host = h->name,
			       .server = g_strdup(c->server),
			       .started = c->started_unix },
		   c->traits, c->ntraits);
}

/* A host reports that requests with a trait are answered. */
void poison_answered(world_t *w, const host_t *h, trait_t trait)
{
	if (is_cut(w, (unsigned int)(h - w->hosts)))
		return;
	add_record(w, (record_t){ .host = NULL }, &trait, 1);
}

static unsigned int crashes_allowed(const world_t *w)
{
	return w->play.repeats ? REPEAT_CRASHES : CRASHES;
}

/* Counts a request that is sent to an engine. */
void poison_sent(world_t *w, const item_t *i)
{
	w->result.poison_late += i->poison && !is_cut(w, i->host) &&
				 w->result.crashes >= crashes_allowed(w) &&
				 w->now > w->last_crash + STABLE_MS;
}

/* Has the bad requests of this ms come, at equal intervals. */
void poison_come(world_t *w)
{
	double every = MS_PER_S / MAX(w->play.poison_per_s, 1e-9);

	if (w->now < POISON_FROM_MS || w->now >= w->play.span)
		return;
	if (floor((double)w->now / every) !=
	    floor((double)(w->now - 1) / every))
		load_poison(w);
}

static void crash(world_t *w, seat_t *s)
{
	s->crashes = false;
	s->up_at = w->now + RESTART_MS;
	w->result.crashes++;
	if (w->result.crashes <= crashes_allowed(w))
		w->last_crash = w->now;
	engine_clear(s->engine);
	for (guint k = 0; k < w->items->len; k++) {
		item_t *i = w->items->pdata[k];

		if (!i->at_engine || i->engine != s->number)
			continue;
		i->at_engine = false;
		if (edge_attempt_ended(w->hosts[i->host].edge, &i->r,
				       ATTEMPT_LOST, false,
				       w->now) == NEXT_ANSWER)
			i->over = true;
	}
}

static void restart(world_t *w, seat_t *s)
{
	s->up_at = 0;
	s->started = w->now;
	for (unsigned int i = 0; i < w->play.hosts; i++)
		world_list_engine(w, w->hosts[i].edge, s->number);
}

static void deliver(world_t *w, host_t *h)
{
	for (; h->read < w->records->len; h->read++) {
		const record_t *rec =
			&g_array_index(w->records, record_t, h->read);
		const trait_t *parts = (const trait_t *)rec->parts->data;
		crash_report_t c = { .server = rec->server,
				     .started_unix = rec->started,
				     .traits = parts,
				     .ntraits = rec->parts->len };

		if (rec->at + w->play.store_ms > w->now)
			return;
		if (rec->host)
			edge_crash_reported(h->edge, rec->host, &c, h->read + 1,
					    w->now);
		else
			edge_trait_answered(h->edge, parts[0], h->read + 1,
					    w->now);
	}
}

/* Crashes and restarts engines; hosts read the records. */
void poison_step(world_t *w)
{
	for (unsigned int i = 0; i < w->play.engines; i++) {
		seat_t *s = &w->seats[i];

		if (s->crashes)
			crash(w, s);
		else if (s->up_at && w->now >= s->up_at)
			restart(w, s);
	}
	for (unsigned int i = 0; i < w->play.hosts && w->play.reports; i++) {
		if (!is_cut(w, i))
			deliver(w, &w->hosts[i]);
	}
}

/* Counts the sound requests that came after the crashes. */
void poison_count(world_t *w)
{
	ms_t from = w->last_crash ? w->last_crash + (ms_t)2 * STABLE_MS
				  : POISON_FROM_MS;

	for (guint k = 0; k < w->items->len; k++) {
		const item_t *i = w->items->pdata[k];

		if (i->poison || i->r.arrived < from)
			continue;
		w->result.sound++;
		w->result.sound_begun +=
			i->first_at != 0 && i->r.executions <= 1;
	}
}
