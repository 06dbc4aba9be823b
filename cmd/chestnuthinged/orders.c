/*
 * Orders to the backend server to load and unload versions. An order carries
 * the offset of the configuration as a fencing token. No order is sent while a
 * newer configuration is known to exist, as not every server checks the fence.
 */
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	ANSWER_MAX = 64 << 10, /* bytes; only its status matters */
	SPREAD = 5000,	      /* ms over which the servers spread their loads */
	UNLOAD_AFTER = 10000, /* ms after a new configuration or result */
	ORDER_SILENT = 60000, /* ms without an answer */
	LOAD_TIME = 30000,    /* ms from a successful order to the next */
	RETRY_BASE = 1000,    /* ms */
	RETRY_MAX = 30000,    /* ms */
	CHECK_INTERVAL = 200, /* ms */
};

struct orders {
	daemon_t *d;
	backend_t *backend;
	const side_t *side;
	httpc_req_t *req;
	int status;
	char *order; /* in progress, as text for the log */
	ms_t next_check;
	ms_t not_before;
	ms_t spread;	      /* ms that this server waits after a change */
	uint64_t seen_offset; /* configuration's offset at the last check */
	guint seen_results;
	ms_t changed_at; /* when configuration or results last changed */
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
	o->changed_at = clock_now();
	backoff_init(&o->retry, RETRY_BASE, RETRY_MAX);
	o->sent = counter_get(d->counters, "chestnuthinge_orders_total", "");
	o->refused = counter_get(d->counters,
				 "chestnuthinge_orders_refused_total", "");
	return o;
}

/* Frees the orders and cancels the one in progress. */
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

static void send_order(orders_t *o, const char *what, const char *version)
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
			      .silent = ORDER_SILENT,
			      .answer_max = ANSWER_MAX };

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

static bool contains(const GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		if (strcmp(list->pdata[i], name) == 0)
			return true;
	}
	return false;
}

/*
 * Orders the load of the first wanted version that is missing, once it is this
 * server's turn; false when none is missing.
 */
static bool load_missing(orders_t *o, const GPtrArray *wanted, char **loaded,
			 ms_t now)
{
	for (guint i = 0; i < wanted->len; i++) {
		const char *v = wanted->pdata[i];

		if (g_strv_contains((const char *const *)loaded, v))
			continue;
		if (now - o->changed_at >= o->spread)
			send_order(o, "load", v);
		return true;
	}
	return false;
}

/*
 * Orders the unload of one version that the log's configuration no longer wants
 * and that no request runs on.
 */
static void unload_extra(orders_t *o, const GPtrArray *wanted, char **loaded,
			 ms_t now)
{
	if (state_offset(o->d->state) == 0 || wanted->len == 0 ||
	    now - o->changed_at < UNLOAD_AFTER + o->spread)
		return;
	for (char **v = loaded; *v; v++) {
		if (contains(wanted, *v) || side_version_in_use(o->side, *v))
			continue;
		send_order(o, "unload", *v);
		return;
	}
}

/* Records when the wanted versions may have changed. */
static void note_changes(orders_t *o, ms_t now)
{
	uint64_t offset = state_offset(o->d->state);
	guint results = ledger_results(state_ledger(o->d->state))->len;

	if (offset == o->seen_offset && results == o->seen_results)
		return;
	o->seen_offset = offset;
	o->seen_results = results;
	o->changed_at = now;
	o->not_before = 0;
}

static bool may_order(const orders_t *o, ms_t now)
{
	return !o->req && now >= o->not_before && backend_up(o->backend) &&
	       state_intent(o->d->state) && !o->d->stopping &&
	       facts_get(state_facts(o->d->state), CONFIG_FACT) <=
		       state_offset(o->d->state);
}

/* Compares loaded with wanted versions, and orders one change. */
void orders_tick(orders_t *o, ms_t now)
{
	GPtrArray *wanted;
	char **loaded;

	if (now < o->next_check)
		return;
	o->next_check = now + CHECK_INTERVAL;
	note_changes(o, now);
	if (!may_order(o, now))
		return;
	wanted = state_wanted_versions(o->d->state, o->d->set->service);
	loaded = g_strsplit(backend_versions(o->backend), ",", 0);
	if (!load_missing(o, wanted, loaded, now))
		unload_extra(o, wanted, loaded, now);
	g_strfreev(loaded);
	g_ptr_array_free(wanted, TRUE);
}
