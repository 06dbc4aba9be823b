/* checker FILE...: reads the logs of a run and checks the invariants. */
#include "standin/lib/fns.h"

/* Exits 1 when an invariant was violated, 2 when a log can't be read. */
int main(int argc, char **argv)
{
	verdict_t v[INVARIANT_COUNT];
	history_t *h = history_new();
	size_t violations = 0;
	for (int i = 1; i < argc; i++) {
		if (!history_read(h, argv[i])) {
			perror(argv[i]);
			return 2;
		}
	}
	invariants_check(h, v);
	for (size_t i = 0; i < INVARIANT_COUNT; i++) {
		printf("%s", v[i].detail->str);
		printf("invariant %s histories %zu violations %zu\n", v[i].name,
		       v[i].histories, v[i].violations);
		violations += v[i].violations;
	}
	verdicts_clear(v);
	history_free(h);
	return violations > 0 ? 1 : 0;
}
