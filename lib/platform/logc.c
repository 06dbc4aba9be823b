/* Client of one stream of the platform's log: appends and reads records. */
#include <inttypes.h>
#include "platform/fns.h"

enum {
	PAGE_RECORDS_MAX = 100, /* requested in one read */
	BACKOFF_MAX_MS = 10000, /* longest delay while the log is unreachable */
};

/* An append in flight. */
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
	char *path; /* URL path of the stream */
	ms_t poll;
	list_t appends;

	bool reading;	 /* logc_read was called */
	bool read_again; /* logc_wake was called during a read */
	log_reader_ops_t ops;
	void *ctx;
	uint64_t from; /* offset of the next record to deliver */
	fetch_t *fetch;
	uv_timer_t timer;
	backoff_t backoff;
	GRand *rand;
	bool reachable_known; /* reachable was reported before */
	bool reachable;
};

static void read_page(logc_t *l);

static void on_timer(uv_timer_t *t)
{
	read_page(t->data);
}

static void read_after(logc_t *l, ms_t delay)
{
	uv_timer_start(&l->timer, on_timer, (uint64_t)delay, 0);
}

/*
 * Makes a client of a stream; poll is the time between reads, in milliseconds,
 * once the reader has caught up.
 */
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
	backoff_init(&l->backoff, poll, MAX(poll, BACKOFF_MAX_MS));
	l->rand = g_rand_new();
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	return l;
}

/* Maps the response to an append to the code for its caller. */
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

/* Appends a record. done is called later, unless logc_free is called first. */
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
	bool changed = !l->reachable_known || l->reachable != yes;

	l->reachable_known = true;
	l->reachable = yes;
	if (changed && l->ops.reachable)
		l->ops.reachable(l->ctx, yes);
}

/* Advances to offset and reports that the records before it are gone. */
static void skip_to(logc_t *l, uint64_t offset)
{
	if (offset <= l->from)
		return;
	l->from = offset;
	if (l->ops.truncated)
		l->ops.truncated(l->ctx, offset);
}

/* Delivers the records of a page that were not delivered before. */
static void deliver_records(logc_t *l, const log_page_t *p)
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
 * Handles a page and schedules the next read. A page from an older view of the
 * log, which ends before the records delivered already, is ignored.
 */
static void handle_page(logc_t *l, const log_page_t *p)
{
	uint64_t next = log_page_next(p);
	bool has_records = log_page_records(p)->len > 0;

	deliver_records(l, p);
	if (l->from == next && l->ops.caught_up)
		l->ops.caught_up(l->ctx, next);
	if ((l->from < next && has_records) || l->read_again)
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
		read_after(l, backoff_next(&l->backoff, l->rand));
		return;
	}
	backoff_reset(&l->backoff);
	handle_page(l, p);
	log_page_free(p);
}

static void read_page(logc_t *l)
{
	char *path = g_strdup_printf("%s?from=%" PRIu64 "&max=%d", l->path,
				     l->from, PAGE_RECORDS_MAX);

	l->read_again = false;
	l->fetch = fetch_start(l->http, &l->platform, "GET", path, str_of(NULL),
			       on_page, l);
	g_free(path);
}

/* Reads the stream from offset from until logc_free. Called once. */
void logc_read(logc_t *l, uint64_t from, const log_reader_ops_t *ops, void *ctx)
{
	l->reading = true;
	l->ops = *ops;
	l->ctx = ctx;
	l->from = from;
	read_after(l, 0);
}

/* Reads now instead of at the next poll; no effect before logc_read. */
void logc_wake(logc_t *l)
{
	if (!l->reading)
		return;
	if (l->fetch)
		l->read_again = true;
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

/*
 * Stops reading and cancels appends, whose done is not called. The loop has to
 * run once more to free the client.
 */
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
