/*
 * Checks of heads against request smuggling: a message that two parsers could
 * read differently is refused. The library http-parser lets these pass.
 */
#include <string.h>
#include "http/fns.h"

enum {
	STATUS_AT = 9, /* bytes before the status: "HTTP/1.1 " */
	STATUS_DIGITS = 3,
	STATUS_MAX = 599, /* HTTP knows none above */
};

static bool is_token(unsigned char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool valid_name(const char *p, const char *colon)
{
	if (!colon || colon == p)
		return false;
	for (; p < colon; p++) {
		if (!is_token((unsigned char)*p))
			return false;
	}
	return true;
}

static bool valid_line(const char *p, size_t n, bool first)
{
	for (size_t i = 0; i < n; i++) {
		unsigned char c = (unsigned char)p[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return first ? n > 0 : valid_name(p, memchr(p, ':', n));
}

/*
 * Whether an answer's first line has a status of three digits. The library
 * reads any number of them, so that 0200 would be 200.
 */
static bool valid_status_line(const char *p, size_t n)
{
	size_t end = STATUS_AT + STATUS_DIGITS;

	if (n < end || p[STATUS_AT - 1] != ' ')
		return false;
	for (size_t i = STATUS_AT; i < end; i++) {
		if (!g_ascii_isdigit(p[i]))
			return false;
	}
	return n == end || p[end] == ' ';
}

/*
 * Checks the lines of a head, which ends in an empty line: each ends in CR LF,
 * none is folded, no field name is followed by a blank, and an answer's status
 * has three digits. Returns CODE_BAD_REQUEST otherwise.
 */
code_t http_head_check(const char *p, size_t n, bool request)
{
	const char *end = p + n - 2; /* the empty line */
	bool first = true;

	while (p < end) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));

		if (!nl || nl == p || nl[-1] != '\r' ||
		    !valid_line(p, (size_t)(nl - 1 - p), first))
			return CODE_BAD_REQUEST;
		if (first && !request &&
		    !valid_status_line(p, (size_t)(nl - 1 - p)))
			return CODE_BAD_REQUEST;
		p = nl + 1;
		first = false;
	}
	return CODE_OK;
}

/* Counts the fields of that name. */
static unsigned int count(const http_head_t *h, const char *name)
{
	unsigned int n = 0;

	for (size_t i = 0; i < h->nfields; i++)
		n += http_name_is(h->fields[i].name, name);
	return n;
}

static bool digits_only(str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		if (!g_ascii_isdigit(s.p[i]))
			return false;
	}
	return s.n > 0;
}

/*
 * Whether the head alone can be a request that we pass on. What follows the
 * head of a CONNECT is a body to one parser and a tunnel to another.
 */
static bool valid_request(const http_head_t *h)
{
	return count(h, "host") == 1 && !http_name_is(h->method, "CONNECT");
}

/*
 * Whether the head alone can be an answer. An interim one and 204 have no body,
 * so none may be announced; we never ask to switch to another protocol.
 */
static bool valid_status(const http_head_t *h, bool announces_body)
{
	if (h->status < HTTP_STATUS_CONTINUE || h->status > STATUS_MAX ||
	    h->status == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return false;
	if (h->status == HTTP_STATUS_NO_CONTENT)
		return !h->chunked && h->content_length == 0;
	return !http_is_interim(h) || !announces_body;
}

/*
 * Checks that the version is one of HTTP/1, that the body's length is given by
 * one field at most, either Content-Length or Transfer-Encoding: chunked, that
 * a request has one Host field and opens no tunnel, and that an answer has a
 * status that goes with its length. Returns CODE_BAD_REQUEST otherwise.
 */
code_t http_fields_check(const http_head_t *h, bool request)
{
	unsigned int lengths = count(h, "content-length");
	unsigned int encodings = count(h, "transfer-encoding");

	if (h->major != 1 || lengths + encodings > 1)
		return CODE_BAD_REQUEST;
	if (encodings && h->minor == 0) /* 1.0 has no codings */
		return CODE_BAD_REQUEST;
	if (lengths && !digits_only(http_value(h, "content-length")))
		return CODE_BAD_REQUEST;
	if (encodings &&
	    !http_name_is(http_value(h, "transfer-encoding"), "chunked"))
		return CODE_BAD_REQUEST;
	if (request ? !valid_request(h)
		    : !valid_status(h, lengths + encodings > 0))
		return CODE_BAD_REQUEST;
	return CODE_OK;
}
