/* Tables of a sidecar, shared by the files of lib/side. */
#ifndef SIDE_PRIV_H
#define SIDE_PRIV_H

#include "side/fns.h"

enum {
	CODE_SLOTS = 600, /* more than the largest code_t */
};

/* How far a request has come at this sidecar. */
typedef enum job_state {
	JOB_WAITING, /* offered, no place yet */
	JOB_GRANTED, /* holds a place until its lease lapses */
	JOB_RUNNING, /* dispatched to the engine */
	JOB_ENDED,   /* kept until the entry has the whole answer */
	JOB_REFUSED, /* never dispatched; old bodies of it are ignored */
} job_state_t;

/* The offers of one customer in one tier. */
typedef struct share {
	list_t link; /* in tier_t.active */
	list_t jobs; /* oldest first */
	char *customer;
	uint64_t deficit; /* tokens it may still be granted in this round */
} share_t;

/* The waiting list of one tier. */
typedef struct tier {
	list_t active;	    /* shares, in the order of the round */
	list_t late;	    /* jobs past their first token's target */
	list_t age;	    /* jobs, oldest first */
	GHashTable *shares; /* by customer */
	size_t len;
	uint64_t work;	 /* tokens */
	ms_t hold_until; /* until then no lower tier is taken */
} tier_t;

/* Reads server-sent events as they pass, or the end of a JSON answer. */
typedef struct sse {
	bool events;
	bool done; /* the last event was seen */
	uint64_t tokens;
	char tail[256]; /* of the line or of the body */
	size_t n;
} sse_t;

/* A part of an answer that the entry has not acknowledged. */
typedef struct part {
	uint64_t seq;
	GBytes *data;
} part_t;

/* The answer of one dispatched request. */
typedef struct answer {
	int status; /* 0 before the head */
	char *type;
	GQueue parts;  /* of part_t, by number */
	size_t kept;   /* bytes in parts */
	uint64_t last; /* number of the last chunk */
	uint64_t bytes;
	sse_t scan;
	code_t code;	      /* once ended */
	ms_t first;	      /* time from dispatch; -1 none came */
	ms_t first_at;	      /* time of the first chunk */
	ms_t last_at;	      /* time of the newest chunk */
	bool resuming;	      /* the next head is that of a resumed stream */
	bool sent_again;      /* the engine was asked to go on */
	unsigned int resumes; /* failed in a row */
	ms_t resume_at;	      /* when to ask the engine again; 0 not needed */
} answer_t;

/* A request, from its offer to the acknowledgement of its end. */
typedef struct job {
	rid_t rid;
	job_state_t state;
	list_t link;	/* in share_t.jobs or a list of side_t */
	list_t age;	/* in tier_t.age */
	share_t *share; /* NULL when late */
	unsigned int tier;
	char *version;
	uint64_t prompt; /* tokens */
	uint64_t output; /* tokens, estimated */
	uint64_t work;	 /* what it takes of the place */
	ms_t since;	 /* when it came into its state */
	ms_t deadline;	 /* point in time */
	uint64_t grant;	 /* 0 before the first */
	uint64_t floor;	 /* bodies of grants up to this are ignored */
	uint64_t conn;	 /* connection that the grant went to */
	bool live;	 /* the entry follows the answer */
	answer_t a;
} job_t;

/* An incarnation of an entry. */
typedef struct peer {
	uint64_t inc;
	bool up;
	uint64_t conn; /* number of its newest connection */
	ms_t down_at;
	/* Requests of grants up to this may have run and are forgotten. */
	uint64_t lost;
} peer_t;

/* The learned limit of work in progress. */
typedef struct place {
	uint64_t limit;
	uint64_t used;
	uint64_t most;	  /* largest use in the window */
	ms_t window_at;	  /* start of the window */
	ms_t settle;	  /* no change of the limit before this */
	bool slow_start;  /* the limit has never been too large */
	uint64_t tokens;  /* seen in the window */
	ms_t decoding;	  /* stream time spent on them */
	uint64_t answers; /* plain: ended in the window */
	ms_t answer_time; /* plain: summed over them */
	double base;	  /* plain: response time when little runs */
} place_t;

