/* Types shared by every library: time, lists, result codes, counters. */
#ifndef BASE_DAT_H
#define BASE_DAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <glib.h>

/* A point in time or a span, in milliseconds of a monotonic clock. */
typedef int64_t ms_t;

/* A doubly linked list node, embedded in the entry that it links. */
typedef struct list {
	struct list *next;
	struct list *prev;
} list_t;

#define list_entry(ptr, type, member)                                          \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each_safe(pos, tmp, head)                                     \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head);       \
	     (pos) = (tmp), (tmp) = (pos)->next)

/*
 * Result codes, grouped by their hundreds digit. docs/ERRORS.md has the table;
 * code_name() returns the short name used in logs and counters.
 */
typedef enum code {
	CODE_OK = 0,

	/* Settings and intents. */
	CODE_SYNTAX = 101,
	CODE_UNKNOWN_KEY = 102,
	CODE_MISSING_KEY = 103,
	CODE_BAD_TYPE = 104,
	CODE_OUT_OF_RANGE = 105,
	CODE_UNKNOWN_SECTION = 106,
	CODE_BAD_REFERENCE = 107,
	CODE_FILE = 108,

	/* Requests that no engine ran: outcome not-run. */
	CODE_BAD_REQUEST = 201,
	CODE_NO_SERVICE = 202,
	CODE_TOO_LARGE = 203,
	CODE_BAD_KEY = 204,
	CODE_OVER_LIMIT = 205,
	CODE_SHED = 206,
	CODE_CANNOT_FINISH = 207,
	CODE_EXPIRED_WAITING = 208,
	CODE_STOPPING = 209,
	CODE_DUPLICATE = 210,
	CODE_NO_CLAIM = 211,
	CODE_NO_SERVER = 212,
	CODE_GRANT_LAPSED = 213,
	CODE_NOT_SENT = 214,
	CODE_NOT_LOADED = 215,
	CODE_CALLER_GONE = 216,
	CODE_QUOTA_UNKNOWN = 217,
	CODE_QUARANTINED = 218,

	/* Requests that may have run: outcome unknown. */
	CODE_PATH_LOST = 251,
	CODE_CUT = 252,
	CODE_EXPIRED_RUNNING = 253,
	CODE_CANCELLED = 254,
	CODE_BAD_ANSWER = 255,

	/* Frames and connections between processes. */
	CODE_TRUNCATED = 301,
	CODE_FRAME_TOO_LARGE = 302,
	CODE_UNKNOWN_TYPE = 303,
	CODE_WRONG_VERSION = 304,
	CODE_BAD_FIELD = 305,
	CODE_BAD_MAC = 306,
	CODE_SILENT = 307,

	/* The platform. */
	CODE_UNREACHABLE = 401,
	CODE_THROTTLED = 402,
	CODE_ANSWER_LOST = 403,
	CODE_FORGOTTEN = 404,
	CODE_BAD_RECORD = 405,

	/* Plans, moves and orders. */
	CODE_CONFLICT = 501,
	CODE_BAD_PLAN = 502,
	CODE_TOO_LATE = 503,
	CODE_STALE_FENCE = 504,
} code_t;

/* Log levels, from the most severe to the least. */
enum {
	/* Edges log one in so many of the requests that succeeded. */
	LOG_SAMPLE_ONE_IN = 64,
};

typedef enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG,
} log_level_t;

/* A counter or a gauge. Names and labels are in the scrape text format. */
typedef struct counter {
	list_t link;
	char *name;
	char *labels;
	bool gauge;
	uint64_t value;
} counter_t;

/* All counters of one process or of one library instance. */
typedef struct counters {
	list_t all;
	GHashTable *index;
} counters_t;

enum {
	HIST_BOUNDS = 14, /* buckets, not counting +Inf */
};

/* A histogram of times in ms; each bucket counts all times up to its bound. */
typedef struct hist {
	counter_t *buckets[HIST_BOUNDS + 1];
	counter_t *sum;
	counter_t *count;
} hist_t;

/* The rate of requests that a server takes from all hosts together. */
typedef struct server_limit {
	bool set;      /* false: any */
	uint64_t rate; /* thousandths of a request a second */
} server_limit_t;

/* A token bucket of requests. */
typedef struct pace {
	double rate; /* requests a second */
	double level;
	ms_t burst; /* this much time's requests pass at once; 0: a second's */
	ms_t filled_at;
} pace_t;

/* What the servers of a service take while they are cold. */
typedef struct warmup_conf {
	double rate; /* requests a second from all hosts; 0: any */
	ms_t time;   /* for so long after a start or a return */
	ms_t quiet;  /* unheard for so long, a server may have been away; 0: no
			matter how long */
} warmup_conf_t;

/* Whether a server is cold, as one process knows it. */
typedef struct warmup {
	bool away;     /* not heard since it started, or was seen to be away */
	ms_t lost_at;  /* when it last seemed to be away */
	ms_t heard_at; /* 0: never */
	ms_t until;    /* cold until then */
	bool paced;    /* the pace is in use */
	pace_t pace;
} warmup_t;

/* Exponential backoff with full jitter. */
typedef struct backoff {
	ms_t base;	       /* limit of the first wait */
	ms_t max;	       /* upper bound of the limit */
	unsigned int attempts; /* since the last reset */
} backoff_t;

/*
 * Request id, never reused: the incarnation of the entry that accepted the
 * request, and the request's sequence number there.
 */
typedef struct rid {
	uint64_t inc;
	uint64_t seq;
} rid_t;

/* Borrowed bytes, owned by another object. Not terminated by a NUL. */
typedef struct str {
	const char *p;
	size_t n;
} str_t;

/*
 * Priorities of requests, 0 the highest: customer priority * ROUTE_PRIORITIES +
 * route priority. Each of the two is capped at its lowest value.
 */
enum {
	ROUTE_PRIORITIES = 4,
	CUSTOMER_PRIORITIES = 2,
	PRIORITIES = CUSTOMER_PRIORITIES * ROUTE_PRIORITIES,
	GRANT_CLASSES = 2 * PRIORITIES, /* each in time and late */
};

/* Requests of one priority that are in time or late; see grant_order. */
typedef struct grant_class {
	unsigned int priority;
	unsigned int late; /* 1: past their first-token target, 0: in time */
} grant_class_t;

enum {
	GREETINGS_MAX = 512, /* more hosts than connect to a process at once */
	MS_PER_S = 1000,
	TIER_COUNT = 4, /* tier 0 is the highest, 3 the lowest */
	TIER_LOWEST = 3,
};

/* Notices that the process was paused; see pause_watch_stale. */
typedef struct pause_watch {
	ms_t seen;	  /* the last call */
	ms_t stale_until; /* what is read before may be from before a pause */
} pause_watch_t;

/* Decides which ticks of a timer run; see tick_runs. */
typedef struct tick {
	ms_t period;
	ms_t last;    /* when the last one came, run or skipped, or the start */
	bool skipped; /* the last one was */
} tick_t;

#endif
