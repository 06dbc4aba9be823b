/* Prototypes of the measurement of edges and keepers. */
#ifndef EDGES_FNS_H
#define EDGES_FNS_H

#include "dat.h"

/* load.c */
double load_capacity(void);
void load_come(world_t *w, double per_s, ms_t span);
extern const engine_conf_t load_engines[ENGINES];

/* world.c */
result_t world_play(way_t way, double load, unsigned int seed);
const char *way_name(way_t way);
void world_take(world_t *w, item_t *i);

/* plot.c */
void plot_write(const char *path, const double *loads, size_t n,
		double goodput[WAYS][16]);

#endif
