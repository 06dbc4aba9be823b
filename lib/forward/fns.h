/* Prototypes of lib/forward. */
#ifndef FORWARD_FNS_H
#define FORWARD_FNS_H

#include "edge/fns.h"
#include "forward/dat.h"

/* writer.c: bytes towards a connection, kept while it takes none. */
typedef struct writer {
	uv_stream_t *to;
	GByteArray *kept;    /* not yet given to the system */
	GByteArray *writing; /* owned by a write in progress */
	uv_write_t req;
	bool busy;
	bool failed;
	bool wrote; /* a byte may have been taken by the system */
	void (*drained)(void *ctx);
	void *ctx;
} writer_t;
void writer_init(writer_t *w, uv_stream_t *to, void (*drained)(void *ctx),
		 void *ctx);
void writer_put(writer_t *w, const void *p, size_t n);
size_t writer_kept(const writer_t *w);
void writer_clear(writer_t *w);

/* hconn.c */
hconn_t *hconn_open(uv_loop_t *loop, const addr_t *to, const hconn_ops_t *ops,
		    void *ctx);
void hconn_set_ctx(hconn_t *l, void *ctx);
void *hconn_ctx(const hconn_t *l);
void hconn_send(hconn_t *l, const GByteArray *head, const GByteArray *body);
bool hconn_connecting(const hconn_t *l);
ms_t hconn_opened(const hconn_t *l);
bool hconn_clean(const hconn_t *l);
bool hconn_wrote(const hconn_t *l);
void hconn_pause(hconn_t *l, bool pause);
void hconn_close(hconn_t *l);

/* forward.c */
forward_t *forward_new(uv_loop_t *loop, const forward_conf_t *conf,
		       edge_t *edge, const codec_t *codec,
		       counters_t *counters);
code_t forward_listen(forward_t *r);
void forward_send(forward_t *r, request_t *req);
void forward_refuse(forward_t *r, request_t *req, code_t code, ms_t after);
void forward_note(forward_t *r, const request_t *req, ms_t now,
		  const char *step, const char *text);
void forward_forget(forward_t *r, backend_t *b);
void forward_most(forward_t *r, size_t connections);
void forward_drain(forward_t *r, ms_t now);
bool forward_idle(const forward_t *r);
void forward_tick(forward_t *r, ms_t now);
void forward_close(forward_t *r);
void forward_free(forward_t *r);

/* pages.c */
typedef struct pages pages_t;
typedef int (*page_fn_t)(void *ctx, str_t path, GString *out);
pages_t *pages_new(uv_loop_t *loop, page_fn_t show, void *ctx);
code_t pages_listen(pages_t *ps, const addr_t *at);
void pages_close(pages_t *ps);
void pages_free(pages_t *ps);

#endif
