/*
 * Splits a text/event-stream into events, so that only complete ones are passed
 * on and the id to resume after is known when the stream breaks off.
 */
#include <string.h>
#include "http/fns.h"

enum {
	EVENT_MAX = 1 << 20, /* bytes of an event; more is an error */
};

/* Prepares for the start of a stream. */
void event_reader_init(event_reader_t *e)
{
	e->partial = g_byte_array_new();
	e->has_id = false;
	e->last_id = 0;
}

/* Frees the buffer of an event that is not complete. */
void event_reader_clear(event_reader_t *e)
{
	if (e->partial)
		g_byte_array_free(e->partial, TRUE);
	e->partial = NULL;
}

/* Reads the line "id: N" of an event; false if there is none. */
static bool event_id(str_t ev, uint64_t *id)
{
	const char *p = ev.p;
	const char *end = ev.p + ev.n;

	while (p < end) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));
		size_t n = (size_t)((nl ? nl : end) - p);

		if (n > 3 && memcmp(p, "id:", 3) == 0) {
			size_t at = p[3] == ' ' ? 4 : 3;
			size_t len = n - (p[n - 1] == '\r');

			return http_parse_number((str_t){ p + at, len - at },
						 id);
		}
		p += n + 1;
	}
	return false;
}

/* Whether the line feed at p[i] ends an empty line. */
static bool ends_event(const char *p, size_t i)
{
	if (i >= 1 && p[i - 1] == '\n')
		return true;
	return i >= 3 && memcmp(p + i - 3, "\r\n\r", 3) == 0;
}

/*
 * Returns the length of the first event in the bytes with its empty line; 0 if
 * none is complete. The first from bytes are known to hold no end.
 */
static size_t event_length(const char *p, size_t n, size_t from)
{
	while (from < n) {
		const char *lf = memchr(p + from, '\n', n - from);

		if (!lf)
			return 0;
		from = (size_t)(lf - p) + 1;
		if (ends_event(p, from - 1))
			return from;
	}
	return 0;
}

/*
 * Calls fn for each complete event. Returns the bytes that they take. The first
 * from bytes are known to hold no end.
 */
static size_t pass_complete(str_t data, size_t from, event_fn_t fn, void *ctx,
			    event_reader_t *e)
{
	size_t at = 0;
	size_t len;

	while ((len = event_length(data.p + at, data.n - at, from)) > 0) {
		str_t ev = { data.p + at, len };
		uint64_t id = 0;
		bool has = event_id(ev, &id);

		if (has) {
			e->has_id = true;
			e->last_id = id;
		}
		fn(ctx, ev, has, id);
		at += len;
		from = 0;
	}
	return at;
}

/*
 * Reads bytes of the stream and calls fn for each event that is now complete.
 * Returns false if an event is longer than EVENT_MAX.
 */
bool event_reader_feed(event_reader_t *e, str_t data, event_fn_t fn, void *ctx)
{
	size_t had = e->partial->len;
	size_t used;

	if (had == 0) {
		used = pass_complete(data, 0, fn, ctx, e);
		g_byte_array_append(e->partial, (const guint8 *)data.p + used,
				    data.n - used);
	} else {
		g_byte_array_append(e->partial, (const guint8 *)data.p, data.n);
		data = (str_t){ (char *)e->partial->data, e->partial->len };
		used = pass_complete(data, had, fn, ctx, e);
		if (used > 0)
			g_byte_array_remove_range(e->partial, 0, used);
	}
	return e->partial->len <= EVENT_MAX;
}
