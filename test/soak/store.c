/* The platform's store: topics that keep the newest record of each key. */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include "fns.h"

/* A read that waits for records. */
typedef struct wait {
	uv_timer_t timer;
	sconn_t *c;
	topic_t *t;
	uint64_t from;
} wait_t;

static topic_t *topic_get(store_t *st, const char *name)
{
	topic_t *t = g_hash_table_lookup(st->topics, name);

	if (t)
		return t;
	t = g_new0(topic_t, 1);
	t->name = g_strdup(name);
	t->recs = g_ptr_array_new();
	t->newest = g_hash_table_new(g_str_hash, g_str_equal);
	t->producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(st->topics, t->name, t);
	return t;
}

static void put_number(GByteArray *out, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 b = (guint8)(v >> (8 * i));

		g_byte_array_append(out, &b, 1);
	}
}

/* Answers with the store's era. */
static void reply(sconn_t *c, int status, str_t body)
{
	const store_t *st = c->at->owner;

	sconn_reply(c, status, st->era_field, body);
}

/* Answers a read with the records from an offset on. */
static void give(sconn_t *c, const topic_t *t, uint64_t from)
{
	GByteArray *out = g_byte_array_new();

	put_number(out, t->recs->len, 8);
	put_number(out, t->first, 8);
	for (uint64_t i = from; i < t->recs->len; i++) {
		const rec_t *r = t->recs->pdata[i];
		size_t nk = strlen(r->key);
		size_t nv = r->value ? strlen(r->value) : 0;

		put_number(out, 1 + nk + nv, 4);
		put_number(out, nk, 1);
		http_put(out, r->key);
		if (r->value)
			http_put(out, r->value);
	}
	reply(c, 200, (str_t){ (char *)out->data, out->len });
	g_byte_array_free(out, TRUE);
}

static void on_wait_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void end_wait(wait_t *w)
{
	sconn_t *c = w->c;

	uv_close((uv_handle_t *)&w->timer, on_wait_closed);
	w->c = NULL;
	if (c) {
		c->job = c;
		give(c, w->t, w->from);
	}
}

static void on_wait(uv_timer_t *timer)
{
	end_wait(timer->data);
}

static void read_topic(store_t *st, sconn_t *c, topic_t *t, uint64_t from,
		       uint64_t wait_ms)
{
	char gone[64];
	wait_t *w;

	if (from < t->first || from > t->recs->len) {
		snprintf(gone, sizeof(gone), "{\"first\":%" PRIu64 "}",
			 t->first);
		reply(c, 410, str_of(gone));
		return;
	}
	if (from < t->recs->len || wait_ms == 0) {
		give(c, t, from);
		return;
	}
	w = g_new0(wait_t, 1);
	w->c = c;
	w->t = t;
	w->from = from;
	uv_timer_init(&st->at.s->loop, &w->timer);
	w->timer.data = w;
	uv_timer_start(&w->timer, on_wait, wait_ms, 0);
	c->job = w;
}

static void list_topic(sconn_t *c, const topic_t *t)
{
	json_t *root = json_object();
	json_t *items = json_array();
	GHashTableIter it;
	gpointer v;
	char *text;

	g_hash_table_iter_init(&it, t->newest);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const rec_t *r = v;
		char *b64 = g_base64_encode((const guchar *)r->value,
					    strlen(r->value));

		json_array_append_new(
			items, json_pack("{sssssI}", "key", r->key, "value",
					 b64, "offset", (json_int_t)r->number));
		g_free(b64);
	}
	json_object_set_new(root, "items", items);
	json_object_set_new(root, "has_more", json_false());
	json_object_set_new(root, "end", json_integer(t->recs->len));
	text = json_dumps(root, JSON_COMPACT);
	reply(c, 200, str_of(text));
	free(text);
	json_decref(root);
}

static void wake(store_t *st, const topic_t *t)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &st->at.conns)
	{
		sconn_t *c = list_entry(pos, sconn_t, link);
		wait_t *w = c->job;

		if (w && (void *)w != (void *)c && w->t == t)
			end_wait(w);
	}
}

