/* Answers that prove to be whole and to belong to their request. */
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"

static const char end_mark[] = " end=";

/*
 * Makes token i of n and appends it to so_far: the marker in brackets, then
 * numbers, and last the count with a hash of all before it.
 */
GString *answer_token(const char *marker, unsigned int i, unsigned int n,
		      GString *so_far)
{
	GString *t = g_string_new(NULL);
	if (i == 0) {
		g_string_printf(t, "[%s]", marker);
	} else if (i + 1 < n) {
		g_string_printf(t, " %u", i);
	} else {
		uint64_t sum = hash64(so_far->str, so_far->len, 0);
		g_string_printf(t, "%s%u:%016llx", end_mark, n,
				(unsigned long long)sum);
	}
	g_string_append_len(so_far, t->str, (gssize)t->len);
	return t;
}

/* Tells whether text is the whole answer to the request with this marker. */
bool answer_valid(const char *text, const char *marker)
{
	size_t n = strlen(marker);
	const char *end = g_strrstr(text, end_mark);
	if (text[0] != '[' || strncmp(text + 1, marker, n) != 0 ||
	    text[n + 1] != ']' || end == NULL)
		return false;
	char *colon;
	unsigned long count = strtoul(end + strlen(end_mark), &colon, 10);
	if (*colon != ':')
		return false;
	char *rest;
	uint64_t sum = strtoull(colon + 1, &rest, 16);
	unsigned long tokens = 2;
	for (const char *p = text + n + 2; p < end; p++)
		tokens += *p == ' ';
	return *rest == '\0' && tokens == count &&
	       sum == hash64(text, (size_t)(end - text), 0);
}
