/* One stream of the platform's log: appending, and reading on. */
#include <inttypes.h>
#include "platform/fns.h"

enum {
	PAGE_RECORDS = 100,   /* asked for at once */
	RETRY_MAX_MS = 10000, /* longest wait while the log is unreachable */
};

/* An append that awaits its answer. */
typedef struct append {
	list_t link;
	logc_t *l;
	fetch_t *fetch;
	log_appended_t done;
	void *ctx;
} append_t;

struct logc {
	uv_loop_t *loop;
	httpc_t *http;
	addr_t platform;
	char *path; /* of the stream */
	ms_t poll;
	list_t appends;

	bool reading; /* logc_read was called */
	bool again;   /* woken while a read is under way */
	log_reader_ops_t ops;
	void *ctx;
	uint64_t from; /* offset of the next record to give */
	fetch_t *fetch;
	uv_timer_t timer;
	backoff_t retry;
	GRand *rand;
	bool known; /* reachable was told once */
	bool reachable;
};

static void read_page(logc_t *l);

static void on_timer(uv_timer_t *t)
{
	read_page(t->data);
}

static void read_after(logc_t *l, ms_t wait)
{
	uv_timer_start(&l->timer, on_timer, (uint64_t)wait, 0);
}

/* Makes a client of the stream; poll is the period of reading its end. */
logc_t *logc_new(uv_loop_t *loop, httpc_t *http, const addr_t *platform,
		 const char *ns, const char *stream, ms_t poll)
{
	logc_t *l = g_new0(logc_t, 1);

	l->loop = loop;
	l->http = http;
	l->platform = *platform;
	l->path = g_strdup_printf("/v1/logs/%s/%s", ns, stream);
	l->poll = poll;
	list_init(&l->appends);
	backoff_init(&l->retry, poll, MAX(poll, RETRY_MAX_MS));
	l->rand = g_rand_new();
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	return l;
}

/* Tells what is certain of an append from its answer. */
static code_t append_code(code_t code, int status, str_t body, uint64_t *offset)
{
	if (status == 429)
		return CODE_THROTTLED;
	if (status == 503 || (status >= 400 && status < 500) ||
	    code == CODE_NOT_SENT)
		return CODE_UNREACHABLE;
	if (status == 200 && code == CODE_OK && log_offset_parse(body, offset))
		return CODE_OK;
	return CODE_ANSWER_LOST;
}

static void on_appended(void *ctx, code_t code, int status, str_t body)
{
	append_t *a = ctx;
	logc_t *l = a->l;
	uint64_t offset = 0;
	code_t result = append_code(code, status, body, &offset);
	log_appended_t done = a->done;
	void *done_ctx = a->ctx;

	list_del(&a->link);
	g_free(a);
	if (result == CODE_OK || result == CODE_ANSWER_LOST)
		logc_wake(l);
	done(done_ctx, result, offset);
}

/* Appends a record. done comes later, unless logc_free comes first. */
void logc_append(logc_t *l, str_t data, log_appended_t done, void *ctx)
{
	append_t *a = g_new0(append_t, 1);

	a->l = l;
	a->done = done;
	a->ctx = ctx;
	list_add_tail(&l->appends, &a->link);
	a->fetch = fetch_start(l->http, &l->platform, "POST", l->path, data,
			       on_appended, a);
}

static void set_reachable(logc_t *l, bool yes)
{
	bool change = !l->known || l->reachable != yes;

	l->known = true;
	l->reachable = yes;
	if (change && l->ops.reachable)
		l->ops.reachable(l->ctx, yes);
}

/* Moves on to an offset, telling that records before it are gone. */
static void skip_to(logc_t *l, uint64_t offset)
{
	if (offset <= l->from)
		return;
	l->from = offset;
	if (l->ops.forgotten)
		l->ops.forgotten(l->ctx, offset);
}

/* Gives the records of a page that were not given before. */
static void give_records(logc_t *l, const log_page_t *p)
{
	const GArray *records = log_page_records(p);

	skip_to(l, log_page_first(p));
	for (guint i = 0; i < records->len; i++) {
		const log_record_t *r =
			&g_array_index(records, log_record_t, i);

		if (r->offset < l->from)
			continue;
		skip_to(l, r->offset);
		l->from = r->offset + 1;
		l->ops.record(l->ctx, r);
	}
}

/*
 * Handles a page. One from an older view of the log, whose end lies before
 * what was given already, changes nothing.
 */
static void take_page(logc_t *l, const log_page_t *p)
{
	uint64_t next = log_page_next(p);
	bool some = log_page_records(p)->len > 0;

	give_records(l, p);
	if (l->from == next && l->ops.caught_up)
		l->ops.caught_up(l->ctx, next);
	if ((l->from < next && some) || l->again)
		read_after(l, 0);
	else
		read_after(l, l->poll);
}

static void on_page(void *ctx, code_t code, int status, str_t body)
{
	logc_t *l = ctx;
	log_page_t *p = NULL;

	l->fetch = NULL;
	if (code == CODE_OK && status == 200)
		p = log_page_parse(body);
	set_reachable(l, p != NULL);
	if (!p) {
		read_after(l, backoff_next(&l->retry, l->rand));
		return;
	}
	backoff_reset(&l->retry);
	take_page(l, p);
	log_page_free(p);
}

static void read_page(logc_t *l)
{
	char *path = g_strdup_printf("%s?from=%" PRIu64 "&max=%d", l->path,
				     l->from, PAGE_RECORDS);

	l->again = false;
	l->fetch = fetch_start(l->http, &l->platform, "GET", path, str_of(NULL),
			       on_page, l);
	g_free(path);
}

/* Reads the stream from an offset on, for ever. Called once. */
void logc_read(logc_t *l, uint64_t from, const log_reader_ops_t *ops, void *ctx)
{
	l->reading = true;
	l->ops = *ops;
	l->ctx = ctx;
	l->from = from;
	read_after(l, 0);
}

/* Reads now instead of at the next period. */
void logc_wake(logc_t *l)
{
	if (!l->reading)
		return;
	if (l->fetch)
		l->again = true;
	else
		read_after(l, 0);
}

static void on_closed(uv_handle_t *h)
{
	logc_t *l = h->data;

	g_rand_free(l->rand);
	g_free(l->path);
	g_free(l);
}

/* Stops reading and drops appends; the loop must still run once. */
void logc_free(logc_t *l)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &l->appends)
	{
		append_t *a = list_entry(pos, append_t, link);

		fetch_cancel(a->fetch);
		g_free(a);
	}
	if (l->fetch)
		fetch_cancel(l->fetch);
	uv_close((uv_handle_t *)&l->timer, on_closed);
}
