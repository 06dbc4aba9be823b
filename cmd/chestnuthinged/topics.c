/*
 * The topics of the platform's store that an edge host follows: the operator's
 * records, the backend servers' entries, the list of edge hosts. A relay passes
 * on what it reads, a follower takes it.
 */
#include <inttypes.h>
#include "edged_priv.h"
#include "conf/fns.h"
#include "net/fns.h"

enum {
	/*
	 * Long poll: a path to the store that went silent is noticed after it.
	 * Other hosts pass on a newer configuration meanwhile.
	 */
	ORDERS_WAIT_MS = 3500,
	SERVERS_WAIT_MS = 1200,
	FAST_POLL_MS = 120, /* between reads while servers are missing */
	STARTUP_MS = 4000,  /* servers register within two heartbeats */
	SETTLE_MS = 600,    /* without a new server: all have registered */
	/*
	 * While the store fails: each call is priced, and other hosts pass on a
	 * newer configuration.
	 */
	RETRY_MAX_MS = 1000,
	HOSTS_RETRY_MAX_MS = 4000,
	/* Hosts are added seldom; learning of one late does no harm. */
	HOSTS_WAIT_MS = 10000,
	/* Hosts that start together are listed at once. */
	HOSTS_PAUSE_MS = 1000,
	NEWS_PAUSE_PART = 4, /* of a pause, that a relay's read may end late */
	NEWS_LATE_MS = 1000, /* that a relay's long poll may end late */
};

/*
 * Share of the time within which a draining server must be known, used as the
 * pause between reads. Each heartbeat rewrites a server's entry, so a pause
 * lets one read take many.
 */
static const double drain_time_share = 0.5;

/* Counts and logs a record of the store that is not used. */
void topics_reject(edged_t *d, str_t key, const char *why)
{
	d->bad_records->value++;
	log_line(LOG_WARN, "record_bad", "key=%.*s why=\"%s\"", (int)key.n,
		 key.p, why);
}

/* Takes an order to evacuate a data centre; without a value it is withdrawn. */
static void take_evacuation(edged_t *d, str_t key, str_t data_center,
			    bool ordered, uint64_t position)
{
	char *name = str_dup(data_center);

	if (!name_valid(name))
		topics_reject(d, key, "expected the name of a data centre");
	else if (ordered)
		edge_evacuate(d->edge, name, position, "store", clock_now());
	else
		edge_evacuation_lift(d->edge, name, position, "store",
				     clock_now());
	g_free(name);
}

/*
 * Takes the operator's record: a configuration, or an order of a rollout or an
 * evacuation.
 */
static void on_operator_record(void *ctx, str_t key, str_t value,
			       uint64_t number)
{
	edged_t *d = ctx;
	const char *why;
	str_t data_center = adapter_evacuated(key);

	if (data_center.n > 0)
		take_evacuation(d, key, data_center, value.n > 0, number);
	if (value.n == 0 || data_center.n > 0)
		return;
	if (adapter_is_config(key))
		configs_put(d->configs, key, value, "store");
	else if (adapter_is_rollout(key) &&
		 !rolloutd_order(d->rollouts, key, value, number, &why))
		topics_reject(d, key, why);
}

void topics_newer_config(void *ctx)
{
	edged_t *d = ctx;

	follow_read_now(d->orders, clock_now());
}

bool topics_config_coming(void *ctx)
{
	edged_t *d = ctx;

	return configs_decoding(d->configs) || follow_receiving(d->orders);
}

/*
 * While an entry is missing that no other host may miss, this host reads the
 * entries itself.
 */
static void feed_servers(edged_t *d, const follow_news_t *n, ms_t now)
{
	if (edge_servers_missing(d->edge, now))
		return;
	follow_feed(d->servers, n, now);
	g_byte_array_set_size(d->server_news, 0);
}

