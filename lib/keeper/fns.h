/* Prototypes of lib/keeper. */
#ifndef KEEPER_FNS_H
#define KEEPER_FNS_H

#include "base/fns.h"
#include "keeper/dat.h"

/* keeper.c */
keeper_t *keeper_new(const keeper_ops_t *ops, void *ctx, unsigned int overlap,
		     counters_t *counters);
void keeper_free(keeper_t *k);
void keeper_request(keeper_t *k, uint64_t host, const keeper_request_t *a,
		    ms_t now);
void keeper_release(keeper_t *k, rid_t rid, ms_t now);
void keeper_lost(keeper_t *k, rid_t rid, ms_t now);
void keeper_unreachable(keeper_t *k, rid_t rid, ms_t now);
void keeper_host_gone(keeper_t *k, uint64_t host, ms_t now);
void keeper_tick(keeper_t *k, ms_t now);
void keeper_set_limit(keeper_t *k, const server_limit_t *l, ms_t now);
void keeper_set_warmup(keeper_t *k, double rate, ms_t time, ms_t now);
void keeper_told_cold(keeper_t *k, ms_t left, ms_t now);
bool keeper_cold(const keeper_t *k, ms_t now);
server_limit_t keeper_limit(const keeper_t *k);
bool keeper_knows(const keeper_t *k, rid_t rid);
unsigned int keeper_granted(const keeper_t *k);
unsigned int keeper_waiting(const keeper_t *k);

#endif
