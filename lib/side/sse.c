/* Counts the tokens of an answer as it passes, and notes its last event. */
#include <stdlib.h>
#include <string.h>
#include "side/priv.h"

static bool has_prefix(const char *p, size_t n, const char *prefix)
{
	size_t len = strlen(prefix);

	return n >= len && memcmp(p, prefix, len) == 0;
}

/* Prepares for an answer of a content type. */
void sse_init(sse_t *c, str_t type)
{
	memset(c, 0, sizeof(*c));
	c->events = has_prefix(type.p, type.n, "text/event-stream");
}

/* Counts a whole line of the events; its start is in tail. */
static void end_line(sse_t *c)
{
	if (has_prefix(c->tail, c->n, "data: [DONE]"))
		c->done = true;
	else if (has_prefix(c->tail, c->n, "data:"))
		c->tokens++;
	c->n = 0;
}

static void add_event_bytes(sse_t *c, str_t data)
{
	for (size_t i = 0; i < data.n; i++) {
		if (data.p[i] == '\n')
			end_line(c);
		else if (c->n < sizeof(c->tail))
			c->tail[c->n++] = data.p[i];
	}
}

static void keep_tail(sse_t *c, str_t data)
{
	size_t room = sizeof(c->tail) - 1;
	size_t take = MIN(data.n, room);
	size_t keep = MIN(c->n, room - take);

	memmove(c->tail, c->tail + c->n - keep, keep);
	memcpy(c->tail + keep, data.p + data.n - take, take);
	c->n = keep + take;
	c->tail[c->n] = '\0';
}

/* Reads the next bytes of the answer. */
void sse_add(sse_t *c, str_t data)
{
	if (c->events)
		add_event_bytes(c, data);
	else
		keep_tail(c, data);
}

/* Returns the output tokens: events counted, or the usage in a JSON's end. */
uint64_t sse_tokens(const sse_t *c)
{
	static const char key[] = "\"completion_tokens\"";
	const char *p;

	if (c->events)
		return c->tokens;
	p = g_strstr_len(c->tail, (gssize)c->n, key);
	if (!p)
		return 0;
	p += strlen(key);
	p += strspn(p, " :\t");
	return strtoull(p, NULL, 10);
}
