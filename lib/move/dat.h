/* Facts that only grow, and version moves decided from them. No I/O here. */
#ifndef MOVE_DAT_H
#define MOVE_DAT_H

#include "conf/dat.h"
#include "wire/dat.h"

typedef struct facts facts_t;
typedef struct moves moves_t;

/* What is counted of requests (cell.c). */
typedef enum metric {
	M_REQUESTS,
	M_FAILURES,
	M_FIRST_TOKEN_N,      /* times to the first chunk */
	M_FIRST_TOKEN_LOG,    /* sum of their logarithms, in sixteenths of a
				 doubling */
	M_FIRST_TOKEN_LOG_SQ, /* sum of the squares of these, the same */
	M_GAP_N,
	M_GAP_LOG,
	M_GAP_LOG_SQ,
	METRICS,
} metric_t;

/* Counters of one version on one route at one server. */
typedef struct req_stats {
	uint64_t v[METRICS];
} req_stats_t;

/* What one finished request says about the version that ran it. */
typedef struct sample {
	const char *service;
	const char *version;
	const char *route;
	code_t code;	    /* how it ended */
	int status;	    /* the backend server's HTTP status; 0 none came */
	ms_t first_token;   /* dispatch to first chunk; -1 none came */
	ms_t gap;	    /* mean time between tokens; -1 unknown */
	uint64_t tokens;    /* prompt and output: the size of the work */
	const char *server; /* name of its sidecar; NULL unknown */
} sample_t;

typedef enum move_state {
	MOVE_RUNNING,
	MOVE_WATCHING, /* all traffic moved, old version kept loaded */
	MOVE_DONE,
	MOVE_ROLLED_BACK,
} move_state_t;

/* How a move ended, as kept in the log; the first record of an op counts. */
typedef struct move_result {
	uint64_t op; /* move_id of the move */
	char *service;
	char *version;
	move_state_t state; /* MOVE_DONE or MOVE_ROLLED_BACK */
	char *evidence;	    /* one line of key=value pairs */
} move_result_t;

typedef struct moves_ops {
	/* A move ended. May be called again until its result is set. */
	void (*ended)(void *ctx, const move_result_t *r);
} moves_ops_t;

#endif
