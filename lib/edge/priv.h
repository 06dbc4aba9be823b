/* Data structures shared by the files of lib/edge. */
#ifndef EDGE_PRIV_H
#define EDGE_PRIV_H

#include "edge/fns.h"
#include "move/fns.h"
#include "quota/fns.h"

/*
 * Name of a counter in reports between hosts: SIDE/METRIC/SERVER/ROUTE. SERVER
 * is empty on the old side, where only the sum is used.
 */
#define SHIFT_CELL "%d/%d/%s/%s"
/* Name of the gauge of requests that run on the old side. */
#define SHIFT_CELL_RUNNING "running"

enum {
	ATTEMPTS_MAX = 4, /* attempts of a request, including rejected ones */
};

/* A shift of a service's traffic to another version, as this host knows it. */
typedef struct shift {
	uint64_t order;
	char *target;
	bool decided;	     /* step is set */
	shift_step_t step;   /* the newest decision */
	double target_due;   /* requests that the target should have got by its
				share */
	double target_given; /* requests that it got */
	GHashTable *cells;   /* shift_cell_t by route and server */
	uint64_t reported_running; /* gauge at the last report */
} shift_t;

/* The servers of one service and the queues in front of them. */
struct pool {
	char *name;
	warmup_conf_t warming;	       /* what its servers take while cold */
	list_t servers;		       /* backend_t */
	list_t waiting[PRIORITIES][2]; /* [0] in time, [1] late */
	unsigned int nwaiting;
	window_t arrivals;		 /* requests from callers */
	window_t retries;		 /* retries */
	window_t dispatched[PRIORITIES]; /* first attempts by priority */
	double mean_tokens;
	double first_event_mean; /* first event latency in ms, all servers */
	double token_ms; /* mean ms per expected output token, all servers */
	double slowest_token_ms; /* the slowest server's; decays */
	double tokens; /* expected output tokens of complete streams, decaying
			  sum */
	double events; /* events of these streams, decaying sum */
	double slot_time_mean; /* mean ms that a request holds its slot */
	hist_t *first_ms;      /* from arrival to the first event */
	hist_t *wait_ms;       /* from arrival to the first send */
	unsigned int nunkept;  /* of the subset, without a connected keeper */
	GPtrArray *subset;     /* backend_t that this host uses */
	bool subset_changed;   /* servers, hosts or the size have changed */
	unsigned int subset_size; /* servers of a version, at most */
	ms_t widened_at;	  /* or narrowed */
	shift_t *shift;		  /* by the newest order; NULL: none */
};

typedef struct crashes crashes_t;
typedef struct quarantine quarantine_t;

struct edge {
	edge_conf_t conf;
	const edge_ops_t *ops;
	void *ctx;
	GRand *rand;
	desired_t *desired;   /* active configuration; NULL before the first */
	GHashTable *pools;    /* pool_t by service */
	GHashTable *by_id;    /* backend_t by id */
	GHashTable *recalled; /* what lives that are not listed said */
	GHashTable *quotas;   /* quota_t by customer */
	/* Connected ones: incarnation by name */
	GHashTable *quota_servers[QUOTA_KINDS];
	ms_t quota_keeperless_at;  /* no keeper is connected since; 0: one is */
	list_t asking;		   /* request_t that wait for a quota server */
	GHashTable *asking_by_rid; /* the same */
	bool quotas_changed; /* limits, quota servers or hosts have changed */
	unsigned int quotas_unplaced; /* customers without a quota server */
	ms_t quota_sync_at;	      /* not before */
	counter_t
		*quota_unanswered; /* requests refused for lack of an answer */
	counter_t *quota_strays;   /* messages that changed nothing */
	GHashTable *keepers;	   /* connected keepers: incarnation by IP */
	GHashTable *kept;	   /* keepers that connections are kept to */
	GHashTable *shared;	   /* set of the shared keepers' IPs */
	bool all_shared;	   /* the fleet is small */
	bool keepers_changed;	   /* those wanted may have changed */
	GHashTable *waiting;	   /* queued request_t by rid */
	GHashTable *rerouting;	   /* request_t at silent servers by rid */
	uint64_t last_rid;	   /* last sequence number given to a request */
	uint32_t last_serial;	   /* last serial given to a server */
	GHashTable *other_hosts;   /* set of names */
	unsigned int nhosts;	   /* known, including this one */
	bool hosts_known;	   /* all of them were listed once */
	bool hosts_changed;	   /* since host_rank was computed */
	unsigned int host_rank;	   /* of this host among the known ones */
	ms_t started;		   /* time of the first tick */
	bool ticked;
	GHashTable *evacuations; /* evacuation_t by data centre */
	unsigned int nevacuated; /* data centres */
	uint64_t evacuations_version;
	crashes_t *crashes;
	quarantine_t *quarantine;
	counters_t *counters;
};

/* edge.c */
void edge_log_step(edge_t *e, const request_t *r, ms_t now, const char *step,
		   const char *fmt, ...) G_GNUC_PRINTF(5, 6);
