/* The invariants that a run must keep, checked over its history. */
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"

typedef void (*check_fn_t)(const history_t *h, verdict_t *v);
typedef void (*event_fn_t)(const history_t *h, const event_t *e, verdict_t *v);

/* Notes a violation. */
static void G_GNUC_PRINTF(2, 3) violation(verdict_t *v, const char *fmt, ...)
{
	va_list args;
	v->violations++;
	va_start(args, fmt);
	g_string_append_printf(v->detail, "%s: ", v->name);
	g_string_append_vprintf(v->detail, fmt, args);
	g_string_append_c(v->detail, '\n');
	va_end(args);
}

/* Calls fn for each event of that name, and counts them. */
static void each(const history_t *h, const char *name, event_fn_t fn,
		 verdict_t *v)
{
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *e = h->events->pdata[i];
		if (strcmp(e->name, name) != 0)
			continue;
		fn(h, e, v);
	}
}

/* Tells whether a field has this text. */
static bool is(const event_t *e, const char *key, const char *text)
{
	return strcmp(event_field(e, key), text) == 0;
}

/* Returns the dispatches of a request, NULL when there are none. */
static const GPtrArray *dispatched(const history_t *h, const char *id)
{
	return g_hash_table_lookup(h->dispatches, id);
}

/* A request is dispatched to a backend server at most once. */
static void dispatch_once(const history_t *h, verdict_t *v)
{
	GHashTableIter it;
	gpointer id;
	gpointer all;
	g_hash_table_iter_init(&it, h->dispatches);
	while (g_hash_table_iter_next(&it, &id, &all)) {
		guint n = ((GPtrArray *)all)->len;
		v->histories++;
		if (n > 1)
			violation(v, "id=%s dispatched %u times", (char *)id,
				  n);
	}
}

/*
 * An answer that looks whole to a client is the request's own whole answer.
 * One that visibly broke off is cut_has_cause's.
 */
static void one_answer(const history_t *h, const event_t *e, verdict_t *v)
{
	(void)h;
	if (!is(e, "status", "200") || !is(e, "whole", "1"))
		return;
	v->histories++;
	if (!is(e, "outcome", "answered") || !is(e, "valid", "1"))
		violation(v, "n=%s id=%s whole=%s valid=%s",
			  event_field(e, "n"), event_field(e, "id"),
			  event_field(e, "whole"), event_field(e, "valid"));
}

/* Checks all answers. */
static void own_whole_answer(const history_t *h, verdict_t *v)
{
	each(h, "request", one_answer, v);
}

/* Tells whether a script crashed the request's server or its entry. */
static bool has_cause(const history_t *h, const event_t *e)
{
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *c = h->events->pdata[i];
		const char *name = event_field(c, "name");
		const char *entry = event_field(c, "entry");
		if (strcmp(c->name, "crash") != 0)
			continue;
		if ((name[0] != '\0' && is(e, "server", name)) ||
		    (entry[0] != '\0' && is(e, "entry", entry)))
			return true;
	}
	return false;
}

/*
 * A request whose answer broke off, whose outcome is unknown, or which got no
 * answer at all has a crashed server or entry as its cause.
 */
static void one_cut(const history_t *h, const event_t *e, verdict_t *v)
{
	bool refused = is(e, "outcome", "not-run");
	bool answered = is(e, "outcome", "answered");
	v->histories++;
	if (refused || (answered && is(e, "whole", "1")) || has_cause(h, e))
		return;
	violation(v, "n=%s id=%s server=%s outcome=%s whole=%s",
		  event_field(e, "n"), event_field(e, "id"),
		  event_field(e, "server"), event_field(e, "outcome"),
		  event_field(e, "whole"));
}

/* Checks all requests. */
static void cut_has_cause(const history_t *h, verdict_t *v)
{
	each(h, "request", one_cut, v);
}

/* A refusal that says not-run was not dispatched. */
static void one_refusal(const history_t *h, const event_t *e, verdict_t *v)
{
	if (!is(e, "outcome", "not-run"))
		return;
	v->histories++;
	if (dispatched(h, event_field(e, "id")) != NULL)
		violation(v, "n=%s id=%s says not-run, was dispatched",
			  event_field(e, "n"), event_field(e, "id"));
}

/* Checks all refusals. */
static void not_run_true(const history_t *h, verdict_t *v)
{
	each(h, "request", one_refusal, v);
}

/* An Idempotency-Key runs at most once. */
static void key_once(const history_t *h, verdict_t *v)
{
	GHashTable *runs = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *e = h->events->pdata[i];
		const char *key = event_field(e, "key");
		if (strcmp(e->name, "dispatch") != 0 || key[0] == '\0' ||
		    strcmp(key, "-") == 0)
			continue;
		if (g_hash_table_add(runs, (gpointer)key))
			v->histories++;
		else
			violation(v, "key=%s ran again as id=%s", key,
				  event_field(e, "id"));
	}
	g_hash_table_destroy(runs);
}

/* Tells whether request low was waiting at t and ran later. */
static bool ran_after(const history_t *h, const event_t *low, long t)
{
	const GPtrArray *all = dispatched(h, event_field(low, "id"));
	if (all == NULL || event_long(low, "start", 0) >= t)
		return false;
	const event_t *d = all->pdata[0];
	return event_long(d, "t", 0) > t + DECISION_WINDOW_MS;
}