/* A relay has read a topic. */
void topics_news(void *ctx, str_t topic, const follow_news_t *n)
{
	edged_t *d = ctx;
	ms_t now = clock_now();

	if (str_eq(topic, str_of(adapter_topic_servers())))
		feed_servers(d, n, now);
	else if (str_eq(topic, str_of(adapter_topic_operator())))
		follow_feed(d->orders, n, now);
	else if (str_eq(topic, str_of(adapter_topic_hosts())))
		follow_feed(d->hosts, n, now);
	else if (d->crashes && str_eq(topic, str_of(adapter_topic_crashes())))
		crashd_feed(d->crashes, n, now);
}

/* Takes the address of another edge host. */
static void on_host_record(void *ctx, str_t key, str_t value, uint64_t number)
{
	edged_t *d = ctx;

	peering_host(d->peering, key, value);
}

static void relay(edged_t *d, const char *topic, const follow_news_t *n)
{
	if (peering_is_relay(d->peering) && peering_has_followers(d->peering))
		peering_relay(d->peering, topic, n);
}

/* Followers read new orders of the operator themselves. */
static void on_orders_read(void *ctx, uint64_t from, uint64_t to)
{
	follow_news_t n = { .from = from, .to = to, .complete = from == to };

	relay(ctx, adapter_topic_operator(), &n);
}

static void on_hosts_read(void *ctx, uint64_t from, uint64_t to)
{
	follow_news_t n = { .from = from, .to = to, .complete = from == to };

	relay(ctx, adapter_topic_hosts(), &n);
}

static void on_crashes_read(void *ctx, const follow_news_t *n)
{
	relay(ctx, adapter_topic_crashes(), n);
}

const crashd_ops_t topics_crashes_ops = { on_crashes_read };

static void ignore_listing(void *ctx)
{
	(void)ctx;
}

static void ignore_reachable(void *ctx, bool yes)
{
	(void)ctx;
	(void)yes;
}

static void on_orders_listing(void *ctx)
{
	edged_t *d = ctx;

	edge_evacuations_listing(d->edge);
}

static void on_orders_listed(void *ctx)
{
	edged_t *d = ctx;
	uint64_t next;

	if (follow_next(d->orders, &next))
		edge_evacuations_listed(
			d->edge, next, follow_restored(d->orders), clock_now());
}

static const follow_ops_t orders_ops = { on_operator_record, on_orders_listing,
					 on_orders_listed, ignore_reachable,
					 on_orders_read };

/* Lists this host for the others. */
static void put_own_address(edged_t *d)
{
	char where[64];

	addr_print(&d->set->peers, where);
	append_put(d->append, adapter_topic_hosts(), d->set->name, where, NULL);
}

static void on_hosts_listed(void *ctx)
{
	edged_t *d = ctx;

	edge_hosts_listed(d->edge);
	if (follow_restored(d->hosts))
		put_own_address(d);
}

static const follow_ops_t hosts_ops = { on_host_record, ignore_listing,
					on_hosts_listed, ignore_reachable,
					on_hosts_read };

/* Takes a backend server's entry; an empty value removes the server. */
static void on_server_record(void *ctx, str_t key, str_t value, uint64_t number)
{
	edged_t *d = ctx;
	server_record_t rec;
	const char *why;
	char *id;

	if (value.n == 0) {
		id = str_dup(key);
		roster_remove(d->roster, id, clock_now());
		g_free(id);
		follow_news_add(d->server_news, number, key, value);
		return;
	}
	if (adapter_parse_server(key, value, &rec, &why)) {
		topics_reject(d, key, why);
		return;
	}
	if (rec.cold_bad)
		topics_reject(d, key, "cold time: expected ms, left out");
	if (roster_put(d->roster, &rec.info, clock_now()))
		follow_news_add(d->server_news, number, key, value);
	adapter_server_clear(&rec);
}

static void on_servers_listing(void *ctx)
{
	edged_t *d = ctx;

	if (follow_restored(d->servers))
		roster_store_returned(d->roster, clock_now());
	roster_listing_begin(d->roster);
}

