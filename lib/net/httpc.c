/*
 * HTTP client for backend servers and the platform. Each call opens its own
 * connection, so that it is always known whether a byte was written.
 */
#include <h2o.h>
#include <string.h>
#include "net/fns.h"

enum {
	SWEEP_MS = 20,			  /* period of looking for silence */
	LIBRARY_TIMEOUT_MS = 1000 * 3600, /* calls have their own */
	HEAD_MAX = 64 << 10,		  /* bytes of a head; looked at by the
					     sweep */
	INTERIM_MAX = 16,		  /* interim answers to a call */
	FINAL_STATUS_MIN = 200,		  /* statuses below end no call */
	FINAL_STATUS_MAX = 599,		  /* HTTP knows none above */
	FRAMING_MAX = 64 << 10, /* bytes of chunk lines and trailers, and */
	FRAMING_PER_BYTE = 8,	/* so many more for each byte of data */
};

struct httpc {
	uv_loop_t *loop;
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t client_ctx;
	uv_timer_t sweep;
	tick_t sweeps;
	uv_timer_t last; /* closed after every other handle */
	list_t reqs;
	bool sweeping; /* calls cancelled meanwhile stay in the list */
	counter_t *calls;
	counter_t *failures;
};

struct httpc_req {
	list_t link;
	httpc_t *c;
	httpc_ops_t ops;
	void *ctx;
	h2o_http1client_t *client; /* NULL once the library is done with it */
	char *host;
	GString *out; /* the request as written */
	h2o_iovec_t buf;
	bool is_head;
	ms_t silent;
	ms_t last_byte;
	code_t early; /* failed during the call itself; told by the sweep */
	size_t answer_max; /* bytes of the body; 0: no limit */
	size_t data;	   /* bytes of the body so far */
	size_t read;	   /* the same with chunk lines and trailers */
	unsigned int interim;
	bool headed; /* the final head has come */
	bool written;
	bool chunked;
	bool measured; /* has a Content-Length */
	bool in_library;
	bool cancelled;
};

static void req_free(httpc_req_t *r)
{
	list_del(&r->link);
	g_string_free(r->out, TRUE);
	g_free(r->host);
	g_free(r);
}

/* Tells the end once and frees the request. */
static void finish(httpc_req_t *r, code_t code)
{
	if (code != CODE_OK)
		r->c->failures->value++;
	r->client = NULL;
	if (!r->cancelled)
		r->ops.end(r->ctx, code);
	req_free(r);
}

static bool over_limit(const httpc_req_t *r)
{
	return (r->answer_max > 0 && r->data > r->answer_max) ||
	       r->read > r->data + FRAMING_MAX + FRAMING_PER_BYTE * r->data;
}

/* Ends a call whose answer is over a limit or none that HTTP knows. */
static void refuse(httpc_req_t *r, code_t code, const char *why)
{
	log_line(LOG_WARN, "answer_refused", "to=%s why=%s bytes=%zu", r->host,
		 why, r->read);
	finish(r, code);
}

/* Gives the library's input buffer to the caller. */
static void pass_input(httpc_req_t *r, h2o_socket_t *sock)
{
	str_t data = { sock->input->bytes, sock->input->size };

	r->read += sock->bytes_read;
	r->data += data.n;
	if (data.n == 0)
		return;
	if (!r->cancelled && !over_limit(r))
		r->ops.data(r->ctx, data);
	h2o_buffer_consume(&sock->input, sock->input->size);
}

/*
 * Decides whether an ended body is whole. The library also reports a good end
 * when the connection closes between two chunks; no byte came with it then.
 */
static code_t body_code(const httpc_req_t *r, const char *err,
			const h2o_socket_t *sock)
{
	if (err != h2o_http1client_error_is_eos)
		return CODE_CUT;
	if (r->chunked)
		return sock->bytes_read > 0 ? CODE_OK : CODE_CUT;
	return r->measured ? CODE_OK : CODE_CUT;
}

static int on_body(h2o_http1client_t *client, const char *err)
{
	httpc_req_t *r = client->data;
	code_t code;

	r->last_byte = clock_now();
	r->in_library = true;
	pass_input(r, client->sock);
	if (over_limit(r)) {
		refuse(r, CODE_BAD_ANSWER, "body");
		return err ? 0 : -1;
	}
	if (err) {
		code = body_code(r, err, client->sock);
		finish(r, code);
		return 0;
	}
	r->in_library = false;
	if (!r->cancelled)
		return 0;
	req_free(r);
	return -1;
}

