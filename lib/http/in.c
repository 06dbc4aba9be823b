/*
 * Reads messages with the library http-parser. A head is handed over whole and
 * only after it has passed the checks that the library leaves out.
 */
#include <string.h>
#include "http/fns.h"

/* The head being parsed: filled and used within one call of feed. */
static http_head_t scratch;

static int on_url(http_parser *p, const char *at, size_t n)
{
	(void)p;
	scratch.target = (str_t){ at, n };
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	(void)p;
	if (scratch.nfields == HTTP_FIELDS_MAX)
		return 1;
	scratch.fields[scratch.nfields++] =
		(http_field_t){ { at, n }, { "", 0 } };
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	(void)p;
	while (n > 0 && (at[n - 1] == ' ' || at[n - 1] == '\t'))
		n--;
	scratch.fields[scratch.nfields - 1].value = (str_t){ at, n };
	return 0;
}

static int on_head(http_parser *p)
{
	http_in_t *in = p->data;
	const char *method;

	scratch.status = p->status_code;
	scratch.keep_alive = http_should_keep_alive(p);
	scratch.chunked = (p->flags & F_CHUNKED) != 0;
	scratch.measured = (p->flags & F_CONTENTLENGTH) != 0;
	scratch.length = scratch.measured ? p->content_length : 0;
	if (p->type == HTTP_REQUEST) {
		method = http_method_str(p->method);
		scratch.method = str_of(method);
	}
	if (http_fields_check(&scratch, p->type == HTTP_REQUEST) != CODE_OK)
		return -1;
	in->in_body = true;
	if (p->type == HTTP_RESPONSE && p->status_code < 200)
		return 0;
	return in->ops->head(in->ctx, &scratch) ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	http_in_t *in = p->data;

	if (!in->stopped)
		in->ops->body(in->ctx, (str_t){ at, n });
	if (in->stopped)
		http_parser_pause(p, 1);
	return 0;
}

static int on_end(http_parser *p)
{
	http_in_t *in = p->data;

	in->in_body = false;
	p->upgrade = 0;
	http_parser_pause(p, 1);
	if (p->type == HTTP_RESPONSE && p->status_code < 200)
		return 0;
	if (!in->stopped)
		in->ops->end(in->ctx);
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

/* Prepares a reader of requests, or else of answers. */
void http_in_init(http_in_t *in, bool requests, size_t head_max,
		  const http_in_ops_t *ops, void *ctx)
{
	memset(in, 0, sizeof(*in));
	http_parser_init(&in->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	in->parser.data = in;
	in->held = g_byte_array_new();
	in->head_max = head_max;
	in->ops = ops;
	in->ctx = ctx;
}

/* Frees what the reader holds. */
void http_in_clear(http_in_t *in)
{
	if (in->held)
		g_byte_array_free(in->held, TRUE);
	in->held = NULL;
}

/* Makes the running feed return, and later ones take nothing. */
void http_in_stop(http_in_t *in)
{
	in->stopped = true;
}

/* Whether no byte of a message has come since the last one ended. */
bool http_in_idle(const http_in_t *in)
{
	return !in->in_body && in->held->len == 0;
}

/* Gives bytes to the library; used says how many it took. */
static code_t execute(http_in_t *in, const char *p, size_t n, size_t *used)
{
	enum http_errno err;

	*used = http_parser_execute(&in->parser, &callbacks, p, n);
	err = HTTP_PARSER_ERRNO(&in->parser);
	if (err == HPE_PAUSED) {
		http_parser_pause(&in->parser, 0);
		err = HPE_OK;
	}
	return err == HPE_OK ? CODE_OK : CODE_BAD_REQUEST;
}

/* Length of the head in p, with its empty line, or 0 if it is not complete. */
static size_t head_length(const char *p, size_t n, size_t from)
{
	const char *end;

	from = from > 3 ? from - 3 : 0;
	end = memmem(p + from, n - from, "\r\n\r\n", 4);
	return end ? (size_t)(end - p) + 4 : 0;
}

static code_t parse_head(http_in_t *in, const char *p, size_t n)
{
	size_t used;
	code_t code = http_head_check(p, n);

	if (code != CODE_OK)
		return code;
	memset(&scratch, 0, offsetof(http_head_t, fields));
	return execute(in, p, n, &used);
}

/* A head over the limit is refused before the rest of it has come. */
static code_t too_large(http_in_t *in)
{
	in->too_large = true;
	return CODE_TOO_LARGE;
}

static code_t feed_head(http_in_t *in, const char *p, size_t n, size_t *used)
{
	size_t had = in->held->len;
	size_t len;
	code_t code;

	if (had == 0) {
		len = head_length(p, n, 0);
		if (len > 0 && len <= in->head_max) {
			*used = len;
			return parse_head(in, p, len);
		}
	}
	*used = n;
	g_byte_array_append(in->held, (const guint8 *)p, n);
	len = head_length((char *)in->held->data, in->held->len, in->scanned);
	in->scanned = in->held->len;
	if (len == 0)
		return in->held->len > in->head_max ? too_large(in) : CODE_OK;
	if (len > in->head_max)
		return too_large(in);
	*used = len - had;
	code = parse_head(in, (char *)in->held->data, len);
	g_byte_array_set_size(in->held, 0);
	in->scanned = 0;
	return code;
}

/*
 * Reads bytes up to the end of a message at most; used says how far. Blank
 * lines between messages are skipped. Returns CODE_BAD_REQUEST for bytes that
 * are no HTTP message, CODE_TOO_LARGE for a head over the limit.
 */
code_t http_in_feed(http_in_t *in, const char *p, size_t n, size_t *used)
{
	code_t code = CODE_OK;
	size_t took;

	*used = 0;
	while (code == CODE_OK && *used < n && !in->stopped) {
		bool body = in->in_body;

		code = body ? execute(in, p + *used, n - *used, &took)
			    : feed_head(in, p + *used, n - *used, &took);
		*used += took;
		if (!in->in_body && in->held->len == 0)
			break;
	}
	return code;
}

/*
 * Tells the reader that the connection ended. Returns CODE_OK when that
 * completes a message or falls between two, CODE_CUT otherwise.
 */
code_t http_in_eof(http_in_t *in)
{
	if (in->held->len > 0)
		return CODE_CUT;
	if (!in->in_body)
		return CODE_OK;
	http_parser_execute(&in->parser, &callbacks, NULL, 0);
	return in->in_body ? CODE_CUT : CODE_OK;
}
