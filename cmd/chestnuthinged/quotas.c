/* Customers' quotas: messages to and from quota servers. Relays may be some. */
#include "peering_priv.h"

enum {
	QUOTA_RETRY_MAX_MS = 10000, /* of what a quota server may ask for */
};

/* The connection to a host, which may have been a quota server, is down. */
void peering_quota_down(peering_t *p, uint64_t inc, bool silent)
{
	const char *name = g_hash_table_lookup(p->names, &inc);

	if (name)
		edge_quota_server_down(p->edge, QUOTA_BY_RELAY, name, inc,
				       silent ? PEER_SILENT_MS : 0,
				       clock_now());
}

static void take_quota_answer(peering_t *p, uint64_t inc,
			      const msg_quota_answer_t *m)
{
	quota_answer_t a = { .granted = m->granted == 1,
			     .retry_after = (ms_t)MIN(m->retry_ms,
						      QUOTA_RETRY_MAX_MS) };

	edge_quota_answer(p->edge, inc, m->rid, &a, clock_now());
}

static void take_quota_left(peering_t *p, uint64_t inc, str_t customer)
{
	char *name = str_dup(customer);

	edge_quota_left(p->edge, inc, name);
	g_free(name);
}

/* Takes what a quota server answers. */
void peering_quota_recv(peering_t *p, uint64_t inc, const msg_t *msg)
{
	if (msg->type == MSG_QUOTA_ANSWER)
		take_quota_answer(p, inc, &msg->u.quota_answer);
	else if (msg->type == MSG_QUOTA_LEFT)
		take_quota_left(p, inc, msg->u.quota_left.customer);
}

/* Answers a host's request to this quota server; this host's own included. */
void peering_quota_send(void *ctx, uint64_t host, const msg_t *m)
{
	peering_t *p = ctx;

	if (host == p->inc)
		peering_quota_recv(p, host, m);
	else
		peers_send(p->peers, host, m);
}

/* Sends to a quota server, which this process may be. */
static void to_quota_server(peering_t *p, uint64_t server, const msg_t *m)
{
	if (server == p->inc)
		quotad_recv(p->quotas, server, m);
	else
		peers_send(p->peers, server, m);
}

static void name_quota_relay(peering_t *p, const char *name, uint64_t inc)
{
	if (relays_is_relay(p->relays, name))
		edge_quota_server_up(p->edge, QUOTA_BY_RELAY, name, inc);
	else
		edge_quota_server_retire(p->edge, QUOTA_BY_RELAY, name);
}

/* Relays that are up, this host too, keep quotas where no keeper does. */
void peering_name_quota_relays(peering_t *p)
{
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	name_quota_relay(p, p->set->name, p->inc);
	g_hash_table_iter_init(&it, p->names);
	while (g_hash_table_iter_next(&it, &inc, &name)) {
		if (!g_hash_table_contains(p->reported_to, inc))
			name_quota_relay(p, name, *(uint64_t *)inc);
	}
}

static uint64_t thousandths(double amount)
{
	return (uint64_t)(amount * QUOTAD_UNITS);
}

/* Tells a quota server that this host uses it for a customer. */
void peering_quota_join(peering_t *p, uint64_t server, const quota_join_t *j)
{
	msg_t m = { .type = MSG_QUOTA_JOIN };

	m.u.quota_join.customer = str_of(j->customer);
	m.u.quota_join.version = j->version;
	m.u.quota_join.rate = thousandths(j->limit.rate);
	m.u.quota_join.burst = thousandths(j->limit.burst);
	m.u.quota_join.hosts = j->hosts;
	to_quota_server(p, server, &m);
}

/* Tells a quota server that this host no longer uses it for a customer. */
void peering_quota_leave(peering_t *p, uint64_t server, const char *customer)
{
	msg_t m = { .type = MSG_QUOTA_LEAVE };

	m.u.quota_leave.customer = str_of(customer);
	to_quota_server(p, server, &m);
}

/* Asks a quota server for a request. */
void peering_quota_take(peering_t *p, uint64_t server, const request_t *r)
{
	msg_t m = { .type = MSG_QUOTA_TAKE };

	m.u.quota_take.rid = r->rid;
	m.u.quota_take.priority = r->priority;
	m.u.quota_take.cost = thousandths(r->cost);
	m.u.quota_take.customer = str_of(r->customer->name);
	to_quota_server(p, server, &m);
}

/* Applies new settings. */
void peering_reconf(peering_t *p)
{
	quotad_set_bounds(p->quotas, p->set);
}
