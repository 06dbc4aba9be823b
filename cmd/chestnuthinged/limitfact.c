/*
 * Facts limit/SERVER: thousandths of a request a second and one more; 0: the
 * server has no limit. A later one replaces it. Earlier releases ignore them.
 */
#include <string.h>
#include "limitfact.h"

static const char prefix[] = "limit/";

/* Tells a peer of a server's limit, or that it has none. */
void limit_fact_send(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l)
{
	char *key = g_strconcat(prefix, server, NULL);
	fact_kv_t kv = { str_of(key), l->set ? l->rate + 1 : 0 };
	msg_t m = { .type = MSG_FACTS, .u.facts = { 1, &kv } };

	peers_send(peers, to, &m);
	g_free(key);
}

/*
 * Returns the server that a fact is about, to be freed, and its limit; NULL
 * when it is another fact.
 */
char *limit_fact_read(const fact_kv_t *kv, server_limit_t *l)
{
	size_t n = strlen(prefix);

	if (kv->key.n <= n || memcmp(kv->key.p, prefix, n) != 0)
		return NULL;
	l->set = kv->value > 0;
	l->rate = l->set ? kv->value - 1 : 0;
	return str_dup((str_t){ kv->key.p + n, kv->key.n - n });
}
