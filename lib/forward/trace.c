/*
 * The trace of a request: a line for each decision on it, kept in memory and
 * logged when it has ended. Failed requests are logged, and a sample of the
 * others. The sample is chosen by the request's id, so that a request is logged
 * with all of its lines or not at all. A limit per second keeps an overload
 * from filling the log.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>
#include "forward/priv.h"

enum {
	TRACE_BYTES = 1500, /* of one request; later steps are omitted */
	PARTS_SHOWN = 8,    /* parts of a prompt in a line */
	FAILED_PER_S = 100, /* failed ones logged a second, at most */
};

/* Adds a line: the name of a step, and fmt with what decided it. */
void trace_add(exchange_t *x, ms_t now, const char *step, const char *fmt, ...)
{
	va_list ap;

	if (!x->trace)
		x->trace = g_string_sized_new(256);
	if (x->trace->len > TRACE_BYTES)
		return;
	g_string_append_printf(x->trace, "at_ms=%lld step=%s ",
			       (long long)(now - x->read_at), step);
	va_start(ap, fmt);
	g_string_append_vprintf(x->trace, fmt, ap);
	va_end(ap);
	g_string_append_c(x->trace, '\n');
}

/*
 * Returns the first PARTS_SHOWN parts of the prompt as text, "-" for none; the
 * caller frees it.
 */
char *trace_parts(const exchange_t *x)
{
	const request_t *r = &x->req;
	GString *out = g_string_new(r->nparts ? NULL : "-");

	for (size_t i = 0; i < MIN(r->nparts, PARTS_SHOWN); i++)
		g_string_append_printf(out, "%s%" PRIx64, i ? "," : "",
				       r->parts[i]);
	return g_string_free(out, FALSE);
}

/* Whether one more failed request may be logged in this second. */
static bool within_limit(forward_t *f, ms_t now)
{
	int64_t second = now / MS_PER_S;

	if (f->trace_second != second) {
		if (f->traces_omitted > 0)
			log_line(LOG_WARN, "requests_left_out", "requests=%u",
				 f->traces_omitted);
		f->trace_second = second;
		f->traces = 0;
		f->traces_omitted = 0;
	}
	if (f->traces++ < FAILED_PER_S)
		return true;
	f->traces_omitted++;
	f->omitted->value++;
	return false;
}

static bool sampled(const exchange_t *x)
{
	return x->id &&
	       hash64(x->id, strlen(x->id), 0) % LOG_SAMPLE_ONE_IN == 0;
}

/* Whether the request's trace is to be logged. */
bool trace_should_log(exchange_t *x, bool failed, ms_t now)
{
	if (log_enabled(LOG_DEBUG) || sampled(x))
		return true;
	return failed && within_limit(x->forward, now);
}

/* Logs the trace, an event request_step for each line. */
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

/* Frees the trace. */
void trace_clear(exchange_t *x)
{
	if (x->trace)
		g_string_free(x->trace, TRUE);
	x->trace = NULL;
}
