/* Types and functions shared by the files of lib/entry only. */
#ifndef ENTRY_PRIV_H
#define ENTRY_PRIV_H

#include "entry/fns.h"

enum {
	NO_SERVER_WAIT = 1000,	    /* ms without any sidecar of the version */
	RESUMES_MAX = 4,	    /* resumes of one answer without progress */
	RETRY_AFTER_DEFAULT = 1000, /* ms, when no sidecar gave an estimate */
	NOT_RUN_PAUSE = 50,	    /* ms before a new offer after a not-run */
	REOFFER_LEAD = 50,	    /* ms before a hold ends */
	NO_ENGINE_PAUSE = 500, /* ms without offers while its engine is down */
};

typedef struct request request_t;
typedef struct sidecar sidecar_t;

typedef enum request_state {
	REQUEST_CLAIMING, /* its Idempotency-Key is being claimed */
	REQUEST_WAITING,  /* offered to sidecars; never sent, or not run */
	REQUEST_SENT,	  /* the body went to one sidecar */
	REQUEST_STOPPED,  /* over for the caller; the sidecar is to cancel it */
} request_state_t;

/* An offer of one request to one sidecar, pending or refused. */
typedef struct offer {
	list_t by_request; /* in request.offers */
	list_t by_sidecar; /* in sidecar.offers */
	request_t *request;
	sidecar_t *sidecar;
	bool refused;
	code_t code;	  /* of the refusal */
	ms_t sent_at;	  /* holds are counted from here */
	ms_t hold_until;  /* the sidecar takes no lower tier until then */
	ms_t retry_after; /* ms, the sidecar's estimate */
} offer_t;

struct request {
	list_t link;	   /* in entry.requests, oldest first */
	list_t by_queue;   /* in its service's queue while claiming, waiting */
	list_t by_sidecar; /* in sidecar.sent once sent */
	list_t offers;
	rid_t rid;
	void *user; /* handed back to the caller's callbacks */
	request_state_t state;
	submission_t sub;     /* strings owned */
	char *picked_version; /* that pick_version gave; NULL any */
	char *version;	      /* version in use; NULL not chosen yet */
	char *server;	      /* sidecar's name once sent */
	ms_t deadline;
	ms_t head_start_end;   /* of the prefix's sidecar; 0 none */
	ms_t no_sidecar_since; /* no sidecar to offer to; -1 there is one */
	ms_t stopped_at;
	ms_t reoffer_at;	     /* first time to repeat a refused offer */
	unsigned int pending_offers; /* without an answer */
	uint64_t changes_seen; /* entry.sidecar_changes at the last fill */
	bool widened;	       /* offered to all live sidecars */
	sidecar_t *sidecar;    /* once sent */
	bool got_head;
	int status;
	uint64_t next_seq;  /* number of the next chunk */
	uint64_t acked_seq; /* number last acknowledged */
	ms_t acked_at;
	size_t unacked;	      /* bytes since then */
	unsigned int resumes; /* since the last progress */
};

/* A sidecar that is connected, or was so not long ago. */
struct sidecar {
	list_t link;
	list_t offers;
	list_t sent; /* requests */
	uint64_t inc;
	char *name;
	char *data_center;
	bool up;
	bool state_known; /* its state came on this connection */
	bool leaving;
	ms_t down_since;
	char *service;
	char **versions;
	/* As last reported, in tokens of work, or requests if plain. */
	uint64_t speed; /* of one stream, a second; 0 unknown */
	uint64_t limit;
	uint64_t used;
	uint64_t waiting;
	ms_t refuses_until[TIER_COUNT]; /* by a refusal of a higher tier */
	double runs;	 /* of requests, decaying with RATE_HALF_LIFE */
	double failures; /* likewise */
	ms_t decayed_at;
	ms_t ejected_until;
	ms_t no_engine_until;	/* it said that its engine is down */
	unsigned int ejections; /* in a row */
};

/* Requests of one service that are not sent yet, newest last. */
typedef struct queue {
	list_t tiers[TIER_COUNT];
} queue_t;

