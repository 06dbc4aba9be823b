/* Private to lib/ledger: parsed records of the config stream. */
#ifndef LEDGER_PRIV_H
#define LEDGER_PRIV_H

#include "ledger/fns.h"

typedef enum record_type {
	RECORD_CONFIRM,
	RECORD_RESULT,
	RECORD_SNAPSHOT,
	RECORD_DRAIN,
} record_type_t;

/* A record of the config stream. Unused members are zero. */
typedef struct record {
	record_type_t type;
	char *op;	 /* confirm, snapshot: operation id */
	char *text;	 /* confirm, snapshot: the whole intent */
	char *host;	 /* drain */
	uint64_t base;	 /* confirm: accepted revision it was planned on */
	bool force;	 /* confirm: base is the log's next offset instead */
	uint64_t as_of;	 /* snapshot: last offset it includes */
	uint64_t offset; /* snapshot: of the accepted confirm */
	uint64_t last_confirm; /* snapshot: offset, accepted or not */
	GPtrArray *results;    /* snapshot: of move_result_t */
	move_result_t *result;
} record_t;

/* record.c */
code_t record_parse(str_t data, record_t *r);
void record_clear(record_t *r);
char *confirm_record(const char *op, uint64_t base, bool force,
		     const char *text);
void move_result_free(gpointer p);

/* ledger.c */
uint64_t ledger_last_confirm(const ledger_t *l);

/* diff.c */
void diff_print(const char *old, const char *new, GString *out);

#endif
