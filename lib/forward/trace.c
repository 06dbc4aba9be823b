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
void trace_add(exchange_t *x, ms_t now, const char *step, const char *fmt, ...)
{
	va_list ap;

	if (!x->trace)
		x->trace = g_string_sized_new(256);
	if (x->trace->len > TRAIL_BYTES)
		return;
	g_string_append_printf(x->trace, "at_ms=%lld step=%s ",
			       (long long)(now - x->read_at), step);
	va_start(ap, fmt);
	g_string_append_vprintf(x->trace, fmt, ap);
	va_end(ap);
	g_string_append_c(x->trace, '\n');
}

/* Whether there is room for one more failed request in this second. */
static bool within_bound(forward_t *f, ms_t now)
{
	int64_t second = now / MS_PER_S;

	if (f->trace_second != second) {
		if (f->traces_omitted > 0)
			log_line(LOG_WARN, "requests_left_out", "requests=%u",
				 f->traces_omitted);
		f->trace_second = second;
		f->traces_logged = 0;
		f->traces_omitted = 0;
	}
	if (f->traces_logged++ < REQUESTS_PER_S)
		return true;
	f->traces_omitted++;
	f->omitted->value++;
	return false;
}

static bool sampled(const exchange_t *x)
{
	return x->id && hash64(x->id, strlen(x->id), 0) % KEEP_ONE_IN == 0;
}

/* Whether the request's lines are to be written. */
bool trace_should_log(exchange_t *x, bool failed, ms_t now)
{
	if (log_wants(LOG_DEBUG) || sampled(x))
		return true;
	return failed && within_bound(x->forward, now);
}

/* Writes the decisions on a request that is to be written. */
void trace_log(const exchange_t *x)
{
	char **lines;

	if (!x->trace)
		return;
	lines = g_strsplit(x->trace->str, "\n", -1);
	for (size_t i = 0; lines[i] && lines[i][0]; i++)
		log_line(LOG_INFO, "request_step", "id=%s %s",
			 x->id ? x->id : "-", lines[i]);
	g_strfreev(lines);
}

/* Frees the trail. */
void trace_clear(exchange_t *x)
{
	if (x->trace)
		g_string_free(x->trace, TRUE);
	x->trace = NULL;
}
