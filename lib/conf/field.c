/* Values of settings: text to typed fields, by kind. */
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include "conf/priv.h"

static const char name_chars[] = "abcdefghijklmnopqrstuvwxyz"
				 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-";
static const char upper_chars[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

/* Tells whether a name has 1 to NAME_LEN_MAX of the allowed characters. */
bool name_valid(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n <= NAME_LEN_MAX && strspn(name, name_chars) == n;
}

/* Reads exactly 2n hexadecimal digits. Returns false on any other text. */
bool hex_decode(const char *text, uint8_t *out, size_t n)
{
	if (strlen(text) != 2 * n)
		return false;
	for (size_t i = 0; i < n; i++) {
		int hi = g_ascii_xdigit_value(text[2 * i]);
		int lo = g_ascii_xdigit_value(text[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return false;
		out[i] = (uint8_t)(hi << 4 | lo);
	}
	return true;
}

static bool bad_type(scan_t *s, const field_t *f, const char *expected,
		     const char *value)
{
	return scan_fail(s, CODE_BAD_TYPE, f->key, "expected %s, got \"%s\"",
			 expected, value);
}

static bool set_string(scan_t *s, const field_t *f, char **to,
		       const char *value, bool ok, const char *expected)
{
	if (!ok)
		return bad_type(s, f, expected, value);
	g_free(*to);
	*to = g_strdup(value);
	return true;
}

/* Reads a whole number in the field's range. */
static bool number(scan_t *s, const field_t *f, const char *value,
		   uint64_t *out)
{
	GError *err = NULL;
	guint64 n = 0;
	bool range;

	if (g_ascii_string_to_unsigned(value, 10, f->min, f->max, &n, &err)) {
		*out = n;
		return true;
	}
	range = g_error_matches(err, G_NUMBER_PARSER_ERROR,
				G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS);
	g_error_free(err);
	return scan_fail(s, range ? CODE_OUT_OF_RANGE : CODE_BAD_TYPE, f->key,
			 "expected a whole number from %" PRIu64 " to %" PRIu64
			 ", got \"%s\"",
			 f->min, f->max, value);
}

static bool set_choice(scan_t *s, const field_t *f, int *to, const char *value)
{
	char *all;

	for (int i = 0; f->choices[i]; i++) {
		if (strcmp(f->choices[i], value) == 0) {
			*to = i;
			return true;
		}
	}
	all = g_strjoinv(" or ", (char **)f->choices);
	bad_type(s, f, all, value);
	g_free(all);
	return false;
}

static bool set_flag(scan_t *s, const field_t *f, bool *to, const char *value)
{
	*to = strcmp(value, "yes") == 0;
	if (!*to && strcmp(value, "no") != 0)
		return bad_type(s, f, "yes or no", value);
	return true;
}

/* Tells whether the text has the form 2027-01-10T12:00:00Z. */
static bool time_form(const char *value)
{
	static const char form[] = "dddd-dd-ddTdd:dd:ddZ";

	if (strlen(value) != sizeof(form) - 1)
		return false;
	for (size_t i = 0; form[i]; i++) {
		if (form[i] == 'd' ? !g_ascii_isdigit(value[i])
				   : value[i] != form[i])
			return false;
	}
	return true;
}

static bool set_time(scan_t *s, const field_t *f, int64_t *to,
		     const char *value)
{
	GDateTime *t = NULL;

	if (time_form(value))
		t = g_date_time_new_from_iso8601(value, NULL);
	if (!t)
		return bad_type(s, f, "a time like 2027-01-10T12:00:00Z",
				value);
	*to = g_date_time_to_unix(t);
	g_date_time_unref(t);
	return true;
}

/*
 * Reads a number in the field's range, fractions included. A span is cut off to
 * whole milliseconds, so that it never exceeds what was asked for.
 */
static bool set_real(scan_t *s, const field_t *f, void *to, const char *value)
{
	char *end;
	double v = g_ascii_strtod(value, &end);

	if (end == value || *end || isnan(v))
		return bad_type(s, f, "a number", value);
	if (v < (double)f->min || v > (double)f->max)
		return scan_fail(s, CODE_OUT_OF_RANGE, f->key,
				 "expected a number from %" PRIu64
				 " to %" PRIu64 ", got \"%s\"",
				 f->min, f->max, value);
	if (f->kind == FIELD_REAL)
		*(double *)to = v;
	else
		*(ms_t *)to =
			(ms_t)(f->kind == FIELD_REAL_S ? v * MS_PER_S : v);
	return true;
}

static bool set_number(scan_t *s, const field_t *f, void *to, const char *value)
{
	uint64_t n = 0;

	if (!number(s, f, value, &n))
		return false;
	if (f->kind == FIELD_COUNT)
		*(uint64_t *)to = n;
	else if (f->kind == FIELD_SIZE)
		*(size_t *)to = (size_t)n;
	else if (f->kind == FIELD_SPAN)
		*(ms_t *)to = (ms_t)n;
	else
		*(int *)to = (int)n;
	return true;
}

/* Puts a value in the object. Returns false and keeps an error if it is bad. */
bool field_set(scan_t *s, const field_t *f, void *object, const char *value)
{
	void *to = (char *)object + f->at;
	size_t n = strlen(value);
	bool ok;

	switch (f->kind) {
	case FIELD_NAME:
		return set_string(s, f, to, value, name_valid(value),
				  "1 to 64 letters, digits or . _ : -");
	case FIELD_TEXT:
		return set_string(s, f, to, value, n > 0, "a value");
	case FIELD_LIST:
		return set_string(s, f, to, value, true, "a list");
	case FIELD_PATH:
		ok = value[0] == '/' && strcspn(value, " \t?#") == n;
		return set_string(s, f, to, value, ok,
				  "a path that starts with /");
	case FIELD_METHOD:
		ok = n > 0 && strspn(value, upper_chars) == n;
		return set_string(s, f, to, value, ok, "a method like POST");
	case FIELD_FLAG:
		return set_flag(s, f, to, value);
	case FIELD_CHOICE:
		return set_choice(s, f, to, value);
	case FIELD_ADDR:
		return addr_parse(value, to) ||
		       bad_type(s, f, "IP:PORT", value);
	case FIELD_HEX32:
		return hex_decode(value, to, 32) ||
		       bad_type(s, f, "64 hexadecimal digits", value);
	case FIELD_TIME:
		return set_time(s, f, to, value);
	case FIELD_REAL:
	case FIELD_REAL_MS:
	case FIELD_REAL_S:
		return set_real(s, f, to, value);
	case FIELD_COUNT:
	case FIELD_SIZE:
	case FIELD_SPAN:
	case FIELD_INT:
		break;
	}
	return set_number(s, f, to, value);
}

/*
 * Reads a whole file as text. Returns NULL with CODE_FILE when it can't be
 * read, CODE_SYNTAX when it holds a NUL.
 */
char *file_read(const char *path, GError **err)
{
	GError *cause = NULL;
	char *text = NULL;
	gsize n;

	if (!g_file_get_contents(path, &text, &n, &cause)) {
		g_set_error_literal(err, code_quark(), CODE_FILE,
				    cause->message);
		g_error_free(cause);
		return NULL;
	}
	if (strlen(text) == n)
		return text;
	g_set_error(err, code_quark(), CODE_SYNTAX,
		    "%s: expected text, found a NUL", path);
	g_free(text);
	return NULL;
}
