/*
 * Facts that edge hosts send one another: the version of their configuration,
 * their counts for a rollout, and to hosts of an earlier release their use of
 * each customer's quota. Each reports its own numbers only, so that the size of
 * a message does not grow with the number of hosts.
 */
#include <inttypes.h>
#include <string.h>
#include "conf/fns.h"
#include "peering_priv.h"

enum {
	FACTS_MAX = 512, /* customers, or rollout counts, in one message */
	/* A new configuration is reported at once; this makes up for losses. */
	CONFIG_REPORT_MS = 1000,
};

/* Keys, or prefixes of keys, of the facts in a message. */
static const char key_config[] = "config";
static const char key_sent[] = "sent/";
static const char key_rollout[] = "move/"; /* SERVICE/ORDER/CELL */
/* Whether the host reaches the store. Earlier releases don't send it. */
static const char key_store[] = "store";
/* Then a data centre: the positions of its evacuation and of its end. */
static const char key_evacuate[] = "evacuate/";
static const char key_return[] = "return/";
/*
 * From keepers and edge hosts: they keep customers' quotas, and need no reports
 * of use. Earlier releases don't send it.
 */
static const char key_quota[] = QUOTAD_FACT;

/*
 * Returns the host that runs canary analysis: of the relays that are up, the
 * one that precedes the others; this host, if there is none. Hosts that are
 * connected to different relays may choose two analysts; the store accepts only
 * one of their decisions.
 */
static uint64_t find_analyst(const peering_t *p)
{
	const char *first = relays_self(p->relays) ? p->set->name : NULL;
	bool first_reaches = p->reaches_store;
	uint64_t found = p->inc;
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	g_hash_table_iter_init(&it, p->names);
	while (g_hash_table_iter_next(&it, &inc, &name)) {
		bool reaches = !g_hash_table_contains(p->cut_off, inc);

		if (!relays_is_relay(p->relays, name) ||
		    (first &&
		     !relays_precedes(name, reaches, first, first_reaches)))
			continue;
		first = name;
		first_reaches = reaches;
		found = *(uint64_t *)inc;
	}
	return found;
}

/* Returns whether this host runs canary analysis. */
bool peering_runs_analysis(const peering_t *p)
{
	return p->analyst == p->inc;
}

static uint64_t config_version(const peering_t *p)
{
	desired_t *d = edge_desired(p->edge);

	return d ? d->version : 0;
}

/* A host reports its configuration. A newer one is read from the store. */
static void take_version(peering_t *p, uint64_t inc, uint64_t version, ms_t now)
{
	if (version <= p->heard_version || version <= config_version(p))
		return;
	p->heard_version = version;
	p->heard_from = inc;
	p->heard_at = now;
	p->ops->newer_config(p->ctx);
}

/*
 * Requests a newer configuration from the host that reported it, when the store
 * has not given it for an eighth of the time within which it must be in force.
 * One that is coming would only be held up: a large one fills a slow link.
 */
void peering_request_config(peering_t *p, ms_t now)
{
	msg_t ask = { .type = MSG_CONF_GET };

	if (p->heard_version <= config_version(p) ||
	    now - p->heard_at < p->set->config / 8 ||
	    now - p->config_asked_at < p->set->config / 4 ||
	    p->ops->config_coming(p->ctx))
		return;
	p->config_asked_at = now;
	ask.u.conf_get.newer_than = config_version(p);
	peers_send(p->peers, p->heard_from, &ask);
}

/* Takes a rollout count; its key is SERVICE/ORDER/CELL. */
static void take_count(peering_t *p, uint64_t inc, str_t key, uint64_t value)
{
	char *text = str_dup(key);
	char **part = g_strsplit(text, "/", 3);
	guint64 order;

	if (g_strv_length(part) == 3 &&
	    g_ascii_string_to_unsigned(part[1], 10, 0, G_MAXUINT64, &order,
				       NULL))
		p->ops->rollout_count(p->ctx, inc, part[0], order, part[2],
				      value);
	else
		log_line(LOG_WARN, "move_count_bad", "key=%s", text);
	g_strfreev(part);
	g_free(text);
}

static bool has_prefix(str_t key, const char *prefix)
{
	return key.n > strlen(prefix) &&
	       memcmp(key.p, prefix, strlen(prefix)) == 0;
}

static void take_reach(peering_t *p, uint64_t inc, bool reaches)
{
	if (reaches)
		g_hash_table_remove(p->cut_off, &inc);
	else
		g_hash_table_add(p->cut_off, g_memdup2(&inc, sizeof(inc)));
}

/* This host reaches the store, or not; the others are told at once. */
void peering_reaches_store(peering_t *p, bool reaches)
{
	if (p->reaches_store == reaches)
		return;
	log_line(LOG_INFO, "store_reach", "reaches=%d", reaches);
	p->reaches_store = reaches;
	p->next_report = 0;
}

/* Takes another host's word of an order to evacuate, or of its withdrawal. */
static void take_evacuation(peering_t *p, str_t key, size_t prefix,
			    bool ordered, uint64_t position)
{
	char *name = str_dup((str_t){ key.p + prefix, key.n - prefix });

	if (!name_valid(name))
		log_line(LOG_WARN, "evacuation_bad", "bytes=%zu", key.n);
	else if (ordered)
		edge_evacuate(p->edge, name, position, "host", clock_now());
	else
		edge_evacuation_lift(p->edge, name, position, "host",
				     clock_now());
	g_free(name);
}

