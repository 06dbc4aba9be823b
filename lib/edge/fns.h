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
	WINDOW_BUCKETS = 20,
};
typedef struct window {
	ms_t bucket_ms;
	int64_t bucket;
	double sum;
	double buckets[WINDOW_BUCKETS + 1];
} window_t;
void window_init(window_t *w, ms_t length);
void window_add(window_t *w, double n, ms_t now);
double window_sum(window_t *w, ms_t now);

/* quota.c */
void edge_quota_server_up(edge_t *e, quota_kind_t kind, const char *name,
			  uint64_t inc);
void edge_quota_server_retire(edge_t *e, quota_kind_t kind, const char *name);
void edge_quota_server_down(edge_t *e, quota_kind_t kind, const char *name,
			    uint64_t inc, ms_t lost_for, ms_t now);
void edge_quota_left(edge_t *e, uint64_t server, const char *customer);
void edge_each_usage(const edge_t *e,
		     void (*fn)(void *ctx, const char *customer, double sent),
		     void *ctx);

/* hosts.c */
ms_t edge_report_interval(const edge_t *e);
void edge_host_listed(edge_t *e, const char *name);
void edge_host_unlisted(edge_t *e, const char *name);
void edge_hosts_listed(edge_t *e);

/* relays.c */
typedef struct relays relays_t;
relays_t *relays_new(const char *self);
void relays_free(relays_t *r);
void relays_add(relays_t *r, const char *name);
void relays_remove(relays_t *r, const char *name);
bool relays_is_relay(relays_t *r, const char *name);
bool relays_self(relays_t *r);
bool relays_have_followers(const relays_t *r);
bool relays_precedes(const char *a, bool a_reaches, const char *b,
		     bool b_reaches);
bool relays_connects(relays_t *r, const char *name);
ms_t relays_read_wait(ms_t config);
ms_t relays_news_max(ms_t config);

/* edge.c */
edge_t *edge_new(const edge_conf_t *conf, const edge_ops_t *ops, void *ctx,
		 counters_t *counters);
void edge_free(edge_t *e);
void edge_reconf(edge_t *e, const edge_conf_t *conf);
bool edge_configure(edge_t *e, desired_t *d);
desired_t *edge_desired(const edge_t *e);
const char *attempt_result_name(attempt_result_t how);
void edge_submit(edge_t *e, request_t *r, ms_t now);
void edge_quota_answer(edge_t *e, uint64_t server, rid_t rid,
		       const quota_answer_t *a, ms_t now);
void edge_first_event(edge_t *e, request_t *r, ms_t now);
void edge_event(edge_t *e, request_t *r, ms_t now);
void edge_server_word(edge_t *e, backend_t *b, const server_word_t *w,
		      ms_t now);
void edge_host_leaving(edge_t *e, const char *server, int64_t started_unix,
		       ms_t now);
void edge_host_limit(edge_t *e, const char *server, const server_limit_t *l,
		     ms_t now);
void edge_server_load(edge_t *e, backend_t *b, unsigned int running,
		      unsigned int waiting, ms_t now);
next_action_t edge_attempt_ended(edge_t *e, request_t *r, attempt_result_t how,
				 bool resumable, ms_t now);
ms_t edge_waits_until(const request_t *r);
void edge_abandon(edge_t *e, request_t *r, ms_t now);
bool edge_stalled(const request_t *r, ms_t now);
bool edge_give_up_silent(edge_t *e, request_t *r, bool resumable, ms_t now);
ms_t edge_retry_after(edge_t *e, const request_t *r, ms_t now);
void edge_tick(edge_t *e, ms_t now);
void edge_print(const edge_t *e, GString *out, ms_t now);

/*
 * quarantine.c: what hosts report to each other, in the order in which the
 * store took it; number is the offset of the record.
 */
void edge_crashes_listing(edge_t *e);
bool edge_crash_known(const edge_t *e, const char *host,
		      const crash_report_t *c);
bool edge_trait_answered_known(const edge_t *e, trait_t trait);
void edge_crashes_own(const edge_t *e,
		      void (*write)(void *ctx, const char *key,
				    const crash_report_t *c),
		      void *ctx);
void edge_crash_reported(edge_t *e, const char *host, const crash_report_t *c,
			 uint64_t number, ms_t now);
