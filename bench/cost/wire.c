/* Cost of the messages themselves: encoding and decoding one. */
#include "wire/fns.h"
#include "fns.h"

typedef struct wire_state {
	msg_t m;
	fact_kv_t *kv;
	decoder_t d;
	GByteArray *out;
} wire_state_t;

static wire_state_t *state_new(msg_type_t type)
{
	wire_state_t *s = g_new0(wire_state_t, 1);

	s->m.type = type;
	s->out = g_byte_array_new();
	return s;
}

static void *offer_setup(size_t size)
{
	wire_state_t *s = state_new(MSG_OFFER);

	s->m.u.offer.rid = (rid_t){ UINT64_MAX, size };
	s->m.u.offer.service = str_of("helper");
	s->m.u.offer.version = str_of("v1");
	s->m.u.offer.customer = str_of("school-1");
	s->m.u.offer.prompt_tokens = 1000;
	s->m.u.offer.output_tokens = 300;
	s->m.u.offer.prefix = UINT64_MAX;
	s->m.u.offer.left_ms = 30000;
	return s;
}

static void *chunk_setup(size_t size)
{
	wire_state_t *s = state_new(MSG_CHUNK);

	s->m.u.chunk.rid = (rid_t){ UINT64_MAX, 1000000 };
	s->m.u.chunk.seq = 100;
	s->m.u.chunk.data = (str_t){ g_malloc0(size), size };
	return s;
}

static void *beat_setup(size_t size)
{
	wire_state_t *s = state_new(MSG_BEAT);

	s->m.u.beat.seq = size;
	return s;
}

static void *state_setup(size_t size)
{
	wire_state_t *s = state_new(MSG_STATE);

	s->m.u.state.service = str_of("helper");
	s->m.u.state.versions = str_of("v1,v2");
	s->m.u.state.speed = 2000;
	s->m.u.state.limit = 100000;
	s->m.u.state.used = 50000;
	s->m.u.state.waiting = size;
	return s;
}

static void *facts_setup(size_t size)
{
	wire_state_t *s = state_new(MSG_FACTS);

	s->kv = g_new0(fact_kv_t, size);
	for (size_t i = 0; i < size; i++) {
		s->kv[i].key = str_of("ev/100000/ffffffffffffffff/v2/chat/n");
		s->kv[i].value = 1000 + i;
	}
	s->m.u.facts.n = size;
	s->m.u.facts.kv = s->kv;
	return s;
}

static void code_run(void *state, size_t n)
{
	wire_state_t *s = state;
	msg_t got;

	for (size_t i = 0; i < n; i++) {
		g_byte_array_set_size(s->out, 0);
		msg_encode(&s->m, s->out);
		msg_decode(&s->d, (char *)s->out->data + WIRE_HEADER_SIZE,
			   s->out->len - WIRE_HEADER_SIZE, &got);
	}
	if (n == 0) {
		msg_encode(&s->m, s->out);
		printf("bytes %u\n", s->out->len);
	}
}

const cost_case_t wire_cases[] = {
	{ "wire-offer", "none", offer_setup, code_run },
	{ "wire-chunk", "bytes", chunk_setup, code_run },
	{ "wire-beat", "none", beat_setup, code_run },
	{ "wire-state", "none", state_setup, code_run },
	{ "wire-facts", "facts", facts_setup, code_run },
	{ NULL, NULL, NULL, NULL },
};
