/*
 * Decisions of a keeper, which runs beside one backend server and hands out
 * its places. It sees the requests of all edge hosts and so keeps one order
 * for them, which a server that admits as requests arrive cannot. No I/O.
 */
#ifndef KEEPER_DAT_H
#define KEEPER_DAT_H

#include "base/dat.h"

typedef struct keeper keeper_t;

/* A host asks for a place. */
typedef struct keeper_request {
	rid_t rid;
	unsigned int priority;
	unsigned int slots; /* of the server, as the host knows it */
	ms_t target;	    /* the place is of most use within this */
	ms_t deadline;	    /* and of none after this */
} keeper_request_t;

typedef struct keeper_ops {
	/* The host may send the request now. Must not call the keeper back. */
	void (*grant)(void *ctx, uint64_t host, rid_t rid);
} keeper_ops_t;

#endif
