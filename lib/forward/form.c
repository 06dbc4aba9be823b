/*
 * The form of an answer, as a hash: what the bytes of its body are. A second
 * server's answer can go on with that of the first only in the same form.
 */
#include "forward/priv.h"

enum {
	FORM_NAME_MAX = 64, /* of a media type or coding; longer ones are cut */
};

/* Adds a name to the hash, in any case, without the parameters behind it. */
static uint64_t hash_name(str_t text, uint64_t sum)
{
	char name[FORM_NAME_MAX];
	size_t n = 0;

	while (n < text.n && n < sizeof(name) && text.p[n] != ';' &&
	       text.p[n] != ' ') {
		name[n] = g_ascii_tolower(text.p[n]);
		n++;
	}
	return hash64(name, n, sum);
}

/*
 * Returns the hash of the answer's status, media type and content coding.
 */
uint64_t form_of_answer(const http_head_t *h)
{
	uint64_t sum = hash64(&h->status, sizeof(h->status), 0);

	sum = hash_name(http_value(h, "content-type"), sum);
	return hash_name(http_value(h, "content-encoding"), sum);
}
