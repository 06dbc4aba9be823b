/*
 * An edge host's connections to relays and keepers, and the messages that don't
 * grow with the number of hosts: slots, and what a relay has read of the store.
 */
#include <string.h>
#include "peering_priv.h"
#include "wordfact.h"

enum {
	FRAME_MAX = 8 << 20,  /* bytes: a configuration */
	QUEUE_MAX = 16 << 20, /* bytes */
	RETRY_BASE_MS = 100,
	RETRY_MAX_MS = 3000,
	/*
	 * Between changes of connections: hosts that start together are listed
	 * one by one.
	 */
	CONNECT_PAUSE_MS = 300,
};

static const char role_keeper[] = "sidecar";

static void on_up(void *ctx, const msg_hello_t *who)
{
	peering_t *p = ctx;
	uint64_t *inc = g_memdup2(&who->inc, sizeof(who->inc));
	char *ip;

	if (!str_eq(who->role, str_of(role_keeper))) {
		g_hash_table_replace(p->names, inc, str_dup(who->name));
		g_hash_table_add(p->reported_to, g_memdup2(inc, sizeof(*inc)));
		p->next_report = 0;
		p->tell_evacuations = true;
		return;
	}
	ip = str_dup(who->name);
	*strrchr(ip, ':') = '\0';
	g_hash_table_replace(p->keepers, inc, ip);
	edge_keeper_state(p->edge, ip, who->inc);
}

static void on_down(void *ctx, uint64_t inc, bool silent)
{
	peering_t *p = ctx;
	const char *ip = g_hash_table_lookup(p->keepers, &inc);

	if (ip) {
		edge_keeper_state(p->edge, ip, 0);
		edge_quota_server_down(p->edge, QUOTA_BY_KEEPER, ip, inc,
				       silent ? PEER_SILENT_MS : 0,
				       clock_now());
	} else {
		p->ops->gone(p->ctx, inc);
		quotad_host_gone(p->quotas, inc, clock_now());
		peering_quota_down(p, inc, silent);
	}
	if (inc == p->analyst)
		p->analyst = 0;
	if (inc == p->heard_from)
		p->heard_version = 0;
	g_hash_table_remove(p->keepers, &inc);
	g_hash_table_remove(p->names, &inc);
	g_hash_table_remove(p->reported_to, &inc);
	g_hash_table_remove(p->cut_off, &inc);
}

/* A grant from before a pause of this process may be another host's by now. */
static void return_lapsed(peering_t *p, uint64_t inc, rid_t rid)
{
	msg_t back = { .type = MSG_NOT_RUN };

	p->lapsed->value++;
	edge_slot_lapsed(p->edge, inc, rid);
	back.u.not_run.rid = rid;
	back.u.not_run.code = CODE_GRANT_LAPSED;
	peers_send(p->peers, inc, &back);
}

static void take_grant(peering_t *p, uint64_t inc, rid_t rid)
{
	msg_t back = { .type = MSG_WITHDRAW };

	if (pause_watch_stale(&p->pauses, clock_boot())) {
		return_lapsed(p, inc, rid);
		return;
	}
	if (edge_slot_granted(p->edge, inc, rid, clock_now()))
		return;
	back.u.withdraw.rid = rid;
	peers_send(p->peers, inc, &back);
}

/* Takes what a keeper says of itself. */
static void take_keeper_facts(peering_t *p, uint64_t inc, const char *ip,
			      const msg_facts_t *f)
{
	for (size_t i = 0; i < f->n; i++) {
		if (str_eq(f->kv[i].key, str_of(QUOTAD_FACT)))
			edge_quota_server_up(p->edge, QUOTA_BY_KEEPER, ip, inc);
	}
}

static void on_keeper_recv(peering_t *p, uint64_t inc, const char *ip,
			   const msg_t *msg)
{
	if (msg->type == MSG_GRANT)
		take_grant(p, inc, msg->u.grant.rid);
	else if (msg->type == MSG_FACTS)
		take_keeper_facts(p, inc, ip, &msg->u.facts);
	else
		peering_quota_recv(p, inc, msg);
}

