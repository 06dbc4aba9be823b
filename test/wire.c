/* Frames, messages and authentication. */
#include <check.h>
#include <string.h>
#include "wire/fns.h"

typedef struct bad_case {
	const char *name;
	const char *bytes;
	size_t n;
	code_t want;
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{ "empty", "", 0, CODE_TRUNCATED },
	{ "not an array", "\x01", 1, CODE_BAD_FIELD },
	{ "wrong version", "\x92\x09\x03", 3, CODE_WRONG_VERSION },
	{ "unknown type", "\x92\x01\x7f", 3, CODE_UNKNOWN_TYPE },
	{ "type zero", "\x92\x01\x00", 3, CODE_UNKNOWN_TYPE },
	{ "missing field", "\x92\x01\x03", 3, CODE_BAD_FIELD },
	{ "field of wrong kind", "\x93\x01\x03\xc0", 4, CODE_BAD_FIELD },
	{ "cut short", "\x93\x01\x03", 3, CODE_TRUNCATED },
	{ "bytes after the end", "\x93\x01\x03\x05\x05", 5, CODE_BAD_FIELD },
	{ "array of 2^32 items", "\x9c\x01\x03\xdd\xff\xff\xff\xff", 8,
	  CODE_BAD_FIELD },
	{ "map of 2^32 pairs", "\x9c\x01\x03\xdf\xff\xff\xff\xff", 8,
	  CODE_BAD_FIELD },
	{ "odd facts", "\x93\x01\x05\x91\xc4\x00", 6, CODE_BAD_FIELD },
};

START_TEST(decode_refuses)
{
	const bad_case_t *c = &bad_cases[_i];
	decoder_t d = { 0 };
	msg_t m;

	ck_assert_msg(msg_decode(&d, c->bytes, c->n, &m) == c->want, "%s",
		      c->name);
	decoder_clear(&d);
}
END_TEST

START_TEST(offer_round_trip)
{
	msg_t in = { .type = MSG_OFFER };
	GByteArray *b = g_byte_array_new();
	decoder_t d = { 0 };
	framer_t f;
	str_t payload;
	msg_t out;

	in.u.offer.rid = (rid_t){ 7, UINT64_MAX };
	in.u.offer.service = str_of("helper");
	in.u.offer.left_ms = 2000;
	msg_encode(&in, b);
	framer_init(&f, WIRE_FRAME_MAX);
	framer_add(&f, (char *)b->data, b->len - 1);
	ck_assert_int_eq(framer_next(&f, &payload), CODE_TRUNCATED);
	framer_add(&f, (char *)b->data + b->len - 1, 1);
	ck_assert_int_eq(framer_next(&f, &payload), CODE_OK);
	ck_assert_int_eq(msg_decode(&d, payload.p, payload.n, &out), CODE_OK);
	ck_assert(rid_equal(&in.u.offer.rid, &out.u.offer.rid));
	ck_assert(str_eq(out.u.offer.service, str_of("helper")));
	ck_assert_uint_eq(out.u.offer.left_ms, 2000);
	framer_clear(&f);
	g_byte_array_free(b, TRUE);
}
END_TEST

START_TEST(mac_is_bound_to_key_and_direction)
{
	msg_hello_t a = { .version = 1, .inc = 1, .nonce = str_of("one") };
	msg_hello_t b = { .version = 1, .inc = 2, .nonce = str_of("two") };
	uint8_t mac[WIRE_MAC_SIZE];
	str_t sent = { (char *)mac, sizeof(mac) };

	auth_mac(str_of("key"), &a, &b, mac);
	ck_assert(auth_check(str_of("key"), &b, &a, sent));
	ck_assert(!auth_check(str_of("kez"), &b, &a, sent));
	ck_assert(!auth_check(str_of("key"), &a, &b, sent));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("wire");
	TCase *t = tcase_create("wire");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, decode_refuses, 0, G_N_ELEMENTS(bad_cases));
	tcase_add_test(t, offer_round_trip);
	tcase_add_test(t, mac_is_bound_to_key_and_direction);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
