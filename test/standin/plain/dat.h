/* Types of the plain service stand-in. */
#ifndef PLAIN_DAT_H
#define PLAIN_DAT_H

#include "standin/lib/dat.h"

/* Fixed at start. */
typedef struct plain_conf {
	int port;
	char *name;
	char *version;
	int service_ms;
	int slots;
	char *events;
} plain_conf_t;

typedef struct plain {
	plain_conf_t conf;
	uv_loop_t loop;
	hs_t http;
	list_t queued; /* of call_t */
	int running;
	double slow; /* factor on service_ms */
	double fail_rate;
	bool freeze;
	GRand *rand;
	GHashTable *runs; /* by Idempotency-Key */
} plain_t;

/* A call being served. */
typedef struct call {
	list_t link;
	plain_t *plain;
	hs_req_t *r; /* NULL once the caller is gone */
	uv_timer_t timer;
	char *id;
	char *key;
	char *answer;
} call_t;

#endif
