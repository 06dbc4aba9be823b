/*
 * What servers say of themselves in the heads of their answers.
 *
 * A limit is over all hosts. The server's keeper, which grants the slots of all
 * hosts, holds them to it. A host that reads a new limit, or its end, tells the
 * keeper and the other hosts: those with a keeper send their part there and the
 * rest elsewhere, without waiting for a grant in vain. Where hosts have no
 * connection to the keeper few of them have a part, as each may send a whole
 * request at any time.
 *
 * A server that says that it leaves is out of use for the rest of its life,
 * whatever its entry in the store says; hosts tell each other of it too.
 *
 * A server that turns a request away may say for how long it wants nothing from
 * this host. When all do, callers are told at once.
 *
 * Load it answers: a server in need or about to stop, among others that are
 * not.
 */
#include <string.h>
#include "edge/priv.h"

enum {
	LIMIT_HOSTS = 4, /* that send to a limited server without its keeper */
	/* Times the hosts: between requests of one that has no part */
	ASIDE_MS = 5000,
	RETELL_MS = 5000, /* a keeper may have started meanwhile */
};

/*
 * The part of a limit that is used without the keeper where there are keepers:
 * it grants the whole limit to the hosts that reach it.
 */
static const double unkept_part = 0.25;
/* Penalty for a server that is sent enough already, in ms */
static const double enough_penalty = 10000;

/* Counts the hosts that come before this one in the server's order. */
static unsigned int rank_for(const edge_t *e, const backend_t *b)
{
	const char *self = e->conf.name ? e->conf.name : "";
	uint64_t seed = hash64(b->id, strlen(b->id), 0);
	uint64_t own = hash64(self, strlen(self), seed);
	unsigned int rank = 0;
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, e->other_hosts);
	while (g_hash_table_iter_next(&it, &name, NULL))
		rank += hash64(name, strlen(name), seed) < own;
	return rank;
}

/* Returns how many hosts come before this one in the server's order. */
unsigned int word_rank(const edge_t *e, backend_t *b)
{
	if (b->limit_hosts != e->nhosts) {
		b->limit_hosts = e->nhosts;
		b->limit_rank = rank_for(e, b);
	}
	return b->limit_rank;
}

/* Returns the rate at which this host sends to a limited server. */
static double own_rate(const edge_t *e, backend_t *b)
{
	unsigned int hosts = MIN(e->nhosts, LIMIT_HOSTS);
	double part = g_hash_table_size(e->keepers) > 0 ? unkept_part : 1;

	if (b->keeper)
		return limit_rate(&b->limit) / subset_hosts(e, b);
	if (word_rank(e, b) >= hosts)
		return (double)MS_PER_S / ASIDE_MS / e->nhosts;
	return limit_rate(&b->limit) * part / hosts;
}

/* Whether it is this host's turn to send a request to the server. */
static bool has_turn(const edge_t *e, backend_t *b, ms_t now)
{
	pace_set_rate(&b->pace, own_rate(e, b), now);
	return pace_ready(&b->pace, now);
}

/* Whether the server may be sent a request without its keeper's grant. */
bool word_allows(const edge_t *e, backend_t *b, ms_t now)
{
	return !b->limit.set || has_turn(e, b, now);
}

/* Returns the cost of waiting for the server's limit, in ms. */
double word_penalty(const edge_t *e, backend_t *b, ms_t now)
{
	return word_allows(e, b, now) ? 0 : enough_penalty;
}

/* A request is sent to the server. */
void word_sent(backend_t *b)
{
	if (b->limit.set)
		pace_take(&b->pace);
}

static void set_limit(edge_t *e, backend_t *b, const server_limit_t *l,
		      const char *by, ms_t now)
{
	if (!b->limit.set) {
		pace_init(&b->pace, 0, now);
		/* Hosts that are told at once take turns. */
		b->pace.level = g_rand_double(e->rand);
	}
	b->limit = *l;
	b->limit_hosts = 0;
	log_line(LOG_INFO, "server_limit",
		 "server=%s limited=%d per_s=%.3f by=%s running=%u", b->id,
		 l->set, (double)l->rate / MS_PER_S, by, b->running);
}