void peering_take_facts(peering_t *p, uint64_t inc, const char *name,
			const msg_facts_t *f)
{
	ms_t now = clock_now();

	edge_host_listed(p->edge, name);
	for (size_t i = 0; i < f->n; i++) {
		str_t key = f->kv[i].key;

		if (str_eq(key, str_of(key_config))) {
			take_version(p, inc, f->kv[i].value, now);
		} else if (has_prefix(key, key_rollout)) {
			take_count(p, inc,
				   (str_t){ key.p + strlen(key_rollout),
					    key.n - strlen(key_rollout) },
				   f->kv[i].value);
		} else if (str_eq(key, str_of(key_store))) {
			take_reach(p, inc, f->kv[i].value != 0);
		} else if (has_prefix(key, key_evacuate)) {
			take_evacuation(p, key, strlen(key_evacuate), true,
					f->kv[i].value);
		} else if (has_prefix(key, key_return)) {
			take_evacuation(p, key, strlen(key_return), false,
					f->kv[i].value);
		} else if (str_eq(key, str_of(key_quota))) {
			g_hash_table_remove(p->reported_to, &inc);
			p->hosts_changed = true;
		} else {
			peering_take_word(p, name, &f->kv[i]);
		}
	}
}

void peering_send_config(peering_t *p, uint64_t inc, uint64_t newer_than)
{
	desired_t *d = edge_desired(p->edge);
	msg_t give = { .type = MSG_CONF };

	if (!d || d->version <= newer_than)
		return;
	give.u.conf.offset = d->version;
	give.u.conf.text = p->ops->config_text(p->ctx);
	peers_send(p->peers, inc, &give);
}

static void add(peering_t *p, char *key, uint64_t value)
{
	fact_kv_t kv = { str_of(key), value };

	g_ptr_array_add(p->keys, key);
	if (p->kv->len < FACTS_MAX)
		g_array_append_val(p->kv, kv);
	else
		p->customers_omitted->value++;
}

static void add_use(void *ctx, const char *customer, double sent)
{
	add(ctx, g_strconcat(key_sent, customer, NULL), (uint64_t)sent);
}

static void add_evacuation(void *ctx, const char *data_center, uint64_t ordered,
			   uint64_t lifted)
{
	if (ordered > 0)
		add(ctx, g_strconcat(key_evacuate, data_center, NULL), ordered);
	if (lifted > 0)
		add(ctx, g_strconcat(key_return, data_center, NULL), lifted);
}

static void begin_facts(peering_t *p)
{
	g_array_set_size(p->kv, 0);
	g_ptr_array_set_size(p->keys, 0);
}

static void send_facts(peering_t *p, uint64_t inc)
{
	msg_t msg = { .type = MSG_FACTS };

	msg.u.facts.n = p->kv->len;
	msg.u.facts.kv = (fact_kv_t *)p->kv->data;
	peers_send(p->peers, inc, &msg);
}

static void add_count(void *ctx, const char *service, uint64_t order,
		      const char *cell, uint64_t value)
{
	peering_t *p = ctx;

	if (p->analyst == p->inc) {
		p->ops->rollout_count(p->ctx, p->inc, service, order, cell,
				      value);
		return;
	}
	if (p->kv->len == FACTS_MAX) {
		send_facts(p, p->analyst);
		begin_facts(p);
	}
	add(p,
	    g_strdup_printf("%s%s/%" PRIu64 "/%s", key_rollout, service, order,
			    cell),
	    value);
}

/* Sends changed rollout counts to the analyst; all of them to a new analyst. */
static void report_counts(peering_t *p, ms_t now)
{
	uint64_t analyst = find_analyst(p);
	bool resend_all = analyst != p->analyst;

	if (now < p->next_count_report && !resend_all)
		return;
	p->next_count_report = now + SHIFT_REPORT_MS;
	p->analyst = analyst;
	begin_facts(p);
	edge_shift_report(p->edge, add_count, resend_all, p);
	if (p->kv->len > 0)
		send_facts(p, analyst);
}

static ms_t report_interval(const peering_t *p)
{
	return g_hash_table_size(p->reported_to) > 0
		       ? edge_report_interval(p->edge)
		       : CONFIG_REPORT_MS;
}

/* Sends the message to the hosts that need, or don't need, reports of use. */
static void send_to(peering_t *p, bool reported_to)
{
	GHashTableIter it;
	gpointer inc;

	g_hash_table_iter_init(&it, p->names);
	while (g_hash_table_iter_next(&it, &inc, NULL)) {
		if (g_hash_table_contains(p->reported_to, inc) == reported_to)
			send_facts(p, *(uint64_t *)inc);
	}
}

/* Sends due reports to the analyst and to the other hosts. */
void peering_report(peering_t *p, ms_t now)
{
	uint64_t version = config_version(p);
	uint64_t evacuations = edge_evacuations_version(p->edge);

	report_counts(p, now);
	if (now < p->next_report && version == p->reported_version &&
	    evacuations == p->reported_evacuations)
		return;
	if (evacuations != p->reported_evacuations)
		p->tell_evacuations = true;
	p->reported_evacuations = evacuations;
	p->next_report = now + report_interval(p);
	p->reported_version = version;
	begin_facts(p);
	add(p, g_strdup(key_config), version);
	add(p, g_strdup(key_quota), 1);
	add(p, g_strdup(key_store), p->reaches_store);
	if (p->tell_evacuations)
		edge_each_evacuation(p->edge, add_evacuation, p);
	p->tell_evacuations = false;
	send_to(p, false);
	if (g_hash_table_size(p->reported_to) == 0)
		return;
	edge_each_usage(p->edge, add_use, p);
	send_to(p, true);
}