/* Relays read the store themselves. */
static void take_news(peering_t *p, const msg_relay_t *m)
{
	follow_news_t n = { .from = m->from,
			    .to = m->to,
			    .complete = m->complete == 1,
			    .records = m->records };

	if (!relays_self(p->relays))
		p->ops->news(p->ctx, m->topic, &n);
}

static void on_recv(void *ctx, uint64_t inc, const msg_t *msg)
{
	peering_t *p = ctx;
	const char *name = g_hash_table_lookup(p->names, &inc);
	const char *ip = g_hash_table_lookup(p->keepers, &inc);

	if (ip)
		on_keeper_recv(p, inc, ip, msg);
	if (!name)
		return;
	peering_quota_recv(p, inc, msg);
	quotad_recv(p->quotas, inc, msg);
	if (msg->type == MSG_RELAY)
		take_news(p, &msg->u.relay);
	else if (msg->type == MSG_FACTS)
		peering_take_facts(p, inc, name, &msg->u.facts);
	else if (msg->type == MSG_CONF_GET)
		peering_send_config(p, inc, msg->u.conf_get.newer_than);
	else if (msg->type == MSG_CONF)
		p->ops->config(p->ctx, msg->u.conf.text);
}

/* Makes the table of other hosts, without connections yet. */
peering_t *peering_new(uv_loop_t *loop, edge_t *edge,
		       const edge_settings_t *set, uint64_t inc,
		       const peering_ops_t *ops, void *ctx,
		       counters_t *counters)
{
	static const peers_ops_t peers_ops = { on_up, on_down, on_recv };
	peering_t *p = g_new0(peering_t, 1);
	peers_conf_t conf = { .role = ROLE_EDGE,
			      .name = set->name,
			      .data_center = set->data_center,
			      .inc = inc,
			      .key = { (char *)set->key, set->key_len },
			      .frame_max = FRAME_MAX,
			      .queue_max = QUEUE_MAX,
			      .heartbeat = PEER_HEARTBEAT_MS,
			      .silent = PEER_SILENT_MS,
			      .retry_base = RETRY_BASE_MS,
			      .retry_max = RETRY_MAX_MS,
			      .greetings_max = GREETINGS_MAX };

	p->edge = edge;
	p->set = set;
	p->inc = inc;
	p->ops = ops;
	p->ctx = ctx;
	p->names = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	p->keepers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	p->relays = relays_new(set->name);
	p->hosts_changed = true;
	p->quotas = quotad_new(set, peering_quota_send, p, counters);
	p->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->reaches_store = true;
	p->cut_off = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	p->reported_to = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL);
	pause_watch_init(&p->pauses, clock_boot());
	p->lapsed = counter_get(counters, "edge_grants_lapsed_total", NULL);
	p->kv = g_array_new(FALSE, FALSE, sizeof(fact_kv_t));
	p->keys = g_ptr_array_new_with_free_func(g_free);
	p->customers_omitted =
		counter_get(counters, "edge_customers_untold_total", NULL);
	p->peers = peers_new(loop, &conf, &peers_ops, p, counters);
	return p;
}

/* Listens for other hosts. CODE_UNREACHABLE: the address can't be bound. */
code_t peering_listen(peering_t *p)
{
	return peers_listen(p->peers, &p->set->peers);
}

