/*
 * Traffic shift to another version, on every host. The host applies the
 * decisions of the canary analysis (canary.c), sends the target its share of
 * the traffic, and counts the results of both versions. Without a decision the
 * target gets no traffic, so a host that has just started sends no caller to an
 * untested version.
 */
#include <inttypes.h>
#include <string.h>
#include "edge/priv.h"

enum {
	THOUSAND = 1000,
	CELL_BYTES = 512, /* length of a cell's name */
};

/* Counters of one route at one server, and their last reported values. */
typedef struct shift_cell {
	shift_side_t side;
	char *server;
	char *route;
	req_stats_t cell;
	req_stats_t reported;
} shift_cell_t;

static void cell_free(gpointer v)
{
	shift_cell_t *c = v;

	g_free(c->server);
	g_free(c->route);
	g_free(c);
}

/* Returns the name of a state in logs and records. */
const char *shift_state_name(shift_state_t state)
{
	static const char *const names[] = {
		[SHIFT_RUNNING] = "running",
		[SHIFT_DONE] = "done",
		[SHIFT_ROLLED_BACK] = "reversed",
	};

	return names[state];
}

/* Frees a traffic shift; s may be NULL. */
void shift_free(shift_t *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->cells);
	g_free(s->target);
	g_free(s);
}

/* Takes an order; ignores it if it is no newer than the known one. */
void edge_shift_order(edge_t *e, const shift_order_t *o)
{
	pool_t *p = pool_get(e, o->service);
	shift_t *s = p->shift;

	if (s && s->order >= o->number)
		return;
	shift_free(s);
	s = g_new0(shift_t, 1);
	s->order = o->number;
	s->target = g_strdup(o->target);
	s->cells = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 cell_free);
	p->shift = s;
	log_line(LOG_INFO, "move_ordered",
		 "service=%s target=%s order=%" PRIu64 " duration_ms=%lld",
		 o->service, o->target, o->number, (long long)o->duration);
}

/* The order in force was written again, and has this number from now on. */
void edge_shift_renumber(edge_t *e, const char *service, uint64_t number)
{
	shift_t *s = pool_get(e, service)->shift;

	if (!s)
		return;
	log_line(LOG_INFO, "move_renumbered",
		 "service=%s target=%s order=%" PRIu64 " before=%" PRIu64,
		 service, s->target, number, s->order);
	s->order = number;
	s->step.order = number;
}

/*
 * Applies a decision of the canary analysis. A final state of an order is never
 * left.
 */
void edge_shift_step(edge_t *e, const char *service, const shift_step_t *step)
{
	pool_t *p = pool_get(e, service);
	shift_t *s = p->shift;

	if (!s || s->order != step->order ||
	    (s->decided && s->step.state != SHIFT_RUNNING &&
	     s->step.state != step->state))
		return;
	if (!s->decided || s->step.share != step->share ||
	    s->step.state != step->state)
		log_line(LOG_INFO, "move_step",
			 "service=%s target=%s order=%" PRIu64
			 " state=%s share=%u age_ms=%lld",
			 service, s->target, s->order,
			 shift_state_name(step->state), step->share,
			 (long long)step->age);
	if (!s->decided || s->step.share != step->share) {
		s->target_due = 0;
		s->target_given = 0;
	}
	s->decided = true;
	s->step = *step;
}

static bool is_target(const backend_t *b)
{
	return strcmp(b->version, b->pool->shift->target) == 0;
}

/* Whether a side has a server, or a usable one if usable is set. */
static bool has_server(const pool_t *p, shift_side_t side, bool usable,
		       ms_t now)
{
	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		if (is_target(b) == (side == SHIFT_TARGET) &&
		    (!usable || (b->chosen && health_usable(b, now))))
			return true;
	}
	return false;
}

/*
 * Assigns a new request to a side, by error diffusion: the target gets at most
 * one request more than its share of all so far.
 */
shift_side_t shift_pick(edge_t *e, pool_t *p, const request_t *r)
{
	shift_t *s = p->shift;

	if (!s || !s->decided || s->step.state != SHIFT_RUNNING)
		return SHIFT_OLD;
	s->target_due += (double)s->step.share / THOUSAND;
	if (s->target_due < s->target_given + g_rand_double(e->rand))
		return SHIFT_OLD;
	s->target_given++;
	return SHIFT_TARGET;
}

