/* Exponential backoff with full jitter for attempts to reach a process. */
#include "base/fns.h"

/* Starts at a span below base, doubling up to max; milliseconds. */
void backoff_init(backoff_t *b, ms_t base, ms_t max)
{
	b->base = base;
	b->max = max;
	b->tries = 0;
}

/* Returns how long to wait before the next try, at least 1 ms. */
ms_t backoff_next(backoff_t *b, GRand *rand)
{
	ms_t top = b->base;

	for (unsigned int i = 0; i < b->tries && top < b->max; i++)
		top *= 2;
	top = MIN(top, b->max);
	b->tries++;
	return 1 + (ms_t)(g_rand_double(rand) * (double)top);
}

/* Forgets earlier tries after a success. */
void backoff_reset(backoff_t *b)
{
	b->tries = 0;
}
