/* The role of a sidecar: takes offers, returns its backend server's answers. */
#include <string.h>
#include "fns.h"

enum {
	GRANT_LEASE = 1000,	 /* ms */
	REFUSAL_HOLD = 1000,	 /* ms that a refusal holds */
	ENTRY_GONE_SILENCES = 5, /* silent timeouts: the entry is gone */
	CAPACITY_START = 8000,	 /* first capacity, in tokens of work */
	CAPACITY_MAX = 2000000,	 /* tokens of work */
	DEFAULT_TOKEN_GAP = 100, /* ms, for a service without a target */
	ENGINE_SILENT = 2000,	 /* ms */
};

struct sided {
	daemon_t *d;
	side_t *side;
	backend_t *backend;
	orders_t *orders;      /* NULL for a plain service */
	GArray *entries;       /* incarnations of connected entries */
	char *sent_versions;   /* in the last state sent */
	uint64_t sent_leaving; /* the same */
	ms_t next_state;
};

static void on_send(void *ctx, uint64_t entry_inc, const msg_t *m)
{
	sided_t *s = ctx;

	peers_send(s->d->peers, entry_inc, m);
}

static void on_dispatch(void *ctx, const side_dispatch_t *req)
{
	sided_t *s = ctx;

	backend_dispatch(s->backend, req);
}

static void on_resume(void *ctx, rid_t rid, uint64_t from)
{
	sided_t *s = ctx;

	backend_resume(s->backend, rid, from);
}

static void on_cancel(void *ctx, rid_t rid)
{
	sided_t *s = ctx;

	backend_cancel(s->backend, rid);
}

static const service_t *own_service(const daemon_t *d)
{
	const intent_t *in = state_latest(d->state);

	return in ? intent_service(in, d->set->service) : NULL;
}

static ms_t first_token(const daemon_t *d)
{
	const service_t *service = own_service(d);

	return service && d->set->backend_is_model ? service->first_token : 0;
}

static ms_t token_gap(const daemon_t *d)
{
	const service_t *service = own_service(d);

	return service && service->token_gap ? service->token_gap
					     : DEFAULT_TOKEN_GAP;
}

/* Makes the role from the settings. */
sided_t *sided_new(daemon_t *d)
{
	static const side_ops_t ops = { on_send, on_dispatch, on_resume,
					on_cancel };
	sided_t *s = g_new0(sided_t, 1);
	side_conf_t conf = { .name = d->set->name,
			     .service = d->set->service,
			     .model = d->set->backend_is_model,
			     .seed = random_u64(),
			     .waiting_max = d->set->waiting_max,
			     .answer_max = d->set->answer_max,
			     .first_token_target = first_token(d),
			     .wait_max = first_token(d),
			     .token_gap_target = token_gap(d),
			     .lease = GRANT_LEASE,
			     .hold = REFUSAL_HOLD,
			     .entry_timeout =
				     d->set->silent * ENTRY_GONE_SILENCES,
			     .engine_silent = ENGINE_SILENT,
			     .capacity_start = CAPACITY_START,
			     .capacity_max = CAPACITY_MAX };

	s->d = d;
	s->entries = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	s->sent_versions = g_strdup("");
	s->side = side_new(&conf, &ops, s, d->counters);
	s->backend = backend_new(d, s->side);
	if (d->set->backend_is_model)
		s->orders = orders_new(d, s->backend, s->side);
	return s;
}

/* Frees the role and drops running requests. */
void sided_free(sided_t *s)
{
	if (s->orders)
		orders_free(s->orders);
	backend_free(s->backend);
	side_free(s->side);
	g_array_free(s->entries, TRUE);
	g_free(s->sent_versions);
	g_free(s);
}

/* An entry is connected: sends it the state, by which it chooses a sidecar. */
void sided_up(sided_t *s, uint64_t inc, ms_t now)
{
	msg_t m = { .type = MSG_STATE };

	g_array_append_val(s->entries, inc);
	side_entry_up(s->side, inc, now);
	side_get_state(s->side, &m.u.state);
	peers_send(s->d->peers, inc, &m);
}

/* The connection to an entry is down. */
void sided_down(sided_t *s, uint64_t inc, ms_t now)
{
	for (guint i = 0; i < s->entries->len; i++) {
		if (g_array_index(s->entries, uint64_t, i) == inc) {
			g_array_remove_index_fast(s->entries, i);
			break;
		}
	}
	side_entry_down(s->side, inc, now);
}

/* Takes a message of an entry. */
void sided_recv(sided_t *s, uint64_t inc, const msg_t *m, ms_t now)
{
	side_recv(s->side, inc, m, now);
}

/* Sends the state to all entries, at each heartbeat and when it changes. */
static void send_state(sided_t *s, ms_t now)
{
	msg_t m = { .type = MSG_STATE };
	bool changed;

	side_get_state(s->side, &m.u.state);
	changed = !str_eq(m.u.state.versions, str_of(s->sent_versions)) ||
		  m.u.state.draining != s->sent_leaving;
	if (!changed && now < s->next_state)
		return;
	s->next_state = now + s->d->set->heartbeat;
	s->sent_leaving = m.u.state.draining;
	g_free(s->sent_versions);
	s->sent_versions = str_dup(m.u.state.versions);
	for (guint i = 0; i < s->entries->len; i++)
		peers_send(s->d->peers, g_array_index(s->entries, uint64_t, i),
			   &m);
}

/* Runs timers. */
void sided_tick(sided_t *s, ms_t now)
{
	backend_tick(s->backend, now);
	if (s->orders)
		orders_tick(s->orders, now);
	side_tick(s->side, now);
	send_state(s, now);
}

/* Makes no more grants, and reports that to the entries at once. */
void sided_drain(sided_t *s, ms_t now)
{
	side_drain(s->side, now);
	send_state(s, now);
}

/* Returns whether no request is in progress. */
bool sided_idle(const sided_t *s)
{
	return side_idle(s->side);
}

/* Appends the state to out in one line. */
void sided_print(const sided_t *s, GString *out)
{
	msg_state_t st;

	side_get_state(s->side, &st);
	g_string_append_printf(
		out,
		"backend service=%s up=%d versions=%s limit=%" G_GUINT64_FORMAT
		" used=%" G_GUINT64_FORMAT " waiting=%" G_GUINT64_FORMAT
		" speed=%" G_GUINT64_FORMAT " leaving=%d\n",
		s->d->set->service, backend_up(s->backend),
		backend_versions(s->backend), st.limit, st.used, st.waiting,
		st.speed, (int)st.draining);
}
