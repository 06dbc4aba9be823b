/*
 * What edge hosts tell one another directly: that they live, what they sent
 * for each customer, and which configuration they hold. Each speaks for itself
 * only, so a message costs the same whatever the number of hosts.
 */
#include <inttypes.h>
#include <string.h>
#include "mates.h"

enum {
	FRAME_MAX = 8 << 20,  /* bytes: a configuration */
	QUEUE_MAX = 16 << 20, /* bytes */
	HEARTBEAT_MS = 800,
	SILENT_MS = 2500,
	RETRY_BASE_MS = 100,
	RETRY_MAX_MS = 3000,
	KEYS_MAX = 512,	       /* customers, or cells, told in one message */
	JUDGE_MS = 200,	       /* evidence is passed on: a bad version must be
				  taken back within seconds */
	JUDGE_FOR_EACH_MS = 3, /* more for each host, so that the judge has a
				  few hundred messages a second at most */
};

/* Names of what a message tells. */
static const char key_config[] = "config";
static const char key_sent[] = "sent/";
static const char key_move[] = "move/"; /* SERVICE/ORDER/CELL */

static const char role_keeper[] = "sidecar";

struct mates {
	edge_t *edge;
	const edge_settings_t *set;
	const mates_ops_t *ops;
	void *ctx;
	peers_t *peers;
	GHashTable *names;   /* name by incarnation, of hosts that are up */
	GHashTable *keepers; /* IP by incarnation, of keepers that are up */
	ms_t next;
	GArray *kv;	   /* fact_kv_t, of the message being made */
	GPtrArray *keys;   /* its strings */
	ms_t asked_at;	   /* for a configuration */
	uint64_t inc;	   /* of this process */
	counter_t *untold; /* customers for whom a message had no room */
	uint64_t judge;	   /* incarnation of the host that judges moves */
	ms_t judge_next;
};

/*
 * The host that judges moves of versions: of those in touch, the one whose
 * name comes first. Where hosts see unlike ones, two may judge; the store lets
 * only one of their decisions through.
 */
static uint64_t find_judge(const mates_t *m)
{
	const char *first = m->set->name;
	uint64_t found = m->inc;
	GHashTableIter it;
	gpointer inc;
	gpointer name;

	g_hash_table_iter_init(&it, m->names);
	while (g_hash_table_iter_next(&it, &inc, &name)) {
		if (strcmp(name, first) >= 0)
			continue;
		first = name;
		found = *(uint64_t *)inc;
	}
	return found;
}

/* Whether this host is the judge. */
bool mates_judging(const mates_t *m)
{
	return m->judge == m->inc;
}

static void on_up(void *ctx, const msg_hello_t *who)
{
	mates_t *m = ctx;
	uint64_t *inc = g_memdup2(&who->inc, sizeof(who->inc));
	char *ip;

	if (!str_eq(who->role, str_of(role_keeper))) {
		g_hash_table_replace(m->names, inc, str_dup(who->name));
		return;
	}
	ip = str_dup(who->name);
	*strrchr(ip, ':') = '\0';
	g_hash_table_replace(m->keepers, inc, ip);
	edge_keeper_state(m->edge, ip, who->inc);
}

static void on_down(void *ctx, uint64_t inc)
{
	mates_t *m = ctx;
	const char *ip = g_hash_table_lookup(m->keepers, &inc);

	if (ip)
		edge_keeper_state(m->edge, ip, 0);
	else
		m->ops->gone(m->ctx, inc);
	if (inc == m->judge)
		m->judge = 0;
	g_hash_table_remove(m->keepers, &inc);
	g_hash_table_remove(m->names, &inc);
}

static void take_grant(mates_t *m, uint64_t inc, rid_t rid)
{
	msg_t back = { .type = MSG_WITHDRAW };

	if (edge_slot_granted(m->edge, inc, rid, clock_now()))
		return;
	back.u.withdraw.rid = rid;
	peers_send(m->peers, inc, &back);
}

static void ask_config(mates_t *m, uint64_t inc, uint64_t version, ms_t now)
{
	desired_t *d = edge_desired(m->edge);
	msg_t ask = { .type = MSG_CONF_GET };

	if ((d && d->version >= version) ||
	    now - m->asked_at < m->set->config / 4)
		return;
	m->asked_at = now;
	ask.u.conf_get.newer_than = d ? d->version : 0;
	peers_send(m->peers, inc, &ask);
}

/* Takes a count, whose key is SERVICE/ORDER/CELL. */
static void take_count(mates_t *m, uint64_t inc, str_t key, uint64_t value)
{
	char *text = str_dup(key);
	char **part = g_strsplit(text, "/", 3);
	guint64 order;

	if (g_strv_length(part) == 3 &&
	    g_ascii_string_to_unsigned(part[1], 10, 0, G_MAXUINT64, &order,
				       NULL))
		m->ops->counted(m->ctx, inc, part[0], order, part[2], value);
	else
		log_line(LOG_WARN, "move_count_bad", "key=%s", text);
	g_strfreev(part);
	g_free(text);
}

