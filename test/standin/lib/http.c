/* A small HTTP server over h2o, able to misbehave as tests need. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "standin/lib/fns.h"

typedef struct hs_hook {
	h2o_handler_t super;
	hs_t *server;
} hs_hook_t;

enum {
	LISTEN_BACKLOG = 512,		 /* connections */
	REQUEST_TIMEOUT_MS = 120 * 1000, /* also of an idle connection */
};

/* Sends what waits, if nothing is being sent. */
static void pump(hs_req_t *r)
{
	if (r->sending || r->muted || (r->out->len == 0 && !r->final))
		return;
	GString *swap = r->flight;
	r->flight = r->out;
	r->out = swap;
	g_string_truncate(r->out, 0);
	if (r->cut_at > 0 && r->sent + r->flight->len >= r->cut_at) {
		hs_cut(r);
		r->final = false;
	}
	r->sending = true;
	r->sent += r->flight->len;
	h2o_iovec_t buf = h2o_iovec_init(r->flight->str, r->flight->len);
	h2o_send(r->req, &buf, buf.len > 0 ? 1 : 0,
		 r->final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* The last part was sent: go on with the next. */
static void on_proceed(h2o_generator_t *gen, h2o_req_t *req)
{
	(void)req;
	hs_req_t *r = (hs_req_t *)gen;
	r->sending = false;
	pump(r);
}

/* The connection broke; on_dispose follows. */
static void on_stop(h2o_generator_t *gen, h2o_req_t *req)
{
	(void)req;
	hs_req_t *r = (hs_req_t *)gen;
	r->muted = true;
}

/* Tells the owner that the request is gone. */
static void on_dispose(void *p)
{
	hs_req_t *r = p;
	if (r->closed != NULL)
		r->closed(r->user, r);
	g_string_free(r->out, TRUE);
	g_string_free(r->flight, TRUE);
}

/* Makes a request of h2o's and hands it to the program. */
static int on_req(h2o_handler_t *self, h2o_req_t *req)
{
	hs_hook_t *hook = (hs_hook_t *)self;
	hs_req_t *r = h2o_mem_alloc_shared(&req->pool, sizeof(*r), on_dispose);
	memset(r, 0, sizeof(*r));
	r->gen.proceed = on_proceed;
	r->gen.stop = on_stop;
	r->req = req;
	r->out = g_string_new(NULL);
	r->flight = g_string_new(NULL);
	r->method = (str_t){ req->method.base, req->method.len };
	r->path = (str_t){ req->path.base, req->path.len };
	if (req->query_at != SIZE_MAX) {
		r->path.n = req->query_at;
		r->query.p = req->path.base + req->query_at + 1;
		r->query.n = req->path.len - req->query_at - 1;
	}
	r->body = (str_t){ req->entity.base, req->entity.len };
	hook->server->handler(hook->server->handler_ctx, r);
	return 0;
}

/* Takes a connection. */
static void on_accept(uv_stream_t *listener, int status)
{
	hs_t *s = listener->data;
	if (status != 0)
		return;
	uv_tcp_t *tcp = h2o_mem_alloc(sizeof(*tcp));
	uv_tcp_init(listener->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp) != 0) {
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	h2o_socket_t *sock =
		h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free);
	h2o_accept(&s->accept, sock);
}

/* Binds the listener, and prints the port that it got. */
static void listen_on(hs_t *s, uv_loop_t *loop, int port)
{
	struct sockaddr_in at;
	int len = sizeof(at);
	uv_ip4_addr("127.0.0.1", port, &at);
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	if (uv_tcp_bind(&s->listener, (struct sockaddr *)&at, 0) != 0 ||
	    uv_listen((uv_stream_t *)&s->listener, LISTEN_BACKLOG, on_accept)) {
		fprintf(stderr, "cannot listen on port %d\n", port);
		exit(1);
	}
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&at, &len);
	printf("listening %d\n", ntohs(at.sin_port));
	fflush(stdout);
}

