/* Shared by the stand-ins: an HTTP server, event logs, answers. */
#ifndef STAND_DAT_H
#define STAND_DAT_H

#include <h2o.h>
#include <uv.h>
#include "base/dat.h"

typedef struct hs hs_t;
typedef struct hs_req hs_req_t;

/* Called once for each request, its body read. */
typedef void (*hs_handler_t)(void *ctx, hs_req_t *r);
/* The request is over, or its connection closed; r is freed after this. */
typedef void (*hs_closed_t)(void *user, hs_req_t *r);

/* A request being answered. Strings live until it is closed. */
struct hs_req {
	h2o_generator_t gen;
	h2o_req_t *req;
	str_t method;
	str_t path;
	str_t query;
	str_t body;
	GString *out;	 /* waiting to be sent */
	GString *flight; /* being sent */
	size_t cut_at;	 /* close after so many bytes of body; 0 never */
	size_t sent;	 /* bytes of body handed to the connection */
	bool sending;
	bool final;
	bool muted; /* sends nothing more, stays open */
	hs_closed_t closed;
	void *user;
};

/* An HTTP server on a libuv loop, listening on 127.0.0.1. */
struct hs {
	uv_tcp_t listener;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	hs_handler_t handler;
	void *handler_ctx;
};

/* A line of an event log: its name and its key=value fields. */
typedef struct event {
	char *name;
	GHashTable *fields;
} event_t;

/* Event lines of callers, backend servers and scripts, in any order. */
typedef struct history {
	GPtrArray *events;	/* of event_t */
	GHashTable *dispatches; /* GPtrArray of event_t by request id */
} history_t;

/* What one invariant's check found. */
typedef struct verdict {
	const char *name;
	size_t histories;  /* cases looked at */
	size_t violations; /* of those */
	GString *detail;   /* a line for each violation */
} verdict_t;

enum {
	INVARIANT_COUNT = 9,
	/*
	 * Time between a decision and the dispatch event that a decision
	 * before it may still cause.
	 */
	DECISION_WINDOW_MS = 1000,
	LEAVING_WINDOW_MS = 3000, /* "after a few seconds" */
};

enum {
	ANSWER_TOKENS_MIN = 2, /* the marker and the end */
};

#endif
