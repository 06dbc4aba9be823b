/*
 * losses: counts the requests that callers lost, by cause, from the logs of
 * edges; by route and by time as well when asked for.
 *
 * Edges log each failed request up to a limit a second, and say how many they
 * left out; of those that succeeded they log one in LOG_SAMPLE_ONE_IN, so late
 * ones are counted as that many.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "fns.h"

enum {
	LINE_BYTES = 4096,
	STATUS_SERVER_ERROR = 500,
	SECONDS_MAX = 86400,
};

/* Why a request was lost. */
typedef enum cause {
	CAUSE_QUOTA,	   /* its customer was over its limit */
	CAUSE_QUOTA_LOST,  /* no quota server answered */
	CAUSE_QUARANTINED, /* a part of its prompt crashes servers */
	CAUSE_REFUSED,	   /* on arrival: its wait would be too long */
	CAUSE_QUEUED,	   /* waited past its deadline, not sent */
	CAUSE_NO_SERVER,   /* none could be reached or took it */
	CAUSE_SERVER_LOST, /* the connection broke; it may have run */
	CAUSE_FAILED,	   /* the server answered with an error */
	CAUSE_SLOW,	   /* was running at its deadline */
	CAUSE_LATE,	   /* answered, first event after its target */
	CAUSE_LATE_QUEUED, /* the same, by over half of the target in queues */
	CAUSE_PAUSED,	   /* a stream with a gap over its target */
	CAUSE_STOPPING,	   /* the edge stopped, or had just started */
	CAUSE_CALLER,	   /* the caller hung up */
	CAUSE_LEFT_OUT,	   /* not in the log */
	CAUSES,
} cause_t;

static const char *const cause_names[CAUSES] = {
	"over-limit", "quota-unknown", "quarantined", "refused",
	"queued",     "no-server",     "server-lost", "failed",
	"slow",	      "late",	       "late-queued", "paused",
	"stopping",   "caller-gone",   "left-out",
};

/* The beginning of an outcome in request_end, and its cause. */
static const struct {
	const char *outcome;
	cause_t cause;
} causes[] = {
	{ "over-limit", CAUSE_QUOTA },
	{ "quota-unknown", CAUSE_QUOTA_LOST },
	{ "quarantined", CAUSE_QUARANTINED },
	{ "cannot-finish", CAUSE_REFUSED },
	{ "expired-waiting", CAUSE_QUEUED },
	{ "time is up, not sent", CAUSE_QUEUED },
	{ "time is up", CAUSE_SLOW },
	{ "no server", CAUSE_NO_SERVER },
	{ "no-server", CAUSE_NO_SERVER },
	{ "server lost", CAUSE_SERVER_LOST },
	{ "caller gone", CAUSE_CALLER },
	{ "no configuration yet", CAUSE_STOPPING },
	{ "stopping", CAUSE_STOPPING },
};

typedef struct losses_args {
	gboolean routes;
	int seconds; /* of a row; 0: no rows by time */
} losses_args_t;

typedef struct losses {
	const losses_args_t *args;
	GHashTable *targets; /* ms by request id, of the requests under way */
	GHashTable *rows;    /* uint64_t[CAUSES] by name of the row */
} losses_t;

static uint64_t *row_get(losses_t *l, const char *name)
{
	uint64_t *row = g_hash_table_lookup(l->rows, name);

	if (row)
		return row;
	row = g_new0(uint64_t, CAUSES);
	g_hash_table_insert(l->rows, g_strdup(name), row);
	return row;
}

/* Returns the time of a line in seconds since 1970; 0: it has none. */
static int64_t seconds_of(const char *line)
{
	char *text = g_strndup(line, LOG_STAMP_BYTES);
	GDateTime *at = g_date_time_new_from_iso8601(text, NULL);
	int64_t s = at ? g_date_time_to_unix(at) : 0;

	if (at)
		g_date_time_unref(at);
	g_free(text);
	return s;
}

static void count(losses_t *l, const char *line, const char *route,
		  cause_t cause, uint64_t n)
{
	char name[128];
	int64_t s;

	row_get(l, "all")[cause] += n;
	if (l->args->routes && route) {
		g_snprintf(name, sizeof(name), "route=%s", route);
		row_get(l, name)[cause] += n;
	}
	if (l->args->seconds == 0)
		return;
	s = seconds_of(line);
	g_snprintf(name, sizeof(name), "from=%" PRId64,
		   s - s % l->args->seconds);
	row_get(l, name)[cause] += n;
}