/*
 * Whether the fields give the body's length more than once: which of them
 * counts depends on who reads them.
 */
static bool is_ambiguous(const h2o_header_t *headers, size_t n)
{
	unsigned int lengths = 0;

	for (size_t i = 0; i < n; i++)
		lengths += headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf ||
			   headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf;
	return lengths > 1;
}

static str_t find_type(httpc_req_t *r, const h2o_header_t *headers, size_t n)
{
	str_t type = { "", 0 };

	for (size_t i = 0; i < n; i++) {
		if (headers[i].name == &H2O_TOKEN_CONTENT_TYPE->buf)
			type = (str_t){ headers[i].value.base,
					headers[i].value.len };
		if (headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf)
			r->measured = true;
		if (headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf)
			r->chunked = true;
	}
	return type;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *err, int minor_version,
	int status, h2o_iovec_t msg, h2o_header_t *headers, size_t n, int rlen)
{
	httpc_req_t *r = client->data;
	str_t type;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	r->last_byte = clock_now();
	r->headed = true;
	if (err && err != h2o_http1client_error_is_eos) {
		finish(r, CODE_CUT);
		return NULL;
	}
	if (status < FINAL_STATUS_MIN || status > FINAL_STATUS_MAX) {
		refuse(r, CODE_CUT, "status");
		return NULL;
	}
	if (is_ambiguous(headers, n)) {
		refuse(r, CODE_CUT, "length");
		return NULL;
	}
	r->in_library = true;
	type = find_type(r, headers, n);
	r->ops.head(r->ctx, status, type);
	if (err) {
		finish(r, CODE_OK);
		return NULL;
	}
	r->in_library = false;
	if (!r->cancelled)
		return on_body;
	req_free(r);
	return NULL;
}

static int on_interim(h2o_http1client_t *client, int minor_version, int status,
		      h2o_iovec_t msg, h2o_header_t *headers, size_t n)
{
	httpc_req_t *r = client->data;

	(void)minor_version;
	(void)status;
	(void)msg;
	(void)headers;
	(void)n;
	if (++r->interim <= INTERIM_MAX)
		return 0;
	refuse(r, CODE_BAD_ANSWER, "interim");
	return -1;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *err, h2o_iovec_t **bufs,
					  size_t *nbufs, int *is_head)
{
	httpc_req_t *r = client->data;

	if (err && r->in_library) {
		r->early = CODE_NOT_SENT;
		r->client = NULL;
		return NULL;
	}
	if (err) {
		finish(r, CODE_NOT_SENT);
		return NULL;
	}
	if (r->cancelled) {
		req_free(r);
		return NULL;
	}
	r->last_byte = clock_now();
	r->written = true;
	client->informational_cb = on_interim;
	r->buf = h2o_iovec_init(r->out->str, r->out->len);
	*bufs = &r->buf;
	*nbufs = 1;
	*is_head = r->is_head;
	return on_head;
}

static void give_up(httpc_req_t *r)
{
	code_t code = r->written ? CODE_SILENT : CODE_NOT_SENT;

	if (r->client)
		h2o_http1client_cancel(r->client);
	finish(r, code);
}

static void drop(httpc_req_t *r)
{
	if (r->client)
		h2o_http1client_cancel(r->client);
	req_free(r);
}

/* Whether more bytes wait for the end of the head than it may have. */
static bool head_too_long(const httpc_req_t *r)
{
	return r->written && !r->headed && r->client && r->client->sock &&
	       r->client->sock->input->size > HEAD_MAX;
}

static void refuse_head(httpc_req_t *r)
{
	h2o_http1client_cancel(r->client);
	refuse(r, CODE_BAD_ANSWER, "head");
}

static bool is_due(const httpc_req_t *r, ms_t now)
{
	return r->silent > 0 && now - r->last_byte >= r->silent;
}

/*
 * Ends calls that failed at once, were silent for too long or get a head
 * without end.
 */
