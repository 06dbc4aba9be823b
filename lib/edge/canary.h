/*
 * Counters of a rollout at the host that analyses it, shared by the files that
 * gather and compare them.
 */
#ifndef EDGE_CANARY_H
#define EDGE_CANARY_H

#include "edge/priv.h"

/*
 * One life of a server of the target: a server that starts again has another
 * id. Times are those at which the analysis saw the counters grow.
 */
typedef struct life {
	req_stats_t sum;  /* of all routes and hosts, while it is worked out */
	req_stats_t seen; /* the same, when last looked at */
	ms_t first_at;	  /* the first request */
	ms_t last_at;	  /* the last one */
	ms_t passed_at;	  /* the last that did not fail; 0: none */
} life_t;

/* The counters of a server on a route, summed over all hosts. */
typedef struct canary_cell {
	shift_side_t side;
	life_t *life;	    /* of a server of the target; NULL: the old side */
	unsigned int route; /* index */
	req_stats_t all;
	req_stats_t at_checkpoint;	   /* at the last checkpoint */
	req_stats_t at_earlier_checkpoint; /* and at the one before it */
} canary_cell_t;

/* A counter that a host reported. */
typedef struct reported {
	uint64_t host;
	canary_cell_t *cell; /* NULL: requests that run on the old side */
	metric_t metric;
	uint64_t value;
} reported_t;

/* Counters of one route, or of some of the servers on it. */
typedef struct route_sum {
	req_stats_t side[SHIFT_SIDES];
} route_sum_t;

/*
 * Spans of time in which requests of a route failed at the target. Failures of
 * one incident, as a crash, come in one or two.
 */
typedef struct failing_spans {
	uint64_t failures; /* at the target, when last looked at */
	ms_t from;	   /* start of the last span */
	unsigned int n;
	unsigned int at_checkpoint; /* n at the last checkpoint */
	unsigned int at_earlier_checkpoint;
} failing_spans_t;

/* A route, which the sums know by its index. */
typedef struct canary_route {
	char *name;
	failing_spans_t failing;
} canary_route_t;

struct canary_stats {
	odds_t *odds;
	ms_t duration;	      /* of the rollout */
	GHashTable *reported; /* reported_t by host and name */
	GHashTable *cells;    /* canary_cell_t by side, server and route */
	GHashTable *lives;    /* life_t by server */
	GPtrArray *routes;    /* canary_route_t */
	ms_t checkpoint_at;
};

/* canary_stats.c */
route_sum_t *canary_stats_by_route(const canary_stats_t *s, bool recent,
				   bool (*counts)(void *ctx,
						  const canary_cell_t *l),
				   void *ctx);

/* canary_look.c */
unsigned int canary_stats_failing_spans(const canary_stats_t *s,
					unsigned int route, bool recent);
unsigned int canary_stats_recent_spans(const canary_stats_t *s);
void canary_stats_look(canary_stats_t *s, ms_t now);

#endif
