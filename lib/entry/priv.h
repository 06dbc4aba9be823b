/* Types and functions shared by the files of lib/entry only. */
#ifndef ENTRY_PRIV_H
#define ENTRY_PRIV_H

#include "entry/fns.h"

enum {
	NO_SERVER_WAIT = 1000, /* ms without any sidecar of the version */
	RESUMES_MAX = 4,       /* resumes of one answer without progress */
	RETRY_DEFAULT = 1000,  /* ms, when no sidecar gave an estimate */
	NOT_RUN_PAUSE = 50,    /* ms without an offer to who did not run it */
	AGAIN_BEFORE = 50,     /* ms before a hold lapses */
	NO_ENGINE_PAUSE = 500, /* ms without an offer to who has no engine */
};

typedef struct request request_t;
typedef struct sidecar sidecar_t;

typedef enum request_state {
	REQUEST_CLAIMING, /* its Idempotency-Key is being claimed */
	REQUEST_WAITING,  /* offered to sidecars; never sent, or not run */
	REQUEST_SENT,	  /* the body went to one sidecar */
	REQUEST_STOPPED,  /* over for the caller; the sidecar is to stop it */
} request_state_t;

/* An offer of one request to one sidecar, or what came of it. */
typedef struct offer {
	list_t by_request;
	list_t by_sidecar;
	request_t *request;
	sidecar_t *sidecar;
	bool refused;
	code_t code;	 /* of the refusal */
	ms_t sent_at;	 /* holds are counted from here */
	ms_t hold_until; /* nothing lower is taken there until then */
	ms_t retry;	 /* ms, the sidecar's estimate */
} offer_t;

struct request {
	list_t link;	   /* in entry.requests, oldest first */
	list_t by_queue;   /* in its service's queue while claiming, waiting */
	list_t by_sidecar; /* in sidecar.sent once sent */
	list_t offers;
	rid_t rid;
	void *user;
	request_state_t state;
	submit_t s;    /* strings owned */
	char *picked;  /* version that pick_version gave; NULL any */
	char *version; /* version in use; NULL not chosen yet */
	char *server;  /* sidecar's name once sent */
	ms_t deadline;
	ms_t rest_at;	   /* end of the head start */
	ms_t lonely_since; /* no sidecar to offer to; -1 there is one */
	ms_t stopped_at;
	ms_t again_at;	  /* first refusal to ask again after */
	unsigned int out; /* offers without an answer */
	uint64_t filled;  /* entry.changes when last filled */
	bool widened;
	sidecar_t *sidecar; /* once sent */
	bool got_head;
	int status;
	uint64_t next;	/* number of the next chunk */
	uint64_t acked; /* number last acknowledged */
	ms_t acked_at;
	size_t unacked;	      /* bytes since then */
	unsigned int resumes; /* since the last progress */
};

/* A sidecar that is connected, or was so not long ago. */
struct sidecar {
	list_t link;
	list_t offers;
	list_t sent;
	uint64_t inc;
	char *name;
	char *data_center;
	bool up;
	bool known; /* its state came on this connection */
	bool leaving;
	ms_t down_since;
	char *service;
	char **versions;
	uint64_t speed;
	uint64_t limit;
	uint64_t used;
	uint64_t waiting;
	ms_t refuses_until[TIER_COUNT]; /* by a refusal of a higher tier */
	double runs;			/* decaying counts */
	double failures;
	ms_t rated_at;
	ms_t aside_until;
	ms_t no_engine_until; /* it said that its engine is down */
	unsigned int asides;  /* in a row */
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
	uint64_t next_seq;
	bool draining;
	size_t waiting;	  /* requests claiming or waiting */
	uint64_t changes; /* counts changes of the set of live sidecars */
	list_t requests;
	GHashTable *by_rid; /* of request_t */
	list_t sidecars;
	GHashTable *by_inc;  /* of sidecar_t */
	GHashTable *queues;  /* by service, of queue_t */
	GHashTable *lengths; /* by service and route, of double */
	counters_t *counters;
	counter_t *offers_sent;
	counter_t *refusals;
	counter_t *grants_late;
	counter_t *strays;
	counter_t *resumes;
	counter_t *out_of_order;
	counter_t *set_aside;
};

/* entry.c */
void sidecars_lose(entry_t *e, ms_t now);

/* request.c */
request_t *request_new(entry_t *e, const submit_t *s, void *user, ms_t now);
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
void sidecar_state(entry_t *e, sidecar_t *s, const msg_state_t *m);
void sidecar_leave(entry_t *e, sidecar_t *s);
void sidecar_forget_state(entry_t *e, sidecar_t *s);
void sidecar_rate(entry_t *e, sidecar_t *s, const char *version, bool ok,
		  ms_t now);

/* pick.c */
GPtrArray *pick_live(const entry_t *e, const request_t *r, ms_t now);
sidecar_t *pick_by_prefix(const GPtrArray *from, uint64_t prefix);
sidecar_t *pick_random(GRand *rand, GPtrArray *from);
bool pick_not_much_worse(const GPtrArray *from, const sidecar_t *s);
ms_t pick_retry(const entry_t *e, const char *service);

/* offer.c */
void offers_fill(entry_t *e, request_t *r, ms_t now);
void offers_widen(entry_t *e, request_t *r, ms_t now);
void offers_withdraw(entry_t *e, request_t *r);
void offer_drop(entry_t *e, offer_t *o, bool tell);
void offer_pause(request_t *r, sidecar_t *s, ms_t now);
void offer_granted(entry_t *e, sidecar_t *s, const msg_grant_t *m, ms_t now);
void offer_refused(entry_t *e, sidecar_t *s, const msg_refuse_t *m, ms_t now);

/* shed.c */
bool shed_if_refused(entry_t *e, request_t *r, const GPtrArray *live, ms_t now);
bool shed_make_room(entry_t *e, const submit_t *s, ms_t now);

/* answer.c */
void answer_recv(entry_t *e, sidecar_t *s, const msg_t *m, ms_t now);
void answer_resume(entry_t *e, request_t *r);
void answer_ack(entry_t *e, request_t *r, bool end, ms_t now);
void answer_expired(entry_t *e, request_t *r, ms_t now);

/* estimate.c */
uint64_t estimate_output(const entry_t *e, const submit_t *s);
void estimate_note(entry_t *e, const submit_t *s, uint64_t output_tokens);

#endif
