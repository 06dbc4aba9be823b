/* The present time and random numbers. */
#include <sys/random.h>
#include <time.h>
#include "net/fns.h"

enum {
	NS_PER_MS = 1000000,
};

static ms_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ms_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

/* Returns the monotonic time in milliseconds. */
ms_t clock_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

/* Returns the same with the time that the machine was suspended. */
ms_t clock_boot(void)
{
	return read_clock(CLOCK_BOOTTIME);
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