/* Returns the cause of an answered request's loss; CAUSES: it was not lost. */
static cause_t answered_cause(losses_t *l, const char *line, const char *id)
{
	gpointer target = id ? g_hash_table_lookup(l->targets, id) : NULL;
	int64_t first = log_number(line, "first_ms", -1);
	int64_t gap_target = log_number(line, "gap_target_ms", 0);

	if (log_number(line, "status", 0) >= STATUS_SERVER_ERROR)
		return CAUSE_FAILED;
	if (target && first > GPOINTER_TO_INT(target))
		return log_number(line, "wait_ms", 0) * 2 >
				       GPOINTER_TO_INT(target)
			       ? CAUSE_LATE_QUEUED
			       : CAUSE_LATE;
	return gap_target > 0 && log_number(line, "gap_ms", 0) > gap_target
		       ? CAUSE_PAUSED
		       : CAUSES;
}

static cause_t cause_of(losses_t *l, const char *line, const char *outcome,
			const char *id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		if (g_str_has_prefix(outcome, causes[i].outcome))
			return causes[i].cause;
	}
	return strcmp(outcome, "answered") == 0 ? answered_cause(l, line, id)
						: CAUSES;
}

/* Whether requests lost so were answered, and are logged as a sample. */
static bool is_sampled(cause_t cause)
{
	return cause == CAUSE_LATE || cause == CAUSE_LATE_QUEUED ||
	       cause == CAUSE_PAUSED;
}

static void take_end(losses_t *l, const char *line)
{
	char *outcome = log_field(line, "outcome");
	char *id = log_field(line, "id");
	char *route = log_field(line, "route");
	cause_t cause = outcome ? cause_of(l, line, outcome, id) : CAUSES;

	if (cause != CAUSES)
		count(l, line, route, cause,
		      is_sampled(cause) ? LOG_SAMPLE_ONE_IN : 1);
	if (id)
		g_hash_table_remove(l->targets, id);
	g_free(outcome);
	g_free(id);
	g_free(route);
}

static void take_accepted(losses_t *l, const char *line)
{
	char *id = log_field(line, "id");
	int64_t target = log_number(line, "target_ms", 0);

	if (id && target > 0)
		g_hash_table_replace(l->targets, g_strdup(id),
				     GINT_TO_POINTER((gint)target));
	g_free(id);
}

static void take_line(losses_t *l, char *line)
{
	const char *at = log_stamp(line);

	g_strchomp(line);
	if (!at)
		return;
	if (strstr(at, " event=request_end "))
		take_end(l, at);
	else if (strstr(at, " step=accepted "))
		take_accepted(l, at);
	else if (strstr(at, " event=requests_left_out "))
		count(l, at, NULL, CAUSE_LEFT_OUT,
		      (uint64_t)log_number(at, "requests", 0));
}

static bool read_file(losses_t *l, const char *name)
{
	FILE *f = fopen(name, "r");
	char line[LINE_BYTES];

	if (!f)
		return false;
	while (fgets(line, sizeof(line), f))
		take_line(l, line);
	fclose(f);
	return true;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* Prints a line for each row and cause that has requests, "all" first. */
static void print_rows(const losses_t *l)
{
	GList *names = g_list_sort(g_hash_table_get_keys(l->rows), by_name);

	for (const GList *n = names; n; n = n->next) {
		const uint64_t *row = g_hash_table_lookup(l->rows, n->data);

		for (int c = 0; c < CAUSES; c++) {
			if (row[c] > 0)
				printf("%-24s %-13s %8" PRIu64 "\n",
				       (const char *)n->data, cause_names[c],
				       row[c]);
		}
	}
	g_list_free(names);
}

static bool parse(losses_args_t *a, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "routes", 0, 0, G_OPTION_ARG_NONE, &a->routes,
		  "Count by route as well", NULL },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &a->seconds,
		  "Count by time as well, in rows of so many seconds", "N" },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new("LOG...");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &err);
	if (!ok)
		usage_error("losses: %s", err->message);
	g_clear_error(&err);
	g_option_context_free(ctx);
	if (ok && (a->seconds < 0 || a->seconds > SECONDS_MAX)) {
		usage_error("losses: --seconds is from 0 to %d", SECONDS_MAX);
		ok = false;
	}
	if (ok && *argc < 2) {
		usage_error("losses: expected LOG...");
		ok = false;
	}
	return ok;
}

/* Counts lost requests in the log files of argv. */
int run_losses(int argc, char **argv)
{
	losses_args_t args = { 0 };
	losses_t l = { .args = &args };
	int code = EXIT_DONE;

	if (!parse(&args, &argc, &argv))
		return EXIT_USAGE;
	l.targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l.rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 1; i < argc && code == EXIT_DONE; i++) {
		if (!read_file(&l, argv[i]))
			code = failure("cannot open %s", argv[i]);
	}
	if (code == EXIT_DONE)
		print_rows(&l);
	g_hash_table_destroy(l.targets);
	g_hash_table_destroy(l.rows);
	return code;
}
