/* One connection to another process: frames, handshake, write queue. */
#ifndef NET_CONN_H
#define NET_CONN_H

#include "net/fns.h"

typedef struct conn conn_t;

typedef enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* ours is sent, theirs has not come */
	CONN_AUTH,  /* both hellos are known, their proof has not come */
	CONN_READY,
	CONN_CLOSED,
} conn_state_t;

enum {
	READ_BUFFER = 64 << 10,	    /* bytes */
	HANDSHAKE_FRAME_MAX = 4096, /* bytes, until the key is proved */
};

/* What all connections of a process share. */
typedef struct conn_env {
	peers_conf_t conf;
	list_t dirty; /* connections that conn_flush has to look at */
	char read_buffer[READ_BUFFER];
	counter_t *opened;
	counter_t *auth_failures;
	counter_t *bytes_in;
	counter_t *bytes_out;
	counter_t *frames_in;
	counter_t *frames_out;
	counters_t *all;
} conn_env_t;

typedef struct conn_ops {
	/* The other end has proved to know the key. */
	void (*ready)(void *ctx, conn_t *c);
	/* A message other than hello, auth and beat. */
	void (*recv)(void *ctx, conn_t *c, const msg_t *m);
	/* Told once, inside conn_close. */
	void (*closing)(void *ctx, conn_t *c, code_t code);
	/* The memory is about to be freed. */
	void (*gone)(void *ctx, conn_t *c);
} conn_ops_t;

struct conn {
	list_t link;
	list_t dirty;
	bool is_dirty;
	conn_env_t *env;
	conn_ops_t ops;
	void *ctx;
	char *want_name; /* outgoing: who must answer; NULL: anyone */
	uv_tcp_t tcp;
	uv_connect_t connecting;
	uv_write_t write;
	conn_state_t state;
	conn_state_t was; /* before it was closed */
	code_t doomed;	  /* to be closed by the next conn_flush; 0 no */
	framer_t in;
	decoder_t decoder;
	GByteArray *out;     /* encoded, not yet given to the system */
	GByteArray *writing; /* owned by a write in progress */
	size_t written;	     /* bytes at the front of writing that are out */
	bool write_busy;
	uint8_t nonce[WIRE_NONCE_SIZE];
	msg_hello_t mine;
	msg_hello_t theirs; /* its strings are owned */
	ms_t opened;
	ms_t last_read;
	ms_t last_beat; /* or any other message sent */
	bool spoke;	/* a message was sent since the last tick */
	uint64_t beats;
};

void conn_env_init(conn_env_t *env, const peers_conf_t *conf,
		   counters_t *counters);
conn_t *conn_new(uv_loop_t *loop, conn_env_t *env, const conn_ops_t *ops,
		 void *ctx);
void conn_accept(conn_t *c, uv_stream_t *listener, ms_t now);
void conn_connect(conn_t *c, const char *want_name, const addr_t *to, ms_t now);
void conn_send(conn_t *c, const msg_t *m);
void conn_flush(conn_t *c);
void conn_tick(conn_t *c, ms_t now);
void conn_close(conn_t *c, code_t code);

#endif
