/* Prototypes of the cost measurements. */
#ifndef BENCH_FNS_H
#define BENCH_FNS_H

#include "dat.h"

extern const cost_case_t wire_cases[];
extern const cost_case_t request_cases[];
extern const cost_case_t state_cases[];

#endif
