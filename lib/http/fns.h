/* Prototypes of lib/http. */
#ifndef HTTP_FNS_H
#define HTTP_FNS_H

#include "base/fns.h"
#include "http/dat.h"

/* in.c */
void http_in_init(http_in_t *in, bool requests, size_t head_max,
		  const http_in_ops_t *ops, void *ctx);
void http_in_clear(http_in_t *in);
code_t http_in_feed(http_in_t *in, const char *p, size_t n, size_t *used);
code_t http_in_eof(http_in_t *in);
void http_in_stop(http_in_t *in);
bool http_in_idle(const http_in_t *in);

/* check.c */
code_t http_head_check(const char *p, size_t n);
code_t http_fields_check(const http_head_t *h, bool request);

/* field.c */
bool http_name_is(str_t name, const char *is);
const http_field_t *http_find(const http_head_t *h, const char *name);
str_t http_value(const http_head_t *h, const char *name);
bool http_number(str_t text, uint64_t *n);
bool http_hop_field(const http_head_t *h, str_t name);
const char *http_reason(int status);
void http_put(GByteArray *out, const char *text);
void http_put_str(GByteArray *out, str_t s);
void http_put_field(GByteArray *out, str_t name, str_t value);
void http_put_number(GByteArray *out, const char *name, uint64_t n);

/* sse.c: events of a stream, whole ones only. */
typedef struct events {
	GByteArray *held; /* an event that is not complete */
	bool has_id;	  /* an event with an id has passed */
	uint64_t last_id;
} events_t;
typedef void (*event_fn_t)(void *ctx, str_t event, bool has_id, uint64_t id);
void events_init(events_t *e);
void events_clear(events_t *e);
bool events_feed(events_t *e, str_t data, event_fn_t fn, void *ctx);

#endif
