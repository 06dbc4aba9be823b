/*
 * Quarantine of requests that crash servers, by their traits, from what hosts
 * report to each other. Which traits are in quarantine is a function of the set
 * of records alone, so that all hosts that have read the same agree on it.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/priv.h"

enum {
	/* Lives of servers that ended with a trait */
	CRASHES_MIN = 3,
	/* After so many an answer to a request's content is told: most contents
	   come once, and again only after a failure */
	CONTENT_TOLD_CRASHES = CRASHES_MIN - 1,
	/* The same, whatever else ends meanwhile */
	CRASHES_ENOUGH = 5,
	/* One in so many lives that ended meanwhile: servers that end together
	   leave many lives that have little in common */
	CRASHES_SHARE = 3,
	QUARANTINE_MS = 10 * 60 * MS_PER_S,
	QUARANTINE_MAX_MS = 4 * QUARANTINE_MS,
	PENDING_MS = 30 * MS_PER_S, /* more crashes are likely for this long */
	/* Records that are cleared are deleted once all hosts have read them */
	KEEP_MS = 60 * MS_PER_S,
	REPORTS_MAX = 512,
	ANSWERED_MAX = 4096,
	/* An answer that is not read back is told anew */
	ANSWER_AGAIN_MS = 2000,
	NAMES_BYTES = 160, /* of servers in a log line */
};

/* A host's report of a life of a server that ended. */
typedef struct report {
	char *key;  /* server, start and host */
	char *life; /* server and start */
	uint64_t number;
	ms_t seen_at; /* by this process */
	size_t ntraits;
	trait_t traits[CRASH_TRAITS_MAX];
} report_t;

/* The newest record of a whole answer to a request with a trait. */
typedef struct answered {
	trait_t trait;
	uint64_t number;
	ms_t seen_at;
} answered_t;

/* A trait that reports name, as this process knows it. */
typedef struct suspected {
	trait_t trait;
	unsigned int crashes; /* lives that ended with it since an answer */
	uint64_t newest;      /* of its reports */
	ms_t newest_seen;
	/* Of trait_t: what explains its crashes, with it; NULL: none */
	GArray *group;
	uint64_t counted; /* newest report at the last start of its term */
	ms_t until;	  /* end of the quarantine */
	ms_t term;	  /* its length */
	bool active;	  /* in quarantine at the last look */
	ms_t told_at;	  /* that it was answered; 0: not */
	/* While deriving: lives that no group explains */
	unsigned int unexplained;
	const char *last_life;
} suspected_t;

struct quarantine {
	GHashTable *reports;  /* report_t by key */
	GHashTable *former;   /* the same before the last listing */
	GHashTable *own;      /* this host's, until they are read back */
	uint64_t last_number; /* the highest of any record */
	GHashTable *answered; /* answered_t by trait */
	GHashTable *suspects; /* suspected_t by trait */
	bool changed;	      /* records, since traits was derived */
	unsigned int nactive;
	counter_t *refused;
	counter_t *gauge;
	counter_t *left_out;
};

static void report_free(gpointer v)
{
	report_t *r = v;

	g_free(r->key);
	g_free(r->life);
	g_free(r);
}

static void suspected_free(gpointer v)
{
	suspected_t *s = v;

	if (s->group)
		g_array_unref(s->group);
	g_free(s);
}

static GHashTable *reports_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     report_free);
}

/* Returns a quarantine without records. */
quarantine_t *quarantine_new(counters_t *counters)
{
	quarantine_t *q = g_new0(quarantine_t, 1);

	q->reports = reports_new();
	q->former = reports_new();
	q->own = reports_new();
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

/* Whether a trait's report still counts: no later answer is known. */
static bool counts(const quarantine_t *q, const report_t *r, trait_t trait)
{
	const answered_t *a = g_hash_table_lookup(q->answered, &trait);

	return !a || r->number > a->number;
}

static suspected_t *suspected_get(quarantine_t *q, trait_t trait)
{
	suspected_t *s = g_hash_table_lookup(q->suspects, &trait);

	if (s)
		return s;
	s = g_new0(suspected_t, 1);
	s->trait = trait;
	s->term = QUARANTINE_MS;
	g_hash_table_insert(q->suspects, &s->trait, s);
	return s;
}

static gint by_life(gconstpointer a, gconstpointer b)
{
	const report_t *x = *(report_t *const *)a;
	const report_t *y = *(report_t *const *)b;
	int order = strcmp(x->life, y->life);

	return order ? order : strcmp(x->key, y->key);
}

static void add_reports(GPtrArray *all, GHashTable *reports)
{
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, reports);
	while (g_hash_table_iter_next(&it, NULL, &r))
		g_ptr_array_add(all, r);
}

