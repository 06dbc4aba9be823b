/*
 * Scheduling on an edge host, which sends callers' requests straight to backend
 * servers: routes, quotas, queueing, server selection, retries. No I/O.
 */
#ifndef EDGE_DAT_H
#define EDGE_DAT_H

#include "conf/dat.h"
#include "quota/dat.h"

typedef struct edge edge_t;
typedef struct pool pool_t;
typedef struct backend backend_t;

/* Whether a request may be sent a second time after it may have run. */
typedef enum retry_policy {
	RETRY_SAFE,   /* idempotent: may run any number of times */
	RETRY_NEVER,  /* may run at most once */
	RETRY_RESUME, /* a stream that another server can resume */
} retry_policy_t;

/* A weighted part of a route's traffic and the service it goes to. */
typedef struct split {
	char *service;
	double weight; /* relative to the other parts' */
} split_t;

/*
 * A route: where the requests of one host and path prefix go, and their latency
 * targets, retries and priority.
 */
typedef struct edge_route {
	char *name;
	char *host;
	char *prefix;
	retry_policy_t retry;
	bool stream;
	bool public; /* no API key needed */
	ms_t timeout;
	ms_t first_event_target; /* to the first byte, or the first event of a
				    stream */
	ms_t gap_target;	 /* between events of a stream; 0: none */
	unsigned int attempts;	 /* that may run, at most */
	unsigned int priority;	 /* 0 is the highest */
	char **homes;		 /* regions where it may run; NULL: any */
	size_t nsplits;
	split_t *splits;
} edge_route_t;

/* A customer. desired_t maps API keys to customers. */
typedef struct edge_customer {
	char *name;
	int priority;	/* takes precedence over the route's; -1: none */
	bool by_tokens; /* rate, burst and costs in tokens, else in requests */
	double rate;	/* per second; 0: no limit */
	double burst;
	double default_cost; /* of a request whose token count is unknown */
	char **homes;	     /* regions where its requests may run; NULL: any */
} edge_customer_t;

/* A service as configured, known before any of its servers is listed. */
typedef struct edge_service {
	char *name;
	bool is_model;
	double cold_rate; /* requests a second that a server takes from all
			     hosts while it is cold; 0: any */
	ms_t cold_time;	  /* for so long after its start a server is cold */
	bool cold_bad;	  /* a malformed figure of these was left out */
} edge_service_t;

/* Limits on the size of a caller's message and on the time to send it. */
typedef struct edge_limits {
	size_t header_max;
	size_t body_max;
	ms_t header_timeout;
	ms_t idle_timeout;
} edge_limits_t;

/* One accepted configuration, immutable and reference-counted. */
typedef struct desired {
	unsigned int refs;
	uint64_t version;
	edge_limits_t limits;
	GPtrArray *routes;    /* of edge_route_t */
	GHashTable *by_host;  /* GPtrArray of routes, longest prefix first */
	GPtrArray *customers; /* of edge_customer_t */
	GHashTable *by_key;   /* edge_customer_t by API key */
	GPtrArray *services;  /* of edge_service_t */
} desired_t;

/*
 * An operator's order to shift a service's traffic to another version: a canary
 * rollout.
 */
typedef struct shift_order {
	const char *service;
	const char *target; /* the version to shift to */
	ms_t duration;	    /* the rollout has to end within it */
	uint64_t number;    /* a newer order has a larger one */
} shift_order_t;

typedef enum shift_state {
	SHIFT_RUNNING,
	SHIFT_DONE,	   /* all traffic goes to the target */
	SHIFT_ROLLED_BACK, /* canary analysis found the target bad */
} shift_state_t;

/* A decision of the canary analysis on an order; the newest is in force. */
typedef struct shift_step {
	uint64_t order;
	shift_state_t state;
	unsigned int share; /* of the traffic, for the target, in thousandths */
	ms_t age;	    /* of the order at the decision */
	bool reported;	    /* the final state was reported to the operator */
} shift_step_t;

enum {
	SHIFT_REPORT_MS = 200, /* between a host's reports of its counts: a bad
				  version must be rolled back within seconds */
};

/* The two sides of a traffic shift; a request is assigned to one. */
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
	int64_t started_unix; /* unix ms; 0: unknown */
	uint64_t seq; /* of the entry: it grows with each heartbeat of the
			 server */
	unsigned int slots;
	bool draining;
	ms_t cold_left; /* it is cold for so long after the entry was written */
} backend_info_t;

/* What a server asks of the hosts in the head of an answer. */
typedef struct server_word {
	server_limit_t limit;
	bool leaving; /* it stops soon and takes nothing new */
	ms_t pause;   /* wants nothing from this host for so long; 0: none */
	bool bad;     /* a malformed field: the known limit holds */
} server_word_t;

/* Least-squares line of the first event latency over the prompt's length. */
typedef struct fit {
	double n, x, y, xx, xy; /* exponentially decaying sums */
} fit_t;

