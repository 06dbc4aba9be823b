/* Private to claim.c: batches of claims and releases as JSON. */
#ifndef LEDGER_CLAIMREC_H
#define LEDGER_CLAIMREC_H

#include "ledger/fns.h"

enum {
	CLAIM_KEY_SIZE = 16, /* bytes stored of the hash of customer and key */
};

/* The hash of a customer's idempotency key. */
typedef struct claim_key {
	uint8_t b[CLAIM_KEY_SIZE];
} claim_key_t;

/* A claim, or the release of one. */
typedef struct claim_item {
	claim_key_t key;
	rid_t rid;
} claim_item_t;

/* A record of the claims stream; releases are read before claims. */
typedef struct claim_batch {
	GArray *released; /* of claim_item_t */
	GArray *claims;	  /* of claim_item_t */
} claim_batch_t;

/* claimrec.c */
claim_key_t claim_key_of(const char *customer, const char *key);
guint claim_key_hash(gconstpointer p);
gboolean claim_key_equal(gconstpointer a, gconstpointer b);
void claim_batch_init(claim_batch_t *b);
void claim_batch_clear(claim_batch_t *b);
char *claim_batch_print(const claim_batch_t *b);
code_t claim_batch_parse(claim_batch_t *b, str_t data);

#endif
