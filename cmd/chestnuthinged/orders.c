/*
 * Orders to the backend server: which versions to load and unload. They carry
 * the offset of the configuration as a fence. While a newer configuration is
 * known to exist none is given, as not every server checks fences.
 */
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	SPREAD = 5000,	      /* ms over which the servers' loads are spread */
	UNLOAD_AFTER = 10000, /* ms after the configuration or a result */
	ORDER_SILENT = 60000, /* ms without an answer */
	LOAD_TIME = 30000,    /* ms until a load is ordered again */
	RETRY_BASE = 1000,    /* ms */
	RETRY_MAX = 30000,    /* ms */
	LOOK_EVERY = 200,     /* ms */
};

struct orders {
	daemon_t *d;
	backend_t *backend;
	const side_t *side;
	httpc_req_t *req;
	int status;
	char *order; /* the one under way, for the log */
	ms_t next_look;
	ms_t not_before;
	ms_t spread;   /* this server's turn after an acceptance */
	uint64_t seen; /* offset of the last wanted set */
	guint seen_results;
	ms_t since; /* when the wanted set last changed */
	backoff_t retry;
	GRand *rand;
	counter_t *sent;
	counter_t *refused;
};

/* Makes the orders of a sidecar's backend server. */
orders_t *orders_new(daemon_t *d, backend_t *b, const side_t *side)
{
	const char *name = d->set->name;
	orders_t *o = g_new0(orders_t, 1);

	o->d = d;
	o->backend = b;
	o->side = side;
	o->rand = g_rand_new();
	o->spread = (ms_t)(hash64(name, strlen(name), 0) % SPREAD);
	o->since = clock_now();
	backoff_init(&o->retry, RETRY_BASE, RETRY_MAX);
	o->sent = counter_get(d->counters, "chestnuthinge_orders_total", "");
	o->refused = counter_get(d->counters,
				 "chestnuthinge_orders_refused_total", "");
	return o;
}

/* Drops the order under way. */
void orders_free(orders_t *o)
{
	if (o->req)
		httpc_cancel(o->req);
	g_rand_free(o->rand);
	g_free(o->order);
	g_free(o);
}

static void on_head(void *ctx, int status, str_t type)
{
	orders_t *o = ctx;

	(void)type;
	o->status = status;
}

static void on_data(void *ctx, str_t data)
{
	(void)ctx;
	(void)data;
}

static void on_end(void *ctx, code_t code)
{
	orders_t *o = ctx;
	ms_t now = clock_now();
	bool ok = code == CODE_OK && o->status == 200;

	o->req = NULL;
	log_line(ok ? LOG_INFO : LOG_WARN, "order", "%s status=%d code=%s",
		 o->order, o->status, code_name(code));
	if (ok) {
		backoff_reset(&o->retry);
		o->not_before = now + LOAD_TIME;
	} else {
		o->refused->value++;
		o->not_before =
			now + RETRY_BASE + backoff_next(&o->retry, o->rand);
	}
}

static void give(orders_t *o, const char *what, const char *version)
{
	static const httpc_ops_t ops = { on_head, on_data, on_end };
	uint64_t fence = state_offset(o->d->state);
	json_t *body = json_pack("{s:s,s:s,s:I}", "order", what, "version",
				 version, "fence", (json_int_t)fence);
	char *text = json_dumps(body, JSON_COMPACT);
	httpc_call_t call = { .to = o->d->set->backend,
			      .method = "POST",
			      .path = "/v1/orders",
			      .headers = "Content-Type: application/json\r\n",
			      .body = str_of(text),
			      .silent = ORDER_SILENT };

	g_free(o->order);
	o->order =
		g_strdup_printf("order=%s version=%s fence=%" G_GUINT64_FORMAT,
				what, version, fence);
	o->status = 0;
	o->sent->value++;
	o->req = httpc_call(o->d->http, &call, &ops, o);
	free(text);
	json_decref(body);
}

static bool has(const GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		if (strcmp(list->pdata[i], name) == 0)
			return true;
	}
	return false;
}

/* Loads the first wanted version that is missing; false when none is. */
static bool load_missing(orders_t *o, const GPtrArray *wanted, char **loaded,
			 ms_t now)
{
	for (guint i = 0; i < wanted->len; i++) {
		const char *v = wanted->pdata[i];

		if (g_strv_contains((const char *const *)loaded, v))
			continue;
		if (now - o->since >= o->spread)
			give(o, "load", v);
		return true;
	}
	return false;
}

/*
 * Unloads one version that the log's configuration no longer wants and that no
 * request runs on.
 */
static void unload_extra(orders_t *o, const GPtrArray *wanted, char **loaded,
			 ms_t now)
{
	if (state_offset(o->d->state) == 0 || wanted->len == 0 ||
	    now - o->since < UNLOAD_AFTER + o->spread)
		return;
	for (char **v = loaded; *v; v++) {
		if (has(wanted, *v) || side_version_in_use(o->side, *v))
			continue;
		give(o, "unload", *v);
		return;
	}
}

/* Notes when what is wanted may have changed. */
static void watch(orders_t *o, ms_t now)
{
	uint64_t offset = state_offset(o->d->state);
	guint results = ledger_results(state_ledger(o->d->state))->len;

	if (offset == o->seen && results == o->seen_results)
		return;
	o->seen = offset;
	o->seen_results = results;
	o->since = now;
	o->not_before = 0;
}

static bool may_order(const orders_t *o, ms_t now)
{
	return !o->req && now >= o->not_before && backend_up(o->backend) &&
	       state_intent(o->d->state) && !o->d->stopping &&
	       facts_get(state_facts(o->d->state), CONF_FACT) <=
		       state_offset(o->d->state);
}

/* Compares what is loaded with what is wanted, and orders one change. */
void orders_tick(orders_t *o, ms_t now)
{
	GPtrArray *wanted;
	char **loaded;

	if (now < o->next_look)
		return;
	o->next_look = now + LOOK_EVERY;
	watch(o, now);
	if (!may_order(o, now))
		return;
	wanted = state_wanted(o->d->state, o->d->set->service);
	loaded = g_strsplit(backend_versions(o->backend), ",", 0);
	if (!load_missing(o, wanted, loaded, now))
		unload_extra(o, wanted, loaded, now);
	g_strfreev(loaded);
	g_ptr_array_free(wanted, TRUE);
}
