/* What the scheduler needs to know of a chat request. */
#include <jansson.h>
#include <string.h>
#include "fns.h"

enum {
	BYTES_PER_TOKEN = 4,
	PREFIX_BYTES = 1024, /* of the prompt; what engines cache by */
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

/* Estimates the prompt's tokens and hashes its start. */
static void measure(json_t *messages, chat_t *c)
{
	char *text = json_dumps(messages, JSON_COMPACT);
	size_t n = strlen(text);

	c->prompt_tokens = n / BYTES_PER_TOKEN + 1;
	c->prefix = hash64(text, MIN(n, PREFIX_BYTES), 0);
	free(text);
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
	c->model = g_strdup(json_string_value(model));
	measure(messages, c);
	return CODE_OK;
}

/* Reads a request's body. CODE_BAD_REQUEST: it is not a chat request. */
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
