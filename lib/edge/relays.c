/*
 * Relays: the few edge hosts that read the platform's store for all. They pass
 * on what they read, so the calls to the store and the connections of any other
 * host don't grow with the number of hosts. A host that hears of no relay reads
 * the store itself.
 *
 * All hosts choose the relays alike, by the hash of the listed hosts' names, so
 * that relays are spread over data centres. A host other than a relay has
 * RELAYS_MAX connections to hosts; a relay has one to each host.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	/* Below this number of relays, one fails too often with the others */
	RELAYS_MIN = 3,
	SMALL_FLEET = 8, /* hosts; a few calls are saved at most */
	/* With a third of the hosts down, 1 in 80 times none of them is up */
	RELAYS_MAX = 4,
	HOSTS_PER_RELAY = 16, /* with more than RELAYS_MIN relays */
	READS_PER_CONFIG = 4,
	READ_WAIT_MAX_MS = 3500,
	RANK_SEED = 1,
};

struct relays {
	char *self;
	GHashTable *names;  /* set of all listed hosts, this one too */
	GHashTable *chosen; /* set of the relays' names */
	bool changed;	    /* names have changed since chosen was made */
};

/* Returns the choice of a host that knows no other one. */
relays_t *relays_new(const char *self)
{
	relays_t *r = g_new0(relays_t, 1);

	r->self = g_strdup(self);
	r->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->chosen = g_hash_table_new(g_str_hash, g_str_equal);
	relays_add(r, self);
	return r;
}

/* Frees the choice. */
void relays_free(relays_t *r)
{
	g_hash_table_destroy(r->chosen);
	g_hash_table_destroy(r->names);
	g_free(r->self);
	g_free(r);
}

/* A host is listed. */
void relays_add(relays_t *r, const char *name)
{
	if (g_hash_table_contains(r->names, name))
		return;
	g_hash_table_add(r->names, g_strdup(name));
	r->changed = true;
}

/* A host is no longer listed. */
void relays_remove(relays_t *r, const char *name)
{
	if (strcmp(name, r->self) == 0)
		return;
	g_hash_table_remove_all(r->chosen); /* holds the same strings */
	g_hash_table_remove(r->names, name);
	r->changed = true;
}

/* In a small fleet all hosts read the store. */
static guint wanted(const relays_t *r)
{
	if (g_hash_table_size(r->names) <= SMALL_FLEET)
		return SMALL_FLEET;
	return CLAMP(g_hash_table_size(r->names) / HOSTS_PER_RELAY, RELAYS_MIN,
		     RELAYS_MAX);
}

/* Takes time in proportion to n log n hosts, after a change of the list. */
static void choose(relays_t *r)
{
	GArray *ranks = ranks_new();
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, r->names);
	while (g_hash_table_iter_next(&it, &name, NULL))
		ranks_add(ranks, name, NULL, RANK_SEED);
	ranks_sort(ranks);
	g_hash_table_remove_all(r->chosen);
	for (guint i = 0; i < MIN(ranks->len, wanted(r)); i++)
		g_hash_table_add(r->chosen, (gpointer)ranks_at(ranks, i)->name);
	g_array_free(ranks, TRUE);
	r->changed = false;
}

/* Whether that host is a relay. */
bool relays_is_relay(relays_t *r, const char *name)
{
	if (r->changed)
		choose(r);
	return g_hash_table_contains(r->chosen, name);
}

/* Whether this host is a relay. */
bool relays_self(relays_t *r)
{
	return relays_is_relay(r, r->self);
}

/* Whether there are hosts that are no relays. */
bool relays_have_followers(const relays_t *r)
{
	return g_hash_table_size(r->names) > wanted(r);
}

/*
 * Whether relay a goes before relay b for a duty that one relay has for all,
 * and that writes to the store: the one that reaches the store; if both do or
 * neither does, the one whose name sorts first.
 */
bool relays_precedes(const char *a, bool a_reaches, const char *b,
		     bool b_reaches)
{
	if (a_reaches != b_reaches)
		return a_reaches;
	return strcmp(a, b) < 0;
}

/*
 * Whether this host connects to that one: to a relay; of two relays the one
 * whose name sorts first connects.
 */
bool relays_connects(relays_t *r, const char *name)
{
	return relays_is_relay(r, name) && strcmp(r->self, name) != 0 &&
	       (!relays_self(r) || strcmp(r->self, name) < 0);
}

/*
 * Returns how long the store holds a relay's read of the operator's records
 * open, when a configuration has to be in force within config ms. Each answer
 * tells the followers that they have missed nothing.
 */
ms_t relays_read_wait(ms_t config)
{
	return MIN(config / READS_PER_CONFIG, READ_WAIT_MAX_MS);
}

/*
 * Returns after how long without news a follower reads by itself: later than a
 * relay's next answer, and early enough for a configuration that no relay
 * knows.
 */
ms_t relays_news_max(ms_t config)
{
	return relays_read_wait(config) * 3 / 2;
}
