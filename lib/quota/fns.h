/* Prototypes of lib/quota. */
#ifndef QUOTA_FNS_H
#define QUOTA_FNS_H

#include "base/fns.h"
#include "quota/dat.h"

/* bucket.c */
void bucket_init(bucket_t *b, ms_t now);
void bucket_set_share(bucket_t *b, const quota_limit_t *l,
		      const quota_bounds_t *q, double share, ms_t now);
void bucket_add_start(bucket_t *b, const quota_limit_t *l,
		      const quota_bounds_t *q, double share);
quota_answer_t bucket_take(bucket_t *b, const quota_limit_t *l,
			   const quota_bounds_t *q, double cost,
			   unsigned int priority, ms_t now);
double quota_window_max(const quota_limit_t *l, const quota_bounds_t *q);

/* server.c */
quota_server_t *quota_server_new(const quota_bounds_t *bounds,
				 counters_t *counters, ms_t now);
void quota_server_free(quota_server_t *s);
void quota_server_set_bounds(quota_server_t *s, const quota_bounds_t *bounds);
bool quota_server_join(quota_server_t *s, uint64_t host, const quota_join_t *j,
		       ms_t now);
void quota_server_leave(quota_server_t *s, uint64_t host, const char *customer,
			ms_t now);
quota_answer_t quota_server_take(quota_server_t *s, uint64_t host,
				 const char *customer, double cost,
				 unsigned int priority, ms_t now);
void quota_server_host_gone(quota_server_t *s, uint64_t host, ms_t now);
unsigned int quota_server_customers(const quota_server_t *s);

#endif
