/*
 * A keeper runs beside one backend server and grants that server's slots. It
 * sees the requests of all edge hosts and can therefore order them by priority,
 * which a server that admits requests as they arrive cannot. No I/O.
 */
#ifndef KEEPER_DAT_H
#define KEEPER_DAT_H

#include "base/dat.h"

typedef struct keeper keeper_t;

/* A host's request for a slot. */
typedef struct keeper_request {
	rid_t rid;
	unsigned int priority;
	unsigned int slots; /* slots of the server, as the host knows it */
	ms_t target;   /* ms from now within which a grant meets the latency
			  target */
	ms_t deadline; /* ms from now after which a grant is useless */
} keeper_request_t;

typedef struct keeper_ops {
	/* The host may send the request now. Must not call the keeper. */
	void (*grant)(void *ctx, uint64_t host, rid_t rid);
} keeper_ops_t;

#endif
