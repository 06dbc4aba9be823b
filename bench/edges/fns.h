/* Prototypes of the measurement of edges and keepers. */
#ifndef EDGES_FNS_H
#define EDGES_FNS_H

#include "dat.h"

/* load.c */
double load_capacity(unsigned int engines);
void load_come(world_t *w, double per_s);
void load_poison(world_t *w);
const engine_conf_t *load_engine(unsigned int number);

/* world.c */
result_t world_play(const play_t *play);
const char *way_name(way_t way);
void world_take(world_t *w, item_t *i);

void world_list_engine(world_t *w, edge_t *e, unsigned int number);

/* poison.c */
void poison_come(world_t *w);
void poison_open(world_t *w);
void poison_close(world_t *w);
void poison_seen(world_t *w, const host_t *h, const crash_report_t *c);
void poison_answered(world_t *w, const host_t *h, trait_t trait);
void poison_sent(world_t *w, const item_t *i);
void poison_step(world_t *w);
void poison_count(world_t *w);

/* rest.c */
bool rest_turns_away(world_t *w, item_t *i, unsigned int engine);
void rest_step(world_t *w);

/* plot.c */
void plot_write(const char *path, const double *loads, size_t n,
		double goodput[WAYS][16]);

#endif
