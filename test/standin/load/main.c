/* A bounded number of callers' requests, the same for the same seed. */
#include <stdlib.h>
#include <string.h>
#include "fns.h"

enum {
	CALL_TIMEOUT_MS = 60000, /* without a byte: the call has failed */
	PROMPT_MIN_BYTES = 16,
};

/* Draws a kind by the shares. */
static kind_t draw_kind(load_t *l)
{
	int sum = 0;
	for (int i = 0; i < KIND_COUNT; i++)
		sum += l->shares[i];
	int at = g_rand_int_range(l->rand, 0, sum);
	int k = 0;
	while (k < KIND_ORDER && at >= l->shares[k])
		at -= l->shares[k++];
	return (kind_t)k;
}

/* Writes a model request. */
static char *model_body(load_t *l, const request_t *q)
{
	int tokens = g_rand_int_range(l->rand, l->conf.tokens_min,
				      l->conf.tokens_max + 1);
	int bytes = g_rand_int_range(l->rand, PROMPT_MIN_BYTES,
				     l->conf.prompt_max + 1);
	char *prompt = g_strnfill((gsize)bytes, (gchar)('a' + q->n % 26));
	char *body = g_strdup_printf(
		"{\"model\":\"helper\",\"user\":\"%s\",\"max_tokens\":%d,"
		"\"stream\":%s,\"messages\":[{\"role\":\"user\","
		"\"content\":\"%s\"}]}",
		q->marker, tokens, q->kind == KIND_STREAM ? "true" : "false",
		prompt);
	g_free(prompt);
	return body;
}

/* Makes the next request. */
static request_t *request_new(load_t *l)
{
	request_t *q = g_new0(request_t, 1);
	guint who =
		(guint)g_rand_int_range(l->rand, 0, (gint)l->customers->len);
	q->load = l;
	q->n = l->started++;
	q->kind = draw_kind(l);
	q->port =
		g_array_index(l->ports, uint16_t, (guint)q->n % l->ports->len);
	q->caller = &g_array_index(l->customers, caller_t, who);
	q->tier = q->caller->tier;
	q->marker = g_strdup_printf("r%d-%d", l->conf.seed, q->n);
	q->answer = g_string_new(NULL);
	if (q->kind == KIND_ORDER)
		q->key = g_strdup_printf("key-%s", q->marker);
	if (q->kind == KIND_STREAM || q->kind == KIND_WHOLE)
		q->body = model_body(l, q);
	else
		q->body = g_strdup_printf("{\"order\":\"%s\"}", q->marker);
	return q;
}

/* Makes the same order again, for the next entry. */
static request_t *request_again(load_t *l, const request_t *q)
{
	request_t *again = g_new0(request_t, 1);
	*again = *q;
	again->port = g_array_index(l->ports, uint16_t,
				    (guint)(q->n + 1) % l->ports->len);
	again->marker = g_strdup(q->marker);
	again->key = g_strdup(q->key);
	again->body = g_strdup(q->body);
	again->answer = g_string_new(NULL);
	return again;
}

/* Starts requests until enough are running; ends after the last. */
void load_next(load_t *l)
{
	while (l->running < l->conf.concurrency && l->started < l->conf.count) {
		request_t *q = request_new(l);
		l->running++;
		if (l->conf.twice && q->kind == KIND_ORDER) {
			l->running++;
			call_start(request_again(l, q));
		}
		call_start(q);
	}
	if (l->running == 0)
		uv_stop(&l->loop);
}

