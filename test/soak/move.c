/*
 * Orders to move the plain servers to another version, good or bad, and what
 * must hold of them: the status that the operator reads ends, is not the end of
 * an order before it, never changes once it is final, and a version that was
 * taken back gets nothing more.
 */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	DURATION_S = 6,	    /* of an order */
	REVERSED_MS = 2000, /* after which nothing runs on the target */
};

static const double bad_share = 0.6; /* of a bad target's answers */

/* A small fleet has no server of the target version, so no move can end. */
static bool has_target(const soak_t *s)
{
	for (unsigned int i = 0; i < s->nservers; i++) {
		if (s->servers[i].target)
			return true;
	}
	return false;
}

static void put_order(soak_t *s)
{
	move_s_t *m = &s->move;
	char *text;

	m->orders++;
	m->before = m->decided;
	m->bad = g_rand_boolean(s->faults);
	m->ended = false;
	m->reversed_at = 0;
	text = g_strdup_printf("{\"service\":\"desk\",\"target\":\"v2\","
			       "\"duration_s\":%d}",
			       DURATION_S);
	soak_note(s, "move %u, bad=%d", m->orders, m->bad);
	store_put(&s->store, "keyed.op", "rollout/desk", text);
	g_free(text);
}

/* Orders a move, once the last one is over. */
void move_order(soak_t *s)
{
	if (has_target(s) && (s->move.orders == 0 || s->move.ended))
		put_order(s);
}

/*
 * Takes a decision that was written. When orders replace one another, the next
 * one comes before the status of this one's end, and all daemons are killed.
 */
void move_decided(soak_t *s, const char *text)
{
	shift_step_t step;

	if (shift_step_parse(str_of(text), &step)) {
		violation(s, "status", "decision \"%s\" can't be read", text);
		return;
	}
	s->move.decided = MAX(s->move.decided, step.order);
	if (!s->replaces || step.state == SHIFT_RUNNING || step.reported ||
	    clock_now() >= s->faults_end)
		return;
	put_order(s);
	fault_kill_all(s);
}

/* Takes what was written as the status. */
void move_status(soak_t *s, const char *text)
{
	move_s_t *m = &s->move;
	json_t *o = json_loads(text, 0, NULL);
	const char *state = json_string_value(json_object_get(o, "state"));
	bool final = state && strcmp(state, "running") != 0;

	soak_note(s, "move %u: %s", m->orders, state ? state : "unreadable");
	if (!state)
		violation(s, "status", "\"%s\" can't be read", text);
	else if (m->ended && m->bad && strcmp(state, "succeeded") == 0)
		violation(s, "status", "a bad version succeeded");
	else if (m->ended && !final)
		violation(s, "status", "%s after the end", state);
	else if (final && m->decided <= m->before)
		violation(s, "status", "%s before any decision", state);
	else if (final && strcmp(state, "rolled_back") == 0 && !m->reversed_at)
		m->reversed_at = clock_now();
	m->ended = m->ended || final;
	json_decref(o);
}

/* Whether an answer of the server is spoiled by its version. */
bool move_fails(const server_t *v)
{
	const move_s_t *m = &v->s->move;

	return v->target && m->bad && m->orders > 0 &&
	       g_rand_double(v->s->faults) < bad_share;
}

/* A request runs at the server. */
void move_ran(const server_t *v)
{
	const move_s_t *m = &v->s->move;
	ms_t now = clock_now();

	if (v->target && m->reversed_at && now > v->s->calm_at &&
	    now - m->reversed_at > REVERSED_MS)
		violation(v->s, "exposure", "%s runs a version taken back",
			  v->id);
}

/* By the end every order has its final status. */
void move_judge_end(soak_t *s)
{
	if (s->move.orders > 0 && !s->move.ended)
		violation(s, "status", "order %u has no end", s->move.orders);
}
