/* The present time and random numbers. */
#include <sys/random.h>
#include <time.h>
#include "net/fns.h"

enum {
	NS_PER_MS = 1000000,
};

/* Returns the monotonic time in milliseconds. */
ms_t clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (ms_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

/* Returns the seconds since 1970. */
int64_t clock_unix(void)
{
	return time(NULL);
}

/* Returns 64 random bits, never 0; exits when the system has none. */
uint64_t random_u64(void)
{
	uint64_t r = 0;

	while (r == 0) {
		if (getrandom(&r, sizeof(r), 0) != sizeof(r))
			g_error("no random numbers");
	}
	return r;
}
