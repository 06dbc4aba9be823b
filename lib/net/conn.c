/*
 * One connection to another process: frames, handshake, heartbeats and a
 * bounded write queue. It is closed on the first error and never reused.
 */
#include <string.h>
#include "net/conn.h"

/* Prepares what connections share; conf's strings must outlive it. */
void conn_env_init(conn_env_t *env, const peers_conf_t *conf,
		   counters_t *counters)
{
	env->conf = *conf;
	list_init(&env->dirty);
	env->all = counters;
	env->opened =
		counter_get(counters, "chestnuthinge_peer_opened_total", "");
	env->auth_failures = counter_get(
		counters, "chestnuthinge_peer_auth_failures_total", "");
	env->bytes_in = counter_get(counters, "chestnuthinge_peer_bytes_total",
				    "dir=\"in\"");
	env->bytes_out = counter_get(counters, "chestnuthinge_peer_bytes_total",
				     "dir=\"out\"");
	env->frames_in = counter_get(
		counters, "chestnuthinge_peer_frames_total", "dir=\"in\"");
	env->frames_out = counter_get(
		counters, "chestnuthinge_peer_frames_total", "dir=\"out\"");
}

static const char *role_name(role_t role)
{
	static const char *const names[] = { [ROLE_ENTRY] = "entry",
					     [ROLE_SIDECAR] = "sidecar",
					     [ROLE_EDGE] = "edge" };

	return names[role];
}

static void make_hello(conn_t *c)
{
	const peers_conf_t *conf = &c->env->conf;

	for (size_t i = 0; i < WIRE_NONCE_SIZE; i += sizeof(uint64_t)) {
		uint64_t r = random_u64();

		memcpy(c->nonce + i, &r, sizeof(r));
	}
	c->mine.version = WIRE_VERSION;
	c->mine.role = str_of(role_name(conf->role));
	c->mine.name = str_of(conf->name);
	c->mine.data_center = str_of(conf->data_center);
	c->mine.inc = conf->inc;
	c->mine.nonce = (str_t){ (char *)c->nonce, WIRE_NONCE_SIZE };
}

/* Returns a connection that is not yet open. */
conn_t *conn_new(uv_loop_t *loop, conn_env_t *env, const conn_ops_t *ops,
		 void *ctx)
{
	conn_t *c = g_new0(conn_t, 1);

	c->env = env;
	c->ops = *ops;
	c->ctx = ctx;
	list_init(&c->link);
	framer_init(&c->in, HANDSHAKE_FRAME_MAX);
	c->out = g_byte_array_new();
	c->writing = g_byte_array_new();
	make_hello(c);
	uv_tcp_init(loop, &c->tcp);
	c->tcp.data = c;
	return c;
}

static void on_closed(uv_handle_t *h)
{
	conn_t *c = h->data;

	c->ops.gone(c->ctx, c);
	framer_clear(&c->in);
	decoder_clear(&c->decoder);
	g_byte_array_free(c->out, TRUE);
	g_byte_array_free(c->writing, TRUE);
	g_free((char *)c->theirs.role.p);
	g_free((char *)c->theirs.name.p);
	g_free((char *)c->theirs.data_center.p);
	g_free((char *)c->theirs.nonce.p);
	g_free(c->want_name);
	g_free(c);
}

