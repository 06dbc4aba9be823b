/*
 * Reads HTTP messages with the library http-parser. A head is passed on whole,
 * after the checks of check.c, which the library does not make.
 */
#include <string.h>
#include "http/fns.h"

enum {
	/* Beyond the limit of a head; a chunk of one byte has 5 around it. */
	FRAMING_PER_BYTE = 8,
};

/*
 * The head being parsed, of any reader: filled and used within one call of
 * parse_head, which gives the library a whole head.
 */
static http_head_t parsed_head;

static int on_url(http_parser *p, const char *at, size_t n)
{
	(void)p;
	parsed_head.target = (str_t){ at, n };
	return 0;
}

/* Whether the library reads a trailer. They are dropped. */
static bool in_trailer(const http_parser *p)
{
	const http_reader_t *r = p->data;

	return r->in_body;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	if (in_trailer(p))
		return 0;
	if (parsed_head.nfields == HTTP_FIELDS_MAX)
		return 1;
	parsed_head.fields[parsed_head.nfields++] =
		(http_field_t){ { at, n }, { "", 0 } };
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	if (in_trailer(p))
		return 0;
	while (n > 0 && (at[n - 1] == ' ' || at[n - 1] == '\t'))
		n--;
	parsed_head.fields[parsed_head.nfields - 1].value = (str_t){ at, n };
	return 0;
}

static int on_head(http_parser *p)
{
	http_reader_t *r = p->data;
	const char *method;
	bool no_body;

	parsed_head.status = p->status_code;
	parsed_head.major = p->http_major;
	parsed_head.minor = p->http_minor;
	parsed_head.keep_alive = http_should_keep_alive(p);
	parsed_head.chunked = (p->flags & F_CHUNKED) != 0;
	parsed_head.has_length = (p->flags & F_CONTENTLENGTH) != 0;
	parsed_head.content_length =
		parsed_head.has_length ? p->content_length : 0;
	if (p->type == HTTP_REQUEST) {
		method = http_method_str(p->method);
		parsed_head.method = str_of(method);
	}
	if (http_fields_check(&parsed_head, p->type == HTTP_REQUEST) != CODE_OK)
		return -1;
	r->in_body = true;
	r->data = 0;
	r->framing = 0;
	r->chunked = parsed_head.chunked;
	chunk_check_init(&r->chunks);
	if (p->type == HTTP_RESPONSE && http_is_interim(&parsed_head))
		return 0;
	r->head_passed = true;
	no_body = r->ops->head(r->ctx, &parsed_head);
	if (p->type == HTTP_RESPONSE &&
	    !http_status_has_body(parsed_head.status))
		no_body = true;
	return no_body ? 1 : 0; /* 1: the library reads no body */
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	http_reader_t *r = p->data;

	r->data += n;
	if (r->head_passed && !r->stopped)
		r->ops->body(r->ctx, (str_t){ at, n });
	if (r->stopped)
		http_parser_pause(p, 1);
	return 0;
}

