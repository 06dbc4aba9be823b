/* An open-loop workload: bursts, unlike lengths, shared prefixes. */
#ifndef RIG_WORK_H
#define RIG_WORK_H

#include "rig/rig.h"

typedef struct work_conf {
	uint64_t seed;
	unsigned int entries;
	double per_s; /* mean requests a second */
	ms_t span;
	unsigned int prefixes; /* that prompts may start with */
	ms_t deadline;
} work_conf_t;

/* One arrival; like.entry is the entry that it comes to. */
typedef struct arrival {
	ms_t at;
	rig_request_t like;
} arrival_t;

GArray *work_new(const work_conf_t *conf); /* of arrival_t, by time */
double work_capacity(const engine_conf_t *g, double gap_ms);

#endif
