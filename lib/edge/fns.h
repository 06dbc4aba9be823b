/* Prototypes of lib/edge. */
#ifndef EDGE_FNS_H
#define EDGE_FNS_H

#include "base/fns.h"
#include "edge/dat.h"

/* desired.c */
desired_t *desired_new(uint64_t version);
desired_t *desired_ref(desired_t *d);
void desired_unref(desired_t *d);
void desired_index(desired_t *d);
const edge_route_t *desired_route(const desired_t *d, str_t host, str_t path);
const edge_customer_t *desired_customer(const desired_t *d, str_t key);
const edge_service_t *desired_service(const desired_t *d, const char *name);

/* window.c */
enum {
	WINDOW_SPANS = 20,
};
typedef struct window {
	ms_t span;
	int64_t turn;
	double sum;
	double spans[WINDOW_SPANS + 1];
} window_t;
void window_init(window_t *w, ms_t length);
void window_add(window_t *w, double n, ms_t now);
double window_sum(window_t *w, ms_t now);

/* quota.c */
void edge_each_use(const edge_t *e,
		   void (*fn)(void *ctx, const char *customer, double sent),
		   void *ctx);

/* hosts.c */
ms_t edge_tell_every(const edge_t *e);
void edge_host_listed(edge_t *e, const char *name);
void edge_host_unlisted(edge_t *e, const char *name);
void edge_host_heard(edge_t *e, const char *name, uint64_t inc, ms_t now);
void edge_host_sent(edge_t *e, const char *name, const char *customer,
		    double sent);

/* edge.c */
edge_t *edge_new(const edge_conf_t *conf, const edge_ops_t *ops, void *ctx,
		 counters_t *counters);
void edge_free(edge_t *e);
void edge_reconf(edge_t *e, const edge_conf_t *conf);
bool edge_configure(edge_t *e, desired_t *d);
desired_t *edge_desired(const edge_t *e);
const char *sent_name(sent_t how);
void edge_submit(edge_t *e, request_t *r, ms_t now);
void edge_first(edge_t *e, request_t *r, ms_t now);
void edge_event(edge_t *e, request_t *r, ms_t now);
void edge_load(edge_t *e, backend_t *b, unsigned int running,
	       unsigned int waiting, ms_t now);
verdict_next_t edge_sent(edge_t *e, request_t *r, sent_t how, bool resumable,
			 ms_t now);
void edge_drop(edge_t *e, request_t *r, ms_t now);
bool edge_stalled(const edge_t *e, const request_t *r, ms_t now);
ms_t edge_come_back(edge_t *e, const request_t *r, ms_t now);
void edge_tick(edge_t *e, ms_t now);
void edge_print(const edge_t *e, GString *out, ms_t now);

/* queue.c */
unsigned int edge_rank(const edge_route_t *r, const edge_customer_t *c);

/* ask.c */
void edge_keeper(edge_t *e, const char *ip, uint64_t inc);
bool edge_granted(edge_t *e, uint64_t keeper, rid_t rid, ms_t now);

/* fleet.c */
void edge_server_put(edge_t *e, const backend_info_t *info, ms_t now);
void edge_server_gone(edge_t *e, const char *id, ms_t now);
unsigned int edge_nservers(const edge_t *e);
bool edge_servers_short(const edge_t *e, ms_t now);
GPtrArray *edge_server_ids(const edge_t *e); /* of char*, not owned */

/* shift.c */
void edge_shift_order(edge_t *e, const shift_order_t *o);
void edge_shift_step(edge_t *e, const char *service, const shift_step_t *s);
const char *shift_state_name(shift_state_t state);
void edge_shift_each(edge_t *e,
		     void (*fn)(void *ctx, const char *service, uint64_t order,
				const char *cell, uint64_t value),
		     bool again, void *ctx);

/* record.c: how decisions are kept in the store. */
char *shift_step_text(const shift_step_t *s);
code_t shift_step_parse(str_t text, shift_step_t *out);

/* judge.c */
typedef struct judge judge_t;
typedef struct judge_ops {
	/* A decision that is to be kept. */
	void (*decided)(void *ctx, const char *service, const shift_step_t *s);
} judge_ops_t;
judge_t *judge_new(const judge_ops_t *ops, void *ctx, double canary_share);
void judge_free(judge_t *j);
void judge_canary(judge_t *j, double share);
void judge_order(judge_t *j, const shift_order_t *o, ms_t now);
void judge_step(judge_t *j, const char *service, const shift_step_t *s,
		ms_t now);
void judge_told(judge_t *j, uint64_t host, const char *service, uint64_t order,
		const char *cell, uint64_t value);
void judge_host_gone(judge_t *j, uint64_t host);
void judge_tick(judge_t *j, ms_t now);
void judge_refused(judge_t *j, const char *service);

/* roster.c */
typedef struct roster roster_t;
roster_t *roster_new(edge_t *e);
void roster_free(roster_t *r);
void roster_put(roster_t *r, const backend_info_t *info, ms_t now);
void roster_drop(roster_t *r, const char *id, ms_t now);
void roster_listing(roster_t *r);
void roster_listed(roster_t *r, ms_t now);
void roster_reachable(roster_t *r, bool yes, ms_t now);
void roster_tick(roster_t *r, ms_t now);

#endif
