/* The sidecar's tables, the messages it handles and the state it reports. */
#include <string.h>
#include "side/priv.h"

enum {
	PEERS_MAX = 1024,	 /* incarnations of entries remembered */
	RETRY_AFTER_MIN = 100,	 /* ms */
	RETRY_AFTER_MAX = 60000, /* ms */
};

/* Returns the request of that id, or NULL. */
job_t *job_find(const side_t *s, rid_t rid)
{
	return g_hash_table_lookup(s->jobs, &rid);
}

/* Takes the request out of the lists of its state and releases its slot. */
void job_unlink(side_t *s, job_t *j)
{
	if (j->state == JOB_WAITING)
		wait_remove(s, j);
	if (j->state == JOB_GRANTED || j->state == JOB_RUNNING)
		capacity_release(&s->capacity, j->work);
	list_del(&j->link);
}

/* Moves the request to a state other than waiting. */
void job_set_state(side_t *s, job_t *j, job_state_t state, ms_t now)
{
	list_t *lists[] = { NULL, &s->granted, &s->running, &s->ended,
			    &s->not_run };

	job_unlink(s, j);
	j->state = state;
	j->state_since = now;
	if (state == JOB_GRANTED || state == JOB_RUNNING)
		capacity_use(&s->capacity, j->work);
	list_add_tail(lists[state], &j->link);
}

/* Takes the request out of the table and frees it. */
void job_free(side_t *s, job_t *j)
{
	job_unlink(s, j);
	g_hash_table_remove(s->jobs, &j->rid);
	answer_clear(&j->a);
	g_free(j->version);
	g_free(j);
}

/* Drops the entry disconnected for longest when there are PEERS_MAX. */
static void evict_oldest_peer(side_t *s)
{
	GHashTableIter it;
	gpointer v;
	peer_t *oldest = NULL;

	if (g_hash_table_size(s->peers) < PEERS_MAX)
		return;
	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_t *p = v;

		if (!p->up && (!oldest || p->down_at < oldest->down_at))
			oldest = p;
	}
	if (!oldest)
		return;
	s->forgotten_grants =
		MAX(s->forgotten_grants, oldest->forgotten_grants);
	g_hash_table_remove(s->peers, &oldest->inc);
}

/* Returns the record of an entry's incarnation, making it if new. */
peer_t *peer_get(side_t *s, uint64_t inc)
{
	peer_t *p = g_hash_table_lookup(s->peers, &inc);

	if (p)
		return p;
	evict_oldest_peer(s);
	p = g_new0(peer_t, 1);
	p->inc = inc;
	p->forgotten_grants = s->forgotten_grants;
	g_hash_table_insert(s->peers, &p->inc, p);
	return p;
}

/* Tells whether the engine has the version loaded; empty stands for any. */
bool side_has_version(const side_t *s, str_t version)
{
	const char *p = s->versions;

	if (version.n == 0)
		return true;
	while (*p) {
		size_t n = strcspn(p, ",");

		if (str_eq(version, (str_t){ p, n }))
			return true;
		p += n + (p[n] == ',');
	}
	return false;
}

/* Sends a message about a request to its entry. */
void side_send(side_t *s, job_t *j, msg_t *m)
{
	s->ops->send(s->ctx, j->rid.inc, m);
}

/* Adds one to the counter of a code, with the code's name as label. */
void side_count(side_t *s, counter_t **by_code, const char *name, code_t code)
{
	char labels[64];

	if (!by_code[code]) {
		g_snprintf(labels, sizeof(labels), "code=\"%s\"",
			   code_name(code));
		by_code[code] = counter_get(s->counters, name, labels);
	}
	by_code[code]->value++;
}

