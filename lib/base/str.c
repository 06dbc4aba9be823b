/* Counted strings, and hashing. */
#include <string.h>
#include <xxhash.h>
#include "base/fns.h"

/* Returns a str_t that refers to a C string; NULL gives the empty string. */
str_t str_of(const char *s)
{
	str_t r = { s ? s : "", s ? strlen(s) : 0 };

	return r;
}

/* Returns whether a and b have the same bytes. */
bool str_eq(str_t a, str_t b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

/*
 * Copies s to a C string that the caller frees with g_free. Bytes after a NUL
 * are not copied, though space for them is allocated.
 */
char *str_dup(str_t s)
{
	return g_strndup(s.n ? s.p : "", s.n);
}

/* Hashes a rid_t, for GHashTable. */
guint rid_hash(gconstpointer rid)
{
	return (guint)hash64(rid, sizeof(rid_t), 0);
}

/* Compares two rid_t, for GHashTable. */
gboolean rid_equal(gconstpointer a, gconstpointer b)
{
	const rid_t *x = a;
	const rid_t *y = b;

	return x->inc == y->inc && x->seq == y->seq;
}

/* Hashes n bytes. The result is the same on every host for the same seed. */
uint64_t hash64(const void *p, size_t n, uint64_t seed)
{
	return XXH64(p, n, seed);
}
