/* Moves of versions that the operator orders through the platform's store. */
#ifndef MOVED_H
#define MOVED_H

#include "adapter.h"

typedef struct moved moved_t;

moved_t *moved_new(uv_loop_t *loop, const addr_t *store, edge_t *edge,
		   append_t *append, double canary_share, counters_t *counters);
bool moved_order(moved_t *m, str_t key, str_t text, uint64_t number,
		 const char **why);
void moved_told(moved_t *m, uint64_t host, const char *service, uint64_t order,
		const char *cell, uint64_t value);
void moved_host_gone(moved_t *m, uint64_t host);
void moved_written(moved_t *m, const char *topic, const char *key,
		   append_end_t end);
void moved_tick(moved_t *m, bool judging, ms_t now);
void moved_canary(moved_t *m, double share);
void moved_free(moved_t *m);

#endif
