/* The process of a keeper. */
#ifndef KEEPERD_H
#define KEEPERD_H

#include "conf/dat.h"

/*
 * Runs until SIGTERM or SIGINT; takes ownership of set. path is the settings
 * file, reloaded when it changes. Returns false and sets err when it cannot
 * start.
 */
bool keeperd_run(edge_settings_t *set, const char *path, GError **err);

#endif
