/*
 * Joins the judge of moves to the store. A decision is written only where the
 * topic ends as the judge has read it, so two judges can't both decide; it
 * counts, on the judge's own host too, once it is read back. The status that
 * the operator reads bears the decision's number as its epoch: a late write
 * of an earlier decision is refused by the store.
 */
#include <string.h>
#include "moved.h"
#include "net/fns.h"

enum {
	RETRY_MOST_MS = 500,   /* a bad version is taken back within seconds */
	MOVES_WAIT_MS = 10000, /* the store answers at once when there is a
				  decision */
};

/* The newest decision on a service's move, and what was done about it. */
typedef struct decision {
	char *service;
	char *target; /* NULL before its order is known */
	shift_step_t step;
	uint64_t number;	/* of its record */
	bool known;		/* there is a decision */
	bool status_written;	/* the operator has it */
	bool status_flying;	/* a status is being written, */
	uint64_t status_number; /* of this decision */
	bool telling;		/* a record that it is told is being written */
} decision_t;

struct moved {
	uv_loop_t *loop;
	follow_conf_t conf;
	edge_t *edge;
	append_t *append;
	canary_t *judge;
	counters_t *counters;
	follow_t *follow;      /* NULL before the first order */
	GHashTable *decisions; /* decision_t by service */
	bool judging;
};

static void decision_free(gpointer v)
{
	decision_t *d = v;

	g_free(d->service);
	g_free(d->target);
	g_free(d);
}

static decision_t *decision_get(moved_t *m, const char *service)
{
	decision_t *d = g_hash_table_lookup(m->decisions, service);

	if (d)
		return d;
	d = g_new0(decision_t, 1);
	d->service = g_strdup(service);
	g_hash_table_insert(m->decisions, d->service, d);
	return d;
}

/* Only called while the topic is known (moved_tick). */
static void put_step(moved_t *m, const char *service, const shift_step_t *s)
{
	append_if_t cond = { 0 };
	char *text = shift_step_format(s);

	follow_end(m->follow, &cond.at);
	append_put(m->append, adapter_topic_moves(), service, text, &cond);
	g_free(text);
}

static void on_decided(void *ctx, const char *service, const shift_step_t *s)
{
	put_step(ctx, service, s);
}

static const canary_ops_t judge_ops = { on_decided };

static void apply(moved_t *m, const decision_t *d)
{
	ms_t now = clock_now();

	edge_shift_step(m->edge, d->service, &d->step);
	canary_step(m->judge, d->service, &d->step, now);
}

static void on_record(void *ctx, str_t key, str_t value, uint64_t number)
{
	moved_t *m = ctx;
	shift_step_t step;
	char *service;
	decision_t *d;

	if (value.n == 0)
		return;
	if (shift_step_parse(value, &step)) {
		log_line(LOG_WARN, "record_bad", "topic=moves key=%.*s",
			 (int)key.n, key.p);
		return;
	}
	service = str_dup(key);
	d = decision_get(m, service);
	g_free(service);
	d->step = step;
	d->number = number;
	d->known = true;
	d->status_written = false;
	d->telling = false;
	apply(m, d);
}

static void ignore(void *ctx)
{
	(void)ctx;
}

static void ignore_reachable(void *ctx, bool yes)
{
	(void)ctx;
	(void)yes;
}

static const follow_ops_t follow_ops = { on_record, ignore, ignore,
					 ignore_reachable };

/* Makes the table of moves. Nothing is read before the first order. */
moved_t *moved_new(uv_loop_t *loop, const addr_t *store, edge_t *edge,
		   append_t *append, double canary_share, counters_t *counters)
{
	moved_t *m = g_new0(moved_t, 1);

	m->loop = loop;
	m->conf = (follow_conf_t){ .store = *store,
				   .topic = adapter_topic_moves(),
				   .wait = MOVES_WAIT_MS,
				   .retry_most = RETRY_MOST_MS };
	m->edge = edge;
	m->append = append;
	m->counters = counters;
	m->judge = canary_new(&judge_ops, m, canary_share);
	m->decisions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     decision_free);
	return m;
}

