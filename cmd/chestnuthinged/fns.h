/* Prototypes of the daemon. */
#ifndef DAEMON_FNS_H
#define DAEMON_FNS_H

#include "dat.h"

/* daemon.c */
daemon_t *daemon_new(settings_t *set, GError **err);
void daemon_run(daemon_t *d);
void daemon_leave(daemon_t *d);
void daemon_stop(daemon_t *d);
void daemon_free(daemon_t *d);

/* signals.c */
void signals_start(daemon_t *d);
void signals_close(daemon_t *d);

/* web.c */
code_t web_start(web_t *w, uv_loop_t *loop, const settings_t *set,
		 void (*handle)(void *ctx, reply_t *r), void *ctx,
		 counters_t *counters);
void web_stop_listening(web_t *w);
bool web_idle(const web_t *w);
void web_close(web_t *w);
void web_dispose(web_t *w);

/* framing.c */
code_t framing_check(const h2o_req_t *req);

/* reply.c */
reply_t *reply_new(web_t *w, h2o_req_t *req);
char *reply_header(const reply_t *r, const char *name);
void reply_add_header(reply_t *r, const char *name, const char *value);
bool reply_is_chunked(const reply_t *r, int status);
void reply_begin(reply_t *r, int status, str_t content_type);
void reply_data(reply_t *r, str_t data);
void reply_end(reply_t *r);
void reply_abort(reply_t *r);
void reply_send(reply_t *r, int status, const char *content_type, str_t body);
void reply_refuse(reply_t *r, code_t code, const char *message, ms_t retry);
void reply_sweep(reply_t *r, ms_t stall, ms_t now);

/* admin.c */
bool admin_handle(daemon_t *d, reply_t *r);

/* chat.c */
code_t chat_parse(str_t body, chat_t *c);
void chat_clear(chat_t *c);

/* call.c */
void call_check(call_t *c, const daemon_t *d, limits_t *limits,
		const reply_t *r, ms_t now);
void call_clear(call_t *c);

/* stats.c */
stats_t *stats_new(counters_t *all);
void stats_free(stats_t *s);
void stats_end(stats_t *s, const reply_t *r, code_t code, int status);
void stats_refuse(stats_t *s, const char *service, int tier, code_t code);
void stats_process(counters_t *counters);

/* entryd.c */
entryd_t *entryd_new(daemon_t *d);
void entryd_free(entryd_t *e);
void entryd_handle(entryd_t *e, reply_t *r);
void entryd_up(entryd_t *e, const msg_hello_t *who, ms_t now);
void entryd_down(entryd_t *e, uint64_t inc, ms_t now);
void entryd_recv(entryd_t *e, uint64_t inc, const msg_t *m, ms_t now);
void entryd_host_leaving(entryd_t *e, const char *name, ms_t now);
void entryd_check_leaving(entryd_t *e, ms_t now);
void entryd_set_live_entries(entryd_t *e, unsigned int live);
void entryd_claimed(entryd_t *e, rid_t rid, code_t code, ms_t now);
void entryd_intent(entryd_t *e, const intent_t *in);
void entryd_tick(entryd_t *e, ms_t now);
void entryd_drain(entryd_t *e, ms_t now);
bool entryd_idle(const entryd_t *e);
size_t entryd_sidecars(const entryd_t *e);
void entryd_print(const entryd_t *e, GString *out);

/* sided.c */
sided_t *sided_new(daemon_t *d);
void sided_free(sided_t *s);
void sided_up(sided_t *s, uint64_t inc, ms_t now);
void sided_down(sided_t *s, uint64_t inc, ms_t now);
void sided_recv(sided_t *s, uint64_t inc, const msg_t *m, ms_t now);
void sided_tick(sided_t *s, ms_t now);
void sided_drain(sided_t *s, ms_t now);
bool sided_idle(const sided_t *s);
void sided_print(const sided_t *s, GString *out);

/* backend.c */
backend_t *backend_new(daemon_t *d, side_t *side);
void backend_free(backend_t *b);
void backend_dispatch(backend_t *b, const side_dispatch_t *req);
void backend_resume(backend_t *b, rid_t rid, uint64_t from);
void backend_cancel(backend_t *b, rid_t rid);
void backend_tick(backend_t *b, ms_t now);
const char *backend_versions(const backend_t *b);
bool backend_up(const backend_t *b);

/* state.c */
state_t *state_new(daemon_t *d, GError **err);
void state_start(state_t *st);
void state_free(state_t *st);
const intent_t *state_intent(const state_t *st);
const intent_t *state_latest(const state_t *st);
uint64_t state_offset(const state_t *st);
const char *state_text(const state_t *st);
ledger_t *state_ledger(state_t *st);
facts_t *state_facts(state_t *st);
void state_caught_up(state_t *st);
GPtrArray *state_wanted_versions(const state_t *st, const char *service);
const char *state_pick_version(state_t *st, const char *service, ms_t now);
const char *state_fallback_version(state_t *st, const char *service,
				   const char *picked);
bool state_is_bad(state_t *st, const char *service, const char *version);
void state_add_sample(state_t *st, const sample_t *s, ms_t now);
void state_tick(state_t *st, ms_t now);
void state_print(const state_t *st, GString *out);

/* plat.c */
plat_t *plat_new(daemon_t *d);
void plat_free(plat_t *p);
void plat_append_config(plat_t *p, const char *record);
void plat_intent(plat_t *p, const intent_t *in);
void plat_claim(plat_t *p, rid_t rid, const char *customer, const char *key);
void plat_release_claim(plat_t *p, rid_t rid);
void plat_tick(plat_t *p, ms_t now);

/* gossip.c */
gossip_t *gossip_new(daemon_t *d);
void gossip_free(gossip_t *g);
void gossip_up(gossip_t *g, uint64_t inc);
void gossip_down(gossip_t *g, uint64_t inc);
bool gossip_recv(gossip_t *g, uint64_t inc, const msg_t *m);
void gossip_tick(gossip_t *g, ms_t now);
void gossip_flush(gossip_t *g);
void gossip_send_leaving(gossip_t *g);
char *leaving_key(const char *name, uint64_t inc);

/* orders.c */
orders_t *orders_new(daemon_t *d, backend_t *b, const side_t *side);
void orders_free(orders_t *o);
void orders_tick(orders_t *o, ms_t now);

#endif
