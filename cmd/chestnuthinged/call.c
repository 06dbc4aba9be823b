/* Checks a caller's request against the intent before it becomes an offer. */
#include <string.h>
#include "fns.h"

enum {
	BYTES_PER_TOKEN = 4, /* of a body for a service that is not a model */
};

static const char chat_path[] = "/v1/chat/completions";

static void refuse(call_t *c, code_t code, const char *message)
{
	c->code = code;
	c->message = message;
}

static const customer_t *find_customer(const intent_t *in, const reply_t *r)
{
	static const char scheme[] = "Bearer ";
	char *value = reply_header(r, "authorization");
	const customer_t *customer = NULL;

	if (value && g_str_has_prefix(value, scheme))
		customer = intent_customer_by_key(in, value + strlen(scheme));
	g_free(value);
	return customer;
}

/* Reads a decimal header within bounds. An absent one leaves *out unchanged. */
static bool read_number(const reply_t *r, const char *name, uint64_t min,
			uint64_t max, uint64_t *out)
{
	char *value = reply_header(r, name);
	bool ok;

	if (!value)
		return true;
	ok = g_ascii_string_to_unsigned(value, 10, min, max, out, NULL);
	g_free(value);
	return ok;
}

static bool is_chat(const call_t *c)
{
	return strcmp(c->normalized_path, chat_path) == 0 &&
	       strcmp(c->method, "POST") == 0;
}

static void take_chat(call_t *c, const intent_t *in)
{
	submission_t *s = &c->submit;
	chat_t chat;

	if (chat_parse(s->body, &chat) != CODE_OK) {
		refuse(c, CODE_BAD_REQUEST, "not a chat request");
		return;
	}
	c->service = intent_service(in, chat.model);
	chat_clear(&chat);
	if (!c->service || c->service->kind != SERVICE_MODEL) {
		c->service = NULL;
		refuse(c, CODE_NO_SERVICE, "no such model");
		return;
	}
	s->model = true;
	s->stream = chat.stream;
	s->max_output = chat.max_tokens;
	s->prompt_tokens = chat.prompt_tokens;
	s->prefix_hash = chat.prefix;
}

static void take_plain(call_t *c, const intent_t *in)
{
	submission_t *s = &c->submit;

	c->service = intent_service_by_path(in, c->normalized_path);
	if (!c->service) {
		refuse(c, CODE_NO_SERVICE, "no service has this path");
		return;
	}
	s->prompt_tokens = 1 + s->body.n / BYTES_PER_TOKEN;
}

static bool is_safe_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

static void take_route(call_t *c, const intent_t *in)
{
	submission_t *s = &c->submit;
	const route_t *route = intent_route(in, c->service->name, c->method,
					    c->normalized_path);

	s->route = route ? route->name : "";
	s->idempotent = route ? route->idempotent
			      : s->model || is_safe_method(c->method);
	s->key = c->key;
	if (route && route->key_needed && !c->key)
		refuse(c, CODE_BAD_REQUEST, "Idempotency-Key is needed");
}

static void take_headers(call_t *c, const customer_t *customer,
			 const reply_t *r)
{
	submission_t *s = &c->submit;
	uint64_t tier = (uint64_t)customer->tier;
	uint64_t deadline = (uint64_t)c->service->deadline;

	if (!read_number(r, "chestnuthinge-tier", 0, TIER_LOWEST, &tier))
		refuse(c, CODE_BAD_REQUEST, "bad Chestnuthinge-Tier");
	if (!read_number(r, "chestnuthinge-deadline-ms", 1, DEADLINE_MAX,
			 &deadline))
		refuse(c, CODE_BAD_REQUEST, "bad Chestnuthinge-Deadline-Ms");
	s->tier = MAX((int)tier, customer->tier);
	s->time_left = (ms_t)deadline;
	s->first_token_target = c->service->first_token;
	s->customer = customer->name;
	s->weight = customer->weight;
	s->service = c->service->name;
}

/*
 * Limits the deadline of a request that claims its idempotency key. The claim
 * expires after the claim window: a request that ran longer could run at the
 * same time as a second one with the same key.
 */
static void limit_to_claim_window(call_t *c, const intent_t *in)
{
	submission_t *s = &c->submit;
	ms_t window = (ms_t)in->claim_window_s * MS_PER_S;

	if (s->key && !s->idempotent)
		s->time_left = MIN(s->time_left, window);
}

static void charge_limits(call_t *c, limits_t *limits, ms_t now)
{
	const submission_t *s = &c->submit;
	uint64_t output = 0;

	if (s->model)
		output = s->max_output ? s->max_output
				       : c->service->output_tokens;
	c->code = limits_take(limits, s->customer, s->prompt_tokens + output,
			      now, &c->retry);
	c->message = "the customer's limit is reached";
}

static void copy_request(call_t *c, const reply_t *r)
{
	const h2o_req_t *req = r->req;
	submission_t *s = &c->submit;

	c->path = g_strndup(req->path.base, req->path.len);
	c->normalized_path =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	c->method = g_strndup(req->method.base, req->method.len);
	c->content_type = reply_header(r, "content-type");
	c->key = reply_header(r, "idempotency-key");
	s->method = c->method;
	s->path = c->path;
	s->content_type = c->content_type ? c->content_type : "";
	s->body = (str_t){ req->entity.base ? req->entity.base : "",
			   req->entity.len };
}

/*
 * Fills in c from the request; it may be submitted if c->code is CODE_OK. The
 * body is not copied. call_clear frees c.
 */
void call_check(call_t *c, const daemon_t *d, limits_t *limits,
		const reply_t *r, ms_t now)
{
	const intent_t *in = state_intent(d->state);
	const customer_t *customer;

	memset(c, 0, sizeof(*c));
	copy_request(c, r);
	if (d->stopping) {
		refuse(c, CODE_STOPPING, "this entry is stopping");
		return;
	}
	if (!in) {
		refuse(c, CODE_NO_SERVER, "no configuration is in force yet");
		return;
	}
	customer = find_customer(in, r);
	if (!customer) {
		refuse(c, CODE_BAD_KEY, "no customer has this key");
		return;
	}
	if (is_chat(c))
		take_chat(c, in);
	else
		take_plain(c, in);
	if (c->code == CODE_OK)
		take_headers(c, customer, r);
	if (c->code == CODE_OK)
		take_route(c, in);
	if (c->code == CODE_OK)
		limit_to_claim_window(c, in);
	if (c->code == CODE_OK)
		charge_limits(c, limits, now);
}

/* Frees the strings. */
void call_clear(call_t *c)
{
	g_free(c->path);
	g_free(c->normalized_path);
	g_free(c->method);
	g_free(c->content_type);
	g_free(c->key);
}
