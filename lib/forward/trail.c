/*
 * The trail of a request: a line for each decision on it, kept in memory and
 * written when it has ended. Requests that failed are written, and a part of
 * the others chosen by their id, so that a request has all of its lines or
 * none. A bound on lines a second keeps an overload from filling the log.
 */
#include <stdarg.h>
#include <string.h>
#include "forward/priv.h"

enum {
	TRAIL_BYTES = 1500,   /* of one request; later steps are left out */
	KEEP_ONE_IN = 64,     /* of the requests that went well */
	REQUESTS_PER_S = 100, /* failed ones written a second, at most */
};

/* Adds a decision with what decided it. */
void trail_add(exchange_t *x, ms_t now, const char *step, const char *fmt, ...)
{
	va_list ap;

	if (!x->trail)
		x->trail = g_string_sized_new(256);
	if (x->trail->len > TRAIL_BYTES)
		return;
	g_string_append_printf(x->trail, "at_ms=%lld step=%s ",
			       (long long)(now - x->read_at), step);
	va_start(ap, fmt);
	g_string_append_vprintf(x->trail, fmt, ap);
	va_end(ap);
	g_string_append_c(x->trail, '\n');
}

/* Whether there is room for one more failed request in this second. */
static bool within_bound(forward_t *f, ms_t now)
{
	int64_t second = now / MS_PER_S;

	if (f->trail_second != second) {
		if (f->trails_left_out > 0)
			log_line(LOG_WARN, "requests_left_out", "requests=%u",
				 f->trails_left_out);
		f->trail_second = second;
		f->trails = 0;
		f->trails_left_out = 0;
	}
	if (f->trails++ < REQUESTS_PER_S)
		return true;
	f->trails_left_out++;
	f->left_out->value++;
	return false;
}

static bool sampled(const exchange_t *x)
{
	return x->id && hash64(x->id, strlen(x->id), 0) % KEEP_ONE_IN == 0;
}

/* Whether the request's lines are to be written. */
bool trail_wanted(exchange_t *x, bool failed, ms_t now)
{
	if (log_wants(LOG_DEBUG) || sampled(x))
		return true;
	return failed && within_bound(x->forward, now);
}

/* Writes the decisions on a request that is to be written. */
void trail_write(const exchange_t *x)
{
	char **lines;

	if (!x->trail)
		return;
	lines = g_strsplit(x->trail->str, "\n", -1);
	for (size_t i = 0; lines[i] && lines[i][0]; i++)
		log_line(LOG_INFO, "request_step", "id=%s %s",
			 x->id ? x->id : "-", lines[i]);
	g_strfreev(lines);
}

/* Frees the trail. */
void trail_clear(exchange_t *x)
{
	if (x->trail)
		g_string_free(x->trail, TRUE);
	x->trail = NULL;
}
