/* A keeper, from its start to its end. */
#ifndef KEEPD_H
#define KEEPD_H

#include "conf/dat.h"

/* Runs until a signal; takes over the settings. False: cannot start. */
bool keepd_run(edge_settings_t *set, GError **err);

#endif