void edge_dispatch(edge_t *e, request_t *r, backend_t *b, ms_t now);
bool edge_may_rerun(const request_t *r, attempt_result_t how, bool resumable);

/* reroute.c */
void reroute_stop(edge_t *e, request_t *r);
bool reroute_granted(edge_t *e, request_t *r, backend_t *b, uint64_t keeper,
		     ms_t now);
bool reroute_dispatch(edge_t *e, request_t *r, ms_t now);
void reroute_drop(edge_t *e, request_t *r);

/* fleet.c */
pool_t *pool_get(edge_t *e, const char *service);
void backend_release(edge_t *e, backend_t *b);
void backend_set_draining(backend_t *b);
void server_remove(edge_t *e, const char *id);

/* shift.c */
void shift_free(shift_t *s);
shift_side_t shift_pick(edge_t *e, pool_t *p, const request_t *r);
bool shift_allows(const request_t *r, const backend_t *b, ms_t now);
void shift_count(const request_t *r, attempt_result_t how);

/* odds.c */
enum {
	ODDS_TENTHS = 9, /* of its sound answers that a bad version fails, at
			    most */
};
typedef struct odds odds_t;
odds_t *odds_new(void);
void odds_free(odds_t *o);
double odds_add(double a, double b);
double odds_against(const odds_t *o, const req_stats_t *old,
		    const req_stats_t *target, unsigned int least);

/* canary_stats.c */
typedef struct canary_stats canary_stats_t;
typedef struct canary_finding {
	const char *why; /* metric that condemns the target; NULL: none */
	char route[64];	 /* route with that metric, or with the largest odds;
			    truncated */
	/* Natural logarithm of the odds that the version fails more than the
	   old one, over the whole rollout, the largest of any route */
	double odds;
	/* The same that it fails far more: negative ones speak for it */
	double gross;
	double gross_of_all; /* of all routes together */
	double gross_lately; /* recently, the largest of any route */
	bool slow;	     /* it seems so, which is not certain */
} canary_finding_t;
canary_stats_t *canary_stats_new(ms_t duration, ms_t now);
void canary_stats_free(canary_stats_t *s);
bool canary_stats_report(canary_stats_t *s, uint64_t host, const char *cell,
			 uint64_t value);
void canary_stats_host_gone(canary_stats_t *s, uint64_t host);
uint64_t canary_stats_total(const canary_stats_t *s, shift_side_t side,
			    metric_t k);
uint64_t canary_stats_running(const canary_stats_t *s);

/* canary_compare.c */
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now);

/* health.c */
bool health_usable(const backend_t *b, ms_t now);
void health_reset(backend_t *b);
void health_displace(backend_t *b);
void health_heard(backend_t *b, ms_t now);
void health_attempt_ended(edge_t *e, backend_t *b, attempt_result_t how,
			  ms_t now);

/* estimate.c */
void fit_add(fit_t *f, double tokens, double ms);
double fit_estimate(const fit_t *f, double tokens, double otherwise);
double estimate_overrun(const backend_t *b, const request_t *r, double first,
			ms_t now);
void estimate_add_gap(backend_t *b, double ms);
double estimate_token_ms(const backend_t *b);
void estimate_add_stream(backend_t *b, const request_t *r, ms_t now);
double estimate_first_event(const pool_t *p, const backend_t *b, double prompt);

/* select.c */
backend_t *select_server(edge_t *e, pool_t *p, const request_t *r, ms_t now);
double select_score(edge_t *e, backend_t *b, const request_t *r,
		    unsigned int load, ms_t now);
bool select_was_tried(const request_t *r, const backend_t *b);
unsigned int select_load(const backend_t *b, ms_t now);
unsigned int select_free_slots(const pool_t *p, ms_t now);

/* word.c */
unsigned int word_rank(const edge_t *e, backend_t *b);
bool word_allows(const edge_t *e, backend_t *b, ms_t now);
void word_sent(backend_t *b);
ms_t word_all_paused(const pool_t *p, ms_t now);
double word_penalty(const edge_t *e, backend_t *b, ms_t now);
void word_keeper_changed(edge_t *e, backend_t *b);
void word_restore(edge_t *e, backend_t *b, bool leaving, ms_t paused_until,
		  const server_limit_t *l, ms_t now);

/* warm.c */
void warm_new_server(const edge_t *e, backend_t *b);
void warm_sent(backend_t *b, ms_t now);
void warm_pool(edge_t *e, pool_t *p);
void warm_configure(edge_t *e);
void warm_keeper_changed(backend_t *b);
void warm_before_request(edge_t *e, backend_t *b, ms_t now);
void warm_told(edge_t *e, backend_t *b, ms_t left, ms_t now);
bool warm_allows(const edge_t *e, backend_t *b, ms_t now);
double warm_penalty(const edge_t *e, backend_t *b, ms_t now);
void warm_heard(backend_t *b, ms_t now);

