/* A keeper, from its start to its end. */
#ifndef KEEPD_H
#define KEEPD_H

#include "conf/dat.h"

/*
 * Runs until a signal; takes over the settings. path is their file, read again
 * when it changes. False: cannot start.
 */
bool keepd_run(edge_settings_t *set, const char *path, GError **err);

#endif
