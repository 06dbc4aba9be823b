/*
 * The soak: a platform's store, backend servers and callers in one process,
 * around the real daemons as processes of their own, with faults by a seed.
 */
#ifndef SOAK_DAT_H
#define SOAK_DAT_H

#include <uv.h>
#include "forward/fns.h"
#include "net/fns.h"

enum {
	EDGES_MAX = 24,
	SERVERS_MAX = 64,
	CALLERS_MAX = 200,
	NAME_MAX_BYTES = 64,
	PLACES = 4,	    /* of each server */
	QUEUE_MAX = 12,	    /* requests waiting in a server */
	EVENTS = 12,	    /* of each stream */
	EVENT_MS = 8,	    /* between them */
	WORK_MS = 12,	    /* of a plain call */
	STEP_MORE_MS = 100, /* more of both at most, with planned stops only */
	PAUSE_MS = 1500,    /* the same of a tenth of the steps */
	TIMEOUT_MS = 1500,  /* of every route */
	LONG_TIMEOUT_MS = 9000, /* the same with planned stops only */
	HEARTBEAT_MS = 300,	/* of the servers' entries */
	LIMITED_EVERY =
		8, /* of so many callers one is of the limited customer */
	LIMIT_PER_S = 30,	/* of that customer, and its burst */
	COLD_MS = 2000,		/* of a model server after its start */
	COLD_PER_S = 8,		/* requests that it takes meanwhile */
	QUOTA_WINDOW_MS = 8000, /* as the daemons have it by default */
};

typedef struct soak soak_t;

/* A connection taken by one of our listeners. */
typedef struct sconn {
	uv_tcp_t tcp;
	list_t link;
	struct listen *at;
	http_reader_t in;
	writer_t out;
	GByteArray *pending; /* while a request is being answered */
	http_head_t *head;   /* of the request being read; its strings owned */
	GByteArray *copy;    /* what the head points into */
	GByteArray *body;
	GString *late; /* a second answer, sent before the next; NULL none */
	void *job;     /* what answers the present request */
	bool closed;
	bool mute; /* reads and writes nothing more, stays open */
} sconn_t;

/* A listener and what it does with requests. */
typedef struct listen {
	uv_tcp_t *tcp;
	soak_t *s;
	list_t conns;
	addr_t addr;
	bool open;
	void *owner;
	void (*request)(sconn_t *c);
	void (*gone)(sconn_t *c);
} listen_t;

/* What a topic knows of a producer, whose epochs have one append each. */
typedef struct producer {
	uint64_t epoch; /* the highest */
	uint64_t first; /* offset of its append */
} producer_t;

/* A record of a topic; no value: the key was dropped. */
typedef struct rec {
	char *key;
	char *value;
	uint64_t number;
	ms_t written_at;
} rec_t;

typedef struct topic {
	char *name;
	GPtrArray *recs;       /* of rec_t */
	uint64_t first;	       /* offset of the oldest that is kept */
	GHashTable *newest;    /* rec_t by key */
	GHashTable *producers; /* producer_t by name */
} topic_t;

typedef enum store_state {
	STORE_UP,
	STORE_BUSY,   /* answers 503 */
	STORE_SILENT, /* answers nothing */
	STORE_RESET,  /* resets connections */
} store_state_t;

typedef struct store {
	listen_t at;
	GHashTable *topics;
	ms_t changed_at;    /* its state */
	unsigned int era;   /* how often it came back from a copy */
	char era_field[32]; /* of its answers */
	/* A decision on a rollout was written; NULL: nobody asks */
	void (*on_decision)(soak_t *s, const char *text);
	store_state_t state;
} store_t;

/* What a server says of itself in its answers. */
typedef enum said {
	SAID_NOTHING,
	SAID_LIMIT,
	SAID_LEAVING,
	SAID_PAUSE,
	SAIDS,
} said_t;

/* A request that has reached a server. */
typedef struct arrival {
	ms_t at;
	unsigned int edge;
} arrival_t;

typedef struct word_s {
	said_t says;
	ms_t from;
	ms_t lapse_at; /* its entry lapses, until the next heartbeat; 0 not */
	ms_t told[EDGES_MAX];		 /* the first answer with it; 0 none */
	unsigned int reached[EDGES_MAX]; /* requests in the pause */
	GArray *arrivals;		 /* arrival_t since from */
} word_s_t;

/* A backend server, for streams or plain calls. */
typedef struct server {
	soak_t *s;
	listen_t at;
	unsigned int index;
	bool stream;
	bool target; /* of the version that moves go to */
	char id[NAME_MAX_BYTES];
	unsigned int life; /* how often it was started */
	uint64_t seq;
	unsigned int running;
	list_t queued; /* job_t */
	list_t jobs;
	bool up;
	bool leaving;
	ms_t lapse_at;	  /* its entry lapses after a crash; 0 not */
	ms_t back_at;	  /* it starts again after a crash; 0 not */
	bool keeps_id;	  /* it starts again with the id that it had */
	bool mute;	  /* runs, but answers nothing */
	ms_t pause_until; /* sends nothing before; goes on then */
	double cut;	  /* share of answers that are reset midway */
	double fails;	  /* share of runs that end with 500 */
	double extra;	  /* share of answers that come twice */
	double unframed;  /* share of answers without a length */
	double floods;	  /* share of answers that do not end */
	double sheds; /* share of requests turned away, half of them twice */
	word_s_t word;
	ms_t started_at;
	GArray *arrivals; /* ms_t, of the last second */
} server_t;

