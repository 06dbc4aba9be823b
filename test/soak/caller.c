/* Callers: they ask, check what comes, hang up at times, keep connections. */
#include <inttypes.h>
#include <string.h>
#include "fns.h"

enum {
	THINK_MS = 30,	       /* between two requests, at most */
	POISON_THINK_MS = 700, /* the same, of those with a part that ends
				  servers */
	PATIENCE_MS = 3000,    /* past the route's time: no answer came */
	KEEP_REQUESTS = 20,    /* on one connection, at most */
	QUIT_AFTER_MS = 60,    /* at most, of those that hang up */
	GONE_MS = 1500,	       /* a server may work on for so long */
	/* A stopping edge still takes new connections for so long. */
	ROTATION_MS = 2000,
	LOST_SLACK_MS = 200,   /* a request that was sent longer ago was read */
	LATE_SENT_MS = 3000,   /* after SIGTERM: later ones must be answered */
	AFTER_GRACE_MS = 1000, /* a stop counts for so long past the grace */
};

static const double quit_share = 0.03;
/* Share of the answers after which the next request is sent at once. */
static const double eager_share = 0.5;
/* Share of the grace after which a run may be broken off. */
static const double break_off_share = 5.0 / 6;
static const char *const hosts[KINDS] = { "safe", "once", "stream" };

static void think(caller_s_t *c);
static void ask_next(caller_s_t *c);

static bool on_head(void *ctx, hconn_t *l, const http_head_t *h)
{
	caller_s_t *c = ctx;
	str_t stamp = http_value(h, "X-Server-Stamp");

	c->status = h->status;
	g_string_truncate(c->body, 0);
	g_string_truncate(c->stamp, 0);
	g_string_append_len(c->stamp, stamp.p, (gssize)stamp.n);
	return false;
}

static void on_body(void *ctx, hconn_t *l, str_t data)
{
	caller_s_t *c = ctx;

	g_string_append_len(c->body, data.p, (gssize)data.n);
}

/* A whole plain answer names the request, and the server that signed it. */
static bool plain_right(const caller_s_t *c)
{
	const char *slash = strchr(c->stamp->str, '/');
	char *want = g_strdup_printf("answer %s of %s", c->id,
				     slash ? slash + 1 : "");
	bool right = strcmp(want, c->body->str) == 0;

	g_free(want);
	return right;
}

/* A whole stream holds every event of the request once, in order. */
static bool stream_right(const caller_s_t *c)
{
	GString *want = g_string_new(NULL);
	bool right;

	for (int i = 1; i <= EVENTS; i++)
		g_string_append_printf(want, "id: %d\ndata: %s.%d\n\n", i,
				       c->id, i);
	right = strcmp(want->str, c->body->str) == 0;
	g_string_free(want, TRUE);
	return right;
}

static void check_good(caller_s_t *c)
{
	bool mine = g_str_has_prefix(c->stamp->str, c->id);
	bool right = c->kind == KIND_STREAM ? stream_right(c) : plain_right(c);

	if (!mine)
		violation(c->s, "mixed", "%s got the signature %s", c->id,
			  c->stamp->str);
	else if (!right)
		violation(c->s, "mixed", "%s got as whole: %s", c->id,
			  c->body->str);
}

static void check_refused(caller_s_t *c)
{
	fate_t *f = fate_get(c->s, c->id);

	f->said_not_run = true;
	if (f->runs > 0)
		violation(c->s, "refused", "%s got %d and had run", c->id,
			  c->status);
}

static void count(caller_s_t *c, bool good)
{
	soak_t *s = c->s;
	bool calm = s->calm_at && c->sent_at > s->calm_at;

	s->done[c->kind]++;
	s->good[c->kind] += good;
	s->calm_done += calm;
	s->calm_good += calm && good;
}

/*
 * Where servers that pause are the only fault, a request that has run is
 * answered, or ends at its deadline.
 */
static void check_paused(caller_s_t *c, bool answered)
{
	ms_t now = clock_now();
	bool quit = c->quit_at && now >= c->quit_at;

	if (quit || c->s->ended || now - c->sent_at >= c->s->timeout ||
	    (answered && c->status < 500) || fate_get(c->s, c->id)->runs == 0)
		return;
	violation(c->s, "silence", "%s ended with %d after %d ms", c->id,
		  answered ? c->status : 0, (int)(now - c->sent_at));
}