/* A retry is of the old side, whichever the first attempt was. */
static shift_side_t side_of(const request_t *r)
{
	return r->state == REQUEST_RUNNING ? SHIFT_OLD : r->side;
}

/*
 * Whether a request may go to a server, by the server's version. Old versions
 * serve in place of a target without a usable server. The target serves in
 * place of the old versions only after the rollout is done, or if no server of
 * an old version is left.
 */
bool shift_allows(const request_t *r, const backend_t *b, ms_t now)
{
	const pool_t *p = b->pool;
	const shift_t *s = p->shift;

	if (!s)
		return true;
	if (s->decided && s->step.state == SHIFT_ROLLED_BACK)
		return !is_target(b);
	if (s->decided && s->step.state == SHIFT_DONE)
		return is_target(b) || !has_server(p, SHIFT_TARGET, true, now);
	if (is_target(b))
		return s->decided && (side_of(r) == SHIFT_TARGET ||
				      !has_server(p, SHIFT_OLD, false, now));
	return side_of(r) == SHIFT_OLD ||
	       !has_server(p, SHIFT_TARGET, true, now);
}

static shift_cell_t *cell_get(shift_t *s, const request_t *r)
{
	const backend_t *b = r->server;
	bool target = is_target(b);
	char *key =
		g_strdup_printf("%s/%s", target ? b->id : "", r->route->name);
	shift_cell_t *c = g_hash_table_lookup(s->cells, key);

	if (c) {
		g_free(key);
		return c;
	}
	c = g_new0(shift_cell_t, 1);
	c->side = target ? SHIFT_TARGET : SHIFT_OLD;
	c->server = g_strdup(target ? b->id : "");
	c->route = g_strdup(r->route->name);
	g_hash_table_insert(s->cells, key, c);
	return c;
}

/* Counts the result of an attempt for the version that ran it. */
void shift_count(const request_t *r, attempt_result_t how)
{
	shift_t *s = r->pool->shift;
	double first = -1;
	double gap = 0;

	if (!s || how == ATTEMPT_REJECTED || how == ATTEMPT_NOT_SENT ||
	    how == ATTEMPT_WRONG_SERVER)
		return;
	if (r->responded)
		first = (double)(r->first_at - r->sent_at);
	if (r->events > 0)
		gap = (double)(r->last_event_at - r->first_at) / r->events;
	req_stats_add(&cell_get(s, r)->cell, how != ATTEMPT_ANSWERED, first,
		      gap, (uint64_t)r->prompt);
}

typedef void report_fn_t(void *ctx, const char *service, uint64_t order,
			 const char *cell, uint64_t value);

static void report_cell(const pool_t *p, shift_cell_t *c, bool all,
			report_fn_t *fn, void *ctx)
{
	char name[CELL_BYTES];

	for (int k = 0; k < METRICS; k++) {
		uint64_t value = c->cell.v[k];

		if (value == (all ? 0 : c->reported.v[k]))
			continue;
		c->reported.v[k] = value;
		g_snprintf(name, sizeof(name), SHIFT_CELL, (int)c->side, k,
			   c->server, c->route);
		fn(ctx, p->name, p->shift->order, name, value);
	}
}

static void report_running(const pool_t *p, bool all, report_fn_t *fn,
			   void *ctx)
{
	shift_t *s = p->shift;
	uint64_t n = 0;

	for (list_t *l = p->servers.next; l != &p->servers; l = l->next) {
		const backend_t *b = list_entry(l, backend_t, link);

		n += is_target(b) ? 0 : b->running;
	}
	if (n == s->reported_running && !all)
		return;
	s->reported_running = n;
	fn(ctx, p->name, s->order, SHIFT_CELL_RUNNING, n);
}

/*
 * Reports the counters that changed since the last call, or with all set every
 * counter, as for a host that takes over the analysis. Rollouts that have ended
 * are skipped.
 */
void edge_shift_report(edge_t *e, report_fn_t *fn, bool all, void *ctx)
{
	GHashTableIter it;
	GHashTableIter cells;
	gpointer v;
	gpointer c;

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const pool_t *p = v;
		const shift_t *s = p->shift;

		if (!s || (s->decided && s->step.state != SHIFT_RUNNING))
			continue;
		g_hash_table_iter_init(&cells, s->cells);
		while (g_hash_table_iter_next(&cells, NULL, &c))
			report_cell(p, c, all, fn, ctx);
		report_running(p, all, fn, ctx);
	}
}
