/* A stand-in for a model engine: continuous batching over a prefix cache. */
#ifndef ENGINE_DAT_H
#define ENGINE_DAT_H

#include "standin/lib/dat.h"

enum {
	BYTES_PER_TOKEN = 4,
	BLOCK_TOKENS = 64,	    /* unit of the prefix cache */
	PREFILL_STEP_TOKENS = 256,  /* prompt tokens computed in one step */
	BATCH_SLOWDOWN_PERCENT = 2, /* of a step, for each further request */
	KEPT_JOBS = 512,	    /* finished answers kept for resuming */
	CACHE_EVENT_GAP = 7,	    /* each so many-th event is never shown */
	CACHE_EVENTS_KEPT = 1024,
	DEFAULT_OUTPUT_TOKENS = 20,
};

/* Fixed at start. */
typedef struct engine_conf {
	int port;
	char *name;
	int speed;   /* output tokens a second of a request that runs alone */
	int prefill; /* prompt tokens a second */
	int slots;   /* requests in one batch */
	int cache_blocks;
	int lag_ms;  /* of load reports and cache events */
	int load_ms; /* time to load a version */
	char *versions;
	char *events;
	gboolean check_fence;
} engine_conf_t;

/* What the control endpoint sets. */
typedef struct faults {
	double slow;	  /* factor on each step */
	double fail_rate; /* share of requests that get a 500 */
	bool freeze;
	size_t cut_after; /* bytes; 0 never */
	char *bad_version;
	char *bad_mode; /* fail, slow or cut */
	long bad_after; /* dispatches of that version that still go well */
	double bad_rate;
	double bad_factor; /* of slow */
} faults_t;

/* A request that reached the engine. */
typedef struct job {
	list_t link;
	char *id;
	char *marker;
	char *version;
	char *model;
	bool stream;
	bool bad;	   /* its version misbehaves for it */
	unsigned int skip; /* steps until a slowed request gets a token */
	unsigned int prompt;
	unsigned int cached;
	unsigned int prefilled;
	unsigned int made;
	unsigned int total;
	bool done;
	GString *content;
	GString *body;
	GPtrArray *sinks; /* of sink_t */
	GArray *blocks;	  /* uint64_t hashes of the prompt's starts */
} job_t;

/* A connection that wants a job's body from a byte on. */
typedef struct sink {
	job_t *job;
	hs_req_t *r;
	size_t pos;
	bool open;
} sink_t;

/* A block of the prefix cache, in order of use. */
typedef struct block {
	list_t link;
	uint64_t hash;
} block_t;

typedef struct cache_event {
	uint64_t seq;
	ms_t at;
	bool add;
	uint64_t hash;
} cache_event_t;

typedef struct cache {
	GHashTable *blocks; /* of block_t by hash */
	list_t used;	    /* least recently used first */
	size_t max;
	uint64_t next_seq;
	GArray *events; /* of cache_event_t */
} cache_t;

typedef struct engine {
	engine_conf_t conf;
	faults_t faults;
	uv_loop_t loop;
	hs_t http;
	uv_timer_t step_timer;
	uv_timer_t lag_timer;
	uint64_t step_end; /* nanoseconds of uv_hrtime; 0 idle */
	unsigned int step_prefill;
	list_t queued;
	list_t running;
	list_t finished;
	size_t kept;
	GHashTable *jobs;     /* the latest of each id; not owned */
	GPtrArray *versions;  /* names, loaded */
	GHashTable *seen;     /* dispatches by version */
	size_t shown_running; /* as of the last load report */
	size_t shown_queued;
	long fence;
	unsigned int direct; /* requests without an id */
	GRand *rand;
	cache_t cache;
} engine_t;

#endif
