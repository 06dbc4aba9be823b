/* Tables of a sidecar, shared by the files of lib/side. */
#ifndef SIDE_PRIV_H
#define SIDE_PRIV_H

#include "side/fns.h"

enum {
	CODES_MAX = 600, /* above the largest code_t */
};

/* How far a request has come at this sidecar. */
typedef enum job_state {
	JOB_WAITING, /* offered, no slot yet */
	JOB_GRANTED, /* holds a slot until its lease lapses */
	JOB_RUNNING, /* dispatched to the engine */
	JOB_ENDED,   /* kept until the entry has the whole answer */
	JOB_NOT_RUN, /* kept to reject bodies of its void grants */
} job_state_t;

/* A flow of the deficit round robin: the jobs of one customer in one tier. */
typedef struct flow {
	list_t link; /* in tier_t.round */
	list_t jobs; /* oldest first */
	char *customer;
	uint64_t deficit; /* tokens it may still be granted in this round */
} flow_t;

/* The waiting jobs of one tier. */
typedef struct tier {
	list_t round;	   /* flows, the next to be served first */
	list_t late;	   /* jobs that miss their first token's target */
	list_t by_age;	   /* all jobs, oldest first */
	GHashTable *flows; /* by customer */
	size_t len;
	uint64_t work;	 /* tokens */
	ms_t hold_until; /* until then no lower tier is taken */
} tier_t;

/* Reads an answer as it passes: counts events, or keeps the end of a JSON. */
typedef struct sse {
	bool events; /* of type text/event-stream */
	bool done;   /* the last event was seen */
	uint64_t tokens;
	char tail[256]; /* start of the line, or end of the body */
	size_t n;
} sse_t;

/* A piece of an answer that the entry has not acknowledged. */
typedef struct chunk {
	uint64_t seq;
	GBytes *data;
} chunk_t;

/* The answer of one dispatched request. */
typedef struct answer {
	int status; /* 0 before the head */
	char *type;
	GQueue chunks;	   /* of chunk_t, by number */
	size_t kept_bytes; /* in chunks */
	uint64_t last_seq; /* number of the last chunk */
	uint64_t bytes;	   /* received from the engine */
	sse_t sse;
	code_t code;	  /* once ended */
	ms_t first_delay; /* from dispatch to the first chunk; -1 none came */
	ms_t first_at;	  /* time of the first chunk */
	ms_t last_at;	  /* time of the newest token, or first_at */
	bool awaiting_resume; /* the next head is that of a resumed stream */
	bool resumed;	      /* the engine was asked to resume */
	unsigned int failed_resumes; /* in a row */
	ms_t resume_at; /* when to ask the engine again; 0 not needed */
} answer_t;

/* A request, from its offer to the acknowledgement of its end. */
typedef struct job {
	rid_t rid;
	job_state_t state;
	list_t link;   /* in flow_t.jobs, tier_t.late or a list of side_t */
	list_t by_age; /* in tier_t.by_age */
	flow_t *flow;  /* NULL when late */
	unsigned int tier;
	char *version;
	uint64_t prompt; /* tokens */
	uint64_t output; /* tokens, estimated */
	uint64_t work;	 /* what it uses of the capacity */
	ms_t state_since;
	ms_t deadline;	      /* point in time */
	uint64_t grant;	      /* number of its grant; 0 before the first */
	uint64_t void_grants; /* bodies of grants up to this are ignored */
	uint64_t conn;	      /* connection that the grant was sent on */
	bool attached;	      /* the entry's connection takes the answer */
	answer_t a;
} job_t;

/* An incarnation of an entry. */
typedef struct peer {
	uint64_t inc;
	bool up;
	uint64_t conn; /* number of its newest connection */
	ms_t down_at;
	/* Requests of grants up to this may have run and are forgotten. */
	uint64_t forgotten_grants;
} peer_t;

/*
 * The adaptive limit of work in progress at the engine: tokens of a model,
 * requests of a plain service.
 */
typedef struct capacity {
	uint64_t limit;
	uint64_t used;
	uint64_t peak_used; /* in the window */
	ms_t window_start;
	ms_t settle_until; /* no change of the limit before this */
	bool slow_start;   /* the limit has never been too large */
	uint64_t tokens;   /* seen in the window */
	ms_t decode_time;  /* of the streams, for these tokens */
	uint64_t answers;  /* plain: ended in the window */
	ms_t answer_time;  /* plain: summed over them */
	double base_time;  /* plain: response time under little load */
} capacity_t;