/* Returns all reports, those of one life beside each other. */
static GPtrArray *sorted_reports(const quarantine_t *q)
{
	GPtrArray *all = g_ptr_array_new();

	add_reports(all, q->reports);
	add_reports(all, q->own);
	g_ptr_array_sort(all, by_life);
	return all;
}

/*
 * Counts a life of a server for one trait of a report. unexplained: no group
 * explains it yet.
 */
static void tally_trait(quarantine_t *q, const report_t *r, trait_t trait,
			bool unexplained)
{
	suspected_t *s = suspected_get(q, trait);
	bool first = !s->last_life || strcmp(s->last_life, r->life) != 0;

	s->crashes += first;
	s->unexplained += first && unexplained;
	s->last_life = r->life;
	if (r->number <= s->newest)
		return;
	s->newest = r->number;
	s->newest_seen = r->seen_at;
}

static void tally(quarantine_t *q, const GPtrArray *all, GHashTable *explained)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		suspected_t *s = v;

		s->crashes = 0;
		s->unexplained = 0;
		s->newest = 0;
		s->last_life = NULL;
	}
	for (guint i = 0; i < all->len; i++) {
		const report_t *r = all->pdata[i];
		bool unexplained = !g_hash_table_contains(explained, r->life);

		for (size_t k = 0; k < r->ntraits; k++) {
			if (counts(q, r, r->traits[k]))
				tally_trait(q, r, r->traits[k], unexplained);
		}
	}
}

/* Whether a trait of a report still counts. */
static bool is_live(const quarantine_t *q, const report_t *r)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		if (counts(q, r, r->traits[i]))
			return true;
	}
	return false;
}

static bool names(const quarantine_t *q, const report_t *r, trait_t trait)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		if (r->traits[i] == trait)
			return counts(q, r, trait);
	}
	return false;
}

/* Returns the set of unexplained lives that ended with a trait. */
static GHashTable *lives_with(const quarantine_t *q, const GPtrArray *all,
			      GHashTable *explained, trait_t trait)
{
	GHashTable *lives = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < all->len; i++) {
		const report_t *r = all->pdata[i];

		if (names(q, r, trait) &&
		    !g_hash_table_contains(explained, r->life))
			g_hash_table_add(lives, r->life);
	}
	return lives;
}

/* The first and the last report of the unexplained lives that name a trait. */
static void span_of(const quarantine_t *q, const GPtrArray *all,
		    GHashTable *explained, trait_t trait, uint64_t *from,
		    uint64_t *to)
{
	*from = G_MAXUINT64;
	*to = 0;
	for (guint i = 0; i < all->len; i++) {
		const report_t *r = all->pdata[i];

		if (!names(q, r, trait) ||
		    g_hash_table_contains(explained, r->life))
			continue;
		*from = MIN(*from, r->number);
		*to = MAX(*to, r->number);
	}
}

/*
 * Whether a trait has enough of the unexplained lives that were reported from
 * the first to the last of its own.
 */
static bool has_share(const quarantine_t *q, const GPtrArray *all,
		      GHashTable *explained, const suspected_t *s)
{
	GHashTable *lives = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int n;
	uint64_t from;
	uint64_t to;

	span_of(q, all, explained, s->trait, &from, &to);
	for (guint i = 0; i < all->len; i++) {
		const report_t *r = all->pdata[i];

		if (r->number >= from && r->number <= to &&
		    !g_hash_table_contains(explained, r->life))
			g_hash_table_add(lives, r->life);
	}
	n = g_hash_table_size(lives);
	g_hash_table_destroy(lives);
	return s->unexplained * CRASHES_SHARE >= n;
}

/*
 * Returns the most lives that a trait has which no group explains, of the
 * traits that have enough of them; the others are passed over.
 */