static bool starts(str_t key, const char *with)
{
	return key.n > strlen(with) && memcmp(key.p, with, strlen(with)) == 0;
}

static void take_facts(mates_t *m, uint64_t inc, const char *name,
		       const msg_facts_t *f)
{
	ms_t now = clock_now();
	size_t skip = strlen(key_sent);

	edge_host_alive(m->edge, name, inc, now);
	for (size_t i = 0; i < f->n; i++) {
		str_t key = f->kv[i].key;
		char *customer;

		if (str_eq(key, str_of(key_config))) {
			ask_config(m, inc, f->kv[i].value, now);
		} else if (starts(key, key_move)) {
			take_count(m, inc,
				   (str_t){ key.p + strlen(key_move),
					    key.n - strlen(key_move) },
				   f->kv[i].value);
		} else if (starts(key, key_sent)) {
			customer = g_strndup(key.p + skip, key.n - skip);
			edge_host_usage(m->edge, name, customer,
					(double)f->kv[i].value);
			g_free(customer);
		}
	}
}

static void give_config(mates_t *m, uint64_t inc, uint64_t newer_than)
{
	desired_t *d = edge_desired(m->edge);
	msg_t give = { .type = MSG_CONF };

	if (!d || d->version <= newer_than)
		return;
	give.u.conf.offset = d->version;
	give.u.conf.text = m->ops->config_text(m->ctx);
	peers_send(m->peers, inc, &give);
}

static void on_recv(void *ctx, uint64_t inc, const msg_t *msg)
{
	mates_t *m = ctx;
	const char *name = g_hash_table_lookup(m->names, &inc);

	if (msg->type == MSG_GRANT)
		take_grant(m, inc, msg->u.grant.rid);
	if (!name)
		return;
	if (msg->type == MSG_FACTS)
		take_facts(m, inc, name, &msg->u.facts);
	else if (msg->type == MSG_CONF_GET)
		give_config(m, inc, msg->u.conf_get.newer_than);
	else if (msg->type == MSG_CONF)
		m->ops->config(m->ctx, msg->u.conf.text);
}

/* Makes the table of other hosts; nobody is connected to yet. */
mates_t *mates_new(uv_loop_t *loop, edge_t *edge, const edge_settings_t *set,
		   uint64_t inc, const mates_ops_t *ops, void *ctx,
		   counters_t *counters)
{
	static const peers_ops_t peers_ops = { on_up, on_down, on_recv };
	mates_t *m = g_new0(mates_t, 1);
	peers_conf_t conf = { .role = ROLE_EDGE,
			      .name = set->name,
			      .data_center = set->data_center,
			      .inc = inc,
			      .key = { (char *)set->key, set->key_len },
			      .frame_max = FRAME_MAX,
			      .queue_max = QUEUE_MAX,
			      .heartbeat = HEARTBEAT_MS,
			      .silent = SILENT_MS,
			      .retry_base = RETRY_BASE_MS,
			      .retry_max = RETRY_MAX_MS };

	m->edge = edge;
	m->set = set;
	m->inc = inc;
	m->ops = ops;
	m->ctx = ctx;
	m->names = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	m->keepers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	m->kv = g_array_new(FALSE, FALSE, sizeof(fact_kv_t));
	m->keys = g_ptr_array_new_with_free_func(g_free);
	m->untold = counter_get(counters, "edge_customers_untold_total", NULL);
	m->peers = peers_new(loop, &conf, &peers_ops, m, counters);
	return m;
}

/* Takes connections of other hosts. CODE_UNREACHABLE: no such address. */
code_t mates_listen(mates_t *m)
{
	return peers_listen(m->peers, &m->set->peers);
}

/*
 * A host's record in the store. Of two hosts the one whose name comes first
 * connects, so that there is one connection between them.
 */
void mates_host(mates_t *m, str_t name, str_t value)
{
	char *who = str_dup(name);
	char *where = str_dup(value);
	addr_t at;

	if (strcmp(who, m->set->name) == 0) {
		g_free(who);
		g_free(where);
		return;
	}
	if (value.n == 0) {
		edge_host_unlisted(m->edge, who);
		peers_forget(m->peers, who);
	} else if (!addr_parse(where, &at)) {
		log_line(LOG_WARN, "host_bad", "host=%s address=\"%s\"", who,
			 where);
	} else {
		log_line(LOG_INFO, "host_listed", "host=%s address=%s", who,
			 where);
		edge_host_listed(m->edge, who);
		if (strcmp(m->set->name, who) < 0)
			peers_connect(m->peers, who, &at);
	}
	g_free(who);
	g_free(where);
}

