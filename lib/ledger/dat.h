/* What the platform's log says, read alike by every process. No I/O here. */
#ifndef LEDGER_DAT_H
#define LEDGER_DAT_H

#include "conf/dat.h"
#include "move/dat.h"

typedef struct ledger ledger_t;
typedef struct claims claims_t;

/* The accepted configuration. */
typedef struct revision {
	uint64_t offset; /* of the accepted confirm; 0 before the first */
	char *op;	 /* operation id given by the tool */
	char *text;	 /* the whole intent */
	intent_t *intent;
} revision_t;

typedef struct ledger_ops {
	/* A newer revision is in force. */
	void (*accepted)(void *ctx, const revision_t *r);
	/* A confirm lost its race or is invalid; op is the tool's id. */
	void (*rejected)(void *ctx, const char *op, code_t code);
	/* The first result of a move. */
	void (*result)(void *ctx, const move_result_t *r);
	/*
	 * An operator asks that a host be drained. It is meant for the process
	 * that runs there now: one that started after this offset ignores it.
	 */
	void (*drain)(void *ctx, const char *host, uint64_t offset);
} ledger_ops_t;

typedef struct claims_ops {
	/* Append this batch to the claims stream; answer by claims_appended. */
	void (*append)(void *ctx, str_t data);
	/*
	 * The claim of rid is settled: CODE_OK it is the first and may run,
	 * CODE_DUPLICATE another was first, CODE_NO_CLAIM not to be had now.
	 */
	void (*settled)(void *ctx, rid_t rid, code_t code, rid_t first);
} claims_ops_t;

#endif
