/*
 * Cold servers, as a host treats them (base/warmup.c). A server's keeper grants
 * what a cold server takes from all hosts together; hosts tell it what the
 * configuration and the server's entry say. A host with a keeper prefers other
 * servers beyond its equal part, so that requests don't wait there.
 *
 * Without the keeper few hosts have a part, those of the lowest rank by a hash
 * of the server. Each of the others has a second of its own now and then for
 * one request, so that it learns that the server is warm: all of them together
 * send about one a second. A host that does not know the other hosts yet sends
 * none.
 *
 * With a rate of R a second, a keeper passes at most 1.125 R in any second, and
 * N hosts without it, N being a quarter of R and 4 at most, 0.25 R and N
 * requests: 1.375 R and 4. The others add about one on average, which is no
 * bound: their turns are by a hash, and several may coincide. A keeper that is
 * replaced within T s adds its first burst, 0.125 R less T R.
 *
 * Load it answers: servers that return while callers wait.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	UNKEPT_HOSTS = 4, /* that send to a cold server without its keeper */
	RETELL_MS = 5000, /* a keeper may have started meanwhile */
	/* Not heard by this host for so long, a server may have been away */
	QUIET_MS = 1000,
	TURN_SEED = 31,
	TURN_MS = 1000, /* in which a host without a part may send one */
};

/* The part of the rate that is used without the keeper */
static const double unkept_part = 0.25;
/* Penalty for a server that is sent enough already, in ms */
static const double enough_penalty = 10000;

/* Returns how many hosts have a part without the keeper. */
static unsigned int unkept_hosts(const backend_t *b)
{
	return (unsigned int)CLAMP(b->pool->warming.rate * unkept_part, 1,
				   (double)UNKEPT_HOSTS);
}

/* Whether this host, which has no part, may send one request now. */
static bool has_turn(const edge_t *e, const backend_t *b, ms_t now)
{
	uint64_t turn = (uint64_t)(now / TURN_MS);

	return (turn + b->turn_offset) % e->nhosts == 0 && turn != b->turn_used;
}

/* Returns this host's part of a cold server's rate, 0 to 1. */
static double own_part(const edge_t *e, backend_t *b)
{
	if (b->keeper)
		return 1 / subset_hosts(e, b);
	if (!e->hosts_known || word_rank(e, b) >= unkept_hosts(b))
		return 0;
	return unkept_part / unkept_hosts(b);
}

/* Whether the server may be sent a request, if no keeper grants it. */
bool warm_allows(const edge_t *e, backend_t *b, ms_t now)
{
	double part;

	if (!warmup_cold(&b->warmup, &b->pool->warming, now))
		return true;
	part = own_part(e, b);
	if (part <= 0 && e->hosts_known)
		return has_turn(e, b, now);
	return warmup_ready(&b->warmup, &b->pool->warming, part, now);
}

/* A request is sent to the server. */
void warm_sent(backend_t *b, ms_t now)
{
	warmup_take(&b->warmup);
	b->turn_used = (uint64_t)(now / TURN_MS);
}

/* Returns the cost of waiting until a cold server takes more, in ms. */
double warm_penalty(const edge_t *e, backend_t *b, ms_t now)
{
	return warm_allows(e, b, now) ? 0 : enough_penalty;
}

/* Bytes have come from the server. */
void warm_heard(backend_t *b, ms_t now)
{
	warmup_heard(&b->warmup, &b->pool->warming, now, now);
}

static void tell(edge_t *e, backend_t *b, ms_t left, ms_t now)
{
	if (!b->keeper || b->pool->warming.rate <= 0)
		return;
	b->warmup_told_at = now;
	e->ops->tell_warmup(e->ctx, b, &b->pool->warming, left);
}

/* The server is cold for at least left ms, by its word or an operator's act. */
void warm_told(edge_t *e, backend_t *b, ms_t left, ms_t now)
{
	warmup_told(&b->warmup, left, now);
	log_line(LOG_INFO, "server_cold",
		 "server=%s left_ms=%lld per_s=%.3f running=%u", b->id,
		 (long long)left, b->pool->warming.rate, b->running);
	tell(e, b, left, now);
}

/* A slot is about to be requested: its keeper has to know the figures. */
void warm_before_request(edge_t *e, backend_t *b, ms_t now)
{
	if (b->warmup_told_at == 0 || now - b->warmup_told_at >= RETELL_MS)
		tell(e, b, 0, now);
}

/* The server has another keeper, which may not know the figures. */
void warm_keeper_changed(backend_t *b)
{
	b->warmup_told_at = 0;
}

/* A server is listed that was not known. */
void warm_new_server(const edge_t *e, backend_t *b)
{
	const char *self = e->conf.name ? e->conf.name : "";

	b->turn_offset = hash64(self, strlen(self),
				hash64(b->id, strlen(b->id), TURN_SEED)) /
			 2;
	warmup_init(&b->warmup);
}

/* Takes the figures of a pool's service from the configuration in force. */
void warm_pool(edge_t *e, pool_t *p)
{
	const edge_service_t *s =
		e->desired ? desired_service(e->desired, p->name) : NULL;
	double rate = s ? s->cold_rate : 0;
	ms_t time = s ? s->cold_time : 0;

	if (s && s->cold_bad) {
		counter_get(e->counters, "edge_bad_cold_figures_total", NULL)
			->value++;
		log_line(LOG_WARN, "cold_figures_bad", "service=%s", p->name);
	}
	p->warming.quiet = QUIET_MS;
	if (p->warming.rate == rate && p->warming.time == time)
		return;
	p->warming.rate = rate;
	p->warming.time = time;
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next)
		list_entry(l, backend_t, link)->warmup_told_at = 0;
}

/* A configuration came into force. Takes time in proportion to the servers. */
void warm_configure(edge_t *e)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &v))
		warm_pool(e, v);
}
