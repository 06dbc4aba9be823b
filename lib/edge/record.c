/*
 * Formats of records in the store: a rollout decision is one line of key=value
 * pairs, the suspect traits of a crash are hexadecimal numbers between commas.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "edge/fns.h"

enum {
	PAIRS = 5,
	SHARE_MAX = 1000, /* thousandths */
	RADIX = 16,	  /* of traits */
	DIGITS = 16,
};

/* Returns the text of a decision; the caller frees it. */
char *shift_step_format(const shift_step_t *s)
{
	return g_strdup_printf("order=%" PRIu64
			       " state=%s share=%u age_ms=%lld told=%d",
			       s->order, shift_state_name(s->state), s->share,
			       (long long)s->age, (int)s->reported);
}

static bool parse_state(const char *name, shift_state_t *out)
{
	for (int i = SHIFT_RUNNING; i <= SHIFT_ROLLED_BACK; i++) {
		if (strcmp(name, shift_state_name((shift_state_t)i)) == 0) {
			*out = (shift_state_t)i;
			return true;
		}
	}
	return false;
}

static bool parse_number(const char *text, uint64_t max, uint64_t *out)
{
	return g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

/* Returns the value of a pair with that name, else an empty string. */
static const char *value_of(const char *pair, const char *name)
{
	size_t n = strlen(name);

	return strncmp(pair, name, n) == 0 && pair[n] == '=' ? pair + n + 1
							     : "";
}

/* Parses a decision. CODE_BAD_RECORD: it is malformed, and out is not set. */
code_t shift_step_parse(str_t text, shift_step_t *out)
{
	char *copy = str_dup(text);
	char **pair = g_strsplit(copy, " ", PAIRS);
	shift_step_t s = { 0 };
	uint64_t share = 0;
	uint64_t age = 0;
	uint64_t reported = 0;
	bool ok = g_strv_length(pair) == PAIRS &&
		  parse_number(value_of(pair[0], "order"), G_MAXUINT64,
			       &s.order) &&
		  parse_state(value_of(pair[1], "state"), &s.state) &&
		  parse_number(value_of(pair[2], "share"), SHARE_MAX, &share) &&
		  parse_number(value_of(pair[3], "age_ms"), G_MAXINT64, &age) &&
		  parse_number(value_of(pair[4], "told"), 1, &reported);

	g_strfreev(pair);
	g_free(copy);
	if (!ok)
		return CODE_BAD_RECORD;
	s.share = (unsigned int)share;
	s.age = (ms_t)age;
	s.reported = reported != 0;
	*out = s;
	return CODE_OK;
}

/* Returns the text of a report's traits, in their order; the caller frees it.
 */
char *crash_traits_format(const crash_report_t *c)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < c->ntraits; i++)
		g_string_append_printf(out, "%s%" PRIx64, i ? "," : "",
				       c->traits[i]);
	return g_string_free(out, FALSE);
}

static bool parse_trait(const char *text, trait_t *out)
{
	guint64 trait;

	if (strlen(text) > DIGITS ||
	    !g_ascii_string_to_unsigned(text, RADIX, 0, G_MAXUINT64, &trait,
					NULL))
		return false;
	*out = trait;
	return true;
}

/*
 * Appends a report's traits. CODE_BAD_RECORD: the text is malformed or has more
 * than CRASH_TRAITS_MAX traits; then nothing is appended.
 */
code_t crash_traits_parse(str_t text, GArray *traits)
{
	char *copy = str_dup(text);
	char **word = g_strsplit(copy, ",", CRASH_TRAITS_MAX + 1);
	guint before = traits->len;
	bool ok = g_strv_length(word) > 0 &&
		  g_strv_length(word) <= CRASH_TRAITS_MAX &&
		  strlen(copy) == text.n;
	trait_t trait;

	for (char **w = word; ok && *w; w++) {
		ok = parse_trait(*w, &trait);
		if (ok)
			g_array_append_val(traits, trait);
	}
	g_strfreev(word);
	g_free(copy);
	if (ok)
		return CODE_OK;
	g_array_set_size(traits, before);
	return CODE_BAD_RECORD;
}
