/*
 * Messages in msgpack: an array of the version, the type and the fields in the
 * order of the table below. Extra fields at the end are ignored, so that a
 * later release can add some.
 */
#include <msgpack.h>
#include "wire/fns.h"

typedef enum field_kind {
	FIELD_NONE,
	FIELD_U64,
	FIELD_STR,
	FIELD_RID, /* encoded as two numbers */
} field_kind_t;

typedef struct field {
	field_kind_t kind;
	size_t offset;
} field_t;

enum { MAX_FIELDS = 12 };

typedef struct layout {
	const char *name;
	field_t fields[MAX_FIELDS];
} layout_t;

#define U64(m, f)                                                              \
	{                                                                      \
		FIELD_U64, offsetof(msg_t, u.m.f)                              \
	}
#define STR(m, f)                                                              \
	{                                                                      \
		FIELD_STR, offsetof(msg_t, u.m.f)                              \
	}
#define RID(m)                                                                 \
	{                                                                      \
		FIELD_RID, offsetof(msg_t, u.m.rid)                            \
	}

static const layout_t layouts[MSG_TYPE_END] = {
	[MSG_HELLO] = { "hello",
			{ U64(hello, version), STR(hello, role),
			  STR(hello, name), STR(hello, data_center),
			  U64(hello, inc), STR(hello, nonce) } },
	[MSG_AUTH] = { "auth", { STR(auth, mac) } },
	[MSG_BEAT] = { "beat", { U64(beat, seq) } },
	[MSG_STATE] = { "state",
			{ STR(state, service), STR(state, versions),
			  U64(state, speed), U64(state, limit),
			  U64(state, used), U64(state, waiting),
			  U64(state, waiting_high), U64(state, draining) } },
	[MSG_FACTS] = { "facts", { { FIELD_NONE, 0 } } },
	[MSG_CONF_GET] = { "conf-get", { U64(conf_get, newer_than) } },
	[MSG_CONF] = { "conf", { U64(conf, offset), STR(conf, text) } },
	[MSG_OFFER] = { "offer",
			{ RID(offer), STR(offer, service), STR(offer, version),
			  STR(offer, customer), U64(offer, tier),
			  U64(offer, prompt_tokens), U64(offer, output_tokens),
			  U64(offer, prefix), U64(offer, left_ms) } },
	[MSG_WITHDRAW] = { "withdraw", { RID(withdraw) } },
	[MSG_GRANT] = { "grant",
			{ RID(grant), U64(grant, grant),
			  U64(grant, lease_ms) } },
	[MSG_REFUSE] = { "refuse",
			 { RID(refuse), U64(refuse, code), U64(refuse, hold_ms),
			   U64(refuse, retry_ms) } },
	[MSG_BODY] = { "body",
		       { RID(body), U64(body, grant), U64(body, left_ms),
			 U64(body, max_output), STR(body, version),
			 STR(body, method), STR(body, path),
			 STR(body, content_type), STR(body, route),
			 U64(body, stream), STR(body, body), STR(body, key) } },
	[MSG_NOT_RUN] = { "not-run", { RID(not_run), U64(not_run, code) } },
	[MSG_HEAD] = { "head",
		       { RID(head), U64(head, status),
			 STR(head, content_type) } },
	[MSG_CHUNK] = { "chunk",
			{ RID(chunk), U64(chunk, seq), STR(chunk, data) } },
	[MSG_END] = { "end",
		      { RID(end), U64(end, code), U64(end, chunks),
			U64(end, output_tokens), U64(end, first_ms),
			U64(end, gap_ms) } },
	[MSG_ACK] = { "ack", { RID(ack), U64(ack, seq), U64(ack, end) } },
	[MSG_RESUME] = { "resume", { RID(resume), U64(resume, from) } },
	[MSG_CANCEL] = { "cancel", { RID(cancel) } },
	[MSG_SLOT_REQUEST] = { "ask",
			       { RID(slot_request), U64(slot_request, priority),
				 U64(slot_request, slots),
				 U64(slot_request, target_ms),
				 U64(slot_request, deadline_ms),
				 STR(slot_request, server) } },
	[MSG_QUOTA_JOIN] = { "quota-join",
			     { U64(quota_join, version), U64(quota_join, rate),
			       U64(quota_join, burst), U64(quota_join, hosts),
			       STR(quota_join, customer) } },
	[MSG_QUOTA_LEAVE] = { "quota-leave", { STR(quota_leave, customer) } },
	[MSG_QUOTA_LEFT] = { "quota-left", { STR(quota_left, customer) } },
	[MSG_QUOTA_TAKE] = { "quota-take",
			     { RID(quota_take), U64(quota_take, priority),
			       U64(quota_take, cost),
			       STR(quota_take, customer) } },
	[MSG_QUOTA_ANSWER] = { "quota-answer",
			       { RID(quota_answer), U64(quota_answer, granted),
				 U64(quota_answer, retry_ms) } },
	[MSG_RELAY] = { "relay",
			{ STR(relay, topic), U64(relay, from), U64(relay, to),
			  U64(relay, complete), STR(relay, records) } },
};