/* Takes a host's record of the store. */
void peering_host(peering_t *p, str_t name, str_t value)
{
	char *who = str_dup(name);
	char *where = str_dup(value);
	addr_t at;

	if (strcmp(who, p->set->name) == 0) {
		g_free(who);
		g_free(where);
		return;
	}
	p->hosts_changed = true;
	if (value.n == 0) {
		edge_host_unlisted(p->edge, who);
		relays_remove(p->relays, who);
		g_hash_table_remove(p->addresses, who);
		peers_forget(p->peers, who);
	} else if (!addr_parse(where, &at)) {
		log_line(LOG_WARN, "host_bad", "host=%s address=\"%s\"", who,
			 where);
	} else {
		log_line(LOG_INFO, "host_listed", "host=%s address=%s", who,
			 where);
		edge_host_listed(p->edge, who);
		relays_add(p->relays, who);
		g_hash_table_replace(p->addresses, g_strdup(who),
				     g_memdup2(&at, sizeof(at)));
	}
	g_free(who);
	g_free(where);
}

/* Connects to the relays, and ends connections to hosts that are none now. */
static void connect_relays(peering_t *p, ms_t now)
{
	GHashTableIter it;
	gpointer name;
	gpointer at;

	if (!p->hosts_changed || now < p->next_connect)
		return;
	p->hosts_changed = false;
	p->next_connect = now + CONNECT_PAUSE_MS;
	g_hash_table_iter_init(&it, p->addresses);
	while (g_hash_table_iter_next(&it, &name, &at)) {
		if (relays_connects(p->relays, name))
			peers_connect(p->peers, name, at);
		else
			peers_disconnect(p->peers, name);
	}
	peering_name_quota_relays(p);
}

/* Whether this host reads the store for others. */
bool peering_is_relay(const peering_t *p)
{
	return relays_self(p->relays);
}

/* Whether there are hosts for which relays read the store. */
bool peering_has_followers(const peering_t *p)
{
	return relays_have_followers(p->relays);
}

/* Passes on what this host has read to the hosts that are no relays. */
void peering_relay(peering_t *p, const char *topic, const follow_news_t *n)
{
	msg_t m = { .type = MSG_RELAY };
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	m.u.relay.topic = str_of(topic);
	m.u.relay.from = n->from;
	m.u.relay.to = n->to;
	m.u.relay.complete = n->complete;
	m.u.relay.records = n->records;
	g_hash_table_iter_init(&it, p->names);
	while (g_hash_table_iter_next(&it, &inc, &name)) {
		if (!relays_is_relay(p->relays, name) &&
		    !g_hash_table_contains(p->reported_to, inc))
			peers_send(p->peers, *(uint64_t *)inc, &m);
	}
}

/*
 * Keeps a connection to the keeper on a server's host, or ends it: the server's
 * IP, our own peers port.
 */
void peering_keeper(peering_t *p, const addr_t *server, bool wanted)
{
	addr_t at = *server;
	char name[64];

	at.port = p->set->peers.port;
	addr_print(&at, name);
	if (wanted)
		peers_connect(p->peers, name, &at);
	else
		peers_disconnect(p->peers, name);
}

/*
 * Requests a slot from a server's keeper. A slot granted within target_ms still
 * meets the request's first-event target.
 */
void peering_request_slot(peering_t *p, const backend_t *b, const request_t *r,
			  ms_t target_ms, ms_t now)
{
	msg_t ask = { .type = MSG_SLOT_REQUEST };
	ms_t until = edge_waits_until(r);

	ask.u.slot_request.server = str_of(b->id);
	ask.u.slot_request.rid = r->rid;
	ask.u.slot_request.priority = r->priority;
	ask.u.slot_request.slots = b->slots;
	ask.u.slot_request.target_ms = (uint64_t)target_ms;
	ask.u.slot_request.deadline_ms = (uint64_t)MAX(until - now, 0);
	peers_send(p->peers, b->keeper, &ask);
}

/* Gives a slot back, or withdraws the request for it. */
void peering_release_slot(peering_t *p, uint64_t keeper, const request_t *r,
			  slot_end_t how)
{
	msg_t back = { .type = MSG_WITHDRAW };

	back.u.withdraw.rid = r->rid;
	if (how != SLOT_ENDED) {
		back.type = MSG_NOT_RUN;
		back.u.not_run.rid = r->rid;
		back.u.not_run.code =
			how == SLOT_UNREACHED ? CODE_NOT_SENT : CODE_PATH_LOST;
	}
	peers_send(p->peers, keeper, &back);
}

