/*
 * Reports of servers that ended, which hosts give each other through the
 * platform's store.
 */
#ifndef CRASHD_H
#define CRASHD_H

#include "adapter.h"

typedef struct crashd crashd_t;

typedef struct crashd_ops {
	/* This host has read the topic itself. */
	void (*read)(void *ctx, const follow_news_t *n);
} crashd_ops_t;

crashd_t *crashd_new(uv_loop_t *loop, store_link_t *store, const char *host,
		     edge_t *edge, append_t *append, const crashd_ops_t *ops,
		     void *ctx, counters_t *counters);
void crashd_seen(crashd_t *c, const crash_report_t *r);
void crashd_trait_answered(crashd_t *c, trait_t trait);
void crashd_feed(crashd_t *c, const follow_news_t *n, ms_t now);
bool crashd_known(const crashd_t *c, ms_t now);
void crashd_tick(crashd_t *c, ms_t now);
void crashd_free(crashd_t *c);

#endif
