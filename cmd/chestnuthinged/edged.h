/* An edge host, from its start to its end. */
#ifndef EDGED_H
#define EDGED_H

#include "conf/dat.h"

/*
 * Runs until a signal has ended the work; takes over the settings. path is
 * their file, read again on a signal. False when it cannot start.
 */
bool edged_run(edge_settings_t *set, const char *path, GError **err);

#endif
