/* Counts over a sliding window, kept in a ring of short spans. */
#include <string.h>
#include "edge/fns.h"

/* Prepares a window of the given length. */
void window_init(window_t *w, ms_t length)
{
	memset(w, 0, sizeof(*w));
	w->span = MAX(length / WINDOW_SPANS, 1);
}

static void advance(window_t *w, ms_t now)
{
	int64_t turn = now / w->span;

	if (turn - w->turn > WINDOW_SPANS) {
		memset(w->spans, 0, sizeof(w->spans));
		w->sum = 0;
		w->turn = turn;
	}
	while (w->turn < turn) {
		w->turn++;
		w->sum -= w->spans[w->turn % (WINDOW_SPANS + 1)];
		w->spans[w->turn % (WINDOW_SPANS + 1)] = 0;
	}
}

/* Adds to the present span. */
void window_add(window_t *w, double n, ms_t now)
{
	advance(w, now);
	w->spans[w->turn % (WINDOW_SPANS + 1)] += n;
	w->sum += n;
}

/* Returns the sum over the window, and up to one span more. */
double window_sum(window_t *w, ms_t now)
{
	advance(w, now);
	return MAX(w->sum, 0);
}
