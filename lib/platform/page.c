/* Parsing of the log service's responses. */
#include <jansson.h>
#include "platform/fns.h"

struct log_page {
	json_t *json; /* owns the records' data */
	uint64_t first;
	uint64_t next;
	GArray *records; /* of log_record_t */
};

static bool get_offset(const json_t *o, const char *key, uint64_t *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 1)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool records_parse(const json_t *list, GArray *out)
{
	uint64_t last = 0;
	size_t i;
	const json_t *o;

	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, o)
	{
		const json_t *data = json_object_get(o, "data");
		log_record_t r;

		if (!json_is_string(data) ||
		    !get_offset(o, "offset", &r.offset) || r.offset <= last)
			return false;
		last = r.offset;
		r.data.p = json_string_value(data);
		r.data.n = json_string_length(data);
		g_array_append_val(out, r);
	}
	return true;
}

/*
 * Parses a page; returns NULL if it is malformed. Free it with log_page_free,
 * which also frees the data of its records.
 */
log_page_t *log_page_parse(str_t body)
{
	log_page_t *p = g_new0(log_page_t, 1);

	p->json = json_loadb(body.p, body.n, JSON_ALLOW_NUL, NULL);
	p->records = g_array_new(FALSE, FALSE, sizeof(log_record_t));
	if (p->json && get_offset(p->json, "first", &p->first) &&
	    get_offset(p->json, "next", &p->next) && p->first <= p->next &&
	    records_parse(json_object_get(p->json, "records"), p->records))
		return p;
	log_page_free(p);
	return NULL;
}

/* Returns the offset of the oldest record that the log still has. */
uint64_t log_page_first(const log_page_t *p)
{
	return p->first;
}

/* Returns the offset that the next append gets. */
uint64_t log_page_next(const log_page_t *p)
{
	return p->next;
}

/* Returns the records in the order of their offsets. */
const GArray *log_page_records(const log_page_t *p)
{
	return p->records;
}

/* Frees a page and the data of its records. */
void log_page_free(log_page_t *p)
{
	json_decref(p->json);
	g_array_free(p->records, TRUE);
	g_free(p);
}

/* Parses the response to an append. Returns false if it is malformed. */
bool log_offset_parse(str_t body, uint64_t *offset)
{
	json_t *o = json_loadb(body.p, body.n, 0, NULL);
	bool ok = o && get_offset(o, "offset", offset);

	json_decref(o);
	return ok;
}
