/* Reads the config stream: accepted confirms and results of moves. */
#include <string.h>
#include "ledger/priv.h"

enum {
	RESULTS_MAX = 256,	   /* results kept, the newest */
	OPS_MAX = 256,		   /* operation ids remembered */
	HELD_BYTES_MAX = 64 << 20, /* of records while uncertain */
};

/* A record held until the state before it is certain. */
typedef struct held {
	uint64_t offset;
	char *data;
	size_t n;
} held_t;

/* A reference-counted revision. */
typedef struct shared_rev {
	revision_t pub;
	unsigned int refs;
} shared_rev_t;

struct ledger {
	const ledger_ops_t *ops;
	void *ctx;
	bool certain;	       /* log and results are complete up to last */
	uint64_t last;	       /* offset of the last record read */
	uint64_t first_held;   /* uncertain: offset of the first held record */
	uint64_t last_confirm; /* offset of the last confirm, accepted or not */
	shared_rev_t *log;     /* accepted in the log */
	shared_rev_t *active;  /* log, or a peer's newer one */
	GPtrArray *results;    /* of move_result_t, in log order */
	GQueue accepted_ops;   /* ids of accepted confirms */
	GQueue held;	       /* of held_t */
	size_t held_bytes;
};

static shared_rev_t *rev_ref(shared_rev_t *r)
{
	r->refs++;
	return r;
}

static void rev_unref(shared_rev_t *r)
{
	if (--r->refs > 0)
		return;
	g_free(r->pub.op);
	g_free(r->pub.text);
	intent_free(r->pub.intent);
	g_free(r);
}