void edge_trait_answered(edge_t *e, trait_t trait, uint64_t number, ms_t now);
bool edge_crashes_pending(const edge_t *e, ms_t now);
/*
 * Calls drop for each record that is no longer needed, by the number with which
 * it was given; the host of the lowest rank only. The same may be named again.
 */
void edge_crashes_expired(edge_t *e, void (*drop)(void *ctx, uint64_t number),
			  void *ctx, ms_t now);

/* queue.c */
unsigned int edge_priority(const edge_route_t *r, const edge_customer_t *c);

/* slots.c */
void edge_keeper_state(edge_t *e, const char *ip, uint64_t inc);
void edge_slot_lapsed(edge_t *e, uint64_t keeper, rid_t rid);
bool edge_slot_granted(edge_t *e, uint64_t keeper, rid_t rid, ms_t now);

/* fleet.c */
bool edge_server_put(edge_t *e, const backend_info_t *info, ms_t now);
void edge_server_gone(edge_t *e, const char *id, ms_t now);
unsigned int edge_nservers(const edge_t *e);
bool edge_servers_missing(const edge_t *e, ms_t now);
GPtrArray *edge_server_ids(const edge_t *e); /* of char*, not owned */

/* evacuate.c */
void edge_evacuate(edge_t *e, const char *data_center, uint64_t position,
		   const char *by, ms_t now);
void edge_evacuation_lift(edge_t *e, const char *data_center, uint64_t position,
			  const char *by, ms_t now);
void edge_evacuations_listing(edge_t *e);
void edge_evacuations_listed(edge_t *e, uint64_t end, bool restored, ms_t now);
uint64_t edge_evacuations_version(const edge_t *e);
void edge_each_evacuation(const edge_t *e,
			  void (*fn)(void *ctx, const char *data_center,
				     uint64_t ordered, uint64_t lifted),
			  void *ctx);

/* keepers.c */
unsigned int edge_nkeepers(const edge_t *e);

/* shift.c */
void edge_shift_order(edge_t *e, const shift_order_t *o);
void edge_shift_renumber(edge_t *e, const char *service, uint64_t number);
void edge_shift_step(edge_t *e, const char *service, const shift_step_t *s);
const char *shift_state_name(shift_state_t state);
void edge_shift_report(edge_t *e,
		       void (*fn)(void *ctx, const char *service,
				  uint64_t order, const char *cell,
				  uint64_t value),
		       bool all, void *ctx);

/* record.c: decisions as text in the store. */
char *shift_step_format(const shift_step_t *s);
code_t shift_step_parse(str_t text, shift_step_t *out);
char *crash_traits_format(const crash_report_t *c);
code_t crash_traits_parse(str_t text, GArray *traits); /* of trait_t */

/* canary.c */
typedef struct canary canary_t;
typedef struct canary_ops {
	/* A decision to write to the store. */
	void (*decided)(void *ctx, const char *service, const shift_step_t *s);
} canary_ops_t;
canary_t *canary_new(const canary_ops_t *ops, void *ctx, double canary_share,
		     double canary_slack);
void canary_free(canary_t *j);
void canary_set_bounds(canary_t *c, double share, double slack);
void canary_order(canary_t *j, const shift_order_t *o, ms_t now);
void canary_step(canary_t *j, const char *service, const shift_step_t *s,
		 ms_t now);
void canary_report(canary_t *j, uint64_t host, const char *service,
		   uint64_t order, const char *cell, uint64_t value);
void canary_host_gone(canary_t *j, uint64_t host);
void canary_tick(canary_t *j, ms_t now);
void canary_renumber(canary_t *c, const char *service, uint64_t number);
void canary_step_refused(canary_t *j, const char *service);

/* roster.c */
typedef struct roster roster_t;
ms_t roster_notice_max(ms_t settle);
roster_t *roster_new(edge_t *e);
void roster_free(roster_t *r);
bool roster_put(roster_t *r, const backend_info_t *info, ms_t now);
void roster_remove(roster_t *r, const char *id, ms_t now);
void roster_listing_begin(roster_t *r);
void roster_listing_end(roster_t *r, ms_t now);
void roster_store_returned(roster_t *r, ms_t now);
void roster_store_reachable(roster_t *r, bool yes, ms_t now);
void roster_tick(roster_t *r, ms_t now);

#endif