/* evacuate.c */
GHashTable *evacuate_new(void);
bool evacuate_holds(const edge_t *e, const char *data_center);
bool evacuate_holds_all(const edge_t *e, const pool_t *p);
void evacuate_print(const edge_t *e, GString *text, ms_t now);

/* allow.c */
bool allow_server(const edge_t *e, const request_t *r, const backend_t *b,
		  ms_t now);
const char *allow_none(const edge_t *e, const pool_t *p, const request_t *r);

/* recall.c */
GHashTable *recall_new(void);
void recall_keep(edge_t *e, const backend_t *b, ms_t now);
void recall_leaving(edge_t *e, const char *server, int64_t started_unix,
		    ms_t now);
void recall_apply(edge_t *e, backend_t *b, ms_t now);

/* slots.c */
void slots_request_more(edge_t *e, request_t *r, ms_t now);
void slots_request_first(edge_t *e, request_t *r, ms_t now);
void slots_withdraw(edge_t *e, request_t *r);
void slots_forget_server(edge_t *e, const backend_t *b);
void slots_tick(edge_t *e, pool_t *p, ms_t now);
void slots_count_unkept(pool_t *p);
void slots_set_keeper(edge_t *e, backend_t *b);
void slots_set_keepers(edge_t *e);

/* subset.c */
void subset_init(const edge_t *e, pool_t *p);
void subset_resize(const edge_t *e, pool_t *p);
void subset_all_changed(edge_t *e);
void subset_clear(pool_t *p);
void subset_drop(pool_t *p, backend_t *b);
const GPtrArray *subset_servers(edge_t *e, pool_t *p, ms_t now);
double subset_hosts(const edge_t *e, const backend_t *b);
void subset_widen(edge_t *e, pool_t *p, ms_t now);
void subset_tick(edge_t *e, pool_t *p, ms_t now);

/* keepers.c */
void keepers_init(edge_t *e);
void keepers_clear(edge_t *e);
GHashTable *keepers_shared(const edge_t *e);
void keepers_tick(edge_t *e, ms_t now);

/* queue.c */
void queue_push(edge_t *e, request_t *r, ms_t now);
void queue_remove(edge_t *e, request_t *r);
unsigned int queue_same_priority(const pool_t *p, const request_t *r);
request_t *queue_next(pool_t *p, ms_t now);
void queue_expire(edge_t *e, pool_t *p, ms_t now);

/* admission.c */
ms_t admission_retry_after(edge_t *e, pool_t *p, const request_t *r, ms_t now);
bool admission_too_late(pool_t *p, const request_t *r, ms_t now);

/* quota.c */
typedef enum quota_result {
	QUOTA_GRANTED,
	QUOTA_REFUSED,
	QUOTA_ASKED, /* the answer comes later */
} quota_result_t;
double quota_cost(const edge_customer_t *c, double tokens);
quota_result_t quota_take(edge_t *e, request_t *r, ms_t now, ms_t *wait);
request_t *quota_answered(edge_t *e, uint64_t server, rid_t rid);
void quota_forget(edge_t *e, request_t *r);
void quota_count_sent(edge_t *e, const edge_customer_t *c, double cost);
void quota_tick(edge_t *e, ms_t now);

/* ranks.c */
typedef struct rank {
	uint64_t hash;
	const char *name;
	void *item; /* what the name stands for; may be NULL */
} rank_t;
GArray *ranks_new(void);
void ranks_add(GArray *ranks, const char *name, void *item, uint64_t seed);
void ranks_sort(GArray *ranks);
const rank_t *ranks_at(const GArray *ranks, guint place);

/* rendezvous.c */
uint64_t rendezvous_choose(GHashTable *members, GHashTable *among,
			   const char *key);

/* hosts.c */
void hosts_init(edge_t *e);
void hosts_clear(edge_t *e);

/* trait.c */
size_t traits_count(const request_t *r);
trait_t traits_at(const request_t *r, size_t place);

/* crash.c */
crashes_t *crashes_new(counters_t *counters);
void crashes_free(crashes_t *cs);
void crash_attempt_ended(edge_t *e, const request_t *r, attempt_result_t how,
			 ms_t now);
bool crash_suspected(const edge_t *e);
void crash_tick(edge_t *e, ms_t now);

/* quarantine.c */
quarantine_t *quarantine_new(counters_t *counters);
void quarantine_free(quarantine_t *q);
bool quarantine_holds(edge_t *e, const request_t *r, ms_t now);
bool quarantine_refuse(edge_t *e, request_t *r, ms_t now);
void quarantine_reporting(edge_t *e, const crash_report_t *c, ms_t now);
void quarantine_answered(edge_t *e, const request_t *r, ms_t now);
void quarantine_tick(edge_t *e, ms_t now);
void quarantine_print(const edge_t *e, GString *out, ms_t now);

/* budget.c */
void budget_earn(pool_t *p, ms_t now);
bool budget_spend(edge_t *e, pool_t *p, ms_t now);

#endif
