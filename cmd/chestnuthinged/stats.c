/* Request counters by service and tier, and gauges of this process. */
#include <sys/resource.h>
#include "fns.h"

enum {
	LABELS_MAX = 256, /* bytes */
	CODE_MAX = 300,	  /* larger than any code that a request ends with */
	HTTP_SERVER_ERROR = 500, /* lowest status of a server error */
	US_PER_MS = 1000,
};

/* Upper bounds of the first token's latency, in milliseconds. */
static const ms_t bounds[] = { 10,  20,	  50,	100,  200,
			       500, 1000, 2000, 5000, 10000 };

/* The counters of one service, made when they are first used. */
typedef struct row {
	counter_t *ended[TIER_COUNT][CODE_MAX];
	counter_t *good[TIER_COUNT];
	counter_t *first[TIER_COUNT]; /* requests with a first token */
	counter_t *buckets[TIER_COUNT][G_N_ELEMENTS(bounds) + 1];
} row_t;

struct stats {
	counters_t *all;
	GHashTable *rows; /* row_t by service */
};

/* Makes the table; counters go into all. */
stats_t *stats_new(counters_t *all)
{
	stats_t *s = g_new0(stats_t, 1);

	s->all = all;
	s->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

/* Frees the table; the counters stay. */
void stats_free(stats_t *s)
{
	g_hash_table_destroy(s->rows);
	g_free(s);
}

static row_t *row_of(stats_t *s, const char *service)
{
	row_t *row = g_hash_table_lookup(s->rows, service);

	if (row)
		return row;
	row = g_new0(row_t, 1);
	g_hash_table_insert(s->rows, g_strdup(service), row);
	return row;
}

/* Increments a counter; false if it was not made yet. */
static bool increment(counter_t *c)
{
	if (c)
		c->value++;
	return c != NULL;
}

/* Increments a counter, made on first use with extra appended to its labels. */
static void count(stats_t *s, counter_t **slot, const char *name,
		  const char *service, int tier, const char *extra)
{
	char labels[LABELS_MAX];

	if (increment(*slot))
		return;
	g_snprintf(labels, sizeof(labels), "service=\"%s\",tier=\"%d\"%s",
		   service, tier, extra);
	*slot = counter_get(s->all, name, labels);
	(*slot)->value++;
}

static void count_code(stats_t *s, row_t *row, const char *service, int tier,
		       code_t code)
{
	char extra[64];

	if (increment(row->ended[tier][code]))
		return;
	g_snprintf(extra, sizeof(extra), ",code=\"%s\"", code_name(code));
	count(s, &row->ended[tier][code], "chestnuthinge_requests_total",
	      service, tier, extra);
}

/* Counts a request that was refused before it was submitted. */
void stats_refuse(stats_t *s, const char *service, int tier, code_t code)
{
	count_code(s, row_of(s, service), service, tier, code);
}

static void count_first(stats_t *s, row_t *row, const reply_t *r)
{
	static const char name[] = "chestnuthinge_first_token_ms_bucket";
	counter_t **buckets = row->buckets[r->tier];
	ms_t took = r->first_at - r->began;
	size_t n = G_N_ELEMENTS(bounds);
	char extra[64];

	for (size_t i = n; i > 0 && took <= bounds[i - 1]; i--) {
		if (increment(buckets[i - 1]))
			continue;
		g_snprintf(extra, sizeof(extra), ",le=\"%d\"",
			   (int)bounds[i - 1]);
		count(s, &buckets[i - 1], name, r->service, r->tier, extra);
	}
	count(s, &buckets[n], name, r->service, r->tier, ",le=\"+Inf\"");
	count(s, &row->first[r->tier], "chestnuthinge_first_token_ms_count",
	      r->service, r->tier, "");
}

/*
 * Returns whether an answer was complete and met its latency targets: that of
 * the first token and, if it came in several chunks, that of the mean gap
 * between them. An answer of a model that is not streamed shows no first token
 * here, so that it counts as good if it is complete.
 */
static bool is_good(const reply_t *r, code_t code, int status)
{
	ms_t first = r->first_at - r->began;
	ms_t rest = r->last_at - r->first_at;

	if (code != CODE_OK || status >= HTTP_SERVER_ERROR || r->first_at < 0)
		return false;
	if (r->model && !r->streamed)
		return true;
	if (r->first_token_target > 0 && first > r->first_token_target)
		return false;
	return r->token_gap_target == 0 || r->chunks < 2 ||
	       rest <= r->token_gap_target * (ms_t)(r->chunks - 1);
}

/* Counts a submitted request at its end. */
void stats_end(stats_t *s, const reply_t *r, code_t code, int status)
{
	row_t *row = row_of(s, r->service);

	count_code(s, row, r->service, r->tier, code);
	if (r->first_at >= 0)
		count_first(s, row, r);
	if (is_good(r, code, status))
		count(s, &row->good[r->tier], "chestnuthinge_good_total",
		      r->service, r->tier, "");
}

/* Sets the gauges of CPU time and peak memory of the process. */
void stats_process(counters_t *counters)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	gauge_get(counters, "chestnuthinge_cpu_ms", "")->value =
		(uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * MS_PER_S +
		(uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / US_PER_MS;
	gauge_get(counters, "chestnuthinge_memory_max_kib", "")->value =
		(uint64_t)u.ru_maxrss;
}
