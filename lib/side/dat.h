/*
 * Types of a sidecar: it queues the offers of entries, grants them slots at its
 * engine, dispatches their bodies and keeps the answers. No I/O.
 */
#ifndef SIDE_DAT_H
#define SIDE_DAT_H

#include "conf/dat.h"
#include "wire/dat.h"

typedef struct side side_t;

typedef struct side_conf {
	const char *name;
	const char *service;
	bool model; /* the service is a model, not a plain one */
	uint64_t seed;
	size_t waiting_max; /* offers */
	size_t answer_max;  /* bytes of one answer kept until acknowledged */
	ms_t first_token_target; /* from request to first token; 0 none */
	ms_t token_gap_target;	 /* between tokens */
	ms_t lease;		 /* of a grant: time for its body to come */
	ms_t hold; /* of a shed: time in which no lower tier is taken */
	ms_t entry_timeout; /* cancel requests of an entry gone this long */
	ms_t engine_silent; /* replace an engine stream silent this long */
	uint64_t capacity_start; /* first limit, tokens of work */
	uint64_t capacity_max;	 /* largest limit, tokens of work */
	ms_t wait_max; /* offers that would wait longer are shed; 0 no bound */
} side_conf_t;

/* A body to dispatch. Strings are valid during the call only. */
typedef struct side_dispatch {
	rid_t rid;
	str_t version;
	str_t method;
	str_t path;
	str_t content_type;
	str_t body;
	str_t key; /* Idempotency-Key; empty when there is none */
	bool stream;
} side_dispatch_t;

typedef struct side_ops {
	void (*send)(void *ctx, uint64_t entry_inc, const msg_t *m);
	/* Sends the request to the engine; results come by side_engine_*. */
	void (*dispatch)(void *ctx, const side_dispatch_t *d);
	/* Asks the engine for the answer's bytes from an offset on. */
	void (*resume)(void *ctx, rid_t rid, uint64_t from);
	/* Closes the request's connection and has the engine stop it. */
	void (*cancel)(void *ctx, rid_t rid);
} side_ops_t;

#endif
