/* Clients of the platform's log service and host list. */
#ifndef PLATFORM_DAT_H
#define PLATFORM_DAT_H

#include "net/dat.h"

typedef struct logc logc_t;
typedef struct hostsc hostsc_t;

/*
 * A request whose response body is buffered whole. done is called once, unless
 * fetch_cancel was called before; status is 0 if no response head was received.
 * Codes as in httpc_ops_t, and CODE_TOO_LARGE. body is valid during the call.
 */
typedef struct fetch fetch_t;
typedef void (*fetch_done_t)(void *ctx, code_t code, int status, str_t body);

/* One record of a stream; data is valid during the callback. */
typedef struct log_record {
	uint64_t offset;
	str_t data;
} log_record_t;

/*
 * Result of an append: CODE_OK with the record's offset; CODE_THROTTLED or
 * CODE_UNREACHABLE if the record was not appended; CODE_ANSWER_LOST if it may
 * have been.
 */
typedef void (*log_appended_t)(void *ctx, code_t code, uint64_t offset);

/*
 * Callbacks of a stream's reader. Records are delivered in order, each once.
 * All but record may be NULL.
 */
typedef struct log_reader_ops {
	void (*record)(void *ctx, const log_record_t *r);
	/* The log no longer has the records before offset first. */
	void (*truncated)(void *ctx, uint64_t first);
	/* The end was reached: all records before next were delivered. */
	void (*caught_up)(void *ctx, uint64_t next);
	/* Whether the log is reachable: after the first read and each change.
	 */
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

/* Called with the whole list after each successful read of it. */
typedef void (*hosts_seen_t)(void *ctx, const host_t *hosts, size_t n);

#endif
