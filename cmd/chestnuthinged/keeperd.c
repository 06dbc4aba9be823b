/* A keeper: grants edge hosts the slots of the backend servers on its host. */
#include <inttypes.h>
#include <signal.h>
#include "keeperd.h"
#include "keeper/fns.h"
#include "quotad.h"
#include "forward/fns.h"
#include "net/fns.h"
#include "reload.h"
#include "wordfact.h"

enum {
	TICK_MS = 20,	  /* bound on noticing that a waiting request is late */
	EXTRA_GRANTS = 1, /* beyond the slots: one request waits in the server,
			     so that no slot is idle while a grant travels */
	FRAME_MAX = 64 << 10,
	QUEUE_MAX = 4 << 20,
	IDLE_MS = 30000, /* without a slot request: the server is gone, or has
			    another keeper */
};

/* A backend server whose slots this process grants. */
typedef struct kept_server {
	char *server;
	keeper_t *keeper;
	ms_t last_request; /* for a slot, or word of a limit */
} kept_server_t;

typedef struct keeperd {
	uv_loop_t loop;
	ticker_t ticker;
	uv_signal_t term;
	uv_signal_t intr;
	uv_signal_t hup;
	edge_settings_t *set;
	reload_t *reload;
	bool reload_requested; /* SIGHUP has come */
	char name[64];
	counters_t *counters;
	GHashTable *servers; /* kept_server_t by server */
	quotad_t *quotas;    /* of the customers that hosts chose this
				      process for */
	peers_t *peers;
	pages_t *metrics;
	bool ended;
} keeperd_t;

static void on_grant(void *ctx, uint64_t host, rid_t rid)
{
	keeperd_t *d = ctx;
	msg_t m = { .type = MSG_GRANT };

	m.u.grant.rid = rid;
	peers_send(d->peers, host, &m);
}

static const keeper_ops_t keeper_ops = { on_grant };

static void on_quota_send(void *ctx, uint64_t host, const msg_t *m)
{
	keeperd_t *d = ctx;

	peers_send(d->peers, host, m);
}

/* Tells an edge host that customers' quotas are kept here. */
static void on_up(void *ctx, const msg_hello_t *who)
{
	keeperd_t *d = ctx;
	fact_kv_t kv = { str_of(QUOTAD_FACT), 1 };
	msg_t m = { .type = MSG_FACTS, .u.facts = { 1, &kv } };

	peers_send(d->peers, who->inc, &m);
}

static void on_down(void *ctx, uint64_t inc, bool silent)
{
	keeperd_t *d = ctx;
	ms_t now = clock_now();
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, d->servers);
	while (g_hash_table_iter_next(&it, NULL, &k))
		keeper_host_gone(((kept_server_t *)k)->keeper, inc, now);
	quotad_host_gone(d->quotas, inc, now);
}

static void server_free(gpointer v)
{
	kept_server_t *k = v;

	keeper_free(k->keeper);
	g_free(k->server);
	g_free(k);
}

static kept_server_t *server_get(keeperd_t *d, str_t server)
{
	char *name = str_dup(server);
	kept_server_t *k = g_hash_table_lookup(d->servers, name);

	if (k) {
		g_free(name);
		return k;
	}
	k = g_new0(kept_server_t, 1);
	k->server = name;
	k->keeper = keeper_new(&keeper_ops, d, EXTRA_GRANTS, d->counters);
	g_hash_table_insert(d->servers, k->server, k);
	log_line(LOG_INFO, "server_kept", "server=%s", name);
	return k;
}

static void take_slot_request(keeperd_t *d, uint64_t inc,
			      const msg_slot_request_t *m)
{
	kept_server_t *k = server_get(d, m->server);
	keeper_request_t a = { .rid = m->rid,
			       .priority = (unsigned int)MIN(m->priority,
							     PRIORITIES),
			       .slots = (unsigned int)m->slots,
			       .target = (ms_t)m->target_ms,
			       .deadline = (ms_t)m->deadline_ms };

	k->last_request = clock_now();
	keeper_request(k->keeper, inc, &a, k->last_request);
}

