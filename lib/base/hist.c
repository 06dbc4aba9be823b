/* Latency histograms, kept as a set of counters in the scrape text format. */
#include "base/fns.h"

/* Upper bounds in ms: from a hop in a data centre to the longest request. */
static const unsigned int bounds[HIST_BOUNDS] = {
	1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000,
};

/* Returns a histogram of that name; labels as for counter_get, or NULL. */
hist_t *hist_new(counters_t *cs, const char *name, const char *labels)
{
	hist_t *h = g_new0(hist_t, 1);
	const char *comma = labels && labels[0] ? "," : "";
	char *bucket = g_strconcat(name, "_bucket", NULL);
	char *sum = g_strconcat(name, "_sum", NULL);
	char *count = g_strconcat(name, "_count", NULL);

	for (int i = 0; i <= HIST_BOUNDS; i++) {
		char *le = i < HIST_BOUNDS ? g_strdup_printf("%u", bounds[i])
					   : g_strdup("+Inf");
		char *bucket_labels = g_strdup_printf(
			"%s%sle=\"%s\"", labels ? labels : "", comma, le);

		h->buckets[i] = counter_get(cs, bucket, bucket_labels);
		g_free(bucket_labels);
		g_free(le);
	}
	h->sum = counter_get(cs, sum, labels);
	h->count = counter_get(cs, count, labels);
	g_free(bucket);
	g_free(sum);
	g_free(count);
	return h;
}

/* Records a time in ms. A negative time adds 0 to the sum. */
void hist_add(hist_t *h, ms_t ms)
{
	for (int i = 0; i < HIST_BOUNDS; i++)
		h->buckets[i]->value += ms <= (ms_t)bounds[i];
	h->buckets[HIST_BOUNDS]->value++;
	h->sum->value += (uint64_t)MAX(ms, 0);
	h->count->value++;
}

/* Frees the histogram; its counters stay in their set. */
void hist_free(hist_t *h)
{
	g_free(h);
}
