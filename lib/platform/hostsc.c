/* Client that polls the platform's list of hosts. */
#include <jansson.h>
#include <string.h>
#include "platform/fns.h"

enum {
	BACKOFF_MAX_MS =
		10000, /* longest delay while the list is unreachable */
};

struct hostsc {
	httpc_t *http;
	addr_t platform;
	ms_t poll;
	hosts_seen_t seen;
	void *ctx;
	fetch_t *fetch;
	uv_timer_t timer;
	backoff_t backoff;
	GRand *rand;
};

static bool get_string(const json_t *o, const char *key, str_t *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_string(v) || json_string_length(v) == 0)
		return false;
	out->p = json_string_value(v);
	out->n = json_string_length(v);
	return true;
}

static bool host_parse(const json_t *o, host_t *h)
{
	const char *addr = json_string_value(json_object_get(o, "address"));
	const char *state = json_string_value(json_object_get(o, "state"));

	h->leaving = g_strcmp0(state, "leaving") == 0;
	return get_string(o, "name", &h->name) &&
	       get_string(o, "role", &h->role) &&
	       get_string(o, "data_center", &h->data_center) && addr &&
	       addr_parse(addr, &h->addr);
}

/*
 * Parses a response and passes its hosts to the callback, without malformed
 * entries. Returns false if the response has no list of hosts.
 */
static bool parse_hosts(hostsc_t *h, str_t body)
{
	json_t *o = json_loadb(body.p, body.n, 0, NULL);
	const json_t *list = json_object_get(o, "hosts");
	GArray *hosts;
	size_t i;
	const json_t *item;

	if (!json_is_array(list)) {
		json_decref(o);
		return false;
	}
	hosts = g_array_new(FALSE, TRUE, sizeof(host_t));
	json_array_foreach(list, i, item)
	{
		host_t host;

		if (host_parse(item, &host))
			g_array_append_val(hosts, host);
	}
	h->seen(h->ctx, (const host_t *)(void *)hosts->data, hosts->len);
	g_array_free(hosts, TRUE);
	json_decref(o);
	return true;
}

static void read_hosts(uv_timer_t *t);

static void on_response(void *ctx, code_t code, int status, str_t body)
{
	hostsc_t *h = ctx;
	ms_t delay = h->poll;

	h->fetch = NULL;
	if (code == CODE_OK && status == 200 && parse_hosts(h, body))
		backoff_reset(&h->backoff);
	else
		delay = backoff_next(&h->backoff, h->rand);
	uv_timer_start(&h->timer, read_hosts, (uint64_t)delay, 0);
}

static void read_hosts(uv_timer_t *t)
{
	hostsc_t *h = t->data;

	h->fetch = fetch_start(h->http, &h->platform, "GET", "/v1/hosts",
			       str_of(NULL), on_response, h);
}

/*
 * Starts a client that reads the list now and then every poll milliseconds;
 * failed reads back off with jitter.
 */
hostsc_t *hostsc_new(uv_loop_t *loop, httpc_t *http, const addr_t *platform,
		     ms_t poll, hosts_seen_t seen, void *ctx)
{
	hostsc_t *h = g_new0(hostsc_t, 1);

	h->http = http;
	h->platform = *platform;
	h->poll = poll;
	h->seen = seen;
	h->ctx = ctx;
	backoff_init(&h->backoff, poll, MAX(poll, BACKOFF_MAX_MS));
	h->rand = g_rand_new();
	uv_timer_init(loop, &h->timer);
	h->timer.data = h;
	uv_timer_start(&h->timer, read_hosts, 0, 0);
	return h;
}

static void on_closed(uv_handle_t *handle)
{
	hostsc_t *h = handle->data;

	g_rand_free(h->rand);
	g_free(h);
}

/* Stops polling. The loop has to run once more to free the client. */
void hostsc_free(hostsc_t *h)
{
	if (h->fetch)
		fetch_cancel(h->fetch);
	uv_close((uv_handle_t *)&h->timer, on_closed);
}
