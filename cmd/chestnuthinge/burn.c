/* burn: the rate at which services use up their error budgets. */
#include <inttypes.h>
#include <stdlib.h>
#include "fns.h"

enum {
	PERCENT = 100,
};

typedef struct burn_args {
	options_t o;
	double target; /* good requests, percent */
	int short_s;   /* short window: between the two scrapes */
	int long_s;    /* long window: maximum age of a scrape in the history */
	char *history; /* file of earlier scrapes, or NULL */
	gboolean csv;
} burn_args_t;

/* The counters of all entries at one time, summed. */
typedef struct scrape {
	int64_t at; /* seconds since 1970 */
	GPtrArray *tallies;
} scrape_t;

static bool scrape_entry(GPtrArray *sum, const char *entry)
{
	code_t code;
	char *text = page_get(entry, "/metrics", &code);
	GPtrArray *one;

	if (!text) {
		failure("entry %s: %s", entry, code_name(code));
		return false;
	}
	one = scrape_parse(str_of(text));
	for (guint i = 0; i < one->len; i++) {
		const tally_t *t = one->pdata[i];
		tally_t *to = tally_get(sum, t->service, t->tier);

		to->total += t->total;
		to->good += t->good;
	}
	g_ptr_array_free(one, TRUE);
	g_free(text);
	return true;
}

/* Scrapes all entries. Returns false after a message if one fails. */
static bool scrape_entries(const burn_args_t *b, scrape_t *s)
{
	bool ok = true;

	s->at = clock_unix();
	s->tallies = tallies_new();
	for (size_t i = 0; ok && b->o.entries[i]; i++)
		ok = scrape_entry(s->tallies, b->o.entries[i]);
	return ok;
}

static void read_history_line(scrape_t *s, char **f, int64_t since)
{
	int64_t at = g_ascii_strtoll(f[0], NULL, 10);
	tally_t *t;

	if (at < since || (s->at != 0 && at != s->at))
		return;
	s->at = at;
	t = tally_get(s->tallies, f[1], atoi(f[2]));
	t->total = g_ascii_strtoull(f[3], NULL, 10);
	t->good = g_ascii_strtoull(f[4], NULL, 10);
}

/*
 * Reads the oldest scrape in the long window from the history. Without one the
 * scrape is empty, and the window starts where the counters do.
 */
