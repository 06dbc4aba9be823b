/*
 * Names in the order of a hash of theirs, which all hosts that know the same
 * names have alike, and which is another one for each seed.
 */
#include <string.h>
#include "edge/priv.h"

/* Returns an empty array of rank_t. */
GArray *ranks_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(rank_t));
}

/* Adds a name, which is not copied, and what it stands for. */
void ranks_add(GArray *ranks, const char *name, void *item, uint64_t seed)
{
	rank_t r = { hash64(name, strlen(name), seed), name, item };

	g_array_append_val(ranks, r);
}

static gint by_hash(gconstpointer a, gconstpointer b)
{
	const rank_t *x = a;
	const rank_t *y = b;

	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Brings the names into their order. */
void ranks_sort(GArray *ranks)
{
	g_array_sort(ranks, by_hash);
}

/* Returns the rank at a place, from 0. */
const rank_t *ranks_at(const GArray *ranks, guint place)
{
	return &g_array_index(ranks, rank_t, place);
}