static void on_servers_listed(void *ctx)
{
	edged_t *d = ctx;

	d->servers_known = true;
	g_byte_array_set_size(d->server_news, 0);
	roster_listing_end(d->roster, clock_now());
}

static void on_servers_reachable(void *ctx, bool yes)
{
	edged_t *d = ctx;

	roster_store_reachable(d->roster, yes, clock_now());
}

/* Passes on the records that change more than a heartbeat. */
static void on_servers_read(void *ctx, uint64_t from, uint64_t to)
{
	edged_t *d = ctx;
	follow_news_t n = { .from = from,
			    .to = to,
			    .complete = true,
			    .records = { (char *)d->server_news->data,
					 d->server_news->len } };

	relay(d, adapter_topic_servers(), &n);
	g_byte_array_set_size(d->server_news, 0);
}

static const follow_ops_t servers_ops = { on_server_record, on_servers_listing,
					  on_servers_listed,
					  on_servers_reachable,
					  on_servers_read };

/*
 * Reads the list of servers often while some are missing, or during startup.
 * The store prices each read, so startup polling ends once no new server has
 * appeared for SETTLE_MS.
 */
static void set_server_polling(edged_t *d, ms_t now)
{
	unsigned int n = edge_nservers(d->edge);
	bool starting = now - d->started < STARTUP_MS;
	bool fast;

	if (n > d->servers_seen) {
		d->servers_seen = n;
		d->last_new_server = now;
	}
	fast = (starting && now - d->last_new_server < SETTLE_MS) ||
	       edge_servers_missing(d->edge, now);

	follow_override_pause(d->servers, fast ? FAST_POLL_MS : 0);
}

static void set_orders_wait(edged_t *d)
{
	bool relay = peering_is_relay(d->peering) &&
		     peering_has_followers(d->peering);

	follow_set_wait(d->orders, relay ? relays_read_wait(d->set->config)
					 : ORDERS_WAIT_MS);
}

/* Returns the pause between reads of the servers' entries. */
static ms_t servers_pause(const edged_t *d)
{
	return (ms_t)((double)d->set->drain * drain_time_share);
}

void topics_follow(edged_t *d)
{
	follow_conf_t conf = { .store = &d->store,
			       .topic = adapter_topic_operator(),
			       .wait = ORDERS_WAIT_MS,
			       .retry_max = RETRY_MAX_MS,
			       .news_max = relays_news_max(d->set->config) };

	d->orders = follow_new(&d->loop, &conf, &orders_ops, d, d->counters);
	conf.topic = adapter_topic_servers();
	conf.wait = SERVERS_WAIT_MS;
	conf.pause = servers_pause(d);
	conf.news_max = conf.pause + conf.pause / NEWS_PAUSE_PART;
	conf.notice_max = roster_notice_max(d->set->settle);
	d->servers = follow_new(&d->loop, &conf, &servers_ops, d, d->counters);
	conf.topic = adapter_topic_hosts();
	conf.notice_max = 0;
	conf.wait = HOSTS_WAIT_MS;
	conf.pause = HOSTS_PAUSE_MS;
	conf.news_max = HOSTS_WAIT_MS + NEWS_LATE_MS;
	conf.retry_max = HOSTS_RETRY_MAX_MS;
	d->hosts = follow_new(&d->loop, &conf, &hosts_ops, d, d->counters);
	put_own_address(d);
}

/* Applies new settings. */
void topics_reconf(edged_t *d)
{
	follow_set_pause(d->servers, servers_pause(d));
	follow_set_notice_max(d->servers, roster_notice_max(d->set->settle));
}

/* Reads the topics when it is time. */
void topics_tick(edged_t *d, ms_t now)
{
	set_server_polling(d, now);
	set_orders_wait(d);
	follow_tick(d->orders, now);
	follow_tick(d->servers, now);
	follow_tick(d->hosts, now);
}
