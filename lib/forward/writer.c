/* Writes to a connection: at once if the system has room, else queued. */
#include <string.h>
#include "forward/fns.h"

enum {
	BUFFER_KEPT_MAX = 32 << 10, /* bytes of a buffer that is kept */
};

/* Empties a buffer for its next use; one that has grown large is freed. */
void buffer_empty(GByteArray **b)
{
	if (!*b)
		return;
	if ((*b)->len > BUFFER_KEPT_MAX)
		g_clear_pointer(b, g_byte_array_unref);
	else
		g_byte_array_set_size(*b, 0);
}

/* Prepares a writer. drained is called when the queue is empty; may be NULL. */
void writer_init(writer_t *w, uv_stream_t *to, void (*drained)(void *ctx),
		 void *ctx)
{
	memset(w, 0, sizeof(*w));
	w->to = to;
	w->drained = drained;
	w->ctx = ctx;
}

static void write_queued(writer_t *w);

static void on_written(uv_write_t *req, int status)
{
	writer_t *w = req->data;

	w->busy = false;
	buffer_empty(&w->writing);
	if (status < 0) {
		w->failed = true;
		return;
	}
	write_queued(w);
	if (!w->busy && w->drained)
		w->drained(w->ctx);
}

/* Gives what is queued to the event loop, unless a write is in progress. */
static void write_queued(writer_t *w)
{
	GByteArray *spare = w->writing;
	uv_buf_t buf;

	if (w->busy || !w->queued || w->queued->len == 0)
		return;
	w->writing = w->queued;
	w->queued = spare;
	buf = uv_buf_init((char *)w->writing->data, w->writing->len);
	w->req.data = w;
	w->busy = uv_write(&w->req, w->to, &buf, 1, on_written) == 0;
	w->sent_any =
		w->sent_any || w->busy; /* a part may go out before it fails */
	if (!w->busy)
		w->failed = true;
}

/* Writes bytes; queues a copy of those that the system doesn't take now. */
void writer_put(writer_t *w, const void *p, size_t n)
{
	uv_buf_t buf = uv_buf_init((char *)p, (unsigned int)n);
	int taken = 0;

	if (w->failed || n == 0)
		return;
	if (!w->busy && (!w->queued || w->queued->len == 0)) {
		taken = uv_try_write(w->to, &buf, 1);
		if (taken < 0 && taken != UV_EAGAIN) {
			w->failed = true;
			return;
		}
		taken = MAX(taken, 0);
		w->sent_any = w->sent_any || taken > 0;
	}
	if ((size_t)taken == n)
		return;
	if (!w->queued)
		w->queued = g_byte_array_new();
	g_byte_array_append(w->queued, (const guint8 *)p + taken, n - taken);
	write_queued(w);
}

/* Returns the bytes that the system has not taken yet. */
size_t writer_queued(const writer_t *w)
{
	return (w->queued ? w->queued->len : 0) +
	       (w->busy && w->writing ? w->writing->len : 0);
}

/*
 * Returns the same without the part of a write in progress that the system has
 * taken: it falls for as long as the other end reads.
 */
size_t writer_left(const writer_t *w)
{
	return (w->queued ? w->queued->len : 0) +
	       uv_stream_get_write_queue_size(w->to);
}

/* Frees the buffers; the connection must be closed. */
void writer_clear(writer_t *w)
{
	if (w->queued)
		g_byte_array_free(w->queued, TRUE);
	if (w->writing)
		g_byte_array_free(w->writing, TRUE);
	w->queued = NULL;
	w->writing = NULL;
}
