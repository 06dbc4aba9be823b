/*
 * Many entries and sidecars in one process, in virtual time: messages are
 * delayed, connections break, processes die and pause, all from one seed.
 */
#ifndef RIG_RIG_H
#define RIG_RIG_H

#include "entry/fns.h"
#include "side/fns.h"
#include "wire/fns.h"

/* Speed and memory of a fake engine that batches continuously. */
typedef struct engine_conf {
	double speed;	    /* divides every time below */
	double step_ms;	    /* of a step with nothing in it */
	double decode_ms;   /* more for each request that decodes */
	double prefill_ms;  /* more for each prompt token */
	unsigned int chunk; /* prompt tokens a step, at most */
	unsigned int batch; /* requests running at most */
	uint64_t memory;    /* tokens of running requests at most */
	uint64_t cache;	    /* tokens of prompt prefixes kept */
	unsigned int flush; /* output tokens put into one write */
} engine_conf_t;

/* One request at an engine. */
typedef struct engine_job {
	list_t link;
	rid_t rid;
	unsigned int number;
	uint64_t prompt;
	uint64_t output;
	uint64_t prefix; /* 0 none */
	uint64_t prefix_len;
	uint64_t left;	   /* prompt tokens still to be computed */
	uint64_t made;	   /* output tokens */
	uint64_t put;	   /* output tokens written */
	uint64_t computed; /* prompt tokens computed for it */
	bool started;	   /* head written */
	bool attached;
	bool cancelled;
	GString *text; /* all that was written */
} engine_job_t;

typedef struct engine engine_t;

/* What comes out of an engine. */
typedef struct engine_ops {
	void (*head)(void *ctx, engine_job_t *j);
	void (*data)(void *ctx, engine_job_t *j, str_t data);
	void (*end)(void *ctx, engine_job_t *j); /* j is freed after it */
} engine_ops_t;

engine_t *engine_new(const engine_conf_t *conf, const engine_ops_t *ops,
		     void *ctx);
void engine_free(engine_t *g);
void engine_clear(engine_t *g);
engine_job_t *engine_add(engine_t *g, rid_t rid, const char *body, ms_t now);
engine_job_t *engine_find(const engine_t *g, rid_t rid);
void engine_cancel(engine_t *g, rid_t rid);
ms_t engine_next(const engine_t *g); /* end of the step; -1 idle */
void engine_step(engine_t *g);
unsigned int engine_running(const engine_t *g);
unsigned int engine_queued(const engine_t *g);
bool engine_caches(const engine_t *g, uint64_t prefix);
uint64_t engine_computed(const engine_t *g);

/* A request as its caller sees it, and where it was dispatched. */
typedef struct rig_request {
	unsigned int number; /* from 1 */
	int tier;
	char *service;
	unsigned int customer;
	uint64_t prompt;
	uint64_t output;
	uint64_t prefix;
	uint64_t prefix_len;
	ms_t deadline; /* time left at the start */
	bool plain;    /* not idempotent, without a key */
	bool key;
	unsigned int entry;
	rid_t rid;
	bool gone; /* its caller hung up or its entry died */
	unsigned int ends;
	code_t code;
	ms_t retry_after;
	ms_t submitted_at;
	ms_t first_at; /* of the first data; -1 none */
	ms_t ended_at;
	unsigned int dispatches;
	ms_t dispatched_at;
	unsigned int side;	/* it was dispatched at */
	bool prefix_known;	/* then some engine had the prefix */
	uint64_t cannot_finish; /* a bit for each sidecar that said so */
	uint64_t computed;	/* prompt tokens */
	GString *got;		/* data passed on; NULL when not kept */
	size_t got_bytes;
} rig_request_t;

typedef struct rig_conf {
	uint64_t seed;
	unsigned int entries;
	unsigned int sidecars;
	entry_conf_t entry;
	side_conf_t side;
	const engine_conf_t *engines; /* one for each sidecar */
	ms_t delay_min;		      /* one way */
	ms_t delay_max;
	ms_t tick;
	ms_t state_every;
	ms_t silent;   /* until an end sees that its connection broke */
	bool keep_got; /* keep the data that callers get */
	/* Called as a request ends; may be NULL. */
	void (*ended)(void *ctx, rig_request_t *r);
	void *ctx;
} rig_conf_t;

typedef struct rig rig_t;

rig_t *rig_new(const rig_conf_t *conf);
void rig_free(rig_t *rig);
ms_t rig_now(const rig_t *rig);
void rig_run(rig_t *rig, ms_t span);
/* Strings of the template are copied. */
rig_request_t *rig_submit(rig_t *rig, unsigned int entry,
			  const rig_request_t *like);
const GPtrArray *rig_requests(const rig_t *rig); /* of rig_request_t */
void rig_hangup(rig_t *rig, unsigned int number);
void rig_cut(rig_t *rig, unsigned int entry, unsigned int side);
void rig_kill_entry(rig_t *rig, unsigned int entry, ms_t span);
void rig_kill_side(rig_t *rig, unsigned int side, ms_t span);
void rig_pause_entry(rig_t *rig, unsigned int entry, ms_t span);
void rig_pause_side(rig_t *rig, unsigned int side, ms_t span);
void rig_drain_side(rig_t *rig, unsigned int side);
void rig_engine_refuses(rig_t *rig, unsigned int side, ms_t span);
void rig_engine_cut(rig_t *rig, unsigned int side);
bool rig_answer_is_whole(const rig_request_t *r);
entry_t *rig_entry(rig_t *rig, unsigned int entry);
side_t *rig_side(rig_t *rig, unsigned int side);
engine_t *rig_engine(rig_t *rig, unsigned int side);
bool rig_connected(const rig_t *rig, unsigned int entry, unsigned int side);
uint64_t rig_counter(const rig_t *rig, const char *name);
bool rig_prefix_known(const rig_t *rig, uint64_t prefix);
uint64_t rig_messages(const rig_t *rig);

#endif