/* Writes a record; no value drops the key. */
void store_put(store_t *st, const char *topic, const char *key,
	       const char *value)
{
	topic_t *t = topic_get(st, topic);
	rec_t *r = g_new0(rec_t, 1);

	r->key = g_strdup(key);
	r->value = value && value[0] ? g_strdup(value) : NULL;
	r->number = t->recs->len;
	r->written_at = clock_now();
	g_ptr_array_add(t->recs, r);
	if (r->value)
		g_hash_table_replace(t->newest, r->key, r);
	else
		g_hash_table_remove(t->newest, key);
	wake(st, t);
}

static bool param(const char *query, const char *name, uint64_t *out)
{
	const char *at = strstr(query, name);

	if (at)
		*out = g_ascii_strtoull(at + strlen(name), NULL, 10);
	return at != NULL;
}

static uint64_t number(const char *query, const char *name)
{
	uint64_t n = 0;

	param(query, name, &n);
	return n;
}

/*
 * Whether the call's conditions hold: 200, or the status that refuses it. When
 * it repeats a producer's append, first is set to the offset of that.
 */
static int conditions(topic_t *t, const char *query, uint64_t *first)
{
	const char *name = strstr(query, "producer=");
	producer_t now = { 0, t->recs->len };
	producer_t *known;
	uint64_t at;
	char *producer;
	int status = 200;

	if (param(query, "&at=", &at) && at != t->recs->len)
		return 412;
	if (!name || !param(query, "&epoch=", &now.epoch))
		return 200;
	producer = g_strndup(name + 9, strcspn(name + 9, "&"));
	known = g_hash_table_lookup(t->producers, producer);
	if (known && now.epoch < known->epoch)
		status = 409;
	else if (known && now.epoch == known->epoch)
		*first = known->first;
	else
		g_hash_table_insert(t->producers, g_strdup(producer),
				    g_memdup2(&now, sizeof(now)));
	g_free(producer);
	return status;
}

/* Answers an append whose first record has that offset, or was refused. */
static void answer_append(sconn_t *c, int status, uint64_t first)
{
	char text[64];

	snprintf(text, sizeof(text),
		 "{\"offset\":%" PRIu64 ",\"end\":%" PRIu64 "}", first,
		 first + (status == 200));
	reply(c, status, str_of(text));
}

static void append(store_t *st, sconn_t *c, topic_t *t, const char *query)
{
	const guint8 *p = c->body->data;
	uint64_t end = t->recs->len;
	uint64_t first = end;
	int status = conditions(t, query, &first);
	char *key;
	char *value;
	size_t nk;

	if (status != 200 || first != end) {
		answer_append(c, status, first);
		return;
	}
	if (c->body->len < 5 || (nk = p[4]) + 5 > c->body->len) {
		reply(c, 400, str_of("bad record"));
		return;
	}
	key = g_strndup((const char *)p + 5, nk);
	value = g_strndup((const char *)p + 5 + nk, c->body->len - 5 - nk);
	store_put(st, t->name, key, value);
	if (strcmp(t->name, "keyed.status") == 0)
		move_status(st->at.s, value);
	else if (st->on_decision && strcmp(t->name, "keyed.moves") == 0)
		st->on_decision(st->at.s, value);
	g_free(key);
	g_free(value);
	answer_append(c, status, first);
}

static void on_request(sconn_t *c)
{
	store_t *st = c->at->owner;
	char *target = str_dup(c->head->target);
	char *topic = strstr(target, "topic=");
	char *name;

	if (st->state == STORE_SILENT) {
		c->mute = true;
		g_free(target);
		return;
	}
	if (st->state == STORE_RESET) {
		sconn_close(c, true);
		g_free(target);
		return;
	}
	if (st->state == STORE_BUSY || !topic) {
		reply(c, 503, str_of(""));
		g_free(target);
		return;
	}
	name = g_strndup(topic + 6, strcspn(topic + 6, "&"));
	if (g_str_has_prefix(target, "/v1/log-append"))
		append(st, c, topic_get(st, name), target);
	else if (g_str_has_prefix(target, "/v1/log-newest"))
		list_topic(c, topic_get(st, name));
	else
		read_topic(st, c, topic_get(st, name), number(target, "from="),
			   number(target, "wait_ms="));
	g_free(name);
	g_free(target);
}