static void tell(edge_t *e, backend_t *b, bool hosts, ms_t now)
{
	b->limit_told_at = now;
	e->ops->limit_named(e->ctx, b, hosts);
}

static void set_leaving(backend_t *b, const char *by)
{
	b->leaving = true;
	backend_set_draining(b);
	log_line(LOG_INFO, "server_leaving", "server=%s by=%s running=%u",
		 b->id, by, b->running);
}

static void set_pause(edge_t *e, backend_t *b, ms_t pause, ms_t now)
{
	if (now + pause <= b->paused_until)
		return;
	b->paused_until = now + pause;
	counter_get(e->counters, "edge_server_pauses_total", NULL)->value++;
	log_line(LOG_INFO, "server_pause", "server=%s for_ms=%lld running=%u",
		 b->id, (long long)pause, b->running);
}

/*
 * Returns when the first server of a pool ends its pause, if all that are in
 * use have one; else 0.
 */
ms_t word_all_paused(const pool_t *p, ms_t now)
{
	ms_t first = 0;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		if (b->draining)
			continue;
		if (now >= b->paused_until)
			return 0;
		if (!first || b->paused_until < first)
			first = b->paused_until;
	}
	return first;
}

static void take_limit(edge_t *e, backend_t *b, const server_limit_t *l,
		       ms_t now)
{
	bool same = limit_equal(l, &b->limit);

	if (!same)
		set_limit(e, b, l, "answer", now);
	/* A keeper may know the limit of an earlier life of the server. */
	if (!same || !b->word_known ||
	    (b->limit.set && now - b->limit_told_at >= RETELL_MS))
		tell(e, b, !same, now);
	b->word_known = true;
}

/* A server's answer has come with its word, or without one. */
void edge_server_word(edge_t *e, backend_t *b, const server_word_t *w, ms_t now)
{
	if (w->pause > 0)
		set_pause(e, b, w->pause, now);
	if (w->leaving && !b->leaving) {
		set_leaving(b, "answer");
		e->ops->leaving_said(e->ctx, b);
	}
	if (!w->bad) {
		take_limit(e, b, &w->limit, now);
		return;
	}
	counter_get(e->counters, "edge_server_words_bad_total", NULL)->value++;
	log_line(LOG_WARN, "server_word_bad", "server=%s", b->id);
}

/* The server has another keeper, which may not know its limit. */
void word_keeper_changed(edge_t *e, backend_t *b)
{
	warm_keeper_changed(b);
	if (b->keeper && b->limit.set)
		e->ops->limit_named(e->ctx, b, false);
}

/*
 * Takes over what an earlier listing of this life said. Its pause and limit may
 * have ended meanwhile, which answers tell.
 */
void word_restore(edge_t *e, backend_t *b, bool leaving, ms_t paused_until,
		  const server_limit_t *l, ms_t now)
{
	b->paused_until = paused_until;
	log_line(LOG_INFO, "server_recalled",
		 "server=%s leaving=%d paused_ms=%lld limited=%d", b->id,
		 leaving, (long long)MAX(paused_until - now, 0), l->set);
	if (leaving)
		set_leaving(b, "recall");
	if (l->set)
		set_limit(e, b, l, "recall", now);
}

/* Another host has read a server's limit, or its end, in an answer. */
void edge_host_limit(edge_t *e, const char *server, const server_limit_t *l,
		     ms_t now)
{
	backend_t *b = g_hash_table_lookup(e->by_id, server);

	if (!b || limit_equal(l, &b->limit))
		return;
	set_limit(e, b, l, "host", now);
	if (b->keeper)
		tell(e, b, false, now);
}

/* Another host has read that this life of a server leaves. */
void edge_host_leaving(edge_t *e, const char *server, int64_t started_unix,
		       ms_t now)
{
	backend_t *b = g_hash_table_lookup(e->by_id, server);

	if (!b)
		recall_leaving(e, server, started_unix, now);
	else if (!b->leaving && b->started_unix == started_unix)
		set_leaving(b, "host");
}
