/* Tables of an edge host, shared by the files of lib/edge. */
#ifndef EDGE_PRIV_H
#define EDGE_PRIV_H

#include "edge/fns.h"
#include "move/fns.h"

/* A customer's quota on this host. */
typedef struct quota {
	double level; /* left now; below zero after a large request */
	ms_t filled_at;
	double sent; /* by this process, since its start */
} quota_t;

/* How a cell is named between hosts: SIDE/METRIC/SERVER/ROUTE. The server is
   empty on the old side, where only the sum is of use. */
#define SHIFT_CELL	   "%d/%d/%s/%s"
#define SHIFT_CELL_RUNNING "running" /* requests that run on the old side */

/* A move of a service's traffic to another version, as this host knows it. */
typedef struct shift {
	uint64_t order;
	char *target;
	bool decided;	   /* a step of this order is known */
	shift_step_t step; /* the newest */
	double due;	   /* requests that the target should have had */
	double given;	   /* requests that it had */
	GHashTable *cells; /* shift_cell_t by route and server */
	uint64_t running;  /* as told last */
} shift_t;

/* The servers of one service and what waits for them. */
struct pool {
	char *name;
	list_t servers;		  /* backend_t */
	list_t waiting[RANKS][2]; /* in time, and past their target */
	unsigned int nwaiting;
	window_t asked;		/* requests of callers */
	window_t repeats;	/* sends beyond the first of each */
	window_t placed[RANKS]; /* first sends, by rank */
	double mean_tokens;
	double first_mean; /* ms to the first event, over all servers */
	double token_ms;   /* ms for an expected token of output, all servers */
	double slowest_ms; /* of its servers, for such a token; fades */
	double tokens;	   /* expected of whole streams, fading sum */
	double events;	   /* that these streams had, the same */
	double run_mean;   /* ms that a request holds its place */
	hist_t *first_ms;  /* from arrival to the first event */
	hist_t *wait_ms;   /* from arrival to the first send */
	unsigned int unkept; /* servers without a keeper in touch */
	shift_t *shift;	     /* the newest order to move; NULL none */
};

struct edge {
	edge_conf_t conf;
	const edge_ops_t *ops;
	void *ctx;
	GRand *rand;
	desired_t *desired;	   /* in force; NULL before the first */
	GHashTable *pools;	   /* pool_t by service */
	GHashTable *by_id;	   /* backend_t by id */
	GHashTable *quotas;	   /* quota_t by customer */
	GHashTable *keepers;	   /* incarnation by IP, of those in touch */
	GHashTable *waiting;	   /* request_t that wait, by rid */
	uint64_t rids;		   /* given to requests so far */
	uint32_t serials;	   /* given to servers so far */
	GHashTable *others;	   /* other hosts, by name */
	unsigned int hosts;	   /* listed, with this one */
	unsigned int hosts_silent; /* of those, not heard */
	ms_t started;		   /* the first tick */
	bool ticked;
	counters_t *counters;
};

/* edge.c */
void edge_note(edge_t *e, const request_t *r, ms_t now, const char *step,
	       const char *fmt, ...) G_GNUC_PRINTF(5, 6);
void edge_run(edge_t *e, request_t *r, backend_t *b, ms_t now);

/* fleet.c */
pool_t *pool_get(edge_t *e, const char *service);
void backend_release(edge_t *e, backend_t *b);
void server_forget(edge_t *e, const char *id);

/* shift.c */
void shift_free(shift_t *s);
shift_side_t shift_pick(edge_t *e, pool_t *p, const request_t *r);
bool shift_allows(const request_t *r, const backend_t *b, ms_t now);
void shift_note(const request_t *r, sent_t how);

/* sums.c */
typedef struct sums sums_t;
typedef struct finding {
	const char *why; /* NULL: nothing against the target */
	char route[64];	 /* cut if it is longer */
} finding_t;
sums_t *sums_new(ms_t now);
void sums_free(sums_t *s);
bool sums_told(sums_t *s, uint64_t host, const char *cell, uint64_t value);
void sums_host_gone(sums_t *s, uint64_t host);
uint64_t sums_total(const sums_t *s, shift_side_t side, metric_t k);
uint64_t sums_running(const sums_t *s);
finding_t sums_look(sums_t *s, ms_t now);

/* health.c */
bool health_usable(const backend_t *b, ms_t now);
void health_reset(backend_t *b);
void health_displace(backend_t *b);
bool health_silent(const backend_t *b, ms_t now);
void health_note(edge_t *e, backend_t *b, sent_t how, ms_t now);

/* cost.c */
void fit_add(fit_t *f, double tokens, double ms);
double fit_guess(const fit_t *f, double tokens, double otherwise);
double cost_late(const backend_t *b, const request_t *r, double first,
		 ms_t now);
void cost_event(backend_t *b, double ms);
double cost_token(const backend_t *b);
void cost_note(backend_t *b, const request_t *r, ms_t now);
double cost_first(const pool_t *p, const backend_t *b, double prompt);

/* place.c */
backend_t *place_pick(edge_t *e, pool_t *p, const request_t *r, ms_t now);
double place_score(edge_t *e, const backend_t *b, const request_t *r,
		   unsigned int load, ms_t now);
bool place_tried(const request_t *r, const backend_t *b);
unsigned int place_load(const backend_t *b, ms_t now);
unsigned int place_free(const pool_t *p, ms_t now);

/* ask.c */
void ask_first(edge_t *e, request_t *r, ms_t now);
void ask_withdraw(edge_t *e, request_t *r);
void ask_forget(edge_t *e, const backend_t *b);
void ask_tick(edge_t *e, pool_t *p, ms_t now);
void ask_count(pool_t *p);
void ask_keeper(edge_t *e, backend_t *b);
void ask_keepers(edge_t *e);

/* queue.c */
void queue_push(edge_t *e, request_t *r, ms_t now);
void queue_remove(edge_t *e, request_t *r);
void queue_abandon(edge_t *e, request_t *r);
unsigned int queue_alike(const pool_t *p, const request_t *r);
request_t *queue_next(pool_t *p, ms_t now);
void queue_expire(edge_t *e, pool_t *p, ms_t now);

/* refuse.c */
ms_t refuse_after(edge_t *e, pool_t *p, const request_t *r, ms_t now);
bool refuse_hopeless(pool_t *p, const request_t *r, ms_t now);

/* quota.c */
double quota_cost(const edge_customer_t *c, double tokens);
ms_t quota_take(edge_t *e, const edge_customer_t *c, double cost,
		unsigned int rank, ms_t now);
void quota_return(edge_t *e, const edge_customer_t *c, double cost);
void quota_sent(edge_t *e, const edge_customer_t *c, double cost);
void quota_elsewhere(edge_t *e, const char *customer, double cost);

/* hosts.c */
void hosts_init(edge_t *e);
void hosts_tick(edge_t *e, ms_t now);
void hosts_clear(edge_t *e);

/* budget.c */
void budget_earn(pool_t *p, ms_t now);
bool budget_spend(edge_t *e, pool_t *p, ms_t now);

#endif
