/* Decisions of a sidecar: waiting list, grants, dispatch, resume. No I/O. */
#ifndef SIDE_DAT_H
#define SIDE_DAT_H

#include "conf/dat.h"
#include "wire/dat.h"

typedef struct side side_t;

typedef struct side_conf {
	const char *name;
	const char *service;
	bool model;
	uint64_t seed;
	size_t waiting_max;   /* offers */
	size_t answer_max;    /* bytes kept of one answer for resuming */
	ms_t first_token;     /* target from request to first token; 0 none */
	ms_t token_gap;	      /* target time between tokens */
	ms_t lease;	      /* of a grant */
	ms_t hold;	      /* of a refusal */
	ms_t entry_gone;      /* after so long without its entry, cancel */
	ms_t engine_silent;   /* replace an engine stream silent this long */
	uint64_t place_start; /* tokens of work, first limit */
	uint64_t place_max;
	ms_t wait_most; /* offers that would wait longer are shed; 0 none */
} side_conf_t;

/* A body to dispatch. Strings live during the call only. */
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
	/* Drops the connection of the request and tells the engine. */
	void (*cancel)(void *ctx, rid_t rid);
} side_ops_t;

#endif
