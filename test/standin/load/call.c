/* One call over its own connection. */
#include <string.h>
#include "fns.h"

enum {
	ANSWER_MAX_BYTES = 4 << 20,
};

/* A caller that was refused has waited long enough. */
static void on_paused(uv_timer_t *t)
{
	load_t *l = t->data;
	uv_close((uv_handle_t *)t, (uv_close_cb)g_free);
	l->running--;
	load_next(l);
}

/* The call is over, well or not: writes its line, starts the next. */
static void call_end(request_t *q)
{
	load_t *l = q->load;
	bool refused = q->status != 200;
	request_report(q);
	request_free(q);
	if (refused && l->conf.pause_ms > 0) {
		uv_timer_t *t = g_new0(uv_timer_t, 1);
		uv_timer_init(&l->loop, t);
		t->data = l;
		uv_timer_start(t, on_paused, (uint64_t)l->conf.pause_ms, 0);
		return;
	}
	l->running--;
	load_next(l);
}

/*
 * Tells whether the body that ended is whole. The library also reports a good
 * end when the connection closes between two chunks; no byte came with it then.
 */
static bool is_whole(const request_t *q, const char *err,
		     const h2o_socket_t *sock)
{
	if (err != h2o_http1client_error_is_eos)
		return false;
	return q->chunked ? sock->bytes_read > 0 : q->measured;
}

/* Takes part of the answer's body. */
static int on_body(h2o_http1client_t *client, const char *err)
{
	request_t *q = client->data;
	h2o_buffer_t *in = client->sock->input;
	if (in->size > 0 && q->first == 0)
		q->first = stand_now();
	g_string_append_len(q->answer, in->bytes, (gssize)in->size);
	h2o_buffer_consume(&client->sock->input, in->size);
	if (err == NULL && q->answer->len < ANSWER_MAX_BYTES)
		return 0;
	q->whole = is_whole(q, err, client->sock);
	call_end(q);
	return err == NULL ? -1 : 0;
}

/* Copies a header's value when it is the named one. */
static void take(const h2o_header_t *h, const char *name, char **to)
{
	if (h->name->len != strlen(name) ||
	    memcmp(h->name->base, name, h->name->len) != 0)
		return;
	g_free(*to);
	*to = g_strndup(h->value.base, h->value.len);
}

/* Takes the answer's status and headers. */
static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *err, int minor, int status,
				       h2o_iovec_t msg, h2o_header_t *headers,
				       size_t n, int rlen)
{
	request_t *q = client->data;
	(void)minor;
	(void)msg;
	(void)rlen;
	if (err != NULL && err != h2o_http1client_error_is_eos) {
		call_end(q);
		return NULL;
	}
	q->status = status;
	for (size_t i = 0; i < n; i++) {
		q->chunked |=
			headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf;
		q->measured |=
			headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf;
		take(&headers[i], "chestnuthinge-request-id", &q->id);
		take(&headers[i], "chestnuthinge-outcome", &q->outcome);
		take(&headers[i], "chestnuthinge-version", &q->version);
		take(&headers[i], "chestnuthinge-server", &q->server);
	}
	if (err == NULL)
		return on_body;
	q->whole = true;
	call_end(q);
	return NULL;
}

/* Sends the request. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *err, h2o_iovec_t **bufs,
					  size_t *n, int *is_head)
{
	request_t *q = client->data;
	if (err != NULL) {
		call_end(q);
		return NULL;
	}
	q->buf = h2o_iovec_init(q->text, strlen(q->text));
	*bufs = &q->buf;
	*n = 1;
	*is_head = 0;
	return on_head;
}

/* Writes the request's text for its kind. */
static char *request_text(const request_t *q)
{
	static const char *const lines[KIND_COUNT] = {
		"POST /v1/chat/completions",
		"POST /v1/chat/completions",
		"GET /stock/check",
		"POST /stock/order",
	};
	GString *s = g_string_new(NULL);
	g_string_append_printf(s,
			       "%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			       "Connection: close\r\n"
			       "Authorization: Bearer key-%s\r\n"
			       "Chestnuthinge-Tier: %d\r\n",
			       lines[q->kind], q->caller->name, q->tier);
	if (q->key != NULL)
		g_string_append_printf(s, "Idempotency-Key: %s\r\n", q->key);
	if (q->load->conf.deadline_ms > 0)
		g_string_append_printf(s, "Chestnuthinge-Deadline-Ms: %d\r\n",
				       q->load->conf.deadline_ms);
	if (q->kind != KIND_CHECK)
		g_string_append_printf(s,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n",
				       strlen(q->body));
	g_string_append(s, "\r\n");
	if (q->kind != KIND_CHECK)
		g_string_append(s, q->body);
	return g_string_free(s, FALSE);
}

/* Starts the call. */
void call_start(request_t *q)
{
	q->start = stand_now();
	q->text = request_text(q);
	h2o_http1client_connect(&q->client, q, &q->load->ctx,
				h2o_iovec_init(H2O_STRLIT("127.0.0.1")),
				q->port, 0, on_connect);
}
