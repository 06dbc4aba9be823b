/*
 * Framing of callers' requests. The HTTP library takes the last of several
 * Content-Length fields and prefers Transfer-Encoding to any; another parser on
 * the way may not. So the bytes of each head are read again, strictly.
 */
#include <string.h>
#include "fns.h"
#include "http/fns.h"

static bool on_head(void *ctx, const http_head_t *h)
{
	(void)ctx;
	(void)h;
	return false;
}

static void on_body(void *ctx, str_t data)
{
	(void)ctx;
	(void)data;
}

static void on_end(void *ctx)
{
	(void)ctx;
}

/* Returns the length of the head at the start of the bytes; 0: not whole. */
static size_t head_length(const char *p, size_t n)
{
	static const char end[] = "\r\n\r\n";
	const char *at = memmem(p, n, end, strlen(end));

	return at ? (size_t)(at - p) + strlen(end) : 0;
}

/*
 * Checks the head of a request that the HTTP library has just read, whose bytes
 * are still in the socket's buffer. Returns CODE_BAD_REQUEST when the length of
 * its body, or its host, could be read in two ways.
 */
code_t framing_check(const h2o_req_t *req)
{
	static const http_reader_ops_t ops = { on_head, on_body, on_end };
	const h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	const char *bytes = sock->input->bytes;
	size_t n = head_length(bytes, sock->input->size);
	http_reader_t reader;
	size_t used;
	code_t code;

	if (n == 0)
		return CODE_BAD_REQUEST;
	http_reader_init(&reader, true, n, &ops, NULL);
	code = http_reader_feed(&reader, bytes, n, &used);
	http_reader_clear(&reader);
	return code == CODE_OK ? CODE_OK : CODE_BAD_REQUEST;
}
