/* Judges a finished call and writes its line. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "fns.h"

/* Returns the text of an answer in JSON, or NULL. */
static char *whole_text(const char *body, const char *part)
{
	json_t *o = json_loads(body, 0, NULL);
	json_t *choice = json_array_get(json_object_get(o, "choices"), 0);
	json_t *message = json_object_get(choice, part);
	const char *s = json_string_value(json_object_get(message, "content"));
	char *copy = g_strdup(s);
	json_decref(o);
	return copy;
}

/* Joins the text of a stream's events; NULL without the last event. */
static char *stream_text(const char *body)
{
	GString *s = g_string_new(NULL);
	bool done = false;
	char **events = g_strsplit(body, "\n\n", -1);
	for (char **e = events; *e != NULL; e++) {
		if (strncmp(*e, "data: ", 6) != 0)
			continue;
		if (strcmp(*e, "data: [DONE]") == 0) {
			done = true;
			continue;
		}
		char *part = whole_text(*e + 6, "delta");
		g_string_append(s, part != NULL ? part : "");
		g_free(part);
	}
	g_strfreev(events);
	if (done)
		return g_string_free(s, FALSE);
	g_string_free(s, TRUE);
	return NULL;
}

/* Tells whether a plain answer is that of this request. */
static bool plain_valid(const request_t *q)
{
	bool order = q->kind == KIND_ORDER;
	const char *body = order ? q->body : "";
	char *want = g_strdup_printf(
		"\"key\":\"%s\",\"bytes\":%zu,\"hash\":\"%016llx\"}",
		q->key != NULL ? q->key : "", strlen(body),
		(unsigned long long)hash64(body, strlen(body), 0));
	bool valid = g_str_has_suffix(q->answer->str, want);
	g_free(want);
	return valid;
}

/* Tells whether the answer is whole and this request's own. */
static bool is_valid(const request_t *q)
{
	if (q->status != 200)
		return false;
	if (q->kind == KIND_CHECK || q->kind == KIND_ORDER)
		return plain_valid(q);
	char *text = q->kind == KIND_STREAM
			     ? stream_text(q->answer->str)
			     : whole_text(q->answer->str, "message");
	bool valid = text != NULL && answer_valid(text, q->marker);
	g_free(text);
	return valid;
}

/* Returns the number of the error in a refusal's body, 0 when there is none. */
static long error_code(const request_t *q)
{
	if (q->status == 200)
		return 0;
	json_t *o = json_loads(q->answer->str, 0, NULL);
	json_t *e = json_object_get(o, "error");
	long code = (long)json_integer_value(json_object_get(e, "code"));
	json_decref(o);
	return code;
}

/* Writes the line of a finished call. */
void request_report(const request_t *q)
{
	static const char *const kinds[KIND_COUNT] = { "stream", "whole",
						       "check", "order" };
	bool model = q->kind == KIND_STREAM || q->kind == KIND_WHOLE;
	fprintf(q->load->log,
		"request n=%d id=%s kind=%s service=%s customer=%s tier=%d "
		"idem=%s outcome=%s status=%d code=%ld whole=%d valid=%d "
		"version=%s server=%s entry=%d start=%lld first=%lld "
		"end=%lld\n",
		q->n, q->id ? q->id : "-", kinds[q->kind],
		model ? "helper" : "stock", q->caller->name, q->tier,
		q->key ? q->key : "-", q->outcome ? q->outcome : "none",
		q->status, error_code(q), q->whole, is_valid(q),
		q->version ? q->version : "-", q->server ? q->server : "-",
		q->port, (long long)q->start, (long long)q->first,
		(long long)stand_now());
	(void)fflush(q->load->log);
}

/* Frees a request. */
void request_free(request_t *q)
{
	g_string_free(q->answer, TRUE);
	g_free(q->marker);
	g_free(q->key);
	g_free(q->body);
	g_free(q->text);
	g_free(q->id);
	g_free(q->outcome);
	g_free(q->version);
	g_free(q->server);
	g_free(q);
}
