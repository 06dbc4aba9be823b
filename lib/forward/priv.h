/* Connections and requests in progress, shared by the files of lib/forward. */
#ifndef FORWARD_PRIV_H
#define FORWARD_PRIV_H

#include "net/fns.h"
#include "forward/fns.h"

enum {
	KEPT_MAX = 1 << 20,	/* bytes waiting for a caller that takes none */
	PENDING_MAX = 64 << 10, /* bytes of a caller's next requests */
};

/* A connection from a caller. */
struct caller {
	uv_tcp_t tcp;
	list_t link;  /* in forward_t.callers */
	list_t later; /* in forward_t.wake, or alone */
	forward_t *forward;
	http_in_t in;
	writer_t out;
	exchange_t *x;	     /* the request in progress */
	bool running;	     /* x has been read whole */
	GByteArray *pending; /* bytes after the request in progress */
	ms_t since;	     /* the start of a head, a body or of being idle */
	bool closing;	     /* nothing more is read; closed once written */
	bool closed;
	bool gone; /* the other end has closed */
	bool shut; /* our end has said that nothing more follows */
};

/* A connection to a backend server. */
typedef struct lane {
	list_t link; /* in lanes_t.idle, or alone */
	forward_t *forward;
	backend_t *server; /* NULL once it is forgotten */
	hconn_t *conn;
	exchange_t *x;	   /* whose request was sent; NULL while idle */
	unsigned int uses; /* requests sent on it */
	ms_t idle_since;
	ms_t idle_max;
} lane_t;

/* The idle connections to one backend server. */
typedef struct lanes {
	list_t idle;
} lanes_t;

/* A caller's request and the answer to it. */
struct exchange {
	list_t link;  /* in forward_t.exchanges */
	list_t later; /* in forward_t.failed, or alone */
	forward_t *forward;
	caller_t *caller;
	request_t req;
	char *id;
	char *key;
	char *host;
	char *target;
	call_t call; /* its strings are the ones above */
	bool is_head;
	bool has_body;
	bool close; /* the caller asks to close after the answer */
	GByteArray *pass;
	GByteArray *body;

	lane_t *lane;
	int status;
	bool stray;    /* the answer being read belongs to another request */
	bool rejected; /* it says that the request was not run */
	bool wrong;    /* it comes from another server */
	bool unstamped;
	bool streaming;
	bool begun; /* bytes of an answer went to the caller */
	bool has_last;
	uint64_t last_event;
	unsigned int events;
	events_t ev;
	GByteArray *head; /* of the answer, as the caller gets it */
	GByteArray *content;
	GByteArray *chunk; /* whole events of this read */
	ms_t first_at;
	ms_t read_at;	/* when the request had been read */
	bool early;	/* it waits for this host's first configuration */
	GString *trail; /* decisions on it, a line each; NULL none */
};

struct forward {
	uv_loop_t *loop;
	forward_conf_t conf;
	edge_t *edge;
	const codec_t *codec;
	counters_t *counters;
	uv_tcp_t listener;
	bool listening;
	uv_timer_t soon;
	list_t wake;   /* callers to look at again */
	list_t failed; /* exchanges whose send failed at once */
	list_t callers;
	list_t exchanges;
	size_t ncallers;
	bool draining;
	ms_t drain_at;
	counter_t *requests;
	counter_t *connects;
	counter_t *reused;
	counter_t *strays;
	hist_t *answer_ms;   /* of whole answers of servers */
	counter_t *left_out; /* failed requests without their lines */
	int64_t trail_second;
	unsigned int trails; /* failed requests written in it */
	unsigned int trails_left_out;
};

/* caller.c */
void caller_accept(forward_t *r);
void caller_answer(caller_t *c, int status, ms_t after, const char *text);
void caller_write(caller_t *c, const GByteArray *a);
void caller_done(caller_t *c, bool keep);
void caller_cut(caller_t *c);
void caller_wake(caller_t *c);
void caller_close(caller_t *c);
void caller_tick(caller_t *c, ms_t now);

/* exchange.c */
exchange_t *exchange_new(caller_t *c, const http_head_t *h);
void exchange_start(exchange_t *x, ms_t now);
void exchange_abort(exchange_t *x, const char *why, ms_t now);
void exchange_tick(exchange_t *x, ms_t now);
void exchange_over(exchange_t *x, attempt_result_t how, ms_t now);
void exchange_refuse(exchange_t *x, code_t code, ms_t after);
void exchange_head(exchange_t *x, const http_head_t *h);
void exchange_body(exchange_t *x, str_t data);
bool exchange_end(exchange_t *x);

/* trail.c */
void trail_add(exchange_t *x, ms_t now, const char *step, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);
bool trail_wanted(exchange_t *x, bool failed, ms_t now);
void trail_write(const exchange_t *x);
void trail_clear(exchange_t *x);

/* lane.c */
void lane_send(exchange_t *x);
void lane_drop(lane_t *l);
void lane_tick(backend_t *b, ms_t now);

/* forward.c */
bool forward_stopped(const forward_t *r, ms_t now);
void forward_wake_callers(forward_t *r);
void forward_soon(forward_t *r);

#endif