/* Reads the options; exits on a wrong one. */
static void parse_options(load_conf_t *c, int argc, char **argv)
{
	GOptionEntry options[] = {
		{ "entries", 0, 0, G_OPTION_ARG_STRING, &c->entries,
		  "Ports of the entries", "P,P" },
		{ "customers", 0, 0, G_OPTION_ARG_STRING, &c->customers,
		  "Customers and their tiers", "NAME:TIER,..." },
		{ "kinds", 0, 0, G_OPTION_ARG_STRING, &c->kinds,
		  "Shares of streamed, whole, check, order", "N,N,N,N" },
		{ "log", 0, 0, G_OPTION_ARG_STRING, &c->log, "Output", "FILE" },
		{ "count", 0, 0, G_OPTION_ARG_INT, &c->count, "Requests", "N" },
		{ "concurrency", 0, 0, G_OPTION_ARG_INT, &c->concurrency,
		  "Requests at the same time", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &c->seed, "Seed", "N" },
		{ "tokens-min", 0, 0, G_OPTION_ARG_INT, &c->tokens_min,
		  "Least output tokens", "N" },
		{ "tokens-max", 0, 0, G_OPTION_ARG_INT, &c->tokens_max,
		  "Most output tokens", "N" },
		{ "prompt-max", 0, 0, G_OPTION_ARG_INT, &c->prompt_max,
		  "Longest prompt", "BYTES" },
		{ "deadline", 0, 0, G_OPTION_ARG_INT, &c->deadline_ms,
		  "Deadline of each request", "MS" },
		{ "pause", 0, 0, G_OPTION_ARG_INT, &c->pause_ms,
		  "Pause of a caller that was refused", "MS" },
		{ "twice", 0, 0, G_OPTION_ARG_NONE, &c->twice,
		  "Send each order to two entries at once", NULL },
		{ 0 },
	};
	GError *err = NULL;
	GOptionContext *ctx = g_option_context_new(NULL);
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err) ||
	    c->entries == NULL) {
		fprintf(stderr, "%s\n",
			err != NULL ? err->message : "--entries is needed");
		exit(2);
	}
	g_option_context_free(ctx);
}

/* Reads the lists among the options. */
static void parse_lists(load_t *l)
{
	l->ports = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	l->customers = g_array_new(FALSE, FALSE, sizeof(caller_t));
	char **ports = g_strsplit(l->conf.entries, ",", -1);
	char **customers = g_strsplit(l->conf.customers, ",", -1);
	char **shares = g_strsplit(l->conf.kinds, ",", KIND_COUNT);
	for (char **p = ports; *p != NULL; p++) {
		uint16_t port = (uint16_t)strtol(*p, NULL, 10);
		g_array_append_val(l->ports, port);
	}
	for (char **p = customers; *p != NULL; p++) {
		char **pair = g_strsplit(*p, ":", 2);
		caller_t c = { g_strdup(pair[0]), 0 };
		if (pair[1] != NULL)
			c.tier = (int)strtol(pair[1], NULL, 10);
		g_array_append_val(l->customers, c);
		g_strfreev(pair);
	}
	for (int i = 0; i < KIND_COUNT && shares[i] != NULL; i++)
		l->shares[i] = (int)strtol(shares[i], NULL, 10);
	g_strfreev(ports);
	g_strfreev(customers);
	g_strfreev(shares);
}

/* Runs all requests; exits 0 once each has its line. */
int main(int argc, char **argv)
{
	static load_t l;
	l.conf = (load_conf_t){
		.customers = "school-1:0,school-2:1,batch-1:3",
		.kinds = "1,1,1,1",
		.count = 100,
		.concurrency = 10,
		.seed = 1,
		.tokens_min = 2,
		.tokens_max = 20,
		.prompt_max = 400,
	};
	parse_options(&l.conf, argc, argv);
	parse_lists(&l);
	l.log = l.conf.log != NULL ? fopen(l.conf.log, "ae") : stdout;
	if (l.log == NULL) {
		perror(l.conf.log);
		return 2;
	}
	l.rand = g_rand_new_with_seed((guint32)l.conf.seed);
	uv_loop_init(&l.loop);
	h2o_timeout_init(&l.loop, &l.timeout, CALL_TIMEOUT_MS);
	l.ctx.loop = &l.loop;
	l.ctx.io_timeout = &l.timeout;
	load_next(&l);
	uv_run(&l.loop, UV_RUN_DEFAULT);
	(void)fflush(NULL);
	_Exit(0);
}
