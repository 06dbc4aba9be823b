/* Prototypes of lib/entry. */
#ifndef ENTRY_FNS_H
#define ENTRY_FNS_H

#include "base/fns.h"
#include "entry/dat.h"

/* entry.c */
entry_t *entry_new(const entry_conf_t *conf, const entry_ops_t *ops, void *ctx,
		   counters_t *counters);
void entry_free(entry_t *e);
void entry_side_up(entry_t *e, uint64_t inc, const char *name,
		   const char *data_center, ms_t now);
void entry_side_down(entry_t *e, uint64_t inc, ms_t now);
/* The host list, a fact or the sidecar itself says that it is leaving. */
void entry_side_leaving(entry_t *e, const char *name, ms_t now);
void entry_recv(entry_t *e, uint64_t inc, const msg_t *m, ms_t now);
/*
 * Takes a request; user is handed back in head, data and end. The end may come
 * before the return. Returns the request's id.
 */
rid_t entry_submit(entry_t *e, const submission_t *s, void *user, ms_t now);
void entry_claim_done(entry_t *e, rid_t rid, code_t code, ms_t now);
/*
 * The caller hung up: no callback follows. Returns whether the request was
 * never sent.
 */
bool entry_hangup(entry_t *e, rid_t rid, ms_t now);
void entry_drain(entry_t *e, ms_t now); /* refuse new requests from now on */
bool entry_idle(const entry_t *e);	/* no request is left */
void entry_tick(entry_t *e, ms_t now);
void entry_print(const entry_t *e, GString *out); /* sidecars, a line each */

/* limit.c: rate limits of customers, divided among the live entries. */
typedef struct limits limits_t;
limits_t *limits_new(void);
void limits_free(limits_t *l);
void limits_set(limits_t *l, const char *customer, uint64_t requests_per_s,
		uint64_t tokens_per_s);
void limits_set_entries(limits_t *l, unsigned int live);
/* Returns CODE_OK, or CODE_OVER_LIMIT with the time to wait in *retry. */
code_t limits_take(limits_t *l, const char *customer, uint64_t tokens, ms_t now,
		   ms_t *retry);

#endif