/*
 * Releases a request's slot. An edge host requests one slot of this keeper at a
 * time for a request, so the request's id tells the server.
 */
static void release_slot(keeperd_t *d, rid_t rid, slot_end_t how)
{
	ms_t now = clock_now();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, d->servers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		keeper_t *k = ((kept_server_t *)v)->keeper;

		if (!keeper_knows(k, rid))
			continue;
		if (how == SLOT_UNREACHED)
			keeper_unreachable(k, rid, now);
		else if (how == SLOT_LOST)
			keeper_lost(k, rid, now);
		else
			keeper_release(k, rid, now);
	}
}

/* Takes a server's limit, as a host has read it. */
static void set_limit(kept_server_t *k, const server_limit_t *l, ms_t now)
{
	server_limit_t old = keeper_limit(k->keeper);

	if (limit_equal(l, &old))
		return;
	keeper_set_limit(k->keeper, l, now);
	log_line(LOG_INFO, "server_limit", "server=%s limited=%d per_s=%.3f",
		 k->server, l->set, (double)l->rate / MS_PER_S);
}

static void take_word(kept_server_t *k, const word_fact_t *f, ms_t now)
{
	if (f->kind == WORD_LIMIT)
		set_limit(k, &f->limit, now);
	else if (f->kind == WORD_WARMUP)
		keeper_set_warmup(k->keeper, f->warmup.rate, f->warmup.time,
				  now);
	else if (f->kind == WORD_COLD)
		keeper_told_cold(k->keeper, f->cold_left, now);
}

static void take_facts(keeperd_t *d, const msg_facts_t *m)
{
	ms_t now = clock_now();

	for (size_t i = 0; i < m->n; i++) {
		word_fact_t f = word_fact_read(&m->kv[i]);
		kept_server_t *k;

		if (f.server && f.kind != WORD_LEAVING) {
			k = server_get(d, str_of(f.server));
			k->last_request = now;
			take_word(k, &f, now);
		}
		g_free(f.server);
	}
}

static void on_recv(void *ctx, uint64_t inc, const msg_t *m)
{
	keeperd_t *d = ctx;

	if (m->type == MSG_WITHDRAW)
		release_slot(d, m->u.withdraw.rid, SLOT_ENDED);
	else if (m->type == MSG_NOT_RUN)
		release_slot(d, m->u.not_run.rid,
			     m->u.not_run.code == CODE_NOT_SENT ? SLOT_UNREACHED
								: SLOT_LOST);
	else if (m->type == MSG_FACTS)
		take_facts(d, &m->u.facts);
	else if (m->type == MSG_SLOT_REQUEST)
		take_slot_request(d, inc, &m->u.slot_request);
	else
		quotad_recv(d->quotas, inc, m);
}

static bool is_idle(const kept_server_t *k, ms_t now)
{
	return now - k->last_request > IDLE_MS &&
	       keeper_granted(k->keeper) == 0 && keeper_waiting(k->keeper) == 0;
}

static void on_tick(void *ctx, ms_t now)
{
	keeperd_t *d = ctx;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, d->servers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		keeper_tick(((kept_server_t *)v)->keeper, now);
		if (is_idle(v, now))
			g_hash_table_iter_remove(&it);
	}
	if (reload_poll(d->reload, d->set, d->reload_requested, now))
		quotad_set_bounds(d->quotas, d->set);
	d->reload_requested = false;
	log_flush();
}

/* Sums granted slots and waiting slot requests over all servers. */
static void count(const keeperd_t *d, unsigned int *granted,
		  unsigned int *waiting)
{
	GHashTableIter it;
	gpointer v;

	*granted = 0;
	*waiting = 0;
	g_hash_table_iter_init(&it, d->servers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		*granted += keeper_granted(((kept_server_t *)v)->keeper);
		*waiting += keeper_waiting(((kept_server_t *)v)->keeper);
	}
}

/* Counts the servers that are taken for cold. */
static unsigned int count_cold(const keeperd_t *d, ms_t now)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, d->servers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += keeper_cold(((kept_server_t *)v)->keeper, now);
	return n;
}

