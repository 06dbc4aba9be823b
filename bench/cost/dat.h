/* Types of the cost measurements. */
#ifndef BENCH_DAT_H
#define BENCH_DAT_H

#include "base/dat.h"

/*
 * One measured operation. setup makes a state of the given size; run does the
 * operation n times on it. Slopes come from runs that differ in n or in size.
 */
typedef struct cost_case {
	const char *name;
	const char *size_of; /* what the size counts */
	void *(*setup)(size_t size);
	void (*run)(void *state, size_t n);
} cost_case_t;

#endif
