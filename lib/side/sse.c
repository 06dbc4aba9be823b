/* Counts tokens of an answer as it passes, and sees its last event. */
#include <stdlib.h>
#include <string.h>
#include "side/priv.h"

static bool starts(const char *p, size_t n, const char *with)
{
	size_t w = strlen(with);

	return n >= w && memcmp(p, with, w) == 0;
}

/* Starts on an answer of a content type. */
void sse_init(sse_t *c, str_t type)
{
	memset(c, 0, sizeof(*c));
	c->events = starts(type.p, type.n, "text/event-stream");
}

/* One line of the events; its start is in tail. */
static void line(sse_t *c)
{
	if (starts(c->tail, c->n, "data: [DONE]"))
		c->done = true;
	else if (starts(c->tail, c->n, "data:"))
		c->tokens++;
	c->n = 0;
}

static void add_event_bytes(sse_t *c, str_t data)
{
	for (size_t i = 0; i < data.n; i++) {
		if (data.p[i] == '\n')
			line(c);
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

/* Takes the next bytes of the answer. */
void sse_add(sse_t *c, str_t data)
{
	if (c->events)
		add_event_bytes(c, data);
	else
		keep_tail(c, data);
}

/* Output tokens: events counted, or the usage that ends a JSON answer. */
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
