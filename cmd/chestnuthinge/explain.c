/* explain: what became of one request, from the logs of several hosts. */
#include <stdlib.h>
#include <string.h>
#include "fns.h"

enum {
	LINE_BYTES = 4096,
	STAMP_BYTES = 24, /* 2026-01-01T00:00:00.000Z */
};

/* A line about the request, and where it was found. */
typedef struct found {
	char *line; /* from its time stamp on */
	char *from; /* what stood before the stamp, or the file's name */
} found_t;

/* What an outcome means, in a sentence. */
typedef struct cause {
	const char *outcome;
	const char *sentence;
} cause_t;

static const cause_t causes[] = {
	{ "answered", "A backend server gave this answer; it was passed on." },
	{ "over-limit", "The customer's quota was used up; the request was not "
			"run. 'cost' is what it counts." },
	{ "cannot-finish", "Refused on arrival, not run: requests of its rank "
			   "ahead of it would have kept it waiting too long." },
	{ "expired-waiting", "Refused, not run: no place came free before its "
			     "time, or the caller's patience, ran out." },
	{ "no server took it", "Not run: every server tried rejected it, or "
			       "could not be reached." },
	{ "server lost, none to repeat at", "A server broke off and the "
					    "request found no other in time." },
	{ "server lost in the stream", "The server broke off in the stream, "
				       "which could not go on elsewhere." },
	{ "server lost",
	  "A server broke off after the request was sent; it may "
	  "have run, and may not be repeated, or not again." },
	{ "no server to go on at", "The stream broke and no place came free to "
				   "go on at." },
	{ "time is up, not sent", "The time ran out before a connection to the "
				  "server stood; not run." },
	{ "time is up",
	  "The server did not finish within the request's time." },
	{ "caller gone", "The caller closed its connection; the run was "
			 "cancelled." },
	{ "unknown key", "The configuration in force has no such key; compare "
			 "'config' with the versions of config_in_force." },
	{ "no such route", "The configuration in force has no route for host "
			   "and path; compare its version." },
	{ "no configuration yet", "The host had just started and had read no "
				  "configuration; not run." },
	{ "stopping", "The host was about to stop; not run." },
};

static void found_free(gpointer p)
{
	found_t *f = p;

	g_free(f->line);
	g_free(f->from);
	g_free(f);
}

/* Start of the time stamp in a line, or NULL. */
static const char *stamp_of(const char *line)
{
	const char *level = strstr(line, "Z level=");

	if (!level || level - line < STAMP_BYTES - 1)
		return NULL;
	return level - (STAMP_BYTES - 1);
}

static bool is_about(const char *line, const char *id)
{
	const char *at = strstr(line, " id=");
	size_t n = strlen(id);

	return at && strncmp(at + 4, id, n) == 0 &&
	       (at[4 + n] == ' ' || at[4 + n] == '\n' || at[4 + n] == '\0');
}

static void read_lines(FILE *f, const char *name, const char *id,
		       GPtrArray *all)
{
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), f)) {
		const char *at = stamp_of(line);
		found_t *x;

		if (!at || !is_about(at, id))
			continue;
		x = g_new0(found_t, 1);
		x->line = g_strchomp(g_strdup(at));
		x->from = at > line ? g_strndup(line, (size_t)(at - line))
				    : g_strdup(name);
		g_strstrip(x->from);
		g_ptr_array_add(all, x);
	}
}

static bool read_files(char **names, const char *id, GPtrArray *all)
{
	if (!names[0])
		read_lines(stdin, "-", id, all);
	for (; *names; names++) {
		FILE *f = fopen(*names, "r");

		if (!f)
			return false;
		read_lines(f, *names, id, all);
		fclose(f);
	}
	return true;
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const found_t *x = *(found_t *const *)a;
	const found_t *y = *(found_t *const *)b;

	return strncmp(x->line, y->line, STAMP_BYTES);
}

/* The text of a field, up to the next one; it may hold blanks. */
static char *field_of(const char *line, const char *name)
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

static const char *sentence_of(const char *outcome)
{
	for (size_t i = 0; outcome && i < G_N_ELEMENTS(causes); i++) {
		if (strcmp(causes[i].outcome, outcome) == 0)
			return causes[i].sentence;
	}
	return "This outcome has no explanation here; see docs/ERRORS.md.";
}

/* Prints the lines in order, and the cause from the last end. */
static void show(const GPtrArray *all)
{
	const char *end = NULL;
	char *outcome;

	for (guint i = 0; i < all->len; i++) {
		const found_t *f = all->pdata[i];

		printf("%-22s %s\n", f->from, f->line);
		if (strstr(f->line, "event=request_end"))
			end = f->line;
	}
	if (!end) {
		printf("\nNo line tells its end: the host that took it "
		       "stopped, "
		       "or the line was dropped (event=log_dropped).\n");
		return;
	}
	outcome = field_of(end, "outcome");
	printf("\ncause: %s: %s\n", outcome ? outcome : "?",
	       sentence_of(outcome));
	g_free(outcome);
}

/* Explains the request whose id is named, from files or standard input. */
int run_explain(int argc, char **argv)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(found_free);
	int code = EXIT_DONE;

	if (argc < 2 || argv[1][0] == '-') {
		g_ptr_array_free(all, TRUE);
		return usage_error("explain needs a request's id");
	}
	if (!read_files(argv + 2, argv[1], all)) {
		code = failure("a log cannot be read");
	} else if (all->len == 0) {
		code = failure("no line is about %s", argv[1]);
	} else {
		g_ptr_array_sort(all, by_time);
		show(all);
	}
	g_ptr_array_free(all, TRUE);
	return code;
}
