/* explain: prints the log lines of a request and explains its outcome. */
#include <stdlib.h>
#include <string.h>
#include "fns.h"

enum {
	LINE_BYTES = 4096,
};

/* A log line of the request. */
typedef struct log_line {
	char *text;   /* from the timestamp on */
	char *source; /* the text before the timestamp, or the file's name */
} log_line_t;

/* An outcome, as in outcome= of request_end, and what it means. */
typedef struct outcome {
	const char *name;
	const char *explanation;
} outcome_t;

static const outcome_t outcomes[] = {
	{ "answered", "A backend server gave this answer; it was forwarded." },
	{ "over-limit", "The customer's quota was used up; the request was not "
			"run. 'cost' is what it counts against the quota." },
	{ "cannot-finish", "Refused on arrival, not run: requests of its "
			   "priority ahead of it would have kept it waiting "
			   "too long." },
	{ "quota-unknown", "Refused, not run: the quota server of its customer "
			   "did not answer; another takes over within "
			   "seconds." },
	{ "quarantined", "Refused, not run: servers crashed under it, or under "
			 "requests with a part of its prompt; part_suspected "
			 "and crash_seen lines with the part say which." },
	{ "expired-waiting", "Refused, not run: no slot came free before its "
			     "deadline or the end of the time that the "
			     "caller is expected to wait." },
	{ "no server took it", "Not run: every server tried rejected it, or "
			       "could not be reached." },
	{ "server lost, none to repeat at",
	  "The connection to a server was lost, and no other had a free slot "
	  "in time for a retry." },
	{ "server lost in the stream",
	  "The connection to the server was lost in the stream, which "
	  "could not be resumed at another server." },
	{ "server lost",
	  "The connection to a server was lost after the request was sent; "
	  "it may have run, and must not be retried, or not once more." },
	{ "no server to go on at",
	  "The stream broke off, and no slot came free at another server to "
	  "resume it." },
	{ "time is up, not sent",
	  "The deadline passed before a connection to the server was "
	  "established; not run." },
	{ "time is up",
	  "The server did not finish before the request's deadline." },
	{ "caller gone", "The caller closed its connection; the run was "
			 "cancelled." },
	{ "unknown key", "The active configuration has no such key; compare "
			 "'config' with the versions of config_in_force." },
	{ "no such route", "The active configuration has no route for host "
			   "and path; compare its version." },
	{ "no configuration yet", "The host had just started and had read no "
				  "configuration; not run." },
	{ "stopping", "The host was about to stop; not run." },
};

static void log_line_free(gpointer p)
{
	log_line_t *l = p;

	g_free(l->text);
	g_free(l->source);
	g_free(l);
}

static bool has_id(const char *line, const char *id)
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
		const char *at = log_stamp(line);
		log_line_t *x;

		if (!at || !has_id(at, id))
			continue;
		x = g_new0(log_line_t, 1);
		x->text = g_strchomp(g_strdup(at));
		x->source = at > line ? g_strndup(line, (size_t)(at - line))
				      : g_strdup(name);
		g_strstrip(x->source);
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

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const log_line_t *x = *(log_line_t *const *)a;
	const log_line_t *y = *(log_line_t *const *)b;

	return strncmp(x->text, y->text, LOG_STAMP_BYTES);
}

static const char *explanation_of(const char *outcome)
{
	for (size_t i = 0; outcome && i < G_N_ELEMENTS(outcomes); i++) {
		if (strcmp(outcomes[i].name, outcome) == 0)
			return outcomes[i].explanation;
	}
	return "This outcome has no explanation here; see docs/ERRORS.md.";
}

/* Prints the lines in order and explains the outcome of the last request_end.
 */
static void print_lines(const GPtrArray *all)
{
	const char *end = NULL;
	char *outcome;

	for (guint i = 0; i < all->len; i++) {
		const log_line_t *l = all->pdata[i];

		printf("%-22s %s\n", l->source, l->text);
		if (strstr(l->text, "event=request_end"))
			end = l->text;
	}
	if (!end) {
		printf("\nNo line has the request's end: its host stopped "
		       "before it, or the line was dropped "
		       "(event=log_dropped).\n");
		return;
	}
	outcome = log_field(end, "outcome");
	printf("\ncause: %s: %s\n", outcome ? outcome : "?",
	       explanation_of(outcome));
	g_free(outcome);
}

/* Explains the request argv[1] from the log files after it, or from stdin. */
int run_explain(int argc, char **argv)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(log_line_free);
	int code = EXIT_DONE;

	if (argc < 2 || argv[1][0] == '-') {
		g_ptr_array_free(all, TRUE);
		return usage_error("explain: expected ID [LOG...]");
	}
	if (!read_files(argv + 2, argv[1], all)) {
		code = failure("cannot open a log file");
	} else if (all->len == 0) {
		code = failure("no log line has id=%s", argv[1]);
	} else {
		g_ptr_array_sort(all, compare_times);
		print_lines(all);
	}
	g_ptr_array_free(all, TRUE);
	return code;
}
