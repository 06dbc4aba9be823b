/*
 * The edge host's proxy: connections from callers, connections to backend
 * servers, and the bytes between them. lib/edge decides what is done with a
 * request; the codec reads and writes the platform's header fields.
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

enum {
	PROMPT_PARTS_MAX = 64, /* of a prompt that are kept */
};

/* What the codec reads from the head of a caller's request. */
typedef struct call_info {
	str_t id; /* the caller's request id; empty when it gave none */
	str_t host;
	str_t target;	      /* path and query */
	str_t key;	      /* API key; empty: none */
	ms_t timeout;	      /* how long the caller waits; 0: not given */
	double prompt_tokens; /* 0: not given */
	double output_tokens; /* the caller's estimate; 0: not given */
	double output_tokens_max;
	bool resumes; /* continues a stream after last_event_id */
	uint64_t last_event_id;
	/* The prompt's parts, each once, in order, without the last. */
	trait_t parts[PROMPT_PARTS_MAX];
	size_t nparts;
	unsigned int parts_omitted; /* malformed, or beyond the bound */
} call_info_t;

/* What the codec reads from the head of a backend server's answer. */
typedef struct answer {
	str_t id;     /* of the request it answers; empty: not given */
	bool not_run; /* the server says that it did not run the request */
	bool has_signature; /* bears the server's signature field */
	bool wrong_server;  /* another server is at this address; not run */
	bool has_load;
	unsigned int running; /* requests, when has_load */
	unsigned int waiting;
	server_word_t word;
	bool has_idle_timeout;
	ms_t idle_timeout; /* the server closes an idle connection after this */
} answer_t;

/* What differs from one attempt of a request to the next. */
typedef struct send_info {
	const char *server;   /* id of the server it is meant for */
	const char *customer; /* NULL: none */
	ms_t time_left;	      /* until the deadline */
	bool resumes;	      /* continues a stream after last_event_id */
	uint64_t last_event_id;
	size_t body_bytes;
	bool has_body;
} send_info_t;

/* An answer that this host makes itself. */
typedef struct local_reply {
	int status;
	ms_t retry_after; /* when the caller should come back; 0: not given */
	str_t id;	  /* of the request; empty: none */
	const char *text; /* the body */
	bool head_only;	  /* the request was HEAD: the body is left out */
	ms_t keep_for;	  /* how long the connection may be idle; 0: it ends */
} local_reply_t;

/* Reads and writes the platform's heads. Given by the platform's adapter. */
typedef struct codec {
	/*
	 * Reads a caller's head into call, and appends to pass the request
	 * line and the header fields that every attempt carries.
	 */
	void (*read_call)(const http_head_t *h, call_info_t *call,
			  GByteArray *pass);
	/* Appends the header fields of one attempt and the empty line. */
	void (*write_send)(const send_info_t *info, GByteArray *out);
	void (*read_answer)(const http_head_t *h, answer_t *a);
	/* Appends a whole answer that this host makes itself. */
	void (*write_local_reply)(const local_reply_t *r, GByteArray *out);
} codec_t;

/* Callbacks of a connection that we opened. */
typedef struct hconn_ops {
	/* Returns true when no body follows. */
	bool (*head)(void *ctx, hconn_t *c, const http_head_t *h);
	void (*body)(void *ctx, hconn_t *c, str_t data);
	/* An answer is complete; keep: the connection may be used again. */
	void (*end)(void *ctx, hconn_t *c, bool keep);
	/*
	 * The connection failed or the other end closed it; it is freed after
	 * this. CODE_NOT_SENT: no byte of the request was written; CODE_CUT:
	 * a byte may have been; CODE_BAD_ANSWER: what came is not HTTP.
	 */
	void (*gone)(void *ctx, hconn_t *c, code_t code);
} hconn_ops_t;

typedef struct forward_conf {
	addr_t listen_addr;   /* where callers connect */
	ms_t connect_timeout; /* to a backend server */
	size_t connections_max;
	size_t memory;		/* of the host, in bytes; 0: not known */
	ms_t drain_accept_time; /* requests are still accepted for so long
				   after draining began */
} forward_conf_t;

#endif
