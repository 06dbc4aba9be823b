/* Reading the config stream: which confirm is accepted, and moves' results. */
#include <string.h>
#include "ledger/priv.h"

enum {
	RESULTS_MAX = 256,	     /* results kept, the newest */
	OPS_MAX = 256,		     /* operation ids remembered */
	BUFFER_BYTES_MAX = 64 << 20, /* of records held while uncertain */
};

/* A record held until the state before it is certain. */
typedef struct held {
	uint64_t offset;
	char *data;
	size_t n;
} held_t;

/* A revision shared by those who hold it. */
typedef struct rev {
	revision_t pub;
	unsigned int refs;
} rev_t;

struct ledger {
	const ledger_ops_t *ops;
	void *ctx;
	bool certain;	    /* log and results are the state as of last */
	uint64_t last;	    /* offset of the last record read */
	uint64_t first;	    /* uncertain: the first record held */
	uint64_t tried;	    /* offset of the last confirm, accepted or not */
	rev_t *log;	    /* as the log alone says */
	rev_t *force;	    /* in force: log, or a peer's newer one */
	GPtrArray *results; /* of move_result_t, in log order */
	GQueue ops_done;    /* ids of accepted confirms */
	GQueue held;	    /* of held_t */
	size_t held_bytes;
};

static rev_t *rev_ref(rev_t *r)
{
	r->refs++;
	return r;
}

static void rev_unref(rev_t *r)
{
	if (--r->refs > 0)
		return;
	g_free(r->pub.op);
	g_free(r->pub.text);
	intent_free(r->pub.intent);
	g_free(r);
}

/* Makes a revision of a text. NULL with *code set when it is no intent. */
static rev_t *rev_new(uint64_t offset, const char *op, const char *text,
		      code_t *code)
{
	GError *err = NULL;
	intent_t *in = intent_parse(text, "intent", &err);
	rev_t *r;

	if (!in) {
		*code = (code_t)err->code;
		g_error_free(err);
		return NULL;
	}
	r = g_new0(rev_t, 1);
	r->refs = 1;
	r->pub.offset = offset;
	r->pub.op = g_strdup(op);
	r->pub.text = g_strdup(text);
	r->pub.intent = in;
	return r;
}

static void held_free(gpointer p)
{
	held_t *h = p;

	g_free(h->data);
	g_free(h);
}

static void held_drop(ledger_t *l)
{
	held_t *h = g_queue_pop_head(&l->held);

	l->held_bytes -= h->n;
	held_free(h);
}

static void held_clear(ledger_t *l)
{
	while (!g_queue_is_empty(&l->held))
		held_drop(l);
}

/* Makes a ledger that has read nothing. Members of ops may be NULL. */
ledger_t *ledger_new(const ledger_ops_t *ops, void *ctx)
{
	ledger_t *l = g_new0(ledger_t, 1);

	l->ops = ops;
	l->ctx = ctx;
	l->certain = true;
	l->log = g_new0(rev_t, 1);
	l->log->refs = 1;
	l->force = rev_ref(l->log);
	l->results = g_ptr_array_new_with_free_func(move_result_free);
	g_queue_init(&l->ops_done);
	g_queue_init(&l->held);
	return l;
}

/* Frees the ledger; NULL is allowed. */
void ledger_free(ledger_t *l)
{
	if (!l)
		return;
	rev_unref(l->force);
	rev_unref(l->log);
	g_ptr_array_free(l->results, TRUE);
	g_queue_clear_full(&l->ops_done, g_free);
	held_clear(l);
	g_free(l);
}

/*
 * The revision in force. Its offset is 0 and its intent NULL before the first.
 * It lives until the call of accepted for the next one has returned.
 */
const revision_t *ledger_revision(const ledger_t *l)
{
	return &l->force->pub;
}

/* The revision that the log alone gives; a peer's is not counted. */
const revision_t *ledger_log_revision(const ledger_t *l)
{
	return &l->log->pub;
}

/* The first results of moves, in log order. */
const GPtrArray *ledger_results(const ledger_t *l)
{
	return l->results;
}

/* Tells whether no record that could change the state is missing. */
bool ledger_certain(const ledger_t *l)
{
	return l->certain;
}

/* The offset of the last record read. */
uint64_t ledger_last_offset(const ledger_t *l)
{
	return l->last;
}

/* The offset of the last confirm read, accepted or not. */
uint64_t ledger_tried(const ledger_t *l)
{
	return l->tried;
}

