/* Choice of the sidecars that a request is offered to. */
#include <math.h>
#include "entry/priv.h"

enum {
	SPEED_UNKNOWN = 50, /* tokens a second, if none is reported */
	LOAD_FACTOR = 2, /* times the mean load of the others is acceptable */
};

static const double load_slack = 0.25; /* of the limit, always acceptable */

/* Appends the sidecars that serve the request, ejected ones only if told to. */
static void add_serving(const entry_t *e, const request_t *r, bool ejected,
			ms_t now, GPtrArray *out)
{
	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		sidecar_t *s = list_entry(p, sidecar_t, link);

		if (!sidecar_serves(s, r->sub.service, r->version))
			continue;
		if (ejected || s->ejected_until <= now)
			g_ptr_array_add(out, s);
	}
}

/*
 * Returns the live sidecars of the request's service and version; the ejected
 * ones only when there is no other. Freed with g_ptr_array_unref.
 */
GPtrArray *pick_live(const entry_t *e, const request_t *r, ms_t now)
{
	GPtrArray *live = g_ptr_array_new();

	add_serving(e, r, false, now, live);
	if (live->len == 0)
		add_serving(e, r, true, now, live);
	return live;
}

static double speed_of(const sidecar_t *s, double unknown)
{
	return s->speed > 0 ? (double)s->speed : unknown;
}

/* Mean of the speeds reported, which stands in for those not known. */
static double mean_speed(const GPtrArray *from)
{
	double sum = 0;
	unsigned int n = 0;

	for (guint i = 0; i < from->len; i++) {
		const sidecar_t *s = from->pdata[i];

		sum += (double)s->speed;
		n += s->speed > 0;
	}
	return n > 0 ? sum / n : SPEED_UNKNOWN;
}

/* Maps a hash to the open interval from 0 to 1. */
static double hash_to_unit(uint64_t hash)
{
	return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

/*
 * Returns the sidecar for a prefix by rendezvous hashing weighted by speed, so
 * that a change of one sidecar moves few prefixes. NULL when from is empty.
 */
sidecar_t *pick_by_prefix(const GPtrArray *from, uint64_t prefix)
{
	double unknown = mean_speed(from);
	double best = -1;
	sidecar_t *found = NULL;

	for (guint i = 0; i < from->len; i++) {
		sidecar_t *s = from->pdata[i];
		str_t name = str_of(s->name);
		double u = hash_to_unit(hash64(name.p, name.n, prefix));
		double score = speed_of(s, unknown) / -log(u);

		if (score > best) {
			best = score;
			found = s;
		}
	}
	return found;
}

/*
 * Removes and returns a sidecar at random, weighted by speed; NULL when from is
 * empty.
 */
sidecar_t *pick_random(GRand *rand, GPtrArray *from)
{
	double unknown = mean_speed(from);
	double sum = 0;
	double at;
	guint i;

	if (from->len == 0)
		return NULL;
	for (i = 0; i < from->len; i++)
		sum += speed_of(from->pdata[i], unknown);
	at = g_rand_double_range(rand, 0, sum);
	for (i = 0; i + 1 < from->len; i++) {
		at -= speed_of(from->pdata[i], unknown);
		if (at < 0)
			break;
	}
	return g_ptr_array_remove_index_fast(from, i);
}

static double load_of(const sidecar_t *s)
{
	return (double)(s->used + s->waiting) / (double)MAX(s->limit, 1);
}

/* Whether the last reported load of s is not much above that of the others. */
bool pick_load_acceptable(const GPtrArray *from, const sidecar_t *s)
{
	double others = 0;

	for (guint i = 0; i < from->len; i++) {
		if (from->pdata[i] != s)
			others += load_of(from->pdata[i]);
	}
	others /= MAX(from->len - 1, 1);
	return load_of(s) <= LOAD_FACTOR * others + load_slack;
}

/*
 * Returns the milliseconds after which the least loaded sidecar of the service
 * should have finished its present work; at least RETRY_AFTER_DEFAULT.
 */
ms_t pick_retry_after(const entry_t *e, const char *service)
{
	ms_t least = -1;

	for (list_t *p = e->sidecars.next; p != &e->sidecars; p = p->next) {
		const sidecar_t *s = list_entry(p, sidecar_t, link);
		ms_t t;

		if (!sidecar_serves(s, service, NULL) || s->speed == 0)
			continue;
		t = (ms_t)((s->used + s->waiting) * 1000 / s->speed);
		if (least < 0 || t < least)
			least = t;
	}
	return MAX(least, RETRY_AFTER_DEFAULT);
}
