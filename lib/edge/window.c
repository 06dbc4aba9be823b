/* Sums over a sliding window, kept in a ring of buckets. */
#include <string.h>
#include "edge/fns.h"

/* Prepares a window of the given length. */
void window_init(window_t *w, ms_t length)
{
	memset(w, 0, sizeof(*w));
	w->bucket_ms = MAX(length / WINDOW_BUCKETS, 1);
}

static void advance(window_t *w, ms_t now)
{
	int64_t bucket = now / w->bucket_ms;

	if (bucket - w->bucket > WINDOW_BUCKETS) {
		memset(w->buckets, 0, sizeof(w->buckets));
		w->sum = 0;
		w->bucket = bucket;
	}
	while (w->bucket < bucket) {
		w->bucket++;
		w->sum -= w->buckets[w->bucket % (WINDOW_BUCKETS + 1)];
		w->buckets[w->bucket % (WINDOW_BUCKETS + 1)] = 0;
	}
}

/* Adds to the current bucket. */
void window_add(window_t *w, double n, ms_t now)
{
	advance(w, now);
	w->buckets[w->bucket % (WINDOW_BUCKETS + 1)] += n;
	w->sum += n;
}

/* Returns the sum over the window and up to one bucket more. */
double window_sum(window_t *w, ms_t now)
{
	advance(w, now);
	return MAX(w->sum, 0);
}
