/*
 * What hosts report of crashes and whole answers, as read from the store, and
 * this host's own reports that were not read back yet.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/quarantine.h"

enum {
	REPORTS_MAX = 512,
	ANSWERED_MAX = 4096,
};

static void report_free(gpointer v)
{
	report_t *r = v;

	g_free(r->key);
	g_free(r->life);
	g_free(r);
}

/* Returns a table of reports without any. */
GHashTable *crashrec_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     report_free);
}

/*
 * A full listing of the reports begins: forgets those known, except when this
 * process first saw them.
 */
void edge_crashes_listing(edge_t *e)
{
	quarantine_t *q = e->quarantine;

	g_hash_table_destroy(q->former);
	q->former = q->reports;
	q->reports = crashrec_new();
	g_hash_table_remove_all(q->answered);
	q->changed = true;
}

static report_t *report_new(const char *host, const crash_report_t *c)
{
	report_t *r = g_new0(report_t, 1);

	r->life = g_strdup_printf("%s.%lld", c->server,
				  (long long)c->started_unix);
	r->key = g_strdup_printf("%s/%s", r->life, host);
	r->ntraits = MIN(c->ntraits, CRASH_TRAITS_MAX);
	if (r->ntraits > 0)
		memcpy(r->traits, c->traits, r->ntraits * sizeof(*r->traits));
	return r;
}

/*
 * Whether a report, found in a listing of a store that came back from a copy,
 * is known as it is. It then keeps its number, and so its place among the
 * reports and answers that the copy lacks.
 */
bool edge_crash_known(const edge_t *e, const char *host,
		      const crash_report_t *c)
{
	report_t *r = report_new(host, c);
	const report_t *known =
		g_hash_table_lookup(e->quarantine->reports, r->key);
	bool same = known && r->ntraits > 0 && known->ntraits == r->ntraits &&
		    memcmp(known->traits, r->traits,
			   r->ntraits * sizeof(*r->traits)) == 0;

	report_free(r);
	return same;
}

/* Whether an answered trait is known; as edge_crash_known. */
bool edge_trait_answered_known(const edge_t *e, trait_t trait)
{
	return g_hash_table_contains(e->quarantine->answered, &trait);
}

/*
 * Calls write for each report that this host has made, with the traits that no
 * answer has cleared since: a store that came back from a copy may lack them.
 */
void edge_crashes_own(const edge_t *e,
		      void (*write)(void *ctx, const char *key,
				    const crash_report_t *c),
		      void *ctx)
{
	const quarantine_t *q = e->quarantine;
	char *end = g_strconcat("/", e->conf.name ? e->conf.name : "", NULL);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const report_t *r = v;
		trait_t traits[CRASH_TRAITS_MAX];
		crash_report_t c = { .traits = traits };

		if (!g_str_has_suffix(r->key, end))
			continue;
		for (size_t i = 0; i < r->ntraits; i++) {
			if (blame_names(q, r, r->traits[i]))
				traits[c.ntraits++] = r->traits[i];
		}
		if (c.ntraits > 0)
			write(ctx, r->key, &c);
	}
	g_free(end);
}

/* Makes room for one more report: the oldest is left out. */
static void bound_reports(quarantine_t *q)
{
	report_t *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(q->reports) <= REPORTS_MAX)
		return;
	g_hash_table_iter_init(&it, q->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		report_t *r = v;

		if (!oldest || r->number < oldest->number)
			oldest = r;
	}
	g_assert(oldest);
	q->left_out->value++;
	log_line(LOG_WARN, "report_left_out", "report=%s number=%" PRIu64,
		 oldest->key, oldest->number);
	g_hash_table_remove(q->reports, oldest->key);
}

static ms_t first_seen(const quarantine_t *q, const report_t *r, ms_t now)
{
	const report_t *f = g_hash_table_lookup(q->former, r->key);

	return f && f->number == r->number ? f->seen_at : now;
}

static void log_report(const report_t *r, const char *host,
		       const crash_report_t *c)
{
	char *text = crash_traits_format(c);

	log_line(LOG_INFO, "part_suspected",
		 "server=%s started=%lld host=%s number=%" PRIu64 " parts=%s",
		 c->server, (long long)c->started_unix, host, r->number, text);
	g_free(text);
}

