/* Reads the platform's host list and config stream, and an entry's claims. */
#include <string.h>
#include "fns.h"

enum {
	CLAIM_BATCH = 5,      /* ms between appends of claims */
	CLAIM_TIMEOUT = 2000, /* ms */
	SNAPSHOTS = 4,	  /* of the configuration within the log's retention */
	LIST_LAG = 10000, /* ms by which the host list may be late */
};

struct plat {
	daemon_t *d;
	hostsc_t *hosts;
	logc_t *config;
	logc_t *claims_log;
	claims_t *claims;    /* NULL for a sidecar */
	GHashTable *leaving; /* names of hosts listed as leaving */
	GHashTable *listed;  /* names of peers from the host list */
	ms_t started;
	bool listed_live; /* this process was listed, not as leaving */
	ms_t retention;	  /* of the log */
	ms_t next_snapshot;
	counter_t *config_up;
	counter_t *claims_up;
	counter_t *appends;
	counter_t *append_failures;
};

static void count_append(plat_t *p, code_t code)
{
	p->appends->value++;
	if (code != CODE_OK)
		p->append_failures->value++;
}

static void on_config(void *ctx, const log_record_t *r)
{
	plat_t *p = ctx;
	code_t code = ledger_read_record(state_ledger(p->d->state), r->offset,
					 r->data);

	if (code != CODE_OK)
		log_line(LOG_WARN, "record",
			 "offset=%" G_GUINT64_FORMAT " code=%s", r->offset,
			 code_name(code));
}

static void on_config_forgotten(void *ctx, uint64_t first)
{
	plat_t *p = ctx;

	ledger_truncated(state_ledger(p->d->state), first);
}

static void on_config_caught_up(void *ctx, uint64_t next)
{
	plat_t *p = ctx;

	(void)next;
	state_caught_up(p->d->state);
}

static void on_config_reachable(void *ctx, bool yes)
{
	plat_t *p = ctx;

	p->config_up->value = yes;
	log_line(yes ? LOG_INFO : LOG_WARN, yes ? "log-up" : "log-down",
		 "stream=config");
}

static void on_claims(void *ctx, const log_record_t *r)
{
	plat_t *p = ctx;

	claims_read_record(p->claims, r->offset, r->data, clock_now());
}

static void on_claims_caught_up(void *ctx, uint64_t next)
{
	plat_t *p = ctx;

	claims_caught_up(p->claims, next, clock_now());
}

static void on_claims_reachable(void *ctx, bool yes)
{
	plat_t *p = ctx;

	p->claims_up->value = yes;
	claims_set_reachable(p->claims, yes, clock_now());
}

static void on_claims_appended(void *ctx, code_t code, uint64_t offset)
{
	plat_t *p = ctx;

	(void)offset;
	count_append(p, code);
	claims_appended(p->claims, code, clock_now());
}

static void on_claims_append(void *ctx, str_t data)
{
	plat_t *p = ctx;

	logc_append(p->claims_log, data, on_claims_appended, p);
}

static void on_settled(void *ctx, rid_t rid, code_t code, rid_t first)
{
	plat_t *p = ctx;

	(void)first;
	entryd_claimed(p->d->entry, rid, code, clock_now());
}

static void on_config_appended(void *ctx, code_t code, uint64_t offset)
{
	plat_t *p = ctx;

	(void)offset;
	count_append(p, code);
}

/* Appends a record to the config stream, once: it may be lost. */
void plat_append_config(plat_t *p, const char *record)
{
	logc_append(p->config, str_of(record), on_config_appended, p);
}

static void set_leaving(plat_t *p, const char *name, bool leaving)
{
	bool was = g_hash_table_contains(p->leaving, name);

	if (leaving == was)
		return;
	if (leaving)
		g_hash_table_add(p->leaving, g_strdup(name));
	else
		g_hash_table_remove(p->leaving, name);
	log_line(LOG_INFO, "host", "name=%s leaving=%d", name, leaving);
	if (leaving && p->d->entry)
		entryd_host_leaving(p->d->entry, name, clock_now());
}

/*
 * Checks this host's own record. If it says leaving since the start, it may be
 * left over from an earlier process of this name, and counts only after
 * LIST_LAG.
 */
static void check_own_host(plat_t *p, const host_t *h)
{
	if (!h->leaving)
		p->listed_live = true;
	else if (p->listed_live || clock_now() - p->started > LIST_LAG)
		daemon_leave(p->d);
}

static void take_host(plat_t *p, const host_t *h, GHashTable *names)
{
	char *name = str_dup(h->name);

	if (strcmp(name, p->d->set->name) == 0)
		check_own_host(p, h);
	set_leaving(p, name, h->leaving);
	if (p->d->entry && !h->leaving && str_eq(h->role, str_of("sidecar"))) {
		peers_connect(p->d->peers, name, &h->addr);
		g_hash_table_add(names, name);
		return;
	}
	g_free(name);
}

