/* Prefix cache: blocks by the hash of all before them, least used out. */
#include "fns.h"

/* Makes an empty cache of at most max blocks. */
void cache_init(cache_t *c, size_t max)
{
	c->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	list_init(&c->used);
	c->max = max;
	c->next_seq = 1;
	c->events = g_array_new(FALSE, FALSE, sizeof(cache_event_t));
}

/* Hashes the prompt's starts, one for each whole block. */
GArray *cache_blocks(const GString *prompt)
{
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	size_t step = (size_t)BLOCK_TOKENS * BYTES_PER_TOKEN;
	for (size_t n = step; n <= prompt->len; n += step) {
		uint64_t h = hash64(prompt->str, n, 0);
		g_array_append_val(blocks, h);
	}
	return blocks;
}

/* Returns how many leading blocks are in the cache. */
unsigned int cache_hit(cache_t *c, const GArray *blocks)
{
	unsigned int n = 0;
	while (n < blocks->len) {
		uint64_t h = g_array_index(blocks, uint64_t, n);
		block_t *b = g_hash_table_lookup(c->blocks, &h);
		if (b == NULL)
			break;
		list_del(&b->link);
		list_add_tail(&c->used, &b->link);
		n++;
	}
	return n;
}

/* Notes a change for the cache events. */
static void note(cache_t *c, bool add, uint64_t hash, ms_t now)
{
	cache_event_t ev = { c->next_seq++, now, add, hash };
	if (c->events->len >= CACHE_EVENTS_KEPT)
		g_array_remove_index(c->events, 0);
	g_array_append_val(c->events, ev);
}

/* Drops the block that was not used for longest. */
static void evict(cache_t *c, ms_t now)
{
	block_t *b = list_entry(c->used.next, block_t, link);
	list_del(&b->link);
	g_hash_table_remove(c->blocks, &b->hash);
	note(c, false, b->hash, now);
	g_free(b);
}

/* Takes a computed prompt into the cache. */
void cache_add(cache_t *c, const GArray *blocks, ms_t now)
{
	for (guint i = 0; i < blocks->len; i++) {
		uint64_t h = g_array_index(blocks, uint64_t, i);
		if (g_hash_table_contains(c->blocks, &h))
			continue;
		if (g_hash_table_size(c->blocks) >= c->max)
			evict(c, now);
		block_t *b = g_new0(block_t, 1);
		b->hash = h;
		list_add_tail(&c->used, &b->link);
		g_hash_table_insert(c->blocks, &b->hash, b);
		note(c, true, h, now);
	}
}
