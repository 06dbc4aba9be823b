/* Prototypes of lib/net. */
#ifndef NET_FNS_H
#define NET_FNS_H

#include "conf/fns.h"
#include "wire/fns.h"
#include "net/dat.h"

/* peers.c */
peers_t *peers_new(uv_loop_t *loop, const peers_conf_t *conf,
		   const peers_ops_t *ops, void *ctx, counters_t *counters);
code_t peers_listen(peers_t *ps, const addr_t *at);
void peers_connect(peers_t *ps, const char *name, const addr_t *to);
void peers_forget(peers_t *ps, const char *name);
void peers_disconnect(peers_t *ps, const char *name);
void peers_send(peers_t *ps, uint64_t inc, const msg_t *m);
void peers_close(peers_t *ps, void (*done)(void *ctx), void *ctx);

/* httpc.c */
httpc_t *httpc_new(uv_loop_t *loop, counters_t *counters);
httpc_req_t *httpc_call(httpc_t *c, const httpc_call_t *call,
			const httpc_ops_t *ops, void *ctx);
void httpc_set_silent(httpc_req_t *r, ms_t silent);
void httpc_cancel(httpc_req_t *r);
void httpc_free(httpc_t *c);

/* tcp.c */
int tcp_sockaddr(const addr_t *a, struct sockaddr_storage *out);
int tcp_listen(uv_tcp_t *listener, const addr_t *at, int backlog,
	       uv_connection_cb on_connection);
tcp_unread_t tcp_unread(const uv_tcp_t *conn);
void tcp_end(const uv_tcp_t *conn);

/* worker.c */
worker_t *worker_new(uv_loop_t *loop, const worker_ops_t *ops, void *ctx);
void worker_put(worker_t *w, void *input);
bool worker_busy(const worker_t *w);
void worker_close(worker_t *w);

/* reach.c */
void reach_init(reach_t *r);
void reach_join(reach_t *r, reach_member_t *m);
void reach_leave(reach_member_t *m);
void reach_answered(const reach_t *r, const reach_member_t *m, ms_t sent,
		    ms_t now);

/* ticker.c */
void ticker_start(ticker_t *t, uv_loop_t *loop, ms_t period,
		  counters_t *counters, const char *prefix,
		  void (*fn)(void *ctx, ms_t now), void *ctx);
void ticker_stop(ticker_t *t);

/* clock.c */
ms_t clock_boot(void);	  /* with suspended time, milliseconds */
ms_t clock_now(void);	  /* monotonic, milliseconds */
int64_t clock_unix(void); /* seconds since 1970 */
uint64_t random_u64(void);

#endif