/* Starts a server whose requests all go to handler. Exits on failure. */
void hs_start(hs_t *s, uv_loop_t *loop, int port, hs_handler_t handler,
	      void *ctx)
{
	(void)signal(SIGPIPE, SIG_IGN);
	memset(s, 0, sizeof(*s));
	s->handler = handler;
	s->handler_ctx = ctx;
	h2o_config_init(&s->conf);
	s->conf.http1.req_timeout = REQUEST_TIMEOUT_MS;
	h2o_hostconf_t *host = h2o_config_register_host(
		&s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
	hs_hook_t *hook = (hs_hook_t *)h2o_create_handler(path, sizeof(*hook));
	hook->super.on_req = on_req;
	hook->server = s;
	h2o_context_init(&s->ctx, loop, &s->conf);
	s->accept.ctx = &s->ctx;
	s->accept.hosts = s->conf.hosts;
	listen_on(s, loop, port);
}

/* Tells whether the request has this method, and this path or start of it. */
bool hs_is(const hs_req_t *r, const char *method, const char *path)
{
	size_t n = strlen(path);
	if (!str_eq(r->method, str_of(method)) || r->path.n < n)
		return false;
	if (path[n - 1] != '/' && r->path.n != n)
		return false;
	return memcmp(r->path.p, path, n) == 0;
}

/* Returns a copy of a request header, or NULL. The name is in lower case. */
char *hs_header(const hs_req_t *r, const char *name)
{
	size_t n = strlen(name);
	const h2o_headers_t *all = &r->req->headers;
	for (size_t i = 0; i < all->size; i++) {
		const h2o_header_t *h = &all->entries[i];
		if (h->name->len == n && memcmp(h->name->base, name, n) == 0)
			return g_strndup(h->value.base, h->value.len);
	}
	return NULL;
}

/* Returns a copy of one value of "key=value&key=value", or NULL. */
char *hs_param(str_t list, const char *key)
{
	char *text = str_dup(list);
	char **parts = g_strsplit_set(text, "& \n", -1);
	char *found = NULL;
	size_t n = strlen(key);
	for (char **p = parts; *p != NULL && found == NULL; p++) {
		if (strncmp(*p, key, n) == 0 && (*p)[n] == '=')
			found = g_strdup(*p + n + 1);
	}
	g_strfreev(parts);
	g_free(text);
	return found;
}

/* Returns one value of such a list as a number. */
long hs_param_long(str_t list, const char *key, long none)
{
	char *text = hs_param(list, key);
	long v = text != NULL ? strtol(text, NULL, 10) : none;
	g_free(text);
	return v;
}

/* Sets status and type of the answer. */
static void set_head(hs_req_t *r, int status, const char *type)
{
	r->req->res.status = status;
	r->req->res.reason = "-";
	h2o_add_header(&r->req->pool, &r->req->res.headers,
		       H2O_TOKEN_CONTENT_TYPE, NULL, type, strlen(type));
}

/* Answers with a body that is already whole. */
void hs_reply(hs_req_t *r, int status, const char *type, str_t body)
{
	set_head(r, status, type);
	r->req->res.content_length = body.n;
	h2o_send_inline(r->req, body.p, body.n);
}

/* Answers with a line of text. */
void hs_reply_text(hs_req_t *r, int status, const char *text)
{
	hs_reply(r, status, "text/plain", str_of(text));
}

/* Starts an answer whose body follows by hs_write. */
void hs_open(hs_req_t *r, int status, const char *type)
{
	set_head(r, status, type);
	h2o_start_response(r->req, &r->gen);
}

/* Adds to the answer's body. */
void hs_write(hs_req_t *r, str_t data)
{
	g_string_append_len(r->out, data.p, (gssize)data.n);
	pump(r);
}

/* Ends the answer's body; the request is gone after it was sent. */
void hs_finish(hs_req_t *r)
{
	r->final = true;
	pump(r);
}

/* Closes the connection under the answer; the next write notices. */
void hs_cut(hs_req_t *r)
{
	h2o_socket_t *sock = r->req->conn->callbacks->get_socket(r->req->conn);
	(void)shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}