/* A backend server and the statistics that this host keeps of it. */
struct backend {
	list_t link; /* in its pool's servers */
	pool_t *pool;
	const char *service; /* its pool's name */
	uint32_t serial; /* unique in this process; a restarted server gets a
			    new one */
	char *id;
	char *version;
	char *data_center;
	addr_t addr;
	int64_t started_unix;
	unsigned int slots;
	bool listed_draining; /* by its entry */
	bool leaving;	      /* by its own word */
	bool evacuated;	      /* its data centre is */
	bool draining;	      /* by any of these: takes nothing new */
	uint64_t seq;	      /* of its newest entry */
	bool displaced;	      /* another server has its address now */
	bool gone; /* no longer listed; freed when its last request ends */
	unsigned int running;	 /* requests of this host that run there */
	unsigned int other_load; /* requests of other hosts, by the server's
				    last answer */
	ms_t other_load_at;
	list_t requests;   /* request_t by server_link, those that run there */
	ms_t last_byte_at; /* last bytes received from it */
	fit_t fit;	   /* first event latency by prompt tokens */
	double gap_ms;	   /* mean inter-event gap in ms */
	unsigned int gap_samples; /* gaps in that mean */
	double token_ms;	  /* mean ms per expected output token */
	double failure_rate;	  /* moving average, 0 to 1 */
	double attempts_ended;	  /* since the last ejection */
	unsigned int consecutive_losses;
	unsigned int silences; /* attempts given up since it was last heard */
	bool ejected_silent;   /* ejected for these and nothing else */
	ms_t ejected_until;
	ms_t ejection_ms;
	bool probing;		  /* after an ejection: one request at a time */
	ms_t paused_until;	  /* it wants nothing from this host before */
	bool word_known;	  /* an answer has come */
	server_limit_t limit;	  /* by its answers, or another host */
	pace_t pace;		  /* this host's part of the limit */
	unsigned int limit_hosts; /* known when limit_rank was computed */
	unsigned int limit_rank;  /* of this host among those for the limit */
	ms_t limit_told_at;	  /* to its keeper */
	warmup_t warmup;	  /* by what this host knows */
	uint64_t turn_offset;	  /* of this host's turns while it is cold */
	uint64_t turn_used;	  /* the last turn in which it was sent one */
	ms_t warmup_told_at;	  /* the service's figures, to its keeper */
	void *user;		  /* idle connections, owned by lib/forward */
	bool chosen;		  /* is in this host's subset */
	double subset_part; /* of the servers of its version in a subset */
	ms_t unkept_from;   /* not used without its keeper before */
	uint64_t keeper;    /* incarnation of its keeper; 0: not connected */
	unsigned int slot_requests; /* pending at its keeper */
};

typedef enum request_state {
	REQUEST_NEW,
	REQUEST_ASKING, /* its quota server for the customer's quota */
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_ENDED,
} request_state_t;

enum {
	TRIED_MAX = 4, /* servers remembered as tried by one request */
	/* Slot requests that one request may have pending */
	SLOT_REQUESTS_MAX = 8,
};

enum {
	CRASH_TRAITS_MAX = 64, /* in one report */
};

/*
 * What several requests may have in common, as a hash: the name of a part of
 * their prompts, or their whole content.
 */
typedef uint64_t trait_t;

/*
 * A server that ended while requests with these traits waited for their first
 * event: each of the traits may be the cause.
 */
typedef struct crash_report {
	const char *server;   /* its id */
	int64_t started_unix; /* with the id, one life of the server */
	const trait_t *traits;
	size_t ntraits;
} crash_report_t;

/* A caller's request, from arrival to final answer. */
typedef struct request {
	list_t link; /* in a queue of its pool, or of those that ask */
	bool late;   /* is in the queue of those that will miss their target */
	list_t server_link; /* in the server's requests */
	request_state_t state;
	rid_t rid; /* identifies it between processes */
	const char *id;
	desired_t *desired;
	const edge_route_t *route;
	const edge_customer_t *customer; /* NULL: the route is public */
	pool_t *pool;
	backend_t *server; /* while running */
	unsigned int priority;
	ms_t arrived;
	ms_t deadline;	     /* for the final answer */
	ms_t first_event_by; /* when the first event is due by its target */
	ms_t give_up_at; /* when the caller cancels a stream that has not begun
			  */
	double prompt;	 /* prompt tokens */
	double output;	 /* expected output tokens */
	double tokens;	 /* charged to a quota in tokens */
	/* Its prompt's parts, without the last, which no other request has */
	const trait_t *parts;
	size_t nparts;
	trait_t content;	   /* what it asks, and for whom; 0: unknown */
	double cost;		   /* in the unit of the customer's quota */
	bool charged;		   /* the cost is counted as sent */
	unsigned int executions;   /* attempts that may have run */
	unsigned int dispatches;   /* all attempts */
	bool retry_reserved;	   /* taken from the budget for the next one */
	uint32_t tried[TRIED_MAX]; /* serials of the servers */
	unsigned int ntried;
	shift_side_t side;   /* during a traffic shift */
	unsigned int events; /* received in this attempt */
	backend_t *asked[SLOT_REQUESTS_MAX];
	unsigned int nasked;
	ms_t asked_at;	      /* when the last slot request, or the request to
				 the quota server, was sent */
	uint64_t granted_by;  /* incarnation of the granting keeper */
	backend_t *next;      /* takes it when this attempt is given up */
	uint64_t next_keeper; /* that granted its slot there; 0: none */
	ms_t waited;	      /* from the arrival to the first attempt, in ms */
	ms_t sent_at;
	ms_t first_at; /* when this attempt's first event came */
	ms_t last_event_at;
	bool ever_responded; /* some attempt got its first event */
	bool responded;	     /* this attempt did */
} request_t;

