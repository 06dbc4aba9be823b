/* Cost of what processes share: facts, moves, configuration, claims. */
#include "ledger/fns.h"
#include "move/fns.h"
#include "fns.h"

static void fact_name(char *key, size_t n, size_t i)
{
	g_snprintf(key, n, "ev/100000/%016zx/v2/chat/n", i);
}

static void *facts_setup(size_t size)
{
	facts_t *f = facts_new();
	char key[64];

	for (size_t i = 0; i < size; i++) {
		fact_name(key, sizeof(key), i);
		facts_raise(f, key, 1);
	}
	return f;
}

static void facts_run_merge(void *state, size_t n)
{
	char key[64];

	fact_name(key, sizeof(key), 0);
	for (size_t i = 0; i < n; i++)
		facts_merge(state, str_of(key), 2 + i);
}

static void facts_run_since(void *state, size_t n)
{
	fact_kv_t out[16];
	uint64_t next;

	for (size_t i = 0; i < n; i++)
		facts_since(state, 0, out, G_N_ELEMENTS(out), &next);
}

static GString *intent_text(size_t customers)
{
	GString *t = g_string_new("[service helper]\nkind = model\n"
				  "[version helper/v1]\n"
				  "[version helper/v2]\nreplaces = v1\n"
				  "by = 2030-01-01T00:00:00Z\n");

	for (size_t i = 0; i < customers; i++)
		g_string_append_printf(t,
				       "[customer c-%zu]\n"
				       "key_sha256 = %064zx\n"
				       "tier = 1\nrequests_per_s = 50\n"
				       "tokens_per_s = 20000\nweight = 1\n",
				       i, i + 1);
	return t;
}

static intent_t *intent_of(size_t customers)
{
	GString *t = intent_text(customers);
	GError *err = NULL;
	intent_t *in = intent_parse(t->str, "bench", &err);

	if (!in)
		g_error("%s", err->message);
	g_string_free(t, TRUE);
	return in;
}

static void *intent_setup(size_t customers)
{
	return intent_text(customers);
}

static void intent_run(void *state, size_t n)
{
	GString *t = state;

	for (size_t i = 0; i < n; i++)
		intent_free(intent_parse(t->str, "bench", NULL));
	if (n == 0)
		printf("bytes %zu\n", t->len);
}

static void *lookup_setup(size_t customers)
{
	return intent_of(customers);
}

static void lookup_run(void *state, size_t n)
{
	for (size_t i = 0; i < n; i++)
		intent_customer_by_key(state, "no such key");
}

static void ended(void *ctx, const move_result_t *r)
{
}

static const moves_ops_t moves_ops = { .ended = ended };

/* size counts the other entries whose evidence is known here. */
static void *moves_setup(size_t size)
{
	facts_t *f = facts_new();
	moves_t *m = moves_new(f, 1, &moves_ops, NULL);
	GPtrArray *results = g_ptr_array_new();
	char key[64];

	moves_set_intent(m, intent_of(1), 100000, results, 0, 1800000000);
	for (size_t i = 0; i < size; i++) {
		fact_name(key, sizeof(key), 2 + i);
		facts_raise(f, key, 5);
	}
	return m;
}

static void moves_run_request(void *state, size_t n)
{
	sample_t s = {
		.service = "helper",
		.route = "chat",
		.code = CODE_OK,
		.status = 200,
		.first_token = 100,
		.gap = 20,
		.tokens = 1000,
	};

	for (size_t i = 0; i < n; i++) {
		s.version = moves_pick(state, "helper", (ms_t)i);
		moves_add_sample(state, &s, (ms_t)i);
	}
}

static void moves_run_tick(void *state, size_t n)
{
	for (size_t i = 0; i < n; i++)
		moves_tick(state, (ms_t)(i * 1000));
}

static void claim_append(void *ctx, str_t data)
{
}

static void claim_settled(void *ctx, rid_t rid, code_t code, rid_t first)
{
}

static const claims_ops_t claims_ops = {
	.append = claim_append,
	.settled = claim_settled,
};

static void *claims_setup(size_t size)
{
	claims_t *c = claims_new(&claims_ops, NULL, 5, 3600000, 5000);

	claims_set_reachable(c, true, 0);
	claims_caught_up(c, 1, 0);
	for (size_t i = 0; i < size; i++) {
		char *rec = g_strdup_printf(
			"{\"claims\":[{\"k\":\"%064zx\",\"i\":\"9\","
			"\"s\":\"%zu\"}]}",
			i, i);

		claims_read_record(c, 1 + i, str_of(rec), 0);
		g_free(rec);
	}
	return c;
}

static void claims_run(void *state, size_t n)
{
	char key[32];

	for (size_t i = 0; i < n; i++) {
		g_snprintf(key, sizeof(key), "order-%zu", i);
		claims_add(state, (rid_t){ 1, i }, "school-1", key, 0);
	}
	claims_tick(state, 10);
}

const cost_case_t state_cases[] = {
	{ "facts-merge", "facts", facts_setup, facts_run_merge },
	{ "facts-since", "facts", facts_setup, facts_run_since },
	{ "intent-accept", "customers", intent_setup, intent_run },
	{ "customer-lookup", "customers", lookup_setup, lookup_run },
	{ "move-request", "entries", moves_setup, moves_run_request },
	{ "move-tick", "entries", moves_setup, moves_run_tick },
	{ "claim-add", "claims", claims_setup, claims_run },
	{ NULL, NULL, NULL, NULL },
};
