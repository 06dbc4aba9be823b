/*
 * Reports of servers that ended, which hosts give each other through the
 * platform's store.
 */
#ifndef CRASHES_H
#define CRASHES_H

#include "adapter.h"

typedef struct crashes crashes_t;

typedef struct crashes_ops {
	/* This host has read the topic itself. */
	void (*read)(void *ctx, const follow_news_t *n);
} crashes_ops_t;

crashes_t *crashes_new(uv_loop_t *loop, const addr_t *store, const char *host,
		       edge_t *edge, append_t *append, const crashes_ops_t *ops,
		       void *ctx, counters_t *counters);
void crashes_seen(crashes_t *c, const crash_report_t *r);
void crashes_part_answered(crashes_t *c, prompt_part_t part);
void crashes_feed(crashes_t *c, const follow_news_t *n, ms_t now);
bool crashes_known(const crashes_t *c, ms_t now);
void crashes_tick(crashes_t *c, ms_t now);
void crashes_free(crashes_t *c);

#endif
