/*
 * Facts limit/SERVER: thousandths of a request a second and one more; 0: the
 * server has no limit. A later one replaces it. Facts leaving/SERVER: the start
 * of the life that leaves, in Unix ms. Earlier releases ignore both.
 */
#include <string.h>
#include "wordfact.h"

static const char limit_prefix[] = "limit/";
static const char leaving_prefix[] = "leaving/";

static void send_fact(peers_t *peers, uint64_t to, const char *prefix,
		      const char *server, uint64_t value)
{
	char *key = g_strconcat(prefix, server, NULL);
	fact_kv_t kv = { str_of(key), value };
	msg_t m = { .type = MSG_FACTS, .u.facts = { 1, &kv } };

	peers_send(peers, to, &m);
	g_free(key);
}

/* Tells a peer of a server's limit, or that it has none. */
void word_fact_limit(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l)
{
	send_fact(peers, to, limit_prefix, server, l->set ? l->rate + 1 : 0);
}

/* Tells a peer that a life of a server leaves. */
void word_fact_leaving(peers_t *peers, uint64_t to, const char *server,
		       int64_t started_unix)
{
	send_fact(peers, to, leaving_prefix, server, (uint64_t)started_unix);
}

/* Returns what follows the prefix, or NULL. */
static char *after(str_t key, const char *prefix)
{
	size_t n = strlen(prefix);

	if (key.n <= n || memcmp(key.p, prefix, n) != 0)
		return NULL;
	return str_dup((str_t){ key.p + n, key.n - n });
}

/* Reads a fact; its server is NULL when it is about something else. */
word_fact_t word_fact_read(const fact_kv_t *kv)
{
	word_fact_t f = { .server = after(kv->key, limit_prefix) };

	if (f.server) {
		f.limit.set = kv->value > 0;
		f.limit.rate = f.limit.set ? kv->value - 1 : 0;
		return f;
	}
	f.server = after(kv->key, leaving_prefix);
	f.leaving = f.server != NULL;
	f.started_unix = (int64_t)kv->value;
	return f;
}
