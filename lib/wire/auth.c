/* Mutual authentication of two processes that share the fleet's key. */
#include "wire/fns.h"

static void mix(GHmac *h, const msg_hello_t *m)
{
	GByteArray *bytes = g_byte_array_new();
	msg_t whole = { .type = MSG_HELLO, .u.hello = *m };

	msg_encode(&whole, bytes);
	g_hmac_update(h, bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
}

/*
 * Computes the MAC that proves that the sender of mine knows the key. Its own
 * hello comes first, so that a MAC reflected to its sender is not valid.
 */
void auth_mac(str_t key, const msg_hello_t *mine, const msg_hello_t *theirs,
	      uint8_t mac[WIRE_MAC_SIZE])
{
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key.p, key.n);
	gsize n = WIRE_MAC_SIZE;

	mix(h, mine);
	mix(h, theirs);
	g_hmac_get_digest(h, mac, &n);
	g_hmac_unref(h);
}

/* Returns whether mac is the valid MAC of the process that sent theirs. */
bool auth_check(str_t key, const msg_hello_t *mine, const msg_hello_t *theirs,
		str_t mac)
{
	uint8_t want[WIRE_MAC_SIZE];

	if (mac.n != WIRE_MAC_SIZE)
		return false;
	auth_mac(key, theirs, mine, want);
	return bytes_equal_const_time(want, mac.p, WIRE_MAC_SIZE);
}

/* Compares n bytes in a time that does not depend on their values. */
bool bytes_equal_const_time(const void *a, const void *b, size_t n)
{
	const uint8_t *x = a;
	const uint8_t *y = b;
	uint8_t diff = 0;

	for (size_t i = 0; i < n; i++)
		diff |= x[i] ^ y[i];
	return diff == 0;
}
