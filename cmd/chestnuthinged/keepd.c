/* A keeper: the places of the backend server on its host, over connections. */
#include <inttypes.h>
#include <signal.h>
#include "keepd.h"
#include "keeper/fns.h"
#include "forward/fns.h"
#include "net/fns.h"

enum {
	TICK_MS = 20, /* requests that turn late are found this late */
	OVERLAP = 1,  /* requests more than the places: one waits in the server,
			 so that no place is empty while a grant travels */
	FRAME_MAX = 64 << 10,
	QUEUE_MAX = 4 << 20,
	HEARTBEAT_MS = 800,
	SILENT_MS = 2500,
};

typedef struct keepd {
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t term;
	uv_signal_t intr;
	uv_signal_t hup;
	edge_settings_t *set;
	char name[64];
	counters_t *counters;
	keeper_t *keeper;
	peers_t *peers;
	pages_t *metrics;
	bool ended;
} keepd_t;

static void on_grant(void *ctx, uint64_t host, rid_t rid)
{
	keepd_t *d = ctx;
	msg_t m = { .type = MSG_GRANT };

	m.u.grant.rid = rid;
	peers_send(d->peers, host, &m);
}

static const keeper_ops_t keeper_ops = { on_grant };

static void on_up(void *ctx, const msg_hello_t *who)
{
	(void)ctx;
	(void)who;
}

static void on_down(void *ctx, uint64_t inc)
{
	keepd_t *d = ctx;

	keeper_host_gone(d->keeper, inc, clock_now());
}

static void on_recv(void *ctx, uint64_t inc, const msg_t *m)
{
	keepd_t *d = ctx;
	ask_t a;

	if (m->type == MSG_WITHDRAW) {
		keeper_release(d->keeper, m->u.withdraw.rid, clock_now());
		return;
	}
	if (m->type == MSG_NOT_RUN) {
		keeper_unreached(d->keeper, m->u.not_run.rid, clock_now());
		return;
	}
	if (m->type != MSG_ASK)
		return;
	a.rid = m->u.ask.rid;
	a.rank = (unsigned int)MIN(m->u.ask.rank, RANKS);
	a.places = (unsigned int)m->u.ask.places;
	a.in_time = (ms_t)m->u.ask.in_time;
	a.of_use = (ms_t)m->u.ask.of_use;
	keeper_ask(d->keeper, inc, &a, clock_now());
}

static void on_tick(uv_timer_t *t)
{
	keepd_t *d = t->data;

	keeper_tick(d->keeper, clock_now());
	log_flush();
}

static void on_signal(uv_signal_t *s, int number)
{
	keepd_t *d = s->data;

	log_line(LOG_INFO, "signal", "number=%d granted=%u waiting=%u", number,
		 keeper_granted(d->keeper), keeper_waiting(d->keeper));
	if (d->ended || number == SIGHUP)
		return;
	d->ended = true;
	uv_close((uv_handle_t *)&d->tick, NULL);
	uv_close((uv_handle_t *)&d->term, NULL);
	uv_close((uv_handle_t *)&d->intr, NULL);
	uv_close((uv_handle_t *)&d->hup, NULL);
	pages_close(d->metrics);
	peers_close(d->peers, NULL, NULL);
}

static void start_signal(keepd_t *d, uv_signal_t *s, int number)
{
	uv_signal_init(&d->loop, s);
	s->data = d;
	uv_signal_start(s, on_signal, number);
}

static int on_page(void *ctx, str_t path, GString *out)
{
	keepd_t *d = ctx;

	counters_print(d->counters, out);
	g_string_append_printf(out, "keeper_granted %u\nkeeper_waiting %u\n",
			       keeper_granted(d->keeper),
			       keeper_waiting(d->keeper));
	return 200;
}

static bool start(keepd_t *d, GError **err)
{
	static const peers_ops_t ops = { on_up, on_down, on_recv };
	peers_conf_t conf = { .role = ROLE_SIDECAR,
			      .name = d->name,
			      .data_center = d->set->data_center,
			      .inc = random_u64(),
			      .key = { (char *)d->set->key, d->set->key_len },
			      .frame_max = FRAME_MAX,
			      .queue_max = QUEUE_MAX,
			      .heartbeat = HEARTBEAT_MS,
			      .silent = SILENT_MS };

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

bool keepd_run(edge_settings_t *set, GError **err)
{
	keepd_t *d = g_new0(keepd_t, 1);

	d->set = set;
	d->counters = counters_new();
	d->keeper = keeper_new(&keeper_ops, d, OVERLAP, d->counters);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&d->loop);
	if (!start(d, err))
		return false;
	uv_timer_init(&d->loop, &d->tick);
	d->tick.data = d;
	uv_timer_start(&d->tick, on_tick, TICK_MS, TICK_MS);
	start_signal(d, &d->term, SIGTERM);
	start_signal(d, &d->intr, SIGINT);
	start_signal(d, &d->hup, SIGHUP);
	log_line(LOG_INFO, "start", "name=%s role=keeper peers=%s", set->name,
		 d->name);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	log_line(LOG_INFO, "stop", "name=%s", set->name);
	pages_free(d->metrics);
	uv_loop_close(&d->loop);
	keeper_free(d->keeper);
	counters_free(d->counters);
	edge_settings_free(set);
	g_free(d);
	log_flush();
	return true;
}