static void tell_host(peering_t *p, uint64_t to, const word_fact_t *f)
{
	if (f->kind == WORD_LEAVING)
		word_fact_leaving(p->peers, to, f->server, f->started_unix);
	else
		word_fact_limit(p->peers, to, f->server, &f->limit);
}

/* Tells the other hosts of a server's word, the relays too if relays is set. */
static void tell_hosts(peering_t *p, const word_fact_t *f, bool relays)
{
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	g_hash_table_iter_init(&it, p->names);
	while (g_hash_table_iter_next(&it, &inc, &name)) {
		if (relays || !relays_is_relay(p->relays, name))
			tell_host(p, *(uint64_t *)inc, f);
	}
}

/* Tells a server's keeper of its limit, and the other hosts if hosts is set. */
void peering_tell_limit(peering_t *p, const backend_t *b, bool hosts)
{
	word_fact_t f = { .kind = WORD_LIMIT,
			  .server = b->id,
			  .limit = b->limit };

	if (b->keeper)
		tell_host(p, b->keeper, &f);
	if (hosts)
		tell_hosts(p, &f, true);
}

/*
 * Tells a server's keeper what the server takes while it is cold, and if
 * cold_left is above 0 that it is cold for so many ms.
 */
void peering_tell_warmup(peering_t *p, const backend_t *b,
			 const warmup_conf_t *c, ms_t cold_left)
{
	word_fact_warmup(p->peers, b->keeper, b->id, c);
	if (cold_left > 0)
		word_fact_cold(p->peers, b->keeper, b->id, cold_left);
}

/* Tells the other hosts that a server says that it leaves. */
void peering_tell_leaving(peering_t *p, const backend_t *b)
{
	word_fact_t f = { .kind = WORD_LEAVING,
			  .server = b->id,
			  .started_unix = b->started_unix };

	tell_hosts(p, &f, true);
}

/*
 * Takes a server's word that a host has read. A host that is no relay has told
 * all relays, and they tell the others.
 */
void peering_take_word(peering_t *p, const char *from, const fact_kv_t *kv)
{
	word_fact_t f = word_fact_read(kv);

	if (f.kind == WORD_LEAVING)
		edge_host_leaving(p->edge, f.server, f.started_unix,
				  clock_now());
	else if (f.kind == WORD_LIMIT)
		edge_host_limit(p->edge, f.server, &f.limit, clock_now());
	if ((f.kind == WORD_LEAVING || f.kind == WORD_LIMIT) &&
	    relays_self(p->relays) && !relays_is_relay(p->relays, from))
		tell_hosts(p, &f, false);
	g_free(f.server);
}

/* Keeps up connections and sends what is due. */
void peering_tick(peering_t *p, ms_t now)
{
	ms_t last = p->pauses.seen;
	bool paused = pause_watch_stale(&p->pauses, clock_boot());

	if (paused && !p->paused)
		log_line(LOG_WARN, "paused", "tick_gap_ms=%lld",
			 (long long)(p->pauses.seen - last));
	p->paused = paused;
	connect_relays(p, now);
	peering_request_config(p, now);
	peering_report(p, now);
}

/* Closes all connections; the loop must run before peering_free. */
void peering_close(peering_t *p)
{
	peers_close(p->peers, NULL, NULL);
}

/* Frees the table. */
void peering_free(peering_t *p)
{
	g_hash_table_destroy(p->names);
	g_hash_table_destroy(p->keepers);
	g_hash_table_destroy(p->reported_to);
	g_hash_table_destroy(p->cut_off);
	g_hash_table_destroy(p->addresses);
	relays_free(p->relays);
	quotad_free(p->quotas);
	g_array_free(p->kv, TRUE);
	g_ptr_array_free(p->keys, TRUE);
	g_free(p);
}
