/*
 * Noticing that a server crashed, and which traits may be the cause: those of
 * the requests that waited for their first event there.
 */
#include "edge/priv.h"

enum {
	/* From a lost attempt until its server counts as crashed */
	CONFIRM_MS = 100,
	/* Bytes that were on their way when the server ended */
	LATE_BYTES_MS = 20,
	/* A server may end within this after the first bytes of an answer */
	FIRST_BYTES_MS = 100,
	/* A trait in a whole answer is no suspect for this long */
	SOUND_MS = 10000,
	SOUND_MAX = 16384, /* traits remembered as sound */
	LOSSES_MAX = 256,  /* servers that are looked at at the same time */
	SWEEP_MS = 1000,   /* between removals of what is outdated */
};

/* A server that lost a request, until it is known whether it crashed. */
typedef struct loss {
	list_t link;
	char *server;
	uint32_t serial;
	int64_t started_unix;
	ms_t at;
	unsigned int requests; /* that waited for their first event */
	GArray *suspects;      /* trait_t */
} loss_t;

struct crashes {
	list_t losses; /* loss_t, the oldest first */
	unsigned int nlosses;
	GHashTable *sound; /* time of the last whole answer by trait */
	ms_t swept_at;
	counter_t *seen;
	counter_t *left_out;
};

/* Returns the state of a host that has seen nothing. */
crashes_t *crashes_new(counters_t *counters)
{
	crashes_t *cs = g_new0(crashes_t, 1);

	list_init(&cs->losses);
	cs->sound = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	cs->seen = counter_get(counters, "edge_crashes_seen_total", NULL);
	cs->left_out =
		counter_get(counters, "edge_crash_facts_left_out_total", NULL);
	return cs;
}

static void loss_free(crashes_t *cs, loss_t *l)
{
	list_del(&l->link);
	cs->nlosses--;
	g_array_free(l->suspects, TRUE);
	g_free(l->server);
	g_free(l);
}

/* Frees the state. */
void crashes_free(crashes_t *cs)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &cs->losses)
		loss_free(cs, list_entry(pos, loss_t, link));
	g_hash_table_destroy(cs->sound);
	g_free(cs);
}

static bool is_sound(const crashes_t *cs, trait_t trait, ms_t now)
{
	const ms_t *at = g_hash_table_lookup(cs->sound, &trait);

	return at && now - *at < SOUND_MS;
}

static void add_suspect(loss_t *l, trait_t trait)
{
	for (guint i = 0; i < l->suspects->len; i++) {
		if (g_array_index(l->suspects, trait_t, i) == trait)
			return;
	}
	g_array_append_val(l->suspects, trait);
}

/* Whether the answer has not begun, or only just. */
static bool is_beginning(const request_t *r, ms_t now)
{
	return !r->responded || now - r->first_at < FIRST_BYTES_MS;
}

static void add_suspects(const crashes_t *cs, loss_t *l, const request_t *r,
			 ms_t now)
{
	l->requests++;
	for (size_t i = 0; i < traits_count(r); i++) {
		if (!is_sound(cs, traits_at(r, i), now))
			add_suspect(l, traits_at(r, i));
	}
}

static loss_t *find_loss(const crashes_t *cs, const backend_t *b)
{
	for (list_t *p = cs->losses.next; p != &cs->losses; p = p->next) {
		loss_t *l = list_entry(p, loss_t, link);

		if (l->serial == b->serial)
			return l;
	}
	return NULL;
}

/* Starts to look at the server of a lost request, the first suspect. */
static void add_loss(crashes_t *cs, const request_t *lost, ms_t now)
{
	const backend_t *b = lost->server;
	loss_t *l;

	if (cs->nlosses >= LOSSES_MAX) {
		cs->left_out->value++;
		log_line(LOG_WARN, "crash_left_out", "server=%s losses=%u",
			 b->id, cs->nlosses);
		return;
	}
	l = g_new0(loss_t, 1);
	l->server = g_strdup(b->id);
	l->serial = b->serial;
	l->started_unix = b->started_unix;
	l->at = now;
	l->suspects = g_array_new(FALSE, FALSE, sizeof(trait_t));
	add_suspects(cs, l, lost, now);
	for (const list_t *p = b->requests.next; p != &b->requests;
	     p = p->next) {
		const request_t *r = list_entry(p, request_t, server_link);

		if (r != lost && is_beginning(r, now))
			add_suspects(cs, l, r, now);
	}
	list_add_tail(&cs->losses, &l->link);
	cs->nlosses++;
}

