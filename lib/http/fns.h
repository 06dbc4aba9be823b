/* Prototypes of lib/http. */
#ifndef HTTP_FNS_H
#define HTTP_FNS_H

#include "base/fns.h"
#include "http/dat.h"

/* reader.c: splits the bytes of a connection into messages. */
void http_reader_init(http_reader_t *r, bool requests, size_t head_max,
		      const http_reader_ops_t *ops, void *ctx);
void http_reader_clear(http_reader_t *r);
code_t http_reader_feed(http_reader_t *r, const char *p, size_t n,
			size_t *used);
code_t http_reader_eof(http_reader_t *r);
void http_reader_stop(http_reader_t *r);
bool http_reader_idle(const http_reader_t *r);

/* check.c: checks against request smuggling. */
code_t http_head_check(const char *p, size_t n, bool request);
code_t http_fields_check(const http_head_t *h, bool request);

/* chunk.c: checks the lines of the chunked coding. */
void chunk_check_init(chunk_check_t *c);
size_t chunk_check(chunk_check_t *c, const char *p, size_t n);

/* field.c: finds, reads and writes header fields. */
bool http_name_is(str_t name, const char *other);
const http_field_t *http_find(const http_head_t *h, const char *name);
str_t http_value(const http_head_t *h, const char *name);
bool http_parse_number(str_t text, uint64_t *n);
bool http_is_hop_by_hop(const http_head_t *h, str_t name);
bool http_valid_value(const char *text);
bool http_is_interim(const http_head_t *h);
bool http_status_has_body(int status);
const char *http_reason(int status);
void http_put(GByteArray *out, const char *text);
void http_put_str(GByteArray *out, str_t s);
void http_put_field(GByteArray *out, str_t name, str_t value);
void http_put_number(GByteArray *out, const char *name, uint64_t n);
void http_put_keep_alive(GByteArray *out, ms_t timeout);

/* sse.c: splits a text/event-stream into complete events. */
typedef struct event_reader {
	GByteArray *partial; /* an event that is not complete */
	bool has_id;	     /* an event with an id has passed */
	uint64_t last_id;
} event_reader_t;
/* event: its bytes with the empty line. id: when has_id. */
typedef void (*event_fn_t)(void *ctx, str_t event, bool has_id, uint64_t id);
void event_reader_init(event_reader_t *e);
void event_reader_clear(event_reader_t *e);
bool event_reader_feed(event_reader_t *e, str_t data, event_fn_t fn, void *ctx);

#endif
