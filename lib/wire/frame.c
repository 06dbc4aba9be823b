/* Cutting a byte stream into frames. */
#include "wire/fns.h"

/* Prepares an empty framer that takes payloads of at most max_frame bytes. */
void framer_init(framer_t *f, size_t max_frame)
{
	f->buf = g_byte_array_new();
	f->used = 0;
	f->max_frame = max_frame;
}

/* Frees the buffer. */
void framer_clear(framer_t *f)
{
	if (f->buf)
		g_byte_array_free(f->buf, TRUE);
	f->buf = NULL;
}

/* Adds bytes just read. Payloads returned before become invalid. */
void framer_add(framer_t *f, const char *p, size_t n)
{
	if (f->used > 0) {
		g_byte_array_remove_range(f->buf, 0, f->used);
		f->used = 0;
	}
	g_byte_array_append(f->buf, (const guint8 *)p, n);
}

/*
 * Sets payload to the next whole frame. Errors: CODE_TRUNCATED when more bytes
 * are needed, CODE_FRAME_TOO_LARGE when the connection must be closed.
 */
code_t framer_next(framer_t *f, str_t *payload)
{
	const guint8 *p = f->buf->data + f->used;
	size_t have = f->buf->len - f->used;
	size_t n;

	if (have < WIRE_HEADER_SIZE)
		return CODE_TRUNCATED;
	n = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
	if (n > f->max_frame)
		return CODE_FRAME_TOO_LARGE;
	if (have - WIRE_HEADER_SIZE < n)
		return CODE_TRUNCATED;
	payload->p = (const char *)p + WIRE_HEADER_SIZE;
	payload->n = n;
	f->used += WIRE_HEADER_SIZE + n;
	return CODE_OK;
}