static bool op_done(ledger_t *l, const char *op)
{
	return g_queue_find_custom(&l->ops_done, op, (GCompareFunc)strcmp) !=
	       NULL;
}

static void op_add(ledger_t *l, const char *op)
{
	g_queue_push_tail(&l->ops_done, g_strdup(op));
	if (g_queue_get_length(&l->ops_done) > OPS_MAX)
		g_free(g_queue_pop_head(&l->ops_done));
}

/* Puts a revision in force, and lets go of the one before afterwards. */
static void put_in_force(ledger_t *l, rev_t *r)
{
	rev_t *old = l->force;

	l->force = rev_ref(r);
	if (l->ops->accepted)
		l->ops->accepted(l->ctx, &r->pub);
	rev_unref(old);
}

/*
 * Takes over the revision that the log gives. If a peer told the same before,
 * that one stays, so that what points into it stays valid. A peer's newer one
 * stays in force.
 */
static void set_log(ledger_t *l, rev_t *r)
{
	rev_t *old = l->log;
	rev_t *now = l->force;

	if (r->pub.offset == now->pub.offset &&
	    g_strcmp0(r->pub.text, now->pub.text) == 0) {
		if (!now->pub.op)
			now->pub.op = g_strdup(r->pub.op);
		rev_unref(r);
		r = rev_ref(now);
	}
	l->log = r;
	op_add(l, r->pub.op);
	if (r != now && r->pub.offset >= now->pub.offset)
		put_in_force(l, r);
	rev_unref(old);
}

static code_t reject(ledger_t *l, const char *op, code_t code)
{
	if (l->ops->rejected)
		l->ops->rejected(l->ctx, op, code);
	return code;
}

/*
 * Tells whether a confirm comes first on its base. The base of a forced one is
 * an offset of the log, from which on no other confirm may have come.
 */
static bool comes_first(const ledger_t *l, const record_t *r)
{
	if (r->force)
		return l->tried < r->base;
	return l->log->pub.offset == r->base;
}

/*
 * Accepts a confirm that is the first on its base. What is decided hangs on
 * offsets and the record alone, so that all readers agree. The operation ids
 * only tell which refusals need no report: a second record of an accepted
 * operation is never the first on its base.
 */
static code_t apply_confirm(ledger_t *l, uint64_t offset, const record_t *r)
{
	bool first = comes_first(l, r);
	code_t code = CODE_OK;
	rev_t *rev;

	l->tried = offset;
	if (!first && op_done(l, r->op))
		return CODE_OK;
	if (!first)
		return reject(l, r->op, CODE_CONFLICT);
	rev = rev_new(offset, r->op, r->text, &code);
	if (!rev)
		return reject(l, r->op, code);
	if (r->force)
		g_ptr_array_set_size(l->results, 0);
	set_log(l, rev);
	return CODE_OK;
}

static bool same_move(const move_result_t *a, const move_result_t *b)
{
	return a->op == b->op && strcmp(a->service, b->service) == 0 &&
	       strcmp(a->version, b->version) == 0;
}

/* Keeps the first result of each move; the record's result is taken over. */
static code_t apply_result(ledger_t *l, record_t *r)
{
	move_result_t *new = r->result;

	if (new->op == 0)
		return CODE_BAD_RECORD;
	for (guint i = 0; i < l->results->len; i++) {
		if (same_move(l->results->pdata[i], new))
			return CODE_OK;
	}
	r->result = NULL;
	g_ptr_array_add(l->results, new);
	if (l->results->len > RESULTS_MAX)
		g_ptr_array_remove_index(l->results, 0);
	if (l->ops->result)
		l->ops->result(l->ctx, new);
	return CODE_OK;
}

/* Applies a record to the certain state just before it. */
static code_t apply(ledger_t *l, uint64_t offset, record_t *r)
{
	switch (r->type) {
	case RECORD_CONFIRM:
		return apply_confirm(l, offset, r);
	case RECORD_RESULT:
		return apply_result(l, r);
	case RECORD_DRAIN:
		if (l->ops->drain)
			l->ops->drain(l->ctx, r->host, offset);
		return CODE_OK;
	case RECORD_CARRY:
		break;
	}
	return CODE_OK;
}

static void hold(ledger_t *l, uint64_t offset, str_t data)
{
	held_t *h = g_new0(held_t, 1);

	h->offset = offset;
	h->data = g_memdup2(data.p, data.n);
	h->n = data.n;
	g_queue_push_tail(&l->held, h);
	l->held_bytes += h->n;
	while (l->held_bytes > BUFFER_BYTES_MAX) {
		held_drop(l);
		h = g_queue_peek_head(&l->held);
		l->first = h ? h->offset : offset + 1;
	}
}

