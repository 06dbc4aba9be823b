/* Orders, load reports, cache events, and the control endpoint. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "fns.h"

/* A version being loaded. */
typedef struct loading {
	uv_timer_t timer;
	engine_t *engine;
	char *version;
	hs_req_t *r; /* NULL once its connection closed */
} loading_t;

/* Tells whether requests for the version can run. */
bool version_loaded(const engine_t *e, const char *version)
{
	return g_ptr_array_find_with_equal_func(e->versions, version,
						g_str_equal, NULL);
}

/* Frees a finished load. */
static void on_timer_closed(uv_handle_t *h)
{
	loading_t *l = h->data;
	g_free(l->version);
	g_free(l);
}

/* Nobody waits for the answer to the order. */
static void on_order_closed(void *user, hs_req_t *r)
{
	(void)r;
	loading_t *l = user;
	l->r = NULL;
}

/* The weights are there. */
static void on_loaded(uv_timer_t *t)
{
	loading_t *l = t->data;
	if (!version_loaded(l->engine, l->version))
		g_ptr_array_add(l->engine->versions, g_strdup(l->version));
	event_write("loaded", "version=%s", l->version);
	if (l->r != NULL) {
		l->r->closed = NULL;
		hs_reply_text(l->r, 200, "loaded\n");
	}
	uv_close((uv_handle_t *)t, on_timer_closed);
}

/* Starts loading a version; the answer comes when it is loaded. */
static void load_version(engine_t *e, hs_req_t *r, const char *version)
{
	loading_t *l = g_new0(loading_t, 1);
	l->engine = e;
	l->version = g_strdup(version);
	l->r = r;
	r->closed = on_order_closed;
	r->user = l;
	uv_timer_init(&e->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_loaded, (uint64_t)e->conf.load_ms, 0);
}

/* Drops a version. */
static void unload_version(engine_t *e, const char *version)
{
	guint i;
	if (g_ptr_array_find_with_equal_func(e->versions, version, g_str_equal,
					     &i))
		g_ptr_array_remove_index(e->versions, i);
}

/* Takes an order, unless its fence is old and this engine checks. */
void orders_post(engine_t *e, hs_req_t *r)
{
	json_t *o = json_loadb(r->body.p, r->body.n, 0, NULL);
	const char *what = json_string_value(json_object_get(o, "order"));
	const char *version = json_string_value(json_object_get(o, "version"));
	long fence = (long)json_integer_value(json_object_get(o, "fence"));
	bool stale = fence < e->fence;
	bool ok = what != NULL && !(stale && e->conf.check_fence);
	event_write("order", "op=%s version=%s fence=%ld stale=%d ok=%d",
		    what ? what : "-", version ? version : "-", fence, stale,
		    ok);
	if (!ok) {
		hs_reply_text(r, what == NULL ? 400 : 409, "refused\n");
	} else {
		e->fence = MAX(e->fence, fence);
		if (strcmp(what, "load") == 0 && version != NULL) {
			load_version(e, r, version);
		} else {
			if (strcmp(what, "unload") == 0 && version != NULL)
				unload_version(e, version);
			hs_reply_text(r, 200, "done\n");
		}
	}
	json_decref(o);
}

/* Takes the present load as what reports show until the next time. */
void load_publish(engine_t *e)
{
	e->shown_running = list_len(&e->running);
	e->shown_queued = list_len(&e->queued);
}

/* Reports load as it was a while ago. */
void load_get(engine_t *e, hs_req_t *r)
{
	GString *s = g_string_new("{\"versions\":[");
	for (guint i = 0; i < e->versions->len; i++)
		g_string_append_printf(s, "%s\"%s\"", i > 0 ? "," : "",
				       (char *)e->versions->pdata[i]);
	g_string_append_printf(s, "],\"running\":%zu,\"queued\":%zu}",
			       e->shown_running, e->shown_queued);
	hs_reply(r, 200, "application/json", (str_t){ s->str, s->len });
	g_string_free(s, TRUE);
}

/* Lists changes of the cache, late and with gaps. */
void cache_get(engine_t *e, hs_req_t *r)
{
	uint64_t from = (uint64_t)hs_param_long(r->query, "from", 1);
	ms_t old = stand_now() - e->conf.lag_ms;
	uint64_t next = from;
	GString *s = g_string_new(NULL);
	for (guint i = 0; i < e->cache.events->len; i++) {
		cache_event_t *ev =
			&g_array_index(e->cache.events, cache_event_t, i);
		if (ev->seq < from || ev->at > old)
			continue;
		next = ev->seq + 1;
		if (ev->seq % CACHE_EVENT_GAP == 0)
			continue;
		g_string_append_printf(
			s, "%s{\"seq\":%llu,\"op\":\"%s\",\"prefix\":%llu}",
			s->len > 0 ? "," : "", (unsigned long long)ev->seq,
			ev->add ? "add" : "drop", (unsigned long long)ev->hash);
	}
	char *all = g_strdup_printf("{\"next\":%llu,\"events\":[%s]}",
				    (unsigned long long)next, s->str);
	hs_reply(r, 200, "application/json", str_of(all));
	g_free(all);
	g_string_free(s, TRUE);
}

/* Takes a number from the control request, if it is there. */
static void set_double(str_t list, const char *key, double *to)
{
	char *v = hs_param(list, key);
	if (v != NULL)
		*to = strtod(v, NULL);
	g_free(v);
}

/* Takes a text from the control request, if it is there. */
static void set_text(str_t list, const char *key, char **to)
{
	char *v = hs_param(list, key);
	if (v == NULL)
		return;
	g_free(*to);
	*to = v;
}

/* Sets faults: a body of key=value pairs, with & between them. */
void control_post(engine_t *e, hs_req_t *r)
{
	faults_t *f = &e->faults;
	set_double(r->body, "slow", &f->slow);
	set_double(r->body, "fail", &f->fail_rate);
	f->freeze = hs_param_long(r->body, "freeze", f->freeze) != 0;
	f->cut_after =
		(size_t)hs_param_long(r->body, "cut_after", (long)f->cut_after);
	set_text(r->body, "bad_version", &f->bad_version);
	set_text(r->body, "bad_mode", &f->bad_mode);
	f->bad_after = hs_param_long(r->body, "bad_after", f->bad_after);
	set_double(r->body, "bad_rate", &f->bad_rate);
	set_double(r->body, "bad_factor", &f->bad_factor);
	if (hs_param_long(r->body, "silent", 0) != 0)
		batch_mute(e);
	char *fields = str_dup(r->body);
	event_write("control", "%s", g_strdelimit(fields, "&", ' '));
	g_free(fields);
	hs_reply_text(r, 200, "ok\n");
	batch_wake(e);
}