/* A server is listed: its keeper is on the same host, at our own port. */
void mates_server(mates_t *m, const backend_t *b)
{
	addr_t at = b->addr;
	char name[64];

	at.port = m->set->peers.port;
	addr_print(&at, name);
	peers_connect(m->peers, name, &at);
}

/* Asks a server's keeper for a place that is in time for so many ms. */
void mates_ask(mates_t *m, const backend_t *b, const request_t *r, ms_t in_time,
	       ms_t now)
{
	msg_t ask = { .type = MSG_ASK };
	ms_t until = MIN(r->deadline, r->give_up_at);

	ask.u.ask.server = str_of(b->id);
	ask.u.ask.rid = r->rid;
	ask.u.ask.rank = r->priority;
	ask.u.ask.places = b->slots;
	ask.u.ask.in_time = (uint64_t)in_time;
	ask.u.ask.of_use = (uint64_t)MAX(until - now, 0);
	peers_send(m->peers, b->keeper, &ask);
}

/* Gives a place back, or withdraws the request for it. */
void mates_release(mates_t *m, uint64_t keeper, const request_t *r,
		   bool unreached)
{
	msg_t back = { .type = MSG_WITHDRAW };

	back.u.withdraw.rid = r->rid;
	if (unreached) {
		back.type = MSG_NOT_RUN;
		back.u.not_run.rid = r->rid;
		back.u.not_run.code = CODE_NOT_SENT;
	}
	peers_send(m->peers, keeper, &back);
}

static void add(mates_t *m, char *key, uint64_t value)
{
	fact_kv_t kv = { str_of(key), value };

	g_ptr_array_add(m->keys, key);
	if (m->kv->len < KEYS_MAX)
		g_array_append_val(m->kv, kv);
	else
		m->untold->value++;
}

static void add_use(void *ctx, const char *customer, double sent)
{
	add(ctx, g_strconcat(key_sent, customer, NULL), (uint64_t)sent);
}

static void begin_facts(mates_t *m)
{
	g_array_set_size(m->kv, 0);
	g_ptr_array_set_size(m->keys, 0);
}

static void send_facts(mates_t *m, uint64_t inc)
{
	msg_t msg = { .type = MSG_FACTS };

	msg.u.facts.n = m->kv->len;
	msg.u.facts.kv = (fact_kv_t *)m->kv->data;
	peers_send(m->peers, inc, &msg);
}

static void add_count(void *ctx, const char *service, uint64_t order,
		      const char *cell, uint64_t value)
{
	mates_t *m = ctx;

	if (m->judge == m->inc) {
		m->ops->counted(m->ctx, m->inc, service, order, cell, value);
		return;
	}
	if (m->kv->len == KEYS_MAX) {
		send_facts(m, m->judge);
		begin_facts(m);
	}
	add(m,
	    g_strdup_printf("%s%s/%" PRIu64 "/%s", key_move, service, order,
			    cell),
	    value);
}

/* Tells the judge what was counted; a new one everything. */
static void tell_judge(mates_t *m, ms_t now)
{
	uint64_t judge = find_judge(m);
	bool again = judge != m->judge;

	if (now < m->judge_next && !again)
		return;
	m->judge_next = now + JUDGE_MS +
			(ms_t)g_hash_table_size(m->names) * JUDGE_FOR_EACH_MS;
	m->judge = judge;
	begin_facts(m);
	edge_shift_report(m->edge, add_count, again, m);
	if (m->kv->len > 0)
		send_facts(m, judge);
}

/* Tells the other hosts, when it is time to. */
void mates_tick(mates_t *m, ms_t now)
{
	unsigned int up = g_hash_table_size(m->names);
	desired_t *d = edge_desired(m->edge);
	GHashTableIter it;
	gpointer inc;

	tell_judge(m, now);
	if (now < m->next || up == 0)
		return;
	m->next = now + edge_report_interval(m->edge);
	begin_facts(m);
	add(m, g_strdup(key_config), d ? d->version : 0);
	edge_each_usage(m->edge, add_use, m);
	g_hash_table_iter_init(&it, m->names);
	while (g_hash_table_iter_next(&it, &inc, NULL))
		send_facts(m, *(uint64_t *)inc);
}

/* Closes all connections; the loop must run before mates_free. */
void mates_close(mates_t *m)
{
	peers_close(m->peers, NULL, NULL);
}

/* Frees the table. */
void mates_free(mates_t *m)
{
	g_hash_table_destroy(m->names);
	g_hash_table_destroy(m->keepers);
	g_array_free(m->kv, TRUE);
	g_ptr_array_free(m->keys, TRUE);
	g_free(m);
}
