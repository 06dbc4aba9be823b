/* Reading the lines that the daemon logs. */
#include <string.h>
#include "fns.h"

/* Returns the start of the timestamp in a line, or NULL. */
const char *log_stamp(const char *line)
{
	const char *level = strstr(line, "Z level=");

	if (!level || level - line < LOG_STAMP_BYTES - 1)
		return NULL;
	return level - (LOG_STAMP_BYTES - 1);
}

/*
 * Copies a field's value, which may hold blanks; it ends at the next field.
 * Returns NULL when the line has no such field.
 */
char *log_field(const char *line, const char *name)
{
	char *key = g_strdup_printf(" %s=", name);
	const char *at = strstr(line, key);
	const char *eq;
	const char *end;

	if (at)
		at += strlen(key);
	g_free(key);
	if (!at)
		return NULL;
	eq = strchr(at, '=');
	end = at + strlen(at);
	while (eq && eq > at && eq[-1] != ' ')
		eq--;
	if (eq && eq > at)
		end = eq - 1;
	return g_strndup(at, (size_t)(end - at));
}

/* Returns a field's number; otherwise: there is none. */
int64_t log_number(const char *line, const char *name, int64_t otherwise)
{
	char *text = log_field(line, name);
	int64_t n = otherwise;

	if (text && text[0])
		n = g_ascii_strtoll(text, NULL, 10);
	g_free(text);
	return n;
}