/* Closes the connection; its memory goes with the operation gone. */
void conn_close(conn_t *c, code_t code)
{
	if (c->state == CONN_CLOSED)
		return;
	c->was = c->state;
	c->state = CONN_CLOSED;
	if (c->is_dirty)
		list_del(&c->dirty);
	c->is_dirty = false;
	c->ops.closing(c->ctx, c, code);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void mark_dirty(conn_t *c)
{
	if (c->is_dirty)
		return;
	c->is_dirty = true;
	list_add_tail(&c->env->dirty, &c->dirty);
}

/*
 * Queues a message; conn_flush writes it. When the queue is full the other end
 * does not read, and the flush closes the connection.
 */
void conn_send(conn_t *c, const msg_t *m)
{
	if (c->state == CONN_CLOSED || c->doomed != CODE_OK)
		return;
	c->spoke = true;
	msg_encode(m, c->out);
	c->env->frames_out->value++;
	if (c->out->len + c->writing->len > c->env->conf.queue_max)
		c->doomed = CODE_SILENT;
	mark_dirty(c);
}

/*
 * Returns why a connection failed, by libuv's error: the other end closed or
 * reset it, or may still hold it open.
 */
static code_t failure(int err)
{
	bool ended = err == UV_EOF || err == UV_ECONNRESET || err == UV_EPIPE;

	return ended ? CODE_TRUNCATED : CODE_SILENT;
}

static void on_written(uv_write_t *w, int status)
{
	conn_t *c = w->data;

	c->write_busy = false;
	g_byte_array_set_size(c->writing, 0);
	if (status < 0)
		conn_close(c, failure(status));
	else if (c->out->len > 0 && c->state != CONN_CLOSED)
		mark_dirty(c);
}

static void write_rest(conn_t *c, size_t done)
{
	uv_buf_t buf = uv_buf_init((char *)c->writing->data + done,
				   c->writing->len - done);

	c->write.data = c;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
		conn_close(c, CODE_TRUNCATED);
	else
		c->write_busy = true;
}

static void write_out(conn_t *c)
{
	GByteArray *spare = c->writing;
	uv_buf_t buf;
	int n;

	c->writing = c->out;
	c->out = spare;
	c->env->bytes_out->value += c->writing->len;
	buf = uv_buf_init((char *)c->writing->data, c->writing->len);
	n = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (n == (int)c->writing->len)
		g_byte_array_set_size(c->writing, 0);
	else if (n >= 0 || n == UV_EAGAIN)
		write_rest(c, MAX(n, 0));
	else
		conn_close(c, failure(n));
}

/* Writes what was queued since the last flush; takes it off the dirty list. */
void conn_flush(conn_t *c)
{
	if (c->is_dirty)
		list_del(&c->dirty);
	c->is_dirty = false;
	if (c->doomed != CODE_OK)
		conn_close(c, c->doomed);
	else if (c->out->len > 0 && !c->write_busy &&
		 c->state > CONN_CONNECTING && c->state < CONN_CLOSED)
		write_out(c);
}

static void send_auth(conn_t *c)
{
	uint8_t mac[WIRE_MAC_SIZE];
	msg_t m = { .type = MSG_AUTH };

	auth_mac(c->env->conf.key, &c->mine, &c->theirs, mac);
	m.u.auth.mac = (str_t){ (char *)mac, sizeof(mac) };
	conn_send(c, &m);
}

static str_t copy_str(str_t s)
{
	return (str_t){ str_dup(s), s.n };
}

static code_t take_hello(conn_t *c, const msg_hello_t *h)
{
	if (h->version != WIRE_VERSION)
		return CODE_WRONG_VERSION;
	if (h->nonce.n != WIRE_NONCE_SIZE || h->inc == c->mine.inc)
		return CODE_BAD_FIELD;
	if (str_eq(h->role, c->mine.role) && c->env->conf.role != ROLE_EDGE)
		return CODE_BAD_FIELD;
	if (c->want_name && !str_eq(h->name, str_of(c->want_name)))
		return CODE_BAD_FIELD;
	c->theirs = *h;
	c->theirs.role = copy_str(h->role);
	c->theirs.name = copy_str(h->name);
	c->theirs.data_center = copy_str(h->data_center);
	c->theirs.nonce.p = g_memdup2(h->nonce.p, h->nonce.n);
	c->state = CONN_AUTH;
	send_auth(c);
	return CODE_OK;
}

static code_t take_auth(conn_t *c, const msg_auth_t *a)
{
	if (!auth_check(c->env->conf.key, &c->mine, &c->theirs, a->mac)) {
		c->env->auth_failures->value++;
		return CODE_BAD_MAC;
	}
	c->state = CONN_READY;
	c->in.max_frame = c->env->conf.frame_max;
	c->ops.ready(c->ctx, c);
	return CODE_OK;
}

static code_t take_msg(conn_t *c, const msg_t *m)
{
	if (c->state == CONN_HELLO && m->type == MSG_HELLO)
		return take_hello(c, &m->u.hello);
	if (c->state == CONN_AUTH && m->type == MSG_AUTH)
		return take_auth(c, &m->u.auth);
	if (c->state != CONN_READY || m->type <= MSG_AUTH)
		return CODE_UNKNOWN_TYPE;
	if (m->type != MSG_BEAT)
		c->ops.recv(c->ctx, c, m);
	return CODE_OK;
}

static void count_malformed(conn_t *c, code_t code)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "code=\"%s\"", code_name(code));
	counter_get(c->env->all, "chestnuthinge_peer_malformed_total", labels)
		->value++;
}

