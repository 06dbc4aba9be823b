/*
 * An edge host: runs the decisions of lib/edge, the connections of lib/forward
 * and the platform's adapter in one event loop.
 */
#include <signal.h>
#include "edged.h"
#include "edged_priv.h"
#include "net/fns.h"

enum {
	TICK_MS = 10,	  /* the finest that any timeout here needs */
	CONNECT_MS = 600, /* a server in the region takes a few ms */
	/*
	 * Two failed probes of the ready address, a second apart, take this
	 * host out of service. A request that came later could not be finished
	 * within the grace period.
	 */
	STOP_MIN_MS = 2700,
	CLOSE_RESERVE_MS = 700, /* of the grace period, to close connections */
};

/* Share of the retry ratio that is used: windows overlap. */
static const double retry_budget_share = 0.85;

static void on_send(void *ctx, request_t *r)
{
	edged_t *d = ctx;

	forward_send(d->forward, r);
}

static void on_refuse(void *ctx, request_t *r, code_t code, ms_t after)
{
	edged_t *d = ctx;

	forward_refuse(d->forward, r, code, after);
}

static void on_forget(void *ctx, backend_t *b)
{
	edged_t *d = ctx;

	forward_drop_server(d->forward, b);
}

static void on_note(void *ctx, const request_t *r, ms_t now, const char *step,
		    const char *text)
{
	edged_t *d = ctx;

	forward_trace(d->forward, r, now, step, text);
}

static void on_slot_request(void *ctx, backend_t *b, const request_t *r,
			    ms_t in_time, ms_t now)
{
	edged_t *d = ctx;

	peering_request_slot(d->peering, b, r, in_time, now);
}

static void on_release(void *ctx, uint64_t keeper, const request_t *r,
		       slot_end_t how)
{
	edged_t *d = ctx;

	peering_release_slot(d->peering, keeper, r, how);
}

static void on_quota_join(void *ctx, uint64_t server, const quota_join_t *j)
{
	edged_t *d = ctx;

	peering_quota_join(d->peering, server, j);
}

static void on_quota_leave(void *ctx, uint64_t server, const char *customer)
{
	edged_t *d = ctx;

	peering_quota_leave(d->peering, server, customer);
}

static void on_quota_take(void *ctx, uint64_t server, const request_t *r)
{
	edged_t *d = ctx;

	peering_quota_take(d->peering, server, r);
}

static void on_limit_named(void *ctx, const backend_t *b, bool hosts)
{
	edged_t *d = ctx;

	peering_tell_limit(d->peering, b, hosts);
}

static void on_tell_warmup(void *ctx, const backend_t *b,
			   const warmup_conf_t *c, ms_t cold_left)
{
	edged_t *d = ctx;

	peering_tell_warmup(d->peering, b, c, cold_left);
}

static void on_keeper_wanted(void *ctx, const addr_t *server, bool wanted)
{
	edged_t *d = ctx;

	peering_keeper(d->peering, server, wanted);
}

static void on_crash_seen(void *ctx, const crash_report_t *c)
{
	edged_t *d = ctx;

	if (d->crashes)
		crashd_seen(d->crashes, c);
}

static void on_trait_answered(void *ctx, trait_t trait)
{
	edged_t *d = ctx;

	if (d->crashes)
		crashd_trait_answered(d->crashes, trait);
}

static void on_leaving_said(void *ctx, const backend_t *b)
{
	edged_t *d = ctx;

	peering_tell_leaving(d->peering, b);
}

static bool on_leave_silent(void *ctx, request_t *r)
{
	edged_t *d = ctx;

	return forward_leave_silent(d->forward, r);
}

static const edge_ops_t edge_ops = {
	on_send,	  on_refuse,	  on_note,	   on_slot_request,
	on_release,	  on_quota_join,  on_quota_leave,  on_quota_take,
	on_keeper_wanted, on_forget,	  on_crash_seen,   on_trait_answered,
	on_limit_named,	  on_tell_warmup, on_leaving_said, on_leave_silent
};

static void on_rollout_count(void *ctx, uint64_t host, const char *service,
			     uint64_t order, const char *cell, uint64_t value)
{
	edged_t *d = ctx;

	if (d->rollouts)
		rolloutd_count(d->rollouts, host, service, order, cell, value);
}

static void on_host_gone(void *ctx, uint64_t host)
{
	edged_t *d = ctx;

	if (d->rollouts)
		rolloutd_host_gone(d->rollouts, host);
}

static str_t on_config_text(void *ctx)
{
	edged_t *d = ctx;

	return configs_text(d->configs);
}

