/* Pages for operators and health checks. */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "fns.h"

typedef struct page {
	const char *path;
	void (*show)(daemon_t *d, reply_t *r);
} page_t;

static void send_text(reply_t *r, int status, GString *text)
{
	reply_send(r, status, "text/plain; charset=utf-8",
		   (str_t){ text->str, text->len });
	g_string_free(text, TRUE);
}

static void show_health(daemon_t *d, reply_t *r)
{
	(void)d;
	send_text(r, 200, g_string_new("ok\n"));
}

static const char *why_not_ready(const daemon_t *d)
{
	if (d->stopping || d->leaving)
		return "stopping\n";
	if (!state_intent(d->state))
		return "no configuration in force\n";
	if (d->entry && entryd_sidecars(d->entry) == 0)
		return "no sidecar up\n";
	return NULL;
}

static void show_ready(daemon_t *d, reply_t *r)
{
	const char *why = why_not_ready(d);

	send_text(r, why ? 503 : 200, g_string_new(why ? why : "ready\n"));
}

static void show_metrics(daemon_t *d, reply_t *r)
{
	GString *text = g_string_new(NULL);

	stats_process(d->counters);
	counters_print(d->counters, text);
	send_text(r, 200, text);
}

static void show_status(daemon_t *d, reply_t *r)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text, "process name=%s role=%s inc=%" PRIx64 " stopping=%d\n",
		d->set->name, d->entry ? "entry" : "sidecar", d->inc,
		d->stopping);
	state_print(d->state, text);
	if (d->entry)
		entryd_print(d->entry, text);
	else
		sided_print(d->side, text);
	send_text(r, 200, text);
}

static void show_revision(daemon_t *d, reply_t *r)
{
	json_t *o = json_pack("{s:I,s:s}", "offset",
			      (json_int_t)state_offset(d->state), "text",
			      state_text(d->state));
	char *text = o ? json_dumps(o, JSON_COMPACT) : NULL;

	json_decref(o);
	if (text)
		reply_send(r, 200, "application/json", str_of(text));
	else
		reply_refuse(r, CODE_NO_SERVER, "no configuration", 0);
	free(text);
}

static const page_t pages[] = {
	{ "/healthz", show_health },	   { "/readyz", show_ready },
	{ "/metrics", show_metrics },	   { "/status", show_status },
	{ "/v1/revision", show_revision },
};

/* Answers a request for a page; false when it is for something else. */
bool admin_handle(daemon_t *d, reply_t *r)
{
	const h2o_req_t *req = r->req;

	if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET")))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (!h2o_memis(req->path.base, req->path.len, pages[i].path,
			       strlen(pages[i].path)))
			continue;
		pages[i].show(d, r);
		return true;
	}
	return false;
}
