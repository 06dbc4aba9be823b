/* The engine's HTTP interface: chat completions, streams, and the rest. */
#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "fns.h"

static const char streams_path[] = "/v1/streams/";

/* Joins the contents of all messages. */
static GString *prompt_text(json_t *body)
{
	GString *s = g_string_new(NULL);
	size_t i;
	json_t *m;
	json_array_foreach(json_object_get(body, "messages"), i, m)
	{
		const char *c =
			json_string_value(json_object_get(m, "content"));
		g_string_append(s, c != NULL ? c : "");
	}
	return s;
}

/* Copies a marker, without characters that JSON would have to escape. */
static char *clean(const char *s)
{
	char *c = g_strdup(s);
	for (char *p = c; *p != '\0'; p++) {
		if (!isalnum((unsigned char)*p) && *p != '-' && *p != '_')
			*p = '_';
	}
	return c;
}

/* Makes a job of a request's body. */
static job_t *job_new(json_t *body, const char *id, const char *version)
{
	const char *user = json_string_value(json_object_get(body, "user"));
	const char *model = json_string_value(json_object_get(body, "model"));
	json_int_t max =
		json_integer_value(json_object_get(body, "max_tokens"));
	GString *prompt = prompt_text(body);
	job_t *j = g_new0(job_t, 1);
	j->id = g_strdup(id);
	j->marker = clean(user != NULL ? user : id);
	j->version = g_strdup(version);
	j->model = clean(model != NULL ? model : "-");
	j->stream = json_is_true(json_object_get(body, "stream"));
	j->prompt = (unsigned int)(prompt->len / BYTES_PER_TOKEN) + 1;
	j->total = max > 0 ? (unsigned int)max : DEFAULT_OUTPUT_TOKENS;
	j->total = MAX(j->total, ANSWER_TOKENS_MIN);
	j->content = g_string_new(NULL);
	j->body = g_string_new(NULL);
	j->sinks = g_ptr_array_new();
	j->blocks = cache_blocks(prompt);
	g_string_free(prompt, TRUE);
	return j;
}

/* Tells whether the version misbehaves for its next request. */
static bool is_bad(engine_t *e, const char *version)
{
	const faults_t *f = &e->faults;
	gpointer seen = g_hash_table_lookup(e->seen, version);
	long n = GPOINTER_TO_INT(seen) + 1;
	g_hash_table_replace(e->seen, g_strdup(version), GINT_TO_POINTER(n));
	if (f->bad_version == NULL || strcmp(f->bad_version, version) != 0)
		return false;
	return n > f->bad_after && g_rand_double(e->rand) < f->bad_rate;
}

/* Runs a request, or fails it as the faults say. */
static void run(engine_t *e, hs_req_t *r, json_t *body, const char *id,
		const char *version)
{
	char *tier = hs_header(r, "chestnuthinge-tier");
	event_write("dispatch", "id=%s version=%s tier=%s server=%s", id,
		    version, tier != NULL ? tier : "-", e->conf.name);
	g_free(tier);
	bool bad = is_bad(e, version);
	const char *mode = e->faults.bad_mode;
	if ((bad && g_strcmp0(mode, "fail") == 0) ||
	    g_rand_double(e->rand) < e->faults.fail_rate) {
		event_write("fail", "id=%s version=%s", id, version);
		hs_reply(r, 500, "application/json",
			 str_of("{\"error\":\"engine failure\"}"));
		return;
	}
	job_t *j = job_new(body, id, version);
	j->bad = bad && g_strcmp0(mode, "slow") == 0;
	r->cut_at = e->faults.cut_after;
	if (bad && g_strcmp0(mode, "cut") == 0)
		r->cut_at = 1;
	batch_add(e, j);
	sink_add(j, r, 0);
}

/* Answers a chat completion. */
static void chat_post(engine_t *e, hs_req_t *r)
{
	char *id = hs_header(r, "chestnuthinge-request-id");
	char *version = hs_header(r, "chestnuthinge-version");
	json_t *body = json_loadb(r->body.p, r->body.n, 0, NULL);
	if (id == NULL)
		id = g_strdup_printf("direct-%u", ++e->direct);
	if (version == NULL)
		version = g_strdup(e->versions->len > 0 ? e->versions->pdata[0]
							: "-");
	if (body == NULL) {
		hs_reply_text(r, 400, "not JSON\n");
	} else if (!version_loaded(e, version)) {
		event_write("refuse", "id=%s version=%s", id, version);
		hs_reply_text(r, 503, "version not loaded\n");
	} else {
		run(e, r, body, id, version);
	}
	json_decref(body);
	g_free(id);
	g_free(version);
}

/* Returns the job that a path under /v1/streams/ names. */
static job_t *stream_job(engine_t *e, const hs_req_t *r)
{
	size_t skip = strlen(streams_path);
	char *id = g_strndup(r->path.p + skip, r->path.n - skip);
	job_t *j = g_hash_table_lookup(e->jobs, id);
	g_free(id);
	return j;
}

/* Goes on with an answer whose connection was lost. */
static void stream_get(engine_t *e, hs_req_t *r)
{
	job_t *j = stream_job(e, r);
	if (j == NULL) {
		hs_reply_text(r, 404, "no such stream\n");
		return;
	}
	size_t from = (size_t)hs_param_long(r->query, "from", 0);
	event_write("resume", "id=%s from=%zu", j->id, from);
	sink_add(j, r, from);
}

/* Cancels a request. */
static void stream_delete(engine_t *e, hs_req_t *r)
{
	job_t *j = stream_job(e, r);
	if (j != NULL)
		batch_cancel(e, j);
	hs_reply_text(r, j != NULL ? 200 : 404, "cancel\n");
}

/* Finds the function for a request. */
void api_handle(void *ctx, hs_req_t *r)
{
	engine_t *e = ctx;
	if (hs_is(r, "POST", "/v1/chat/completions"))
		chat_post(e, r);
	else if (hs_is(r, "GET", streams_path))
		stream_get(e, r);
	else if (hs_is(r, "DELETE", streams_path))
		stream_delete(e, r);
	else if (hs_is(r, "GET", "/v1/load"))
		load_get(e, r);
	else if (hs_is(r, "POST", "/v1/orders"))
		orders_post(e, r);
	else if (hs_is(r, "GET", "/v1/cache/events"))
		cache_get(e, r);
	else if (hs_is(r, "POST", "/_control"))
		control_post(e, r);
	else
		hs_reply_text(r, 404, "no such path\n");
}