/* Makes a revision from a text. NULL with *code set if it is not an intent. */
static shared_rev_t *rev_new(uint64_t offset, const char *op, const char *text,
			     code_t *code)
{
	GError *err = NULL;
	intent_t *in = intent_parse(text, "intent", &err);
	shared_rev_t *r;

	if (!in) {
		*code = (code_t)err->code;
		g_error_free(err);
		return NULL;
	}
	r = g_new0(shared_rev_t, 1);
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

/* Makes a ledger that has read no record. Members of ops may be NULL. */
ledger_t *ledger_new(const ledger_ops_t *ops, void *ctx)
{
	ledger_t *l = g_new0(ledger_t, 1);

	l->ops = ops;
	l->ctx = ctx;
	l->certain = true;
	l->log = g_new0(shared_rev_t, 1);
	l->log->refs = 1;
	l->active = rev_ref(l->log);
	l->results = g_ptr_array_new_with_free_func(move_result_free);
	g_queue_init(&l->accepted_ops);
	g_queue_init(&l->held);
	return l;
}

/* Frees the ledger; NULL is allowed. */
void ledger_free(ledger_t *l)
{
	if (!l)
		return;
	rev_unref(l->active);
	rev_unref(l->log);
	g_ptr_array_free(l->results, TRUE);
	g_queue_clear_full(&l->accepted_ops, g_free);
	held_clear(l);
	g_free(l);
}

/*
 * The active revision. Its offset is 0 and its intent NULL before the first. It
 * is valid until the call of accepted for the next one has returned.
 */
const revision_t *ledger_revision(const ledger_t *l)
{
	return &l->active->pub;
}

/* The revision accepted in the log, without those received from peers. */
const revision_t *ledger_log_revision(const ledger_t *l)
{
	return &l->log->pub;
}

/* The first results of moves, in log order. */
const GPtrArray *ledger_results(const ledger_t *l)
{
	return l->results;
}

/* Whether the state is certain: no record that could change it is missing. */
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
uint64_t ledger_last_confirm(const ledger_t *l)
{
	return l->last_confirm;
}

static bool op_accepted(ledger_t *l, const char *op)
{
	return g_queue_find_custom(&l->accepted_ops, op,
				   (GCompareFunc)strcmp) != NULL;
}

static void op_add(ledger_t *l, const char *op)
{
	g_queue_push_tail(&l->accepted_ops, g_strdup(op));
	if (g_queue_get_length(&l->accepted_ops) > OPS_MAX)
		g_free(g_queue_pop_head(&l->accepted_ops));
}

/* Makes a revision the active one, and releases the one before afterwards. */
static void activate(ledger_t *l, shared_rev_t *r)
{
	shared_rev_t *old = l->active;

	l->active = rev_ref(r);
	if (l->ops->accepted)
		l->ops->accepted(l->ctx, &r->pub);
	rev_unref(old);
}

/*
 * Sets the revision accepted in the log. If a peer sent the same one before,
 * that object is kept, so that pointers into it stay valid. A newer revision of
 * a peer stays active.
 */
static void set_log_revision(ledger_t *l, shared_rev_t *r)
{
	shared_rev_t *old = l->log;
	shared_rev_t *now = l->active;

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
		activate(l, r);
	rev_unref(old);
}

static code_t reject(ledger_t *l, const char *op, code_t code)
{
	if (l->ops->rejected)
		l->ops->rejected(l->ctx, op, code);
	return code;
}

/*
 * Whether a confirm is the first on its base. The base of a forced confirm is
 * an offset of the log; no other confirm may have come from that offset on.
 */
static bool first_on_base(const ledger_t *l, const record_t *r)
{
	if (r->force)
		return l->last_confirm < r->base;
	return l->log->pub.offset == r->base;
}

/*
 * Accepts a confirm that is the first on its base. The decision depends only on
 * offsets and the record, so that all readers agree. The operation ids only
 * decide which rejections are not reported: a second record of an accepted
 * operation is never the first on its base.
 */
static code_t apply_confirm(ledger_t *l, uint64_t offset, const record_t *r)
{
	bool first = first_on_base(l, r);
	code_t code = CODE_OK;
	shared_rev_t *rev;

	l->last_confirm = offset;
	if (!first && op_accepted(l, r->op))
		return CODE_OK;
	if (!first)
		return reject(l, r->op, CODE_CONFLICT);
	rev = rev_new(offset, r->op, r->text, &code);
	if (!rev)
		return reject(l, r->op, code);
	if (r->force)
		g_ptr_array_set_size(l->results, 0);
	set_log_revision(l, rev);
	return CODE_OK;
}

static bool same_move(const move_result_t *a, const move_result_t *b)
{
	return a->op == b->op && strcmp(a->service, b->service) == 0 &&
	       strcmp(a->version, b->version) == 0;
}

/* Keeps the first result of each move. Takes ownership of the result kept. */
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

/* Applies a record to a certain state. */
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
	case RECORD_SNAPSHOT:
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
	while (l->held_bytes > HELD_BYTES_MAX) {
		held_drop(l);
		h = g_queue_peek_head(&l->held);
		l->first_held = h ? h->offset : offset + 1;
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

/* Replaces the state by that of a snapshot. */
static code_t restore_snapshot(ledger_t *l, record_t *r)
{
	code_t code = CODE_OK;
	shared_rev_t *rev;

	if (r->offset < l->log->pub.offset)
		return CODE_BAD_RECORD;
	rev = rev_new(r->offset, r->op, r->text, &code);
	if (!rev)
		return code;
	l->certain = true;
	l->last_confirm = r->last_confirm;
	g_ptr_array_free(l->results, TRUE);
	l->results = r->results;
	r->results = NULL;
	set_log_revision(l, rev);
	for (guint i = 0; i < l->results->len && l->ops->result; i++)
		l->ops->result(l->ctx, l->results->pdata[i]);
	apply_held(l, r->as_of);
	return CODE_OK;
}

/*
 * Accepts a forced confirm if no other confirm can have come before it on its
 * base. Returns false if that is not known.
 */
static bool try_forced(ledger_t *l, uint64_t offset, const record_t *r,
		       code_t *code)
{
	if (!r->force || r->base < l->first_held || l->last_confirm >= r->base)
		return false;
	*code = apply_confirm(l, offset, r);
	if (l->log->pub.offset != offset)
		return false;
	l->certain = true;
	held_clear(l);
	return true;
}

/* Handles a record while earlier ones are missing. */
static code_t read_uncertain(ledger_t *l, uint64_t offset, record_t *r,
			     str_t data)
{
	code_t code = CODE_OK;

	if (r->type == RECORD_CONFIRM) {
		if (try_forced(l, offset, r, &code))
			return code;
		l->last_confirm = offset;
	}
	if (r->type == RECORD_SNAPSHOT && r->as_of < offset) {
		if (r->as_of + 1 >= l->first_held)
			return restore_snapshot(l, r);
		return ledger_from_peer(l, r->offset, str_of(r->text));
	}
	hold(l, offset, data);
	return CODE_OK;
}

/*
 * Reads the next record. Ignores one that was read before. Errors:
 * CODE_BAD_RECORD for a malformed record, CODE_CONFLICT for a confirm that
 * lost to another, and a code of the 1xx group for one whose text is not an
 * intent.
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
 * Handles a truncation of the log: records before first are gone. If one of
 * them was not read, the state is uncertain until a snapshot that includes it.
 */
void ledger_truncated(ledger_t *l, uint64_t first)
{
	if (first <= l->last + 1)
		return;
	held_clear(l);
	l->certain = false;
	l->first_held = first;
	l->last = first - 1;
	l->last_confirm = 0;
}

/*
 * Activates a peer's configuration if it is newer than the active one. Later
 * records are still decided from the log alone. Errors: CODE_CONFLICT if the
 * log was read past that offset without accepting such a confirm, and a code of
 * the 1xx group for a text that is not an intent.
 */
code_t ledger_from_peer(ledger_t *l, uint64_t offset, str_t text)
{
	code_t code = CODE_OK;
	char *copy;
	shared_rev_t *rev = NULL;

	if (offset <= l->active->pub.offset)
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
	activate(l, rev);
	rev_unref(rev);
	return CODE_OK;
}
