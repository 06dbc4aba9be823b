/* Prototypes of the stand-ins' shared library. */
#ifndef STAND_FNS_H
#define STAND_FNS_H

#include "base/fns.h"
#include "standin/lib/dat.h"

/* http.c */
void hs_start(hs_t *s, uv_loop_t *loop, int port, hs_handler_t handler,
	      void *ctx);
bool hs_is(const hs_req_t *r, const char *method, const char *path);
char *hs_header(const hs_req_t *r, const char *name);
char *hs_param(str_t list, const char *key);
long hs_param_long(str_t list, const char *key, long none);
void hs_reply(hs_req_t *r, int status, const char *type, str_t body);
void hs_reply_text(hs_req_t *r, int status, const char *text);
void hs_open(hs_req_t *r, int status, const char *type);
void hs_write(hs_req_t *r, str_t data);
void hs_finish(hs_req_t *r);
void hs_cut(hs_req_t *r);

/* events.c */
void events_open(const char *path);
void event_write(const char *name, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
ms_t stand_now(void);
bool event_parse(const char *line, event_t *e);
void event_clear(event_t *e);
const char *event_field(const event_t *e, const char *key);
long event_long(const event_t *e, const char *key, long none);
void stand_exit_on_signal(uv_loop_t *loop);

/* answer.c */
GString *answer_token(const char *marker, unsigned int i, unsigned int n,
		      GString *so_far);
bool answer_valid(const char *text, const char *marker);

/* history.c */
history_t *history_new(void);
void history_add(history_t *h, const char *line);
bool history_read(history_t *h, const char *path);
void history_free(history_t *h);

/* invariant.c */
void invariants_check(const history_t *h, verdict_t out[INVARIANT_COUNT]);
void verdicts_clear(verdict_t v[INVARIANT_COUNT]);

#endif
