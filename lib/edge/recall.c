/*
 * What servers said of themselves, while their entries are away. An entry
 * lapses when its server does not reach the store, and the server may go on:
 * listed again, the same life means what it said before.
 */
#include "edge/priv.h"

enum {
	RECALL_MS = 10 * 60 * MS_PER_S, /* a life is forgotten after it */
	RECALL_MAX = 1024,		/* lives that are remembered */
};

/* The word of a life of a server that is not listed. */
typedef struct recalled {
	bool leaving;
	ms_t paused_until;
	server_limit_t limit;
	ms_t at; /* when its entry went, or another host told of it */
} recalled_t;

/* Returns a table without lives. */
GHashTable *recall_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static char *key_of(const char *server, int64_t started_unix)
{
	return g_strdup_printf("%s.%lld", server, (long long)started_unix);
}

static gboolean is_outdated(gpointer key, gpointer recalled, gpointer now)
{
	return *(const ms_t *)now - ((const recalled_t *)recalled)->at >=
	       RECALL_MS;
}

/* Takes the key. The word is left out if too many are known. */
static void put(edge_t *e, char *key, recalled_t word, ms_t now)
{
	g_hash_table_foreach_remove(e->recalled, is_outdated, &now);
	if (g_hash_table_size(e->recalled) >= RECALL_MAX) {
		log_line(LOG_WARN, "server_word_left_out", "server=%s", key);
		g_free(key);
		return;
	}
	word.at = now;
	g_hash_table_replace(e->recalled, key, g_memdup2(&word, sizeof(word)));
}

/* The server's entry is gone: remembers what it said, if anything. */
void recall_keep(edge_t *e, const backend_t *b, ms_t now)
{
	recalled_t word = { .leaving = b->leaving,
			    .paused_until = b->paused_until,
			    .limit = b->limit };

	if (word.leaving || word.paused_until > now || word.limit.set)
		put(e, key_of(b->id, b->started_unix), word, now);
}

/* Another host has read that a life of a server leaves that is not listed. */
void recall_leaving(edge_t *e, const char *server, int64_t started_unix,
		    ms_t now)
{
	char *key = key_of(server, started_unix);
	recalled_t *known = g_hash_table_lookup(e->recalled, key);

	if (!known) {
		put(e, key, (recalled_t){ .leaving = true }, now);
		return;
	}
	known->leaving = true;
	g_free(key);
}

/* A server is listed: it means what this life of it said before. */
void recall_apply(edge_t *e, backend_t *b, ms_t now)
{
	char *key = key_of(b->id, b->started_unix);
	const recalled_t *word = g_hash_table_lookup(e->recalled, key);

	if (word) {
		word_restore(e, b, word->leaving, word->paused_until,
			     &word->limit, now);
		g_hash_table_remove(e->recalled, key);
	}
	g_free(key);
}