static void on_sweep(uv_timer_t *t)
{
	httpc_t *c = t->data;
	ms_t now = clock_now();
	list_t *pos;
	list_t *tmp;

	if (!tick_runs(&c->sweeps, now))
		return;
	c->sweeping = true;
	list_for_each_safe(pos, tmp, &c->reqs)
	{
		httpc_req_t *r = list_entry(pos, httpc_req_t, link);

		if (r->cancelled)
			drop(r);
		else if (r->early != CODE_OK)
			finish(r, r->early);
		else if (head_too_long(r))
			refuse_head(r);
		else if (is_due(r, now))
			give_up(r);
	}
	c->sweeping = false;
	if (list_empty(&c->reqs))
		uv_timer_stop(&c->sweep);
}

/* Makes a client; calls run on the loop that it is given. */
httpc_t *httpc_new(uv_loop_t *loop, counters_t *counters)
{
	httpc_t *c = g_new0(httpc_t, 1);

	c->loop = loop;
	list_init(&c->reqs);
	c->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(c->queue, &c->receiver,
					  h2o_hostinfo_getaddr_receiver);
	h2o_timeout_init(loop, &c->io_timeout, LIBRARY_TIMEOUT_MS);
	c->client_ctx.loop = loop;
	c->client_ctx.getaddr_receiver = &c->receiver;
	c->client_ctx.io_timeout = &c->io_timeout;
	uv_timer_init(loop, &c->sweep);
	uv_timer_init(loop, &c->last);
	c->sweep.data = c;
	c->last.data = c;
	c->calls = counter_get(counters, "chestnuthinge_http_calls_total", "");
	c->failures = counter_get(counters,
				  "chestnuthinge_http_call_failures_total", "");
	return c;
}

static void write_request(httpc_req_t *r, const httpc_call_t *call)
{
	char host[64];

	addr_print(&call->to, host);
	g_string_printf(r->out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s",
			call->method, call->path, host,
			call->headers ? call->headers : "");
	if (call->body.n > 0 || strcmp(call->method, "GET") != 0)
		g_string_append_printf(r->out, "Content-Length: %zu\r\n",
				       call->body.n);
	g_string_append(r->out, "Connection: close\r\n\r\n");
	if (call->body.n > 0)
		g_string_append_len(r->out, call->body.p, call->body.n);
}

/* Starts a call. Results come later, never before the return. */
httpc_req_t *httpc_call(httpc_t *c, const httpc_call_t *call,
			const httpc_ops_t *ops, void *ctx)
{
	httpc_req_t *r = g_new0(httpc_req_t, 1);

	r->c = c;
	r->ops = *ops;
	r->ctx = ctx;
	r->host = g_strdup(call->to.ip);
	r->out = g_string_new(NULL);
	r->is_head = strcmp(call->method, "HEAD") == 0;
	r->silent = call->silent;
	r->answer_max = call->answer_max;
	r->last_byte = clock_now();
	write_request(r, call);
	list_add_tail(&c->reqs, &r->link);
	c->calls->value++;
	if (!uv_is_active((uv_handle_t *)&c->sweep)) {
		tick_init(&c->sweeps, SWEEP_MS, clock_now());
		uv_timer_start(&c->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	}
	r->in_library = true;
	h2o_http1client_connect(&r->client, r, &c->client_ctx,
				h2o_iovec_init(r->host, strlen(r->host)),
				call->to.port, 0, on_connect);
	r->in_library = false;
	if (r->early != CODE_OK)
		r->client = NULL;
	return r;
}

/* Changes how long the call may be silent; 0 for ever. */
void httpc_set_silent(httpc_req_t *r, ms_t silent)
{
	r->silent = silent;
}

/* Drops a call; nothing is told of it any more. Not to be used after its end.
 */
void httpc_cancel(httpc_req_t *r)
{
	r->cancelled = true;
	if (!r->in_library && !r->c->sweeping)
		drop(r);
}

static void on_last_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void on_sweep_closed(uv_handle_t *h)
{
	httpc_t *c = h->data;

	uv_close((uv_handle_t *)&c->last, on_last_closed);
}

/* Cancels all calls and frees the client; the loop must still run once. */
void httpc_free(httpc_t *c)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &c->reqs)
		httpc_cancel(list_entry(pos, httpc_req_t, link));
	h2o_multithread_unregister_receiver(c->queue, &c->receiver);
	h2o_multithread_destroy_queue(c->queue);
	h2o_timeout_dispose(c->loop, &c->io_timeout);
	uv_close((uv_handle_t *)&c->sweep, on_sweep_closed);
}
