/*
 * The content of a request, as a hash: what a server is asked to do, and for
 * whom. Repeats of a request by its caller have the same content.
 */
#include <string.h>
#include "forward/priv.h"

/* Returns the hash of a request's method, host and path. */
uint64_t content_of_head(const http_head_t *h, const call_info_t *call)
{
	uint64_t sum = hash64(h->method.p, h->method.n, 0);

	sum = hash64(call->host.p, call->host.n, sum);
	return hash64(call->target.p, call->target.n, sum);
}

/*
 * Returns the hash of the whole content: the head's, with the customer, NULL
 * for none, and the body.
 */
uint64_t content_of(uint64_t head, const char *customer, const GByteArray *body)
{
	uint64_t sum =
		customer ? hash64(customer, strlen(customer), head) : head;

	return hash64(body->data, body->len, sum);
}