struct entry {
	entry_conf_t conf;
	char *data_center;
	entry_ops_t ops;
	void *ctx;
	GRand *rand;
	uint64_t next_seq; /* of the next request's id */
	bool draining;
	size_t waiting;		  /* requests claiming or waiting */
	uint64_t sidecar_changes; /* changes of the set of live sidecars */
	list_t requests;
	GHashTable *by_rid; /* of request_t */
	list_t sidecars;
	GHashTable *by_inc;	    /* of sidecar_t */
	GHashTable *queues;	    /* by service, of queue_t */
	GHashTable *output_lengths; /* by service and route, of double */
	counters_t *counters;
	counter_t *offers_sent;
	counter_t *refusals;
	counter_t *grants_late;
	counter_t *stray_messages;
	counter_t *resumes;
	counter_t *shed_unasked; /* before all sidecars had refused */
	counter_t *ejections;
};

/* entry.c */
void sidecars_drop_disconnected(entry_t *e, ms_t now);

/* request.c */
request_t *request_new(entry_t *e, const submission_t *s, void *user, ms_t now);
request_t *request_find(const entry_t *e, rid_t rid);
void request_free(entry_t *e, request_t *r);
void request_set_waiting(entry_t *e, request_t *r);
void request_set_sent(entry_t *e, request_t *r, sidecar_t *s);
void request_end(entry_t *e, request_t *r, code_t code, ms_t retry_after);
void request_abandon(entry_t *e, request_t *r, code_t code, ms_t now);
void request_stop(entry_t *e, request_t *r, ms_t now);
void request_drop_body(request_t *r);
void request_send_cancel(entry_t *e, const request_t *r);
queue_t *queue_get(entry_t *e, const char *service);
outcome_t request_outcome(const request_t *r, code_t code, ms_t retry_after);

/* sidecar.c */
sidecar_t *sidecar_new(entry_t *e, uint64_t inc, const char *name,
		       const char *data_center);
void sidecar_free(entry_t *e, sidecar_t *s);
bool sidecar_serves(const sidecar_t *s, const char *service,
		    const char *version);
void sidecar_set_state(entry_t *e, sidecar_t *s, const msg_state_t *m);
void sidecar_set_leaving(entry_t *e, sidecar_t *s);
void sidecar_forget_state(entry_t *e, sidecar_t *s);
void sidecar_count_run(entry_t *e, sidecar_t *s, const char *version, bool ok,
		       ms_t now);

/* pick.c */
GPtrArray *pick_live(const entry_t *e, const request_t *r, ms_t now);
sidecar_t *pick_by_prefix(const GPtrArray *from, uint64_t prefix);
sidecar_t *pick_random(GRand *rand, GPtrArray *from);
bool pick_load_acceptable(const GPtrArray *from, const sidecar_t *s);
ms_t pick_retry_after(const entry_t *e, const char *service);

/* offer.c */
void offers_fill(entry_t *e, request_t *r, ms_t now);
void offers_widen(entry_t *e, request_t *r, ms_t now);
void offers_withdraw(entry_t *e, request_t *r);
void offer_drop(entry_t *e, offer_t *o, bool withdraw);
void offer_pause(request_t *r, sidecar_t *s, ms_t now);
void offer_granted(entry_t *e, sidecar_t *s, const msg_grant_t *m, ms_t now);
void offer_refused(entry_t *e, sidecar_t *s, const msg_refuse_t *m, ms_t now);

/* shed.c */
bool shed_if_refused(entry_t *e, request_t *r, const GPtrArray *live, ms_t now);
bool shed_make_room(entry_t *e, const submission_t *s, ms_t now);

/* answer.c */
void answer_recv(entry_t *e, sidecar_t *s, const msg_t *m, ms_t now);
void answer_resume(entry_t *e, request_t *r);
void answer_ack(entry_t *e, request_t *r, bool end, ms_t now);
void answer_expired(entry_t *e, request_t *r, ms_t now);

/* estimate.c */
uint64_t estimate_output(const entry_t *e, const submission_t *s);
void estimate_learn(entry_t *e, const submission_t *s, uint64_t output_tokens);

#endif
