/* Connections and requests in progress, shared by the files of lib/forward. */
#ifndef FORWARD_PRIV_H
#define FORWARD_PRIV_H

#include "net/fns.h"
#include "forward/fns.h"

enum {
	QUEUED_MAX = 1 << 20,	/* bytes queued for a caller before reading from
				   its server is paused */
	PENDING_MAX = 64 << 10, /* bytes of a caller's next requests */
	STRAYS_MAX = 16, /* answers to other requests, ahead of the one due */
	SENDS_MAX = 16,	 /* of a request, whose connections are remembered */
};

/* A connection from a caller. */
struct caller {
	uv_tcp_t tcp;
	list_t link;	  /* in forward_t.callers */
	list_t wake_link; /* in forward_t.woken, or alone */
	forward_t *forward;
	http_reader_t in;
	writer_t out;
	exchange_t *x;	      /* the request in progress */
	bool is_head_request; /* the present request is HEAD */
	bool reads_chunks;    /* speaks HTTP/1.1: a body's end can be told */
	bool answering;	      /* x was read whole; its answer is not complete */
	GByteArray *pending;  /* bytes after the request in progress */
	ms_t since;   /* when the head, the body, idling or closing began */
	bool closing; /* nothing more is read; closed once written */
	bool reading_paused;
	bool closed;
	bool broken; /* to be closed, its request cancelled */
	bool reset;  /* when it is closed */
	bool shutdown_sent;
	size_t left;		/* bytes not written yet, when last looked at */
	unsigned int nrequests; /* read on it */
	ms_t idle_timeout;	/* at the last answer; 0: there was none */
	ms_t idle_for; /* before it was closed as idle; 0: it was not */
};

/* A connection to a backend server. */
typedef struct server_conn {
	list_t link;	 /* in conn_pool_t.idle, or alone */
	list_t all_link; /* in forward_t.server_conns */
	forward_t *forward;
	backend_t *server;
	hconn_t *conn;
	uint64_t number; /* of this host's, in the order of opening */
	exchange_t *x;	 /* whose request was sent; NULL while idle */
	unsigned int requests_sent;
	ms_t idle_since;
	ms_t idle_timeout;
} server_conn_t;

/* The idle connections to one backend server. */
typedef struct conn_pool {
	list_t idle; /* of server_conn_t, the last used first */
} conn_pool_t;

/* A caller's request and the answer to it. */
struct exchange {
	list_t link;	    /* in forward_t.exchanges */
	list_t failed_link; /* in forward_t.failed_sends, or alone */
	forward_t *forward;
	caller_t *caller;
	request_t req;
	char *id;
	char *key;
	char *host;
	char *target;
	call_info_t call; /* its strings are the ones above */
	bool has_body;
	bool close_after; /* the caller asks to close after the answer */
	GByteArray *request_head; /* request line and fields of every attempt */
	GByteArray *body;	  /* of the request */
	uint64_t head_content;	  /* hash; the rest of it follows */

	server_conn_t *conn;	     /* of the attempt in progress; NULL none */
	uint64_t sent_on[SENDS_MAX]; /* numbers of the attempts' connections */
	unsigned int nsent;
	int status;
	uint64_t form;	   /* of the answer that answer_head belongs to */
	bool stray;	   /* the answer being read is to another request */
	bool rejected;	   /* it says that the request was not run */
	bool wrong_server; /* it comes from another server */
	bool bad_answer;   /* not signed */
	bool unrelated;	   /* it does not go on with the answer that began */
	bool streaming;
	bool says_close;   /* the answer's head ends the connection */
	bool answer_begun; /* bytes of an answer went to the caller */
	bool event_owed;   /* a server broke off inside the next event */
	bool has_last_event;
	uint64_t last_event_id; /* of the last event passed to the caller */
	unsigned int events;	/* passed to the caller */
	event_reader_t event_reader;
	GByteArray *answer_head; /* as the caller gets it, without its end */
	GByteArray *answer_body; /* of an answer that is not a stream */
	size_t unkept_bytes; /* of the attempt's answers, read and dropped */
	unsigned int strays; /* of the attempt's answers, to other requests */
	size_t held;	     /* bytes, as counted in forward_t.answer_bytes */
	GByteArray *ready_events; /* complete events of the present read */
	ms_t first_event_at;
	ms_t passed_at;	    /* the last events were passed on */
	ms_t gap_max;	    /* longest time between two of these, in ms */
	ms_t read_at;	    /* when the request had been read */
	bool awaits_config; /* waits for this host's first configuration */
	GString *trace;	    /* decisions on it, a line each; NULL none */
};