/* Returns the type's name for logs and counters. */
const char *msg_type_name(msg_type_t type)
{
	if (type <= 0 || type >= MSG_TYPE_END)
		return "unknown";
	return layouts[type].name;
}

static int append(void *data, const char *p, size_t n)
{
	g_byte_array_append(data, (const guint8 *)p, n);
	return 0;
}

static size_t item_count(const layout_t *l)
{
	size_t n = 0;

	for (size_t i = 0; i < MAX_FIELDS; i++) {
		if (l->fields[i].kind == FIELD_NONE)
			break;
		n += l->fields[i].kind == FIELD_RID ? 2 : 1;
	}
	return n;
}

static void pack_str(msgpack_packer *pk, str_t s)
{
	msgpack_pack_bin(pk, s.n);
	msgpack_pack_bin_body(pk, s.p, s.n);
}

static void pack_field(msgpack_packer *pk, const field_t *f, const msg_t *m)
{
	const void *p = (const char *)m + f->offset;

	if (f->kind == FIELD_U64) {
		msgpack_pack_uint64(pk, *(const uint64_t *)p);
	} else if (f->kind == FIELD_STR) {
		pack_str(pk, *(const str_t *)p);
	} else if (f->kind == FIELD_RID) {
		msgpack_pack_uint64(pk, ((const rid_t *)p)->inc);
		msgpack_pack_uint64(pk, ((const rid_t *)p)->seq);
	}
}

static void pack_facts(msgpack_packer *pk, const msg_facts_t *f)
{
	msgpack_pack_array(pk, 2 * f->n);
	for (size_t i = 0; i < f->n; i++) {
		pack_str(pk, f->kv[i].key);
		msgpack_pack_uint64(pk, f->kv[i].value);
	}
}

static void put_length(guint8 *p, size_t n)
{
	p[0] = (guint8)(n >> 24);
	p[1] = (guint8)(n >> 16);
	p[2] = (guint8)(n >> 8);
	p[3] = (guint8)n;
}

/* Appends m to out as one frame with its length header. */
void msg_encode(const msg_t *m, GByteArray *out)
{
	const layout_t *l = &layouts[m->type];
	size_t items = m->type == MSG_FACTS ? 1 : item_count(l);
	guint start = out->len;
	msgpack_packer pk;

	g_byte_array_set_size(out, start + WIRE_HEADER_SIZE);
	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, 2 + items);
	msgpack_pack_uint8(&pk, WIRE_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)m->type);
	for (size_t i = 0; i < MAX_FIELDS && l->fields[i].kind; i++)
		pack_field(&pk, &l->fields[i], m);
	if (m->type == MSG_FACTS)
		pack_facts(&pk, &m->u.facts);
	put_length(out->data + start, out->len - start - WIRE_HEADER_SIZE);
}

