/* Tables of version moves, shared by the files of lib/move. */
#ifndef MOVE_PRIV_H
#define MOVE_PRIV_H

#include "move/fns.h"

enum {
	SERVER_BUCKETS = 64, /* per route, by hash of the server's name */
	LATENCIES = 2,	     /* compared: first token, and inter-token gap */
	PAIRS_MIN = 10,	     /* pairs of requests before latency is compared */
	STAGE_WATCH = 3,
	STAGE_DONE = 4,
	KEY_SIZE = 512, /* bytes of a register's name */
};

/* Which of the two versions of a move. */
typedef enum move_side {
	MOVE_OLD,
	MOVE_NEW,
	MOVE_SIDES,
} move_side_t;

/* Counters summed over all entries for one version on one route. */
typedef struct version_stats {
	req_stats_t servers[SERVER_BUCKETS];
} version_stats_t;

/* The new version compared with the old one at one server. */
typedef struct server_cmp {
	double requests; /* of the new version */
	double failures; /* of the new version */
	double expected; /* its failures if both versions fail equally often */
	double weight[LATENCIES];
	double slowdown[LATENCIES]; /* doublings, times weight */
} server_cmp_t;

/*
 * Sums over strata of time. Every member is a double, so that decay can treat
 * the whole as an array.
 */
typedef struct comparison {
	server_cmp_t servers[SERVER_BUCKETS];
	double old_failures;
	double old_expected;
	double failed_strata; /* strata with failures of the new version */
} comparison_t;

/* The windows of time over which strata are summed. */
typedef enum window {
	WINDOW_SHORT,  /* decays over about 10 s */
	WINDOW_RECENT, /* decays over about a minute */
	WINDOW_STAGE,
	WINDOW_ALL,
	WINDOWS,
} window_t;

/* A route of the service and the evidence gathered on it. */
typedef struct move_route {
	char *name;
	version_stats_t total[MOVE_SIDES];
	version_stats_t stage_start[MOVE_SIDES];   /* total at that time */
	version_stats_t stratum_start[MOVE_SIDES]; /* total at that time */
	comparison_t windows[WINDOWS];
} move_route_t;

/* Outcome of comparing the new version with the old one. */
typedef enum verdict {
	VERDICT_FINE,
	VERDICT_SUSPECT,
	VERDICT_BAD,
} verdict_t;

/* Counters of this entry, before they are published in registers. */
typedef struct local_stats {
	char *prefix; /* of the registers' names */
	req_stats_t stats;
	req_stats_t published;
} local_stats_t;

/* The rollout of a new version of a service in place of an old one. */
typedef struct move {
	uint64_t id;
	char *service;
	char *version[MOVE_SIDES];
	int64_t by; /* deadline, unix seconds; 0 none */
	uint64_t first_percent;
	uint64_t stage;
	ms_t stage_at;
	ms_t stage_min; /* minimum length of the stage */
	bool bad;
	bool suspect;
	bool has_result;
	move_state_t result;
	ms_t notify_at; /* when to call ended next */
	char *evidence;
	GHashTable *routes; /* of move_route_t */
	GHashTable *local;  /* of local_stats_t */
	double due;	    /* requests that the new version should have had */
	double given;	    /* requests that it had */
	double turn; /* 0 to 1: random turn of the next one in its round */
	uint64_t in_progress[MOVE_SIDES];   /* picked and not ended */
	uint64_t picked[MOVE_SIDES];	    /* since picked_since */
	uint64_t picked_before[MOVE_SIDES]; /* in the interval before that */
	ms_t picked_since;
} move_t;

/* A service, its version in use, and the move away from that version. */
typedef struct service_move {
	char *service;
	char *version;
	move_t *move; /* NULL: none */
} service_move_t;

/* A register of evidence and the sum that it is part of. */
typedef struct summed_reg {
	uint64_t *sum;
	uint64_t value;
} summed_reg_t;

struct moves {
	facts_t *facts;
	uint64_t inc;
	const moves_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *by_id;	 /* of move_t */
	GHashTable *services;	 /* of service_move_t, by name */
	GHashTable *regs;	 /* of summed_reg_t, by the register's name */
	GHashTable *source_seen; /* time first seen, by ID/INC */
	uint64_t facts_seq;	 /* last change of facts that is summed */
	ms_t set_at;
	int64_t set_unix;
	ms_t next_stratum_at;
};

/* move.c */
move_t *move_find(const moves_t *m, uint64_t id);
int64_t moves_unix(const moves_t *m, ms_t now);
move_state_t move_state(const move_t *v);
uint64_t move_fact(const moves_t *m, const char *what, uint64_t id);

/* pick.c */
double move_share(const moves_t *m, const move_t *v, ms_t now);
void move_request_done(move_t *v, move_side_t side);
void move_expire_in_progress(move_t *v, ms_t now);

/* evidence.c */
void route_free(gpointer p);
void local_stats_free(gpointer p);
void evidence_add(moves_t *m, move_t *v, move_side_t side, const sample_t *s);
void evidence_flush(moves_t *m, move_t *v);
void evidence_read(moves_t *m, ms_t now);
void evidence_recompute(moves_t *m, ms_t now);
void evidence_end_stratum(move_t *v);
void evidence_start_stage(move_t *v);
uint64_t version_stats_sum(const version_stats_t *t,
			   const version_stats_t *since, metric_t k);

/* canary.c */
verdict_t canary_verdict(const move_t *v, const char **route, const char **why);
bool canary_enough_requests(const move_t *v, bool all);
ms_t canary_stage_ms(const move_t *v, int64_t left);

/* stat.c */
double stat_variance(const req_stats_t *servers, metric_t k);
void stat_end_stratum(move_route_t *r);
double stat_failures_p(const comparison_t *x, int skip);
double stat_slowdown_z(const comparison_t *x, int t, int skip, double variance,
		       double min);

#endif
