/* Calls to a sidecar's backend server: requests, load and versions. */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	LOAD_INTERVAL = 500,   /* ms between load reports */
	LOAD_SILENT = 2000,    /* ms */
	LOAD_MAX = 64 << 10,   /* bytes of one report */
	FIRST_SILENT = 15000,  /* ms until a model's first byte */
	STREAM_SILENT = 2000,  /* ms between a model's bytes after that */
	CANCEL_SILENT = 2000,  /* ms */
	CANCEL_MAX = 64 << 10, /* bytes of the answer */
	MISSES_DOWN = 2,       /* reports missed in a row: the server is down */
	ID_MAX = 40,
	PATH_MAX_BYTES = 96,
};

struct backend {
	daemon_t *d;
	side_t *side;
	GHashTable *runs; /* run_t by rid */
	httpc_req_t *load;
	GString *load_body;
	int load_status;
	ms_t next_load;
	int missed_reports;
	bool up;
	char *versions; /* comma separated */
	counter_t *up_gauge;
};

/* A request running at the server. */
typedef struct run {
	rid_t rid;
	backend_t *b;
	httpc_req_t *req;
} run_t;

static void print_id(rid_t rid, char out[ID_MAX])
{
	g_snprintf(out, ID_MAX, "%" PRIx64 "-%" PRIx64, rid.inc, rid.seq);
}

static void on_run_head(void *ctx, int status, str_t type)
{
	run_t *run = ctx;
	backend_t *b = run->b;

	if (b->d->set->backend_is_model)
		httpc_set_silent(run->req, STREAM_SILENT);
	side_engine_head(b->side, run->rid, status, type, clock_now());
}

static void on_run_data(void *ctx, str_t data)
{
	run_t *run = ctx;

	side_engine_data(run->b->side, run->rid, data, clock_now());
}

static void on_run_end(void *ctx, code_t code)
{
	run_t *run = ctx;
	backend_t *b = run->b;
	rid_t rid = run->rid;

	g_hash_table_remove(b->runs, &rid);
	side_engine_end(b->side, rid, code, clock_now());
}

static void start_run(backend_t *b, rid_t rid, const httpc_call_t *call)
{
	static const httpc_ops_t ops = { on_run_head, on_run_data, on_run_end };
	run_t *run = g_new0(run_t, 1);

	run->rid = rid;
	run->b = b;
	g_hash_table_insert(b->runs, &run->rid, run);
	run->req = httpc_call(b->d->http, call, &ops, run);
}

/* Sends a request to the server. */
void backend_dispatch(backend_t *b, const side_dispatch_t *req)
{
	const settings_t *set = b->d->set;
	GString *headers = g_string_new(NULL);
	char *method = str_dup(req->method);
	char *path = str_dup(req->path);
	char id[ID_MAX];
	httpc_call_t call = { .to = set->backend,
			      .method = method,
			      .path = path,
			      .body = req->body,
			      .silent = set->backend_is_model ? FIRST_SILENT
							      : 0 };

	print_id(req->rid, id);
	g_string_printf(headers,
			"Chestnuthinge-Request-Id: %s\r\n"
			"Chestnuthinge-Version: %.*s\r\n",
			id, (int)req->version.n, req->version.p);
	if (req->content_type.n > 0)
		g_string_append_printf(headers, "Content-Type: %.*s\r\n",
				       (int)req->content_type.n,
				       req->content_type.p);
	if (req->key.n > 0)
		g_string_append_printf(headers, "Idempotency-Key: %.*s\r\n",
				       (int)req->key.n, req->key.p);
	call.headers = headers->str;
	start_run(b, req->rid, &call);
	g_string_free(headers, TRUE);
	g_free(method);
	g_free(path);
}

/* Requests an answer's bytes from an offset on. */
void backend_resume(backend_t *b, rid_t rid, uint64_t from)
{
	char path[PATH_MAX_BYTES];
	char id[ID_MAX];
	httpc_call_t call = { .to = b->d->set->backend,
			      .method = "GET",
			      .path = path,
			      .silent = FIRST_SILENT };

	print_id(rid, id);
	g_snprintf(path, sizeof(path), "/v1/streams/%s?from=%" PRIu64, id,
		   from);
	start_run(b, rid, &call);
}

static void ignore_head(void *ctx, int status, str_t type)
{
	(void)ctx;
	(void)status;
	(void)type;
}

static void ignore_data(void *ctx, str_t data)
{
	(void)ctx;
	(void)data;
}

static void ignore_end(void *ctx, code_t code)
{
	(void)ctx;
	(void)code;
}

