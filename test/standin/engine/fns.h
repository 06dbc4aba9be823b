/* Prototypes of the engine stand-in. */
#ifndef ENGINE_FNS_H
#define ENGINE_FNS_H

#include "standin/lib/fns.h"
#include "dat.h"

/* api.c */
void api_handle(void *ctx, hs_req_t *r);

/* orders.c */
bool version_loaded(const engine_t *e, const char *version);
void orders_post(engine_t *e, hs_req_t *r);
void load_get(engine_t *e, hs_req_t *r);
void load_publish(engine_t *e);
void cache_get(engine_t *e, hs_req_t *r);
void control_post(engine_t *e, hs_req_t *r);

/* batch.c */
void batch_add(engine_t *e, job_t *j);
void batch_cancel(engine_t *e, job_t *j);
void batch_mute(engine_t *e);
void batch_wake(engine_t *e);
void sink_add(job_t *j, hs_req_t *r, size_t from);
void job_flush(job_t *j);

/* cache.c */
void cache_init(cache_t *c, size_t max);
GArray *cache_blocks(const GString *prompt);
unsigned int cache_hit(cache_t *c, const GArray *blocks);
void cache_add(cache_t *c, const GArray *blocks, ms_t now);

#endif
