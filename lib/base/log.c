/*
 * Logging: a line has time, level, event and key=value pairs, and records one
 * decision or change of state. Lines go through a bounded buffer and are
 * written without blocking; lines that don't fit are dropped, and their number
 * is logged (event=log_dropped).
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "base/fns.h"

enum {
	BUFFER_BYTES = 256 << 10, /* some thousand lines */
	LINE_BYTES = 1024,	  /* longer lines are truncated */
	FLUSH_BYTES = 8 << 10,	  /* buffered bytes that cause a write */
};

static int out_fd = STDERR_FILENO;
static bool buffered; /* lines wait for log_flush or FLUSH_BYTES */
static log_level_t max_level = LOG_INFO;
static char buffer[BUFFER_BYTES];
static size_t used;
static uint64_t dropped; /* since the last log_dropped line */
static uint64_t dropped_total;

/*
 * Writes lines of level max and more severe to fd. With buffer_lines, lines
 * wait for log_flush or FLUSH_BYTES, and fd becomes non-blocking, so that a
 * slow reader loses lines instead of delaying the process.
 */
void log_open(int fd, log_level_t max, bool buffer_lines)
{
	int flags = fcntl(fd, F_GETFL);

	out_fd = fd;
	max_level = max;
	buffered = buffer_lines;
	if (buffer_lines && flags >= 0 &&
	    fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0)
		log_line(LOG_WARN, "log_blocks", "why=%s", strerror(errno));
}

/* Returns the number of lines dropped so far because the buffer was full. */
uint64_t log_dropped(void)
{
	return dropped_total;
}

/* Returns whether lines of that level are written. */
bool log_enabled(log_level_t level)
{
	return level <= max_level;
}

/* Writes as much of the buffer as the descriptor accepts without blocking. */
void log_flush(void)
{
	size_t written = 0;
	ssize_t n;

	while (written < used) {
		n = write(out_fd, buffer + written, used - written);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		written += (size_t)n;
	}
	memmove(buffer, buffer + written, used - written);
	used -= written;
}

static size_t print_prefix(char *line, size_t size, log_level_t level,
			   const char *event)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	static time_t last;
	static char date[32]; /* of last */
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (ts.tv_sec != last || !date[0]) {
		last = ts.tv_sec;
		gmtime_r(&last, &tm);
		strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	return (size_t)g_snprintf(line, size, "%s.%03ldZ level=%s event=%s ",
				  date, ts.tv_nsec / 1000000, names[level],
				  event);
}

static void append(const char *line, size_t n)
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

/*
 * Logs how many lines were dropped before this one, once half of the buffer is
 * free again.
 */
static void log_dropped_lines(void)
{
	char line[LINE_BYTES];
	size_t n;

	if (dropped == 0 || used > sizeof(buffer) / 2)
		return;
	n = print_prefix(line, sizeof(line), LOG_WARN, "log_dropped");
	n += (size_t)g_snprintf(line + n, sizeof(line) - n,
				"lines=%" G_GUINT64_FORMAT "\n", dropped);
	dropped = 0;
	append(line, n);
}

/* Values may come from outside: none of them ends a line or hides a part. */
static void mask_controls(char *p, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (g_ascii_iscntrl(p[i]))
			p[i] = '?';
	}
}

/* Logs one line; event is one word, fmt formats the key=value pairs. */
void log_line(log_level_t level, const char *event, const char *fmt, ...)
{
	char line[LINE_BYTES];
	size_t start;
	size_t n;
	int len;
	va_list ap;

	if (level > max_level)
		return;
	log_dropped_lines();
	n = print_prefix(line, sizeof(line), level, event);
	va_start(ap, fmt);
	len = vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	va_end(ap);
	start = n;
	n = MIN(n + (size_t)MAX(len, 0), sizeof(line) - 2);
	mask_controls(line + start, n - start);
	line[n++] = '\n';
	append(line, n);
	if (!buffered || used >= FLUSH_BYTES)
		log_flush();
}
