/* Histories: events of one run, gathered from all logs. */
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"

enum {
	LINE_MAX_BYTES = 4096,
};

/* Frees an event and its memory. */
static void event_free(void *p)
{
	event_clear(p);
	g_free(p);
}

/* Frees a list of dispatches; the events belong to the history. */
static void ids_free(void *p)
{
	g_ptr_array_free(p, TRUE);
}

/* Makes an empty history. */
history_t *history_new(void)
{
	history_t *h = g_new0(history_t, 1);
	h->events = g_ptr_array_new_with_free_func(event_free);
	h->dispatches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      ids_free);
	return h;
}

/* Returns the dispatches of a request id; made when there are none. */
static GPtrArray *dispatches_of(history_t *h, const char *id)
{
	GPtrArray *all = g_hash_table_lookup(h->dispatches, id);
	if (all == NULL) {
		all = g_ptr_array_new();
		g_hash_table_insert(h->dispatches, g_strdup(id), all);
	}
	return all;
}

/* Adds a line; empty lines are skipped. */
void history_add(history_t *h, const char *line)
{
	event_t *e = g_new0(event_t, 1);
	if (!event_parse(line, e)) {
		g_free(e);
		return;
	}
	g_ptr_array_add(h->events, e);
	if (strcmp(e->name, "dispatch") == 0)
		g_ptr_array_add(dispatches_of(h, event_field(e, "id")), e);
}

/* Adds all lines of a file. */
bool history_read(history_t *h, const char *path)
{
	char line[LINE_MAX_BYTES];
	FILE *f = fopen(path, "re");
	if (f == NULL)
		return false;
	while (fgets(line, sizeof(line), f) != NULL)
		history_add(h, line);
	return fclose(f) == 0;
}

/* Frees a history. */
void history_free(history_t *h)
{
	g_ptr_array_free(h->events, TRUE);
	g_hash_table_destroy(h->dispatches);
	g_free(h);
}
