/* Tables of an edge host, shared by the files of lib/edge. */
#ifndef EDGE_PRIV_H
#define EDGE_PRIV_H

#include "edge/fns.h"
#include "move/fns.h"

/* A customer's quota on this host. */
typedef struct quota {
	double level; /* left now; below zero after a large request */
	ms_t filled_at;
	double sent_total; /* by this process, since its start */
} quota_t;

/* How a cell is named between hosts: SIDE/METRIC/SERVER/ROUTE. The server is
   empty on the old side, where only the sum is of use. */
#define SHIFT_CELL	   "%d/%d/%s/%s"
#define SHIFT_CELL_RUNNING "running" /* requests that run on the old side */

/* A move of a service's traffic to another version, as this host knows it. */
typedef struct shift {
	uint64_t order;
	char *target;
	bool decided;	     /* a step of this order is known */
	shift_step_t step;   /* the newest */
	double target_due;   /* requests that the target should have had */
	double target_given; /* requests that it had */
	GHashTable *cells;   /* shift_cell_t by route and server */
	uint64_t reported_running; /* as told last */
} shift_t;

/* The servers of one service and what waits for them. */
struct pool {
	char *name;
	list_t servers;		  /* backend_t */
	list_t waiting[RANKS][2]; /* in time, and past their target */
	unsigned int nwaiting;
	window_t arrivals;	    /* requests of callers */
	window_t retries;	    /* sends beyond the first of each */
	window_t dispatched[RANKS]; /* first sends, by rank */
	double mean_tokens;
	double first_event_mean; /* ms to the first event, over all servers */
	double token_ms; /* ms for an expected token of output, all servers */
	double slowest_token_ms; /* of its servers, for such a token; fades */
	double tokens;		 /* expected of whole streams, fading sum */
	double events;		 /* that these streams had, the same */
	double slot_time_mean;	 /* ms that a request holds its place */
	hist_t *first_ms;	 /* from arrival to the first event */
	hist_t *wait_ms;	 /* from arrival to the first send */
	unsigned int nunkept;	 /* servers without a keeper in touch */
	shift_t *shift;		 /* the newest order to move; NULL none */
};

struct edge {
	edge_conf_t conf;
	const edge_ops_t *ops;
	void *ctx;
	GRand *rand;
	desired_t *desired;	    /* in force; NULL before the first */
	GHashTable *pools;	    /* pool_t by service */
	GHashTable *by_id;	    /* backend_t by id */
	GHashTable *quotas;	    /* quota_t by customer */
	GHashTable *keepers;	    /* incarnation by IP, of those in touch */
	GHashTable *waiting;	    /* request_t that wait, by rid */
	uint64_t last_rid;	    /* given to requests so far */
	uint32_t last_serial;	    /* given to servers so far */
	GHashTable *other_hosts;    /* other hosts, by name */
	unsigned int nhosts;	    /* listed, with this one */
	unsigned int nhosts_silent; /* of those, not heard */
	ms_t started;		    /* the first tick */
	bool ticked;
	counters_t *counters;
};

/* edge.c */
void edge_log_step(edge_t *e, const request_t *r, ms_t now, const char *step,
		   const char *fmt, ...) G_GNUC_PRINTF(5, 6);
void edge_dispatch(edge_t *e, request_t *r, backend_t *b, ms_t now);

/* fleet.c */
pool_t *pool_get(edge_t *e, const char *service);
void backend_release(edge_t *e, backend_t *b);
void server_remove(edge_t *e, const char *id);

/* shift.c */
void shift_free(shift_t *s);
shift_side_t shift_pick(edge_t *e, pool_t *p, const request_t *r);
bool shift_allows(const request_t *r, const backend_t *b, ms_t now);
void shift_count(const request_t *r, attempt_result_t how);

/* sums.c */
typedef struct canary_stats canary_stats_t;
typedef struct canary_finding {
	const char *why; /* NULL: nothing against the target */
	char route[64];	 /* cut if it is longer */
} canary_finding_t;
canary_stats_t *canary_stats_new(ms_t now);
void canary_stats_free(canary_stats_t *s);
bool canary_stats_report(canary_stats_t *s, uint64_t host, const char *cell,
			 uint64_t value);
void canary_stats_host_gone(canary_stats_t *s, uint64_t host);
uint64_t canary_stats_total(const canary_stats_t *s, shift_side_t side,
			    metric_t k);
uint64_t canary_stats_running(const canary_stats_t *s);
canary_finding_t canary_stats_compare(canary_stats_t *s, ms_t now);

/* health.c */
bool health_usable(const backend_t *b, ms_t now);
void health_reset(backend_t *b);
void health_displace(backend_t *b);
bool health_silent(const backend_t *b, ms_t now);
void health_attempt_ended(edge_t *e, backend_t *b, attempt_result_t how,
			  ms_t now);

/* cost.c */
void fit_add(fit_t *f, double tokens, double ms);
double fit_estimate(const fit_t *f, double tokens, double otherwise);
double estimate_overrun(const backend_t *b, const request_t *r, double first,
			ms_t now);
void estimate_add_gap(backend_t *b, double ms);
double estimate_token_ms(const backend_t *b);
void estimate_add_stream(backend_t *b, const request_t *r, ms_t now);
double estimate_first_event(const pool_t *p, const backend_t *b, double prompt);

/* place.c */
backend_t *select_server(edge_t *e, pool_t *p, const request_t *r, ms_t now);
double select_score(edge_t *e, const backend_t *b, const request_t *r,
		    unsigned int load, ms_t now);
bool select_was_tried(const request_t *r, const backend_t *b);
unsigned int select_load(const backend_t *b, ms_t now);
unsigned int select_free_slots(const pool_t *p, ms_t now);

/* ask.c */
void slots_request_first(edge_t *e, request_t *r, ms_t now);
void slots_withdraw(edge_t *e, request_t *r);
void slots_forget_server(edge_t *e, const backend_t *b);
void slots_tick(edge_t *e, pool_t *p, ms_t now);
void slots_count_unkept(pool_t *p);
void slots_set_keeper(edge_t *e, backend_t *b);
void slots_set_keepers(edge_t *e);

/* queue.c */
void queue_push(edge_t *e, request_t *r, ms_t now);
void queue_remove(edge_t *e, request_t *r);
void queue_abandon(edge_t *e, request_t *r);
unsigned int queue_same_priority(const pool_t *p, const request_t *r);
request_t *queue_next(pool_t *p, ms_t now);
void queue_expire(edge_t *e, pool_t *p, ms_t now);

/* refuse.c */
ms_t admission_retry_after(edge_t *e, pool_t *p, const request_t *r, ms_t now);
bool admission_too_late(pool_t *p, const request_t *r, ms_t now);

/* quota.c */
double quota_cost(const edge_customer_t *c, double tokens);
ms_t quota_take(edge_t *e, const edge_customer_t *c, double cost,
		unsigned int rank, ms_t now);
void quota_return(edge_t *e, const edge_customer_t *c, double cost);
void quota_count_sent(edge_t *e, const edge_customer_t *c, double cost);
void quota_sent_elsewhere(edge_t *e, const char *customer, double cost);

/* hosts.c */
void hosts_init(edge_t *e);
void hosts_tick(edge_t *e, ms_t now);
void hosts_clear(edge_t *e);

/* budget.c */
void budget_earn(pool_t *p, ms_t now);
bool budget_spend(edge_t *e, pool_t *p, ms_t now);

#endif
