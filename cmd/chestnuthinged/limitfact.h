/* A server's limit, as edge hosts tell it keepers and one another. */
#ifndef LIMITFACT_H
#define LIMITFACT_H

#include "net/fns.h"

void limit_fact_send(peers_t *peers, uint64_t to, const char *server,
		     const server_limit_t *l);
char *limit_fact_read(const fact_kv_t *kv, server_limit_t *l);

#endif
