/* The table of sidecars: what each serves, and which are set aside. */
#include <math.h>
#include <string.h>
#include "entry/priv.h"

enum {
	RATE_HALF_LIFE = 10000, /* ms, of the counts of runs and failures */
	ASIDE_MIN = 5000,	/* ms set aside at first, then doubled */
	ASIDE_MAX = 60000,	/* ms */
	ASIDE_SHARE = 3,	/* at most one in so many is set aside */
	ASIDE_WORSE = 3,	/* times the failure rate of its peers */
};

static const double aside_failures = 3; /* fewer prove nothing */
static const double aside_rate = 0.3;	/* a lower rate is borne */

/* Takes a sidecar into the table; nothing is known of its state yet. */
sidecar_t *sidecar_new(entry_t *e, uint64_t inc, const char *name,
		       const char *data_center)
{
	sidecar_t *s = g_new0(sidecar_t, 1);

	s->inc = inc;
	s->name = g_strdup(name);
	s->data_center = g_strdup(data_center);
	list_init(&s->offers);
	list_init(&s->sent);
	list_add_tail(&e->sidecars, &s->link);
	g_hash_table_insert(e->by_inc, &s->inc, s);
	return s;
}

/* Frees a sidecar that no offer and no request refers to. */
void sidecar_free(entry_t *e, sidecar_t *s)
{
	list_del(&s->link);
	g_hash_table_remove(e->by_inc, &s->inc);
	g_free(s->name);
	g_free(s->data_center);
	g_free(s->service);
	g_strfreev(s->versions);
	g_free(s);
}

/*
 * Tells whether new requests of the service and version may be offered to the
 * sidecar. A NULL version stands for any.
 */
bool sidecar_serves(const sidecar_t *s, const char *service,
		    const char *version)
{
	if (!s->up || !s->known || s->leaving)
		return false;
	if (strcmp(s->service, service) != 0 || !s->versions[0])
		return false;
	return !version ||
	       g_strv_contains((const gchar *const *)s->versions, version);
}

/* Withdraws the offers that the sidecar no longer serves. */
static void recheck(entry_t *e, sidecar_t *s)
{
	list_t *pos;
	list_t *tmp;

	e->changes++;
	list_for_each_safe(pos, tmp, &s->offers)
	{
		offer_t *o = list_entry(pos, offer_t, by_sidecar);
		request_t *r = o->request;

		if (!sidecar_serves(s, r->s.service, r->version))
			offer_drop(e, o, true);
	}
}

/* Takes the state that the sidecar reports. */
void sidecar_state(entry_t *e, sidecar_t *s, const msg_state_t *m)
{
	char *versions = str_dup(m->versions);
	char *before = s->known ? g_strjoinv(",", s->versions) : NULL;
	bool same = s->known && strcmp(before, versions) == 0 &&
		    str_eq(str_of(s->service), m->service);

	s->speed = m->speed;
	s->limit = m->limit;
	s->used = m->used;
	s->waiting = m->waiting;
	if (!same) {
		g_free(s->service);
		g_strfreev(s->versions);
		s->service = str_dup(m->service);
		s->versions = g_strsplit(versions, ",", 0);
		s->known = true;
		recheck(e, s);
	}
	if (m->leaving)
		sidecar_leave(e, s);
	g_free(before);
	g_free(versions);
}

/* The sidecar takes nothing new any more; what it runs goes on. */
void sidecar_leave(entry_t *e, sidecar_t *s)
{
	if (s->leaving)
		return;
	s->leaving = true;
	recheck(e, s);
}

/* Its last state proved wrong: offers it nothing until the next comes. */
void sidecar_forget_state(entry_t *e, sidecar_t *s)
{
	s->known = false;
	recheck(e, s);
}

static void decay(sidecar_t *s, ms_t now)
{
	double f = exp2(-(double)(now - s->rated_at) / RATE_HALF_LIFE);

	s->runs *= f;
	s->failures *= f;
	s->rated_at = now;
}

/* Adds up the peers of s that serve the same, and how many are set aside. */
static void sum_peers(entry_t *e, const sidecar_t *s, const char *version,
		      ms_t now, sidecar_t *sum, unsigned int *n,
		      unsigned int *aside)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		sidecar_t *o = list_entry(p, sidecar_t, link);

		if (!sidecar_serves(o, s->service, version))
			continue;
		*n += 1;
		*aside += o != s && o->aside_until > now;
		if (o == s)
			continue;
		decay(o, now);
		sum->runs += o->runs;
		sum->failures += o->failures;
	}
}

static void withdraw_all(entry_t *e, sidecar_t *s)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &s->offers)
	{
		offer_drop(e, list_entry(pos, offer_t, by_sidecar), true);
	}
}

static void set_aside(entry_t *e, sidecar_t *s, ms_t now)
{
	ms_t span = ASIDE_MIN << MIN(s->asides, 4);

	s->asides++;
	s->aside_until = now + MIN(span, ASIDE_MAX);
	e->changes++;
	withdraw_all(e, s);
	e->set_aside->value++;
}

/* Tells whether s fails so much more than its peers that it is set aside. */
static bool fails_more(entry_t *e, const sidecar_t *s, const char *version,
		       ms_t now)
{
	sidecar_t sum = { 0 };
	unsigned int n = 0;
	unsigned int aside = 0;
	double rate = s->failures / s->runs;
	double peers;

	if (s->failures < aside_failures || rate < aside_rate)
		return false;
	sum_peers(e, s, version, now, &sum, &n, &aside);
	peers = sum.runs > 0 ? sum.failures / sum.runs : 0;
	return rate > ASIDE_WORSE * peers && (aside + 1) * ASIDE_SHARE <= n;
}

/*
 * Counts how a request went at the sidecar, and sets it aside for a time when
 * it fails much more often than its peers: one that fails at once is always
 * idle and would draw every offer.
 */
void sidecar_rate(entry_t *e, sidecar_t *s, const char *version, bool ok,
		  ms_t now)
{
	decay(s, now);
	s->runs += 1;
	s->failures += !ok;
	if (ok && s->failures < 1)
		s->asides = 0;
	if (!ok && s->aside_until <= now && s->known &&
	    fails_more(e, s, version, now))
		set_aside(e, s, now);
}