/* Applies the held records after an offset, in order. */
static void apply_held(ledger_t *l, uint64_t after)
{
	held_t *h;
	record_t r;

	while ((h = g_queue_peek_head(&l->held)) != NULL) {
		str_t data = { h->data, h->n };

		if (h->offset > after && record_parse(data, &r) == CODE_OK) {
			apply(l, h->offset, &r);
			record_clear(&r);
		}
		held_drop(l);
	}
}

/* Starts again from the state that a carry brings. */
static code_t take_carry(ledger_t *l, record_t *r)
{
	code_t code = CODE_OK;
	rev_t *rev;

	if (r->offset < l->log->pub.offset)
		return CODE_BAD_RECORD;
	rev = rev_new(r->offset, r->op, r->text, &code);
	if (!rev)
		return code;
	l->certain = true;
	l->tried = r->tried;
	g_ptr_array_free(l->results, TRUE);
	l->results = r->results;
	r->results = NULL;
	set_log(l, rev);
	for (guint i = 0; i < l->results->len && l->ops->result; i++)
		l->ops->result(l->ctx, l->results->pdata[i]);
	apply_held(l, r->as_of);
	return CODE_OK;
}

/*
 * Takes a forced confirm when it can be told that no other came before it.
 * Returns false when that can't be told.
 */
static bool take_forced(ledger_t *l, uint64_t offset, const record_t *r,
			code_t *code)
{
	if (!r->force || r->base < l->first || l->tried >= r->base)
		return false;
	*code = apply_confirm(l, offset, r);
	if (l->log->pub.offset != offset)
		return false;
	l->certain = true;
	held_clear(l);
	return true;
}

/* Reads a record while records before it are missing. */
static code_t read_uncertain(ledger_t *l, uint64_t offset, record_t *r,
			     str_t data)
{
	code_t code = CODE_OK;

	if (r->type == RECORD_CONFIRM) {
		if (take_forced(l, offset, r, &code))
			return code;
		l->tried = offset;
	}
	if (r->type == RECORD_CARRY && r->as_of < offset) {
		if (r->as_of + 1 >= l->first)
			return take_carry(l, r);
		return ledger_from_peer(l, r->offset, str_of(r->text));
	}
	hold(l, offset, data);
	return CODE_OK;
}

/*
 * Reads the next record. One that was read before changes nothing. Errors:
 * CODE_BAD_RECORD for a malformed record, CODE_CONFLICT for a confirm that
 * lost, and a code of the 1xx group for one whose text is no intent.
 */
code_t ledger_read_record(ledger_t *l, uint64_t offset, str_t data)
{
	record_t r;
	code_t code;

	if (offset <= l->last)
		return CODE_OK;
	if (offset > l->last + 1)
		ledger_truncated(l, offset);
	l->last = offset;
	code = record_parse(data, &r);
	if (code != CODE_OK)
		return code;
	code = l->certain ? apply(l, offset, &r)
			  : read_uncertain(l, offset, &r, data);
	record_clear(&r);
	return code;
}

/*
 * Learns that the log has no records before first. If one of them was not
 * read, the state is uncertain until a carry that takes account of it.
 */
void ledger_truncated(ledger_t *l, uint64_t first)
{
	if (first <= l->last + 1)
		return;
	held_clear(l);
	l->certain = false;
	l->first = first;
	l->last = first - 1;
	l->tried = 0;
}

/*
 * Puts a peer's configuration in force if it is newer than ours. What the log
 * says later is decided from the log alone. Errors: CODE_CONFLICT when the log
 * was read past that offset and accepted no such confirm, and a code of the
 * 1xx group for a text that is no intent.
 */
code_t ledger_from_peer(ledger_t *l, uint64_t offset, str_t text)
{
	code_t code = CODE_OK;
	char *copy;
	rev_t *rev = NULL;

	if (offset <= l->force->pub.offset)
		return CODE_OK;
	if (l->certain && offset <= l->last)
		return CODE_CONFLICT;
	if (text.n > 0 && memchr(text.p, '\0', text.n))
		return CODE_SYNTAX;
	copy = str_dup(text);
	rev = rev_new(offset, NULL, copy, &code);
	g_free(copy);
	if (!rev)
		return code;
	put_in_force(l, rev);
	rev_unref(rev);
	return CODE_OK;
}
