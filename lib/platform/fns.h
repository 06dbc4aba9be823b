/* Prototypes of lib/platform. */
#ifndef PLATFORM_FNS_H
#define PLATFORM_FNS_H

#include "net/fns.h"
#include "platform/dat.h"

/* fetch.c */
fetch_t *fetch_start(httpc_t *http, const addr_t *to, const char *method,
		     const char *path, str_t body, fetch_done_t done,
		     void *ctx);
void fetch_cancel(fetch_t *f);

/* page.c: parses the log service's responses, a page of records at a time. */
typedef struct log_page log_page_t;
log_page_t *log_page_parse(str_t body);
uint64_t log_page_first(const log_page_t *p);
uint64_t log_page_next(const log_page_t *p);
const GArray *log_page_records(const log_page_t *p); /* of log_record_t */
void log_page_free(log_page_t *p);
bool log_offset_parse(str_t body, uint64_t *offset);

/* logc.c: requests time out after 2 s; failed reads back off with jitter. */
logc_t *logc_new(uv_loop_t *loop, httpc_t *http, const addr_t *platform,
		 const char *ns, const char *stream, ms_t poll);
void logc_append(logc_t *l, str_t data, log_appended_t done, void *ctx);
void logc_read(logc_t *l, uint64_t from, const log_reader_ops_t *ops,
	       void *ctx);
void logc_wake(logc_t *l); /* read now, not at the next poll */
void logc_free(logc_t *l);

/* hostsc.c */
hostsc_t *hostsc_new(uv_loop_t *loop, httpc_t *http, const addr_t *platform,
		     ms_t poll, hosts_seen_t seen, void *ctx);
void hostsc_free(hostsc_t *h);

#endif
