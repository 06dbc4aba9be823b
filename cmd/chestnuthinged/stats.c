/* Counters of requests, and of this process. */
#include <sys/resource.h>
#include "fns.h"

enum {
	LABELS_MAX = 256,
	HTTP_SERVER_ERROR = 500, /* and above */
	US_PER_MS = 1000,
	MS_PER_S = 1000,
};

/* Upper bounds of the first token's latency, in milliseconds. */
static const ms_t bounds[] = { 10,  20,	  50,	100,  200,
			       500, 1000, 2000, 5000, 10000 };

static void count(stats_t *s, const char *name, const char *service, int tier,
		  const char *more)
{
	char labels[LABELS_MAX];

	g_snprintf(labels, sizeof(labels), "service=\"%s\",tier=\"%d\"%s",
		   service, tier, more);
	counter_get(s->all, name, labels)->value++;
}

/* Counts a request that was refused before it was submitted. */
void stats_refuse(stats_t *s, const char *service, int tier, code_t code)
{
	char more[64];

	g_snprintf(more, sizeof(more), ",code=\"%s\"", code_name(code));
	count(s, "chestnuthinge_requests_total", service, tier, more);
}

static void count_first(stats_t *s, const reply_t *r)
{
	static const char name[] = "chestnuthinge_first_token_ms_bucket";
	ms_t took = r->first - r->began;
	char more[64];

	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		if (took > bounds[i])
			continue;
		g_snprintf(more, sizeof(more), ",le=\"%d\"", (int)bounds[i]);
		count(s, name, r->service, r->tier, more);
	}
	count(s, name, r->service, r->tier, ",le=\"+Inf\"");
	count(s, "chestnuthinge_first_token_ms_count", r->service, r->tier, "");
}

/*
 * Tells whether a whole answer met its targets: of the first token and, where
 * parts came one by one, of the mean time between them. A model's answer that
 * was asked for in one piece has no first token to be seen here.
 */
static bool is_good(const reply_t *r, code_t code, int status)
{
	ms_t first = r->first - r->began;
	ms_t rest = r->last - r->first;

	if (code != CODE_OK || status >= HTTP_SERVER_ERROR || r->first < 0)
		return false;
	if (r->model && !r->streamed)
		return true;
	if (r->first_target > 0 && first > r->first_target)
		return false;
	return r->gap_target == 0 || r->parts < 2 ||
	       rest <= r->gap_target * (ms_t)(r->parts - 1);
}

/* Counts a submitted request at its end. */
void stats_end(stats_t *s, const reply_t *r, code_t code, int status, ms_t now)
{
	(void)now;
	stats_refuse(s, r->service, r->tier, code);
	if (r->first >= 0)
		count_first(s, r);
	if (is_good(r, code, status))
		count(s, "chestnuthinge_good_total", r->service, r->tier, "");
}

/* Sets the gauges of the process's use of processor and memory. */
void stats_process(counters_t *counters)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	gauge_get(counters, "chestnuthinge_cpu_ms", "")->value =
		(uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * MS_PER_S +
		(uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / US_PER_MS;
	gauge_get(counters, "chestnuthinge_memory_max_kib", "")->value =
		(uint64_t)u.ru_maxrss;
}
