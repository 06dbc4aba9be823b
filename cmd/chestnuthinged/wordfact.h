/* What servers say of themselves, as edge hosts tell it others. */
#ifndef WORDFACT_H
#define WORDFACT_H

#include "edge/fns.h"
#include "net/fns.h"

typedef enum word_kind {
	WORD_NONE,
	WORD_LIMIT,   /* the server's limit */
	WORD_LEAVING, /* a life of it leaves */
	WORD_WARMUP,  /* what it takes while it is cold */
	WORD_COLD,    /* it is cold */
} word_kind_t;

/* A fact about a server; of the members one is set, by its kind. */
typedef struct word_fact {
	word_kind_t kind;
	char *server; /* to be freed */
	server_limit_t limit;
	int64_t started_unix; /* of the life that leaves */
	warmup_conf_t warmup;
	ms_t cold_left;
} word_fact_t;

void word_fact_limit(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l);
void word_fact_leaving(peers_t *peers, uint64_t to, const char *server,
		       int64_t started_unix);
void word_fact_warmup(peers_t *peers, uint64_t to, const char *server,
		      const warmup_conf_t *c);
void word_fact_cold(peers_t *peers, uint64_t to, const char *server, ms_t left);
word_fact_t word_fact_read(const fact_kv_t *kv);

#endif
