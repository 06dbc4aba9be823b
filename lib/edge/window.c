/* Counts over a sliding window, kept in a ring of short spans. */
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
	int64_t turn = now / w->bucket_ms;

	if (turn - w->bucket > WINDOW_BUCKETS) {
		memset(w->buckets, 0, sizeof(w->buckets));
		w->sum = 0;
		w->bucket = turn;
	}
	while (w->bucket < turn) {
		w->bucket++;
		w->sum -= w->buckets[w->bucket % (WINDOW_BUCKETS + 1)];
		w->buckets[w->bucket % (WINDOW_BUCKETS + 1)] = 0;
	}
}

/* Adds to the present span. */
void window_add(window_t *w, double n, ms_t now)
{
	advance(w, now);
	w->buckets[w->bucket % (WINDOW_BUCKETS + 1)] += n;
	w->sum += n;
}

/* Returns the sum over the window, and up to one span more. */
double window_sum(window_t *w, ms_t now)
{
	advance(w, now);
	return MAX(w->sum, 0);
}