static void read_history(const burn_args_t *b, scrape_t *s, int64_t now)
{
	char *text = NULL;
	char **lines;

	s->at = 0;
	s->tallies = tallies_new();
	if (!b->history || !g_file_get_contents(b->history, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		char **f = g_strsplit(lines[i], ",", -1);

		if (g_strv_length(f) == 5)
			read_history_line(s, f, now - b->long_s);
		g_strfreev(f);
	}
	g_strfreev(lines);
	g_free(text);
}

/* Appends a scrape to the history: time, service, tier, total, good. */
static bool write_history(const burn_args_t *b, const scrape_t *s)
{
	FILE *f = b->history ? fopen(b->history, "a") : NULL;

	if (!b->history)
		return true;
	if (!f) {
		failure("cannot open %s for writing", b->history);
		return false;
	}
	for (guint i = 0; i < s->tallies->len; i++) {
		const tally_t *t = s->tallies->pdata[i];

		fprintf(f, "%" PRId64 ",%s,%d,%" PRIu64 ",%" PRIu64 "\n", s->at,
			t->service, t->tier, t->total, t->good);
	}
	return fclose(f) == 0;
}

/* Counts since an earlier scrape; a counter that fell restarted at zero. */
static tally_t counted_since(const tally_t *now, const scrape_t *before)
{
	const tally_t *t = tally_find(before->tallies, now->service, now->tier);
	tally_t d = *now;

	if (t && t->total <= now->total && t->good <= now->good) {
		d.total -= t->total;
		d.good -= t->good;
	}
	return d;
}

/* Share of bad requests divided by the share that the target allows. */
static double burn_rate(const burn_args_t *b, const tally_t *d)
{
	double bad = (double)(d->total - MIN(d->good, d->total));

	if (d->total == 0)
		return 0;
	return bad / (double)d->total / (1 - b->target / PERCENT);
}

static void print_row(const burn_args_t *b, const tally_t *t,
		      const scrape_t *first, const scrape_t *history)
{
	tally_t s = counted_since(t, first);
	tally_t l = counted_since(t, history);
	const char *format = b->csv ? "%s,%d,%" PRIu64 ",%" PRIu64
				      ",%.3f,%" PRIu64 ",%" PRIu64 ",%.3f\n"
				    : "%-20s %4d %10" PRIu64 " %10" PRIu64
				      " %8.2f %10" PRIu64 " %10" PRIu64
				      " %8.2f\n";

	printf(format, t->service, t->tier, s.total, s.good, burn_rate(b, &s),
	       l.total, l.good, burn_rate(b, &l));
}

static void print_all(const burn_args_t *b, const scrape_t *first,
		      const scrape_t *last, const scrape_t *history)
{
	const char *header =
		b->csv ? "service,tier,short_total,short_good,short_burn,"
			 "long_total,long_good,long_burn\n"
		       : "service              tier  short_all short_good     "
			 "burn   long_all  long_good     burn\n";

	if (!b->csv)
		printf("target %.2f %%, short %d s, long %s\n", b->target,
		       b->short_s,
		       history->at ? "from the history" : "from the start");
	fputs(header, stdout);
	for (guint i = 0; i < last->tallies->len; i++)
		print_row(b, last->tallies->pdata[i], first, history);
}

static int report(const burn_args_t *b)
{
	scrape_t first = { 0 };
	scrape_t last = { 0 };
	scrape_t history = { 0 };
	int code = EXIT_FAILED;

	if (scrape_entries(b, &first)) {
		g_usleep((gulong)b->short_s * MS_PER_S * MS_PER_S);
		if (scrape_entries(b, &last)) {
			read_history(b, &history, last.at);
			print_all(b, &first, &last, &history);
			if (write_history(b, &last))
				code = EXIT_DONE;
		}
	}
	if (first.tallies)
		g_ptr_array_free(first.tallies, TRUE);
	if (last.tallies)
		g_ptr_array_free(last.tallies, TRUE);
	if (history.tallies)
		g_ptr_array_free(history.tallies, TRUE);
	return code;
}

/* Checks the ranges of the options, then reports. */
static int check_and_report(const burn_args_t *b)
{
	if (!b->o.entries)
		return usage_error("burn: expected --entry IP:PORT");
	if (b->target <= 0 || b->target >= PERCENT)
		return usage_error("burn: --target: expected 0 < N < 100");
	if (b->short_s < 1 || b->long_s <= b->short_s)
		return usage_error("burn: expected 1 <= --short < --long");
	return report(b);
}

/* Prints the burn rate of each service and tier over two windows. */
int run_burn(int argc, char **argv)
{
	burn_args_t b = { .target = 95, .short_s = 5, .long_s = 3600 };
	const GOptionEntry more[] = {
		{ "target", 0, 0, G_OPTION_ARG_DOUBLE, &b.target,
		  "Target share of good requests, percent", "N" },
		{ "short", 0, 0, G_OPTION_ARG_INT, &b.short_s,
		  "Short window, between the two scrapes", "SECONDS" },
		{ "long", 0, 0, G_OPTION_ARG_INT, &b.long_s,
		  "Maximum length of the long window", "SECONDS" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &b.history,
		  "File of earlier scrapes, read and appended to", "FILE" },
		{ "csv", 0, 0, G_OPTION_ARG_NONE, &b.csv,
		  "Print comma-separated values", NULL },
		{ 0 },
	};
	int code = EXIT_USAGE;

	if (options_parse(command_find("burn"), more, &b.o, &argc, &argv))
		code = check_and_report(&b);
	g_free(b.history);
	options_clear(&b.o);
	return code;
}
