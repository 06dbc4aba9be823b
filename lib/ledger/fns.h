/* Prototypes of lib/ledger. */
#ifndef LEDGER_FNS_H
#define LEDGER_FNS_H

#include "base/fns.h"
#include "conf/fns.h"
#include "ledger/dat.h"

/* ledger.c: reads the config stream and finds the accepted revision. */
ledger_t *ledger_new(const ledger_ops_t *ops, void *ctx);
void ledger_free(ledger_t *l);
code_t ledger_read_record(ledger_t *l, uint64_t offset, str_t data);
/* The log was truncated: records before first are gone. */
void ledger_truncated(ledger_t *l, uint64_t first);
/* A peer's configuration; ignored unless newer than the active one. */
code_t ledger_from_peer(ledger_t *l, uint64_t offset, str_t text);
const revision_t *ledger_revision(const ledger_t *l);
const revision_t *ledger_log_revision(const ledger_t *l);
const GPtrArray *ledger_results(const ledger_t *l); /* of move_result_t */
bool ledger_certain(const ledger_t *l);
uint64_t ledger_last_offset(const ledger_t *l);

/* plan.c: a plan is text that the confirm command reads back whole. */
char *plan_make(const revision_t *base, const char *text, const char *name,
		int64_t unix_now, GError **err);
char *plan_make_forced(uint64_t next, const char *text, const char *name,
		       int64_t unix_now, GError **err);
char *plan_record(const char *plan, GError **err); /* the confirm record */
char *plan_op(const char *plan); /* operation id; NULL: not a plan */
char *result_record(const move_result_t *r);
char *snapshot_record(const ledger_t *l);
char *drain_record(const char *host);

/* claim.c: claims of idempotency keys, batched. */
claims_t *claims_new(const claims_ops_t *ops, void *ctx, ms_t batch,
		     ms_t window, ms_t timeout);
void claims_free(claims_t *c);
void claims_add(claims_t *c, rid_t rid, const char *customer, const char *key,
		ms_t now);
void claims_appended(claims_t *c, code_t code, ms_t now);
void claims_read_record(claims_t *c, uint64_t offset, str_t data, ms_t now);
void claims_caught_up(claims_t *c, uint64_t next, ms_t now);
void claims_set_reachable(claims_t *c, bool yes, ms_t now);
/* Frees the key of a settled claim whose request ended without running. */
void claims_release(claims_t *c, rid_t rid, ms_t now);
void claims_set_window(claims_t *c, ms_t window);
void claims_tick(claims_t *c, ms_t now);

#endif