static int on_end(http_parser *p)
{
	http_reader_t *r = p->data;

	r->in_body = false;
	p->upgrade = 0;
	http_parser_pause(p, 1);
	if (!r->head_passed)
		return 0;
	r->head_passed = false;
	r->heads = 0;
	if (!r->stopped)
		r->ops->end(r->ctx);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

/* Prepares a reader of requests or, if requests is false, of answers. */
void http_reader_init(http_reader_t *r, bool requests, size_t head_max,
		      const http_reader_ops_t *ops, void *ctx)
{
	memset(r, 0, sizeof(*r));
	http_parser_init(&r->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
	r->partial = g_byte_array_new();
	r->head_max = head_max;
	r->ops = ops;
	r->ctx = ctx;
}

/* Frees the reader's buffer. */
void http_reader_clear(http_reader_t *r)
{
	if (r->partial)
		g_byte_array_free(r->partial, TRUE);
	r->partial = NULL;
}

/* Makes a feed in progress return and later ones read nothing. */
void http_reader_stop(http_reader_t *r)
{
	r->stopped = true;
}

/* Whether no byte has come since the last message ended. */
bool http_reader_idle(const http_reader_t *r)
{
	return !r->in_body && r->partial->len == 0;
}

/* Gives bytes to the library; used: how many it took. */
static code_t execute(http_reader_t *r, const char *p, size_t n, size_t *used)
{
	enum http_errno err;

	*used = http_parser_execute(&r->parser, &callbacks, p, n);
	err = HTTP_PARSER_ERRNO(&r->parser);
	if (err == HPE_PAUSED) {
		http_parser_pause(&r->parser, 0);
		err = HPE_OK;
	}
	return err == HPE_OK ? CODE_OK : CODE_BAD_REQUEST;
}

/*
 * Returns the length of the head in p with its empty line, 0 if it is not
 * complete. The first from bytes are known to hold no end.
 */
static size_t head_length(const char *p, size_t n, size_t from)
{
	const char *end;

	from = from > 3 ? from - 3 : 0;
	end = memmem(p + from, n - from, "\r\n\r\n", 4);
	return end ? (size_t)(end - p) + 4 : 0;
}

/* Refuses a head over the limit, even before the rest of it has come. */
static code_t refuse_large(http_reader_t *r)
{
	r->too_large = true;
	return CODE_TOO_LARGE;
}

static code_t parse_head(http_reader_t *r, const char *p, size_t n)
{
	size_t used;
	code_t code = http_head_check(p, n, r->parser.type == HTTP_REQUEST);

	if (code != CODE_OK)
		return code;
	r->heads += n;
	if (r->heads > r->head_max)
		return refuse_large(r);
	memset(&parsed_head, 0, offsetof(http_head_t, fields));
	return execute(r, p, n, &used);
}

static code_t feed_head(http_reader_t *r, const char *p, size_t n, size_t *used)
{
	size_t had = r->partial->len;
	size_t len;
	code_t code;

	if (had == 0) {
		len = head_length(p, n, 0);
		if (len > 0 && len <= r->head_max) {
			*used = len;
			return parse_head(r, p, len);
		}
	}
	*used = n;
	g_byte_array_append(r->partial, (const guint8 *)p, n);
	len = head_length((char *)r->partial->data, r->partial->len,
			  r->scanned);
	r->scanned = r->partial->len;
	if (len == 0)
		return r->partial->len > r->head_max ? refuse_large(r)
						     : CODE_OK;
	if (len > r->head_max)
		return refuse_large(r);
	*used = len - had;
	code = parse_head(r, (char *)r->partial->data, len);
	g_byte_array_set_size(r->partial, 0);
	r->scanned = 0;
	return code;
}

static code_t feed_body(http_reader_t *r, const char *p, size_t n, size_t *used)
{
	size_t had = r->data;
	size_t sound = r->chunked ? chunk_check(&r->chunks, p, n) : n;
	code_t code = CODE_OK;

	*used = 0;
	if (sound > 0)
		code = execute(r, p, sound, used);
	if (code == CODE_OK && sound < n && r->in_body && !r->stopped)
		code = CODE_BAD_REQUEST;

	r->framing += *used - (r->data - had);
	if (code == CODE_OK && r->in_body &&
	    r->framing > r->head_max + FRAMING_PER_BYTE * r->data)
		return refuse_large(r);
	return code;
}

/*
 * Reads bytes up to the end of a message at most; used: how many were read.
 * Returns CODE_BAD_REQUEST for bytes that are not HTTP, CODE_TOO_LARGE for a
 * head over the limit, interim heads counted in, or for more chunk lines and
 * trailers than the data accounts for.
 */
code_t http_reader_feed(http_reader_t *r, const char *p, size_t n, size_t *used)
{
	code_t code = CODE_OK;
	size_t taken;

	*used = 0;
	while (code == CODE_OK && *used < n && !r->stopped) {
		bool body = r->in_body;

		code = body ? feed_body(r, p + *used, n - *used, &taken)
			    : feed_head(r, p + *used, n - *used, &taken);
		*used += taken;
		if (!r->in_body && r->partial->len == 0)
			break;
	}
	return code;
}

/*
 * Handles the end of the connection. Returns CODE_OK if it completes a message
 * or falls between two, CODE_CUT otherwise.
 */
code_t http_reader_eof(http_reader_t *r)
{
	if (r->partial->len > 0)
		return CODE_CUT;
	if (!r->in_body)
		return CODE_OK;
	http_parser_execute(&r->parser, &callbacks, NULL, 0);
	return r->in_body ? CODE_CUT : CODE_OK;
}