/* When a request is shed, nothing lower that waits then runs afterwards. */
static void one_shed(const history_t *h, const event_t *e, verdict_t *v)
{
	long tier = event_long(e, "tier", 0);
	long t = event_long(e, "end", 0);
	if (!is(e, "code", "206"))
		return;
	v->histories++;
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *low = h->events->pdata[i];
		if (strcmp(low->name, "request") != 0 ||
		    !is(low, "service", event_field(e, "service")) ||
		    event_long(low, "tier", 0) <= tier || !ran_after(h, low, t))
			continue;
		violation(v, "n=%s tier %ld shed, n=%s tier %s ran later",
			  event_field(e, "n"), tier, event_field(low, "n"),
			  event_field(low, "tier"));
		return;
	}
}

/* Checks all requests that were shed. */
static void tier_order(const history_t *h, verdict_t *v)
{
	each(h, "request", one_shed, v);
}

/* After a version was found bad, nothing is sent to it. */
static void one_bad_version(const history_t *h, const event_t *e, verdict_t *v)
{
	long t = event_long(e, "t", 0) + DECISION_WINDOW_MS;
	v->histories++;
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *d = h->events->pdata[i];
		if (strcmp(d->name, "dispatch") == 0 &&
		    is(d, "version", event_field(e, "version")) &&
		    event_long(d, "t", 0) > t)
			violation(v, "version=%s served id=%s after",
				  event_field(e, "version"),
				  event_field(d, "id"));
	}
}

/* Checks the versions that a script saw found bad: "bad version=V". */
static void bad_version_stops(const history_t *h, verdict_t *v)
{
	each(h, "bad", one_bad_version, v);
}

/* Orders offsets seen by process, then by time. */
static gint by_process_and_time(gconstpointer a, gconstpointer b)
{
	const event_t *x = *(event_t *const *)a;
	const event_t *y = *(event_t *const *)b;
	int c = strcmp(event_field(x, "process"), event_field(y, "process"));
	long d = event_long(x, "t", 0) - event_long(y, "t", 0);
	if (c != 0)
		return c;
	return (d > 0) - (d < 0);
}

/* The offset in force never goes back: "offset process=P value=N". */
static void offset_forward(const history_t *h, verdict_t *v)
{
	GPtrArray *seen = g_ptr_array_new();
	for (guint i = 0; i < h->events->len; i++) {
		event_t *e = h->events->pdata[i];
		if (strcmp(e->name, "offset") == 0)
			g_ptr_array_add(seen, e);
	}
	g_ptr_array_sort(seen, by_process_and_time);
	for (guint i = 0; i < seen->len; i++) {
		const event_t *e = seen->pdata[i];
		const event_t *before = i > 0 ? seen->pdata[i - 1] : NULL;
		v->histories++;
		if (before != NULL &&
		    is(e, "process", event_field(before, "process")) &&
		    event_long(e, "value", 0) < event_long(before, "value", 0))
			violation(v, "process=%s from %s to %s",
				  event_field(e, "process"),
				  event_field(before, "value"),
				  event_field(e, "value"));
	}
	g_ptr_array_free(seen, TRUE);
}

/* A leaving server gets nothing after a few seconds. */
static void one_leaving(const history_t *h, const event_t *e, verdict_t *v)
{
	long t = event_long(e, "t", 0) + LEAVING_WINDOW_MS;
	v->histories++;
	for (guint i = 0; i < h->events->len; i++) {
		const event_t *d = h->events->pdata[i];
		if (strcmp(d->name, "dispatch") == 0 &&
		    is(d, "server", event_field(e, "server")) &&
		    event_long(d, "t", 0) > t)
			violation(v, "server=%s got id=%s",
				  event_field(e, "server"),
				  event_field(d, "id"));
	}
}

/* Checks the servers that a script made leave: "leaving server=S". */
static void leaving_idle(const history_t *h, verdict_t *v)
{
	each(h, "leaving", one_leaving, v);
}

/* Checks every invariant; out gets one verdict each. */
void invariants_check(const history_t *h, verdict_t out[INVARIANT_COUNT])
{
	static const struct {
		const char *name;
		check_fn_t fn;
	} checks[INVARIANT_COUNT] = {
		{ "dispatch-once", dispatch_once },
		{ "own-whole-answer", own_whole_answer },
		{ "cut-has-cause", cut_has_cause },
		{ "not-run-true", not_run_true },
		{ "key-once", key_once },
		{ "tier-order", tier_order },
		{ "bad-version-stops", bad_version_stops },
		{ "offset-forward", offset_forward },
		{ "leaving-idle", leaving_idle },
	};
	for (size_t i = 0; i < INVARIANT_COUNT; i++) {
		out[i] = (verdict_t){ .name = checks[i].name };
		out[i].detail = g_string_new(NULL);
		checks[i].fn(h, &out[i]);
	}
}

/* Frees the texts of verdicts. */
void verdicts_clear(verdict_t v[INVARIANT_COUNT])
{
	for (size_t i = 0; i < INVARIANT_COUNT; i++)
		g_string_free(v[i].detail, TRUE);
}
