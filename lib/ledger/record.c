/* Printing and parsing of the records of the config stream, which are JSON. */
#include <jansson.h>
#include <string.h>
#include "ledger/priv.h"

enum {
	RECORD_BYTES_MAX = 16 << 20, /* of one record */
};

static char *dup_string(const json_t *o, const char *key)
{
	return g_strdup(json_string_value(json_object_get(o, key)));
}

/* Reads a whole number of at least 0. */
static bool get_u64(const json_t *o, const char *key, uint64_t *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool get_state(const json_t *o, move_state_t *out)
{
	const char *text = json_string_value(json_object_get(o, "state"));

	if (g_strcmp0(text, "done") == 0)
		*out = MOVE_DONE;
	else if (g_strcmp0(text, "reversed") == 0)
		*out = MOVE_ROLLED_BACK;
	else
		return false;
	return true;
}

/* Frees a move_result_t with its strings. */
void move_result_free(gpointer p)
{
	move_result_t *r = p;

	if (!r)
		return;
	g_free(r->service);
	g_free(r->version);
	g_free(r->evidence);
	g_free(r);
}

static move_result_t *result_parse(const json_t *o)
{
	move_result_t *r = g_new0(move_result_t, 1);

	r->service = dup_string(o, "service");
	r->version = dup_string(o, "version");
	r->evidence = dup_string(o, "evidence");
	if (r->service && r->version && r->evidence &&
	    get_u64(o, "op", &r->op) && get_state(o, &r->state))
		return r;
	move_result_free(r);
	return NULL;
}

static bool results_parse(const json_t *list, GPtrArray *out)
{
	size_t i;
	const json_t *o;

	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, o)
	{
		move_result_t *r = result_parse(o);

		if (!r)
			return false;
		g_ptr_array_add(out, r);
	}
	return true;
}

static bool confirm_parse(const json_t *o, record_t *r)
{
	r->op = dup_string(o, "op");
	r->text = dup_string(o, "text");
	r->force = json_is_true(json_object_get(o, "force"));
	return r->op && r->op[0] && r->text && get_u64(o, "base", &r->base);
}

static bool snapshot_parse(const json_t *o, record_t *r)
{
	r->op = dup_string(o, "op");
	r->text = dup_string(o, "text");
	r->results = g_ptr_array_new_with_free_func(move_result_free);
	return r->op && r->text && get_u64(o, "as_of", &r->as_of) &&
	       get_u64(o, "offset", &r->offset) &&
	       get_u64(o, "tried", &r->last_confirm) &&
	       r->offset <= r->last_confirm && r->last_confirm <= r->as_of &&
	       results_parse(json_object_get(o, "results"), r->results);
}

static bool fields_parse(const json_t *o, record_t *r)
{
	const char *type = json_string_value(json_object_get(o, "type"));

	if (g_strcmp0(type, "confirm") == 0) {
		r->type = RECORD_CONFIRM;
		return confirm_parse(o, r);
	}
	if (g_strcmp0(type, "result") == 0) {
		r->type = RECORD_RESULT;
		r->result = result_parse(o);
		return r->result != NULL;
	}
	if (g_strcmp0(type, "carry") == 0) {
		r->type = RECORD_SNAPSHOT;
		return snapshot_parse(o, r);
	}
	if (g_strcmp0(type, "drain") == 0) {
		r->type = RECORD_DRAIN;
		r->host = dup_string(o, "host");
		return r->host && r->host[0];
	}
	return false;
}

/*
 * Parses a record; record_clear frees it. Returns CODE_BAD_RECORD, with nothing
 * to free, if it is not JSON of a known type with all its fields.
 */
code_t record_parse(str_t data, record_t *r)
{
	json_t *o = NULL;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (data.n <= RECORD_BYTES_MAX)
		o = json_loadb(data.p, data.n, JSON_REJECT_DUPLICATES, NULL);
	ok = o && fields_parse(o, r);
	json_decref(o);
	if (ok)
		return CODE_OK;
	record_clear(r);
	return CODE_BAD_RECORD;
}

/* Frees what a record holds. */
void record_clear(record_t *r)
{
	g_free(r->op);
	g_free(r->text);
	g_free(r->host);
	if (r->results)
		g_ptr_array_free(r->results, TRUE);
	move_result_free(r->result);
	memset(r, 0, sizeof(*r));
}

/* Prints an object and releases it; the caller frees the text with g_free. */
static char *print(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = g_strdup(text);

	free(text);
	json_decref(o);
	return copy;
}

/* Makes a confirm record; the caller frees it with g_free. */
char *confirm_record(const char *op, uint64_t base, bool force,
		     const char *text)
{
	json_t *o = json_pack("{s:s, s:s, s:I, s:s}", "type", "confirm", "op",
			      op, "base", (json_int_t)base, "text", text);

	if (force)
		json_object_set_new(o, "force", json_true());
	return print(o);
}

/* Makes a drain record; the caller frees it with g_free. */
char *drain_record(const char *host)
{
	return print(json_pack("{s:s, s:s}", "type", "drain", "host", host));
}

static json_t *result_json(const move_result_t *r)
{
	return json_pack("{s:s, s:I, s:s, s:s, s:s, s:s}", "type", "result",
			 "op", (json_int_t)r->op, "service", r->service,
			 "version", r->version, "state",
			 r->state == MOVE_DONE ? "done" : "reversed",
			 "evidence", r->evidence ? r->evidence : "");
}

/* Makes the record of a move's result; the caller frees it with g_free. */
char *result_record(const move_result_t *r)
{
	return print(result_json(r));
}

/*
 * Makes a snapshot record of the state after the last record read. It is
 * appended before the log drops the records that it stands for. Returns NULL
 * while the state is uncertain, or if no confirm was accepted yet. The caller
 * frees it with g_free.
 */
char *snapshot_record(const ledger_t *l)
{
	const revision_t *r = ledger_log_revision(l);
	const GPtrArray *results = ledger_results(l);
	json_t *list;

	if (!ledger_certain(l) || r->offset == 0)
		return NULL;
	list = json_array();
	for (guint i = 0; i < results->len; i++)
		json_array_append_new(list, result_json(results->pdata[i]));
	return print(json_pack("{s:s, s:I, s:I, s:I, s:s, s:s, s:o}", "type",
			       "carry", "as_of",
			       (json_int_t)ledger_last_offset(l), "offset",
			       (json_int_t)r->offset, "tried",
			       (json_int_t)ledger_last_confirm(l), "op", r->op,
			       "text", r->text, "results", list));
}
