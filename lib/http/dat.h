/*
 * Reads HTTP/1.1 messages: heads are checked strictly, bodies are passed on as
 * they arrive. Does no I/O.
 */
#ifndef HTTP_DAT_H
#define HTTP_DAT_H

#include <http_parser.h>
#include "base/dat.h"

enum {
	HTTP_FIELDS_MAX = 96, /* header fields of a message; more are refused */
};

typedef struct http_field {
	str_t name;
	str_t value;
} http_field_t;

/* A parsed head. The strings point into the bytes that were fed. */
typedef struct http_head {
	str_t method; /* requests */
	str_t target; /* requests: path and query */
	int status;   /* answers */
	int major;    /* of HTTP's version; others than 1 are refused */
	int minor;
	size_t nfields;
	http_field_t fields[HTTP_FIELDS_MAX];
	bool keep_alive;
	bool chunked;
	bool has_length; /* has a Content-Length */
	uint64_t content_length;
} http_head_t;

/*
 * Callbacks for the parts of a message. head comes once, body any number of
 * times, end once when the message is complete; always in this order. Interim
 * answers are read over. The head is valid during the
 * call only. A reader must not be freed from inside a call;
 * http_reader_stop ends feeding.
 */
typedef struct http_reader_ops {
	/* Returns true when no body follows whatever the head says (HEAD). */
	bool (*head)(void *ctx, const http_head_t *h);
	void (*body)(void *ctx, str_t data);
	void (*end)(void *ctx);
} http_reader_ops_t;

/* Where a chunked body is: what comes next. */
typedef enum chunk_state {
	CHUNK_START, /* the first digit of a size */
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_START, /* a trailer, or the empty line */
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_LAST_LF,
	CHUNK_DONE,
} chunk_state_t;

typedef struct chunk_check {
	chunk_state_t state;
	uint64_t left; /* bytes of the chunk */
} chunk_check_t;

/* Reads the messages of one direction of one connection. */
typedef struct http_reader {
	http_parser parser;
	const http_reader_ops_t *ops;
	void *ctx;
	GByteArray *partial; /* the start of a head that is not complete */
	size_t head_max;     /* bytes */
	size_t scanned;	     /* bytes of partial that hold no end of the head */
	size_t heads;	     /* bytes of the present message's heads, interim
				ones too */
	size_t data;	     /* bytes of the present body */
	size_t framing;	     /* bytes of chunk lines and trailers around them */
	bool in_body;
	bool chunked; /* the present body */
	chunk_check_t chunks;
	bool head_passed; /* of the present message, to the user */
	bool stopped;
	bool too_large; /* the last failure was the head's size */
} http_reader_t;

#endif