/* Bounds on the bytes that are held, over all requests. */
typedef struct room {
	size_t bodies;	/* of requests */
	size_t answers; /* that are not complete */
	size_t queued;	/* for callers that have not taken them yet */
} room_t;

struct forward {
	uv_loop_t *loop;
	forward_conf_t conf;
	room_t room;
	edge_t *edge;
	const codec_t *codec;
	counters_t *counters;
	uv_tcp_t listener;
	bool listening;
	uv_timer_t deferred; /* fires in the next turn of the loop */
	list_t woken;	     /* callers that the timer looks at */
	list_t failed_sends; /* exchanges whose send failed at once */
	list_t callers;
	list_t exchanges;
	list_t server_conns;
	ms_t next_idle_sweep;
	size_t ncallers;
	uint64_t last_conn; /* number of the newest to a server */
	bool draining;
	ms_t drain_since;
	counter_t *requests;
	counter_t *connects;
	counter_t *reused;
	counter_t *stray_answers;
	counter_t *open_conns;	 /* gauge: connections to servers */
	counter_t *answer_bytes; /* gauge: held of answers not complete yet */
	counter_t *body_bytes;	 /* gauge: held of requests' bodies */
	counter_t *queued_bytes; /* gauge: queued for callers */
	counter_t *unread_at_close; /* reads from callers after the shutdown */
	hist_t *answer_ms;	    /* of whole answers of servers */
	counter_t *parts_omitted;   /* of prompts, not kept */
	counter_t *omitted;   /* failed requests whose trace was not logged */
	int64_t trace_second; /* of the two counts that follow */
	unsigned int traces;  /* of failed requests, logged or not */
	unsigned int traces_omitted;
};

/* caller.c */
void caller_accept(forward_t *f);
void caller_local_reply(caller_t *c, int status, ms_t retry_after,
			const char *text);
void caller_write(caller_t *c, const GByteArray *a);
void caller_done(caller_t *c, bool keep);
void caller_cut(caller_t *c);
void caller_wake(caller_t *c);
bool caller_left(caller_t *c);
void caller_close(caller_t *c);
void caller_tick(caller_t *c, ms_t now);
ms_t caller_keep_for(caller_t *c);

/* room.c */
room_t room_of(size_t memory);
void room_tick(forward_t *f, ms_t now);

/* content.c */
uint64_t content_of_head(const http_head_t *h, const call_info_t *call);
uint64_t content_of(uint64_t head, const char *customer,
		    const GByteArray *body);

/* form.c */
uint64_t form_of_answer(const http_head_t *h);

/* answer.c */
void answer_drop(exchange_t *x);
void answer_send(exchange_t *x);
void answer_head_read(exchange_t *x, const http_head_t *h);
void answer_body_read(exchange_t *x, str_t data);
bool answer_body_end(exchange_t *x);

/* exchange.c */
exchange_t *exchange_new(caller_t *c, const http_head_t *h);
void exchange_start(exchange_t *x, ms_t now);
void exchange_abort(exchange_t *x, const char *why, ms_t now);
bool exchange_running(const exchange_t *x);
void exchange_stop(exchange_t *x, ms_t now);
bool exchange_leave_silent(exchange_t *x, ms_t now);
void exchange_tick(exchange_t *x, ms_t now);
void exchange_attempt_end(exchange_t *x, attempt_result_t how, ms_t now);
void exchange_refuse(exchange_t *x, code_t code, ms_t retry_after);

/* trace.c */
void trace_add(exchange_t *x, ms_t now, const char *step, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);
bool trace_should_log(exchange_t *x, bool failed, ms_t now);
char *trace_parts(const exchange_t *x);
void trace_log(const exchange_t *x);
void trace_clear(exchange_t *x);

/* server_conn.c */
void server_conn_send(exchange_t *x);
void server_conn_close(server_conn_t *c);
void server_conns_tick(forward_t *f, ms_t now);

/* forward.c */
bool forward_refuses_new(const forward_t *f, ms_t now);
void forward_resume_callers(forward_t *f);
void forward_defer(forward_t *f);

#endif