static void on_peer_config(void *ctx, str_t text)
{
	edged_t *d = ctx;

	configs_put(d->configs, str_of("config"), text, "host");
}

static const peering_ops_t peering_ops = {
	on_config_text, on_peer_config,	     on_rollout_count,
	on_host_gone,	topics_newer_config, topics_config_coming,
	topics_news
};

static void on_written(void *ctx, const char *topic, const char *key,
		       append_result_t end)
{
	edged_t *d = ctx;

	rolloutd_written(d->rollouts, topic, key, end);
}

static const append_ops_t append_ops = { on_written };

static int show_ready(const edged_t *d, GString *out)
{
	if (d->stopping)
		g_string_append(out, "stopping\n");
	else if (!edge_desired(d->edge))
		g_string_append(out, "no configuration\n");
	else if (!d->servers_known)
		g_string_append(out, "servers not listed\n");
	else if (!crashd_known(d->crashes, clock_now()))
		g_string_append(out, "crash reports not listed\n");
	else
		return 200;
	return 503;
}

static int on_page(void *ctx, str_t path, GString *out)
{
	edged_t *d = ctx;

	if (str_eq(path, str_of("/metrics"))) {
		counter_get(d->counters, "edge_log_lines_dropped_total", NULL)
			->value = log_dropped();
		counters_print(d->counters, out);
		g_string_append_printf(out, "edge_keepers %u\n",
				       edge_nkeepers(d->edge));
		return 200;
	}
	if (str_eq(path, str_of("/status"))) {
		edge_print(d->edge, out, clock_now());
		return 200;
	}
	return show_ready(d, out);
}

/* Closes what make_edge and listen_all opened. */
static void close_edge(edged_t *d)
{
	forward_close(d->forward);
	pages_close(d->pages);
	pages_close(d->metrics);
	append_free(d->append);
	crashd_free(d->crashes);
	rolloutd_free(d->rollouts);
	d->crashes = NULL;
	d->rollouts = NULL; /* messages of hosts may come until the loop ends */
	peering_close(d->peering);
	configs_close(d->configs);
}

static void end(edged_t *d)
{
	ticker_stop(&d->ticker);
	uv_close((uv_handle_t *)&d->term, NULL);
	uv_close((uv_handle_t *)&d->intr, NULL);
	uv_close((uv_handle_t *)&d->hup, NULL);
	follow_free(d->orders);
	follow_free(d->servers);
	follow_free(d->hosts);
	close_edge(d);
	uv_stop(&d->loop);
}

static void check_end(edged_t *d, ms_t now)
{
	ms_t grace = d->set->grace - CLOSE_RESERVE_MS;
	ms_t age = now - d->stop_at;

	if (age >= grace || (age >= STOP_MIN_MS && forward_idle(d->forward)))
		end(d);
}

static edge_conf_t edge_conf(const edged_t *d)
{
	const edge_settings_t *set = d->set;
	edge_conf_t conf = {
		.inc = d->inc,
		.name = set->name,
		.data_center = set->data_center,
		.regions = set->regions,
		.subset = (unsigned int)set->subset,
		.seed = random_u64(),
		.retry_ratio = set->retry_ratio * retry_budget_share,
		.retry_window = set->retry_window,
		.retry_slack = set->retry_slack,
		.quota = { .tolerance = set->quota_tolerance,
			   .slack = set->quota_slack,
			   .window = set->quota_window },
	};

	return conf;
}

/* Reloads the settings and puts changed ones in force. */
static void reload_settings(edged_t *d, ms_t now)
{
	edge_conf_t conf;

	if (!reload_poll(d->reload, d->set, d->reload_requested, now)) {
		d->reload_requested = false;
		return;
	}
	d->reload_requested = false;
	conf = edge_conf(d);
	edge_reconf(d->edge, &conf);
	peering_reconf(d->peering);
	forward_set_connections_max(d->forward, d->set->connections_max);
	forward_set_memory(d->forward, d->set->memory_mb << 20);
	topics_reconf(d);
	rolloutd_set_bounds(d->rollouts, d->set->canary_share,
			    d->set->canary_slack);
}

static void on_tick(void *ctx, ms_t now)
{
	edged_t *d = ctx;

	reload_settings(d, now);
	topics_tick(d, now);
	crashd_tick(d->crashes, now);
	append_tick(d->append, now);
	peering_reaches_store(d->peering, store_link_up(&d->store, now));
	peering_tick(d->peering, now);
	rolloutd_tick(d->rollouts,
		      peering_runs_analysis(d->peering) && !d->stopping, now);
	roster_tick(d->roster, now);
	edge_tick(d->edge, now);
	forward_tick(d->forward, now);
	log_flush();
	if (d->stopping)
		check_end(d, now);
}

