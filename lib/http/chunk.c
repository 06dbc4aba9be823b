/*
 * Checks the lines of the chunked coding, ahead of the library http-parser: it
 * lets some pass that another parser ends elsewhere, which can hide a request
 * in a body.
 */
#include "http/fns.h"

/* Prepares for the first line of a body. */
void chunk_check_init(chunk_check_t *c)
{
	c->state = CHUNK_START;
	c->left = 0;
}

static int hex_value(char ch)
{
	return g_ascii_isxdigit(ch) ? g_ascii_xdigit_value(ch) : -1;
}

/* The first or a later character of a chunk's size. */
static bool size_next(chunk_check_t *c, char ch)
{
	int digit = hex_value(ch);

	if (digit >= 0) {
		if (c->left > UINT64_MAX >> 4)
			return false;
		c->left = c->left << 4 | (uint64_t)digit;
		c->state = CHUNK_SIZE;
		return true;
	}
	if (c->state == CHUNK_START)
		return false;
	c->state = ch == '\r' ? CHUNK_SIZE_LF : CHUNK_EXTENSION;
	return ch == '\r' || ch == ';' || ch == ' ' || ch == '\t';
}

static bool extension_next(chunk_check_t *c, char ch)
{
	if (ch == '\r')
		c->state = CHUNK_SIZE_LF;
	return ch == '\r' || ch == '\t' || !g_ascii_iscntrl(ch);
}

/* A character of the trailers, which end in an empty line. */
static bool trailer_next(chunk_check_t *c, char ch)
{
	bool starts = c->state == CHUNK_TRAILER_START;

	if (ch == '\r') {
		c->state = starts ? CHUNK_LAST_LF : CHUNK_TRAILER_LF;
		return true;
	}
	c->state = CHUNK_TRAILER;
	return (ch == '\t' || !g_ascii_iscntrl(ch)) &&
	       !(starts && (ch == ' ' || ch == '\t'));
}

/* The character has to be this one; then comes the next state. */
static bool expect(chunk_check_t *c, char ch, char want, chunk_state_t next)
{
	c->state = next;
	return ch == want;
}

static bool next(chunk_check_t *c, char ch)
{
	switch (c->state) {
	case CHUNK_START:
	case CHUNK_SIZE:
		return size_next(c, ch);
	case CHUNK_EXTENSION:
		return extension_next(c, ch);
	case CHUNK_SIZE_LF:
		return expect(c, ch, '\n',
			      c->left > 0 ? CHUNK_DATA : CHUNK_TRAILER_START);
	case CHUNK_DATA_CR:
		return expect(c, ch, '\r', CHUNK_DATA_LF);
	case CHUNK_DATA_LF:
		return expect(c, ch, '\n', CHUNK_START);
	case CHUNK_TRAILER_START:
	case CHUNK_TRAILER:
		return trailer_next(c, ch);
	case CHUNK_TRAILER_LF:
		return expect(c, ch, '\n', CHUNK_TRAILER_START);
	case CHUNK_LAST_LF:
		return expect(c, ch, '\n', CHUNK_DONE);
	case CHUNK_DATA:
	case CHUNK_DONE:
		break;
	}
	return true;
}

/*
 * Checks the next bytes of a body, up to its end; what follows that is not
 * looked at. Returns how many bytes come before the first that is not as it has
 * to be; n if there is none.
 */
size_t chunk_check(chunk_check_t *c, const char *p, size_t n)
{
	size_t i = 0;

	while (i < n && c->state != CHUNK_DONE) {
		if (c->state == CHUNK_DATA) {
			size_t data = (size_t)MIN(c->left, n - i);

			c->left -= data;
			i += data;
			if (c->left == 0)
				c->state = CHUNK_DATA_CR;
		} else if (next(c, p[i])) {
			i++;
		} else {
			return i;
		}
	}
	return n;
}
