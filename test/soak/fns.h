/* Prototypes of the soak. */
#ifndef SOAK_FNS_H
#define SOAK_FNS_H

#include "dat.h"

/* listen.c */
void listen_start(listen_t *at, soak_t *s, const char *ip, uint16_t port);
void listen_stop(listen_t *at, bool reset);
void sconn_reply(sconn_t *c, int status, const char *fields, str_t body);
void sconn_write(sconn_t *c, const char *text, size_t n);
void sconn_next(sconn_t *c);
void sconn_close(sconn_t *c, bool reset);

/* store.c */
void store_start(store_t *st, soak_t *s);
void store_put(store_t *st, const char *topic, const char *key,
	       const char *value);
void store_set(store_t *st, store_state_t state);
void store_compact(store_t *st);
void store_restore(store_t *st, ms_t age);

/* server.c */
void server_start(server_t *v, soak_t *s, unsigned int index, bool stream);
void server_crash(server_t *v);
void server_tick(server_t *v, ms_t now);
void server_fall(server_t *v, ms_t down, bool keeps_id);
void server_leave(server_t *v);
void server_return(server_t *v);
void server_beat(server_t *v);
void server_calm(server_t *v);

/* flood.c */
bool flood_begins(job_t *j);
void flood_start(job_t *j, const char *fields);
void flood_step(job_t *j);

/* caller.c */
void callers_start(soak_t *s, unsigned int n);
void callers_stop(soak_t *s);
void caller_look(caller_s_t *c, ms_t now);

/* proc.c */
void proc_address(const soak_t *s, bool edge, unsigned int i, char *ip,
		  size_t n);
void procs_start(soak_t *s);
void proc_signal(proc_t *p, int number);
void procs_tick(soak_t *s, ms_t now);
bool procs_stop(soak_t *s);

/* fault.c */
void fault_tick(soak_t *s, ms_t now);
void fault_kill_all(soak_t *s);
void config_write(soak_t *s);

/* main.c */
fate_t *fate_get(soak_t *s, const char *id);
void violation(soak_t *s, const char *rule, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
void soak_note(soak_t *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* poison.c */
char *poison_parts(const caller_s_t *c);
char *poison_path(const caller_s_t *c);
bane_t poison_bane(const poison_t *p, unsigned int i);
bane_t poison_in(const http_head_t *h, kind_t kind);
void poison_reached(soak_t *s, const fate_t *f, bane_t bane);
void poison_ends(server_t *v, bane_t bane);

/* words.c */
void words_fault(soak_t *s);
void words_together(soak_t *s);
void words_tick(server_t *v, ms_t now);
void words_put(server_t *v, const char *id, GString *out);
bool words_turn_away(server_t *v, const char *id);
char *words_turn_fields(const char *id);
void words_arrived(server_t *v, const char *id);

/* evacuate.c */
const char *evacuate_data_center(const server_t *v);
void evacuate_fault(soak_t *s);
void evacuate_calm(soak_t *s);
void evacuate_arrived(server_t *v, const char *id);

/* move.c */
void move_order(soak_t *s);
void move_decided(soak_t *s, const char *text);
void move_status(soak_t *s, const char *text);
bool move_fails(const server_t *v);
void move_ran(const server_t *v);
void move_judge_end(soak_t *s);

#endif
