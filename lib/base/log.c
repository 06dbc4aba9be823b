/*
 * Log lines: time, level, event, key=value pairs. One line a decision or a
 * change of state. Lines are kept in a bounded buffer and written without
 * blocking; what doesn't fit is dropped, counted and told.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "base/fns.h"

enum {
	BUFFER_BYTES = 256 << 10, /* some thousand lines while nobody reads */
	LINE_BYTES = 1024,	  /* a longer line is cut */
	FLUSH_BYTES = 8 << 10,	  /* written at once from here on */
};

static int to = STDERR_FILENO;
static bool held; /* lines wait for log_flush */
static log_level_t least_level = LOG_INFO;
static char buffer[BUFFER_BYTES];
static size_t used;
static uint64_t dropped; /* since the last line that told it */
static uint64_t dropped_total;

/*
 * Sends lines of level least and rarer to a descriptor. With hold, lines wait
 * for log_flush or a fuller buffer, and a reader that is slow loses lines
 * rather than delay the process.
 */
void log_open(int fd, log_level_t least, bool hold)
{
	int flags = fcntl(fd, F_GETFL);

	to = fd;
	least_level = least;
	held = hold;
	if (hold && flags >= 0 && fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0)
		log_line(LOG_WARN, "log_blocks", "why=%s", strerror(errno));
}

/* Lines lost so far because nobody read them. */
uint64_t log_dropped(void)
{
	return dropped_total;
}

/* Whether lines of a level are written at all. */
bool log_wants(log_level_t level)
{
	return level <= least_level;
}

/* Writes what is kept, as far as it is taken without blocking. */
void log_flush(void)
{
	size_t done = 0;
	ssize_t n;

	while (done < used) {
		n = write(to, buffer + done, used - done);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	memmove(buffer, buffer + done, used - done);
	used -= done;
}

static size_t stamp(char *line, size_t size, log_level_t level,
		    const char *event)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	static time_t last;
	static char second[32];
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != last || !second[0]) {
		last = ts.tv_sec;
		gmtime_r(&last, &tm);
		strftime(second, sizeof(second), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	return (size_t)g_snprintf(line, size, "%s.%03ldZ level=%s event=%s ",
				  second, ts.tv_nsec / 1000000, names[level],
				  event);
}

static void keep(const char *line, size_t n)
{
	if (used + n > sizeof(buffer))
		log_flush();
	if (used + n > sizeof(buffer)) {
		dropped++;
		dropped_total++;
		return;
	}
	memcpy(buffer + used, line, n);
	used += n;
}

/* Tells how many lines were lost before this one. */
static void tell_dropped(void)
{
	char line[LINE_BYTES];
	size_t n;

	if (dropped == 0 || used > sizeof(buffer) / 2)
		return;
	n = stamp(line, sizeof(line), LOG_WARN, "log_dropped");
	n += (size_t)g_snprintf(line + n, sizeof(line) - n,
				"lines=%" G_GUINT64_FORMAT "\n", dropped);
	dropped = 0;
	keep(line, n);
}

/* Writes one line; event is a word, fmt gives the key=value pairs. */
void log_line(log_level_t level, const char *event, const char *fmt, ...)
{
	char line[LINE_BYTES];
	size_t n;
	int more;
	va_list ap;

	if (level > least_level)
		return;
	tell_dropped();
	n = stamp(line, sizeof(line), level, event);
	va_start(ap, fmt);
	more = vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	va_end(ap);
	n = MIN(n + (size_t)MAX(more, 0), sizeof(line) - 2);
	line[n++] = '\n';
	keep(line, n);
	if (!held || used >= FLUSH_BYTES)
		log_flush();
}
