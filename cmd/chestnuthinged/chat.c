/* Parses chat requests. */
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	BYTES_PER_TOKEN = 4,
	PREFIX_BYTES = 1024,  /* that are hashed: engines cache by prefix */
	TOKENS_MAX = 1 << 24, /* larger values of max_tokens are cut to it */
};

static bool take_uint(json_t *o, const char *name, uint64_t *out)
{
	json_t *v = json_object_get(o, name);

	*out = 0;
	if (!v || json_is_null(v))
		return true;
	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool take_bool(json_t *o, const char *name, bool *out)
{
	json_t *v = json_object_get(o, name);

	*out = v && json_is_true(v);
	return !v || json_is_null(v) || json_is_boolean(v);
}

/* Adds text to the prompt's size, and to its start up to PREFIX_BYTES. */
static void add_text(GString *start, size_t *size, const char *text, size_t n)
{
	size_t room = PREFIX_BYTES - MIN(start->len, (gsize)PREFIX_BYTES);

	*size += n;
	g_string_append_len(start, text, (gssize)MIN(n, room));
}

static void add_value(GString *start, size_t *size, const json_t *v)
{
	char *text;

	if (json_is_string(v)) {
		add_text(start, size, json_string_value(v),
			 json_string_length(v));
	} else if (v) {
		text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		if (text)
			add_text(start, size, text, strlen(text));
		free(text);
	}
}

/* Estimates the prompt's tokens and hashes its start. */
static void measure_prompt(json_t *messages, chat_t *c)
{
	GString *start = g_string_sized_new(PREFIX_BYTES + 1);
	size_t size = 0;
	size_t i;
	const json_t *m;

	json_array_foreach(messages, i, m)
	{
		add_value(start, &size, json_object_get(m, "role"));
		add_value(start, &size, json_object_get(m, "content"));
	}
	c->prompt_tokens = size / BYTES_PER_TOKEN + 1;
	c->prefix = MAX(hash64(start->str, start->len, 0), 1);
	g_string_free(start, TRUE);
}

static code_t take(json_t *o, chat_t *c)
{
	json_t *model = json_object_get(o, "model");
	json_t *messages = json_object_get(o, "messages");

	if (!json_is_string(model) || !json_is_array(messages) ||
	    json_array_size(messages) == 0)
		return CODE_BAD_REQUEST;
	if (!take_bool(o, "stream", &c->stream) ||
	    !take_uint(o, "max_tokens", &c->max_tokens))
		return CODE_BAD_REQUEST;
	c->max_tokens = MIN(c->max_tokens, TOKENS_MAX);
	c->model = g_strdup(json_string_value(model));
	measure_prompt(messages, c);
	return CODE_OK;
}

/* Parses a request's body. CODE_BAD_REQUEST: it is not a chat request. */
code_t chat_parse(str_t body, chat_t *c)
{
	json_t *o = json_loadb(body.p, body.n, JSON_REJECT_DUPLICATES, NULL);
	code_t code;

	memset(c, 0, sizeof(*c));
	if (!o)
		return CODE_BAD_REQUEST;
	code = take(o, c);
	json_decref(o);
	return code;
}

/* Frees what chat_parse made. */
void chat_clear(chat_t *c)
{
	g_free(c->model);
	c->model = NULL;
}
