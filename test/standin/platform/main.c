/* A stand-in for the platform: log service and host list, with faults. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"
#include "dat.h"

static const char logs_path[] = "/v1/logs/";

/* Frees a delayed answer. */
static void on_timer_closed(uv_handle_t *h)
{
	delayed_t *d = h->data;
	g_free(d->body);
	g_free(d);
}

/* Sends a delayed answer. */
static void on_delay(uv_timer_t *t)
{
	delayed_t *d = t->data;
	if (d->r != NULL) {
		d->r->closed = NULL;
		hs_reply(d->r, d->status, "application/json", str_of(d->body));
	}
	uv_close((uv_handle_t *)t, on_timer_closed);
}

/* Nobody waits for the delayed answer. */
static void on_closed(void *user, hs_req_t *r)
{
	(void)r;
	delayed_t *d = user;
	d->r = NULL;
}

/* Answers, late when the platform is slow. Takes over body. */
static void answer(platform_t *p, hs_req_t *r, int status, char *body)
{
	if (p->slow_ms == 0) {
		hs_reply(r, status, "application/json", str_of(body));
		g_free(body);
		return;
	}
	delayed_t *d = g_new0(delayed_t, 1);
	d->r = r;
	d->status = status;
	d->body = body;
	r->closed = on_closed;
	r->user = d;
	uv_timer_init(&p->loop, &d->timer);
	d->timer.data = d;
	uv_timer_start(&d->timer, on_delay, (uint64_t)p->slow_ms, 0);
}

/* Returns the stream of a path, made when new. */
static stream_t *stream_of(platform_t *p, const hs_req_t *r)
{
	size_t skip = strlen(logs_path);
	char *name = g_strndup(r->path.p + skip, r->path.n - skip);
	stream_t *s = g_hash_table_lookup(p->streams, name);
	if (s != NULL) {
		g_free(name);
		return s;
	}
	s = g_new0(stream_t, 1);
	s->records = g_ptr_array_new_with_free_func(free);
	s->first = 1;
	g_hash_table_insert(p->streams, name, s);
	return s;
}

/* Counts an append; false when there were too many in this second. */
static bool take_append(platform_t *p)
{
	ms_t now = stand_now();
	if (now - p->window >= MS_PER_S) {
		p->window = now;
		p->appends = 0;
	}
	return p->appends++ < p->conf.appends_s;
}

/* Appends a record. */
static void append(platform_t *p, hs_req_t *r)
{
	if (p->outage) {
		answer(p, r, 503, g_strdup("{\"error\":\"outage\"}"));
		return;
	}
	if (!take_append(p)) {
		answer(p, r, 429, g_strdup("{\"error\":\"too many\"}"));
		return;
	}
	stream_t *s = stream_of(p, r);
	json_t *text = json_stringn(r->body.p, r->body.n);
	if (text == NULL) {
		answer(p, r, 400, g_strdup("{\"error\":\"not UTF-8\"}"));
		return;
	}
	g_ptr_array_add(s->records, json_dumps(text, JSON_ENCODE_ANY));
	json_decref(text);
	uint64_t offset = s->first + s->records->len - 1;
	if (s->records->len > (guint)p->conf.keep) {
		g_ptr_array_remove_index(s->records, 0);
		s->first++;
	}
	char *name = str_dup(r->path);
	event_write("append", "stream=%s offset=%llu", name,
		    (unsigned long long)offset);
	g_free(name);
	if (p->lose_answer > 0) {
		p->lose_answer--;
		hs_cut(r);
	}
	answer(p, r, 200,
	       g_strdup_printf("{\"offset\":%llu}",
			       (unsigned long long)offset));
}

/* Reads records from an offset on. */
static void read_records(platform_t *p, hs_req_t *r)
{
	if (p->outage) {
		answer(p, r, 503, g_strdup("{\"error\":\"outage\"}"));
		return;
	}
	stream_t *s = stream_of(p, r);
	uint64_t next = s->first + s->records->len;
	uint64_t hidden = MIN((uint64_t)p->serve_old, next - s->first);
	next -= hidden;
	uint64_t from = (uint64_t)hs_param_long(r->query, "from", 1);
	long max = CLAMP(hs_param_long(r->query, "max", 100), 1, RECORDS_MAX);
	uint64_t end = MIN(next, MAX(from, s->first) + (uint64_t)max);
	GString *out = g_string_new(NULL);
	g_string_append_printf(
		out, "{\"first\":%llu,\"next\":%llu,\"records\":[",
		(unsigned long long)s->first, (unsigned long long)next);
	for (uint64_t at = MAX(from, s->first); at < end; at++)
		g_string_append_printf(
			out, "%s{\"offset\":%llu,\"data\":%s}",
			at > MAX(from, s->first) ? "," : "",
			(unsigned long long)at,
			(char *)s->records->pdata[at - s->first]);
	g_string_append(out, "]}");
	answer(p, r, 200, g_string_free(out, FALSE));
}