/*
 * A connection ended without a whole answer. Around a planned stop that is
 * allowed only if the request was neither passed on nor read, or if it was sent
 * early and a server is still at work on it late in the grace. A stopping
 * daemon does not close a connection before it has announced that in an answer.
 */
static void check_lost(caller_s_t *c, ms_t now)
{
	const fate_t *f = fate_get(c->s, c->id);
	ms_t term = c->to->term_at;
	ms_t worked = f->running > 0 ? now : f->worked_until;
	ms_t late = term + (ms_t)((double)c->s->grace * break_off_share);

	if (!c->s->stops || term == 0 ||
	    now > term + c->s->grace + AFTER_GRACE_MS ||
	    now >= c->sent_at + c->s->timeout)
		return;
	if (f->runs == 0 && c->on_conn > 1 && c->sent_at > term && now < late)
		violation(c->s, "unannounced",
			  "%s sent to %s %lld ms after SIGTERM on a connection "
			  "that was to be kept",
			  c->id, c->to->name, (long long)(c->sent_at - term));
	if (f->runs == 0 && now - c->sent_at <= LOST_SLACK_MS)
		return;
	if (worked >= late && c->sent_at <= term + LATE_SENT_MS)
		return;
	violation(c->s, "lost",
		  "%s (kind %d, %u on its connection, runs %u) sent to %s "
		  "%lld ms after SIGTERM, closed at %lld ms",
		  c->id, c->kind, c->on_conn, f->runs, c->to->name,
		  (long long)(c->sent_at - term), (long long)(now - term));
}

/* The request is over, with an answer or without one. */
static void over(caller_s_t *c, bool answered)
{
	bool refused = c->status == 429 || c->status == 503 ||
		       c->status == 408 || c->status == 421;

	c->waiting = false;
	if (answered && c->status == 200)
		check_good(c);
	if (answered && refused)
		check_refused(c);
	if (answered && (c->status == 404 || c->status == 401))
		violation(c->s, "denied", "%s got %d", c->id, c->status);
	if (c->s->pauses_only)
		check_paused(c, answered);
	if (!c->limited && !c->bane)
		count(c, answered && c->status == 200);
	if (c->s->stops && c->conn && g_rand_double(c->s->rand) < eager_share)
		ask_next(c);
	else
		think(c);
}

static void on_end(void *ctx, hconn_t *l, bool keep)
{
	caller_s_t *c = ctx;

	if (!c->waiting)
		violation(c->s, "mixed", "an answer that nobody asked for");
	if (!keep || c->on_conn >= KEEP_REQUESTS) {
		hconn_close(l);
		c->conn = NULL;
	}
	if (c->waiting)
		over(c, true);
}

static void on_gone(void *ctx, hconn_t *l, code_t code)
{
	caller_s_t *c = ctx;

	c->conn = NULL;
	if (code == CODE_BAD_ANSWER && c->waiting)
		violation(c->s, "mixed", "%s got bytes that are no answer",
			  c->id);
	if (!c->waiting)
		return;
	check_lost(c, clock_now());
	over(c, false);
}

static const hconn_ops_t ops = { on_head, on_body, on_end, on_gone };

static bool takes_requests(const proc_t *p, ms_t now)
{
	bool rotated =
		p->stopping && (!p->s->stops || now > p->term_at + ROTATION_MS);

	return p->running && !rotated && !p->stopped_until;
}

/* A daemon that takes requests, or any when none says so. */
static proc_t *choose(caller_s_t *c)
{
	soak_t *s = c->s;

	for (int i = 0; i < 8; i++) {
		proc_t *p = &s->procs[g_rand_int_range(s->rand, 0,
						       (gint32)s->nedges)];

		if (takes_requests(p, clock_now()))
			return p;
	}
	return &s->procs[0];
}

