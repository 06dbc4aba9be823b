/* Requests whose response bodies are small enough to be buffered whole. */
#include "platform/fns.h"

enum {
	FETCH_IDLE_TIMEOUT_MS = 2000,
	FETCH_BYTES_MAX = 64 << 20, /* of a response body */
};

struct fetch {
	httpc_req_t *req;
	fetch_done_t done;
	void *ctx;
	int status;
	GString *body;
};

static void fetch_free(fetch_t *f)
{
	g_string_free(f->body, TRUE);
	g_free(f);
}

static void on_head(void *ctx, int status, str_t content_type)
{
	fetch_t *f = ctx;

	(void)content_type;
	f->status = status;
}

static void on_data(void *ctx, str_t data)
{
	fetch_t *f = ctx;

	g_string_append_len(f->body, data.p, (gssize)data.n);
}

static void on_end(void *ctx, code_t code)
{
	fetch_t *f = ctx;
	str_t body = { f->body->str, f->body->len };

	f->done(f->ctx, code, f->status, body);
	fetch_free(f);
}

/* Starts a request. It fails after 2 s without data from the server. */
fetch_t *fetch_start(httpc_t *http, const addr_t *to, const char *method,
		     const char *path, str_t body, fetch_done_t done, void *ctx)
{
	static const httpc_ops_t ops = { on_head, on_data, on_end };
	httpc_call_t call = { .to = *to,
			      .method = method,
			      .path = path,
			      .body = body,
			      .silent = FETCH_IDLE_TIMEOUT_MS,
			      .answer_max = FETCH_BYTES_MAX };
	fetch_t *f = g_new0(fetch_t, 1);

	f->done = done;
	f->ctx = ctx;
	f->body = g_string_new(NULL);
	f->req = httpc_call(http, &call, &ops, f);
	return f;
}

/* Cancels a request; its done is not called. */
void fetch_cancel(fetch_t *f)
{
	httpc_cancel(f->req);
	fetch_free(f);
}
