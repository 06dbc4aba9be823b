/*
 * An edge host's connections: callers on one side, backend servers on the
 * other, and the bytes between them. What to do is decided in lib/edge; how
 * requests and answers are spelled is the codec's.
 */
#ifndef FORWARD_DAT_H
#define FORWARD_DAT_H

#include <uv.h>
#include "edge/dat.h"
#include "http/fns.h"

typedef struct forward forward_t;
typedef struct hconn hconn_t;
typedef struct caller caller_t;
typedef struct exchange exchange_t;

/* What a caller's request says, beside what is passed on as it is. */
typedef struct call {
	str_t id; /* of this try of the caller; empty when it gave none */
	str_t host;
	str_t target;  /* path and query */
	str_t key;     /* empty: none */
	ms_t patience; /* how long the caller waits; 0 not said */
	double prompt; /* tokens; 0 not said */
	double output; /* tokens, the caller's estimate */
	double output_max;
	bool resumes; /* goes on after an event that it has */
	uint64_t last_event;
} call_t;

/* What a backend server's head says, beside what is passed on as it is. */
typedef struct answer {
	str_t id;     /* of the request it belongs to; empty: not said */
	bool not_run; /* the server says that it did not run the request */
	bool stamped; /* bears the server's signature */
	bool wrong;   /* another server is at this address; not run */
	bool has_load;
	unsigned int running;
	unsigned int waiting;
	bool has_idle;
	ms_t idle; /* the server closes the connection after this */
} answer_t;

/* What differs from one send of a request to the next. */
typedef struct send_info {
	const char *server;   /* id of the server it is meant for */
	const char *customer; /* NULL: none */
	ms_t left;	      /* time left */
	bool resumes;
	uint64_t last_event;
	size_t body; /* bytes */
	bool has_body;
} send_info_t;

/* How requests and answers are spelled. Given by the platform's adapter. */
typedef struct codec {
	/*
	 * Reads a caller's head into call, and appends to pass the request
	 * line and the fields that every send of it bears.
	 */
	void (*read_call)(const http_head_t *h, call_t *call, GByteArray *pass);
	/* Appends the fields of one send, and the head's end. */
	void (*write_send)(const send_info_t *info, GByteArray *out);
	void (*read_answer)(const http_head_t *h, answer_t *a);
	/* Appends an answer of our own. after: when to come back; 0 none. */
	void (*write_own)(int status, ms_t after, str_t id, const char *text,
			  bool close, GByteArray *out);
} codec_t;

/* What happens on a connection that we opened. */
typedef struct hconn_ops {
	/* Returns true when no body follows. */
	bool (*head)(void *ctx, hconn_t *l, const http_head_t *h);
	void (*body)(void *ctx, hconn_t *l, str_t data);
	/* A message is complete; keep: the connection may be used again. */
	void (*end)(void *ctx, hconn_t *l, bool keep);
	/*
	 * The connection is gone; the link is freed after this. CODE_NOT_SENT:
	 * no byte of the request was written; CODE_CUT; CODE_BAD_ANSWER.
	 */
	void (*gone)(void *ctx, hconn_t *l, code_t code);
} hconn_ops_t;

typedef struct forward_conf {
	addr_t callers;	   /* where callers connect */
	ms_t connect_time; /* a server that takes longer is given up */
	size_t connections_max;
	ms_t stop_wait; /* requests are taken for so long after the order to
			   stop */
} forward_conf_t;

#endif
