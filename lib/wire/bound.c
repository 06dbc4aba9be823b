/*
 * A check of array and map lengths before a payload is unpacked: msgpack
 * allocates memory for as many items as the payload claims.
 */
#include "wire/fns.h"

enum {
	ITEMS_MAX = 2 * WIRE_KV_MAX + 64, /* items of one array or map */
	FIRST_FORMAT = 0xc0,		  /* format byte of formats[0] */
};

/* What follows a format byte of msgpack: a length or count, and other bytes. */
typedef struct format {
	uint8_t length; /* bytes of the length or count field */
	uint8_t fixed;	/* bytes that always follow */
	bool items;	/* the field counts items, not bytes */
} format_t;

/* The formats with first bytes 0xc0 (nil) to 0xdf (map 32). */
static const format_t formats[] = {
	{ 0, 0, false },  { 0, 0, false }, { 0, 0, false }, { 0, 0, false },
	{ 1, 0, false },  { 2, 0, false }, { 4, 0, false }, { 1, 1, false },
	{ 2, 1, false },  { 4, 1, false }, { 0, 4, false }, { 0, 8, false },
	{ 0, 1, false },  { 0, 2, false }, { 0, 4, false }, { 0, 8, false },
	{ 0, 1, false },  { 0, 2, false }, { 0, 4, false }, { 0, 8, false },
	{ 0, 2, false },  { 0, 3, false }, { 0, 5, false }, { 0, 9, false },
	{ 0, 17, false }, { 1, 0, false }, { 2, 0, false }, { 4, 0, false },
	{ 2, 0, true },	  { 4, 0, true },  { 2, 0, true },  { 4, 0, true },
};

/* Reads a big endian number of up to 4 bytes. */
static size_t read_number(const uint8_t *p, size_t bytes)
{
	size_t n = 0;

	for (size_t i = 0; i < bytes; i++)
		n = n << 8 | p[i];
	return n;
}

/*
 * Bytes of an object whose format byte is outside formats: a fixstr, whose
 * length is in that byte, or one byte of a fixint, fixarray or fixmap.
 */
static size_t fix_size(uint8_t first)
{
	return (first & 0xe0) == 0xa0 ? 1 + (first & 0x1fU) : 1;
}

/*
 * Returns whether every array and map in the payload has at most ITEMS_MAX
 * items, which no message exceeds. Truncated and otherwise malformed payloads
 * are left to msgpack to reject.
 */
bool payload_bounded(const char *payload, size_t n)
{
	const uint8_t *p = (const uint8_t *)payload;
	size_t at = 0;

	while (at < n) {
		uint8_t first = p[at];
		const format_t *s;
		size_t len;

		if (first < FIRST_FORMAT ||
		    first >= FIRST_FORMAT + G_N_ELEMENTS(formats)) {
			at += fix_size(first);
			continue;
		}
		s = &formats[first - FIRST_FORMAT];
		if (n - at <= s->length)
			return true;
		len = read_number(p + at + 1, s->length);
		if (s->items && len > ITEMS_MAX)
			return false;
		at += 1 + (size_t)s->length + s->fixed + (s->items ? 0 : len);
	}
	return true;
}