/* Takes an order. Returns false, and why, when it can't be read. */
bool moved_order(moved_t *m, str_t key, str_t text, uint64_t number,
		 const char **why)
{
	ms_t now = clock_now();
	shift_order_t o;
	decision_t *d;
	void *doc;

	if (adapter_move(key, text, number, &o, &doc, why))
		return false;
	edge_shift_order(m->edge, &o);
	canary_order(m->judge, &o, now);
	d = decision_get(m, o.service);
	g_free(d->target);
	d->target = g_strdup(o.target);
	if (d->known)
		apply(m, d);
	if (!m->follow)
		m->follow = follow_new(m->loop, &m->conf, &follow_ops, m,
				       m->counters);
	adapter_move_clear(doc);
	return true;
}

/* What a host counted; hosts tell it to the judge only. */
void moved_told(moved_t *m, uint64_t host, const char *service, uint64_t order,
		const char *cell, uint64_t value)
{
	canary_report(m->judge, host, service, order, cell, value);
}

/* A host is gone. */
void moved_host_gone(moved_t *m, uint64_t host)
{
	canary_host_gone(m->judge, host);
}

/* A status that was overtaken is written too, by a later judge. */
static void status_done(decision_t *d)
{
	d->status_flying = false;
	d->status_written = d->status_number == d->number;
}

/* The store has answered for a record that was written for a move. */
void moved_written(moved_t *m, const char *topic, const char *key,
		   append_end_t end)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, m->decisions);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		decision_t *d = v;
		char *status = adapter_status_key(d->service);

		if (strcmp(topic, adapter_topic_status()) == 0 &&
		    strcmp(key, status) == 0) {
			status_done(d);
		} else if (strcmp(topic, adapter_topic_moves()) == 0 &&
			   strcmp(key, d->service) == 0 &&
			   end != APPEND_WRITTEN) {
			d->telling = false;
			canary_step_refused(m->judge, d->service);
		}
		g_free(status);
	}
}

static void put_status(moved_t *m, decision_t *d)
{
	char *producer = g_strconcat("move-", d->service, NULL);
	append_if_t cond = { .producer = producer, .epoch = d->number + 1 };
	char *key = adapter_status_key(d->service);
	char *text = adapter_status(d->target, d->step.state);

	log_line(LOG_INFO, "move_status", "service=%s target=%s state=%s",
		 d->service, d->target, shift_state_name(d->step.state));
	append_put(m->append, adapter_topic_status(), key, text, &cond);
	d->status_flying = true;
	d->status_number = d->number;
	g_free(producer);
	g_free(key);
	g_free(text);
}

/* The operator is told of each decision, and that is kept of the last one. */
static void tell(moved_t *m, decision_t *d)
{
	shift_step_t step = d->step;

	if (!d->known || !d->target || step.reported)
		return;
	if (!d->status_written && !d->status_flying)
		put_status(m, d);
	if (!d->status_written || step.state == SHIFT_RUNNING || d->telling)
		return;
	step.reported = true;
	d->telling = true;
	put_step(m, d->service, &step);
}

/* Judges, if this host is the one to, and has what others decided told. */
void moved_tick(moved_t *m, bool judging, ms_t now)
{
	GHashTableIter it;
	gpointer v;
	uint64_t end;

	if (!m->follow)
		return;
	follow_tick(m->follow, now);
	if (judging != m->judging)
		log_line(LOG_INFO, "move_judge", "judging=%d", judging);
	m->judging = judging;
	if (!judging || !follow_end(m->follow, &end))
		return;
	canary_tick(m->judge, now);
	g_hash_table_iter_init(&it, m->decisions);
	while (g_hash_table_iter_next(&it, NULL, &v))
		tell(m, v);
}

/* Takes a new most for a version on trial. */
void moved_canary(moved_t *m, double share)
{
	canary_set_share(m->judge, share);
}

/* Frees the table. */
void moved_free(moved_t *m)
{
	if (m->follow)
		follow_free(m->follow);
	canary_free(m->judge);
	g_hash_table_destroy(m->decisions);
	g_free(m);
}