/* Refuses an offer; for hold ms no lower tier is taken here. */
void side_refuse(side_t *s, rid_t rid, code_t code, ms_t hold)
{
	msg_t m = { .type = MSG_REFUSE };
	ms_t retry = speed_wait_time(s, TIER_LOWEST);

	m.u.refuse.rid = rid;
	m.u.refuse.code = code;
	m.u.refuse.hold_ms = (uint64_t)hold;
	m.u.refuse.retry_ms =
		(uint64_t)CLAMP(retry, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
	side_count(s, s->refused_by_code, "side_refused", code);
	s->ops->send(s->ctx, rid.inc, &m);
}

/* Reports that no byte of the request has reached or will reach the engine. */
void side_not_run(side_t *s, rid_t rid, code_t code)
{
	msg_t m = { .type = MSG_NOT_RUN };

	m.u.not_run.rid = rid;
	m.u.not_run.code = code;
	side_count(s, s->ended_by_code, "side_ended", code);
	s->ops->send(s->ctx, rid.inc, &m);
}

/*
 * Returns a sidecar with an empty waiting list and an engine that is up but has
 * no version loaded. Strings of conf are copied.
 */
side_t *side_new(const side_conf_t *conf, const side_ops_t *ops, void *ctx,
		 counters_t *counters)
{
	side_t *s = g_new0(side_t, 1);

	s->conf = *conf;
	s->name = g_strdup(conf->name);
	s->service = g_strdup(conf->service);
	s->conf.name = s->name;
	s->conf.service = s->service;
	s->ops = ops;
	s->ctx = ctx;
	s->counters = counters;
	s->rand = g_rand_new_with_seed((guint32)conf->seed);
	s->jobs = g_hash_table_new(rid_hash, rid_equal);
	s->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	s->versions = g_strdup("");
	s->engine_up = true;
	list_init(&s->granted);
	list_init(&s->running);
	list_init(&s->ended);
	list_init(&s->not_run);
	wait_init(s);
	capacity_init(&s->capacity, conf);
	return s;
}

/* Frees the sidecar; sends nothing. */
void side_free(side_t *s)
{
	GList *jobs = g_hash_table_get_values(s->jobs);

	for (GList *l = jobs; l; l = l->next)
		job_free(s, l->data);
	g_list_free(jobs);
	wait_clear(s);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->peers);
	g_rand_free(s->rand);
	g_free(s->versions);
	g_free(s->name);
	g_free(s->service);
	g_free(s);
}

/* An entry has connected, for the first time or again. */
void side_entry_up(side_t *s, uint64_t inc, ms_t now)
{
	peer_t *p = peer_get(s, inc);

	p->up = true;
	p->down_at = now;
	p->conn++;
}

/* Stops sending answers to an entry that is disconnected. */
static void detach(list_t *jobs, uint64_t inc)
{
	for (list_t *l = jobs->next; l != jobs; l = l->next) {
		job_t *j = list_entry(l, job_t, link);

		if (j->rid.inc == inc)
			j->attached = false;
	}
}

/*
 * The connection to an entry is gone. Its offers are dropped, as it will repeat
 * them; grants stay until their lease lapses; answers are kept for resuming.
 */
void side_entry_down(side_t *s, uint64_t inc, ms_t now)
{
	peer_t *p = peer_get(s, inc);

	p->up = false;
	p->down_at = now;
	wait_drop_peer(s, inc);
	detach(&s->running, inc);
	detach(&s->ended, inc);
}

/* The entry withdraws an offer or a grant; a running request goes on. */
static void on_withdraw(side_t *s, rid_t rid, ms_t now)
{
	job_t *j = job_find(s, rid);

	if (!j || (j->state != JOB_WAITING && j->state != JOB_GRANTED))
		return;
	if (j->state == JOB_WAITING)
		speed_count_left(s, j->tier, j->work);
	if (j->void_grants)
		job_set_state(s, j, JOB_NOT_RUN, now);
	else
		job_free(s, j);
	grant_all(s, now);
}

static void on_ack(side_t *s, const msg_ack_t *m)
{
	job_t *j = job_find(s, m->rid);

	if (!j || (j->state != JOB_RUNNING && j->state != JOB_ENDED))
		return;
	answer_acked(&j->a, m->seq);
	if (j->state == JOB_ENDED && m->end)
		job_free(s, j);
}

/* Ends a request that is no longer in the table and may have run. */
static void send_end_forgotten(side_t *s, rid_t rid, code_t code)
{
	msg_t m = { .type = MSG_END };

	m.u.end.rid = rid;
	m.u.end.code = code;
	side_count(s, s->ended_by_code, "side_ended", code);
	s->ops->send(s->ctx, rid.inc, &m);
}

/*
 * Reports as not run a request that was never dispatched here. A body of it may
 * still be on its way, so every grant given so far is void for it.
 */
static void settle_not_run(side_t *s, rid_t rid, code_t code, ms_t now)
{
	job_t *j = job_find(s, rid);

	if (!j) {
		j = g_new0(job_t, 1);
		j->rid = rid;
		j->state = JOB_NOT_RUN;
		list_init(&j->link);
		list_init(&j->by_age);
		answer_init(&j->a);
		g_hash_table_insert(s->jobs, &j->rid, j);
	}
	j->void_grants = s->last_grant;
	job_set_state(s, j, JOB_NOT_RUN, now);
	side_not_run(s, rid, code);
	grant_all(s, now);
}

static void on_resume(side_t *s, const msg_resume_t *m, ms_t now)
{
	job_t *j = job_find(s, m->rid);

	if (j && (j->state == JOB_RUNNING || j->state == JOB_ENDED)) {
		j->attached = true;
		answer_resend(s, j, m->from);
	} else if (!j && peer_get(s, m->rid.inc)->forgotten_grants) {
		send_end_forgotten(s, m->rid, CODE_PATH_LOST);
	} else {
		settle_not_run(s, m->rid, CODE_NOT_SENT, now);
	}
}

