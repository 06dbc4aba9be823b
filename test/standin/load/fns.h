/* Prototypes of the callers' driver. */
#ifndef LOAD_FNS_H
#define LOAD_FNS_H

#include "standin/lib/fns.h"
#include "dat.h"

/* call.c */
void call_start(request_t *q);

/* report.c */
void request_report(const request_t *q);
void request_free(request_t *q);

/* main.c */
void load_next(load_t *l);

#endif
