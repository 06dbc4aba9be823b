/*
 * State computed from the platform's log: the accepted configuration, results
 * of moves, and claims. Every process that reads the same records computes the
 * same state. No I/O here.
 */
#ifndef LEDGER_DAT_H
#define LEDGER_DAT_H

#include "conf/dat.h"
#include "move/dat.h"

typedef struct ledger ledger_t;
typedef struct claims claims_t;

/* The accepted configuration. */
typedef struct revision {
	uint64_t offset; /* of the accepted confirm; 0 before the first */
	char *op;   /* operation id, chosen by the tool; NULL from a peer */
	char *text; /* the whole intent */
	intent_t *intent;
} revision_t;

typedef struct ledger_ops {
	/* A newer revision is the active configuration. */
	void (*accepted)(void *ctx, const revision_t *r);
	/* A confirm lost to another one or is invalid; op is its id. */
	void (*rejected)(void *ctx, const char *op, code_t code);
	/* The result of a move; only the first one is reported. */
	void (*result)(void *ctx, const move_result_t *r);
	/*
	 * An operator asks that a host be drained. Addressed to the process
	 * that runs there now: one that started after this offset ignores it.
	 */
	void (*drain)(void *ctx, const char *host, uint64_t offset);
} ledger_ops_t;

typedef struct claims_ops {
	/* Append this batch to the claims stream; answer by claims_appended. */
	void (*append)(void *ctx, str_t data);
	/*
	 * The claim of rid is settled: CODE_OK: it is the first and may run;
	 * CODE_DUPLICATE: the claim of first came before it; CODE_NO_CLAIM: no
	 * claim could be made now, and the request may not run.
	 */
	void (*settled)(void *ctx, rid_t rid, code_t code, rid_t first);
} claims_ops_t;

#endif
