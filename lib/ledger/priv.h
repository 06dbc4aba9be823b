/* Private to lib/ledger: records of the config stream as read. */
#ifndef LEDGER_PRIV_H
#define LEDGER_PRIV_H

#include "ledger/fns.h"

typedef enum record_type {
	RECORD_CONFIRM,
	RECORD_RESULT,
	RECORD_CARRY,
	RECORD_DRAIN,
} record_type_t;

/* A record of the config stream. Unused members are zero. */
typedef struct record {
	record_type_t type;
	char *op;	    /* confirm, carry: operation id */
	char *text;	    /* confirm, carry: the whole intent */
	char *host;	    /* drain */
	uint64_t base;	    /* confirm: accepted offset it was planned on */
	bool force;	    /* confirm: base is the log's next offset instead */
	uint64_t as_of;	    /* carry: last offset it takes account of */
	uint64_t offset;    /* carry: of the accepted confirm */
	uint64_t tried;	    /* carry: of the last confirm, accepted or not */
	GPtrArray *results; /* carry: of move_result_t */
	move_result_t *result;
} record_t;

/* record.c */
code_t record_parse(str_t data, record_t *r);
void record_clear(record_t *r);
char *confirm_record(const char *op, uint64_t base, bool force,
		     const char *text);
void move_result_free(gpointer p);

/* ledger.c */
uint64_t ledger_tried(const ledger_t *l);

/* diff.c */
void diff_print(const char *old, const char *new, GString *out);

#endif
