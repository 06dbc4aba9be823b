/*
 * Configurations on their way into force. One of thousands of routes takes a
 * small host hundreds of ms to decode, so a thread does it, and the loop goes
 * on with the one in force.
 */
#include <inttypes.h>
#include <string.h>
#include "edged_priv.h"
#include "net/fns.h"

/* The text of a configuration and where it comes from. */
typedef struct config_text {
	char *key; /* of its record */
	char *text;
	size_t n;
	const char *from;
	ms_t taken; /* when it came */
} config_text_t;

/* What it decodes to. */
typedef struct decoded {
	desired_t *desired; /* NULL: it is malformed */
	const char *why;    /* what was expected */
} decoded_t;

struct configs {
	edged_t *d;
	worker_t *worker;  /* NULL: closed */
	GString *in_force; /* text of the one in force; empty: none */
};

static void text_free(void *p)
{
	config_text_t *c = p;

	g_free(c->key);
	g_free(c->text);
	g_free(c);
}

static void decoded_free(void *p)
{
	decoded_t *out = p;

	desired_unref(out->desired);
	g_free(out);
}

static void *decode(void *input)
{
	const config_text_t *c = input;
	decoded_t *out = g_new0(decoded_t, 1);

	if (adapter_parse_config((str_t){ c->text, c->n }, &out->desired,
				 &out->why))
		out->desired = NULL;
	return out;
}

static void put_in_force(configs_t *cs, const config_text_t *c, desired_t *new)
{
	ms_t begun = clock_now();

	if (!edge_configure(cs->d->edge, new))
		return;
	g_string_truncate(cs->in_force, 0);
	g_string_append_len(cs->in_force, c->text, (gssize)c->n);
	log_line(LOG_INFO, "config_in_force",
		 "version=%" PRIu64 " from=%s routes=%u idle_timeout_ms=%lld "
		 "decoded_ms=%lld took_ms=%lld",
		 new->version, c->from, new->routes->len,
		 (long long)new->limits.idle_timeout,
		 (long long)(begun - c->taken),
		 (long long)(clock_now() - begun));
}

static void on_decoded(void *ctx, const void *input, void *output)
{
	configs_t *cs = ctx;
	const config_text_t *c = input;
	decoded_t *out = output;

	if (out->desired)
		put_in_force(cs, c, g_steal_pointer(&out->desired));
	else
		topics_reject(cs->d, str_of(c->key), out->why);
	decoded_free(out);
}

static const worker_ops_t worker_ops = { decode, on_decoded, text_free,
					 decoded_free };

configs_t *configs_new(uv_loop_t *loop, edged_t *d)
{
	configs_t *cs = g_new0(configs_t, 1);

	cs->d = d;
	cs->worker = worker_new(loop, &worker_ops, cs);
	cs->in_force = g_string_new(NULL);
	return cs;
}

/*
 * Takes the text of a configuration, which is in force some time later if it is
 * newer than the one in force then.
 */
void configs_put(configs_t *cs, str_t key, str_t text, const char *from)
{
	config_text_t *c;

	if (!cs->worker || str_eq(text, configs_text(cs)))
		return;
	c = g_new0(config_text_t, 1);
	c->key = str_dup(key);
	c->text = g_memdup2(text.p, text.n);
	c->n = text.n;
	c->from = from;
	c->taken = clock_now();
	worker_put(cs->worker, c);
}

/* Returns the text of the configuration in force; empty: none. */
str_t configs_text(const configs_t *cs)
{
	return (str_t){ cs->in_force->str, cs->in_force->len };
}

/* Whether a configuration is being decoded or waits for that. */
bool configs_decoding(const configs_t *cs)
{
	return cs->worker && worker_busy(cs->worker);
}

/* Stops. A decoding in progress ends with the loop; nothing comes of it. */
void configs_close(configs_t *cs)
{
	worker_close(cs->worker);
	cs->worker = NULL;
}

void configs_free(configs_t *cs)
{
	g_string_free(cs->in_force, TRUE);
	g_free(cs);
}