static bool is_u64(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool read_str(const msgpack_object *o, str_t *s)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	s->p = o->via.bin.ptr;
	s->n = o->via.bin.size;
	return true;
}

static bool read_field(const field_t *f, const msgpack_object *o, msg_t *m)
{
	void *p = (char *)m + f->offset;

	if (f->kind == FIELD_STR)
		return read_str(o, p);
	if (!is_u64(o))
		return false;
	if (f->kind == FIELD_U64) {
		*(uint64_t *)p = o->via.u64;
		return true;
	}
	if (!is_u64(o + 1))
		return false;
	((rid_t *)p)->inc = o[0].via.u64;
	((rid_t *)p)->seq = o[1].via.u64;
	return true;
}

static bool read_facts(decoder_t *d, const msgpack_object *o, msg_facts_t *f)
{
	const msgpack_object *kv = o->via.array.ptr;
	size_t n = o->via.array.size / 2;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 2 != 0)
		return false;
	if (n > WIRE_KV_MAX)
		return false;
	if (n > d->capacity) {
		d->kv = g_renew(fact_kv_t, d->kv, n);
		d->capacity = n;
	}
	for (size_t i = 0; i < n; i++) {
		if (!read_str(&kv[2 * i], &d->kv[i].key) ||
		    !is_u64(&kv[2 * i + 1]))
			return false;
		d->kv[i].value = kv[2 * i + 1].via.u64;
	}
	f->n = n;
	f->kv = d->kv;
	return true;
}

static code_t read_fields(decoder_t *d, const msgpack_object *o, size_t n,
			  msg_t *m)
{
	const layout_t *l = &layouts[m->type];
	size_t at = 0;

	if (m->type == MSG_FACTS) {
		if (n < 1 || !read_facts(d, o, &m->u.facts))
			return CODE_BAD_FIELD;
		return CODE_OK;
	}
	if (n < item_count(l))
		return CODE_BAD_FIELD;
	for (size_t i = 0; i < MAX_FIELDS && l->fields[i].kind; i++) {
		if (!read_field(&l->fields[i], &o[at], m))
			return CODE_BAD_FIELD;
		at += l->fields[i].kind == FIELD_RID ? 2 : 1;
	}
	return CODE_OK;
}

static code_t read_message(decoder_t *d, const msgpack_object *root, msg_t *m)
{
	const msgpack_object *o = root->via.array.ptr;
	size_t n = root->via.array.size;

	if (root->type != MSGPACK_OBJECT_ARRAY || n < 2)
		return CODE_BAD_FIELD;
	if (!is_u64(&o[0]) || !is_u64(&o[1]))
		return CODE_BAD_FIELD;
	if (o[0].via.u64 != WIRE_VERSION)
		return CODE_WRONG_VERSION;
	if (o[1].via.u64 == 0 || o[1].via.u64 >= MSG_TYPE_END)
		return CODE_UNKNOWN_TYPE;
	m->type = (msg_type_t)o[1].via.u64;
	return read_fields(d, o + 2, n - 2, m);
}

/*
 * Decodes one frame's payload of n bytes at p. Errors: CODE_TRUNCATED,
 * CODE_BAD_FIELD, CODE_WRONG_VERSION, CODE_UNKNOWN_TYPE.
 */
code_t msg_decode(decoder_t *d, const char *p, size_t n, msg_t *m)
{
	msgpack_unpacked up;
	size_t at = 0;
	code_t code = CODE_TRUNCATED;

	memset(m, 0, sizeof(*m));
	if (!payload_bounded(p, n))
		return CODE_BAD_FIELD;
	msgpack_unpacked_init(&up);
	if (msgpack_unpack_next(&up, p, n, &at) == MSGPACK_UNPACK_SUCCESS)
		code = at == n ? read_message(d, &up.data, m) : CODE_BAD_FIELD;
	msgpack_unpacked_destroy(&up);
	return code;
}

/* Frees the decoder's memory. */
void decoder_clear(decoder_t *d)
{
	g_free(d->kv);
	d->kv = NULL;
	d->capacity = 0;
}
