/* Splits a byte stream into frames. */
#include "wire/fns.h"

/* Initializes a framer that accepts payloads of at most max_frame bytes. */
void framer_init(framer_t *f, size_t max_frame)
{
	f->buf = g_byte_array_new();
	f->consumed = 0;
	f->max_frame = max_frame;
}

/* Frees the buffer. */
void framer_clear(framer_t *f)
{
	if (f->buf)
		g_byte_array_free(f->buf, TRUE);
	f->buf = NULL;
}

/* Appends received bytes. Payloads returned earlier become invalid. */
void framer_add(framer_t *f, const char *p, size_t n)
{
	if (f->consumed > 0) {
		g_byte_array_remove_range(f->buf, 0, f->consumed);
		f->consumed = 0;
	}
	g_byte_array_append(f->buf, (const guint8 *)p, n);
}

/*
 * Sets payload to that of the next complete frame. Errors: CODE_TRUNCATED when
 * more bytes are needed, CODE_FRAME_TOO_LARGE when the connection must be
 * closed.
 */
code_t framer_next(framer_t *f, str_t *payload)
{
	const guint8 *p = f->buf->data + f->consumed;
	size_t left = f->buf->len - f->consumed;
	size_t n;

	if (left < WIRE_HEADER_SIZE)
		return CODE_TRUNCATED;
	n = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
	if (n > f->max_frame)
		return CODE_FRAME_TOO_LARGE;
	if (left - WIRE_HEADER_SIZE < n)
		return CODE_TRUNCATED;
	payload->p = (const char *)p + WIRE_HEADER_SIZE;
	payload->n = n;
	f->consumed += WIRE_HEADER_SIZE + n;
	return CODE_OK;
}
