/* Messages between processes of ours; docs/PROTOCOLS.md describes them. */
#ifndef WIRE_DAT_H
#define WIRE_DAT_H

#include "base/dat.h"

enum {
	WIRE_VERSION = 1,
	WIRE_FRAME_MAX = 16 << 20, /* bytes of one frame's payload */
	WIRE_HEADER_SIZE = 4,	   /* bytes: payload length, big endian */
	WIRE_NONCE_SIZE = 16,	   /* bytes */
	WIRE_MAC_SIZE = 32,	   /* bytes: HMAC-SHA-256 */
	WIRE_KV_MAX = 4096,	   /* facts of one message */
};

typedef enum msg_type {
	MSG_HELLO = 1,
	MSG_AUTH,
	MSG_BEAT,
	MSG_STATE,
	MSG_FACTS,
	MSG_CONF_GET,
	MSG_CONF,
	MSG_OFFER,
	MSG_WITHDRAW,
	MSG_GRANT,
	MSG_REFUSE,
	MSG_BODY,
	MSG_NOT_RUN,
	MSG_HEAD,
	MSG_CHUNK,
	MSG_END,
	MSG_ACK,
	MSG_RESUME,
	MSG_CANCEL,
	MSG_SLOT_REQUEST,
	MSG_QUOTA_JOIN,
	MSG_QUOTA_LEAVE,
	MSG_QUOTA_LEFT,
	MSG_QUOTA_TAKE,
	MSG_QUOTA_ANSWER,
	MSG_RELAY,
	MSG_TYPE_END,
} msg_type_t;

/* First message on a connection, sent by both ends at once. */
typedef struct msg_hello {
	uint64_t version; /* WIRE_VERSION */
	str_t role;	  /* "entry" or "sidecar" */
	str_t name;
	str_t data_center;
	uint64_t inc; /* the sender's incarnation, new at every start */
	str_t nonce;  /* WIRE_NONCE_SIZE bytes */
} msg_hello_t;

/* Answer to the other end's hello: HMAC over both hellos. */
typedef struct msg_auth {
	str_t mac; /* WIRE_MAC_SIZE bytes */
} msg_auth_t;

/* Heartbeat, sent at a fixed period both ways. */
typedef struct msg_beat {
	uint64_t seq;
} msg_beat_t;

/* A sidecar's state, by which entries choose among sidecars. */
typedef struct msg_state {
	str_t service;
	str_t versions;	       /* loaded, comma separated, oldest first */
	uint64_t speed;	       /* output tokens a second, measured; 0 unknown */
	uint64_t limit;	       /* tokens of work the engine runs at a time */
	uint64_t used;	       /* tokens of work running or granted */
	uint64_t waiting;      /* tokens of work waiting */
	uint64_t waiting_high; /* of those, tokens in tiers 0 and 1 */
	uint64_t draining;     /* 1: grants no more offers */
} msg_state_t;

/* A register that only grows; two values of a key are merged by maximum. */
typedef struct fact_kv {
	str_t key;
	uint64_t value;
} fact_kv_t;

/* Facts that changed since the last such message on this connection. */
typedef struct msg_facts {
	size_t n;
	fact_kv_t *kv;
} msg_facts_t;

/* Requests a peer's active configuration. */
typedef struct msg_conf_get {
	uint64_t newer_than; /* log offset; no reply unless the peer's is higher
			      */
} msg_conf_get_t;

/* A configuration and the log offset at which it was accepted. */
typedef struct msg_conf {
	uint64_t offset;
	str_t text;
} msg_conf_t;

/* An entry requests a slot for a request. Idempotent. */
typedef struct msg_offer {
	rid_t rid;
	str_t service;
	str_t version;
	str_t customer;
	uint64_t tier;
	uint64_t prompt_tokens; /* counted or estimated */
	uint64_t output_tokens; /* estimated */
	uint64_t prefix;	/* hash of the prompt's start; 0 none */
	uint64_t left_ms;	/* time left until the deadline */
} msg_offer_t;

/* The entry withdraws its offer or returns its grant. */
typedef struct msg_withdraw {
	rid_t rid;
} msg_withdraw_t;

/* A slot lease of lease_ms, which starts when the sidecar sends this. */
typedef struct msg_grant {
	rid_t rid;
	uint64_t grant; /* number of this grant at this sidecar */
	uint64_t lease_ms;
} msg_grant_t;

/*
 * The sidecar refuses an offer or evicts it from its queue. For hold_ms after
 * sending this it accepts no offer of a tier lower than the refused one.
 */
typedef struct msg_refuse {
	rid_t rid;
	uint64_t code; /* code_t */
	uint64_t hold_ms;
	uint64_t retry_ms; /* estimated time until a slot is free */
} msg_refuse_t;

/* The whole request, for a granted slot. Dispatched at most once. */
typedef struct msg_body {
	rid_t rid;
	uint64_t grant;
	uint64_t left_ms;
	uint64_t max_output;
	str_t version;
	str_t method;
	str_t path;
	str_t content_type;
	str_t route;
	uint64_t stream; /* 1: the caller wants server-sent events */
	str_t body;
	str_t key; /* Idempotency-Key; empty when there is none */
} msg_body_t;

