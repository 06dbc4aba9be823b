/*
 * Requests that end each server that runs them, by a part of their prompts or
 * as repeats of one request, and the bound on them once they must be known.
 */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

enum {
	STABLE_WINDOW_MS = 3000, /* to all hosts, within this time */
	REACHED_MAX = 3,	 /* requests that reach servers after that */
	DOWN_MIN_MS = 1000,	 /* of a server that ended */
	DOWN_MORE_MS = 1500,	 /* longer than that, at most */
	SETTLED_MS = 2000,	 /* after its start */
	MIDDLE_PARTS = 4,	 /* of sound requests */
};

#define POISON_PART "bad0"
#define REPEAT_PATH "/a/again"

/* Crashes from which on it must be known. */
static const unsigned int known_crashes[BANES] = {
	[BANE_PART] = 5,
	[BANE_SAFE] = 3,
	[BANE_ONCE] = 3,
	[BANE_STREAM] = 3,
};

/* The parts of a prompt: one of all, one of some, one of its own. */
char *poison_parts(const caller_s_t *c)
{
	uint64_t n = c->s->next_id;

	if (c->bane == BANE_PART)
		return g_strdup_printf("f00d:100,%s:50,%" PRIx64 ":10",
				       POISON_PART, n);
	return g_strdup_printf("f00d:100,a%" PRIx64 ":50,%" PRIx64 ":10",
			       n % MIDDLE_PARTS, n);
}

/* The path of a caller's next request; the caller frees it. */
char *poison_path(const caller_s_t *c)
{
	if (c->bane >= BANE_SAFE)
		return g_strdup(REPEAT_PATH);
	return g_strdup_printf("/a/%s", c->id);
}

/* What a caller's next request does to servers; i: the caller's number. */
bane_t poison_bane(const poison_t *p, unsigned int i)
{
	if (i < p->callers)
		return BANE_PART;
	return BANE_SAFE + (i - p->callers) % KINDS;
}

/* Returns what of a request ends servers. */
bane_t poison_in(const http_head_t *h, kind_t kind)
{
	str_t parts = http_value(h, "X-Prompt-Prefix");

	if (str_eq(h->target, str_of(REPEAT_PATH)))
		return BANE_SAFE + kind;
	if (parts.n > 0 &&
	    g_strstr_len(parts.p, (gssize)parts.n, POISON_PART) != NULL)
		return BANE_PART;
	return BANE_NONE;
}

/* Whether a host and its way to the store were left alone for a while. */
static bool in_touch(const soak_t *s, const proc_t *p, ms_t now)
{
	return p && p->running && !p->stopping && !p->stopped_until &&
	       now - p->disturbed_at > STABLE_WINDOW_MS &&
	       s->store.state == STORE_UP &&
	       now - s->store.changed_at > STABLE_WINDOW_MS;
}

/* Such a request has reached a server. */
void poison_reached(soak_t *s, const fate_t *f, bane_t bane)
{
	poison_t *p = &s->poison;
	ms_t now = clock_now();

	if (!p->known_at[bane] || now < p->known_at[bane] ||
	    !in_touch(s, f->to, now))
		return;
	if (++p->reached[bane] > REACHED_MAX)
		violation(s, "poison", "%u requests of bane %d, now by %s",
			  p->reached[bane], bane, f->to->name);
}

/*
 * After the faults a server may still end, until what ends it is known: what is
 * judged begins when it is back.
 */
static void put_off_calm(soak_t *s, ms_t back_at)
{
	if (s->next_fault != 0 || back_at + SETTLED_MS <= s->calm_at)
		return;
	s->end_at += back_at + SETTLED_MS - s->calm_at;
	s->calm_at = back_at + SETTLED_MS;
	s->calm_done = 0;
	s->calm_good = 0;
}

/* A server ends under such a request. */
void poison_ends(server_t *v, bane_t bane)
{
	poison_t *p = &v->s->poison;
	ms_t down = DOWN_MIN_MS + g_rand_int_range(p->rand, 0, DOWN_MORE_MS);

	soak_note(v->s, "bane %d ends %s", bane, v->id);
	if (++p->crashes[bane] == known_crashes[bane])
		p->known_at[bane] = clock_now() + STABLE_WINDOW_MS;
	if (p->crashes[bane] <= known_crashes[bane] + REACHED_MAX)
		put_off_calm(v->s, clock_now() + down);
	server_fall(v, down, g_rand_boolean(p->rand));
}
