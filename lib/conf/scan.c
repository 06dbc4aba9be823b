/* Scanning INI text: sections, keys, their lines, and errors that name them. */
#include <ini.h>
#include <stdarg.h>
#include <string.h>
#include "conf/priv.h"

/* Starts a scan of text; file is the name used in messages. */
void scan_init(scan_t *s, const char *file, const char *text,
	       const section_t *sections, size_t n, void *ctx)
{
	memset(s, 0, sizeof(*s));
	s->file = file;
	s->rest = text;
	s->sections = sections;
	s->nsections = n;
	s->ctx = ctx;
	s->titles =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->lines = g_hash_table_new(NULL, NULL);
	s->given = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees what the scan holds, but not the objects or the error. */
void scan_clear(scan_t *s)
{
	g_hash_table_destroy(s->titles);
	g_hash_table_destroy(s->lines);
	g_hash_table_destroy(s->given);
	g_free(s->title);
}

static bool fail(scan_t *s, unsigned int line, code_t code, const char *where,
		 const char *fmt, va_list ap) G_GNUC_PRINTF(5, 0);

static bool fail(scan_t *s, unsigned int line, code_t code, const char *where,
		 const char *fmt, va_list ap)
{
	char *what;

	if (s->err)
		return false;
	what = g_strdup_vprintf(fmt, ap);
	s->err = g_error_new(code_quark(), code, "%s:%u: %s%s", s->file, line,
			     where, what);
	g_free(what);
	return false;
}

/*
 * Keeps an error about the current line and key; key NULL for the line itself.
 * Only the first error of a scan is kept. Returns false.
 */
bool scan_fail(scan_t *s, code_t code, const char *key, const char *fmt, ...)
{
	char *where;
	va_list ap;

	if (key)
		where = g_strdup_printf("%s %s: ", s->title ? s->title : "",
					key);
	else
		where = g_strdup("");
	va_start(ap, fmt);
	fail(s, s->line, code, where, fmt, ap);
	va_end(ap);
	g_free(where);
	return false;
}

/* Like scan_fail, at the line of the section that the object came from. */
bool scan_fail_at(scan_t *s, const void *object, code_t code, const char *fmt,
		  ...)
{
	gpointer line = g_hash_table_lookup(s->lines, object);
	va_list ap;

	va_start(ap, fmt);
	fail(s, GPOINTER_TO_UINT(line), code, "", fmt, ap);
	va_end(ap);
	return false;
}

/* Tells whether the key was given in the section of the object. */
bool scan_given(const scan_t *s, const void *object, const char *key)
{
	char *id = g_strdup_printf("%p/%s", object, key);
	bool yes = g_hash_table_contains(s->given, id);

	g_free(id);
	return yes;
}

/* Tells whether a section without an argument was given. */
bool scan_has_section(const scan_t *s, const char *name)
{
	char *title = g_strdup_printf("[%s]", name);
	bool yes = g_hash_table_contains(s->titles, title);

	g_free(title);
	return yes;
}

/* Checks that the section which ends here had all the keys that it needs. */
static bool section_end(scan_t *s)
{
	unsigned int line = s->line;

	for (size_t i = 0; s->open && i < s->open->nfields; i++) {
		const field_t *f = &s->open->fields[i];

		if (!f->needed || s->seen & 1U << i)
			continue;
		s->line = s->title_line;
		scan_fail(s, CODE_MISSING_KEY, f->key, "missing key");
		s->line = line;
		return false;
	}
	return true;
}

static const section_t *section_find(const scan_t *s, const char *name)
{
	for (size_t i = 0; i < s->nsections; i++) {
		if (strcmp(s->sections[i].name, name) == 0)
			return &s->sections[i];
	}
	return NULL;
}

/* Begins a section whose fields go into the scan's context. */
void *scan_context(scan_t *s, const char *arg)
{
	(void)arg;
	return s->ctx;
}

/* Begins the section whose text between brackets is "name" or "name arg". */
static bool section_begin(scan_t *s, char *inside)
{
	char *title = g_strdup_printf("[%s]", g_strstrip(inside));
	char *arg = strpbrk(inside, " \t");
	const section_t *row;

	if (arg)
		*arg++ = '\0';
	row = section_find(s, inside);
	g_free(s->title);
	s->title = title;
	s->title_line = s->line;
	if (!row)
		return scan_fail(s, CODE_UNKNOWN_SECTION, NULL,
				 "%s: unknown section", title);
	if (row->has_arg != (arg != NULL))
		return scan_fail(s, CODE_SYNTAX, NULL, "%s: expected [%s%s]",
				 title, row->name, row->has_arg ? " NAME" : "");
	if (g_hash_table_contains(s->titles, title))
		return scan_fail(s, CODE_SYNTAX, NULL,
				 "%s: section given twice", title);
	g_hash_table_insert(s->titles, g_strdup(title),
			    GUINT_TO_POINTER(s->line));
	s->open = row;
	s->seen = 0;
	s->object = row->begin(s, arg ? g_strchug(arg) : NULL);
	if (!s->object)
		return false;
	g_hash_table_insert(s->lines, s->object, GUINT_TO_POINTER(s->line));
	return true;
}

/* Reads a line that starts with a bracket. */
static bool section_line(scan_t *s, const char *line)
{
	const char *end = strchr(line, ']');
	char *inside;
	bool ok;

	if (!end)
		return scan_fail(s, CODE_SYNTAX, NULL, "expected ] in \"%s\"",
				 line);
	if (end[1 + strspn(end + 1, " \t\r\n")] != '\0' &&
	    !strchr(";#", end[1 + strspn(end + 1, " \t")]))
		return scan_fail(s, CODE_SYNTAX, NULL,
				 "expected nothing after ]");
	if (!section_end(s))
		return false;
	inside = g_strndup(line + 1, (gsize)(end - line) - 1);
	ok = section_begin(s, inside);
	g_free(inside);
	return ok;
}

/*
 * Gives libinih the next line, without leading blanks, so that an indented
 * line is not taken for a continuation. Sections are handled here, because
 * libinih tells nothing of one without keys.
 */
static char *next_line(char *buf, int size, void *ctx)
{
	scan_t *s = ctx;
	size_t n = strcspn(s->rest, "\n");
	size_t skip;

	if (s->err || s->rest[0] == '\0')
		return NULL;
	s->line++;
	skip = MIN(strspn(s->rest, " \t"), n);
	if (n - skip + 2 > (size_t)size) {
		scan_fail(s, CODE_SYNTAX, NULL,
			  "line longer than %d bytes, expected a shorter one",
			  size - 2);
		return NULL;
	}
	memcpy(buf, s->rest + skip, n - skip);
	buf[n - skip] = '\0';
	s->rest += n;
	if (s->rest[0] == '\n')
		s->rest++;
	if (buf[0] == '[' && !section_line(s, buf))
		return NULL;
	return buf;
}

/* Puts the value of a key in the current section's object. */
static int key_line(void *ctx, const char *section, const char *key,
		    const char *value)
{
	scan_t *s = ctx;

	(void)section; /* cut to 50 bytes by libinih */
	if (!s->open)
		return scan_fail(s, CODE_SYNTAX, key,
				 "expected a [section] before the first key");
	for (size_t i = 0; i < s->open->nfields; i++) {
		const field_t *f = &s->open->fields[i];

		if (strcmp(f->key, key) != 0)
			continue;
		if (s->seen & 1U << i)
			return scan_fail(s, CODE_SYNTAX, key,
					 "key given twice");
		s->seen |= 1U << i;
		g_hash_table_add(s->given,
				 g_strdup_printf("%p/%s", s->object, key));
		return field_set(s, f, s->object, value);
	}
	return scan_fail(s, CODE_UNKNOWN_KEY, key, "unknown key");
}

static bool sections_present(scan_t *s)
{
	for (size_t i = 0; i < s->nsections; i++) {
		const section_t *row = &s->sections[i];

		if (row->needed && !scan_has_section(s, row->name))
			return scan_fail(s, CODE_MISSING_KEY, NULL,
					 "missing section [%s]", row->name);
	}
	return true;
}

/* Scans the whole text. Returns false with the first error in s->err. */
bool scan_run(scan_t *s)
{
	int bad_line;

	if (!g_utf8_validate(s->rest, -1, NULL))
		return scan_fail(s, CODE_SYNTAX, NULL, "expected UTF-8 text");
	ini_max_line = INI_LINE_BYTES;
	ini_stop_on_first_error = true;
	bad_line = ini_parse_stream(next_line, s, key_line, s);
	if (s->err)
		return false;
	if (bad_line != 0)
		return scan_fail(s, CODE_SYNTAX, NULL,
				 "expected \"key = value\" or \"[section]\"");
	return section_end(s) && sections_present(s);
}
