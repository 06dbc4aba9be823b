/* Types of the callers' driver. */
#ifndef LOAD_DAT_H
#define LOAD_DAT_H

#include "standin/lib/dat.h"

typedef enum kind {
	KIND_STREAM,
	KIND_WHOLE,
	KIND_CHECK, /* plain, idempotent */
	KIND_ORDER, /* plain, with an Idempotency-Key */
	KIND_COUNT,
} kind_t;

/* A customer as given by NAME:TIER; its key is "key-NAME". */
typedef struct caller {
	char *name;
	int tier;
} caller_t;

/* Fixed at start. */
typedef struct load_conf {
	char *entries; /* ports, comma separated */
	char *customers;
	char *kinds; /* shares of each kind, comma separated */
	char *log;
	int count;
	int concurrency;
	int seed;
	int tokens_min;
	int tokens_max;
	int prompt_max;	 /* bytes */
	int deadline_ms; /* 0 none */
	int pause_ms;	 /* of a caller that was refused */
	gboolean twice;	 /* each order goes to two entries at once */
} load_conf_t;

typedef struct load {
	load_conf_t conf;
	uv_loop_t loop;
	h2o_timeout_t timeout;
	h2o_http1client_ctx_t ctx;
	GArray *ports;	   /* uint16_t */
	GArray *customers; /* caller_t */
	int shares[KIND_COUNT];
	GRand *rand;
	FILE *log;
	int started;
	int running;
} load_t;

/* One request of a caller. */
typedef struct request {
	load_t *load;
	h2o_http1client_t *client;
	int n;
	kind_t kind;
	uint16_t port;
	const caller_t *caller;
	int tier;
	char *marker;
	char *key; /* Idempotency-Key, or NULL */
	char *body;
	char *text; /* the request as sent */
	h2o_iovec_t buf;
	GString *answer;
	int status;    /* 0: none came */
	bool chunked;  /* the answer's body is in chunks */
	bool measured; /* it has a Content-Length */
	bool whole;
	char *id;
	char *outcome;
	char *version;
	char *server;
	ms_t start;
	ms_t first; /* first byte of the answer's body; 0 none */
} request_t;

#endif