/*
 * This host reports a server that ended. Until the report is read back, which
 * takes as long as the store cannot be reached, this host goes by it as if it
 * were the newest.
 */
void quarantine_reporting(edge_t *e, const crash_report_t *c, ms_t now)
{
	quarantine_t *q = e->quarantine;
	report_t *r = report_new(e->conf.name ? e->conf.name : "", c);

	if (g_hash_table_size(q->own) >= REPORTS_MAX) {
		q->left_out->value++;
		log_line(LOG_WARN, "report_left_out", "report=%s number=none",
			 r->key);
		report_free(r);
		return;
	}
	r->number = q->last_number + 1;
	r->seen_at = now;
	g_hash_table_replace(q->own, r->key, r);
	q->changed = true;
}

static gboolean is_outdated(gpointer key, gpointer report, gpointer now)
{
	const report_t *r = report;

	return *(const ms_t *)now - r->seen_at >= QUARANTINE_MS;
}

/* Drops this host's reports that were not read back for too long. */
void crashrec_expire_own(quarantine_t *q, ms_t now)
{
	if (g_hash_table_foreach_remove(q->own, is_outdated, &now))
		q->changed = true;
}

/* Returns whether the report named the trait. */
static bool report_drop_trait(report_t *r, trait_t trait)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		if (r->traits[i] != trait)
			continue;
		r->traits[i] = r->traits[--r->ntraits];
		return true;
	}
	return false;
}

/* An answer to this host clears its own reports without the store. */
void crashrec_clear_own(quarantine_t *q, trait_t trait)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, q->own);
	while (g_hash_table_iter_next(&it, NULL, &r)) {
		if (report_drop_trait(r, trait))
			q->changed = true;
	}
}

/*
 * A host's report of a server that ended. One with an older number than the
 * report known of that host and life is ignored. Without traits: the record was
 * deleted.
 */
void edge_crash_reported(edge_t *e, const char *host, const crash_report_t *c,
			 uint64_t number, ms_t now)
{
	quarantine_t *q = e->quarantine;
	report_t *r = report_new(host, c);
	const report_t *known = g_hash_table_lookup(q->reports, r->key);

	if (known && known->number >= number) {
		report_free(r);
		return;
	}
	r->number = number;
	r->seen_at = first_seen(q, r, now);
	q->last_number = MAX(q->last_number, number);
	q->changed = true;
	g_hash_table_remove(q->own, r->key);
	if (r->ntraits == 0) {
		g_hash_table_remove(q->reports, r->key);
		report_free(r);
		return;
	}
	q->left_out->value += c->ntraits - r->ntraits;
	log_report(r, host, c);
	g_hash_table_replace(q->reports, r->key, r);
	bound_reports(q);
}

static void bound_answered(quarantine_t *q)
{
	answered_t *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(q->answered) <= ANSWERED_MAX)
		return;
	g_hash_table_iter_init(&it, q->answered);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		answered_t *a = v;

		if (!oldest || a->number < oldest->number)
			oldest = a;
	}
	g_assert(oldest);
	q->left_out->value++;
	log_line(LOG_WARN, "answer_left_out",
		 "part=%" PRIx64 " number=%" PRIu64, oldest->trait,
		 oldest->number);
	g_hash_table_remove(q->answered, &oldest->trait);
}

/*
 * Some host has had a whole answer to a request with the trait: reports with a
 * lower number no longer name it.
 */
void edge_trait_answered(edge_t *e, trait_t trait, uint64_t number, ms_t now)
{
	quarantine_t *q = e->quarantine;
	answered_t *a = g_hash_table_lookup(q->answered, &trait);

	if (a && a->number >= number)
		return;
	if (!a) {
		a = g_new0(answered_t, 1);
		a->trait = trait;
		g_hash_table_insert(q->answered, &a->trait, a);
	}
	a->number = number;
	a->seen_at = now;
	q->last_number = MAX(q->last_number, number);
	q->changed = true;
	log_line(LOG_INFO, "part_cleared", "part=%" PRIx64 " number=%" PRIu64,
		 trait, number);
	bound_answered(q);
}
