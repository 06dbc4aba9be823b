/*
 * Outlier ejection: servers that lose or fail requests are ejected for a while
 * and then probed with one request at a time. Health checks are not used: they
 * take a slot, and may report a broken server as healthy.
 */
#include "edge/priv.h"

enum {
	SILENT_MIN_MS = 300,   /* several times a slow first event latency */
	EJECTION_MIN_MS = 500, /* long enough to notice a restart */
	/* A recovered server is probed after at most this */
	EJECTION_MAX_MS = 4000,
	/* A single lost answer may be the connection's fault */
	CONSECUTIVE_LOSSES = 2,
	SILENCES = 2, /* attempts given up at a server before it is ejected */
};

/* Factor on the expected first event latency */
static const double silent_factor = 4;
/* Weight of one attempt in the failure rate. */
static const double attempt_weight = 0.12;
/* Attempts before the failure rate is used */
static const double min_attempts = 5;
/* Failure rate above the mean of all servers */
static const double failure_rate_excess = .3;

/*
 * Whether requests run on a server, but nothing has come from it for much
 * longer than its expected first event latency.
 */
static bool is_silent(const backend_t *b, ms_t now)
{
	const request_t *oldest;
	double expected;
	ms_t since;

	if (list_empty(&b->requests))
		return false;
	oldest = list_entry(b->requests.next, request_t, server_link);
	since = MAX(b->last_byte_at, oldest->sent_at);
	expected = estimate_first_event(b->pool, b, oldest->prompt);
	return (double)(now - since) >
	       MAX(SILENT_MIN_MS, expected * silent_factor);
}

/* Whether new requests may go to the server now. */
bool health_usable(const backend_t *b, ms_t now)
{
	if (b->draining || b->gone || b->displaced || now < b->ejected_until ||
	    now < b->paused_until)
		return false;
	if (b->probing && b->running > 0)
		return false;
	return !is_silent(b, now);
}

static bool ejection_limit_reached(const pool_t *p, ms_t now)
{
	unsigned int all = 0;
	unsigned int ejected = 0;

	for (guint i = 0; i < p->subset->len; i++) {
		const backend_t *b = p->subset->pdata[i];

		if (b->draining)
			continue;
		all++;
		ejected += now < b->ejected_until;
	}
	return (ejected + 1) * 2 > all;
}

static double mean_failure_rate(const pool_t *p)
{
	double sum = 0;
	double n = 0;

	for (guint i = 0; i < p->subset->len; i++) {
		const backend_t *b = p->subset->pdata[i];

		sum += b->failure_rate;
		n += 1;
	}
	return n > 0 ? sum / n : 0;
}

static void eject(edge_t *e, backend_t *b, const char *why, ms_t now)
{
	if (ejection_limit_reached(b->pool, now))
		return;
	b->ejection_ms =
		CLAMP(b->ejection_ms * 2, EJECTION_MIN_MS, EJECTION_MAX_MS);
	b->ejected_until = now + b->ejection_ms;
	b->probing = true;
	b->ejected_silent = false;
	b->attempts_ended = 0;
	b->failure_rate = 0;
	log_line(LOG_INFO, "server_aside",
		 "server=%s service=%s why=%s for_ms=%d running=%u", b->id,
		 b->pool->name, why, (int)b->ejection_ms, b->running);
	counter_get(e->counters, "edge_servers_set_aside_total", NULL)->value++;
}

static void readmit(backend_t *b, ms_t now)
{
	log_line(LOG_INFO, "server_back", "server=%s service=%s", b->id,
		 b->pool->name);
	b->probing = false;
	b->ejection_ms = 0;
	b->ejected_silent = false;
	b->ejected_until = MIN(b->ejected_until, now);
}

/*
 * Bytes have come from the server. One that was only ejected for its silence is
 * readmitted at once.
 */
void health_heard(backend_t *b, ms_t now)
{
	b->last_byte_at = now;
	b->silences = 0;
	warm_heard(b, now);
	if (b->ejected_silent)
		readmit(b, now);
}

/*
 * Another server has this one's address: this one is gone, even if its entry is
 * still listed. Only a newer entry of its own shows that it is up.
 */
void health_displace(backend_t *b)
{
	if (b->displaced)
		return;
	b->displaced = true;
	log_line(LOG_INFO, "server_displaced", "server=%s service=%s seq=%llu",
		 b->id, b->pool->name, (unsigned long long)b->seq);
}

/* An attempt was given up: the server is silent, or gone without a word. */
static void count_silence(edge_t *e, backend_t *b, ms_t now)
{
	bool only_silent = !b->probing || b->ejected_silent;

	b->silences++;
	if (now < b->ejected_until || (b->silences < SILENCES && !b->probing))
		return;
	eject(e, b, "silent", now);
	b->ejected_silent = only_silent && now < b->ejected_until;
}

/* Updates the server's health by how an attempt ended. */
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
	if (lost || how == ATTEMPT_SILENT)
		warmup_lost(&b->warmup, now);
	if (how == ATTEMPT_REJECTED)
		return;
	if (how == ATTEMPT_SILENT) {
		count_silence(e, b, now);
		return;
	}
	b->attempts_ended += 1;
	b->failure_rate +=
		attempt_weight * ((failed ? 1 : 0) - b->failure_rate);
	b->consecutive_losses = lost ? b->consecutive_losses + 1 : 0;
	if (!failed && b->probing && now >= b->ejected_until)
		readmit(b, now);
	if (now < b->ejected_until)
		return;
	if (b->consecutive_losses >= CONSECUTIVE_LOSSES ||
	    (failed && b->probing))
		eject(e, b, lost ? "lost" : "failed_again", now);
	else if (b->attempts_ended >= min_attempts &&
		 b->failure_rate >
			 failure_rate_excess + mean_failure_rate(b->pool))
		eject(e, b, "fails", now);
}
