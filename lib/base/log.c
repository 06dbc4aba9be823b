/* Log lines: time, level, event, key=value pairs. One line a change of state.
 */
#include <stdarg.h>
#include <time.h>
#include "base/fns.h"

static FILE *out;
static log_level_t least_level = LOG_INFO;

/* Sends lines of level least and rarer to the given stream. */
void log_open(FILE *to, log_level_t least)
{
	out = to;
	least_level = least;
}

/* Writes one line; event is a word, fmt gives the key=value pairs. */
void log_line(log_level_t level, const char *event, const char *fmt, ...)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	FILE *to = out ? out : stderr;
	struct timespec ts;
	struct tm tm;
	char when[32];
	va_list ap;

	if (level > least_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(to, "%s.%03ldZ level=%s event=%s ", when, ts.tv_nsec / 1000000,
		names[level], event);
	va_start(ap, fmt);
	vfprintf(to, fmt, ap);
	va_end(ap);
	fputc('\n', to);
	fflush(to);
}
