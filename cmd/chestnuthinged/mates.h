/* What edge hosts tell one another directly. */
#ifndef MATES_H
#define MATES_H

#include "edge/fns.h"
#include "net/fns.h"

typedef struct mates mates_t;

typedef struct mates_ops {
	/* The text of the configuration in force; empty before the first. */
	str_t (*config_text)(void *ctx);
	/* Another host sent its configuration. */
	void (*config)(void *ctx, str_t text);
	/* A host, or this one, counted something on a move of versions. */
	void (*counted)(void *ctx, uint64_t host, const char *service,
			uint64_t order, const char *cell, uint64_t value);
	/* A host is gone. */
	void (*gone)(void *ctx, uint64_t host);
} mates_ops_t;

mates_t *mates_new(uv_loop_t *loop, edge_t *edge, const edge_settings_t *set,
		   uint64_t inc, const mates_ops_t *ops, void *ctx,
		   counters_t *counters);
code_t mates_listen(mates_t *m);
void mates_host(mates_t *m, str_t name, str_t value);
void mates_server(mates_t *m, const backend_t *b);
void mates_ask(mates_t *m, const backend_t *b, const request_t *r, ms_t in_time,
	       ms_t now);
void mates_release(mates_t *m, uint64_t keeper, const request_t *r,
		   bool unreached);
void mates_tick(mates_t *m, ms_t now);
bool mates_judging(const mates_t *m);
void mates_close(mates_t *m);
void mates_free(mates_t *m);

#endif
