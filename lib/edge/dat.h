/*
 * Decisions of an edge host, which sends callers' requests straight to
 * backend servers: routes, quotas, queueing, placing, retries. No I/O.
 */
#ifndef EDGE_DAT_H
#define EDGE_DAT_H

#include "conf/dat.h"

typedef struct edge edge_t;
typedef struct pool pool_t;
typedef struct backend backend_t;

/* What may be repeated of a request. */
typedef enum retry_policy {
	RETRY_SAFE,   /* may run any number of times */
	RETRY_NEVER,  /* may run once at most */
	RETRY_RESUME, /* a stream that may go on at another server */
} retry_policy_t;

/* A part of a route's traffic and the service it goes to. */
typedef struct split {
	char *service;
	uint64_t weight;
} split_t;

/* Where requests of one host and path go, and what they are owed. */
typedef struct edge_route {
	char *name;
	char *host;
	char *prefix;
	retry_policy_t retry;
	bool stream;
	bool public; /* needs no key */
	ms_t timeout;
	ms_t first_event_target; /* to the first byte, or event of a stream */
	ms_t gap_target;	 /* between events; 0 none */
	unsigned int attempts;
	unsigned int priority; /* 0 is the most urgent */
	size_t nsplits;
	split_t *splits;
} edge_route_t;

/* A customer, its keys are in desired_t. */
typedef struct edge_customer {
	char *name;
	int priority;	/* goes before the route's; -1 none */
	bool by_tokens; /* rate and burst are in tokens, else requests */
	double rate;	/* a second; 0 no limit */
	double burst;
	double default_cost; /* of a request that gives no tokens */
} edge_customer_t;

/* What is known of a service before any of its servers is seen. */
typedef struct edge_service {
	char *name;
	bool is_model;
} edge_service_t;

/* Limits on what a caller may send and how long it may take. */
typedef struct edge_limits {
	size_t header_max;
	size_t body_max;
	ms_t header_timeout;
	ms_t idle_timeout;
} edge_limits_t;

/* One accepted configuration. Never changed once it is made. */
typedef struct desired {
	unsigned int refs;
	uint64_t version;
	edge_limits_t limits;
	GPtrArray *routes;    /* of edge_route_t */
	GHashTable *by_host;  /* GPtrArray of edge_route_t, longest first */
	GPtrArray *customers; /* of edge_customer_t */
	GHashTable *by_key;   /* edge_customer_t by API key */
	GPtrArray *services;  /* of edge_service_t */
} desired_t;

/* An operator's order to move a service's traffic to a version. */
typedef struct shift_order {
	const char *service;
	const char *target; /* the version */
	ms_t duration;	    /* the move has to be over by then */
	uint64_t number;    /* grows with each order */
} shift_order_t;

typedef enum shift_state {
	SHIFT_RUNNING,
	SHIFT_DONE,	   /* all traffic goes to the target */
	SHIFT_ROLLED_BACK, /* the target was found bad */
} shift_state_t;

/* What the judge has decided on an order; the newest counts. */
typedef struct shift_step {
	uint64_t order;
	shift_state_t state;
	unsigned int share; /* of the target, in thousandths */
	ms_t age;	    /* of the order, when it was decided */
	bool reported;	    /* the operator has the final state */
} shift_step_t;

/* Which versions a request may go to. */
typedef enum shift_side {
	SHIFT_OLD,
	SHIFT_TARGET,
	SHIFT_SIDES,
} shift_side_t;

/* A backend server as the platform lists it. */
typedef struct backend_info {
	const char *id;
	const char *service;
	const char *version;
	const char *data_center;
	addr_t addr;
	int64_t started_unix; /* unix milliseconds; 0 unknown */
	uint64_t seq; /* of the entry: it grows while the server lives */
	unsigned int slots;
	bool draining;
} backend_info_t;

/* How long the first event takes there, fitted to what was seen. */
typedef struct fit {
	double n, x, y, xx, xy; /* fading sums */
} fit_t;

/* A backend server and what was learned of it. */
struct backend {
	list_t link; /* in its pool */
	pool_t *pool;
	const char *service; /* the service */
	uint32_t serial;     /* of this incarnation, within this process */
	char *id;
	char *version;
	char *data_center;
	addr_t addr;
	int64_t started_unix;
	unsigned int slots;
	bool draining;
	uint64_t seq;	      /* of its entry */
	bool displaced;	      /* another server answered at its address */
	bool gone;	      /* off the list; kept while requests run there */
	unsigned int running; /* requests of this host there */
	unsigned int other_load; /* of other hosts, at the last answer */
	ms_t other_load_at;
	list_t requests;	  /* request_t, by run */
	ms_t last_byte_at;	  /* last byte of an answer */
	fit_t fit;		  /* first event, by prompt tokens */
	double gap_ms;		  /* ms between events */
	unsigned int gap_samples; /* events that step was learned from */
	double token_ms;     /* ms for each token of output that was expected */
	double failure_rate; /* fading share, 0 to 1 */
	double attempts_ended; /* fading number of ended requests */
	unsigned int consecutive_losses;
	ms_t ejected_until;
	ms_t ejection_ms;
	bool probing;	 /* back from being set aside, one request at a time */
	void *user;	 /* connections kept there */
	uint64_t keeper; /* incarnation of its keeper; 0 not in touch */
	unsigned int slot_requests; /* of ours that wait there for a place */
};

