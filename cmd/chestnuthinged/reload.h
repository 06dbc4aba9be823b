/* Reloads the settings file of a running edge host or keeper. */
#ifndef RELOAD_H
#define RELOAD_H

#include "conf/fns.h"

typedef struct reload reload_t;

reload_t *reload_new(const char *path);
bool reload_poll(reload_t *r, edge_settings_t *set, bool requested, ms_t now);
void reload_free(reload_t *r);

#endif