static void on_cancel(side_t *s, rid_t rid, ms_t now)
{
	job_t *j = job_find(s, rid);

	if (j && j->state == JOB_RUNNING)
		run_cancel(s, j, CODE_CANCELLED, now);
	else if (j && j->state == JOB_ENDED)
		answer_end(s, j);
	else if (!j && peer_get(s, rid.inc)->forgotten_grants)
		send_end_forgotten(s, rid, CODE_CANCELLED);
	else
		settle_not_run(s, rid, CODE_CALLER_GONE, now);
}

static rid_t rid_of(const msg_t *m)
{
	switch (m->type) {
	case MSG_OFFER:
		return m->u.offer.rid;
	case MSG_WITHDRAW:
		return m->u.withdraw.rid;
	case MSG_BODY:
		return m->u.body.rid;
	case MSG_ACK:
		return m->u.ack.rid;
	case MSG_RESUME:
		return m->u.resume.rid;
	case MSG_CANCEL:
		return m->u.cancel.rid;
	default:
		return (rid_t){ 0, 0 };
	}
}

/* Handles a message of an entry; ignores other types and other entries' ids. */
void side_recv(side_t *s, uint64_t inc, const msg_t *m, ms_t now)
{
	if (rid_of(m).inc != inc)
		return;
	switch (m->type) {
	case MSG_OFFER:
		wait_offer(s, &m->u.offer, now);
		grant_all(s, now);
		break;
	case MSG_WITHDRAW:
		on_withdraw(s, m->u.withdraw.rid, now);
		break;
	case MSG_BODY:
		grant_body(s, &m->u.body, now);
		break;
	case MSG_ACK:
		on_ack(s, &m->u.ack);
		break;
	case MSG_RESUME:
		on_resume(s, &m->u.resume, now);
		break;
	case MSG_CANCEL:
		on_cancel(s, m->u.cancel.rid, now);
		break;
	default:
		break;
	}
}

/* Sets the versions that the engine has loaded, comma separated. */
void side_set_versions(side_t *s, const char *versions, ms_t now)
{
	if (!strcmp(s->versions, versions))
		return;
	g_free(s->versions);
	s->versions = g_strdup(versions);
	wait_refuse_unloaded(s, now);
	grant_all(s, now);
}

/* Sets the load that the engine reports: its requests running and queued. */
void side_set_load(side_t *s, uint64_t running, uint64_t queued, ms_t now)
{
	s->engine_queued = queued;
	gauge_get(s->counters, "engine_running", NULL)->value = running;
	gauge_get(s->counters, "engine_queued", NULL)->value = queued;
	grant_all(s, now);
}

/* Sets whether the engine accepts connections; while it does not, no grants. */
void side_set_engine_up(side_t *s, bool up, ms_t now)
{
	if (s->engine_up && !up)
		s->engine_down_at = now;
	s->engine_up = up;
	grant_all(s, now);
}

/* Grants nothing more and refuses the waiting requests. */
void side_drain(side_t *s, ms_t now)
{
	s->draining = true;
	wait_refuse_all(s, CODE_STOPPING, now);
}

/* Whether it is draining, with nothing in progress or unacknowledged. */
bool side_idle(const side_t *s)
{
	return s->draining && list_empty(&s->granted) &&
	       list_empty(&s->running) && list_empty(&s->ended);
}

static bool list_has_version(const list_t *jobs, const char *version)
{
	for (const list_t *l = jobs->next; l != jobs; l = l->next) {
		const job_t *j = list_entry(l, const job_t, link);

		if (j->version && strcmp(j->version, version) == 0)
			return true;
	}
	return false;
}

/* Tells whether a request of the version is granted or runs. */
bool side_version_in_use(const side_t *s, const char *version)
{
	return list_has_version(&s->granted, version) ||
	       list_has_version(&s->running, version);
}

/* Does the periodic work; to be called at least every 50 ms. */
void side_tick(side_t *s, ms_t now)
{
	grant_reclaim_lapsed(s, now);
	wait_tick(s, now);
	run_tick(s, now);
	capacity_tick(s, now);
	speed_tick(s, now);
	grant_all(s, now);
}

/* Fills in the state; its strings are valid until the next call on s. */
void side_get_state(const side_t *s, msg_state_t *out)
{
	memset(out, 0, sizeof(*out));
	out->service = str_of(s->service);
	out->versions = str_of(s->versions);
	if (s->speed.token_gap > 0)
		out->speed = (uint64_t)(1000 / s->speed.token_gap);
	out->limit = s->capacity.limit;
	out->used = s->capacity.used;
	out->waiting = wait_work(s, TIER_LOWEST);
	out->waiting_high = wait_work(s, 1);
	out->draining = s->draining;
}
