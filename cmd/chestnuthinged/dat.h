/* Types of the daemon: one process in the role of an entry or a sidecar. */
#ifndef DAEMON_DAT_H
#define DAEMON_DAT_H

#include <h2o.h>
#include "entry/fns.h"
#include "ledger/fns.h"
#include "move/fns.h"
#include "net/fns.h"
#include "platform/fns.h"
#include "side/fns.h"

typedef struct daemon daemon_t;
typedef struct web web_t;
typedef struct reply reply_t;
typedef struct entryd entryd_t;
typedef struct sided sided_t;
typedef struct backend backend_t;
typedef struct state state_t;
typedef struct plat plat_t;
typedef struct gossip gossip_t;
typedef struct orders orders_t;
typedef struct stats stats_t;

/* Key of the fact with the largest accepted offset of the config stream. */
#define CONFIG_FACT "conf"

enum {
	DEADLINE_MAX = 3600 * 1000, /* ms, that a caller may ask for */
	RETRY_AFTER_MIN = 1000,	    /* ms */
};

/* How a request ended, as the header Chestnuthinge-Outcome names it. */
typedef enum outcome_kind {
	OUTCOME_ANSWERED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
} outcome_kind_t;

/* An open HTTP request of a caller. It lives as long as h2o's request. */
struct reply {
	h2o_generator_t generator;
	list_t link; /* of all open replies */
	web_t *web;
	h2o_req_t *req;
	bool streamed;	     /* pass data on as it comes */
	bool started;	     /* the head was sent */
	bool ended;	     /* no more data is accepted */
	bool busy;	     /* h2o has not yet written the last data */
	bool end_after_data; /* end the answer once data is written */
	bool abort_pending;  /* abort the answer once h2o is not busy */
	bool overflowed; /* data passed data_max: the caller does not read */
	ms_t sent_at;	 /* when h2o was last given data */
	int status;
	char *content_type;
	GByteArray *data;    /* waiting to be sent */
	GByteArray *sending; /* owned by h2o while busy */
	size_t data_max;     /* bytes */
	/* The caller is gone or too slow. Called at most once. */
	void (*on_gone)(void *ctx, reply_t *r);
	void *ctx;
	/* Set by the entry. */
	rid_t rid;
	char *service;
	bool model;
	int tier;
	ms_t began;
	ms_t first_at; /* the first data came; -1 not yet */
	ms_t last_at;  /* the last data came */
	uint64_t chunks;
	ms_t first_token_target; /* ms; 0 none */
	ms_t token_gap_target;	 /* ms; 0 none */
};

/* An HTTP server on one address. */
struct web {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	uv_timer_t sweep;
	list_t replies;
	list_t conns;
	size_t connections;
	size_t connections_max;
	size_t header_max; /* bytes */
	size_t answer_max; /* bytes */
	bool listening;
	void (*handle)(void *ctx, reply_t *r);
	void *ctx;
	counter_t *refused;
	counter_t *badly_framed; /* requests */
};

/* What the scheduler needs of a chat request. */
typedef struct chat {
	char *model;
	bool stream;
	uint64_t max_tokens;	/* 0: none given */
	uint64_t prompt_tokens; /* estimated */
	uint64_t prefix;	/* hash of the prompt's start */
} chat_t;

/* A checked request; owns the strings that submit points to. */
typedef struct call {
	submission_t submit;
	const service_t *service; /* NULL before it is found */
	char *path;		  /* as given, with its query */
	char *normalized_path;	  /* without query, escapes and dot segments */
	char *method;
	char *content_type;
	char *key;
	code_t code; /* why it is refused; CODE_OK: it is accepted */
	ms_t retry;  /* ms until a retry may succeed; 0 unknown */
	const char *message;
} call_t;

struct daemon {
	settings_t *set;
	uv_loop_t loop;
	counters_t *counters;
	stats_t *stats;
	uint64_t inc; /* incarnation: random, new at each start */
	httpc_t *http;
	peers_t *peers;
	web_t web;
	state_t *state;
	plat_t *plat;
	gossip_t *gossip;
	entryd_t *entry; /* NULL for a sidecar */
	sided_t *side;	 /* NULL for an entry */
	ticker_t ticker;
	uv_signal_t term;
	uv_signal_t intr;
	bool leaving;  /* draining: takes no new work, but stays up */
	bool stopping; /* draining, and exits once its work is done */
	bool ended;
};

#endif
