/* The platform's log service and host list. */
#ifndef PLATFORM_DAT_H
#define PLATFORM_DAT_H

#include "net/dat.h"

typedef struct logc logc_t;
typedef struct hostsc hostsc_t;

/*
 * A request whose answer is collected whole. done comes once, unless
 * fetch_cancel came first; status is 0 when no head came. Codes as in
 * httpc_ops_t, and CODE_TOO_LARGE.
 */
typedef struct fetch fetch_t;
typedef void (*fetch_done_t)(void *ctx, code_t code, int status, str_t body);

/* One record of a stream. */
typedef struct log_record {
	uint64_t offset;
	str_t data;
} log_record_t;

/*
 * Answer to an append. CODE_OK with the offset; CODE_THROTTLED or
 * CODE_UNREACHABLE when it surely did not take effect; CODE_ANSWER_LOST when
 * it may have.
 */
typedef void (*log_appended_t)(void *ctx, code_t code, uint64_t offset);

/* A reader of one stream; records come in order, each once. */
typedef struct log_reader_ops {
	void (*record)(void *ctx, const log_record_t *r);
	/* Records before first are gone from the log. */
	void (*forgotten)(void *ctx, uint64_t first);
	/* The end was reached: all records before next have been given. */
	void (*caught_up)(void *ctx, uint64_t next);
	/* The log became unreachable, or reachable again. */
	void (*reachable)(void *ctx, bool yes);
} log_reader_ops_t;

/* One host of the list. */
typedef struct host {
	str_t name;
	str_t role; /* "entry", "sidecar" */
	str_t data_center;
	addr_t addr;
	bool leaving;
} host_t;

/* Gives the whole list at each successful reading. */
typedef void (*hosts_seen_t)(void *ctx, const host_t *hosts, size_t n);

#endif