/* Reports a crash to all hosts, unless there is no trait to suspect. */
static void report(edge_t *e, loss_t *l, const char *evidence, ms_t now)
{
	crash_report_t c = {
		.server = l->server,
		.started_unix = l->started_unix,
		.traits = (const trait_t *)l->suspects->data,
		.ntraits = MIN(l->suspects->len, CRASH_TRAITS_MAX),
	};
	char *text;

	e->crashes->seen->value++;
	e->crashes->left_out->value += l->suspects->len - c.ntraits;
	text = crash_traits_format(&c);
	log_line(LOG_INFO, "crash_seen",
		 "server=%s started=%lld evidence=%s after_ms=%lld requests=%u "
		 "suspects=%u parts=%s",
		 l->server, (long long)l->started_unix, evidence,
		 (long long)(now - l->at), l->requests, l->suspects->len, text);
	g_free(text);
	if (c.ntraits == 0)
		return;
	quarantine_reporting(e, &c, now);
	if (e->ops->crash_seen)
		e->ops->crash_seen(e->ctx, &c);
}

/* Whether a connection that was open before the loss still is. */
static bool still_connected(const backend_t *b, const loss_t *l)
{
	for (const list_t *p = b->requests.next; p != &b->requests;
	     p = p->next) {
		if (list_entry(p, request_t, server_link)->sent_at < l->at)
			return true;
	}
	return false;
}

/* Ends the look at a server, with a report if nothing came from it. */
static void settle(edge_t *e, loss_t *l, ms_t now)
{
	const backend_t *b = g_hash_table_lookup(e->by_id, l->server);
	bool same = b && b->serial == l->serial;

	if (b && !same)
		report(e, l, "reborn", now);
	else if (!same || !(still_connected(b, l) ||
			    b->last_byte_at > l->at + LATE_BYTES_MS))
		report(e, l, "silent", now);
	else
		log_line(LOG_DEBUG, "crash_ruled_out",
			 "server=%s last_byte_ms=%lld", l->server,
			 (long long)(now - b->last_byte_at));
	loss_free(e->crashes, l);
}

static void remember_sound(crashes_t *cs, const request_t *r, ms_t now)
{
	for (size_t i = 0; i < traits_count(r); i++) {
		trait_t trait = traits_at(r, i);
		ms_t *at = g_hash_table_lookup(cs->sound, &trait);

		if (at)
			*at = now;
		else if (g_hash_table_size(cs->sound) < SOUND_MAX)
			g_hash_table_insert(cs->sound,
					    g_memdup2(&trait, sizeof(trait)),
					    g_memdup2(&now, sizeof(now)));
		else
			cs->left_out->value++;
	}
}

/*
 * Whether the answer may have been cut. One that ends with its connection then
 * seems malformed or, without an event, whole.
 */
static bool broken_off(const request_t *r, attempt_result_t how)
{
	return how == ATTEMPT_LOST || how == ATTEMPT_BAD_ANSWER ||
	       (how == ATTEMPT_ANSWERED && r->route->stream && !r->responded);
}

/*
 * An attempt ends; the request is still with its server. One that this host
 * gave up for the server's silence tells nothing.
 */
void crash_attempt_ended(edge_t *e, const request_t *r, attempt_result_t how,
			 ms_t now)
{
	crashes_t *cs = e->crashes;
	backend_t *b = r->server;
	loss_t *l = find_loss(cs, b);

	if (how == ATTEMPT_ANSWERED && r->responded) {
		remember_sound(cs, r, now);
	} else if (how == ATTEMPT_NOT_SENT && l && now > l->at) {
		report(e, l, "refused", now);
		loss_free(cs, l);
	} else if (broken_off(r, how) && !l && traits_count(r) > 0 &&
		   is_beginning(r, now)) {
		add_loss(cs, r, now);
	}
}

static gboolean is_outdated(gpointer trait, gpointer at, gpointer now)
{
	return *(const ms_t *)now - *(const ms_t *)at >= SOUND_MS;
}

/* Whether a server is being looked at. */
bool crash_suspected(const edge_t *e)
{
	return !list_empty(&e->crashes->losses);
}

/* Settles what has been looked at for long enough. */
void crash_tick(edge_t *e, ms_t now)
{
	crashes_t *cs = e->crashes;
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &cs->losses)
	{
		loss_t *l = list_entry(pos, loss_t, link);

		if (now - l->at >= CONFIRM_MS)
			settle(e, l, now);
	}
	if (now - cs->swept_at < SWEEP_MS)
		return;
	cs->swept_at = now;
	g_hash_table_foreach_remove(cs->sound, is_outdated, &now);
}