/* The request was not run here: no byte of it reached the engine. */
typedef struct msg_not_run {
	rid_t rid;
	uint64_t code; /* code_t of the 2xx group below CODE_PATH_LOST */
} msg_not_run_t;

/* Status and type of the engine's answer; precedes every chunk. */
typedef struct msg_head {
	rid_t rid;
	uint64_t status;
	str_t content_type;
} msg_head_t;

/* Part of the answer. Chunks are numbered from 1; the head is number 0. */
typedef struct msg_chunk {
	rid_t rid;
	uint64_t seq;
	str_t data;
} msg_chunk_t;

/* The answer's end: complete only with CODE_OK and all chunks received. */
typedef struct msg_end {
	rid_t rid;
	uint64_t code;	 /* code_t */
	uint64_t chunks; /* number of the last chunk */
	uint64_t output_tokens;
	uint64_t first_ms; /* dispatch to first chunk, at the sidecar */
	uint64_t gap_ms;   /* mean inter-token gap, at the sidecar */
} msg_end_t;

/* The entry has received all chunks up to seq and, if end is 1, the end. */
typedef struct msg_ack {
	rid_t rid;
	uint64_t seq;
	uint64_t end;
} msg_ack_t;

/* Sent on a new connection: resend the chunks (0: head) from number from on. */
typedef struct msg_resume {
	rid_t rid;
	uint64_t from;
} msg_resume_t;

/* Cancels a request whose caller no longer waits for the answer. */
typedef struct msg_cancel {
	rid_t rid;
} msg_cancel_t;

/*
 * An edge host requests a slot of a server from the server's keeper. Answered
 * by a grant; a withdraw message cancels the request or releases the slot.
 */
typedef struct msg_slot_request {
	rid_t rid;
	uint64_t priority;
	uint64_t slots;	      /* of the server, as the platform lists it */
	uint64_t target_ms;   /* time left to meet the target */
	uint64_t deadline_ms; /* time left until the slot is useless */
	str_t server;
} msg_slot_request_t;

/*
 * An edge host uses the receiver as a customer's quota server from now on, or
 * repeats its word after a change. Amounts are in thousandths of the quota's
 * unit.
 */
typedef struct msg_quota_join {
	uint64_t version; /* of the configuration with the limit */
	uint64_t rate;	  /* per second */
	uint64_t burst;
	uint64_t hosts; /* edge hosts that the sender knows; 0: not known yet */
	str_t customer;
} msg_quota_join_t;

/* The host no longer uses the receiver for the customer; and the reply. */
typedef struct msg_quota_leave {
	str_t customer;
} msg_quota_leave_t;

/* A request uses its customer's quota. */
typedef struct msg_quota_take {
	rid_t rid;
	uint64_t priority;
	uint64_t cost; /* thousandths */
	str_t customer;
} msg_quota_take_t;

typedef struct msg_quota_answer {
	rid_t rid;
	uint64_t granted; /* 1: the request may be sent */
	uint64_t retry_ms;
} msg_quota_answer_t;

/* What a relay has read of a topic of the platform's store. */
typedef struct msg_relay {
	str_t topic;
	uint64_t from;	   /* offset of the first record read */
	uint64_t to;	   /* offset after the last one */
	uint64_t complete; /* 1: all that matters of them is in records; 0: the
			      receiver has to read them itself */
	str_t records;
} msg_relay_t;

/*
 * One message. Strings of a decoded message point into the frame's payload,
 * and facts into memory of the decoder; both live until the next decode.
 */
typedef struct msg {
	msg_type_t type;
	union {
		msg_hello_t hello;
		msg_auth_t auth;
		msg_beat_t beat;
		msg_state_t state;
		msg_facts_t facts;
		msg_conf_get_t conf_get;
		msg_conf_t conf;
		msg_offer_t offer;
		msg_withdraw_t withdraw;
		msg_grant_t grant;
		msg_refuse_t refuse;
		msg_body_t body;
		msg_not_run_t not_run;
		msg_head_t head;
		msg_chunk_t chunk;
		msg_end_t end;
		msg_ack_t ack;
		msg_resume_t resume;
		msg_cancel_t cancel;
		msg_slot_request_t slot_request;
		msg_quota_join_t quota_join;
		msg_quota_leave_t quota_leave;
		msg_quota_leave_t quota_left;
		msg_quota_take_t quota_take;
		msg_quota_answer_t quota_answer;
		msg_relay_t relay;
	} u;
} msg_t;

/* Decodes payloads into messages. */
typedef struct decoder {
	fact_kv_t *kv;	 /* facts of the last decoded MSG_FACTS */
	size_t capacity; /* allocated length of kv */
} decoder_t;

/* Buffers bytes received on a connection and splits them into frames. */
typedef struct framer {
	GByteArray *buf;
	size_t consumed;  /* bytes at the front already returned */
	size_t max_frame; /* bytes */
} framer_t;

#endif
