/*
 * Rollouts of versions, ordered by the operator through the platform's store.
 */
#ifndef ROLLOUTD_H
#define ROLLOUTD_H

#include "adapter.h"

typedef struct rolloutd rolloutd_t;

rolloutd_t *rolloutd_new(uv_loop_t *loop, store_link_t *store, edge_t *edge,
			 append_t *append, double canary_share,
			 double canary_slack, counters_t *counters);
bool rolloutd_order(rolloutd_t *r, str_t key, str_t text, uint64_t number,
		    const char **why);
void rolloutd_count(rolloutd_t *r, uint64_t host, const char *service,
		    uint64_t order, const char *cell, uint64_t value);
void rolloutd_host_gone(rolloutd_t *r, uint64_t host);
void rolloutd_written(rolloutd_t *r, const char *topic, const char *key,
		      append_result_t end);
void rolloutd_tick(rolloutd_t *r, bool analyzing, ms_t now);
void rolloutd_set_bounds(rolloutd_t *r, double share, double slack);
void rolloutd_free(rolloutd_t *r);

#endif
