/* The configuration in force, and what is known of versions. */
#include <string.h>
#include "fns.h"

struct state {
	daemon_t *d;
	intent_t *intent;
	char *text;
	uint64_t offset;
};

/* Reads the intent that is in force until the log has one. */
static bool load_first(state_t *st, GError **err)
{
	const char *path = st->d->set->intent_file;

	if (!path)
		return true;
	if (!g_file_get_contents(path, &st->text, NULL, err))
		return false;
	st->intent = intent_parse(st->text, path, err);
	return st->intent != NULL;
}

/* Returns the state at start; NULL when the intent file is not good. */
state_t *state_new(daemon_t *d, GError **err)
{
	state_t *st = g_new0(state_t, 1);

	st->d = d;
	if (!load_first(st, err)) {
		state_free(st);
		return NULL;
	}
	return st;
}

/* Frees the state. */
void state_free(state_t *st)
{
	if (st->intent)
		intent_free(st->intent);
	g_free(st->text);
	g_free(st);
}

/* Returns the intent in force, or NULL. */
const intent_t *state_intent(const state_t *st)
{
	return st->intent;
}

/* Returns the log offset of the accepted revision; 0 before the first. */
uint64_t state_offset(const state_t *st)
{
	return st->offset;
}

/* Returns the text of the intent in force, empty before the first. */
const char *state_text(const state_t *st)
{
	return st->text ? st->text : "";
}

/* Chooses the version for the next request; NULL: none is known. */
const char *state_pick(state_t *st, const char *service, ms_t now)
{
	(void)now;
	for (guint i = 0; st->intent && i < st->intent->versions->len; i++) {
		const version_t *v = st->intent->versions->pdata[i];

		if (strcmp(v->service, service) == 0)
			return v->name;
	}
	return NULL;
}

/* Chooses another version when no live server has the picked one. */
const char *state_fallback(state_t *st, const char *service, const char *picked)
{
	(void)st;
	(void)service;
	(void)picked;
	return NULL;
}

/* Tells whether the version was found bad. */
bool state_is_bad(state_t *st, const char *service, const char *version)
{
	(void)st;
	(void)service;
	(void)version;
	return false;
}

/* Notes how a request of a version went. */
void state_note(state_t *st, const sample_t *s, ms_t now)
{
	(void)st;
	(void)s;
	(void)now;
}

/* Claims an idempotency key for a request. */
void state_claim(state_t *st, rid_t rid, const char *customer, const char *key)
{
	(void)customer;
	(void)key;
	entryd_claimed(st->d->entry, rid, CODE_NO_CLAIM, clock_now());
}

/* Runs what depends on time. */
void state_tick(state_t *st, ms_t now)
{
	(void)st;
	(void)now;
}

/* Appends the revision and the moves, a line each. */
void state_print(const state_t *st, GString *out)
{
	g_string_append_printf(out, "revision offset=%" G_GUINT64_FORMAT "\n",
			       st->offset);
}