/* Where the bytes of an answer that does not end come. */
typedef enum flood {
	FLOOD_NONE,
	FLOOD_HEAD,
	FLOOD_BODY,
	FLOOD_EVENT,
	FLOODS,
} flood_t;

/* What of a request ends the servers that run it. */
typedef enum bane {
	BANE_NONE,
	BANE_PART, /* of its prompt */
	BANE_SAFE, /* it is a repeat of one request, of a kind each */
	BANE_ONCE,
	BANE_STREAM,
	BANES,
} bane_t;

/* A run of a request at a server. */
typedef struct job {
	list_t link;
	uv_timer_t timer;
	server_t *at;
	sconn_t *c; /* NULL once the caller is gone */
	char *id;
	unsigned int next; /* event to send */
	flood_t flood;
	bool started;
	bane_t bane;
	bool counted;
	ms_t gone_at; /* its connection closed; 0 not */
} job_t;

typedef enum kind {
	KIND_SAFE,
	KIND_ONCE,
	KIND_STREAM, /* may go on elsewhere */
	KINDS,
} kind_t;

/* A daemon of ours. */
typedef struct proc {
	soak_t *s;
	uv_process_t handle;
	char name[NAME_MAX_BYTES];
	char *ini;
	bool edge;
	bool running;
	bool stopping;	    /* SIGTERM was sent */
	ms_t term_at;	    /* when; 0 not */
	ms_t stopped_until; /* SIGSTOP was sent; 0 not */
	ms_t start_at;	    /* to be started again; 0 not */
	ms_t disturbed_at;  /* last start, end, pause or wake */
	addr_t callers;
	addr_t ready;
	unsigned int starts;
} proc_t;

/* A caller: one request at a time. */
typedef struct caller_s {
	soak_t *s;
	hconn_t *conn;
	uv_timer_t timer;
	proc_t *to;
	kind_t kind;
	char id[NAME_MAX_BYTES];
	int status;
	GString *body;
	GString *stamp;
	bool limited; /* of the customer with a limit */
	bane_t bane;  /* of its requests */
	bool quits;   /* leaves before the answer */
	bool waiting;
	ms_t sent_at;
	ms_t quit_at;
	unsigned int on_conn; /* requests sent on the connection */
} caller_s_t;

/* What became of a request: every run and every answer. */
typedef struct fate {
	kind_t kind;
	unsigned int runs;
	unsigned int running;
	ms_t worked_until; /* when the last run ended */
	bool limited;	   /* of the customer with a limit */
	proc_t *to;	   /* the edge that it was sent to */
	ms_t sent_at;
	bool said_not_run;
	bool answered;
} fate_t;

/* What requests that end servers have done. */
typedef struct poison {
	GRand *rand;
	unsigned int callers;	     /* with the part */
	unsigned int repeats;	     /* callers that repeat a request */
	unsigned int crashes[BANES]; /* of servers */
	ms_t known_at[BANES];	     /* must be known from here on; 0 not yet */
	unsigned int reached[BANES]; /* requests that reached servers since */
} poison_t;

/* The operator's move of the plain servers to another version. */
typedef struct move_s {
	unsigned int orders;
	uint64_t decided; /* the newest order that a decision is on */
	uint64_t before;  /* the same when the last order was given */
	bool bad;	  /* the target fails most requests */
	bool ended;	  /* its status is final */
	ms_t reversed_at; /* 0 not */
} move_s_t;

struct soak {
	uv_loop_t loop;
	uv_timer_t tick;
	GRand *rand;
	GRand *faults;
	GRand *floods; /* apart, so that a seed's other faults stay */
	GRand *sheds;  /* the same */
	GRand *drills; /* the same; NULL: the store is never restored */
	uint64_t seed;
	const char *daemon;
	char *dir;
	uint16_t port; /* of the hosts' own connections, the same everywhere */
	unsigned int net; /* second byte of all addresses but the store's */
	store_t store;
	proc_t procs[EDGES_MAX + SERVERS_MAX];
	unsigned int nprocs;
	unsigned int nedges;
	server_t servers[SERVERS_MAX];
	unsigned int nservers;
	caller_s_t callers[CALLERS_MAX];
	unsigned int ncallers;
	move_s_t move;
	poison_t poison;
	uint64_t version;     /* of the configuration */
	GHashTable *fates;    /* fate_t by request id */
	GArray *limited_sent; /* ms_t, when the limited customer's requests that
				 ran were sent */
	uint64_t next_id;
	ms_t started;
	ms_t faults_end; /* no more faults from here on */
	ms_t calm_at;	 /* what is asked from here on is judged */
	ms_t end_at;
	ms_t next_fault;
	unsigned int nfaults;
	size_t memory_most; /* bytes of any daemon */
	bool replaces;	    /* orders replace one another as they end */
	bool pauses_only;   /* servers that pause are the only fault */
	bool words_only;    /* what servers say is the only fault */
	said_t together;    /* that many servers say at once is the only fault,
			       beside killed edges */
	bool evacuates;	    /* a data centre is evacuated or comes back cold,
			       and edges are killed; no other fault */
	ms_t evacuated_at;  /* the order; 0: it was withdrawn */
	unsigned int violations;
	unsigned int done[KINDS];
	unsigned int good[KINDS];
	unsigned int calm_done;
	unsigned int calm_good;
	bool ended;
	bool stops;		/* planned stops of edges are the only faults */
	ms_t grace;		/* of the daemons, from SIGTERM to their end */
	ms_t timeout;		/* of every route */
	unsigned int next_stop; /* edge */
};

#endif
