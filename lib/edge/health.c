/*
 * Setting servers aside on evidence from answers, and trying them again.
 * Health calls are not used: they cost a place, and may be false.
 */
#include "edge/priv.h"

enum {
	SILENT_LEAST_MS = 300, /* several times a slow first event */
	ASIDE_FIRST_MS = 500,  /* long enough for a restart to show */
	ASIDE_MOST_MS = 4000,  /* a server that is back is found this late */
	LOST_IN_ROW = 2,       /* one lost answer may be the connection's */
};

static const double silent_times = 4;	/* the expected time to an event */
static const double weight = 0.12;	/* of one ended request */
static const double least_samples = 5;	/* before failures are believed */
static const double failures_over = .3; /* above all servers' mean share */

/*
 * Whether nothing has come from a server for much longer than it usually
 * takes, though requests run there.
 */
bool health_silent(const backend_t *b, ms_t now)
{
	const request_t *oldest;
	double usual;
	ms_t since;

	if (list_empty(&b->requests))
		return false;
	oldest = list_entry(b->requests.next, request_t, server_link);
	since = MAX(b->last_byte_at, oldest->sent_at);
	usual = estimate_first_event(b->pool, b, oldest->prompt);
	return (double)(now - since) >
	       MAX(SILENT_LEAST_MS, usual * silent_times);
}

/* Whether new requests may go to the server now. */
bool health_usable(const backend_t *b, ms_t now)
{
	if (b->draining || b->gone || b->displaced || now < b->ejected_until)
		return false;
	if (b->probing && b->running > 0)
		return false;
	return !health_silent(b, now);
}

static bool most_are_aside(const pool_t *p, ms_t now)
{
	unsigned int all = 0;
	unsigned int aside = 0;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		if (b->draining)
			continue;
		all++;
		aside += now < b->ejected_until;
	}
	return (aside + 1) * 2 > all;
}

static double mean_failures(const pool_t *p)
{
	double sum = 0;
	double n = 0;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		sum += b->failure_rate;
		n += 1;
	}
	return n > 0 ? sum / n : 0;
}

static void set_aside(edge_t *e, backend_t *b, const char *why, ms_t now)
{
	if (most_are_aside(b->pool, now))
		return;
	b->ejection_ms =
		CLAMP(b->ejection_ms * 2, ASIDE_FIRST_MS, ASIDE_MOST_MS);
	b->ejected_until = now + b->ejection_ms;
	b->probing = true;
	b->attempts_ended = 0;
	b->failure_rate = 0;
	log_line(LOG_INFO, "server_aside",
		 "server=%s service=%s why=%s for_ms=%d running=%u", b->id,
		 b->pool->name, why, (int)b->ejection_ms, b->running);
	counter_get(e->counters, "edge_servers_set_aside_total", NULL)->value++;
}

static void back(backend_t *b, ms_t now)
{
	log_line(LOG_INFO, "server_back", "server=%s service=%s", b->id,
		 b->pool->name);
	b->probing = false;
	b->ejection_ms = 0;
}

/*
 * Another server answered at the address: this one is gone, whatever its entry
 * still says. Only a newer entry of its own shows that it lives.
 */
void health_displace(backend_t *b)
{
	if (b->displaced)
		return;
	b->displaced = true;
	log_line(LOG_INFO, "server_displaced", "server=%s service=%s seq=%llu",
		 b->id, b->pool->name, (unsigned long long)b->seq);
}

/* Learns from how a send ended. */
void health_attempt_ended(edge_t *e, backend_t *b, attempt_result_t how,
			  ms_t now)
{
	bool lost = how == ATTEMPT_LOST || how == ATTEMPT_NOT_SENT;
	bool failed =
		lost || how == ATTEMPT_FAILED || how == ATTEMPT_BAD_ANSWER;

	if (how == ATTEMPT_WRONG_SERVER) {
		health_displace(b);
		return;
	}
	if (how == ATTEMPT_REJECTED)
		return;
	b->attempts_ended += 1;
	b->failure_rate += weight * ((failed ? 1 : 0) - b->failure_rate);
	b->consecutive_losses = lost ? b->consecutive_losses + 1 : 0;
	if (!failed && b->probing && now >= b->ejected_until)
		back(b, now);
	if (now < b->ejected_until)
		return;
	if (b->consecutive_losses >= LOST_IN_ROW || (failed && b->probing))
		set_aside(e, b, lost ? "lost" : "failed_again", now);
	else if (b->attempts_ended >= least_samples &&
		 b->failure_rate > failures_over + mean_failures(b->pool))
		set_aside(e, b, "fails", now);
}
