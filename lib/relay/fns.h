/* Prototypes of lib/relay. */
#ifndef RELAY_FNS_H
#define RELAY_FNS_H

#include "edge/fns.h"
#include "relay/dat.h"

/* writer.c: bytes towards a connection, kept while it takes none. */
typedef struct writer {
	uv_stream_t *to;
	GByteArray *kept;    /* not yet given to the system */
	GByteArray *writing; /* owned by a write in progress */
	uv_write_t req;
	bool busy;
	bool failed;
	bool wrote; /* a byte has been taken by the system */
	void (*drained)(void *ctx);
	void *ctx;
} writer_t;
void writer_init(writer_t *w, uv_stream_t *to, void (*drained)(void *ctx),
		 void *ctx);
void writer_put(writer_t *w, const void *p, size_t n);
size_t writer_kept(const writer_t *w);
void writer_clear(writer_t *w);

/* link.c */
link_t *link_open(uv_loop_t *loop, const addr_t *to, const link_ops_t *ops,
		  void *ctx);
void link_set_ctx(link_t *l, void *ctx);
void *link_ctx(const link_t *l);
void link_send(link_t *l, const GByteArray *head, const GByteArray *body);
bool link_connecting(const link_t *l);
ms_t link_opened(const link_t *l);
bool link_clean(const link_t *l);
bool link_wrote(const link_t *l);
void link_pause(link_t *l, bool pause);
void link_close(link_t *l);

/* relay.c */
relay_t *relay_new(uv_loop_t *loop, const relay_conf_t *conf, edge_t *edge,
		   const codec_t *codec, counters_t *counters);
code_t relay_listen(relay_t *r);
void relay_send(relay_t *r, request_t *req);
void relay_refuse(relay_t *r, request_t *req, code_t code, ms_t after);
void relay_forget(relay_t *r, backend_t *b);
void relay_drain(relay_t *r, ms_t now);
bool relay_idle(const relay_t *r);
void relay_tick(relay_t *r, ms_t now);
void relay_close(relay_t *r);
void relay_free(relay_t *r);

/* pages.c */
typedef struct pages pages_t;
typedef int (*page_fn_t)(void *ctx, str_t path, GString *out);
pages_t *pages_new(uv_loop_t *loop, page_fn_t show, void *ctx);
code_t pages_listen(pages_t *ps, const addr_t *at);
void pages_close(pages_t *ps);
void pages_free(pages_t *ps);

#endif
