/* The rig's tables, shared by its files. */
#ifndef RIG_PRIV_H
#define RIG_PRIV_H

#include "rig/rig.h"

/* The two ends of a link, and so the two directions of its messages. */
enum {
	END_ENTRY = 0,
	END_SIDE = 1,
	ENDS = 2,
};

typedef enum event_type {
	EVENT_TICK,
	EVENT_STATE,
	EVENT_MSG,     /* to an end of a link */
	EVENT_UP,      /* the side learns of a new connection */
	EVENT_DOWN,    /* an end sees that its connection broke */
	EVENT_CONNECT, /* the entry tries to connect */
	EVENT_ENGINE,  /* a step of the engine ends */
	EVENT_NOT_SENT,
	EVENT_RESUME,
	EVENT_CUT_STREAM,
	EVENT_CLAIMED,
	EVENT_REVIVE,
} event_type_t;

typedef struct event {
	ms_t due;
	uint64_t order;
	event_type_t type;
	int end; /* which kind of node takes it */
	unsigned int entry;
	unsigned int side;
	uint64_t epoch; /* of the connection, or incarnation of the node */
	ms_t at;	/* when it would have arrived at an awake node */
	rid_t rid;
	uint64_t n;
	GByteArray *bytes;
} event_t;

typedef struct node {
	rig_t *rig;
	int end;
	unsigned int i;
	uint64_t inc;
	bool dead;
	ms_t paused_until;
	char name[16];
	counters_t *counters;
	entry_t *entry;
	side_t *side;
	engine_t *engine;
	ms_t engine_due; /* of the step that an event stands for */
	ms_t refuses_until;
	bool drained;
} node_t;

typedef struct rig_link {
	bool alive;
	uint64_t epoch;
	ms_t cut_at[ENDS]; /* later arrivals at that end are lost */
	ms_t last[ENDS];   /* latest arrival at that end so far */
	bool up[ENDS];
	uint64_t up_epoch[ENDS];
} rig_link_t;

struct rig {
	rig_conf_t conf;
	GRand *rand;
	ms_t now;
	GPtrArray *heap; /* of event_t */
	uint64_t order;
	uint64_t incs;
	uint64_t messages;
	node_t *entries;
	node_t *sides;
	rig_link_t *links;
	GPtrArray *requests;
	GHashTable *by_rid;
	decoder_t decoder;
};

/* queue.c */
event_t *event_push(rig_t *rig, event_type_t type, ms_t due);
void event_push_again(rig_t *rig, event_t *e, ms_t due);
event_t *event_pop(rig_t *rig, ms_t until);
void event_free(event_t *e);

/* link.c */
rig_link_t *link_of(rig_t *rig, unsigned int entry, unsigned int side);
void link_send(rig_t *rig, unsigned int entry, unsigned int side, int to,
	       const msg_t *m);
void link_connect(rig_t *rig, unsigned int entry, unsigned int side);
void link_plan(rig_t *rig, unsigned int entry, unsigned int side, ms_t due);
void link_cut(rig_t *rig, unsigned int entry, unsigned int side);
void link_side_up(rig_t *rig, const event_t *e);
void link_down(rig_t *rig, const event_t *e);
void link_deliver(rig_t *rig, const event_t *e);

/* node.c */
void node_start(node_t *n);
void node_stop(node_t *n);
void node_state(node_t *n, unsigned int entry);
void node_engine_plan(node_t *n);
void node_event(node_t *n, const event_t *e);

#endif
