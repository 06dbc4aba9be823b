/*
 * Which traits explain the crashes that hosts report: those that most lives of
 * servers have in common. A function of the reports and answers alone.
 */
#include <string.h>
#include "edge/quarantine.h"

enum {
	/* Lives that are enough, whatever else ends meanwhile */
	CRASHES_ENOUGH = 5,
	/* One in so many lives that ended meanwhile: servers that end together
	   leave many lives that have little in common */
	CRASHES_SHARE = 3,
};

/* Whether a trait's report still counts: no later answer is known. */
bool blame_counts(const quarantine_t *q, const report_t *r, trait_t trait)
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
GPtrArray *blame_reports(const quarantine_t *q)
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
			if (blame_counts(q, r, r->traits[k]))
				tally_trait(q, r, r->traits[k], unexplained);
		}
	}
}

/* Whether a trait of a report still counts. */
bool blame_is_live(const quarantine_t *q, const report_t *r)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		if (blame_counts(q, r, r->traits[i]))
			return true;
	}
	return false;
}

bool blame_names(const quarantine_t *q, const report_t *r, trait_t trait)
{
	for (size_t i = 0; i < r->ntraits; i++) {
		if (r->traits[i] == trait)
			return blame_counts(q, r, trait);
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

		if (blame_names(q, r, trait) &&
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

		if (!blame_names(q, r, trait) ||
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
void blame_choose(quarantine_t *q)
{
	GPtrArray *all = blame_reports(q);
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