typedef enum request_state {
	REQUEST_NEW,
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_ENDED,
} request_state_t;

enum {
	TRIED_MAX = 4,	       /* servers remembered of one request */
	SLOT_REQUESTS_MAX = 8, /* servers asked for a place at a time */
};

/* A caller's request, from its arrival to its final answer. */
typedef struct request {
	list_t link;	    /* in the queue */
	bool late;	    /* waits in the queue of those past their target */
	list_t server_link; /* at the server */
	request_state_t state;
	rid_t rid; /* our own number for it */
	const char *id;
	desired_t *desired;
	const edge_route_t *route;
	const edge_customer_t *customer; /* NULL on public routes */
	pool_t *pool;
	backend_t *server; /* while running */
	unsigned int priority;
	ms_t arrived;
	ms_t deadline;	     /* of the final answer */
	ms_t first_event_by; /* the target for the first event */
	ms_t give_up_at;     /* the caller gives up a stream without an event */
	double prompt;	     /* tokens */
	double output;	     /* tokens, expected */
	double tokens;	     /* that count against the customer's quota */
	double cost;	     /* taken from the customer's quota */
	bool charged;	     /* and told to the other hosts */
	unsigned int executions; /* that may have run */
	unsigned int dispatches;
	uint32_t tried[TRIED_MAX]; /* serials of servers */
	unsigned int ntried;
	shift_side_t side;   /* while versions move */
	unsigned int events; /* from this server */
	backend_t *asked[SLOT_REQUESTS_MAX];
	unsigned int nasked;
	ms_t asked_at;	     /* when the last of them was asked */
	uint64_t granted_by; /* incarnation of the keeper that gave its place */
	ms_t sent_at;
	ms_t first_at; /* the first event from this server */
	ms_t last_event_at;
	bool ever_responded; /* the first event has come, over all sends */
	bool responded;	     /* and from this server */
} request_t;

/* How one send ended. */
typedef enum attempt_result {
	ATTEMPT_ANSWERED,     /* a whole answer, whatever its status */
	ATTEMPT_FAILED,	      /* a whole answer that says the server failed */
	ATTEMPT_REJECTED,     /* the server did not run it, and says so */
	ATTEMPT_NOT_SENT,     /* no byte was written */
	ATTEMPT_LOST,	      /* bytes were written; no whole answer came */
	ATTEMPT_BAD_ANSWER,   /* the answer broke the protocol */
	ATTEMPT_WRONG_SERVER, /* another server is at the address; not run */
} attempt_result_t;

/* What to do about a request after a send, or when it arrives. */
typedef enum next_action {
	NEXT_ANSWER, /* give the caller what came, or the code's status */
	NEXT_RETRY,  /* it waits for another server, or is already sent */
} next_action_t;

typedef struct edge_conf {
	uint64_t inc; /* of this process */
	const char *data_center;
	uint64_t seed;
	double retry_ratio; /* sends beyond the first, by requests */
	ms_t retry_window;
	double quota_tolerance; /* more than the quota, by it, that is let pass
				 */
	double quota_slack;	/* more than the quota in a window, the same */
	ms_t quota_window;
	double retry_slack; /* sends beyond the ratio, over all hosts */
} edge_conf_t;

typedef struct edge_ops {
	/* Send the request to r->server. Must not call the edge back. */
	void (*send)(void *ctx, request_t *r);
	/* The request is given up, not run: code and when to come back. */
	void (*refuse)(void *ctx, request_t *r, code_t code, ms_t after);
	/* A decision on the request, with what decided it as key=value. */
	void (*note)(void *ctx, const request_t *r, ms_t now, const char *step,
		     const char *text);
	/*
	 * Ask the server's keeper for a place, or give it back. A place given
	 * within in_time ms still brings the first event in time.
	 */
	void (*request_slot)(void *ctx, backend_t *b, const request_t *r,
			     ms_t in_time, ms_t now);
	void (*release_slot)(void *ctx, uint64_t keeper, const request_t *r,
			     bool unreached); /* the server could not be */
	/* A server is listed: its keeper may be connected to. */
	void (*listed)(void *ctx, const backend_t *b);
	/* A server was forgotten: close what is kept open to it. */
	void (*forget)(void *ctx, backend_t *b);
} edge_ops_t;

#endif
