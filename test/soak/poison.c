/*
 * A part of prompts that ends each server that begins to answer a request with
 * it, and the bound on such requests once the part must be known.
 */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

enum {
	KNOWN_CRASHES = 5,	 /* from these on the part must be known */
	STABLE_WINDOW_MS = 3000, /* to all hosts, within this time */
	REACHED_MAX = 3,	 /* requests that reach servers after that */
	DOWN_MIN_MS = 1000,	 /* of a server that ended */
	DOWN_MORE_MS = 1500,	 /* longer than that, at most */
	MIDDLE_PARTS = 4,	 /* of sound requests */
};

#define POISON_PART "bad0"

/* The parts of a prompt: one of all, one of some, one of its own. */
char *poison_parts(const caller_s_t *c)
{
	uint64_t n = c->s->next_id;

	if (c->poison)
		return g_strdup_printf("f00d:100,%s:50,%" PRIx64 ":10",
				       POISON_PART, n);
	return g_strdup_printf("f00d:100,a%" PRIx64 ":50,%" PRIx64 ":10",
			       n % MIDDLE_PARTS, n);
}

/* Whether a request has the part that ends servers. */
bool poison_in(const http_head_t *h)
{
	str_t parts = http_value(h, "X-Prompt-Prefix");

	return parts.n > 0 &&
	       g_strstr_len(parts.p, (gssize)parts.n, POISON_PART) != NULL;
}

/* Whether a host and its way to the store were left alone for a while. */
static bool in_touch(const soak_t *s, const proc_t *p, ms_t now)
{
	return p && p->running && !p->stopping && !p->stopped_until &&
	       now - p->disturbed_at > STABLE_WINDOW_MS &&
	       s->store.state == STORE_UP &&
	       now - s->store.changed_at > STABLE_WINDOW_MS;
}

/* A request with the part has reached a server. */
void poison_reached(soak_t *s, const fate_t *f)
{
	poison_t *p = &s->poison;
	ms_t now = clock_now();

	if (!p->known_at || now < p->known_at || !in_touch(s, f->to, now))
		return;
	if (++p->reached > REACHED_MAX)
		violation(s, "poison", "%u requests reached servers, now by %s",
			  p->reached, f->to->name);
}

/* A server begins to answer a request with the part, and ends. */
void poison_ends(server_t *v)
{
	poison_t *p = &v->s->poison;
	ms_t down = DOWN_MIN_MS + g_rand_int_range(p->rand, 0, DOWN_MORE_MS);

	soak_note(v->s, "a part ends %s", v->id);
	if (++p->crashes == KNOWN_CRASHES)
		p->known_at = clock_now() + STABLE_WINDOW_MS;
	server_fall(v, down, g_rand_boolean(p->rand));
}
