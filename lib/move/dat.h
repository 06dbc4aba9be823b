/*
 * Grow-only registers shared by all entries (facts), and the rollouts of
 * service versions (moves) that are decided from them. No I/O here.
 */
#ifndef MOVE_DAT_H
#define MOVE_DAT_H

#include "conf/dat.h"
#include "wire/dat.h"

typedef struct facts facts_t;
typedef struct moves moves_t;

/* Counters of requests (req_stats.c). */
typedef enum metric {
	M_REQUESTS,
	M_FAILURES,
	M_FIRST_TOKEN_N,   /* requests with a first token latency */
	M_FIRST_TOKEN_LOG, /* sum of the latencies' logarithms, in sixteenths of
			      a doubling */
	M_FIRST_TOKEN_LOG_SQ, /* sum of the squares of the logarithms, the same
				 unit */
	M_GAP_N,
	M_GAP_LOG,
	M_GAP_LOG_SQ,
	METRICS,
} metric_t;

/* Counters of one version on one route at one server. */
typedef struct req_stats {
	uint64_t v[METRICS];
} req_stats_t;

/* Outcome and latencies of a finished request. */
typedef struct sample {
	const char *service;
	const char *version;
	const char *route;
	code_t code;	    /* outcome */
	int status;	    /* HTTP status of the backend server; 0 none */
	ms_t first_token;   /* from dispatch; -1 none came */
	ms_t gap;	    /* mean inter-token gap; -1 unknown */
	uint64_t tokens;    /* of prompt and output */
	const char *server; /* name of its sidecar; NULL unknown */
} sample_t;

typedef enum move_state {
	MOVE_RUNNING,
	MOVE_WATCHING, /* nearly all traffic moved, old version kept loaded */
	MOVE_DONE,
	MOVE_ROLLED_BACK,
} move_state_t;

/* Result of a move, as stored in the log; the first record of an op counts. */
typedef struct move_result {
	uint64_t op; /* move_id of the move */
	char *service;
	char *version;
	move_state_t state; /* MOVE_DONE or MOVE_ROLLED_BACK */
	char *evidence;	    /* one line of key=value pairs */
} move_result_t;

typedef struct moves_ops {
	/* A move ended. Called repeatedly until moves_set_intent has its
	 * result. */
	void (*ended)(void *ctx, const move_result_t *r);
} moves_ops_t;

#endif
