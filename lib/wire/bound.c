/* A check of a payload before it is unpacked, which reserves memory. */
#include "wire/fns.h"

enum {
	COUNT_MAX = 2 * WIRE_KV_MAX + 64, /* items of one array or map */
	FIRST_SIZED = 0xc0,		  /* first of the types in sizes */
};

/* How a type's first byte is followed: by a length or count, and by bytes. */
typedef struct shape {
	uint8_t length; /* bytes of the length or count */
	uint8_t fixed;	/* bytes that always follow */
	bool items;	/* it counts items, not bytes */
} shape_t;

/* Types from 0xc0 to 0xdf. */
static const shape_t shapes[] = {
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
static size_t number(const uint8_t *p, size_t bytes)
{
	size_t n = 0;

	for (size_t i = 0; i < bytes; i++)
		n = n << 8 | p[i];
	return n;
}

/* Bytes of an object whose first byte has its length in it. */
static size_t short_size(uint8_t first)
{
	return (first & 0xe0) == 0xa0 ? 1 + (first & 0x1fU) : 1;
}

/*
 * Tells whether every array and map in the payload is at most as long as any
 * message needs. What is cut short or garbled otherwise is left to msgpack.
 */
bool payload_bounded(const char *payload, size_t n)
{
	const uint8_t *p = (const uint8_t *)payload;
	size_t at = 0;

	while (at < n) {
		uint8_t first = p[at];
		const shape_t *s;
		size_t len;

		if (first < FIRST_SIZED ||
		    first >= FIRST_SIZED + G_N_ELEMENTS(shapes)) {
			at += short_size(first);
			continue;
		}
		s = &shapes[first - FIRST_SIZED];
		if (n - at <= s->length)
			return true;
		len = number(p + at + 1, s->length);
		if (s->items && len > COUNT_MAX)
			return false;
		at += 1 + (size_t)s->length + s->fixed + (s->items ? 0 : len);
	}
	return true;
}
