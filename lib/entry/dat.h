/* Decisions of an entry: offers, sending, outcomes, limits. No I/O. */
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
	size_t waiting_max;  /* requests */
	unsigned int offers; /* sidecars asked at first */
	ms_t head_start;     /* of the sidecar chosen for its prefix */
	ms_t widen_before;   /* the deadline: ask all live sidecars */
	ms_t path_gone;	     /* without a connection: outcome unknown */
	ms_t ack_every;	     /* chunks are acknowledged at least so often */
	size_t ack_bytes;    /* and after so many bytes; 0: by time alone */
} entry_conf_t;

/* A checked request of a caller. Strings are copied. */
typedef struct submit {
	const char *service;
	const char *route;
	const char *customer;
	uint64_t weight; /* of the customer */
	int tier;
	bool model;
	bool stream;
	bool idempotent;
	const char *key; /* Idempotency-Key, or NULL */
	const char *method;
	const char *path;
	const char *content_type;
	str_t body;
	uint64_t prompt_tokens; /* estimated */
	uint64_t max_output;	/* of the request itself; 0 none given */
	uint64_t prefix;	/* hash of the prompt's start; 0 none */
	ms_t deadline;		/* time left */
	ms_t first_token;	/* target of the service */
} submit_t;

/* How a request ended, for the caller's headers and for counters. */
typedef struct outcome {
	rid_t rid;
	code_t code;
	ms_t retry_after;    /* for refusals; 0 none */
	const char *version; /* NULL when none was sent */
	const char *server;  /* name of the sidecar; NULL when none was sent */
} outcome_t;

typedef struct entry_ops {
	/* Must not call the entry back. */
	void (*send)(void *ctx, uint64_t side_inc, const msg_t *m);
	/* The answer: head at most once, then data, then end exactly once. */
	void (*head)(void *ctx, void *user, const outcome_t *so_far, int status,
		     str_t content_type);
	void (*data)(void *ctx, void *user, str_t data);
	void (*end)(void *ctx, void *user, const outcome_t *o);
	/* Claim the key; answered by entry_claimed. */
	void (*claim)(void *ctx, rid_t rid, const char *customer,
		      const char *key);
	/* NULL: no version is known for the service. */
	const char *(*pick_version)(void *ctx, const char *service, ms_t now);
	const char *(*fallback)(void *ctx, const char *service,
				const char *picked);
	/* Whether a version was found bad after it was picked. May be NULL. */
	bool (*is_bad)(void *ctx, const char *service, const char *version);
	void (*note)(void *ctx, const sample_t *s, ms_t now);
} entry_ops_t;

#endif
