/* Exchanges facts and configurations with peers over their connections. */
#include <string.h>
#include "fns.h"

enum {
	KV_PER_MESSAGE = 1024,
	REQUEST_INTERVAL = 1000, /* ms, for a newer configuration */
};

static const char leaving_prefix[] = "leave/";

/* A connected peer and the facts it was sent. */
typedef struct gossip_peer {
	uint64_t inc;
	uint64_t seq; /* of the last change sent */
} gossip_peer_t;

struct gossip {
	daemon_t *d;
	GHashTable *peers; /* gossip_peer_t by inc */
	ms_t next_send;
	ms_t next_request;
	fact_kv_t *kv;
};

/* Makes the exchange; no peer is up yet. */
gossip_t *gossip_new(daemon_t *d)
{
	gossip_t *g = g_new0(gossip_t, 1);

	g->d = d;
	g->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g->kv = g_new0(fact_kv_t, KV_PER_MESSAGE);
	return g;
}

/* Frees the exchange. */
void gossip_free(gossip_t *g)
{
	g_hash_table_destroy(g->peers);
	g_free(g->kv);
	g_free(g);
}

/* Sends a peer all facts that changed since it was last sent some. */
static void send_facts(gossip_t *g, gossip_peer_t *p)
{
	const facts_t *facts = state_facts(g->d->state);
	msg_t m = { .type = MSG_FACTS };
	uint64_t next;

	m.u.facts.kv = g->kv;
	do {
		m.u.facts.n = facts_since(facts, p->seq, g->kv, KV_PER_MESSAGE,
					  &next);
		if (m.u.facts.n == 0)
			return;
		p->seq = next;
		peers_send(g->d->peers, p->inc, &m);
	} while (m.u.facts.n == KV_PER_MESSAGE);
}

/* A peer is connected: sends it all facts at once. */
void gossip_up(gossip_t *g, uint64_t inc)
{
	gossip_peer_t *p = g_new0(gossip_peer_t, 1);

	p->inc = inc;
	g_hash_table_insert(g->peers, &p->inc, p);
	send_facts(g, p);
}

/* The connection to a peer is down. */
void gossip_down(gossip_t *g, uint64_t inc)
{
	g_hash_table_remove(g->peers, &inc);
}

static void take_facts(gossip_t *g, const msg_facts_t *m)
{
	facts_t *facts = state_facts(g->d->state);
	bool leaving = false;

	for (size_t i = 0; i < m->n; i++) {
		str_t key = m->kv[i].key;
		size_t n = strlen(leaving_prefix);

		if (!facts_merge(facts, key, m->kv[i].value))
			continue;
		leaving |= key.n > n && memcmp(key.p, leaving_prefix, n) == 0;
	}
	if (leaving && g->d->entry)
		entryd_check_leaving(g->d->entry, clock_now());
}

static void send_config(gossip_t *g, uint64_t inc, uint64_t newer_than)
{
	msg_t m = { .type = MSG_CONF };

	m.u.conf.offset = state_offset(g->d->state);
	m.u.conf.text = str_of(state_text(g->d->state));
	if (m.u.conf.offset > newer_than)
		peers_send(g->d->peers, inc, &m);
}

static void take_config(gossip_t *g, const msg_conf_t *m)
{
	code_t code =
		ledger_from_peer(state_ledger(g->d->state), m->offset, m->text);

	if (code != CODE_OK)
		log_line(LOG_WARN, "peer-config",
			 "offset=%" G_GUINT64_FORMAT " code=%s", m->offset,
			 code_name(code));
}

/* Takes a message; false when it is not one of facts or configurations. */
bool gossip_recv(gossip_t *g, uint64_t inc, const msg_t *m)
{
	switch (m->type) {
	case MSG_FACTS:
		take_facts(g, &m->u.facts);
		return true;
	case MSG_CONF_GET:
		send_config(g, inc, m->u.conf_get.newer_than);
		return true;
	case MSG_CONF:
		take_config(g, &m->u.conf);
		return true;
	default:
		return false;
	}
}

/* While a newer configuration is known to exist, requests it from all peers. */
static void request_config(gossip_t *g, ms_t now)
{
	uint64_t have = state_offset(g->d->state);
	msg_t m = { .type = MSG_CONF_GET };
	GHashTableIter it;
	gpointer value;

	if (facts_get(state_facts(g->d->state), CONFIG_FACT) <= have ||
	    now < g->next_request)
		return;
	g->next_request = now + REQUEST_INTERVAL;
	m.u.conf_get.newer_than = have;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		peers_send(g->d->peers, ((gossip_peer_t *)value)->inc, &m);
}

/* Sends changed facts at each heartbeat. */
void gossip_tick(gossip_t *g, ms_t now)
{
	request_config(g, now);
	if (now < g->next_send)
		return;
	g->next_send = now + g->d->set->heartbeat;
	gossip_flush(g);
}

/* Sends changed facts at once. */
void gossip_flush(gossip_t *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		send_facts(g, value);
}

/* Reports to all peers that this process takes no new work. */
void gossip_send_leaving(gossip_t *g)
{
	char *key = leaving_key(g->d->set->name, g->d->inc);

	facts_raise(state_facts(g->d->state), key, 1);
	g_free(key);
	gossip_flush(g);
}

/* Returns the key of the fact that a process is leaving, freed with g_free. */
char *leaving_key(const char *name, uint64_t inc)
{
	return g_strdup_printf("%s%s/%" G_GINT64_MODIFIER "x", leaving_prefix,
			       name, inc);
}
