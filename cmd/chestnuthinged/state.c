/*
 * The shared state as this process knows it: the active configuration, facts
 * and rollouts. It comes from the log and from peers, and before either from
 * the intent file.
 */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

enum {
	LOG_WAIT = 1500, /* ms after the start that the log is waited for */
};

struct state {
	daemon_t *d;
	intent_t *file; /* in force until the first revision */
	char *file_text;
	facts_t *facts;
	moves_t *moves;
	ledger_t *ledger;
	const intent_t *intent; /* in force: the file's or the revision's */
	ms_t started;
	bool caught_up; /* the config stream was read to its end once */
	counter_t *offset_gauge;
};

/* Gives every part the intent in force. */
static void apply(state_t *st)
{
	if (!st->intent)
		return;
	moves_set_intent(st->moves, st->intent, state_offset(st),
			 ledger_results(st->ledger), clock_now(), clock_unix());
	if (st->d->entry)
		entryd_intent(st->d->entry, st->intent);
	if (st->d->plat)
		plat_intent(st->d->plat, st->intent);
}

static void on_accepted(void *ctx, const revision_t *r)
{
	state_t *st = ctx;

	st->intent = r->intent;
	st->offset_gauge->value = r->offset;
	facts_raise(st->facts, CONFIG_FACT, r->offset);
	log_line(LOG_INFO, "revision", "offset=%" PRIu64, r->offset);
	apply(st);
}

static void on_result(void *ctx, const move_result_t *r)
{
	state_t *st = ctx;

	log_line(LOG_INFO, "move-result", "service=%s version=%s state=%s %s",
		 r->service, r->version,
		 r->state == MOVE_DONE ? "done" : "reversed",
		 r->evidence ? r->evidence : "");
	apply(st);
}

/* Drain records from before the start were for an earlier process. */
static void on_drain(void *ctx, const char *host, uint64_t offset)
{
	state_t *st = ctx;

	if (!st->caught_up || strcmp(host, st->d->set->name) != 0)
		return;
	log_line(LOG_INFO, "drain", "offset=%" PRIu64, offset);
	daemon_stop(st->d);
}

static void on_rollout_ended(void *ctx, const move_result_t *r)
{
	state_t *st = ctx;
	char *record;

	if (!st->d->plat)
		return;
	record = result_record(r);
	plat_append_config(st->d->plat, record);
	g_free(record);
}

/* Loads the intent file, in force until the log has a revision. */
static bool load_intent_file(state_t *st, GError **err)
{
	const char *path = st->d->set->intent_file;

	if (!path)
		return true;
	if (!g_file_get_contents(path, &st->file_text, NULL, err))
		return false;
	st->file = intent_parse(st->file_text, path, err);
	st->intent = st->file;
	return st->file != NULL;
}

/* Makes the state; NULL and err when the intent file is not valid. */
state_t *state_new(daemon_t *d, GError **err)
{
	static const moves_ops_t moves_ops = { on_rollout_ended };
	static const ledger_ops_t ledger_ops = { .accepted = on_accepted,
						 .result = on_result,
						 .drain = on_drain };
	state_t *st = g_new0(state_t, 1);

	st->d = d;
	st->started = clock_now();
	st->facts = facts_new();
	st->moves = moves_new(st->facts, d->inc, &moves_ops, st);
	st->ledger = ledger_new(&ledger_ops, st);
	st->offset_gauge =
		gauge_get(d->counters, "chestnuthinge_revision_offset", "");
	if (load_intent_file(st, err))
		return st;
	state_free(st);
	return NULL;
}

/* Gives the first intent to the other parts, once they are made. */
void state_start(state_t *st)
{
	apply(st);
}

/* Frees the state. */
void state_free(state_t *st)
{
	ledger_free(st->ledger);
	moves_free(st->moves);
	facts_free(st->facts);
	if (st->file)
		intent_free(st->file);
	g_free(st->file_text);
	g_free(st);
}

/*
 * Returns the intent in force; NULL if there is none. Also NULL for LOG_WAIT ms
 * after the start unless the log was read to its end, so that the process does
 * not serve an older intent than others have.
 */
const intent_t *state_intent(const state_t *st)
{
	if (!st->caught_up && clock_now() - st->started < LOG_WAIT)
		return NULL;
	return st->intent;
}

/* Returns the latest intent known, also while the log is waited for. */
const intent_t *state_latest(const state_t *st)
{
	return st->intent;
}

/* Returns the log offset of the accepted revision; 0 before the first. */
uint64_t state_offset(const state_t *st)
{
	return ledger_revision(st->ledger)->offset;
}

/* Returns the text of the intent in force, empty before the first. */
const char *state_text(const state_t *st)
{
	const revision_t *r = ledger_revision(st->ledger);

	if (r->offset > 0)
		return r->text;
	return st->file_text ? st->file_text : "";
}

/* Returns the ledger. */
ledger_t *state_ledger(state_t *st)
{
	return st->ledger;
}

/* Returns the facts. */
facts_t *state_facts(state_t *st)
{
	return st->facts;
}

/* The config stream was read to its end. */
void state_caught_up(state_t *st)
{
	if (!st->caught_up)
		log_line(LOG_INFO, "config-read", "offset=%" PRIu64,
			 state_offset(st));
	st->caught_up = true;
}

/* Returns the versions that a backend server of the service should load. */
GPtrArray *state_wanted_versions(const state_t *st, const char *service)
{
	return moves_versions_to_load(st->intent, service,
				      ledger_results(st->ledger));
}

/* Chooses the version for the next request; NULL: none is known. */
const char *state_pick_version(state_t *st, const char *service, ms_t now)
{
	return moves_pick(st->moves, service, now);
}

/* Chooses another version when no live server has the picked one. */
const char *state_fallback_version(state_t *st, const char *service,
				   const char *picked)
{
	return moves_fallback(st->moves, service, picked);
}

/* Returns whether canary analysis found the version bad. */
bool state_is_bad(state_t *st, const char *service, const char *version)
{
	return moves_is_bad(st->moves, service, version);
}

/* Adds the result of a request to its version's samples. */
void state_add_sample(state_t *st, const sample_t *s, ms_t now)
{
	moves_add_sample(st->moves, s, now);
}

/* Runs canary analysis; on entries only, as they see the requests' results. */
void state_tick(state_t *st, ms_t now)
{
	if (st->d->entry)
		moves_tick(st->moves, now);
}

/* Appends the revision and the rollouts to out, a line each. */
void state_print(const state_t *st, GString *out)
{
	g_string_append_printf(
		out,
		"revision offset=%" PRIu64 " conf_seen=%" PRIu64
		" facts=%zu results=%u\n",
		state_offset(st), facts_get(st->facts, CONFIG_FACT),
		facts_len(st->facts), ledger_results(st->ledger)->len);
	moves_print(st->moves, out);
}
