/* Types of the platform stand-in: the log service and the host list. */
#ifndef PLATFORM_STAND_DAT_H
#define PLATFORM_STAND_DAT_H

#include "standin/lib/dat.h"

enum {
	RECORDS_MAX = 1000, /* of one read */
};

/* Fixed at start. */
typedef struct platform_conf {
	int port;
	int keep;      /* records of a stream; older ones are gone */
	int appends_s; /* limit over all streams */
	int hosts_lag_ms;
	char *events;
} platform_conf_t;

/* A stream of the log; record i has offset first + i. */
typedef struct stream {
	GPtrArray *records; /* of char, JSON strings */
	uint64_t first;
} stream_t;

typedef struct platform {
	platform_conf_t conf;
	uv_loop_t loop;
	hs_t http;
	GHashTable *streams; /* of stream_t by "NS/STREAM" */
	char *hosts;	     /* as shown */
	char *hosts_next;    /* shown after the lag */
	uv_timer_t hosts_timer;
	bool outage;
	int slow_ms;
	int lose_answer; /* so many appends more get no answer */
	int serve_old;	 /* records that reads don't show yet */
	ms_t window;	 /* start of the second that is counted */
	int appends;	 /* in that second */
} platform_t;

/* An answer held back because the platform is slow. */
typedef struct delayed {
	uv_timer_t timer;
	hs_req_t *r; /* NULL once its connection closed */
	int status;
	char *body;
} delayed_t;

#endif
