/* Printing and parsing of the records of the claims stream. */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "ledger/claimrec.h"

enum {
	HEX_U64 = 17, /* bytes of a printed 64-bit number, with its NUL */
	HEX_KEY = 2 * CLAIM_KEY_SIZE + 1,
};

/* Hashes a customer's name and key; the log holds only the hash. */
claim_key_t claim_key_of(const char *customer, const char *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[32];
	gsize n = sizeof(digest);
	claim_key_t k;

	g_checksum_update(sum, (const guchar *)customer,
			  (gssize)strlen(customer) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, digest, &n);
	g_checksum_free(sum);
	memcpy(k.b, digest, sizeof(k.b));
	return k;
}

/* Hashes a claim_key_t, for GHashTable. */
guint claim_key_hash(gconstpointer p)
{
	return (guint)hash64(p, sizeof(claim_key_t), 0);
}

/* Compares two claim_key_t, for GHashTable. */
gboolean claim_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(claim_key_t)) == 0;
}

/* Makes an empty batch. */
void claim_batch_init(claim_batch_t *b)
{
	b->released = g_array_new(FALSE, FALSE, sizeof(claim_item_t));
	b->claims = g_array_new(FALSE, FALSE, sizeof(claim_item_t));
}

/* Frees a batch's items. */
void claim_batch_clear(claim_batch_t *b)
{
	g_array_free(b->released, TRUE);
	g_array_free(b->claims, TRUE);
}

static json_t *item_json(const claim_item_t *it)
{
	char k[HEX_KEY];
	char i[HEX_U64];
	char s[HEX_U64];

	for (size_t n = 0; n < CLAIM_KEY_SIZE; n++)
		g_snprintf(k + 2 * n, 3, "%02x", it->key.b[n]);
	g_snprintf(i, sizeof(i), "%" PRIx64, it->rid.inc);
	g_snprintf(s, sizeof(s), "%" PRIx64, it->rid.seq);
	return json_pack("{s:s, s:s, s:s}", "k", k, "i", i, "s", s);
}

static json_t *items_json(const GArray *items)
{
	json_t *list = json_array();

	for (guint i = 0; i < items->len; i++)
		json_array_append_new(list, item_json(&g_array_index(
						    items, claim_item_t, i)));
	return list;
}

/* Prints a batch as a record; the caller frees it with g_free. */
char *claim_batch_print(const claim_batch_t *b)
{
	json_t *o = json_object();
	char *text;
	char *copy;

	if (b->released->len > 0)
		json_object_set_new(o, "released", items_json(b->released));
	json_object_set_new(o, "claims", items_json(b->claims));
	text = json_dumps(o, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(o);
	return copy;
}

static bool hex_u64(const json_t *o, const char *key, uint64_t *out)
{
	const char *text = json_string_value(json_object_get(o, key));
	guint64 n = 0;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &n, NULL))
		return false;
	*out = n;
	return true;
}

static bool hex_key(const json_t *o, claim_key_t *key)
{
	const char *text = json_string_value(json_object_get(o, "k"));

	if (!text || strlen(text) != HEX_KEY - 1)
		return false;
	for (size_t i = 0; i < CLAIM_KEY_SIZE; i++) {
		int hi = g_ascii_xdigit_value(text[2 * i]);
		int lo = g_ascii_xdigit_value(text[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return false;
		key->b[i] = (uint8_t)(hi << 4 | lo);
	}
	return true;
}

static bool items_parse(const json_t *list, GArray *out)
{
	size_t i;
	const json_t *o;

	if (!list)
		return true;
	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, o)
	{
		claim_item_t it;

		if (!hex_key(o, &it.key) || !hex_u64(o, "i", &it.rid.inc) ||
		    !hex_u64(o, "s", &it.rid.seq))
			return false;
		g_array_append_val(out, it);
	}
	return true;
}

/* Reads a record into an empty batch. CODE_BAD_RECORD if it is malformed. */
code_t claim_batch_parse(claim_batch_t *b, str_t data)
{
	json_t *o = json_loadb(data.p, data.n, JSON_REJECT_DUPLICATES, NULL);
	bool ok = json_is_object(o) &&
		  items_parse(json_object_get(o, "released"), b->released) &&
		  items_parse(json_object_get(o, "claims"), b->claims);

	json_decref(o);
	return ok ? CODE_OK : CODE_BAD_RECORD;
}