static void on_signal(uv_signal_t *s, int number)
{
	keeperd_t *d = s->data;
	unsigned int granted;
	unsigned int waiting;

	count(d, &granted, &waiting);
	log_line(LOG_INFO, "signal", "number=%d granted=%u waiting=%u", number,
		 granted, waiting);
	if (number == SIGHUP)
		d->reload_requested = true;
	if (d->ended || number == SIGHUP)
		return;
	d->ended = true;
	ticker_stop(&d->ticker);
	uv_close((uv_handle_t *)&d->term, NULL);
	uv_close((uv_handle_t *)&d->intr, NULL);
	uv_close((uv_handle_t *)&d->hup, NULL);
	pages_close(d->metrics);
	peers_close(d->peers, NULL, NULL);
}

static void start_signal(keeperd_t *d, uv_signal_t *s, int number)
{
	uv_signal_init(&d->loop, s);
	s->data = d;
	uv_signal_start(s, on_signal, number);
}

static int on_page(void *ctx, str_t path, GString *out)
{
	keeperd_t *d = ctx;
	unsigned int granted;
	unsigned int waiting;

	count(d, &granted, &waiting);
	counters_print(d->counters, out);
	g_string_append_printf(
		out,
		"keeper_granted %u\nkeeper_waiting %u\nkeeper_cold %u\n"
		"quota_customers %u\n",
		granted, waiting, count_cold(d, clock_now()),
		quotad_customers(d->quotas));
	return 200;
}

static bool start(keeperd_t *d, GError **err)
{
	static const peers_ops_t ops = { on_up, on_down, on_recv };
	peers_conf_t conf = { .role = ROLE_SIDECAR,
			      .name = d->name,
			      .data_center = d->set->data_center,
			      .inc = random_u64(),
			      .key = { (char *)d->set->key, d->set->key_len },
			      .frame_max = FRAME_MAX,
			      .queue_max = QUEUE_MAX,
			      .heartbeat = PEER_HEARTBEAT_MS,
			      .silent = PEER_SILENT_MS,
			      .greetings_max = GREETINGS_MAX };

	d->metrics = pages_new(&d->loop, on_page, d);
	if (d->set->metrics.port &&
	    pages_listen(d->metrics, &d->set->metrics) != CODE_OK)
		log_line(LOG_WARN, "metrics_off", "port=%u",
			 d->set->metrics.port);
	addr_print(&d->set->peers, d->name);
	d->peers = peers_new(&d->loop, &conf, &ops, d, d->counters);
	if (peers_listen(d->peers, &d->set->peers) == CODE_OK)
		return true;
	g_set_error(err, code_quark(), CODE_UNREACHABLE,
		    "cannot listen for edge hosts on %s", d->name);
	return false;
}

/* Frees everything once all handles are closed. */
static void dispose(keeperd_t *d)
{
	uv_run(&d->loop, UV_RUN_DEFAULT);
	pages_free(d->metrics);
	uv_loop_close(&d->loop);
	g_hash_table_destroy(d->servers);
	quotad_free(d->quotas);
	counters_free(d->counters);
	reload_free(d->reload);
	edge_settings_free(d->set);
	g_free(d);
	log_flush();
}

bool keeperd_run(edge_settings_t *set, const char *path, GError **err)
{
	keeperd_t *d = g_new0(keeperd_t, 1);

	d->set = set;
	d->reload = reload_new(path);
	d->counters = counters_new();
	d->quotas = quotad_new(set, on_quota_send, d, d->counters);
	d->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   server_free);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&d->loop);
	if (!start(d, err)) {
		pages_close(d->metrics);
		peers_close(d->peers, NULL, NULL);
		dispose(d);
		return false;
	}
	ticker_start(&d->ticker, &d->loop, TICK_MS, d->counters, "keeper",
		     on_tick, d);
	start_signal(d, &d->term, SIGTERM);
	start_signal(d, &d->intr, SIGINT);
	start_signal(d, &d->hup, SIGHUP);
	log_line(LOG_INFO, "start", "name=%s role=keeper peers=%s", set->name,
		 d->name);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	log_line(LOG_INFO, "stop", "name=%s", set->name);
	dispose(d);
	return true;
}
