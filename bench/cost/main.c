/*
 * cost CASE N SIZE: makes a state of the size and does the operation N times.
 * A script runs it under callgrind and takes slopes. With N = 0 it prints the
 * heap's growth by the state, and for messages their length.
 */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include "base/fns.h"
#include "fns.h"

static const cost_case_t *find(const char *name)
{
	const cost_case_t *tables[] = { wire_cases, request_cases,
					state_cases };

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		for (const cost_case_t *c = tables[i]; c->name; c++) {
			if (strcmp(c->name, name) == 0)
				return c;
		}
	}
	return NULL;
}

static void list(void)
{
	const cost_case_t *tables[] = { wire_cases, request_cases,
					state_cases };

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		for (const cost_case_t *c = tables[i]; c->name; c++)
			printf("%s %s\n", c->name, c->size_of);
	}
}

/* Runs one case, or lists them all without arguments. */
int main(int argc, char **argv)
{
	const cost_case_t *c;
	size_t before;
	size_t n;
	void *state;

	if (argc == 1) {
		list();
		return 0;
	}
	c = argc == 4 ? find(argv[1]) : NULL;
	if (!c) {
		fprintf(stderr, "usage: cost [CASE N SIZE]\n");
		return 2;
	}
	n = strtoul(argv[2], NULL, 10);
	before = mallinfo2().uordblks;
	state = c->setup(strtoul(argv[3], NULL, 10));
	if (n == 0)
		printf("heap %zu\n", mallinfo2().uordblks - before);
	c->run(state, n);
	return 0;
}
