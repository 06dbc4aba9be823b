/* Connections over libuv: authenticated peers, and an HTTP client. */
#ifndef NET_DAT_H
#define NET_DAT_H

#include <uv.h>
#include "conf/dat.h"
#include "wire/dat.h"

/* Of connections between edge hosts and keepers. */
enum {
	PEER_HEARTBEAT_MS = 800,
	/*
	 * After which a connection is replaced. A host waits as long before it
	 * joins another quota server, so it is the same at both ends.
	 */
	PEER_SILENT_MS = 2500,
};

/* What the next read of a connection finds. */
typedef enum tcp_unread {
	TCP_UNREAD_NONE,
	TCP_UNREAD_BYTES,
	TCP_UNREAD_END,	  /* the other end closed it in order */
	TCP_UNREAD_ERROR, /* reset, or another error */
} tcp_unread_t;

typedef struct peers peers_t;
typedef struct httpc httpc_t;
typedef struct worker worker_t;
typedef struct httpc_req httpc_req_t;

/*
 * What a process learns of its connections. A peer is known by its incarnation;
 * up and down alternate for each. Strings live during the call only.
 */
typedef struct peers_ops {
	void (*up)(void *ctx, const msg_hello_t *who);
	/*
	 * silent: the peer may not know that the connection is down, since
	 * nothing came from it for too long; otherwise it ended the connection
	 * or is gone.
	 */
	void (*down)(void *ctx, uint64_t inc, bool silent);
	void (*recv)(void *ctx, uint64_t inc, const msg_t *m);
} peers_ops_t;

/* A kind of computation that a thread does. */
typedef struct worker_ops {
	/* In the thread: makes the result. May use nothing but its input. */
	void *(*run)(void *input);
	/* In the loop: takes the result over; the input is freed after it. */
	void (*done)(void *ctx, const void *input, void *output);
	void (*input_free)(void *input);
	void (*output_free)(void *output); /* of a result that is dropped */
} worker_ops_t;

typedef struct peers_conf {
	role_t role;
	const char *name;
	const char *data_center;
	uint64_t inc;
	str_t key;
	size_t frame_max; /* bytes */
	size_t queue_max; /* bytes waiting to be written to one peer */
	ms_t heartbeat;
	ms_t silent;
	ms_t retry_base; /* backoff of connection attempts */
	ms_t retry_max;
	/*
	 * Incoming connections that are not authenticated yet. After a start of
	 * all, all hosts come to a process at once.
	 */
	size_t greetings_max;
} peers_conf_t;

/* An HTTP request to a backend server or the platform. */
typedef struct httpc_call {
	addr_t to;
	const char *method;
	const char *path;
	const char *headers; /* "Name: value\r\n" lines, or NULL */
	str_t body;	     /* copied */
	ms_t silent;	     /* give up after so long without a byte; 0 never */
	size_t answer_max;   /* bytes of the body; 0: no limit */
} httpc_call_t;

/*
 * Results of a call. head and data may never come; end comes exactly once,
 * unless httpc_cancel came first. Codes of end: CODE_OK (whole by
 * Content-Length or chunked coding), CODE_NOT_SENT (no byte was written),
 * CODE_CUT (closed early), CODE_SILENT, CODE_BAD_ANSWER (over a limit).
 */
typedef struct httpc_ops {
	void (*head)(void *ctx, int status, str_t content_type);
	void (*data)(void *ctx, str_t data);
	void (*end)(void *ctx, code_t code);
} httpc_ops_t;

/* A process's periodic work. */
typedef struct ticker {
	uv_timer_t timer;
	tick_t tick;
	void (*fn)(void *ctx, ms_t now);
	void *ctx;
	hist_t *gap_ms; /* between two ticks: the longest turns of the loop */
	counter_t *skipped;
} ticker_t;

/* The clients of one service in this process. */
typedef struct reach {
	list_t members;
} reach_t;

typedef struct reach_member {
	list_t link;
	/* Another client got an answer to a call that was sent then. */
	void (*answered)(void *ctx, ms_t sent, ms_t now);
	void *ctx;
} reach_member_t;

#endif
