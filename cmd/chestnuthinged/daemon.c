/* An entry or sidecar process: its parts, their timer, graceful shutdown. */
#include <inttypes.h>
#include "fns.h"

enum {
	TICK = 10,	  /* ms */
	RETRY_BASE = 50,  /* ms */
	RETRY_MAX = 2000, /* ms */
	QUEUE_FRAMES = 4, /* frame_max sized, queued for one peer */
};

static void on_request(void *ctx, reply_t *r)
{
	daemon_t *d = ctx;

	if (admin_handle(d, r))
		return;
	if (d->entry)
		entryd_handle(d->entry, r);
	else
		reply_refuse(r, CODE_NO_SERVICE, "a sidecar takes no calls", 0);
}

static void on_up(void *ctx, const msg_hello_t *who)
{
	daemon_t *d = ctx;

	gossip_up(d->gossip, who->inc);
	if (d->entry)
		entryd_up(d->entry, who, clock_now());
	else
		sided_up(d->side, who->inc, clock_now());
}

static void on_down(void *ctx, uint64_t inc, bool silent)
{
	daemon_t *d = ctx;

	gossip_down(d->gossip, inc);
	if (d->entry)
		entryd_down(d->entry, inc, clock_now());
	else
		sided_down(d->side, inc, clock_now());
}

static void on_recv(void *ctx, uint64_t inc, const msg_t *m)
{
	daemon_t *d = ctx;

	if (gossip_recv(d->gossip, inc, m))
		return;
	if (d->entry)
		entryd_recv(d->entry, inc, m, clock_now());
	else
		sided_recv(d->side, inc, m, clock_now());
}

static bool is_idle(const daemon_t *d)
{
	if (d->entry)
		return entryd_idle(d->entry) && web_idle(&d->web);
	return sided_idle(d->side);
}

static void on_peers_closed(void *ctx)
{
	daemon_t *d = ctx;

	d->peers = NULL;
	uv_stop(&d->loop);
}

/* Closes listeners, timers and connections; the loop stops after that. */
static void close_all(daemon_t *d)
{
	d->ended = true;
	ticker_stop(&d->ticker);
	signals_close(d);
	web_close(&d->web);
	peers_close(d->peers, on_peers_closed, d);
}

static void on_tick(void *ctx, ms_t now)
{
	daemon_t *d = ctx;

	state_tick(d->state, now);
	plat_tick(d->plat, now);
	gossip_tick(d->gossip, now);
	if (d->entry)
		entryd_tick(d->entry, now);
	else
		sided_tick(d->side, now);
	if (d->stopping && !d->ended && is_idle(d))
		close_all(d);
}

static void make_peers(daemon_t *d)
{
	static const peers_ops_t ops = { on_up, on_down, on_recv };
	const settings_t *set = d->set;
	peers_conf_t conf = { .role = set->role,
			      .name = set->name,
			      .data_center = set->data_center,
			      .inc = d->inc,
			      .key = { (char *)set->key, set->key_len },
			      .frame_max = set->frame_max,
			      .queue_max = set->frame_max * QUEUE_FRAMES,
			      .heartbeat = set->heartbeat,
			      .silent = set->silent,
			      .retry_base = RETRY_BASE,
			      .retry_max = RETRY_MAX,
			      .greetings_max = GREETINGS_MAX };

	d->peers = peers_new(&d->loop, &conf, &ops, d, d->counters);
	for (size_t i = 0; set->role == ROLE_ENTRY && i < set->npeers; i++)
		peers_connect(d->peers, set->peers[i].name,
			      &set->peers[i].addr);
}

static bool listen_all(daemon_t *d, GError **err)
{
	const settings_t *set = d->set;

	if (web_start(&d->web, &d->loop, set, on_request, d, d->counters)) {
		g_set_error(err, code_quark(), CODE_UNREACHABLE,
			    "cannot listen on %s port %u for HTTP",
			    set->http.ip, set->http.port);
		return false;
	}
	if (set->role == ROLE_SIDECAR && peers_listen(d->peers, &set->wire)) {
		g_set_error(err, code_quark(), CODE_UNREACHABLE,
			    "cannot listen on %s port %u for entries",
			    set->wire.ip, set->wire.port);
		return false;
	}
	return true;
}

/* Makes the process; it owns set. NULL and err when a part cannot start. */
daemon_t *daemon_new(settings_t *set, GError **err)
{
	daemon_t *d = g_new0(daemon_t, 1);

	d->set = set;
	d->inc = random_u64();
	d->counters = counters_new();
	d->stats = stats_new(d->counters);
	uv_loop_init(&d->loop);
	d->state = state_new(d, err);
	if (!d->state)
		return NULL;
	d->http = httpc_new(&d->loop, d->counters);
	d->gossip = gossip_new(d);
	make_peers(d);
	if (set->role == ROLE_ENTRY)
		d->entry = entryd_new(d);
	else
		d->side = sided_new(d);
	if (!listen_all(d, err))
		return NULL;
	d->plat = plat_new(d);
	state_start(d->state);
	ticker_start(&d->ticker, &d->loop, TICK, d->counters, "chestnuthinge",
		     on_tick, d);
	signals_start(d);
	return d;
}

/* Runs until a signal has come and the work in progress has ended. */
void daemon_run(daemon_t *d)
{
	log_line(LOG_INFO, "start", "name=%s role=%s inc=%" PRIx64,
		 d->set->name, d->entry ? "entry" : "sidecar", d->inc);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	log_line(LOG_INFO, "stop", "name=%s", d->set->name);
}

/* Starts draining: tells the peers, and a sidecar makes no more grants. */
void daemon_leave(daemon_t *d)
{
	if (d->leaving)
		return;
	d->leaving = true;
	log_line(LOG_INFO, "leaving", "name=%s", d->set->name);
	gossip_send_leaving(d->gossip);
	if (d->side)
		sided_drain(d->side, clock_now());
}

/* Takes no new work; the process exits once the work in progress has ended. */
void daemon_stop(daemon_t *d)
{
	if (d->stopping)
		return;
	d->stopping = true;
	daemon_leave(d);
	if (d->entry)
		entryd_drain(d->entry, clock_now());
}

/* Frees everything after the run, once the last connection has closed. */
void daemon_free(daemon_t *d)
{
	plat_free(d->plat);
	d->plat = NULL;
	while (d->web.connections > 0)
		uv_run(&d->loop, UV_RUN_ONCE);
	if (d->entry)
		entryd_free(d->entry);
	if (d->side)
		sided_free(d->side);
	gossip_free(d->gossip);
	httpc_free(d->http);
	web_dispose(&d->web);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	uv_loop_close(&d->loop);
	state_free(d->state);
	stats_free(d->stats);
	counters_free(d->counters);
	settings_free(d->set);
	g_free(d);
}