static unsigned int most_unexplained(const quarantine_t *q,
				     const GPtrArray *all,
				     GHashTable *explained)
{
	unsigned int most = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		suspected_t *s = v;

		if (s->unexplained < CRASHES_MIN ||
		    (s->unexplained < CRASHES_ENOUGH &&
		     !has_share(q, all, explained, s)))
			s->unexplained = 0;
		most = MAX(most, s->unexplained);
	}
	return most;
}

static bool same_lives(GHashTable *a, GHashTable *b)
{
	GHashTableIter it;
	gpointer life;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return false;
	g_hash_table_iter_init(&it, a);
	while (g_hash_table_iter_next(&it, &life, NULL)) {
		if (!g_hash_table_contains(b, life))
			return false;
	}
	return true;
}

/* Of the traits with that many lives, returns the one with the lowest value. */
static suspected_t *first_with(const quarantine_t *q, unsigned int lives)
{
	suspected_t *first = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		suspected_t *s = v;

		if (s->unexplained == lives &&
		    (!first || s->trait < first->trait))
			first = s;
	}
	return first;
}

/*
 * Makes the group of a trait: all that ended the same lives, so that nothing
 * tells which of them is the cause. Its lives are explained from then on.
 */
static void make_group(quarantine_t *q, const GPtrArray *all,
		       GHashTable *explained, const suspected_t *first)
{
	GArray *group = g_array_new(FALSE, FALSE, sizeof(trait_t));
	GHashTable *lives = lives_with(q, all, explained, first->trait);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		suspected_t *s = v;
		GHashTable *own;

		if (s->unexplained != first->unexplained)
			continue;
		own = lives_with(q, all, explained, s->trait);
		if (same_lives(own, lives)) {
			s->group = g_array_ref(group);
			g_array_append_val(group, s->trait);
		}
		g_hash_table_destroy(own);
	}
	g_array_unref(group);
	g_hash_table_iter_init(&it, lives);
	while (g_hash_table_iter_next(&it, &v, NULL))
		g_hash_table_add(explained, v);
	g_hash_table_destroy(lives);
}

static void drop_groups(quarantine_t *q)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, q->suspects);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_clear_pointer(&((suspected_t *)v)->group, g_array_unref);
}

/*
 * Chooses the traits that explain the crashes: always those that most of the
 * lives not explained yet have in common. A trait that is only ever named
 * beside a chosen one with more lives is not chosen.
 */
static void choose_traits(quarantine_t *q)
{
	GPtrArray *all = sorted_reports(q);
	GHashTable *explained = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int most;

	drop_groups(q);
	tally(q, all, explained);
	while ((most = most_unexplained(q, all, explained)) > 0) {
		make_group(q, all, explained, first_with(q, most));
		tally(q, all, explained);
	}
	g_hash_table_destroy(explained);
	g_ptr_array_free(all, TRUE);
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
	GPtrArray *all = sorted_reports(q);

	for (guint i = 0; i < all->len && out->len < NAMES_BYTES; i++) {
		const report_t *r = all->pdata[i];

		if (names(q, r, trait))
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
		choose_traits(q);
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

/*
 * A full listing of the reports begins: forgets those known, except when this
 * process first saw them.
 */
void edge_crashes_listing(edge_t *e)
{
	quarantine_t *q = e->quarantine;

	g_hash_table_destroy(q->former);
	q->former = q->reports;
	q->reports = reports_new();
	g_hash_table_remove_all(q->answered);
	q->changed = true;
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

static report_t *report_new(const char *host, const crash_report_t *c)
{
	report_t *r = g_new0(report_t, 1);

	r->life = g_strdup_printf("%s.%lld", c->server,
				  (long long)c->started_unix);
	r->key = g_strdup_printf("%s/%s", r->life, host);
	r->ntraits = MIN(c->ntraits, CRASH_TRAITS_MAX);
	memcpy(r->traits, c->traits, r->ntraits * sizeof(*r->traits));
	return r;
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
static void clear_own(quarantine_t *q, trait_t trait)
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

		if (now - r->seen_at < PENDING_MS && is_live(q, r))
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

		if (s && s->active && counts(q, r, r->traits[i]))
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
		ms_t keep = is_live(q, r) ? QUARANTINE_MAX_MS : KEEP_MS;

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
		clear_own(q, trait);
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
	if (g_hash_table_foreach_remove(e->quarantine->own, is_outdated, &now))
		e->quarantine->changed = true;
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
