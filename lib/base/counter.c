/* Counters and gauges, printed in the text format that metric scrapers read. */
#include <inttypes.h>
#include "base/fns.h"

/* Returns an empty set of counters. */
counters_t *counters_new(void)
{
	counters_t *cs = g_new0(counters_t, 1);

	list_init(&cs->all);
	cs->index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return cs;
}

/* Frees the set and every counter in it. */
void counters_free(counters_t *cs)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &cs->all)
	{
		counter_t *c = list_entry(pos, counter_t, link);

		g_free(c->name);
		g_free(c->labels);
		g_free(c);
	}
	g_hash_table_destroy(cs->index);
	g_free(cs);
}

static counter_t *get_or_create(counters_t *cs, const char *name,
				const char *labels, bool gauge)
{
	char *key = g_strdup_printf("%s{%s}", name, labels ? labels : "");
	counter_t *c = g_hash_table_lookup(cs->index, key);

	if (c) {
		g_free(key);
		return c;
	}
	c = g_new0(counter_t, 1);
	c->name = g_strdup(name);
	c->labels = g_strdup(labels ? labels : "");
	c->gauge = gauge;
	list_add_tail(&cs->all, &c->link);
	g_hash_table_insert(cs->index, key, c);
	return c;
}

/*
 * Returns the counter with that name and labels, created at zero if there is
 * none. labels is NULL or in scrape format, such as: tier="0".
 */
counter_t *counter_get(counters_t *cs, const char *name, const char *labels)
{
	return get_or_create(cs, name, labels, false);
}

/* Like counter_get, for a gauge: a value that may also decrease. */
counter_t *gauge_get(counters_t *cs, const char *name, const char *labels)
{
	return get_or_create(cs, name, labels, true);
}

/* Appends all counters to out in the scrape text format, one per line. */
void counters_print(const counters_t *cs, GString *out)
{
	for (list_t *p = cs->all.next; p != &cs->all; p = p->next) {
		const counter_t *c = list_entry(p, counter_t, link);

		if (c->labels[0])
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
					       c->name, c->labels, c->value);
		else
			g_string_append_printf(out, "%s %" PRIu64 "\n", c->name,
					       c->value);
	}
}
