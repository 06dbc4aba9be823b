/*
 * Customers' quotas over all edge hosts. One process, the customer's quota
 * server, holds the customer's token bucket; edge hosts take from it for each
 * request. No I/O.
 */
#ifndef QUOTA_DAT_H
#define QUOTA_DAT_H

#include "base/dat.h"

typedef struct quota_server quota_server_t;

/* What a customer may use, in tokens or in requests. */
typedef struct quota_limit {
	double rate; /* per second; 0: no limit */
	double burst;
} quota_limit_t;

/* By how much a customer's use in a window may exceed its limit. */
typedef struct quota_bounds {
	double tolerance; /* as a ratio of the limit */
	double slack;	  /* in absolute terms, per window */
	ms_t window;
} quota_bounds_t;

/*
 * A token bucket over a share of a customer's limit. Shares of all buckets of a
 * customer add up to one at most.
 */
typedef struct bucket {
	double level;
	double promised; /* to callers that were refused and told when to
			    retry; falls as the bucket fills */
	ms_t filled_at;
	ms_t high_at; /* when it was last more than low */
	double share; /* of the limit, 0 to 1 */
} bucket_t;

/* An edge host starts to use a customer's quota server, or updates its word. */
typedef struct quota_join {
	const char *customer;
	uint64_t version; /* of the configuration that the limit is from */
	quota_limit_t limit;
	unsigned int hosts; /* edge hosts that the sender knows, itself too; 0:
			       not known yet */
} quota_join_t;

/* The answer to a request's use of its customer's quota. */
typedef struct quota_answer {
	bool granted;
	ms_t retry_after; /* when not granted */
} quota_answer_t;

#endif