static void on_gone(sconn_t *c)
{
	wait_t *w = c->job;

	if (!w || (void *)w == (void *)c)
		return;
	w->c = NULL;
	uv_close((uv_handle_t *)&w->timer, on_wait_closed);
}

/* Changes how the store answers; a return closes what hangs. */
void store_set(store_t *st, store_state_t state)
{
	list_t *pos;
	list_t *tmp;

	if (state != st->state)
		st->changed_at = clock_now();
	st->state = state;
	if (state == STORE_BUSY)
		return;
	list_for_each_safe(pos, tmp, &st->at.conns)
	{
		sconn_t *c = list_entry(pos, sconn_t, link);

		if (state == STORE_SILENT)
			c->mute = true;
		else if (state == STORE_RESET || c->mute)
			sconn_close(c, state == STORE_RESET);
	}
}

/* Forgets all history; the newest record of each key stays. */
void store_compact(store_t *st)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, st->topics);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		topic_t *t = v;

		t->first = t->recs->len;
	}
}

static void name_era(store_t *st)
{
	snprintf(st->era_field, sizeof(st->era_field), "Store-Era: %u\r\n",
		 st->era);
}

/* Takes the newest record of each key anew, after records were lost. */
static void index_topic(topic_t *t)
{
	g_hash_table_remove_all(t->newest);
	for (guint i = 0; i < t->recs->len; i++) {
		rec_t *r = t->recs->pdata[i];

		if (r->value)
			g_hash_table_replace(t->newest, r->key, r);
		else
			g_hash_table_remove(t->newest, r->key);
	}
}

static gboolean is_lost(gpointer name, gpointer v, gpointer ctx)
{
	const topic_t *t = ctx;

	(void)name;
	return ((producer_t *)v)->first >= t->recs->len;
}

/* Puts the records that a topic loses behind each other in lost. */
static void lose(topic_t *t, ms_t since, GPtrArray *lost)
{
	while (t->recs->len > 0) {
		rec_t *r = t->recs->pdata[t->recs->len - 1];

		if (r->written_at < since)
			break;
		g_ptr_array_insert(lost, 0, r);
		g_ptr_array_remove_index(t->recs, t->recs->len - 1);
	}
	t->first = MIN(t->first, t->recs->len);
	g_hash_table_foreach_remove(t->producers, is_lost, t);
	index_topic(t);
}

static void rec_free(gpointer v)
{
	rec_t *r = v;

	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

/* The operator and the servers write what they wrote. */
static void write_again(store_t *st, const char *topic, const GPtrArray *lost)
{
	for (guint i = 0; i < lost->len; i++) {
		const rec_t *r = lost->pdata[i];

		store_put(st, topic, r->key, r->value);
	}
}

/*
 * The store comes back from a copy of that age: later records are gone, offsets
 * are given out again, and its era rises. Its connections are reset.
 */
void store_restore(store_t *st, ms_t age)
{
	static const char *const others[] = { "keyed.op", "keyed.servers" };
	ms_t since = clock_now() - age;
	GPtrArray *lost[G_N_ELEMENTS(others)];
	GHashTableIter it;
	gpointer v;

	st->era++;
	name_era(st);
	store_set(st, STORE_RESET);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		lost[i] = g_ptr_array_new_with_free_func(rec_free);
		lose(topic_get(st, others[i]), since, lost[i]);
	}
	g_hash_table_iter_init(&it, st->topics);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		GPtrArray *gone = g_ptr_array_new_with_free_func(rec_free);

		lose(v, since, gone);
		g_ptr_array_free(gone, TRUE);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		write_again(st, others[i], lost[i]);
		g_ptr_array_free(lost[i], TRUE);
	}
	store_set(st, STORE_UP);
}

/* Starts an empty store. */
void store_start(store_t *st, soak_t *s)
{
	name_era(st);
	st->topics = g_hash_table_new(g_str_hash, g_str_equal);
	st->at.owner = st;
	st->at.request = on_request;
	st->at.gone = on_gone;
	listen_start(&st->at, s, "127.0.0.1", 0);
}