static bool is_in_settings(const settings_t *set, const char *name)
{
	for (size_t i = 0; i < set->npeers; i++) {
		if (strcmp(set->peers[i].name, name) == 0)
			return true;
	}
	return false;
}

/* Stops connecting to sidecars that are no longer listed, or are leaving. */
static void forget_unlisted(plat_t *p, GHashTable *names)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, p->listed);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!g_hash_table_contains(names, name) &&
		    !is_in_settings(p->d->set, name))
			peers_forget(p->d->peers, name);
	}
	g_hash_table_destroy(p->listed);
	p->listed = names;
}

static void on_hosts(void *ctx, const host_t *hosts, size_t n)
{
	plat_t *p = ctx;
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned int entries = 0;

	for (size_t i = 0; i < n; i++) {
		entries += !hosts[i].leaving &&
			   str_eq(hosts[i].role, str_of("entry"));
		take_host(p, &hosts[i], names);
	}
	if (p->d->entry)
		entryd_set_live_entries(p->d->entry, entries);
	forget_unlisted(p, names);
}

static void start_claims(plat_t *p)
{
	static const claims_ops_t ops = { on_claims_append, on_settled };
	static const log_reader_ops_t reader = {
		.record = on_claims,
		.caught_up = on_claims_caught_up,
		.reachable = on_claims_reachable,
	};
	const settings_t *set = p->d->set;

	p->claims = claims_new(&ops, p, CLAIM_BATCH, (ms_t)3600 * MS_PER_S,
			       CLAIM_TIMEOUT);
	p->claims_log =
		logc_new(&p->d->loop, p->d->http, &set->platform,
			 set->platform_ns, "claims", set->platform_poll);
	logc_read(p->claims_log, 1, &reader, p);
}

/* Starts reading the platform. */
plat_t *plat_new(daemon_t *d)
{
	static const log_reader_ops_t reader = {
		.record = on_config,
		.truncated = on_config_forgotten,
		.caught_up = on_config_caught_up,
		.reachable = on_config_reachable,
	};
	const settings_t *set = d->set;
	plat_t *p = g_new0(plat_t, 1);

	p->d = d;
	p->started = clock_now();
	p->leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->config_up = gauge_get(d->counters, "chestnuthinge_log_up",
				 "stream=\"config\"");
	p->claims_up = gauge_get(d->counters, "chestnuthinge_log_up",
				 "stream=\"claims\"");
	p->appends =
		counter_get(d->counters, "chestnuthinge_appends_total", "");
	p->append_failures = counter_get(
		d->counters, "chestnuthinge_append_failures_total", "");
	p->config = logc_new(&d->loop, d->http, &set->platform,
			     set->platform_ns, "config", set->platform_poll);
	logc_read(p->config, 1, &reader, p);
	if (d->entry)
		start_claims(p);
	p->hosts = hostsc_new(&d->loop, d->http, &set->platform,
			      set->hosts_poll, on_hosts, p);
	return p;
}

/* Stops reading; the loop must still run once. */
void plat_free(plat_t *p)
{
	hostsc_free(p->hosts);
	logc_free(p->config);
	if (p->claims) {
		logc_free(p->claims_log);
		claims_free(p->claims);
	}
	g_hash_table_destroy(p->leaving);
	g_hash_table_destroy(p->listed);
	g_free(p);
}

static ms_t snapshot_period(const plat_t *p)
{
	return p->retention / SNAPSHOTS / 2 +
	       (ms_t)(random_u64() % (uint64_t)(p->retention / SNAPSHOTS));
}

/* Sets the claim window and the log's retention from the intent. */
void plat_intent(plat_t *p, const intent_t *in)
{
	p->retention = (ms_t)in->log_retention_s * MS_PER_S;
	p->next_snapshot = clock_now() + snapshot_period(p);
	if (p->claims)
		claims_set_window(p->claims,
				  (ms_t)in->claim_window_s * MS_PER_S);
}

/* Claims an idempotency key for a request. */
void plat_claim(plat_t *p, rid_t rid, const char *customer, const char *key)
{
	claims_add(p->claims, rid, customer, key, clock_now());
}

/* Releases the key of a request that was not run. */
void plat_release_claim(plat_t *p, rid_t rid)
{
	claims_release(p->claims, rid, clock_now());
}

/* Appends a snapshot of the configuration before the log drops its record. */
static void write_snapshot(plat_t *p, ms_t now)
{
	char *record;

	if (p->retention == 0 || now < p->next_snapshot)
		return;
	p->next_snapshot = now + snapshot_period(p);
	record = snapshot_record(state_ledger(p->d->state));
	if (record)
		plat_append_config(p, record);
	g_free(record);
}

/* Runs timers. */
void plat_tick(plat_t *p, ms_t now)
{
	if (!p->claims)
		return;
	claims_tick(p->claims, now);
	write_snapshot(p, now);
}
