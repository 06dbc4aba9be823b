/* Prototypes of lib/base. */
#ifndef BASE_FNS_H
#define BASE_FNS_H

#include "base/dat.h"

/* list.c */
void list_init(list_t *head);
bool list_empty(const list_t *head);
void list_add(list_t *head, list_t *node);
void list_add_tail(list_t *head, list_t *node);
void list_del(list_t *node);
size_t list_len(const list_t *head);

/* code.c */
const char *code_name(code_t code);
bool code_not_run(code_t code);
int code_http_status(code_t code);
GQuark code_quark(void);

/* log.c */
void log_open(int fd, log_level_t max, bool buffer_lines);
void log_flush(void);
bool log_enabled(log_level_t level);
uint64_t log_dropped(void);
void log_line(log_level_t level, const char *event, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

/* counter.c */
counters_t *counters_new(void);
void counters_free(counters_t *cs);
counter_t *counter_get(counters_t *cs, const char *name, const char *labels);
counter_t *gauge_get(counters_t *cs, const char *name, const char *labels);
void counters_print(const counters_t *cs, GString *out);

/* hist.c */
hist_t *hist_new(counters_t *cs, const char *name, const char *labels);
void hist_add(hist_t *h, ms_t ms);
void hist_free(hist_t *h);

/* pace.c */
double limit_rate(const server_limit_t *l);
bool limit_equal(const server_limit_t *a, const server_limit_t *b);
void pace_init(pace_t *p, double rate, ms_t now);
void pace_set_rate(pace_t *p, double rate, ms_t now);
void pace_fill(pace_t *p);
bool pace_ready(pace_t *p, ms_t now);
void pace_take(pace_t *p);
void pace_return(pace_t *p);

/* pausewatch.c */
void pause_watch_init(pause_watch_t *w, ms_t now);
bool pause_watch_stale(pause_watch_t *w, ms_t now);

/* warmup.c */
void warmup_init(warmup_t *w);
bool warmup_cold(const warmup_t *w, const warmup_conf_t *c, ms_t now);
void warmup_heard(warmup_t *w, const warmup_conf_t *c, ms_t sent, ms_t now);
void warmup_lost(warmup_t *w, ms_t now);
void warmup_told(warmup_t *w, ms_t left, ms_t now);
bool warmup_ready(warmup_t *w, const warmup_conf_t *c, double part, ms_t now);
void warmup_take(warmup_t *w);
void warmup_return(warmup_t *w);

/* backoff.c */
void backoff_init(backoff_t *b, ms_t base, ms_t max);
ms_t backoff_next(backoff_t *b, GRand *rand);
void backoff_reset(backoff_t *b);

/* tick.c */
void tick_init(tick_t *t, ms_t period, ms_t now);
bool tick_runs(tick_t *t, ms_t now);

/* priority.c */
extern const grant_class_t grant_order[GRANT_CLASSES];

/* str.c */
str_t str_of(const char *s);
bool str_eq(str_t a, str_t b);
char *str_dup(str_t s);
guint rid_hash(gconstpointer rid);
gboolean rid_equal(gconstpointer a, gconstpointer b);
uint64_t hash64(const void *p, size_t n, uint64_t seed);

#endif