/* Shows the host list that was set a while ago. */
static void on_hosts_lag(uv_timer_t *t)
{
	platform_t *p = t->data;
	g_free(p->hosts);
	p->hosts = g_strdup(p->hosts_next);
}

/* Sets the host list: a whole document as hosts are shown. */
static void hosts_post(platform_t *p, hs_req_t *r)
{
	g_free(p->hosts_next);
	p->hosts_next = str_dup(r->body);
	uv_timer_start(&p->hosts_timer, on_hosts_lag,
		       (uint64_t)p->conf.hosts_lag_ms, 0);
	hs_reply_text(r, 200, "ok\n");
}

/* Sets faults: outage, slow_ms, lose_answer, serve_old. */
static void control_post(platform_t *p, hs_req_t *r)
{
	p->outage = hs_param_long(r->body, "outage", p->outage) != 0;
	p->slow_ms = (int)hs_param_long(r->body, "slow_ms", p->slow_ms);
	p->lose_answer =
		(int)hs_param_long(r->body, "lose_answer", p->lose_answer);
	p->serve_old = (int)hs_param_long(r->body, "serve_old", p->serve_old);
	event_write("control", "outage=%d slow_ms=%d lose=%d old=%d", p->outage,
		    p->slow_ms, p->lose_answer, p->serve_old);
	hs_reply_text(r, 200, "ok\n");
}

/* Finds the function for a request. */
static void on_request(void *ctx, hs_req_t *r)
{
	platform_t *p = ctx;
	if (hs_is(r, "POST", logs_path))
		append(p, r);
	else if (hs_is(r, "GET", logs_path))
		read_records(p, r);
	else if (hs_is(r, "GET", "/v1/hosts") && p->outage)
		answer(p, r, 503, g_strdup("{\"error\":\"outage\"}"));
	else if (hs_is(r, "GET", "/v1/hosts"))
		answer(p, r, 200, g_strdup(p->hosts));
	else if (hs_is(r, "POST", "/_hosts"))
		hosts_post(p, r);
	else if (hs_is(r, "POST", "/_control"))
		control_post(p, r);
	else
		hs_reply_text(r, 404, "no such path\n");
}

/* Reads the options; exits on a wrong one. */
static void parse_options(platform_conf_t *c, int argc, char **argv)
{
	GOptionEntry options[] = {
		{ "port", 0, 0, G_OPTION_ARG_INT, &c->port, "0: any", "N" },
		{ "keep", 0, 0, G_OPTION_ARG_INT, &c->keep,
		  "Records kept of a stream", "N" },
		{ "appends-s", 0, 0, G_OPTION_ARG_INT, &c->appends_s,
		  "Appends a second", "N" },
		{ "hosts-lag", 0, 0, G_OPTION_ARG_INT, &c->hosts_lag_ms,
		  "Lag of the host list", "MS" },
		{ "events", 0, 0, G_OPTION_ARG_STRING, &c->events,
		  "Event log; standard output if none", "FILE" },
		{ 0 },
	};
	GError *err = NULL;
	GOptionContext *ctx = g_option_context_new(NULL);
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		exit(2);
	}
	g_option_context_free(ctx);
}

/* Runs the platform until a signal. */
int main(int argc, char **argv)
{
	static platform_t p;
	p.conf = (platform_conf_t){
		.keep = 10000,
		.appends_s = 300,
		.hosts_lag_ms = 500,
	};
	parse_options(&p.conf, argc, argv);
	events_open(p.conf.events);
	p.streams = g_hash_table_new(g_str_hash, g_str_equal);
	p.hosts = g_strdup("{\"hosts\":[]}");
	uv_loop_init(&p.loop);
	uv_timer_init(&p.loop, &p.hosts_timer);
	p.hosts_timer.data = &p;
	stand_exit_on_signal(&p.loop);
	hs_start(&p.http, &p.loop, p.conf.port, on_request, &p);
	return uv_run(&p.loop, UV_RUN_DEFAULT);
}
