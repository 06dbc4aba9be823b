/* The role of an entry: takes callers' requests and answers them. */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

enum {
	OFFERS = 4,	     /* sidecars that first get an offer */
	HEAD_START = 15,     /* ms, of the sidecar chosen for its prefix */
	WIDEN_BEFORE = 1000, /* ms before the deadline: offer to all sidecars */
	ACK_EVERY = 5000,    /* ms */
	ACK_FRACTION = 8, /* ack after 1/8 of the bytes that a sidecar keeps */
	PATH_GONE_SILENCES = 4, /* silent timeouts: the path is lost */
};

struct entryd {
	daemon_t *d;
	entry_t *entry;
	limits_t *limits;
	reply_t *submitting; /* its end may come inside entry_submit */
	size_t running;
	GHashTable *sidecars;	    /* names of those up, by incarnation */
	GHashTable *pending_claims; /* rid_t of requests */
	counter_t *running_gauge;
	counter_t *sidecars_gauge;
};

static void add_outcome(reply_t *r, const outcome_t *o)
{
	char id[40];

	g_snprintf(id, sizeof(id), "%" PRIx64 "-%" PRIx64, o->rid.inc,
		   o->rid.seq);
	reply_add_header(r, "Chestnuthinge-Request-Id", id);
	if (o->version)
		reply_add_header(r, "Chestnuthinge-Version", o->version);
	if (o->server)
		reply_add_header(r, "Chestnuthinge-Server", o->server);
}

static void on_send(void *ctx, uint64_t side_inc, const msg_t *m)
{
	entryd_t *e = ctx;

	peers_send(e->d->peers, side_inc, m);
}

static void on_head(void *ctx, void *user, const outcome_t *so_far, int status,
		    str_t content_type)
{
	reply_t *r = user;

	(void)ctx;
	if (!reply_is_chunked(r, status))
		r->streamed = false;
	if (r->streamed) {
		add_outcome(r, so_far);
		reply_add_header(r, "Chestnuthinge-Outcome", "answered");
	} else {
		r->first_at = clock_now();
	}
	reply_begin(r, status, content_type);
}

static void on_data(void *ctx, void *user, str_t data)
{
	reply_t *r = user;

	(void)ctx;
	r->last_at = clock_now();
	if (r->first_at < 0)
		r->first_at = r->last_at;
	r->chunks++;
	reply_data(r, data);
}

static void on_claim(void *ctx, rid_t rid, const char *customer,
		     const char *key)
{
	entryd_t *e = ctx;

	g_hash_table_add(e->pending_claims, g_memdup2(&rid, sizeof(rid)));
	plat_claim(e->d->plat, rid, customer, key);
}

/* A request was not run: releases its key, now or once it is claimed. */
static void release_claim(entryd_t *e, rid_t rid)
{
	if (!g_hash_table_remove(e->pending_claims, &rid))
		plat_release_claim(e->d->plat, rid);
}

static const char *error_message(code_t code)
{
	switch (code) {
	case CODE_SHED:
		return "overloaded; work of higher tiers goes first";
	case CODE_CANNOT_FINISH:
		return "cannot be answered before its deadline";
	case CODE_EXPIRED_WAITING:
		return "the deadline passed before an engine had a place";
	case CODE_DUPLICATE:
		return "this Idempotency-Key was used before";
	case CODE_NO_SERVER:
		return "no server of the service can be reached";
	case CODE_EXPIRED_RUNNING:
		return "the deadline passed while the request ran";
	case CODE_PATH_LOST:
		return "the way to the server was lost while the request ran";
	default:
		return code_name(code);
	}
}

static void on_end(void *ctx, void *user, const outcome_t *o)
{
	entryd_t *e = ctx;
	reply_t *r = user;

	e->running--;
	r->on_gone = NULL;
	if (code_not_run(o->code))
		release_claim(e, o->rid);
	stats_end(e->d->stats, r, o->code, r->status);
	if (o->code == CODE_OK) {
		if (!r->started) {
			add_outcome(r, o);
			reply_add_header(r, "Chestnuthinge-Outcome",
					 "answered");
		}
		reply_end(r);
	} else if (r->started) {
		reply_abort(r);
	} else {
		add_outcome(r, o);
		reply_refuse(r, o->code, error_message(o->code),
			     o->retry_after);
	}
}

static const char *on_pick_version(void *ctx, const char *service, ms_t now)
{
	entryd_t *e = ctx;

	return state_pick_version(e->d->state, service, now);
}

static const char *on_fallback(void *ctx, const char *service,
			       const char *picked)
{
	entryd_t *e = ctx;

	return state_fallback_version(e->d->state, service, picked);
}

static bool on_is_bad(void *ctx, const char *service, const char *version)
{
	entryd_t *e = ctx;

	return state_is_bad(e->d->state, service, version);
}

static void on_sample(void *ctx, const sample_t *s, ms_t now)
{
	entryd_t *e = ctx;

	state_add_sample(e->d->state, s, now);
}

/* Makes the role from the settings. */
entryd_t *entryd_new(daemon_t *d)
{
	static const entry_ops_t ops = {
		on_send,	 on_head,     on_data,	 on_end,   on_claim,
		on_pick_version, on_fallback, on_is_bad, on_sample
	};
	entryd_t *e = g_new0(entryd_t, 1);
	entry_conf_t conf = { .inc = d->inc,
			      .seed = random_u64(),
			      .data_center = d->set->data_center,
			      .waiting_max = d->set->waiting_max,
			      .initial_offers = OFFERS,
			      .head_start = HEAD_START,
			      .widen_before = WIDEN_BEFORE,
			      .disconnect_timeout =
				      d->set->silent * PATH_GONE_SILENCES,
			      .ack_interval = ACK_EVERY,
			      .ack_bytes = d->set->answer_max / ACK_FRACTION };

	e->d = d;
	e->entry = entry_new(&conf, &ops, e, d->counters);
	e->limits = limits_new();
	e->pending_claims =
		g_hash_table_new_full(rid_hash, rid_equal, g_free, NULL);
	e->sidecars = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	e->running_gauge =
		gauge_get(d->counters, "chestnuthinge_requests_open", "");
	e->sidecars_gauge =
		gauge_get(d->counters, "chestnuthinge_sidecars_up", "");
	return e;
}

