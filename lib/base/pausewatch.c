/*
 * Notices that the process was stopped or its machine suspended for a while.
 * What others allowed it before or meanwhile may have been given to others
 * since.
 */
#include "base/fns.h"

enum {
	PAUSE_MS = 300, /* a loop under full load comes round sooner */
	/* After a pause, until what has arrived meanwhile is read */
	STALE_MS = 100,
};

/* Prepares a watch. Times are of a clock that counts suspended time. */
void pause_watch_init(pause_watch_t *w, ms_t now)
{
	*w = (pause_watch_t){ .seen = now };
}

/*
 * To be called often. Whether a permission that is read now may be from before
 * the end of a pause.
 */
bool pause_watch_stale(pause_watch_t *w, ms_t now)
{
	if (now - w->seen > PAUSE_MS)
		w->stale_until = now + STALE_MS;
	w->seen = now;
	return now < w->stale_until;
}