static void ask(caller_s_t *c, ms_t now)
{
	GByteArray *out = g_byte_array_new();
	char *text;
	char *parts;
	char *path;
	bool post = c->kind != KIND_SAFE;
	fate_t *fate;

	snprintf(c->id, sizeof(c->id), "q%" PRIu64, ++c->s->next_id);
	fate = fate_get(c->s, c->id);
	fate->kind = c->kind;
	fate->limited = c->limited;
	fate->to = c->to;
	fate->sent_at = now;
	parts = poison_parts(c);
	path = poison_path(c);
	text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\n"
		"X-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n"
		"Authorization: Bearer %s\r\n"
		"X-Prompt-Prefix: %s\r\n%s\r\n%s",
		post ? "POST" : "GET", path, hosts[c->kind], c->id,
		(int)c->s->timeout, c->limited ? "guild" : "key", parts,
		post ? "Content-Length: 4\r\n" : "", post ? "body" : "");
	http_put(out, text);
	g_free(text);
	g_free(parts);
	g_free(path);
	c->status = 0;
	c->waiting = true;
	c->sent_at = now;
	c->quit_at = 0;
	if (!c->s->stops && g_rand_double(c->s->rand) < quit_share)
		c->quit_at = now + 1 +
			     g_rand_int_range(c->s->rand, 0, QUIT_AFTER_MS);
	c->on_conn++;
	hconn_send(c->conn, out, NULL);
	g_byte_array_free(out, TRUE);
}

static void ask_next(caller_s_t *c)
{
	if (c->s->ended)
		return;
	if (c->bane)
		c->kind = c->bane == BANE_PART ? KIND_STREAM
					       : (kind_t)(c->bane - BANE_SAFE);
	else
		c->kind = (kind_t)g_rand_int_range(c->s->rand, 0, KINDS);
	if (c->conn && !hconn_reusable(c->conn)) {
		hconn_close(c->conn);
		c->conn = NULL;
	}
	if (!c->conn) {
		c->to = choose(c);
		c->on_conn = 0;
		c->conn = hconn_open(&c->s->loop, &c->to->callers, &ops, c);
	}
	if (c->conn)
		ask(c, clock_now());
	else
		think(c);
}

static void on_timer(uv_timer_t *t)
{
	ask_next(t->data);
}

static void think(caller_s_t *c)
{
	int most = c->bane ? POISON_THINK_MS : THINK_MS;

	uv_timer_start(&c->timer, on_timer,
		       1 + (uint64_t)g_rand_int_range(c->s->rand, 0, most), 0);
}

/* Hangs up when it is time to, and when no answer comes at all. */
void caller_look(caller_s_t *c, ms_t now)
{
	bool quits = c->quit_at && now >= c->quit_at;
	bool late = now - c->sent_at > c->s->timeout + PATIENCE_MS;

	if (!c->waiting || (!quits && !late))
		return;
	if (late && !c->to->stopped_until && c->to->running && c->s->calm_at &&
	    c->sent_at > c->s->calm_at)
		violation(c->s, "late", "%s has no answer from %s", c->id,
			  c->to->name);
	if (c->conn)
		hconn_close(c->conn);
	c->conn = NULL;
	over(c, false);
}

/* Starts n sound callers, and those whose requests end servers. */
void callers_start(soak_t *s, unsigned int n)
{
	s->ncallers =
		MIN(n + s->poison.callers + s->poison.repeats, CALLERS_MAX);
	for (unsigned int i = 0; i < s->ncallers; i++) {
		caller_s_t *c = &s->callers[i];

		c->s = s;
		if (i >= n)
			c->bane = poison_bane(&s->poison, i - n);
		c->limited = !c->bane && i % LIMITED_EVERY == LIMITED_EVERY - 1;
		c->body = g_string_new(NULL);
		c->stamp = g_string_new(NULL);
		uv_timer_init(&s->loop, &c->timer);
		c->timer.data = c;
		think(c);
	}
}

/* Ends all callers. */
void callers_stop(soak_t *s)
{
	for (unsigned int i = 0; i < s->ncallers; i++) {
		caller_s_t *c = &s->callers[i];

		if (c->conn)
			hconn_close(c->conn);
		c->conn = NULL;
		uv_close((uv_handle_t *)&c->timer, NULL);
	}
}
