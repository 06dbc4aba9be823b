/* What servers say of themselves, as edge hosts tell it others. */
#ifndef WORDFACT_H
#define WORDFACT_H

#include "edge/fns.h"
#include "net/fns.h"

/* A fact about a server: its limit, or that one life of it leaves. */
typedef struct word_fact {
	char *server; /* to be freed; NULL: it is another fact */
	bool leaving; /* else it is about the limit */
	server_limit_t limit;
	int64_t started_unix; /* of the life that leaves */
} word_fact_t;

void word_fact_limit(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l);
void word_fact_leaving(peers_t *peers, uint64_t to, const char *server,
		       int64_t started_unix);
word_fact_t word_fact_read(const fact_kv_t *kv);

#endif