/* Drops a request's connection and deletes its stream at a model engine. */
void backend_cancel(backend_t *b, rid_t rid)
{
	static const httpc_ops_t ops = { ignore_head, ignore_data, ignore_end };
	run_t *run = g_hash_table_lookup(b->runs, &rid);
	char path[PATH_MAX_BYTES];
	char id[ID_MAX];
	httpc_call_t call = { .to = b->d->set->backend,
			      .method = "DELETE",
			      .path = path,
			      .silent = CANCEL_SILENT,
			      .answer_max = CANCEL_MAX };

	if (run) {
		httpc_cancel(run->req);
		g_hash_table_remove(b->runs, &rid);
	}
	if (!b->d->set->backend_is_model)
		return;
	print_id(rid, id);
	g_snprintf(path, sizeof(path), "/v1/streams/%s", id);
	httpc_call(b->d->http, &call, &ops, NULL);
}

static void set_up(backend_t *b, bool up, ms_t now)
{
	if (b->up != up)
		log_line(LOG_INFO, up ? "backend-up" : "backend-down",
			 "address=%s port=%u", b->d->set->backend.ip,
			 b->d->set->backend.port);
	b->up = up;
	b->up_gauge->value = up;
	side_set_engine_up(b->side, up, now);
}

static void set_versions(backend_t *b, const char *versions, ms_t now)
{
	if (strcmp(b->versions, versions) == 0)
		return;
	log_line(LOG_INFO, "versions", "loaded=%s", versions);
	g_free(b->versions);
	b->versions = g_strdup(versions);
	side_set_versions(b->side, versions, now);
}

static char *join_versions(json_t *list)
{
	GString *s = g_string_new(NULL);
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		if (!json_is_string(v))
			continue;
		g_string_append_printf(s, "%s%s", s->len ? "," : "",
				       json_string_value(v));
	}
	return g_string_free(s, FALSE);
}

static void take_load_report(backend_t *b, json_t *o, ms_t now)
{
	json_t *list = json_object_get(o, "versions");
	json_t *running = json_object_get(o, "running");
	json_t *queued = json_object_get(o, "queued");
	char *versions;

	if (json_is_array(list)) {
		versions = join_versions(list);
		set_versions(b, versions, now);
		g_free(versions);
	} else {
		set_versions(b, b->d->set->version, now);
	}
	if (json_is_integer(running) && json_is_integer(queued))
		side_set_load(b->side, (uint64_t)json_integer_value(running),
			      (uint64_t)json_integer_value(queued), now);
}

static void on_load_head(void *ctx, int status, str_t type)
{
	backend_t *b = ctx;

	(void)type;
	b->load_status = status;
}

static void on_load_data(void *ctx, str_t data)
{
	backend_t *b = ctx;

	g_string_append_len(b->load_body, data.p, data.n);
}

static void on_load_end(void *ctx, code_t code)
{
	backend_t *b = ctx;
	ms_t now = clock_now();
	json_t *o;

	b->load = NULL;
	b->next_load = now + LOAD_INTERVAL;
	if (code != CODE_OK) {
		b->missed_reports++;
		if (code == CODE_NOT_SENT || b->missed_reports >= MISSES_DOWN)
			set_up(b, false, now);
		return;
	}
	b->missed_reports = 0;
	set_up(b, true, now);
	o = json_loadb(b->load_body->str, b->load_body->len, 0, NULL);
	if (b->load_status == 200 && json_is_object(o))
		take_load_report(b, o, now);
	else if (!b->d->set->backend_is_model)
		set_versions(b, b->d->set->version, now);
	json_decref(o);
}

/* Makes the backend of a sidecar; it is down until its first report. */
backend_t *backend_new(daemon_t *d, side_t *side)
{
	backend_t *b = g_new0(backend_t, 1);

	b->d = d;
	b->side = side;
	b->runs = g_hash_table_new_full(rid_hash, rid_equal, NULL, g_free);
	b->load_body = g_string_new(NULL);
	b->versions = g_strdup("");
	b->up_gauge = gauge_get(d->counters, "chestnuthinge_backend_up", "");
	side_set_engine_up(side, false, clock_now());
	return b;
}

/* Cancels every request. */
void backend_free(backend_t *b)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->runs);
	while (g_hash_table_iter_next(&it, NULL, &value))
		httpc_cancel(((run_t *)value)->req);
	if (b->load)
		httpc_cancel(b->load);
	g_hash_table_destroy(b->runs);
	g_string_free(b->load_body, TRUE);
	g_free(b->versions);
	g_free(b);
}

/* Requests a load report when one is due. */
void backend_tick(backend_t *b, ms_t now)
{
	static const httpc_ops_t ops = { on_load_head, on_load_data,
					 on_load_end };
	httpc_call_t call = { .to = b->d->set->backend,
			      .method = "GET",
			      .path = "/v1/load",
			      .silent = LOAD_SILENT,
			      .answer_max = LOAD_MAX };

	if (b->load || now < b->next_load)
		return;
	b->load_status = 0;
	g_string_truncate(b->load_body, 0);
	b->load = httpc_call(b->d->http, &call, &ops, b);
}

/* Returns the loaded versions, comma separated. */
const char *backend_versions(const backend_t *b)
{
	return b->versions;
}

/* Returns whether the server answers. */
bool backend_up(const backend_t *b)
{
	return b->up;
}