static void take_bytes(conn_t *c, const char *p, size_t n)
{
	code_t code = CODE_OK;
	str_t payload;
	msg_t m;

	framer_add(&c->in, p, n);
	while (code == CODE_OK && c->state != CONN_CLOSED) {
		code = framer_next(&c->in, &payload);
		if (code == CODE_TRUNCATED)
			return;
		if (code != CODE_OK)
			break;
		c->env->frames_in->value++;
		code = msg_decode(&c->decoder, payload.p, payload.n, &m);
		if (code == CODE_OK)
			code = take_msg(c, &m);
	}
	if (code == CODE_OK)
		return;
	if (code != CODE_BAD_MAC)
		count_malformed(c, code);
	conn_close(c, code);
}

static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	conn_t *c = h->data;

	(void)hint;
	*buf = uv_buf_init(c->env->read_buffer, READ_BUFFER);
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	conn_t *c = s->data;

	if (n < 0) {
		conn_close(c, failure((int)n));
		return;
	}
	if (n == 0)
		return;
	c->last_read = clock_now();
	c->env->bytes_in->value += n;
	take_bytes(c, buf->base, n);
}

static void start(conn_t *c, ms_t now)
{
	msg_t hello = { .type = MSG_HELLO, .u.hello = c->mine };

	c->state = CONN_HELLO;
	c->last_read = now;
	c->last_beat = now;
	uv_tcp_nodelay(&c->tcp, 1);
	if (uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read)) {
		conn_close(c, CODE_TRUNCATED);
		return;
	}
	conn_send(c, &hello);
}

/* Opens the connection that waits at the listener. */
void conn_accept(conn_t *c, uv_stream_t *listener, ms_t now)
{
	c->opened = now;
	c->env->opened->value++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp))
		conn_close(c, CODE_TRUNCATED);
	else
		start(c, now);
}

static void on_connected(uv_connect_t *req, int status)
{
	conn_t *c = req->data;

	if (c->state == CONN_CLOSED)
		return;
	if (status < 0)
		conn_close(c, CODE_UNREACHABLE);
	else
		start(c, clock_now());
}

/* Connects to an address, where only the process of that name will do. */
void conn_connect(conn_t *c, const char *want_name, const addr_t *to, ms_t now)
{
	struct sockaddr_storage sa;

	c->want_name = g_strdup(want_name);
	c->opened = now;
	c->last_read = now;
	c->connecting.data = c;
	c->env->opened->value++;
	if (tcp_sockaddr(to, &sa) ||
	    uv_tcp_connect(&c->connecting, &c->tcp, (struct sockaddr *)&sa,
			   on_connected))
		conn_close(c, CODE_UNREACHABLE);
}

/*
 * Sends a heartbeat when nothing else was sent for its period, and closes the
 * connection when the other end is silent.
 */
void conn_tick(conn_t *c, ms_t now)
{
	msg_t beat = { .type = MSG_BEAT };

	if (c->state == CONN_CLOSED)
		return;
	if (now - c->last_read > c->env->conf.silent ||
	    (c->state < CONN_READY && now - c->opened > c->env->conf.silent)) {
		conn_close(c, CODE_SILENT);
		return;
	}
	if (c->spoke)
		c->last_beat = now;
	c->spoke = false;
	if (c->state != CONN_READY ||
	    now - c->last_beat < c->env->conf.heartbeat)
		return;
	c->last_beat = now;
	beat.u.beat.seq = ++c->beats;
	conn_send(c, &beat);
}
