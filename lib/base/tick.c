/*
 * Late ticks. An event loop runs its timers before it reads its sockets, so
 * after a long turn, or once a stopped process goes on, a tick would judge time
 * limits without what has arrived meanwhile.
 */
#include "base/fns.h"

enum {
	LATE_MS = 50, /* well below the shortest time limit that ticks judge */
};

/* Prepares for ticks that come each period ms from now on. */
void tick_init(tick_t *t, ms_t period, ms_t now)
{
	*t = (tick_t){ .period = period, .last = now };
}

/*
 * Whether the tick that has come at now is to run. A late one is skipped, so
 * that the loop reads its sockets before the next. Never skips two in a row.
 */
bool tick_runs(tick_t *t, ms_t now)
{
	bool late = now - t->last > t->period + LATE_MS;

	t->last = now;
	t->skipped = late && !t->skipped;
	return !t->skipped;
}
