/* The table of sidecars: what each serves, and ejection of outliers. */
#include <math.h>
#include <string.h>
#include "entry/priv.h"

enum {
	RATE_HALF_LIFE = 10000, /* ms, of the counts of runs and failures */
	EJECTION_MIN = 5000,	/* ms, of the first ejection; then doubled */
	EJECTION_MAX = 60000,	/* ms */
	EJECTED_DIVISOR = 3,	/* at most one in so many is ejected */
	OUTLIER_FACTOR = 3, /* times the failure rate of the other sidecars */
};

static const double outlier_failures = 3; /* fewer are too small a sample */
static const double outlier_rate = 0.3;	  /* a lower rate is acceptable */

/* Adds a sidecar to the table; its state is not known yet. */
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
	if (!s->up || !s->state_known || s->leaving)
		return false;
	if (strcmp(s->service, service) != 0 || !s->versions[0])
		return false;
	return !version ||
	       g_strv_contains((const gchar *const *)s->versions, version);
}

/* Withdraws the offers that the sidecar does not serve any more. */
static void withdraw_unserved(entry_t *e, sidecar_t *s)
{
	list_t *pos;
	list_t *tmp;

	e->sidecar_changes++;
	list_for_each_safe(pos, tmp, &s->offers)
	{
		offer_t *o = list_entry(pos, offer_t, by_sidecar);
		request_t *r = o->request;

		if (!sidecar_serves(s, r->sub.service, r->version))
			offer_drop(e, o, true);
	}
}

/* Stores the state that the sidecar reports. */
void sidecar_set_state(entry_t *e, sidecar_t *s, const msg_state_t *m)
{
	char *versions = str_dup(m->versions);
	char *before = s->state_known ? g_strjoinv(",", s->versions) : NULL;
	bool same = s->state_known && strcmp(before, versions) == 0 &&
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
		s->state_known = true;
		withdraw_unserved(e, s);
	}
	if (m->draining)
		sidecar_set_leaving(e, s);
	g_free(before);
	g_free(versions);
}

/* The sidecar takes no new requests any more; those running go on. */
void sidecar_set_leaving(entry_t *e, sidecar_t *s)
{
	if (s->leaving)
		return;
	s->leaving = true;
	withdraw_unserved(e, s);
}

/* Its last state is out of date: offers it nothing until the next comes. */
void sidecar_forget_state(entry_t *e, sidecar_t *s)
{
	s->state_known = false;
	withdraw_unserved(e, s);
}

static void decay(sidecar_t *s, ms_t now)
{
	double f = exp2(-(double)(now - s->decayed_at) / RATE_HALF_LIFE);

	s->runs *= f;
	s->failures *= f;
	s->decayed_at = now;
}

/*
 * Sums the counts of the other sidecars of the version into *sum, and counts
 * the sidecars, s included, in *n and the others ejected in *ejected.
 */
static void sum_others(entry_t *e, const sidecar_t *s, const char *version,
		       ms_t now, sidecar_t *sum, unsigned int *n,
		       unsigned int *ejected)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		sidecar_t *o = list_entry(p, sidecar_t, link);

		if (!sidecar_serves(o, s->service, version))
			continue;
		*n += 1;
		*ejected += o != s && o->ejected_until > now;
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

static void eject(entry_t *e, sidecar_t *s, ms_t now)
{
	ms_t span = EJECTION_MIN << MIN(s->ejections, 4);

	s->ejections++;
	s->ejected_until = now + MIN(span, EJECTION_MAX);
	e->sidecar_changes++;
	withdraw_all(e, s);
	e->ejections->value++;
}

/* Whether s fails much more than the others, and may be ejected. */
static bool is_outlier(entry_t *e, const sidecar_t *s, const char *version,
		       ms_t now)
{
	sidecar_t sum = { 0 };
	unsigned int n = 0;
	unsigned int ejected = 0;
	double rate = s->failures / s->runs;
	double others;

	if (s->failures < outlier_failures || rate < outlier_rate)
		return false;
	sum_others(e, s, version, now, &sum, &n, &ejected);
	others = sum.runs > 0 ? sum.failures / sum.runs : 0;
	return rate > OUTLIER_FACTOR * others &&
	       (ejected + 1) * EJECTED_DIVISOR <= n;
}

/*
 * Counts a run at the sidecar, and ejects it for a time when it fails much more
 * often than the others: one that fails at once is always idle and would
 * attract every offer.
 */
void sidecar_count_run(entry_t *e, sidecar_t *s, const char *version, bool ok,
		       ms_t now)
{
	decay(s, now);
	s->runs += 1;
	s->failures += !ok;
	if (ok && s->failures < 1)
		s->ejections = 0;
	if (!ok && s->ejected_until <= now && s->state_known &&
	    is_outlier(e, s, version, now))
		eject(e, s, now);
}
