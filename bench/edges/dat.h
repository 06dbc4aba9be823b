/*
 * Edges, keepers and model engines in virtual time: how many callers are
 * served, by kind, under loads and ways of placing.
 */
#ifndef EDGES_DAT_H
#define EDGES_DAT_H

#include "edge/fns.h"
#include "keeper/fns.h"
#include "rig/rig.h"

enum {
	KINDS = 3,
	HOSTS_MAX = 128,
	WAY_MS = 1,	/* of a message between two hosts, one way */
	STORE_MS = 100, /* from a host through the store to all */
	POISON = 0xbad, /* a part or content that crashes engines */
};

/* A kind of request, as the sheet of kockarna-hinge has it. */
typedef struct kind {
	const char *name;
	double part;   /* of all requests */
	double prompt; /* tokens, mean */
	double output; /* tokens, mean */
	ms_t target;   /* to the first event */
	ms_t deadline;
} kind_t;

extern const kind_t kinds[KINDS];

typedef enum way {
	WAY_KEEPERS,	 /* places granted beside each engine */
	WAY_ESTIMATES,	 /* edges alone, by the loads that answers tell */
	WAY_LEAST_LOAD,	 /* at once, to the least load reported */
	WAY_ROUND_ROBIN, /* at once, in turn */
	WAYS,
} way_t;

/* A fleet, its load and how requests are placed. */
typedef struct play {
	way_t way;
	unsigned int hosts;
	unsigned int engines;
	unsigned int subset; /* engines that a host uses */
	bool uneven;	     /* bursts come to a fifth of the hosts */
	double load;	     /* 1: what the engines carry */
	ms_t span;	     /* in which requests come */
	unsigned int seed;
	double poison_per_s; /* requests with the part that crashes engines */
	bool reports;	     /* hosts read each other's reports of crashes */
	bool repeats;  /* bad requests are one that repeats, with sound parts */
	bool plain;    /* prompts have no parts */
	ms_t store_ms; /* from a host through the store to all */
	bool cut;      /* the first host does not reach the store */
	unsigned int rest; /* engines that want nothing for a while */
	bool lapses;	   /* their entries lapse and come back */
} play_t;

/* What callers of a kind got. */
typedef struct got {
	unsigned int asked;
	unsigned int in_time; /* first event within the target, and whole */
	unsigned int whole;
} got_t;

typedef struct result {
	got_t kinds[KINDS];
	unsigned int crashes;
	unsigned int poison_late; /* bad requests sent later than 3 s after the
				     last crash that may happen */
	unsigned int sound;	  /* others, from 6 s after it */
	unsigned int sound_begun; /* at the first attempt */
	unsigned int turned_away;
	unsigned int rest_reached; /* the most of a host in an engine's pause */
} result_t;

/* A request and its caller's view. */
typedef struct item {
	request_t r;
	unsigned int number; /* in world_t.items */
	unsigned int kind;
	unsigned int host;
	unsigned int engine; /* where it runs */
	double output;	     /* tokens, really */
	ms_t first_at;	     /* 0 none */
	bool whole;
	bool over;
	bool poison;
	bool at_engine;
	trait_t parts[3];
} item_t;

/* A message on its way, or a report of loads. */
typedef struct note {
	enum { NOTE_SEND, NOTE_ASK, NOTE_GRANT, NOTE_RELEASE } what;
	ms_t at;
	item_t *item;
	unsigned int engine;
	keeper_request_t ask;
} note_t;

/* When an engine told a host that it wants nothing, and what came since. */
typedef struct told {
	ms_t at; /* 0: it has not */
	unsigned int reached;
} told_t;

/* An engine with its keeper. */
typedef struct seat {
	struct world *w;
	unsigned int number;
	engine_t *engine;
	keeper_t *keeper;
	unsigned int reported; /* load */
	bool crashes;	       /* at the end of this ms */
	ms_t up_at;	       /* it has crashed until then; 0: it is up */
	ms_t started;
	told_t told[HOSTS_MAX];
} seat_t;

typedef struct host {
	struct world *w;
	char name[16];
	edge_t *edge;
	unsigned int turn;
	guint read; /* of the records */
} host_t;

/* A record of the store: a report of a crash, or an answered part. */
typedef struct record {
	ms_t at;
	const char *host; /* NULL: answered */
	char *server;
	int64_t started;
	GArray *parts; /* of trait_t */
} record_t;

typedef struct world {
	play_t play;
	ms_t now;
	GRand *rand;
	host_t *hosts;
	seat_t *seats;
	GQueue notes; /* note_t, in order of time */
	GPtrArray *items;
	counters_t *counters;
	GArray *records; /* record_t */
	result_t result;
	ms_t last_crash; /* of those that may happen */
} world_t;

#endif
