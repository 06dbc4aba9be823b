/* Tables of version moves, shared by the files of lib/move. */
#ifndef MOVE_PRIV_H
#define MOVE_PRIV_H

#include "move/fns.h"

enum {
	SERVERS = 64,	   /* rows of a route, by hash of the server's name */
	TIMES = 2,	   /* measured: first chunk, and gap between tokens */
	WEIGHT_LEAST = 10, /* pairs of requests, before times are compared */
	STAGE_WATCH = 3,
	STAGE_DONE = 4,
	KEY_SIZE = 512, /* bytes of a register's name */
};

/* Which of the two versions of a move. */
typedef enum side_of_move {
	MOVE_OLD,
	MOVE_NEW,
	MOVE_SIDES,
} side_of_move_t;

/* Sums over all entries for one version on one route. */
typedef struct tally {
	req_stats_t servers[SERVERS];
} tally_t;

/* The new version against the old one at one server. */
typedef struct row {
	double requests; /* of the new version */
	double seen;	 /* its failures */
	double want;	 /* its failures if both failed alike */
	double weight[TIMES];
	double slower[TIMES]; /* doublings, times weight */
} row_t;

/* Sums of strata of time. All of type double, so that they can fade. */
typedef struct score {
	row_t rows[SERVERS];
	double old_seen;
	double old_want;
	double strata; /* with failures of the new version */
} score_t;

/* Over how long the strata are summed. */
typedef enum span_of_score {
	SCORE_SHORT,  /* fades in about 10 s */
	SCORE_RECENT, /* fades in about a minute */
	SCORE_STAGE,
	SCORE_ALL,
	SCORES,
} span_of_score_t;

/* A route of the moving service and what was seen on it. */
typedef struct route_seen {
	char *name;
	tally_t total[MOVE_SIDES];
	tally_t stage[MOVE_SIDES];  /* total at the stage's start */
	tally_t before[MOVE_SIDES]; /* total at the last stratum's end */
	score_t scores[SCORES];
} route_seen_t;

/* What one route says of the new version against the old one. */
typedef enum verdict {
	VERDICT_FINE,
	VERDICT_SUSPECT,
	VERDICT_BAD,
} verdict_t;

/* Counters of this entry, before they go into registers. */
typedef struct own {
	char *prefix;
	req_stats_t cell;
	req_stats_t told;
} own_t;

typedef struct move {
	uint64_t id;
	char *service;
	char *version[MOVE_SIDES];
	int64_t by; /* unix seconds; 0 none */
	uint64_t first_percent;
	uint64_t stage;
	ms_t stage_at;
	ms_t span; /* of the stage, at least */
	bool bad;
	bool suspect;
	bool result_known;
	move_state_t result;
	ms_t tell_at; /* when to call ended next */
	char *evidence;
	GHashTable *routes; /* of route_seen_t */
	GHashTable *own;    /* of own_t */
	double due;	    /* requests that the new version should have had */
	double given;	    /* requests that it had */
	double offset;	    /* random part of the next one's turn */
	uint64_t open[MOVE_SIDES];   /* picked and not noted */
	uint64_t recent[MOVE_SIDES]; /* picked since recent_at */
	uint64_t before[MOVE_SIDES]; /* in the span before that */
	ms_t recent_at;
} move_t;

/* A service, the version in place, and the move away from it. */
typedef struct moving {
	char *service;
	char *version;
	move_t *move; /* NULL: none */
} moving_t;

/* A register of evidence and where it is summed. */
typedef struct reg {
	uint64_t *sum;
	uint64_t value;
} reg_t;

struct moves {
	facts_t *facts;
	uint64_t inc;
	const moves_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *all;      /* of move_t, by id */
	GHashTable *services; /* of moving_t, by name */
	GHashTable *regs;     /* of reg_t, by the register's name */
	GHashTable *sources;  /* first seen at, by ID/INC */
	uint64_t seen;	      /* change of facts that is summed up to */
	ms_t set_at;
	int64_t set_unix;
	ms_t look_at;
};

/* move.c */
move_t *move_find(const moves_t *m, uint64_t id);
int64_t moves_unix(const moves_t *m, ms_t now);
move_state_t move_state(const move_t *v);
uint64_t move_fact(const moves_t *m, const char *what, uint64_t id);

/* pick.c */
double move_share(const moves_t *m, const move_t *v, ms_t now);
void move_returned(move_t *v, side_of_move_t side);
void move_age(move_t *v, ms_t now);

/* evidence.c */
void route_free(gpointer p);
void own_free(gpointer p);
void evidence_note(moves_t *m, move_t *v, side_of_move_t side,
		   const sample_t *s);
void evidence_flush(moves_t *m, move_t *v);
void evidence_read(moves_t *m, ms_t now);
void evidence_again(moves_t *m, ms_t now);
void evidence_look(move_t *v);
void evidence_stage(move_t *v);
uint64_t tally_sum(const tally_t *t, const tally_t *since, metric_t k);

/* gate.c */
verdict_t gate_judge(const move_t *v, const char **route, const char **why);
bool gate_evidence(const move_t *v, bool all);
ms_t gate_span(const move_t *v, int64_t left);

/* stat.c */
double stat_variance(const req_stats_t *cells, metric_t k);
void stat_stratum(route_seen_t *r);
double stat_failures(const score_t *x, int skip);
double stat_slower(const score_t *x, int t, int skip, double variance,
		   double least);

#endif
