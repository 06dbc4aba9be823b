/* Grow-only registers merged by maximum, in the order of their last change. */
#include <string.h>
#include "move/fns.h"

enum {
	FACTS_MAX = 65536, /* registers */
	KEY_MAX = 512,	   /* bytes */
};

typedef struct fact {
	list_t link; /* in facts_t.changes */
	char *key;
	size_t len;
	uint64_t value;
	uint64_t seq;
} fact_t;

struct facts {
	GHashTable *index; /* by key */
	list_t changes;	   /* oldest first */
	uint64_t seq;
};

static void fact_free(gpointer p)
{
	fact_t *f = p;

	list_del(&f->link);
	g_free(f->key);
	g_free(f);
}

/* Makes an empty set of registers. */
facts_t *facts_new(void)
{
	facts_t *f = g_new0(facts_t, 1);

	list_init(&f->changes);
	f->index =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fact_free);
	return f;
}

/* Frees the registers. */
void facts_free(facts_t *f)
{
	g_hash_table_destroy(f->index);
	g_free(f);
}

static fact_t *fact_new(facts_t *f, const char *key)
{
	fact_t *x;

	if (g_hash_table_size(f->index) >= FACTS_MAX)
		return NULL;
	x = g_new0(fact_t, 1);
	x->key = g_strdup(key);
	x->len = strlen(key);
	list_init(&x->link);
	g_hash_table_insert(f->index, x->key, x);
	return x;
}

/*
 * Raises a register to the value. Returns whether that changed it: false for a
 * smaller or equal value, and for a new register beyond FACTS_MAX.
 */
bool facts_raise(facts_t *f, const char *key, uint64_t value)
{
	fact_t *x = g_hash_table_lookup(f->index, key);

	if (value <= (x ? x->value : 0))
		return false;
	if (!x)
		x = fact_new(f, key);
	if (!x)
		return false;
	x->value = value;
	x->seq = ++f->seq;
	list_del(&x->link);
	list_add_tail(&f->changes, &x->link);
	return true;
}

/* Like facts_raise, for a key from a message; ignores an empty key, one longer
 * than KEY_MAX, and one with a NUL. */
bool facts_merge(facts_t *f, str_t key, uint64_t value)
{
	char buf[KEY_MAX + 1];

	if (key.n == 0 || key.n > KEY_MAX || memchr(key.p, '\0', key.n))
		return false;
	memcpy(buf, key.p, key.n);
	buf[key.n] = '\0';
	return facts_raise(f, buf, value);
}

/* Returns the value of a register, 0 when there is none. */
uint64_t facts_get(const facts_t *f, const char *key)
{
	const fact_t *x = g_hash_table_lookup(f->index, key);

	return x ? x->value : 0;
}

/* Sums the registers whose key starts with the prefix. */
uint64_t facts_sum(const facts_t *f, const char *prefix)
{
	uint64_t sum = 0;

	for (const list_t *l = f->changes.next; l != &f->changes; l = l->next) {
		const fact_t *x = list_entry(l, const fact_t, link);

		if (g_str_has_prefix(x->key, prefix))
			sum += x->value;
	}
	return sum;
}

/*
 * Returns at most max registers whose last change has a number above seq,
 * oldest change first; seq 0 selects all. Call again with *next as seq for
 * more. Keys are valid until the register is dropped.
 */
size_t facts_since(const facts_t *f, uint64_t seq, fact_kv_t *out, size_t max,
		   uint64_t *next)
{
	const list_t *l = &f->changes;
	size_t n = 0;

	*next = seq;
	while (l->prev != &f->changes &&
	       list_entry(l->prev, const fact_t, link)->seq > seq)
		l = l->prev;
	for (; l != &f->changes && n < max; l = l->next) {
		const fact_t *x = list_entry(l, const fact_t, link);

		out[n].key = (str_t){ x->key, x->len };
		out[n].value = x->value;
		*next = x->seq;
		n++;
	}
	return n;
}

/* Removes the registers whose key starts with the prefix; returns how many. */
size_t facts_drop(facts_t *f, const char *prefix)
{
	list_t *pos;
	list_t *tmp;
	size_t n = 0;

	list_for_each_safe(pos, tmp, &f->changes)
	{
		fact_t *x = list_entry(pos, fact_t, link);

		if (!g_str_has_prefix(x->key, prefix))
			continue;
		g_hash_table_remove(f->index, x->key);
		n++;
	}
	return n;
}

/* Number of registers. */
size_t facts_len(const facts_t *f)
{
	return g_hash_table_size(f->index);
}
