/* A stand-in for a plain service: fixed service time, a bounded pool. */
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"
#include "dat.h"

/* Ends a call: sends its answer, lets the next one in. */
static void on_served(uv_timer_t *t);

/* Frees a call once its timer is closed. */
static void on_timer_closed(uv_handle_t *h)
{
	call_t *c = h->data;
	g_free(c->id);
	g_free(c->key);
	g_free(c->answer);
	g_free(c);
}

/* The caller is gone; the call itself goes on. */
static void on_call_closed(void *user, hs_req_t *r)
{
	(void)r;
	call_t *c = user;
	c->r = NULL;
}

/* Starts waiting calls while there is room. */
static void admit(plain_t *p)
{
	while (!p->freeze && p->running < p->conf.slots &&
	       !list_empty(&p->queued)) {
		call_t *c = list_entry(p->queued.next, call_t, link);
		list_del(&c->link);
		p->running++;
		double ms = p->conf.service_ms * p->slow;
		uv_timer_start(&c->timer, on_served, (uint64_t)ms, 0);
	}
}

static void on_served(uv_timer_t *t)
{
	call_t *c = t->data;
	plain_t *p = c->plain;
	bool fail = g_rand_double(p->rand) < p->fail_rate;
	event_write("done", "id=%s status=%d", c->id, fail ? 500 : 200);
	if (c->r != NULL) {
		c->r->closed = NULL;
		hs_reply(c->r, fail ? 500 : 200, "application/json",
			 str_of(c->answer));
	}
	p->running--;
	uv_close((uv_handle_t *)t, on_timer_closed);
	admit(p);
}

/* Runs a call. Each run of an Idempotency-Key is counted and logged. */
static void serve(plain_t *p, hs_req_t *r)
{
	call_t *c = g_new0(call_t, 1);
	c->plain = p;
	c->r = r;
	c->id = hs_header(r, "chestnuthinge-request-id");
	if (c->id == NULL)
		c->id = g_strdup("-");
	c->key = hs_header(r, "idempotency-key");
	char *version = hs_header(r, "chestnuthinge-version");
	char *path = str_dup(r->path);
	char *method = str_dup(r->method);
	event_write("dispatch", "id=%s version=%s key=%s path=%s server=%s",
		    c->id, version ? version : "-", c->key ? c->key : "-", path,
		    p->conf.name);
	if (c->key != NULL) {
		gpointer n = g_hash_table_lookup(p->runs, c->key);
		g_hash_table_replace(p->runs, g_strdup(c->key),
				     GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
	}
	c->answer = g_strdup_printf(
		"{\"method\":\"%s\",\"path\":\"%s\",\"key\":\"%s\","
		"\"bytes\":%zu,\"hash\":\"%016llx\"}",
		method, path, c->key ? c->key : "", r->body.n,
		(unsigned long long)hash64(r->body.p, r->body.n, 0));
	r->closed = on_call_closed;
	r->user = c;
	uv_timer_init(&p->loop, &c->timer);
	c->timer.data = c;
	list_add_tail(&p->queued, &c->link);
	g_free(version);
	g_free(path);
	g_free(method);
	admit(p);
}

/* Reports the present load. */
static void load_get(plain_t *p, hs_req_t *r)
{
	char *s = g_strdup_printf(
		"{\"versions\":[\"%s\"],\"running\":%d,\"queued\":%zu}",
		p->conf.version, p->running, list_len(&p->queued));
	hs_reply(r, 200, "application/json", str_of(s));
	g_free(s);
}

/* Lists how often each Idempotency-Key ran. */
static void keys_get(plain_t *p, hs_req_t *r)
{
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer key;
	gpointer n;
	g_hash_table_iter_init(&it, p->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		g_string_append_printf(s, "%s %d\n", (char *)key,
				       GPOINTER_TO_INT(n));
	hs_reply(r, 200, "text/plain", (str_t){ s->str, s->len });
	g_string_free(s, TRUE);
}

/* Sets faults: slow, fail, freeze. */
static void control_post(plain_t *p, hs_req_t *r)
{
	char *slow = hs_param(r->body, "slow");
	char *fail = hs_param(r->body, "fail");
	if (slow != NULL)
		p->slow = strtod(slow, NULL);
	if (fail != NULL)
		p->fail_rate = strtod(fail, NULL);
	p->freeze = hs_param_long(r->body, "freeze", p->freeze) != 0;
	g_free(slow);
	g_free(fail);
	hs_reply_text(r, 200, "ok\n");
	admit(p);
}

/* Finds the function for a request. */
static void on_request(void *ctx, hs_req_t *r)
{
	plain_t *p = ctx;
	if (hs_is(r, "POST", "/_control"))
		control_post(p, r);
	else if (hs_is(r, "GET", "/_keys"))
		keys_get(p, r);
	else if (hs_is(r, "GET", "/v1/load"))
		load_get(p, r);
	else
		serve(p, r);
}

/* Reads the options; exits on a wrong one. */
static void parse_options(plain_conf_t *c, int argc, char **argv)
{
	GOptionEntry options[] = {
		{ "port", 0, 0, G_OPTION_ARG_INT, &c->port, "0: any", "N" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &c->name, "Name", "S" },
		{ "version", 0, 0, G_OPTION_ARG_STRING, &c->version, "Version",
		  "V" },
		{ "service-ms", 0, 0, G_OPTION_ARG_INT, &c->service_ms,
		  "Time of a call", "MS" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &c->slots,
		  "Calls at the same time", "N" },
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

/* Runs the service until a signal. */
int main(int argc, char **argv)
{
	static plain_t p;
	p.conf = (plain_conf_t){
		.name = "plain",
		.version = "v1",
		.service_ms = 5,
		.slots = 8,
	};
	parse_options(&p.conf, argc, argv);
	events_open(p.conf.events);
	p.slow = 1;
	p.rand = g_rand_new_with_seed(1);
	p.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_init(&p.queued);
	uv_loop_init(&p.loop);
	stand_exit_on_signal(&p.loop);
	hs_start(&p.http, &p.loop, p.conf.port, on_request, &p);
	return uv_run(&p.loop, UV_RUN_DEFAULT);
}
