/* Exponential backoff with full jitter for attempts to reach a process. */
#include "base/fns.h"

/*
 * Initializes b: the limit of the first wait is base ms; it doubles with each
 * attempt, up to max ms.
 */
void backoff_init(backoff_t *b, ms_t base, ms_t max)
{
	b->base = base;
	b->max = max;
	b->attempts = 0;
}

/* Returns how long to wait before the next attempt, from 1 to 1 + limit ms. */
ms_t backoff_next(backoff_t *b, GRand *rand)
{
	ms_t limit = b->base;

	for (unsigned int i = 0; i < b->attempts && limit < b->max; i++)
		limit *= 2;
	limit = MIN(limit, b->max);
	b->attempts++;
	return 1 + (ms_t)(g_rand_double(rand) * (double)limit);
}

/* Resets the limit to base after a success. */
void backoff_reset(backoff_t *b)
{
	b->attempts = 0;
}
