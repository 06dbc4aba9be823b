/*
 * Rendezvous hashing: all hosts that know the same members choose the same one
 * for a key, and a member that joins or leaves moves only its own keys.
 */
#include <string.h>
#include "edge/priv.h"

/*
 * Returns the incarnation of the member for a key, of members given as
 * incarnations by name; 0: there are none. among: the set of the names that may
 * be chosen; NULL: all. Takes time in proportion to the members.
 */
uint64_t rendezvous_choose(GHashTable *members, GHashTable *among,
			   const char *key)
{
	uint64_t seed = hash64(key, strlen(key), 0);
	uint64_t highest = 0;
	uint64_t found = 0;
	GHashTableIter it;
	gpointer name;
	gpointer inc;

	g_hash_table_iter_init(&it, members);
	while (g_hash_table_iter_next(&it, &name, &inc)) {
		uint64_t hash = hash64(name, strlen(name), seed);

		if ((found && hash <= highest) ||
		    (among && !g_hash_table_contains(among, name)))
			continue;
		highest = hash;
		found = *(uint64_t *)inc;
	}
	return found;
}
