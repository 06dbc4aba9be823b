/* Messages to a quota server, in a keeper or in a relay. */
#include "net/fns.h"
#include "quota/fns.h"
#include "quotad.h"

struct quotad {
	quota_server_t *server;
	void (*send)(void *ctx, uint64_t host, const msg_t *m);
	void *ctx;
};

static quota_bounds_t bounds_of(const edge_settings_t *set)
{
	return (quota_bounds_t){ .tolerance = set->quota_tolerance,
				 .slack = set->quota_slack,
				 .window = set->quota_window };
}

/* Makes a quota server. send passes a message to a host that it knows. */
quotad_t *quotad_new(const edge_settings_t *set,
		     void (*send)(void *ctx, uint64_t host, const msg_t *m),
		     void *ctx, counters_t *counters)
{
	quotad_t *d = g_new0(quotad_t, 1);
	quota_bounds_t bounds = bounds_of(set);

	d->server = quota_server_new(&bounds, counters, clock_now());
	d->send = send;
	d->ctx = ctx;
	return d;
}

/* Frees the server. */
void quotad_free(quotad_t *d)
{
	quota_server_free(d->server);
	g_free(d);
}

/* Puts changed settings in force. */
void quotad_set_bounds(quotad_t *d, const edge_settings_t *set)
{
	quota_bounds_t bounds = bounds_of(set);

	quota_server_set_bounds(d->server, &bounds);
}

static void take_join(quotad_t *d, uint64_t host, const msg_quota_join_t *m)
{
	char *customer = str_dup(m->customer);
	quota_join_t j = { .customer = customer,
			   .version = m->version,
			   .limit = { (double)m->rate / QUOTAD_UNITS,
				      (double)m->burst / QUOTAD_UNITS },
			   .hosts = (unsigned int)MIN(m->hosts, UINT_MAX) };

	quota_server_join(d->server, host, &j, clock_now());
	g_free(customer);
}

static void take_leave(quotad_t *d, uint64_t host, str_t customer)
{
	char *name = str_dup(customer);
	msg_t left = { .type = MSG_QUOTA_LEFT };

	left.u.quota_left.customer = str_of(name);
	quota_server_leave(d->server, host, name, clock_now());
	d->send(d->ctx, host, &left);
	g_free(name);
}

static void take_take(quotad_t *d, uint64_t host, const msg_quota_take_t *m)
{
	char *customer = str_dup(m->customer);
	unsigned int priority = (unsigned int)MIN(m->priority, PRIORITIES);
	quota_answer_t a = quota_server_take(d->server, host, customer,
					     (double)m->cost / QUOTAD_UNITS,
					     priority, clock_now());
	msg_t answer = { .type = MSG_QUOTA_ANSWER };

	answer.u.quota_answer.rid = m->rid;
	answer.u.quota_answer.granted = a.granted;
	answer.u.quota_answer.retry_ms = (uint64_t)a.retry_after;
	d->send(d->ctx, host, &answer);
	g_free(customer);
}

/* Takes a host's message; those of other types are ignored. */
void quotad_recv(quotad_t *d, uint64_t host, const msg_t *m)
{
	if (m->type == MSG_QUOTA_TAKE)
		take_take(d, host, &m->u.quota_take);
	else if (m->type == MSG_QUOTA_JOIN)
		take_join(d, host, &m->u.quota_join);
	else if (m->type == MSG_QUOTA_LEAVE)
		take_leave(d, host, m->u.quota_leave.customer);
}

/* The connection to a host is down. */
void quotad_host_gone(quotad_t *d, uint64_t host, ms_t now)
{
	quota_server_host_gone(d->server, host, now);
}

/* Returns the number of customers that are kept here. */
unsigned int quotad_customers(const quotad_t *d)
{
	return quota_server_customers(d->server);
}
