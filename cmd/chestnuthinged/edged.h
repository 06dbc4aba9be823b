/* The process of an edge host. */
#ifndef EDGED_H
#define EDGED_H

#include "conf/dat.h"

/*
 * Runs until SIGTERM or SIGINT and then until its requests have ended; takes
 * ownership of set. path is the settings file, reloaded when it changes or on
 * SIGHUP. Returns false and sets err when it cannot start.
 */
bool edged_run(edge_settings_t *set, const char *path, GError **err);

#endif
