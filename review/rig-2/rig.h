/*
 * A small deployment for a case: the project's own programs as processes, and
 * stand-ins for the store, the servers and the clients in this one.
 */
#ifndef RIG_H
#define RIG_H

#include "soak/fns.h"

enum {
	FRONTS = 5,
	SIDES = 4, /* model servers, a keeper beside each */
	DAEMONS_MAX = FRONTS + SIDES + 2,
	BACKENDS_MAX = 24,
	ID_BYTES = 32,
	SERVER_BEAT_MS = 1200,
	RIG_HELD = 0, /* exit codes */
	RIG_BROKEN = 1,
	RIG_NOT_RUN = 2,
	CONFIG_MS = 2000, /* the bounds of a small deployment */
	STABLE_MS = 3000,
};

typedef struct rig rig_t;
typedef struct ask ask_t;

/* A server of a service. */
typedef struct backend_s {
	rig_t *rig;
	listen_t at;
	char id[ID_BYTES];
	const char *service;
	const char *version;
	bool model;
	bool unlisted; /* writes no entry */
	bool renames;  /* each start has a new id */
	bool alone;    /* crashes only while it runs nothing else */
	unsigned int slots;
	uint64_t seq;
	uint64_t born; /* start of its present life */
	ms_t back_at;  /* it crashed, and starts again then; 0: it is up */
	ms_t work;     /* of each request */
	unsigned int running;
	GQueue waiting; /* run_t, beyond its slots */
	ms_t beat_at;	/* its last report */
	ms_t lapse_at;	/* of the entry of a life that ended; 0: none */
	char lapse_id[ID_BYTES];
	/* The status of its answer to a request that has run; may be NULL. */
	int (*status)(struct backend_s *b, const ask_t *a);
} backend_s_t;

/* A request of a client, and what became of it. */
struct ask {
	rig_t *rig;
	hconn_t *conn;
	char id[ID_BYTES];
	unsigned int front;
	bool crashes; /* each server that begins to answer it */
	bool is_read; /* of the route for reads */
	bool is_long; /* its answer is a stream of 6.6 s */
	bool cut;     /* its answer began and was broken off */
	ms_t sent_at;
	ms_t ran_at; /* 0: it has not */
	backend_s_t *ran_by;
	int status; /* 0: no answer yet */
	bool ended;
};

/* A process of the project. */
typedef struct daemon_s {
	rig_t *rig;
	uv_process_t handle;
	char name[ID_BYTES];
	char ini[256];
	bool front;
	bool running;
	addr_t clients;
	addr_t ready;
} daemon_s_t;

/* A case. */
typedef struct scene {
	const char *name;
	ms_t length;  /* from the start of the daemons */
	ms_t timeout; /* of clients; 0: 1000 */
	void (*start)(rig_t *r);
	void (*tick)(rig_t *r, ms_t now);
	/* A server got a request; it crashed on one; a client was answered */
	void (*ran)(rig_t *r, backend_s_t *b, ask_t *a, ms_t now);
	void (*crashed)(rig_t *r, backend_s_t *b, ask_t *a, ms_t now);
	void (*answered)(rig_t *r, ask_t *a, ms_t now);
	/* A record was appended to a topic by the system. */
	void (*status)(rig_t *r, const char *text);
	int (*verdict)(rig_t *r); /* RIG_HELD and so on */
} scene_t;

struct rig {
	soak_t s; /* its loop and store are used */
	const scene_t *scene;
	bool trouble; /* false: TROUBLE=0 */
	FILE *record;
	char *dir;
	uv_timer_t tick;
	uv_signal_t term;
	uv_signal_t intr;
	ms_t began;
	ms_t ready_at; /* when all fronts served; 0: not yet */
	ms_t next_beat;
	ms_t next_send;
	uint64_t version;
	daemon_s_t daemons[DAEMONS_MAX];
	unsigned int ndaemons;
	backend_s_t backends[BACKENDS_MAX];
	unsigned int nbackends;
	GHashTable *asks; /* ask_t by id */
	uint64_t last_id;
	bool served[FRONTS];
	bool ending;
	bool failed_start;
};

/* world.c */
int rig_run(rig_t *r, const scene_t *scene);
ms_t rig_time(const rig_t *r);
void rig_note(rig_t *r, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
backend_s_t *rig_backend(rig_t *r, const char *service, const char *version,
			 bool model);
char *rig_route(const char *name, const char *host, const char *kind,
		unsigned int attempts, const char *service);
void rig_config(rig_t *r, char *routes, const char *const *services);
void rig_operator(rig_t *r, const char *key, const char *value);
void rig_silence_store(rig_t *r);
void rig_stop(rig_t *r, backend_s_t *b);
ask_t *rig_ask(rig_t *r, unsigned int front, const char *host,
	       const char *fields);
void rig_add_front(rig_t *r, const char *name);
topic_t *rig_topic(rig_t *r, const char *name);

extern const scene_t scene_added;
extern const scene_t scene_config;
extern const scene_t scene_immune;
extern const scene_t scene_parts;
extern const scene_t scene_verdict;

#endif
