/* Prototypes of lib/forward. */
#ifndef FORWARD_FNS_H
#define FORWARD_FNS_H

#include "edge/fns.h"
#include "forward/dat.h"

/* writer.c: writes to a connection and queues what it does not take yet. */
typedef struct writer {
	uv_stream_t *to;
	GByteArray *queued;  /* not yet given to the event loop */
	GByteArray *writing; /* owned by a write in progress */
	uv_write_t req;
	bool busy; /* a write is in progress */
	bool failed;
	bool sent_any; /* the system may have taken a byte */
	/* Called when nothing is queued any more; may be NULL. */
	void (*drained)(void *ctx);
	void *ctx;
} writer_t;
void buffer_empty(GByteArray **b);
void writer_init(writer_t *w, uv_stream_t *to, void (*drained)(void *ctx),
		 void *ctx);
void writer_put(writer_t *w, const void *p, size_t n);
size_t writer_queued(const writer_t *w);
size_t writer_left(const writer_t *w);
void writer_clear(writer_t *w);

/* hconn.c: an HTTP connection that we open. */
hconn_t *hconn_open(uv_loop_t *loop, const addr_t *to, const hconn_ops_t *ops,
		    void *ctx);
void hconn_set_ctx(hconn_t *c, void *ctx);
void *hconn_ctx(const hconn_t *c);
void hconn_send(hconn_t *c, const GByteArray *head, const GByteArray *body);
bool hconn_connecting(const hconn_t *c);
ms_t hconn_connect_start(const hconn_t *c);
bool hconn_reusable(const hconn_t *c);
bool hconn_has_surplus(const hconn_t *c);
bool hconn_sent_any(const hconn_t *c);
void hconn_set_may_send(hconn_t *c, bool (*may_send)(void *ctx));
bool hconn_unread(hconn_t *c);
void hconn_pause(hconn_t *c, bool pause);
void hconn_close(hconn_t *c);

/* forward.c: the proxy of an edge host. */
forward_t *forward_new(uv_loop_t *loop, const forward_conf_t *conf,
		       edge_t *edge, const codec_t *codec,
		       counters_t *counters);
code_t forward_listen(forward_t *f);
void forward_send(forward_t *f, request_t *req);
bool forward_leave_silent(forward_t *f, request_t *req);
void forward_refuse(forward_t *f, request_t *req, code_t code,
		    ms_t retry_after);
void forward_trace(forward_t *f, const request_t *req, ms_t now,
		   const char *step, const char *text);
void forward_drop_server(forward_t *f, backend_t *b);
void forward_set_memory(forward_t *f, size_t bytes);
void forward_set_connections_max(forward_t *f, size_t connections);
void forward_drain(forward_t *f, ms_t now);
bool forward_idle(const forward_t *f);
void forward_tick(forward_t *f, ms_t now);
void forward_close(forward_t *f);
void forward_free(forward_t *f);

/* pages.c: text pages for probes and operators. */
typedef struct pages pages_t;
/* Appends the page at path to out. Returns the HTTP status. */
typedef int (*page_fn_t)(void *ctx, str_t path, GString *out);
pages_t *pages_new(uv_loop_t *loop, page_fn_t render, void *ctx);
code_t pages_listen(pages_t *ps, const addr_t *at);
void pages_close(pages_t *ps);
void pages_free(pages_t *ps);

#endif
