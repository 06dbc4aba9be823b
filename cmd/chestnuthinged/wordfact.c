/*
 * Facts about servers, as PREFIX/SERVER with a number. Earlier releases ignore
 * those that they don't know.
 *
 * limit: thousandths of a request a second and one more; 0: the server has no
 * limit. A later one replaces it. leaving: the start of the life that leaves,
 * in Unix ms. warmup: thousandths of a request a second that the server takes
 * while it is cold, times 2^20, and the ms that it is cold after a start; of
 * 0: any. cold: the ms that it is cold from now on at least.
 */
#include <string.h>
#include "wordfact.h"

enum {
	TIME_BITS = 20,
	RATE_MAX = 1000000, /* requests a second; more is no bound */
};

static const char *const prefixes[] = {
	[WORD_LIMIT] = "limit/",
	[WORD_LEAVING] = "leaving/",
	[WORD_WARMUP] = "warmup/",
	[WORD_COLD] = "cold/",
};

static void send_fact(peers_t *peers, uint64_t to, word_kind_t kind,
		      const char *server, uint64_t value)
{
	char *key = g_strconcat(prefixes[kind], server, NULL);
	fact_kv_t kv = { str_of(key), value };
	msg_t m = { .type = MSG_FACTS, .u.facts = { 1, &kv } };

	peers_send(peers, to, &m);
	g_free(key);
}

/* Tells a peer of a server's limit, or that it has none. */
void word_fact_limit(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l)
{
	send_fact(peers, to, WORD_LIMIT, server, l->set ? l->rate + 1 : 0);
}

/* Tells a peer that a life of a server leaves. */
void word_fact_leaving(peers_t *peers, uint64_t to, const char *server,
		       int64_t started_unix)
{
	send_fact(peers, to, WORD_LEAVING, server, (uint64_t)started_unix);
}

/* Tells a keeper what a server takes while it is cold. */
void word_fact_warmup(peers_t *peers, uint64_t to, const char *server,
		      const warmup_conf_t *c)
{
	uint64_t rate = (uint64_t)(MIN(c->rate, RATE_MAX) * MS_PER_S + 0.5);
	uint64_t time = (uint64_t)MIN(c->time, (1 << TIME_BITS) - 1);

	send_fact(peers, to, WORD_WARMUP, server, rate << TIME_BITS | time);
}

/* Tells a keeper that a server is cold for at least left ms. */
void word_fact_cold(peers_t *peers, uint64_t to, const char *server, ms_t left)
{
	send_fact(peers, to, WORD_COLD, server, (uint64_t)left);
}

/* Returns what follows the prefix, or NULL. */
static char *after(str_t key, const char *prefix)
{
	size_t n = strlen(prefix);

	if (key.n <= n || memcmp(key.p, prefix, n) != 0)
		return NULL;
	return str_dup((str_t){ key.p + n, key.n - n });
}

static void read_value(word_fact_t *f, uint64_t value)
{
	uint64_t time_max = (UINT64_C(1) << TIME_BITS) - 1;

	switch (f->kind) {
	case WORD_LIMIT:
		f->limit.set = value > 0;
		f->limit.rate = f->limit.set ? value - 1 : 0;
		break;
	case WORD_LEAVING:
		f->started_unix = (int64_t)value;
		break;
	case WORD_WARMUP:
		f->warmup.rate = (double)(value >> TIME_BITS) / MS_PER_S;
		f->warmup.time = (ms_t)(value & time_max);
		break;
	case WORD_COLD:
		f->cold_left = (ms_t)MIN(value, time_max);
		break;
	case WORD_NONE:
		break;
	}
}

/*
 * Reads a fact. It is of WORD_NONE, without a server, when it is about
 * something else.
 */
word_fact_t word_fact_read(const fact_kv_t *kv)
{
	word_fact_t f = { .kind = WORD_NONE };

	for (guint i = WORD_LIMIT; i < G_N_ELEMENTS(prefixes); i++) {
		f.server = after(kv->key, prefixes[i]);
		if (!f.server)
			continue;
		f.kind = (word_kind_t)i;
		read_value(&f, kv->value);
		break;
	}
	return f;
}
