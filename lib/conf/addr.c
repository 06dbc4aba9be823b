/* IP addresses with ports as text. */
#include <arpa/inet.h>
#include <string.h>
#include "conf/fns.h"

static bool ip_valid(const char *ip)
{
	uint8_t raw[16];

	return inet_pton(AF_INET, ip, raw) == 1 ||
	       inet_pton(AF_INET6, ip, raw) == 1;
}

static bool port_parse(const char *text, uint16_t *port)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(text, 10, 1, UINT16_MAX, &n, NULL))
		return false;
	*port = (uint16_t)n;
	return true;
}

/*
 * Reads "IP:PORT", or "[IP]:PORT" for IPv6. Host names are refused. Returns
 * false and leaves the address undefined when the text is anything else.
 */
bool addr_parse(const char *text, addr_t *a)
{
	bool bracket = text[0] == '[';
	const char *start = bracket ? text + 1 : text;
	const char *end = bracket ? strchr(text, ']') : strrchr(text, ':');
	size_t n = end ? (size_t)(end - start) : 0;

	if (n == 0 || n >= sizeof(a->ip))
		return false;
	memcpy(a->ip, start, n);
	a->ip[n] = '\0';
	if (bracket)
		end++;
	if (*end != ':' || bracket != (strchr(a->ip, ':') != NULL))
		return false;
	return ip_valid(a->ip) && port_parse(end + 1, &a->port);
}

/* Writes the address in the form that addr_parse reads. */
void addr_print(const addr_t *a, char out[64])
{
	bool six = strchr(a->ip, ':') != NULL;

	g_snprintf(out, 64, six ? "[%s]:%u" : "%s:%u", a->ip, a->port);
}
