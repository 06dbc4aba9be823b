/* review-2 CASE DIR RECORD: plays a case; TROUBLE=0 leaves the trouble out. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include "rig.h"

static const scene_t *const scenes[] = { &scene_added, &scene_config,
					 &scene_immune, &scene_parts,
					 &scene_verdict };

int main(int argc, char **argv)
{
	static rig_t r;
	const char *trouble = getenv("TROUBLE");

	if (argc != 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	r.dir = argv[2];
	r.record = fopen(argv[3], "w");
	r.trouble = !trouble || strcmp(trouble, "0") != 0;
	if (!r.record)
		return 2;
	for (size_t i = 0; i < G_N_ELEMENTS(scenes); i++) {
		if (strcmp(scenes[i]->name, argv[1]) == 0)
			return rig_run(&r, scenes[i]);
	}
	return 2;
}