/* How one attempt ended. */
typedef enum attempt_result {
	ATTEMPT_ANSWERED,     /* a complete answer with a status below 500 */
	ATTEMPT_FAILED,	      /* a complete answer with a status of 500 or more,
				 or one that does not go on with the stream that
				 has begun */
	ATTEMPT_REJECTED,     /* the server answered that it did not run it */
	ATTEMPT_NOT_SENT,     /* no byte was sent */
	ATTEMPT_LOST,	      /* bytes were sent; the answer is incomplete */
	ATTEMPT_SILENT,	      /* given up for a retry: nothing came for long */
	ATTEMPT_BAD_ANSWER,   /* the answer is malformed */
	ATTEMPT_WRONG_SERVER, /* another server has the address; not run */
} attempt_result_t;

/* What the caller of edge_attempt_ended has to do next. */
typedef enum next_action {
	NEXT_ANSWER, /* answer the caller with what came, or with the code's
			status */
	NEXT_RETRY,  /* nothing: it is queued for a retry, or already sent */
} next_action_t;

/* Who keeps customers' quotas. */
typedef enum quota_kind {
	QUOTA_BY_KEEPER,
	QUOTA_BY_RELAY, /* where no keeper is connected */
	QUOTA_KINDS,
} quota_kind_t;

/* How a slot is returned to its keeper. */
typedef enum slot_end {
	SLOT_ENDED,	/* not needed, or the server has answered */
	SLOT_LOST,	/* the server gave no answer */
	SLOT_UNREACHED, /* the server could not be connected to */
} slot_end_t;

typedef struct edge_conf {
	uint64_t inc;	  /* incarnation of this process */
	const char *name; /* of this host; NULL: it has none */
	const char *data_center;
	GHashTable *regions; /* region by data centre; NULL: none is known */
	unsigned int subset; /* servers of a version that it uses; 0: one */
	uint64_t seed;
	double retry_ratio; /* retries per request */
	ms_t retry_window;
	quota_bounds_t quota;
	double retry_slack; /* retries beyond the ratio, over all hosts */
} edge_conf_t;

typedef struct edge_ops {
	/* Sends the request to r->server. Must not call the edge. */
	void (*send)(void *ctx, request_t *r);
	/* The request is refused and was not run; retry after that many ms. */
	void (*refuse)(void *ctx, request_t *r, code_t code, ms_t after);
	/* Logs a decision on the request with its inputs as key=value. */
	void (*note)(void *ctx, const request_t *r, ms_t now, const char *step,
		     const char *text);
	/*
	 * Requests a slot from the server's keeper, or returns it. A slot
	 * granted within in_time ms still meets the first event target.
	 */
	void (*request_slot)(void *ctx, backend_t *b, const request_t *r,
			     ms_t in_time, ms_t now);
	void (*release_slot)(void *ctx, uint64_t keeper, const request_t *r,
			     slot_end_t how);
	/* To a quota server: this host joins, leaves, or has a request. */
	void (*quota_join)(void *ctx, uint64_t server, const quota_join_t *j);
	void (*quota_leave)(void *ctx, uint64_t server, const char *customer);
	void (*quota_take)(void *ctx, uint64_t server, const request_t *r);
	/* Keep a connection to the keeper on a server's host, or end it. */
	void (*keeper_wanted)(void *ctx, const addr_t *server, bool wanted);
	/* A server is about to be freed: close its connections. */
	void (*forget)(void *ctx, backend_t *b);
	/*
	 * To all hosts: a server ended, or requests with a trait that was
	 * reported are answered.
	 */
	void (*crash_seen)(void *ctx, const crash_report_t *c);
	void (*trait_answered)(void *ctx, trait_t trait);
	/*
	 * To the server's keeper, if it is connected, and to the other hosts if
	 * hosts is set: the server's limit, or that it has none.
	 */
	void (*limit_named)(void *ctx, const backend_t *b, bool hosts);
	/*
	 * To the server's keeper: what the server takes while it is cold, and
	 * if cold_left is above 0 that it is cold for so many ms.
	 */
	void (*tell_warmup)(void *ctx, const backend_t *b,
			    const warmup_conf_t *c, ms_t cold_left);
	/* To the other hosts: the server says that it leaves. */
	void (*leaving_said)(void *ctx, const backend_t *b);
	/*
	 * Another server takes a request whose server is silent: ends the
	 * attempt, by edge_attempt_ended with ATTEMPT_SILENT. Returns false if
	 * bytes of the answer have come after all.
	 */
	bool (*leave_silent)(void *ctx, request_t *r);
} edge_ops_t;

#endif
