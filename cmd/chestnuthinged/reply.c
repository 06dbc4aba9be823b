/*
 * Answers to callers, sent after the handler has returned. A reply is allocated
 * from the memory pool of h2o's request and freed with it.
 */
#include <errno.h>
#include <string.h>
#include "fns.h"

/*
 * Reports once that the caller is gone; false if there is nobody to report to.
 */
static bool report_gone(reply_t *r)
{
	void (*on_gone)(void *, reply_t *) = r->on_gone;

	r->on_gone = NULL;
	if (r->ended || !on_gone)
		return false;
	r->ended = true;
	on_gone(r->ctx, r);
	return true;
}

static void on_dispose(void *p)
{
	reply_t *r = p;

	report_gone(r);
	list_del(&r->link);
	g_byte_array_free(r->data, TRUE);
	g_byte_array_free(r->sending, TRUE);
	g_free(r->content_type);
	g_free(r->service);
}

static void send_more(reply_t *r)
{
	GByteArray *spare = r->sending;
	bool last = r->end_after_data;
	h2o_iovec_t buf;

	r->sending = r->data;
	r->data = spare;
	g_byte_array_set_size(r->data, 0);
	r->busy = true;
	r->sent_at = clock_now();
	buf = h2o_iovec_init(r->sending->data, r->sending->len);
	h2o_send(r->req, &buf, buf.len > 0,
		 last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* h2o has written what it was given. */
static void on_proceed(h2o_generator_t *g, h2o_req_t *req)
{
	reply_t *r = H2O_STRUCT_FROM_MEMBER(reply_t, generator, g);

	(void)req;
	r->busy = false;
	if (r->abort_pending)
		h2o_send(r->req, NULL, 0, H2O_SEND_STATE_ERROR);
	else if (r->data->len > 0 || r->end_after_data)
		send_more(r);
}

static void on_stop(h2o_generator_t *g, h2o_req_t *req)
{
	(void)req;
	report_gone(H2O_STRUCT_FROM_MEMBER(reply_t, generator, g));
}

/* Makes the reply to a request that h2o has just received. */
reply_t *reply_new(web_t *w, h2o_req_t *req)
{
	reply_t *r = h2o_mem_alloc_shared(&req->pool, sizeof(*r), on_dispose);

	memset(r, 0, sizeof(*r));
	r->generator.proceed = on_proceed;
	r->generator.stop = on_stop;
	r->web = w;
	r->req = req;
	r->first_at = -1;
	r->tier = TIER_LOWEST;
	r->data = g_byte_array_new();
	r->sending = g_byte_array_new();
	r->data_max = w->answer_max;
	list_add_tail(&w->replies, &r->link);
	return r;
}

/* Returns a header of the request, to be freed with g_free; NULL if absent. */
char *reply_header(const reply_t *r, const char *name)
{
	const h2o_headers_t *hs = &r->req->headers;
	ssize_t i = h2o_find_header_by_str(hs, name, strlen(name), -1);

	if (i < 0)
		return NULL;
	return g_strndup(hs->entries[i].value.base, hs->entries[i].value.len);
}

/*
 * Adds a header to the answer, before it begins. h2o looks up lower-case names
 * only, so the name is added in lower case and as given.
 */
void reply_add_header(reply_t *r, const char *name, const char *value)
{
	h2o_mem_pool_t *pool = &r->req->pool;
	h2o_iovec_t as_given = h2o_strdup(pool, name, SIZE_MAX);
	h2o_iovec_t n = h2o_strdup(pool, name, SIZE_MAX);
	h2o_iovec_t v = h2o_strdup(pool, value, SIZE_MAX);

	h2o_strtolower(n.base, n.len);
	h2o_add_header_by_str(pool, &r->req->res.headers, n.base, n.len, 0,
			      as_given.base, v.base, v.len);
}

static void start(reply_t *r, int status, const char *type, size_t length)
{
	h2o_iovec_t t = h2o_strdup(&r->req->pool, type, SIZE_MAX);

	r->started = true;
	r->req->res.status = status;
	r->req->res.reason = status < 400 ? "OK" : "Error";
	r->req->res.content_length = length;
	if (t.len > 0)
		h2o_add_header(&r->req->pool, &r->req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE, NULL, t.base, t.len);
	h2o_start_response(r->req, &r->generator);
}

/*
 * Returns whether an answer with that status is sent chunked, so that a missing
 * last chunk shows the caller that it was truncated. h2o uses chunked coding
 * for status 200 and HTTP/1.1 only.
 */
bool reply_is_chunked(const reply_t *r, int status)
{
	return status == 200 && r->req->version >= 0x101;
}

/*
 * Sets status and type of the answer. A streamed answer begins now; any other
 * is buffered until its end, so that a truncated one never looks complete.
 */
void reply_begin(reply_t *r, int status, str_t content_type)
{
	if (r->ended)
		return;
	r->status = status;
	g_free(r->content_type);
	r->content_type = str_dup(content_type);
	if (!r->streamed)
		return;
	start(r, status, r->content_type, SIZE_MAX);
	send_more(r);
}

/*
 * Adds data to the answer. Beyond data_max bytes it is dropped, and reply_sweep
 * closes the connection of the caller, which does not read.
 */
void reply_data(reply_t *r, str_t data)
{
	if (r->ended || r->overflowed)
		return;
	if (r->data->len + data.n > r->data_max) {
		r->overflowed = true;
		return;
	}
	g_byte_array_append(r->data, (const guint8 *)data.p, data.n);
	if (r->started && !r->busy)
		send_more(r);
}

static bool is_head(const reply_t *r)
{
	const h2o_iovec_t *m = &r->req->input.method;

	return h2o_memis(m->base, m->len, H2O_STRLIT("HEAD"));
}

/* Ends a complete answer; that to a HEAD request has no body. */
void reply_end(reply_t *r)
{
	if (r->ended)
		return;
	r->ended = true;
	r->end_after_data = true;
	if (!r->started) {
		start(r, r->status, r->content_type ? r->content_type : "",
		      r->data->len);
		if (is_head(r))
			g_byte_array_set_size(r->data, 0);
	}
	if (!r->busy)
		send_more(r);
}

/*
 * Aborts an answer that has begun: the last chunk is not sent and the
 * connection closes. r may be freed on return.
 */
void reply_abort(reply_t *r)
{
	if (r->ended)
		return;
	r->ended = true;
	r->req->http1_is_persistent = 0;
	if (!r->started)
		start(r, 502, "", SIZE_MAX);
	if (r->busy)
		r->abort_pending = true;
	else
		h2o_send(r->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Sends a complete answer. */
void reply_send(reply_t *r, int status, const char *content_type, str_t body)
{
	if (r->ended)
		return;
	r->status = status;
	g_free(r->content_type);
	r->content_type = g_strdup(content_type);
	g_byte_array_set_size(r->data, 0);
	g_byte_array_append(r->data, (const guint8 *)body.p, body.n);
	reply_end(r);
}

/*
 * Answers with an error. Where the status has a Retry-After, it is retry, in
 * ms, rounded up to seconds and at least 1.
 */
void reply_refuse(reply_t *r, code_t code, const char *message, ms_t retry)
{
	char text[512];
	int status = code_http_status(code);

	if (r->ended)
		return;
	reply_add_header(r, "Chestnuthinge-Outcome",
			 code_not_run(code) ? "not-run" : "unknown");
	if (status == 429 || (status == 503 && code_not_run(code))) {
		ms_t s = (MAX(retry, RETRY_AFTER_MIN) + 999) / 1000;

		g_snprintf(text, sizeof(text), "%d", (int)s);
		reply_add_header(r, "Retry-After", text);
	}
	g_snprintf(text, sizeof(text),
		   "{\"error\":{\"code\":%d,\"name\":\"%s\","
		   "\"message\":\"%s\"}}\n",
		   (int)code, code_name(code), message);
	reply_send(r, status, "application/json", str_of(text));
}

static int fd_of(const reply_t *r)
{
	h2o_conn_t *conn = r->req->conn;

	return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

/*
 * The caller is gone: reports it to the owner and closes the connection. Unsent
 * data is dropped. r may be freed on return.
 */
static void drop_caller(reply_t *r)
{
	if (!report_gone(r))
		return;
	if (r->busy)
		shutdown(fd_of(r), SHUT_RDWR);
	r->ended = false;
	reply_abort(r);
}

/*
 * Returns whether the caller has closed the connection. h2o can't see it, as it
 * does not read from the connection while a request is being answered.
 */
static bool caller_gone(const reply_t *r)
{
	char byte;
	ssize_t n = recv(fd_of(r), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0)
		return errno != EAGAIN && errno != EWOULDBLOCK &&
		       errno != EINTR;
	return n == 0;
}

/*
 * Ends a reply whose caller has hung up, does not read, or has taken no data
 * for longer than stall ms. r may be freed on return.
 */
void reply_sweep(reply_t *r, ms_t stall, ms_t now)
{
	bool stalled = r->busy && now - r->sent_at > stall;

	if (r->ended && stalled)
		shutdown(fd_of(r), SHUT_RDWR);
	else if (!r->ended && (stalled || r->overflowed || caller_gone(r)))
		drop_caller(r);
}
