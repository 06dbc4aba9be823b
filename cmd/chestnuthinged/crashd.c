/*
 * Connects the quarantine of requests with the platform's store. A report
 * of a server that ended has the key SERVER.STARTED/HOST and the suspect traits
 * as its value; answered/TRAIT says that requests with the trait are answered.
 * A report takes effect, on the host that wrote it too, once it is read back,
 * so that all hosts go by the same records in the same order.
 */
#include <inttypes.h>
#include <string.h>
#include "crashd.h"
#include "net/fns.h"

enum {
	WAIT_MS = 10000, /* the store ends a long poll at once when there is a
			    record */
	/*
	 * While reports are pending: a path to the store that went silent is
	 * noticed after it.
	 */
	PENDING_WAIT_MS = 1500,
	NEWS_LATE_MS = 1000, /* that a relay's long poll may end late */
	RETRY_MAX_MS = 1000,
	OWN_REPORT_MS = 10000, /* other hosts' reports may follow this host's */
	/* A host that starts is not ready before; then without a listing. */
	LISTING_MAX_MS = 1500,
	DROP_EVERY_MS = 1000,
	DROPS_MAX = 8,	 /* records deleted at a time: each is a call */
	KEYS_MAX = 4096, /* records that are remembered for deletion */
	KEY_BYTES_MAX = 255,
	RADIX = 16,
};

#define KEY_ANSWERED   "answered/"
#define VALUE_ANSWERED "1"

struct crashd {
	edge_t *edge;
	append_t *append;
	const crashd_ops_t *ops;
	void *ctx;
	char *host;
	follow_t *follow;
	GHashTable *keys;    /* of records that are kept, by number */
	GHashTable *numbers; /* the same, by key; keys owned by keys */
	GByteArray *news;    /* records read and not passed on yet */
	bool listed;
	bool pending; /* reports are, so the topic is read often */
	ms_t started; /* time of the first tick; 0 not yet */
	ms_t own_until;
	ms_t drop_at;
	unsigned int drops; /* in the present pass */
	uint64_t end;	    /* offset at which the next deletion is put */
	counter_t *omitted;
};

/* Forgets the record that a key had. */
static void forget_key(crashd_t *c, const char *key)
{
	const uint64_t *of = g_hash_table_lookup(c->numbers, key);
	uint64_t number;

	if (!of)
		return;
	number = *of;
	g_hash_table_remove(c->numbers, key);
	g_hash_table_remove(c->keys, &number);
}

/* Remembers a record's key, to delete the record later. */
static void remember_key(crashd_t *c, const char *key, uint64_t number)
{
	char *name;
	uint64_t *n;

	if (g_hash_table_size(c->keys) >= KEYS_MAX) {
		c->omitted->value++;
		log_line(LOG_WARN, "crash_record_omitted", "key=%s", key);
		return;
	}
	name = g_strdup(key);
	n = g_memdup2(&number, sizeof(number));
	g_hash_table_insert(c->keys, n, name);
	g_hash_table_insert(c->numbers, name, n);
}

/*
 * Splits SERVER.STARTED/HOST in place. The server's id may contain any of the
 * separators, the others do not.
 */
static bool parse_report_key(char *key, crash_report_t *r, const char **host)
{
	char *slash = strrchr(key, '/');
	char *dot;

	if (!slash || slash == key || !slash[1])
		return false;
	*slash = '\0';
	dot = strrchr(key, '.');
	if (!dot || dot == key ||
	    !g_ascii_string_to_signed(dot + 1, 10, 0, G_MAXINT64,
				      &r->started_unix, NULL))
		return false;
	*dot = '\0';
	r->server = key;
	*host = slash + 1;
	return true;
}

/* Takes a report; without a value its record was deleted. */
static bool take_report(crashd_t *c, const char *key, str_t value,
			uint64_t number)
{
	GArray *traits = g_array_new(FALSE, FALSE, sizeof(trait_t));
	char *copy = g_strdup(key);
	crash_report_t r = { 0 };
	const char *host;
	bool ok =
		parse_report_key(copy, &r, &host) &&
		(value.n == 0 || crash_traits_parse(value, traits) == CODE_OK);

	if (ok) {
		r.traits = (const trait_t *)(void *)traits->data;
		r.ntraits = traits->len;
		if (!follow_restored(c->follow) ||
		    !edge_crash_known(c->edge, host, &r))
			edge_crash_reported(c->edge, host, &r, number,
					    clock_now());
	}
	g_free(copy);
	g_array_free(traits, TRUE);
	return ok;
}

static bool take_answered(crashd_t *c, const char *text, uint64_t number)
{
	guint64 trait;

	if (!g_ascii_string_to_unsigned(text, RADIX, 0, G_MAXUINT64, &trait,
					NULL))
		return false;
	if (!follow_restored(c->follow) ||
	    !edge_trait_answered_known(c->edge, trait))
		edge_trait_answered(c->edge, trait, number, clock_now());
	return true;
}

/* Takes a record; an empty value deletes the key's. */
static void on_record(void *ctx, str_t key, str_t value, uint64_t number)
{
	crashd_t *c = ctx;
	char *name = str_dup(key);
	bool ok = true;

	follow_news_add(c->news, number, key, value);
	forget_key(c, name);
	if (!g_str_has_prefix(name, KEY_ANSWERED))
		ok = take_report(c, name, value, number);
	else if (value.n > 0)
		ok = take_answered(c, name + strlen(KEY_ANSWERED), number);
	if (value.n > 0 && ok)
		remember_key(c, name, number);
	if (!ok)
		log_line(LOG_WARN, "record_bad", "topic=crashes key=%s", name);
	g_free(name);
}

