/* Prototypes of lib/move. */
#ifndef MOVE_FNS_H
#define MOVE_FNS_H

#include "base/fns.h"
#include "conf/fns.h"
#include "move/dat.h"

/*
 * facts.c: a set of named registers that only grow; sets of several processes
 * are merged by the maximum of each register. Every change gets a local
 * sequence number, so that a connection sends only the changes since its last
 * message.
 */
facts_t *facts_new(void);
void facts_free(facts_t *f);
bool facts_merge(facts_t *f, str_t key, uint64_t value);
bool facts_raise(facts_t *f, const char *key, uint64_t value);
uint64_t facts_get(const facts_t *f, const char *key);
uint64_t facts_sum(const facts_t *f, const char *prefix);
size_t facts_since(const facts_t *f, uint64_t seq, fact_kv_t *out, size_t max,
		   uint64_t *next);
size_t facts_drop(facts_t *f, const char *prefix);
size_t facts_len(const facts_t *f);

/* pick.c: the id of a move is a hash of its declaration in the intent. */
uint64_t move_id(const version_t *v);

/* req_stats.c */
void req_stats_add(req_stats_t *c, bool failed, double first_token, double gap,
		   uint64_t tokens);
void req_stats_merge(req_stats_t *a, const req_stats_t *b);
void req_stats_subtract(req_stats_t *a, const req_stats_t *b);
double req_stats_mean(const req_stats_t *c, metric_t k);
double req_stats_sum_squares(const req_stats_t *c, metric_t k);
double req_stats_variance(const req_stats_t *c, metric_t k);

/* stat.c */
double poisson_tail(double mean, double k, bool upper);

/* move.c; inc is this entry's incarnation. */
moves_t *moves_new(facts_t *facts, uint64_t inc, const moves_ops_t *ops,
		   void *ctx);
void moves_free(moves_t *m);
/* Takes a newly accepted intent; results are of move_result_t. */
void moves_set_intent(moves_t *m, const intent_t *in, uint64_t offset,
		      const GPtrArray *results, ms_t now, int64_t unix_now);
/* Version that the next request of the service goes to; NULL: not known. */
const char *moves_pick(moves_t *m, const char *service, ms_t now);
/* Version to fall back to when no live server has the picked one. */
const char *moves_fallback(const moves_t *m, const char *service,
			   const char *picked);
bool moves_is_bad(const moves_t *m, const char *service, const char *version);
void moves_add_sample(moves_t *m, const sample_t *s, ms_t now);
void moves_tick(moves_t *m, ms_t now);
void moves_print(const moves_t *m, GString *out); /* a line per move */
/* Versions of the service that a backend server should have loaded. */
GPtrArray *moves_versions_to_load(const intent_t *in, const char *service,
				  const GPtrArray *results);

#endif