/* Measured speed of the engine and of the waiting list. */
typedef struct speed {
	unsigned int answers;
	double prefill_rate; /* prompt tokens a millisecond */
	double token_gap;    /* ms between tokens; plain: response time */
	/* Tokens of work leaving the list a millisecond, and in this window. */
	double drain_rate[TIER_COUNT];
	uint64_t left_work[TIER_COUNT];
	ms_t window_start;
} speed_t;

struct side {
	side_conf_t conf;
	char *name;
	char *service;
	const side_ops_t *ops;
	void *ctx;
	counters_t *counters;
	counter_t *ended_by_code[CODES_MAX];
	counter_t *refused_by_code[CODES_MAX];
	GRand *rand;
	GHashTable *jobs;  /* by rid */
	GHashTable *peers; /* by inc */
	tier_t tiers[TIER_COUNT];
	size_t waiting; /* jobs in tiers */
	list_t granted;
	list_t running;
	list_t ended;
	list_t not_run; /* oldest first */
	capacity_t capacity;
	speed_t speed;
	char *versions;		   /* loaded, comma separated */
	uint64_t last_grant;	   /* number of the newest grant */
	uint64_t forgotten_grants; /* largest of peers that were evicted */
	bool engine_up;
	ms_t engine_down_at;
	uint64_t engine_queued; /* requests that wait inside the engine */
	bool draining;
};

/* side.c */
job_t *job_find(const side_t *s, rid_t rid);
void job_free(side_t *s, job_t *j);
void job_unlink(side_t *s, job_t *j);
void job_set_state(side_t *s, job_t *j, job_state_t state, ms_t now);
peer_t *peer_get(side_t *s, uint64_t inc);
bool side_has_version(const side_t *s, str_t version);
void side_send(side_t *s, job_t *j, msg_t *m);
void side_refuse(side_t *s, rid_t rid, code_t code, ms_t hold);
void side_not_run(side_t *s, rid_t rid, code_t code);
void side_count(side_t *s, counter_t **by_code, const char *name, code_t code);

/* wait.c */
void wait_init(side_t *s);
void wait_clear(side_t *s);
void wait_offer(side_t *s, const msg_offer_t *o, ms_t now);
void wait_remove(side_t *s, job_t *j);
job_t *wait_next(side_t *s);
uint64_t wait_work(const side_t *s, unsigned int tier);
void wait_refuse_all(side_t *s, code_t code, ms_t now);
void wait_drop_peer(side_t *s, uint64_t inc);
void wait_refuse_unloaded(side_t *s, ms_t now);
void wait_tick(side_t *s, ms_t now);

/* grant.c */
void grant_all(side_t *s, ms_t now);
void grant_resend(side_t *s, job_t *j, ms_t now);
bool grant_lapsed(const side_t *s, const job_t *j, ms_t now);
void grant_reclaim_lapsed(side_t *s, ms_t now);
void grant_body(side_t *s, const msg_body_t *b, ms_t now);

/* run.c */
void run_start(side_t *s, job_t *j, const msg_body_t *b, ms_t now);
void run_end(side_t *s, job_t *j, code_t code, ms_t now);
void run_cancel(side_t *s, job_t *j, code_t code, ms_t now);
void run_tick(side_t *s, ms_t now);

/* answer.c */
void answer_init(answer_t *a);
void answer_clear(answer_t *a);
void answer_head(side_t *s, job_t *j, int status, str_t type);
void answer_data(side_t *s, job_t *j, str_t data, ms_t now);
void answer_end(side_t *s, job_t *j);
void answer_acked(answer_t *a, uint64_t seq);
void answer_resend(side_t *s, job_t *j, uint64_t from);
ms_t answer_token_gap(const answer_t *a);

/* sse.c */
void sse_init(sse_t *c, str_t type);
void sse_add(sse_t *c, str_t data);
uint64_t sse_tokens(const sse_t *c);

/* capacity.c */
void capacity_init(capacity_t *c, const side_conf_t *conf);
uint64_t capacity_cost(const side_t *s, uint64_t prompt, uint64_t output);
bool capacity_fits(const capacity_t *c, uint64_t work);
void capacity_use(capacity_t *c, uint64_t work);
void capacity_release(capacity_t *c, uint64_t work);
void capacity_add_tokens(capacity_t *c, uint64_t tokens, ms_t span);
void capacity_add_answer(capacity_t *c, ms_t span);
void capacity_tick(side_t *s, ms_t now);

/* speed.c */
void speed_learn(side_t *s, const job_t *j, ms_t now);
void speed_count_left(side_t *s, unsigned int tier, uint64_t work);
void speed_tick(side_t *s, ms_t now);
ms_t speed_first_token_time(const side_t *s, uint64_t prompt);
ms_t speed_run_time(const side_t *s, uint64_t prompt, uint64_t output);
ms_t speed_wait_time(const side_t *s, unsigned int tier);

#endif
