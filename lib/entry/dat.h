/*
 * Types of an entry: it offers each request to sidecars, sends it to the first
 * that grants it a slot, and passes the answer on. No I/O.
 */
#ifndef ENTRY_DAT_H
#define ENTRY_DAT_H

#include "conf/dat.h"
#include "move/dat.h"
#include "wire/dat.h"

typedef struct entry entry_t;

typedef struct entry_conf {
	uint64_t inc; /* this entry's incarnation */
	uint64_t seed;
	const char *data_center;
	size_t waiting_max;	     /* requests */
	unsigned int initial_offers; /* sidecars offered a request at first */
	ms_t head_start;	 /* of the prefix's sidecar before the others */
	ms_t widen_before;	 /* the deadline: offer to all live sidecars */
	ms_t disconnect_timeout; /* then what a sidecar was sent is lost */
	ms_t ack_interval;	 /* longest time before chunks are acked */
	size_t ack_bytes; /* acked after so many bytes too; 0: by time only */
} entry_conf_t;

/* A checked request of a caller. The entry copies the strings. */
typedef struct submission {
	const char *service;
	const char *route;
	const char *customer;
	uint64_t weight; /* of the customer */
	int tier;
	bool model; /* the service is a model, not a plain one */
	bool stream;
	bool idempotent;
	const char *key; /* Idempotency-Key, or NULL */
	const char *method;
	const char *path;
	const char *content_type;
	str_t body;
	uint64_t prompt_tokens; /* estimated */
	uint64_t max_output;	/* tokens that the request allows; 0 no limit */
	uint64_t prefix_hash;	/* hash of the prompt's start; 0 none */
	ms_t time_left;		/* until the deadline */
	ms_t first_token_target; /* of the service */
} submission_t;

/* How a request ended, for the caller's headers and for counters. */
typedef struct outcome {
	rid_t rid;
	code_t code;
	ms_t retry_after;    /* for refusals; 0 none */
	const char *version; /* NULL if it was never sent */
	const char *server;  /* name of the sidecar; NULL if never sent */
} outcome_t;

typedef struct entry_ops {
	/* Must not call the entry back. */
	void (*send)(void *ctx, uint64_t side_inc, const msg_t *m);
	/* The answer: head at most once, then data, then end exactly once. */
	void (*head)(void *ctx, void *user, const outcome_t *so_far, int status,
		     str_t content_type);
	void (*data)(void *ctx, void *user, str_t data);
	void (*end)(void *ctx, void *user, const outcome_t *o);
	/* Claims the key; the result comes by entry_claim_done. */
	void (*claim)(void *ctx, rid_t rid, const char *customer,
		      const char *key);
	/* Returns NULL when no version is known for the service. */
	const char *(*pick_version)(void *ctx, const char *service, ms_t now);
	/* Returns the version to use where no sidecar has the picked one. */
	const char *(*fallback_version)(void *ctx, const char *service,
					const char *picked);
	/* Whether a version was found bad after it was picked. May be NULL. */
	bool (*is_bad)(void *ctx, const char *service, const char *version);
	/* Records how a run went, for the canary analysis. */
	void (*record_run)(void *ctx, const sample_t *s, ms_t now);
} entry_ops_t;

#endif
