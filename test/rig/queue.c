/* Events in the order of time. */
#include "rig/priv.h"

static bool before(const event_t *a, const event_t *b)
{
	return a->due < b->due || (a->due == b->due && a->order < b->order);
}

static void swap(GPtrArray *h, guint a, guint b)
{
	gpointer t = h->pdata[a];

	h->pdata[a] = h->pdata[b];
	h->pdata[b] = t;
}

static void insert(GPtrArray *h, event_t *e)
{
	guint i = h->len;

	g_ptr_array_add(h, e);
	while (i > 0 && before(h->pdata[i], h->pdata[(i - 1) / 2])) {
		swap(h, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

/* Adds an event; the caller fills in the rest of it. */
event_t *event_push(rig_t *rig, event_type_t type, ms_t due)
{
	event_t *e = g_new0(event_t, 1);

	e->type = type;
	e->due = MAX(due, rig->now);
	e->at = e->due;
	e->order = rig->order++;
	insert(rig->heap, e);
	return e;
}

/* Puts an event off; among those put off alike the order stays. */
void event_push_again(rig_t *rig, event_t *e, ms_t due)
{
	e->due = due;
	insert(rig->heap, e);
}

/* Returns the next event due by until, or NULL. */
event_t *event_pop(rig_t *rig, ms_t until)
{
	GPtrArray *h = rig->heap;
	event_t *e = h->len ? h->pdata[0] : NULL;
	guint i = 0;

	if (!e || e->due > until)
		return NULL;
	g_ptr_array_remove_index_fast(h, 0);
	while (2 * i + 1 < h->len) {
		guint c = 2 * i + 1;

		if (c + 1 < h->len && before(h->pdata[c + 1], h->pdata[c]))
			c++;
		if (!before(h->pdata[c], h->pdata[i]))
			break;
		swap(h, c, i);
		i = c;
	}
	return e;
}

/* Frees an event and the message in it. */
void event_free(event_t *e)
{
	if (e->bytes)
		g_byte_array_unref(e->bytes);
	g_free(e);
}