/* Frees the role; open requests get no answer. */
void entryd_free(entryd_t *e)
{
	entry_free(e->entry);
	limits_free(e->limits);
	g_hash_table_destroy(e->sidecars);
	g_hash_table_destroy(e->pending_claims);
	g_free(e);
}

static void on_gone(void *ctx, reply_t *r)
{
	entryd_t *e = ctx;

	e->running--;
	stats_end(e->d->stats, r, CODE_CALLER_GONE, 0);
	if (entry_hangup(e->entry, r->rid, clock_now()))
		release_claim(e, r->rid);
}

static void submit(entryd_t *e, reply_t *r, const call_t *c, ms_t now)
{
	const submission_t *s = &c->submit;

	r->service = g_strdup(s->service);
	r->model = s->model;
	r->tier = s->tier;
	r->began = now;
	r->streamed = s->stream && r->req->version >= 0x101;
	r->first_token_target = c->service->first_token;
	r->token_gap_target = c->service->token_gap;
	r->on_gone = on_gone;
	r->ctx = e;
	e->running++;
	r->rid = entry_submit(e->entry, s, r, now);
}

/* Takes a caller's request. */
void entryd_handle(entryd_t *e, reply_t *r)
{
	ms_t now = clock_now();
	call_t c;

	call_check(&c, e->d, e->limits, r, now);
	if (c.code == CODE_OK) {
		submit(e, r, &c, now);
	} else {
		stats_refuse(e->d->stats, c.service ? c.service->name : "",
			     c.submit.tier, c.code);
		reply_refuse(r, c.code, c.message, c.retry);
	}
	call_clear(&c);
}

/* Marks a sidecar as leaving if a fact, its own or relayed, says so. */
static void check_leaving(entryd_t *e, uint64_t inc, const char *name, ms_t now)
{
	char *key = leaving_key(name, inc);

	if (facts_get(state_facts(e->d->state), key))
		entry_side_leaving(e->entry, name, now);
	g_free(key);
}

/* The connection to a sidecar is up. */
void entryd_up(entryd_t *e, const msg_hello_t *who, ms_t now)
{
	char *name = str_dup(who->name);
	char *data_center = str_dup(who->data_center);

	g_hash_table_replace(e->sidecars,
			     g_memdup2(&who->inc, sizeof(who->inc)), name);
	entry_side_up(e->entry, who->inc, name, data_center, now);
	check_leaving(e, who->inc, name, now);
	g_free(data_center);
}

/* The connection to a sidecar is down. */
void entryd_down(entryd_t *e, uint64_t inc, ms_t now)
{
	g_hash_table_remove(e->sidecars, &inc);
	entry_side_down(e->entry, inc, now);
}

/* Takes a message of a sidecar. */
void entryd_recv(entryd_t *e, uint64_t inc, const msg_t *m, ms_t now)
{
	entry_recv(e->entry, inc, m, now);
}

/*
 * The host list now says that a host is leaving. The list lags: a process that
 * connects under that name later counts as leaving only if it says so itself.
 */
void entryd_host_leaving(entryd_t *e, const char *name, ms_t now)
{
	entry_side_leaving(e->entry, name, now);
}

/* New facts about leaving hosts have come: checks all sidecars. */
void entryd_check_leaving(entryd_t *e, ms_t now)
{
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	g_hash_table_iter_init(&it, e->sidecars);
	while (g_hash_table_iter_next(&it, &inc, &name))
		check_leaving(e, *(uint64_t *)inc, name, now);
}

/* Divides the customers' limits by the number of live entries. */
void entryd_set_live_entries(entryd_t *e, unsigned int live)
{
	limits_set_entries(e->limits, MAX(live, 1));
}

/* The claim of a key was answered; its request may have ended meanwhile. */
void entryd_claimed(entryd_t *e, rid_t rid, code_t code, ms_t now)
{
	if (g_hash_table_remove(e->pending_claims, &rid))
		entry_claim_done(e->entry, rid, code, now);
	else
		plat_release_claim(e->d->plat, rid);
}

/* Sets the customers' limits from a newly accepted intent. */
void entryd_intent(entryd_t *e, const intent_t *in)
{
	for (guint i = 0; i < in->customers->len; i++) {
		const customer_t *c = in->customers->pdata[i];

		limits_set(e->limits, c->name, c->requests_per_s,
			   c->tokens_per_s);
	}
}

/* Runs timers and updates gauges. */
void entryd_tick(entryd_t *e, ms_t now)
{
	entry_tick(e->entry, now);
	e->running_gauge->value = e->running;
	e->sidecars_gauge->value = entryd_sidecars(e);
}

/* Refuses new requests from now on. */
void entryd_drain(entryd_t *e, ms_t now)
{
	entry_drain(e->entry, now);
}

/* Returns whether no request is in progress. */
bool entryd_idle(const entryd_t *e)
{
	return e->running == 0;
}

/* Returns how many sidecars are up. */
size_t entryd_sidecars(const entryd_t *e)
{
	return g_hash_table_size(e->sidecars);
}

/* Appends the sidecars to out, a line each. */
void entryd_print(const entryd_t *e, GString *out)
{
	entry_print(e->entry, out);
}
