/*
 * Quarantine of requests that crash servers, by their traits, from what hosts
 * report to each other. Which traits are in quarantine is a function of the set
 * of records, so that all hosts that have read the same agree on it, but for a
 * host's own reports, which it goes by before it has read them back.
 */
#include <inttypes.h>
#include "edge/quarantine.h"

enum {
	/* After so many an answer to a request's content is told: most contents
	   come once, and again only after a failure */
	CONTENT_TOLD_CRASHES = CRASHES_MIN - 1,
	QUARANTINE_MAX_MS = 4 * QUARANTINE_MS,
	PENDING_MS = 30 * MS_PER_S, /* more crashes are likely for this long */
	/* Records that are cleared are deleted once all hosts have read them */
	KEEP_MS = 60 * MS_PER_S,
	/* An answer that is not read back is told anew */
	ANSWER_AGAIN_MS = 2000,
	NAMES_BYTES = 160, /* of servers in a log line */
};

static void suspected_free(gpointer v)
{
	suspected_t *s = v;

	if (s->group)
		g_array_unref(s->group);
	g_free(s);
}

/* Returns a quarantine without records. */
quarantine_t *quarantine_new(counters_t *counters)
{
	quarantine_t *q = g_new0(quarantine_t, 1);

	q->reports = crashrec_new();
	q->former = crashrec_new();
	q->own = crashrec_new();
	q->answered = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	q->suspects = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    suspected_free);
	q->refused = counter_get(counters, "edge_quarantined_total", NULL);
	q->gauge = gauge_get(counters, "edge_parts_quarantined", NULL);
	q->left_out =
		counter_get(counters, "edge_crash_facts_left_out_total", NULL);
	return q;
}

/* Frees the quarantine. */
void quarantine_free(quarantine_t *q)
{
	g_hash_table_destroy(q->reports);
	g_hash_table_destroy(q->former);
	g_hash_table_destroy(q->own);
	g_hash_table_destroy(q->answered);
	g_hash_table_destroy(q->suspects);
	g_free(q);
}

/* Starts a term at a new crash; it is doubled if the last one had ended. */
static void extend_term(suspected_t *s)
{
	if (s->newest <= s->counted)
		return;
	if (s->until && s->newest_seen >= s->until)
		s->term = MIN(s->term * 2, QUARANTINE_MAX_MS);
	s->counted = s->newest;
	s->until = MAX(s->until, s->newest_seen + s->term);
}

/* Returns the reports that name a trait as text; the caller frees it. */
static char *lives_of(const quarantine_t *q, trait_t trait)
{
	GString *out = g_string_new(NULL);
	GPtrArray *all = blame_reports(q);

	for (guint i = 0; i < all->len && out->len < NAMES_BYTES; i++) {
		const report_t *r = all->pdata[i];

		if (blame_names(q, r, trait))
			g_string_append_printf(out, "%s%s", out->len ? "," : "",
					       r->key);
	}
	g_ptr_array_free(all, TRUE);
	return g_string_free(out, FALSE);
}

static void log_quarantined(const quarantine_t *q, const suspected_t *s,
			    ms_t now)
{
	char *lives = lives_of(q, s->trait);

	log_line(LOG_WARN, "part_quarantined",
		 "part=%" PRIx64 " crashes=%u beside=%u for_ms=%lld reports=%s",
		 s->trait, s->crashes, s->group->len - 1,
		 (long long)(s->until - now), lives);
	g_free(lives);
}

static const char *why_released(const suspected_t *s)
{
	if (s->group)
		return "expired";
	return s->crashes > 0 ? "another_part" : "answered";
}

/* Sets whether a trait is in quarantine now, and logs a change. */
static void settle_trait(quarantine_t *q, suspected_t *s, ms_t now)
{
	bool active;

	if (s->group)
		extend_term(s);
	active = s->group && now < s->until;
	if (active && !s->active)
		log_quarantined(q, s, now);
	else if (!active && s->active)
		log_line(LOG_INFO, "part_released",
			 "part=%" PRIx64 " crashes=%u why=%s", s->trait,
			 s->crashes, why_released(s));
	s->active = active;
	q->nactive += active;
}

/* Whether nothing is left to know of a trait. */
static bool is_forgotten(const suspected_t *s, ms_t now)
{
	return s->crashes == 0 &&
	       (s->until == 0 || now >= s->until + QUARANTINE_MAX_MS);
}

/* Derives from the records which traits are in quarantine. */
static void refresh(quarantine_t *q, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	if (q->changed)
		blame_choose(q);
	q->changed = false;
	q->nactive = 0;
	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		settle_trait(q, v, now);
		if (is_forgotten(v, now))
			g_hash_table_iter_remove(&it);
	}
	q->gauge->value = q->nactive;
}

/* Whether reports of crashes are to be expected soon. */
bool edge_crashes_pending(const edge_t *e, ms_t now)
{
	const quarantine_t *q = e->quarantine;
	GHashTableIter it;
	gpointer v;

	if (crash_suspected(e))
		return true;
	g_hash_table_iter_init(&it, q->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const report_t *r = v;

		if (now - r->seen_at < PENDING_MS && blame_is_live(q, r))
			return true;
	}
	return false;
}

/* Whether a trait of the report is in quarantine. */
static bool is_needed(const quarantine_t *q, const report_t *r)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		const suspected_t *s =
			g_hash_table_lookup(q->suspects, &r->traits[i]);

		if (s && s->active && blame_counts(q, r, r->traits[i]))
			return true;
	}
	return false;
}

/* Whether an older report still names a trait that was answered. */
static bool clears_some(const quarantine_t *q, const answered_t *a)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const report_t *r = v;

		for (size_t i = 0; i < r->ntraits; i++) {
			if (r->traits[i] == a->trait && r->number < a->number)
				return true;
		}
	}
	return false;
}

