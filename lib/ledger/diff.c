/* Prints the differences between two intents by section. */
#include <string.h>
#include "ledger/priv.h"

/* The sections of an intent, in the order of the text. */
typedef struct outline {
	GPtrArray *titles;    /* of char *, owned by sections */
	GHashTable *sections; /* title to a table of key to value */
} outline_t;

static GHashTable *outline_section(outline_t *o, const char *line)
{
	const char *end = strchr(line, ']');
	char *title = g_strndup(line, end ? (gsize)(end - line) + 1 : 0);
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	g_hash_table_insert(o->sections, title, keys);
	g_ptr_array_add(o->titles, title);
	return keys;
}

/* Cuts off a comment, which starts with a semicolon after a blank. */
static void cut_comment(char *line)
{
	for (char *p = strchr(line, ';'); p; p = strchr(p + 1, ';')) {
		if (p == line || g_ascii_isspace(p[-1])) {
			*p = '\0';
			return;
		}
	}
}

static void outline_key(GHashTable *keys, char *line)
{
	char *value = strpbrk(line, "=:");

	if (!value || !keys)
		return;
	*value++ = '\0';
	g_hash_table_insert(keys, g_strdup(g_strstrip(line)),
			    g_strdup(g_strstrip(value)));
}

/* Reads a text that intent_parse has accepted. */
static void outline_init(outline_t *o, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	GHashTable *keys = NULL;

	o->titles = g_ptr_array_new();
	o->sections =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_destroy);
	for (size_t i = 0; lines[i]; i++) {
		char *line = g_strstrip(lines[i]);

		if (line[0] == '#')
			continue;
		cut_comment(line);
		if (line[0] == '[')
			keys = outline_section(o, line);
		else
			outline_key(keys, line);
	}
	g_strfreev(lines);
}

static void outline_clear(outline_t *o)
{
	g_ptr_array_free(o->titles, TRUE);
	g_hash_table_destroy(o->sections);
}

/*
 * Prints the keys of a that b lacks or, unless gone is set, has with another
 * value. With gone set they are keys that the new text no longer has.
 */
static size_t keys_print(const char *title, GHashTable *a, GHashTable *b,
			 bool gone, GString *out)
{
	GList *keys =
		g_list_sort(g_hash_table_get_keys(a), (GCompareFunc)strcmp);
	size_t n = 0;

	for (GList *p = keys; p; p = p->next) {
		const char *x = g_hash_table_lookup(a, p->data);
		const char *y = g_hash_table_lookup(b, p->data);

		if (y && (gone || strcmp(x, y) == 0))
			continue;
		n++;
		if (gone)
			g_string_append_printf(
				out, "  changed %s %s: %s -> default\n", title,
				(char *)p->data, x);
		else
			g_string_append_printf(
				out, "  changed %s %s: %s -> %s\n", title,
				(char *)p->data, y ? y : "default", x);
	}
	g_list_free(keys);
	return n;
}

static size_t section_print(const char *title, const outline_t *old,
			    const outline_t *new, GString *out)
{
	GHashTable *x = g_hash_table_lookup(old->sections, title);
	GHashTable *y = g_hash_table_lookup(new->sections, title);
	size_t n;

	if (!x) {
		g_string_append_printf(out, "  added   %s\n", title);
		return 1;
	}
	n = keys_print(title, y, x, false, out);
	return n + keys_print(title, x, y, true, out);
}

/* Appends a line for each section or key that differs; old may be empty. */
void diff_print(const char *old, const char *new, GString *out)
{
	outline_t a;
	outline_t b;
	size_t n = 0;

	outline_init(&a, old);
	outline_init(&b, new);
	for (guint i = 0; i < b.titles->len; i++)
		n += section_print(b.titles->pdata[i], &a, &b, out);
	for (guint i = 0; i < a.titles->len; i++) {
		const char *title = a.titles->pdata[i];

		if (g_hash_table_contains(b.sections, title))
			continue;
		n++;
		g_string_append_printf(out, "  removed %s\n", title);
	}
	if (n == 0)
		g_string_append(out, "  nothing\n");
	outline_clear(&a);
	outline_clear(&b);
}
