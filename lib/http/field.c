/* Header fields: finds them in a head and writes them. */
#include <string.h>
#include "http/fns.h"

/* Hop-by-hop fields: they concern one connection and are never forwarded. */
static const char *const hop_by_hop_names[] = { "connection",
						"keep-alive",
						"proxy-connection",
						"proxy-authenticate",
						"proxy-authorization",
						"te",
						"trailer",
						"transfer-encoding",
						"upgrade" };

/* Whether two names are equal, ignoring case. */
bool http_name_is(str_t name, const char *other)
{
	return strlen(other) == name.n &&
	       g_ascii_strncasecmp(name.p, other, name.n) == 0;
}

/* Returns the first field of that name, or NULL. */
const http_field_t *http_find(const http_head_t *h, const char *name)
{
	for (size_t i = 0; i < h->nfields; i++) {
		if (http_name_is(h->fields[i].name, name))
			return &h->fields[i];
	}
	return NULL;
}

/* Returns the value of the first field of that name; empty when absent. */
str_t http_value(const http_head_t *h, const char *name)
{
	const http_field_t *f = http_find(h, name);

	return f ? f->value : (str_t){ "", 0 };
}

/* Reads a decimal number of up to 18 digits, no sign; else returns false. */
bool http_parse_number(str_t text, uint64_t *n)
{
	uint64_t v = 0;

	if (text.n == 0 || text.n > 18)
		return false;
	for (size_t i = 0; i < text.n; i++) {
		if (!g_ascii_isdigit(text.p[i]))
			return false;
		v = v * 10 + (uint64_t)(text.p[i] - '0');
	}
	*n = v;
	return true;
}

/* Whether a comma-separated list contains the name, ignoring case. */
static bool list_has(str_t list, str_t name)
{
	size_t at = 0;

	while (at < list.n) {
		size_t end = at;

		while (end < list.n && list.p[end] != ',')
			end++;
		while (at < end && list.p[at] == ' ')
			at++;
		if (end - at == name.n &&
		    g_ascii_strncasecmp(list.p + at, name.p, name.n) == 0)
			return true;
		at = end + 1;
	}
	return false;
}

/* Whether the field is hop-by-hop, also by the message's Connection field. */
bool http_is_hop_by_hop(const http_head_t *h, str_t name)
{
	const http_field_t *c = http_find(h, "connection");

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++) {
		if (http_name_is(name, hop_by_hop_names[i]))
			return true;
	}
	return c && list_has(c->value, name);
}

/* Whether text can be the value of a field: it has no control characters. */
bool http_valid_value(const char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text))
			return false;
	}
	return true;
}

/* Whether an answer's head is followed by that of another answer. */
bool http_is_interim(const http_head_t *h)
{
	return h->status < HTTP_STATUS_OK;
}

/* Whether an answer with that status can have a body, if not to a HEAD. */
bool http_status_has_body(int status)
{
	return status >= HTTP_STATUS_OK && status != HTTP_STATUS_NO_CONTENT &&
	       status != HTTP_STATUS_NOT_MODIFIED;
}

/* Returns the reason phrase of a status. */
const char *http_reason(int status)
{
	switch (status) {
#define REASON(num, name, text)                                                \
	case num:                                                              \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Other";
	}
}

/* Appends text. */
void http_put(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, strlen(text));
}

/* Appends a string. */
void http_put_str(GByteArray *out, str_t s)
{
	g_byte_array_append(out, (const guint8 *)s.p, s.n);
}

/* Appends a header field. */
void http_put_field(GByteArray *out, str_t name, str_t value)
{
	http_put_str(out, name);
	http_put(out, ": ");
	http_put_str(out, value);
	http_put(out, "\r\n");
}

/* Appends a header field with a number as its value. */
void http_put_number(GByteArray *out, const char *name, uint64_t n)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, n);
	http_put_field(out, str_of(name), str_of(text));
}

/*
 * Appends how long a connection may be idle, in whole seconds; nothing when
 * that is less than one.
 */
void http_put_keep_alive(GByteArray *out, ms_t timeout)
{
	char text[32];

	if (timeout < MS_PER_S)
		return;
	g_snprintf(text, sizeof(text), "timeout=%lld",
		   (long long)(timeout / MS_PER_S));
	http_put_field(out, str_of("Keep-Alive"), str_of(text));
}
