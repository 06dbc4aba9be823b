/* Event logs: a line each, a name and key=value fields. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "standin/lib/fns.h"

static FILE *events;

/* Opens the log for appending; NULL means standard output. */
void events_open(const char *path)
{
	events = path != NULL ? fopen(path, "ae") : stdout;
	if (events == NULL) {
		perror(path);
		exit(1);
	}
}

/* Milliseconds of the machine's monotonic clock, alike in all processes. */
ms_t stand_now(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Appends an event at once, so that a killed process loses none. */
void event_write(const char *name, const char *fmt, ...)
{
	va_list args;
	va_start(args, fmt);
	char *fields = g_strdup_vprintf(fmt, args);
	va_end(args);
	fprintf(events, "%s t=%lld %s\n", name, (long long)stand_now(), fields);
	fflush(events);
	g_free(fields);
}

/* Splits a line; false when it has no name. */
bool event_parse(const char *line, event_t *e)
{
	char *text = g_strstrip(g_strdup(line));
	char **parts = g_strsplit(text, " ", -1);
	g_free(text);
	if (parts[0] == NULL || parts[0][0] == '\0') {
		g_strfreev(parts);
		return false;
	}
	e->name = g_strdup(parts[0]);
	e->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **p = parts + 1; *p != NULL; p++) {
		char *eq = strchr(*p, '=');
		if (eq == NULL)
			continue;
		g_hash_table_replace(e->fields, g_strndup(*p, (gsize)(eq - *p)),
				     g_strdup(eq + 1));
	}
	g_strfreev(parts);
	return true;
}

/* Frees what event_parse made. */
void event_clear(event_t *e)
{
	g_free(e->name);
	g_hash_table_destroy(e->fields);
}

/* Returns a field's text, or "" when the event has none. */
const char *event_field(const event_t *e, const char *key)
{
	const char *v = g_hash_table_lookup(e->fields, key);
	return v != NULL ? v : "";
}

/* Returns a field as a number. */
long event_long(const event_t *e, const char *key, long none)
{
	const char *v = g_hash_table_lookup(e->fields, key);
	return v != NULL ? strtol(v, NULL, 10) : none;
}

/* A planned stop of a stand-in: its logs are written, nothing else matters. */
static void on_signal(uv_signal_t *h, int signum)
{
	(void)h;
	(void)signum;
	(void)fflush(NULL);
	_exit(0);
}

/* Makes SIGTERM and SIGINT end the program with exit code 0. */
void stand_exit_on_signal(uv_loop_t *loop)
{
	static uv_signal_t handles[2];
	uv_signal_init(loop, &handles[0]);
	uv_signal_init(loop, &handles[1]);
	uv_signal_start(&handles[0], on_signal, SIGTERM);
	uv_signal_start(&handles[1], on_signal, SIGINT);
}
