/* Pages of entries, fetched one at a time. */
#include "fns.h"

typedef struct getting {
	uv_loop_t *loop;
	char *text;
	code_t code;
} getting_t;

static void on_done(void *ctx, code_t code, int status, str_t body)
{
	getting_t *g = ctx;

	if (code == CODE_OK && status != 200)
		code = CODE_UNREACHABLE;
	g->code = code;
	if (code == CODE_OK)
		g->text = str_dup(body);
	uv_stop(g->loop);
}

/*
 * Fetches a page of an entry at IP:PORT. Returns its text, to be freed with
 * g_free, or NULL with a code.
 */
char *page_get(const char *entry, const char *path, code_t *code)
{
	counters_t *counters;
	uv_loop_t loop;
	httpc_t *http;
	getting_t g = { &loop, NULL, CODE_OK };
	addr_t at;

	*code = CODE_BAD_TYPE;
	if (!addr_parse(entry, &at))
		return NULL;
	uv_loop_init(&loop);
	counters = counters_new();
	http = httpc_new(&loop, counters);
	fetch_start(http, &at, "GET", path, str_of(NULL), on_done, &g);
	uv_run(&loop, UV_RUN_DEFAULT);
	httpc_free(http);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	counters_free(counters);
	*code = g.code;
	return g.text;
}
