/* Settings read again while a process runs. */
#ifndef REREAD_H
#define REREAD_H

#include "conf/fns.h"

typedef struct reread reread_t;

reread_t *reread_new(const char *path);
bool reread_look(reread_t *r, edge_settings_t *set, bool asked, ms_t now);
void reread_free(reread_t *r);

#endif
