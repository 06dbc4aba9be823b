/* Estimates output lengths by a moving average for each service and route. */
#include "entry/priv.h"

enum {
	OUTPUT_DEFAULT = 256, /* tokens, before the first answer */
};

static const double newest_weight = 0.05; /* of an answer in the average */

static char *length_key(const submission_t *s)
{
	return g_strdup_printf("%s %s", s->service, s->route ? s->route : "");
}

/* Returns the expected output tokens, at least 1, at most s->max_output. */
uint64_t estimate_output(const entry_t *e, const submission_t *s)
{
	char *key = length_key(s);
	const double *mean = g_hash_table_lookup(e->output_lengths, key);
	uint64_t n = s->model ? OUTPUT_DEFAULT : 1;

	g_free(key);
	if (mean)
		n = (uint64_t)(*mean + 0.5);
	if (s->max_output > 0)
		n = MIN(n, s->max_output);
	return MAX(n, 1);
}

/* Adds the length of a whole answer to the average. */
void estimate_learn(entry_t *e, const submission_t *s, uint64_t output_tokens)
{
	char *key = length_key(s);
	double *mean = g_hash_table_lookup(e->output_lengths, key);

	if (mean) {
		*mean += newest_weight * ((double)output_tokens - *mean);
		g_free(key);
		return;
	}
	mean = g_new(double, 1);
	*mean = (double)output_tokens;
	g_hash_table_insert(e->output_lengths, key, mean);
}