/* What was seen of the engine's speed. */
typedef struct speed {
	unsigned int seen; /* answers */
	double prefill;	   /* prompt tokens a millisecond */
	double gap;	   /* milliseconds between tokens of a stream */
	/* Tokens of work leaving the list a millisecond, and in this window. */
	double drain[TIER_COUNT];
	uint64_t left[TIER_COUNT];
	ms_t window_at;
} speed_t;

struct side {
	side_conf_t conf;
	char *name;
	char *service;
	const side_ops_t *ops;
	void *ctx;
	counters_t *counters;
	counter_t *ended[CODE_SLOTS];
	counter_t *refused[CODE_SLOTS];
	GRand *rand;
	GHashTable *jobs;  /* by rid */
	GHashTable *peers; /* by inc */
	tier_t tiers[TIER_COUNT];
	size_t waiting;
	list_t granted;
	list_t running;
	list_t finished;
	list_t dropped; /* of state JOB_REFUSED, oldest first */
	place_t place;
	speed_t speed;
	char *versions;
	uint64_t grants; /* number of the last grant */
	uint64_t lost;	 /* peer_t.lost of peers no longer in the table */
	bool engine_up;
	ms_t engine_down_at;
	uint64_t engine_queued;
	bool draining;
};

/* side.c */
job_t *job_find(const side_t *s, rid_t rid);
void job_free(side_t *s, job_t *j);
void job_take(side_t *s, job_t *j);
void job_put(side_t *s, job_t *j, job_state_t state, ms_t now);
peer_t *peer_get(side_t *s, uint64_t inc);
bool side_loaded(const side_t *s, str_t version);
void side_send(side_t *s, job_t *j, msg_t *m);
void side_refuse(side_t *s, rid_t rid, code_t code, ms_t hold);
void side_not_run(side_t *s, rid_t rid, code_t code);
void side_count(side_t *s, counter_t **slots, const char *name, code_t code);

/* wait.c */
void wait_init(side_t *s);
void wait_clear(side_t *s);
void wait_offer(side_t *s, const msg_offer_t *o, ms_t now);
void wait_del(side_t *s, job_t *j);
job_t *wait_next(side_t *s);
uint64_t wait_work(const side_t *s, unsigned int tier);
void wait_refuse_all(side_t *s, code_t code, ms_t now);
void wait_drop_peer(side_t *s, uint64_t inc);
void wait_unloaded(side_t *s, ms_t now);
void wait_tick(side_t *s, ms_t now);

/* grant.c */
void grant_all(side_t *s, ms_t now);
void grant_again(side_t *s, job_t *j, ms_t now);
bool grant_lapsed(const side_t *s, const job_t *j, ms_t now);
void grant_lapse(side_t *s, ms_t now);
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
ms_t answer_gap(const answer_t *a);

/* sse.c */
void sse_init(sse_t *c, str_t type);
void sse_add(sse_t *c, str_t data);
uint64_t sse_tokens(const sse_t *c);

/* place.c */
void place_init(place_t *p, const side_conf_t *conf);
uint64_t place_work(const side_t *s, uint64_t prompt, uint64_t output);
bool place_fits(const place_t *p, uint64_t work);
void place_use(place_t *p, uint64_t work);
void place_release(place_t *p, uint64_t work);
void place_decoded(place_t *p, uint64_t tokens, ms_t span);
void place_answered(place_t *p, ms_t span);
void place_tick(side_t *s, ms_t now);

/* speed.c */
void speed_ended(side_t *s, const job_t *j, ms_t now);
void speed_left(side_t *s, unsigned int tier, uint64_t work);
void speed_tick(side_t *s, ms_t now);
ms_t speed_first_time(const side_t *s, uint64_t prompt);
ms_t speed_run_time(const side_t *s, uint64_t prompt, uint64_t output);
ms_t speed_wait_time(const side_t *s, unsigned int tier);

#endif
