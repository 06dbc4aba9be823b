/* Types of the relay. */
#ifndef RELAY_DAT_H
#define RELAY_DAT_H

#include "standin/lib/dat.h"

typedef struct relay {
	uv_loop_t loop;
	uv_tcp_t listener;
	struct sockaddr_in to;
	list_t pairs; /* of pair_t */
} relay_t;

/* One end of a relayed connection. */
typedef struct end {
	uv_tcp_t tcp;
	struct pair *pair;
	struct end *other;
	bool reading;
	bool deaf; /* what it sends is dropped */
} end_t;

/* A relayed connection. */
typedef struct pair {
	list_t link;
	relay_t *relay;
	end_t caller;
	end_t server;
	uv_connect_t connect;
	int open; /* ends not closed yet */
	bool closing;
} pair_t;

/* Bytes on their way. */
typedef struct part {
	uv_write_t req;
	char *bytes;
} part_t;

#endif