static void on_signal(uv_signal_t *s, int number)
{
	edged_t *d = s->data;

	log_line(LOG_INFO, "signal", "number=%d stopping=%d", number,
		 d->stopping);
	if (number == SIGHUP)
		d->reload_requested = true;
	if (number == SIGHUP || d->stopping)
		return;
	d->stopping = true;
	d->stop_at = clock_now();
	forward_drain(d->forward, d->stop_at);
}

static void start_signal(edged_t *d, uv_signal_t *s, int number)
{
	uv_signal_init(&d->loop, s);
	s->data = d;
	uv_signal_start(s, on_signal, number);
}

static void make_edge(edged_t *d)
{
	const edge_settings_t *set = d->set;
	edge_conf_t conf = edge_conf(d);
	forward_conf_t forward_conf = {
		.listen_addr = set->callers,
		.connect_timeout = CONNECT_MS,
		.connections_max = set->connections_max,
		.memory = set->memory_mb << 20,
		.drain_accept_time = STOP_MIN_MS,
	};

	d->edge = edge_new(&conf, &edge_ops, d, d->counters);
	d->forward = forward_new(&d->loop, &forward_conf, d->edge,
				 &adapter_codec, d->counters);
	d->roster = roster_new(d->edge);
	d->configs = configs_new(&d->loop, d);
	d->store.addr = set->store;
	reach_init(&d->store.reach);
	d->append =
		append_new(&d->loop, &d->store, &append_ops, d, d->counters);
	d->rollouts =
		rolloutd_new(&d->loop, &d->store, d->edge, d->append,
			     set->canary_share, set->canary_slack, d->counters);
	d->crashes = crashd_new(&d->loop, &d->store, set->name, d->edge,
				d->append, &topics_crashes_ops, d, d->counters);
	d->peering = peering_new(&d->loop, d->edge, set, d->inc, &peering_ops,
				 d, d->counters);
}

static bool listen_all(edged_t *d, GError **err)
{
	d->pages = pages_new(&d->loop, on_page, d);
	d->metrics = pages_new(&d->loop, on_page, d);
	if (d->set->metrics.port &&
	    pages_listen(d->metrics, &d->set->metrics) != CODE_OK)
		log_line(LOG_WARN, "metrics_off", "port=%u",
			 d->set->metrics.port);
	if (forward_listen(d->forward) == CODE_OK &&
	    pages_listen(d->pages, &d->set->ready) == CODE_OK &&
	    peering_listen(d->peering) == CODE_OK)
		return true;
	g_set_error(err, code_quark(), CODE_UNREACHABLE,
		    "cannot listen for callers on port %u, ready on port %u, "
		    "peers on port %u",
		    d->set->callers.port, d->set->ready.port,
		    d->set->peers.port);
	return false;
}

/* Frees everything; edge_free closes idle connections to servers. */
static void dispose(edged_t *d)
{
	edge_free(d->edge);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	peering_free(d->peering);
	roster_free(d->roster);
	forward_free(d->forward);
	configs_free(d->configs);
	pages_free(d->pages);
	pages_free(d->metrics);
	uv_loop_close(&d->loop);
	counters_free(d->counters);
	reload_free(d->reload);
	edge_settings_free(d->set);
	g_byte_array_free(d->server_news, TRUE);
	g_free(d);
	log_flush();
}

bool edged_run(edge_settings_t *set, const char *path, GError **err)
{
	edged_t *d = g_new0(edged_t, 1);

	d->set = set;
	d->reload = reload_new(path);
	d->inc = random_u64();
	d->started = clock_now();
	d->server_news = g_byte_array_new();
	d->counters = counters_new();
	d->bad_records =
		counter_get(d->counters, "edge_bad_records_total", NULL);
	/* Configurations are decoded one at a time. */
	g_setenv("UV_THREADPOOL_SIZE", "1", FALSE);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&d->loop);
	make_edge(d);
	if (!listen_all(d, err)) {
		close_edge(d);
		dispose(d);
		return false;
	}
	topics_follow(d);
	ticker_start(&d->ticker, &d->loop, TICK_MS, d->counters, "edge",
		     on_tick, d);
	start_signal(d, &d->term, SIGTERM);
	start_signal(d, &d->intr, SIGINT);
	start_signal(d, &d->hup, SIGHUP);
	log_line(LOG_INFO, "start", "name=%s role=edge settings=%s", set->name,
		 path);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	log_line(LOG_INFO, "stop", "name=%s", set->name);
	dispose(d);
	return true;
}
