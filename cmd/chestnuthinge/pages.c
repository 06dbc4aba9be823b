/* Fetches HTTP pages of a host; blocks until a fetch ends. */
#include "fns.h"

typedef struct page_fetch {
	uv_loop_t *loop;
	char *text;
	code_t code;
} page_fetch_t;

static void on_done(void *ctx, code_t code, int status, str_t body)
{
	page_fetch_t *f = ctx;

	if (code == CODE_OK && status != 200)
		code = CODE_UNREACHABLE;
	f->code = code;
	if (code == CODE_OK)
		f->text = str_dup(body);
	uv_stop(f->loop);
}

/*
 * Fetches a page of the host at IP:PORT. Returns its text, to be freed with
 * g_free, or NULL with the reason in code.
 */
char *page_get(const char *host, const char *path, code_t *code)
{
	counters_t *counters;
	uv_loop_t loop;
	httpc_t *http;
	page_fetch_t f = { &loop, NULL, CODE_OK };
	addr_t at;

	*code = CODE_BAD_TYPE;
	if (!addr_parse(host, &at))
		return NULL;
	uv_loop_init(&loop);
	counters = counters_new();
	http = httpc_new(&loop, counters);
	fetch_start(http, &at, "GET", path, str_of(NULL), on_done, &f);
	uv_run(&loop, UV_RUN_DEFAULT);
	httpc_free(http);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	counters_free(counters);
	*code = f.code;
	return f.text;
}