static void on_listing(void *ctx)
{
	crashd_t *c = ctx;

	g_hash_table_remove_all(c->numbers);
	g_hash_table_remove_all(c->keys);
	if (!follow_restored(c->follow))
		edge_crashes_listing(c->edge);
}

static void write_again(void *ctx, const char *key, const crash_report_t *r)
{
	crashd_t *c = ctx;
	char *text = crash_traits_format(r);

	append_put(c->append, adapter_topic_crashes(), key, text, NULL);
	g_free(text);
}

static void on_listed(void *ctx)
{
	crashd_t *c = ctx;

	c->listed = true;
	if (follow_restored(c->follow))
		edge_crashes_own(c->edge, write_again, c);
	g_byte_array_set_size(c->news, 0);
}

static void ignore_reachable(void *ctx, bool yes)
{
	(void)ctx;
	(void)yes;
}

static void on_read(void *ctx, uint64_t from, uint64_t to)
{
	crashd_t *c = ctx;
	follow_news_t n = { .from = from,
			    .to = to,
			    .complete = true,
			    .records = { (char *)c->news->data,
					 c->news->len } };

	c->ops->read(c->ctx, &n);
	g_byte_array_set_size(c->news, 0);
}

static const follow_ops_t follow_ops = { on_record, on_listing, on_listed,
					 ignore_reachable, on_read };

/* Makes the reader; host is this host's name. */
crashd_t *crashd_new(uv_loop_t *loop, store_link_t *store, const char *host,
		     edge_t *edge, append_t *append, const crashd_ops_t *ops,
		     void *ctx, counters_t *counters)
{
	crashd_t *c = g_new0(crashd_t, 1);
	follow_conf_t conf = { .store = store,
			       .topic = adapter_topic_crashes(),
			       .wait = WAIT_MS,
			       .retry_max = RETRY_MAX_MS,
			       .news_max = WAIT_MS + NEWS_LATE_MS };

	c->edge = edge;
	c->append = append;
	c->ops = ops;
	c->ctx = ctx;
	c->host = g_strdup(host);
	c->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	c->numbers = g_hash_table_new(g_str_hash, g_str_equal);
	c->news = g_byte_array_new();
	c->omitted =
		counter_get(counters, "edge_crash_records_omitted_total", NULL);
	c->follow = follow_new(loop, &conf, &follow_ops, c, counters);
	return c;
}

/* Writes a report of a server that ended. */
void crashd_seen(crashd_t *c, const crash_report_t *r)
{
	char *key = g_strdup_printf("%s.%" PRId64 "/%s", r->server,
				    r->started_unix, c->host);
	char *text = crash_traits_format(r);

	c->own_until = clock_now() + OWN_REPORT_MS;
	if (strlen(key) <= KEY_BYTES_MAX)
		append_put(c->append, adapter_topic_crashes(), key, text, NULL);
	else
		log_line(LOG_WARN, "crash_key_long", "key=%s", key);
	g_free(key);
	g_free(text);
}

/* Writes that a request with the trait is answered. */
void crashd_trait_answered(crashd_t *c, trait_t trait)
{
	char *key = g_strdup_printf(KEY_ANSWERED "%" PRIx64, trait);

	append_put(c->append, adapter_topic_crashes(), key, VALUE_ANSWERED,
		   NULL);
	g_free(key);
}

/* A relay has read the topic. */
void crashd_feed(crashd_t *c, const follow_news_t *n, ms_t now)
{
	follow_feed(c->follow, n, now);
	g_byte_array_set_size(c->news, 0);
}

/*
 * Whether the reports were listed, or the store has had the time for it: a
 * store that does not answer keeps no host out of service.
 */
bool crashd_known(const crashd_t *c, ms_t now)
{
	return c->listed || (c->started && now - c->started >= LISTING_MAX_MS);
}

/* Reads often while reports are pending. */
static void set_polling(crashd_t *c, ms_t now)
{
	bool pending = now < c->own_until || edge_crashes_pending(c->edge, now);

	if (pending == c->pending)
		return;
	c->pending = pending;
	log_line(LOG_INFO, "crashes_pending", "active=%d", pending);
	follow_set_wait(c->follow, pending ? PENDING_WAIT_MS : WAIT_MS);
	follow_set_news_max(
		c->follow, (pending ? PENDING_WAIT_MS : WAIT_MS) + NEWS_LATE_MS,
		now);
	if (pending)
		follow_end_wait(c->follow, now);
}

/* Deletes a record, unless the topic has grown beyond what was read. */
static void drop(void *ctx, uint64_t number)
{
	crashd_t *c = ctx;
	const char *key = g_hash_table_lookup(c->keys, &number);
	append_cond_t cond = { .end = c->end };

	if (!key || c->drops >= DROPS_MAX)
		return;
	c->drops++;
	c->end++;
	log_line(LOG_INFO, "crash_record_dropped", "key=%s number=%" PRIu64,
		 key, number);
	append_put(c->append, adapter_topic_crashes(), key, "", &cond);
}

/* Reads the topic when it is time, and deletes what is no longer needed. */
void crashd_tick(crashd_t *c, ms_t now)
{
	if (!c->started)
		c->started = now;
	set_polling(c, now);
	follow_tick(c->follow, now);
	if (now < c->drop_at || !follow_next(c->follow, &c->end))
		return;
	c->drop_at = now + DROP_EVERY_MS;
	c->drops = 0;
	edge_crashes_expired(c->edge, drop, c, now);
}

/* Frees the reader. */
void crashd_free(crashd_t *c)
{
	follow_free(c->follow);
	g_hash_table_destroy(c->numbers);
	g_hash_table_destroy(c->keys);
	g_byte_array_free(c->news, TRUE);
	g_free(c->host);
	g_free(c);
}