/*
 * Calls drop for each record that is no longer needed, by its number: reports
 * that are cleared or older than the longest quarantine, then answers to traits
 * that no older report names. Only the host of the lowest rank names any.
 */
void edge_crashes_expired(edge_t *e, void (*drop)(void *ctx, uint64_t number),
			  void *ctx, ms_t now)
{
	quarantine_t *q = e->quarantine;
	GHashTableIter it;
	gpointer v;

	if (!e->hosts_known || e->host_rank != 0)
		return;
	refresh(q, now);
	g_hash_table_iter_init(&it, q->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const report_t *r = v;
		ms_t keep = blame_is_live(q, r) ? QUARANTINE_MAX_MS : KEEP_MS;

		if (now - r->seen_at >= keep && !is_needed(q, r))
			drop(ctx, r->number);
	}
	g_hash_table_iter_init(&it, q->answered);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const answered_t *a = v;

		if (now - a->seen_at >= KEEP_MS && !clears_some(q, a))
			drop(ctx, a->number);
	}
}

static bool has_part(const request_t *r, trait_t trait)
{
	for (size_t i = 0; i < r->nparts; i++) {
		if (r->parts[i] == trait)
			return true;
	}
	return false;
}

/* Whether the request has all traits of a group, and all are in quarantine. */
static bool has_group(const quarantine_t *q, const request_t *r,
		      const GArray *group, ms_t now)
{
	for (guint i = 0; i < group->len; i++) {
		trait_t trait = g_array_index(group, trait_t, i);
		const suspected_t *s = g_hash_table_lookup(q->suspects, &trait);

		if (!s->active || now >= s->until || !has_part(r, trait))
			return false;
	}
	return true;
}

/*
 * Returns a trait of the request that is in quarantine, or NULL. Of parts that
 * no crash tells apart, the request must have all; its content is enough, since
 * no request has that of another.
 */
static const suspected_t *quarantined_trait(quarantine_t *q, const request_t *r,
					    ms_t now)
{
	const suspected_t *s;

	if (q->changed)
		refresh(q, now);
	if (q->nactive == 0)
		return NULL;
	s = g_hash_table_lookup(q->suspects, &r->content);
	if (r->content != 0 && s && s->active && now < s->until)
		return s;
	for (size_t i = 0; i < r->nparts; i++) {
		s = g_hash_table_lookup(q->suspects, &r->parts[i]);

		if (s && s->active && has_group(q, r, s->group, now))
			return s;
	}
	return NULL;
}

/* Whether the request must not be sent. */
bool quarantine_holds(edge_t *e, const request_t *r, ms_t now)
{
	return quarantined_trait(e->quarantine, r, now) != NULL;
}

/*
 * Refuses a request that is in no queue if it has a trait in quarantine.
 * Returns whether it did.
 */
bool quarantine_refuse(edge_t *e, request_t *r, ms_t now)
{
	const suspected_t *s = quarantined_trait(e->quarantine, r, now);

	if (!s)
		return false;
	e->quarantine->refused->value++;
	edge_log_step(e, r, now, "refused",
		      "why=quarantined part=%" PRIx64
		      " crashes=%u left_ms=%lld",
		      s->trait, s->crashes, (long long)(s->until - now));
	r->state = REQUEST_ENDED;
	e->ops->refuse(e->ctx, r, CODE_QUARANTINED, s->until - now);
	return true;
}

/* A request was answered whole: tells all hosts of traits that reports name. */
void quarantine_answered(edge_t *e, const request_t *r, ms_t now)
{
	quarantine_t *q = e->quarantine;

	if (q->changed)
		refresh(q, now);
	for (size_t i = 0; i < traits_count(r); i++) {
		trait_t trait = traits_at(r, i);
		suspected_t *s = g_hash_table_lookup(q->suspects, &trait);
		unsigned int told_from =
			i == 0 && r->content ? CONTENT_TOLD_CRASHES : 1;

		if (!s || s->crashes == 0)
			continue;
		crashrec_clear_own(q, trait);
		if (s->crashes < told_from ||
		    (s->told_at && now - s->told_at < ANSWER_AGAIN_MS))
			continue;
		s->told_at = now;
		if (e->ops->trait_answered)
			e->ops->trait_answered(e->ctx, s->trait);
	}
}

/* Refuses the requests of a queue that have a trait in quarantine. */
static void refuse_waiting(edge_t *e, GHashTable *waiting, ms_t now,
			   void (*take_out)(edge_t *e, request_t *r))
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, waiting);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (quarantine_holds(e, v, now))
			g_ptr_array_add(all, v);
	}
	for (guint i = 0; i < all->len; i++) {
		take_out(e, all->pdata[i]);
		quarantine_refuse(e, all->pdata[i], now);
	}
	g_ptr_array_free(all, TRUE);
}

/* To be called every few tens of ms. */
void quarantine_tick(edge_t *e, ms_t now)
{
	crashrec_expire_own(e->quarantine, now);
	refresh(e->quarantine, now);
	if (e->quarantine->nactive == 0)
		return;
	refuse_waiting(e, e->asking_by_rid, now, quota_forget);
	refuse_waiting(e, e->waiting, now, queue_remove);
}

/* Appends one line per trait that was in quarantine at the last tick. */
void quarantine_print(const edge_t *e, GString *out, ms_t now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->quarantine->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const suspected_t *s = v;

		if (s->active)
			g_string_append_printf(
				out,
				"quarantined=%" PRIx64
				" crashes=%u beside=%u left_ms=%lld\n",
				s->trait, s->crashes, s->group->len - 1,
				(long long)(s->until - now));
	}
}
