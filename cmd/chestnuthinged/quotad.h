/* Messages to a quota server, in a keeper or in a relay. */
#ifndef QUOTAD_H
#define QUOTAD_H

#include "edge/fns.h"
#include "wire/fns.h"

/* Fact by which a process says that it keeps customers' quotas. */
#define QUOTAD_FACT "quota"

enum {
	QUOTAD_UNITS = 1000, /* amounts in messages are in thousandths */
};

typedef struct quotad quotad_t;

quotad_t *quotad_new(const edge_settings_t *set,
		     void (*send)(void *ctx, uint64_t host, const msg_t *m),
		     void *ctx, counters_t *counters);
void quotad_free(quotad_t *d);
void quotad_set_bounds(quotad_t *d, const edge_settings_t *set);
void quotad_recv(quotad_t *d, uint64_t host, const msg_t *m);
void quotad_host_gone(quotad_t *d, uint64_t host, ms_t now);
unsigned int quotad_customers(const quotad_t *d);

#endif
