/* Prototypes of lib/side. */
#ifndef SIDE_FNS_H
#define SIDE_FNS_H

#include "base/fns.h"
#include "side/dat.h"

/* side.c */
side_t *side_new(const side_conf_t *conf, const side_ops_t *ops, void *ctx,
		 counters_t *counters);
void side_free(side_t *s);
void side_entry_up(side_t *s, uint64_t inc, ms_t now);
void side_entry_down(side_t *s, uint64_t inc, ms_t now);
/* Offers, withdrawals, bodies, acks, resumes and cancels of an entry. */
void side_recv(side_t *s, uint64_t inc, const msg_t *m, ms_t now);
/* Sets the versions that the engine has loaded, comma separated. */
void side_set_versions(side_t *s, const char *versions, ms_t now);
/* Sets the load that the engine reports: its requests running and queued. */
void side_set_load(side_t *s, uint64_t running, uint64_t queued, ms_t now);
void side_set_engine_up(side_t *s, bool up, ms_t now);
void side_engine_head(side_t *s, rid_t rid, int status, str_t type, ms_t now);
void side_engine_data(side_t *s, rid_t rid, str_t data, ms_t now);
/* code: CODE_OK, CODE_NOT_SENT, CODE_CUT, CODE_SILENT or CODE_BAD_ANSWER. */
void side_engine_end(side_t *s, rid_t rid, code_t code, ms_t now);
void side_drain(side_t *s, ms_t now); /* grant nothing more */
bool side_idle(const side_t *s);      /* draining, and nothing in progress */
bool side_version_in_use(const side_t *s, const char *version);
void side_tick(side_t *s, ms_t now);
void side_get_state(const side_t *s, msg_state_t *out);

#endif
