/* A fake engine: continuous batching in steps, and a cache of prefixes. */
#include <math.h>
#include <stdlib.h>
#include "rig/rig.h"

typedef struct cached {
	list_t link; /* least recently used first */
	uint64_t prefix;
	uint64_t tokens;
} cached_t;

struct engine {
	engine_conf_t conf;
	const engine_ops_t *ops;
	void *ctx;
	list_t queued;
	list_t running;
	unsigned int nqueued;
	unsigned int nrunning;
	GHashTable *jobs; /* by rid */
	uint64_t used;	  /* tokens of running requests */
	GHashTable *cache;
	list_t recent;
	uint64_t cached;   /* tokens */
	uint64_t computed; /* prompt tokens */
	double step_end;
	bool busy;
};

static void job_free(gpointer p)
{
	engine_job_t *j = p;

	g_string_free(j->text, TRUE);
	g_free(j);
}

/* Makes an idle engine; conf is copied. */
engine_t *engine_new(const engine_conf_t *conf, const engine_ops_t *ops,
		     void *ctx)
{
	engine_t *g = g_new0(engine_t, 1);

	g->conf = *conf;
	g->ops = ops;
	g->ctx = ctx;
	list_init(&g->queued);
	list_init(&g->running);
	list_init(&g->recent);
	g->jobs = g_hash_table_new_full(rid_hash, rid_equal, NULL, job_free);
	g->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	return g;
}

static void job_drop(engine_t *g, engine_job_t *j)
{
	list_del(&j->link);
	g_hash_table_remove(g->jobs, &j->rid);
}

/* Forgets all requests, but not the cache. */
void engine_clear(engine_t *g)
{
	while (!list_empty(&g->queued))
		job_drop(g, list_entry(g->queued.next, engine_job_t, link));
	while (!list_empty(&g->running))
		job_drop(g, list_entry(g->running.next, engine_job_t, link));
	g->nqueued = 0;
	g->nrunning = 0;
	g->used = 0;
	g->busy = false;
}

/* Frees the engine. */
void engine_free(engine_t *g)
{
	engine_clear(g);
	g_hash_table_destroy(g->jobs);
	g_hash_table_destroy(g->cache);
	g_free(g);
}

/* Whether the prefix is in the cache. */
bool engine_caches(const engine_t *g, uint64_t prefix)
{
	return g_hash_table_contains(g->cache, &prefix);
}

/* Prompt tokens computed so far, for all requests. */
uint64_t engine_computed(const engine_t *g)
{
	return g->computed;
}

/* Requests in the batch. */
unsigned int engine_running(const engine_t *g)
{
	return g->nrunning;
}

/* Requests that wait for the batch. */
unsigned int engine_queued(const engine_t *g)
{
	return g->nqueued;
}

static void cache_use(engine_t *g, const engine_job_t *j)
{
	cached_t *c = g_hash_table_lookup(g->cache, &j->prefix);

	if (!c) {
		c = g_new0(cached_t, 1);
		c->prefix = j->prefix;
		c->tokens = j->prefix_len;
		list_init(&c->link);
		g->cached += c->tokens;
		g_hash_table_insert(g->cache, &c->prefix, c);
	}
	list_del(&c->link);
	list_add_tail(&g->recent, &c->link);
	while (g->cached > g->conf.cache && !list_empty(&g->recent)) {
		c = list_entry(g->recent.next, cached_t, link);
		g->cached -= c->tokens;
		list_del(&c->link);
		g_hash_table_remove(g->cache, &c->prefix);
	}
}

static uint64_t size_of(const engine_job_t *j)
{
	return j->prompt + j->output;
}

/* Takes queued requests into the batch, first come, first served. */
static void admit(engine_t *g)
{
	while (!list_empty(&g->queued) && g->nrunning < g->conf.batch) {
		engine_job_t *j =
			list_entry(g->queued.next, engine_job_t, link);

		if (g->nrunning > 0 && g->used + size_of(j) > g->conf.memory)
			return;
		list_del(&j->link);
		list_add_tail(&g->running, &j->link);
		g->nqueued--;
		g->nrunning++;
		g->used += size_of(j);
		j->left = j->prompt;
		if (j->prefix && engine_caches(g, j->prefix))
			j->left -= MIN(j->prefix_len, j->prompt - 1);
	}
}

/* Prompt tokens that the next step computes for the request. */
static uint64_t prefill_of(const engine_job_t *j, uint64_t room)
{
	return MIN(j->left, room);
}

static void begin_step(engine_t *g)
{
	uint64_t room = g->conf.chunk;
	double t = g->conf.step_ms;

	admit(g);
	g->busy = g->nrunning > 0;
	if (!g->busy)
		return;
	for (list_t *p = g->running.next; p != &g->running; p = p->next) {
		engine_job_t *j = list_entry(p, engine_job_t, link);
		uint64_t n = prefill_of(j, room);

		room -= n;
		t += (double)n * g->conf.prefill_ms;
		if (j->left == 0)
			t += g->conf.decode_ms;
	}
	g->step_end += t / g->conf.speed;
}

/*
 * Takes a request; the body says number, prompt, output, prefix and its length.
 */
engine_job_t *engine_add(engine_t *g, rid_t rid, const char *body, ms_t now)
{
	engine_job_t *j = g_new0(engine_job_t, 1);
	char *p;

	j->rid = rid;
	j->number = (unsigned int)strtoul(body, &p, 10);
	j->prompt = strtoull(p, &p, 10);
	j->output = strtoull(p, &p, 10);
	j->prefix = strtoull(p, &p, 10);
	j->prefix_len = strtoull(p, &p, 10);
	j->attached = true;
	j->text = g_string_new(NULL);
	list_add_tail(&g->queued, &j->link);
	g->nqueued++;
	g_hash_table_insert(g->jobs, &j->rid, j);
	if (!g->busy) {
		g->step_end = (double)now;
		begin_step(g);
	}
	return j;
}

/* Returns the request, or NULL. */
engine_job_t *engine_find(const engine_t *g, rid_t rid)
{
	return g_hash_table_lookup(g->jobs, &rid);
}

/* Stops a request before the next step. */
void engine_cancel(engine_t *g, rid_t rid)
{
	engine_job_t *j = engine_find(g, rid);

	if (j)
		j->cancelled = true;
}

/* When the present step ends, in ms; -1 when none runs. */
ms_t engine_next(const engine_t *g)
{
	return g->busy ? (ms_t)ceil(g->step_end) : -1;
}

static void reap(engine_t *g, list_t *from, unsigned int *n)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, from)
	{
		engine_job_t *j = list_entry(pos, engine_job_t, link);

		if (!j->cancelled)
			continue;
		*n -= 1;
		if (from == &g->running)
			g->used -= size_of(j);
		job_drop(g, j);
	}
}

static void put(engine_t *g, engine_job_t *j)
{
	size_t from = j->text->len;

	if (!j->started) {
		j->started = true;
		if (j->attached)
			g->ops->head(g->ctx, j);
	}
	while (j->put < j->made) {
		j->put++;
		g_string_append_printf(j->text, "data: %u.%u\n\n", j->number,
				       (unsigned int)j->put);
	}
	if (j->made == j->output)
		g_string_append(j->text, "data: [DONE]\n\n");
	if (j->attached)
		g->ops->data(
			g->ctx, j,
			(str_t){ j->text->str + from, j->text->len - from });
}

static void decode(engine_t *g, engine_job_t *j)
{
	if (j->made == 0 && j->prefix)
		cache_use(g, j);
	if (j->made < j->output)
		j->made++;
	if (j->made == 1 || j->made == j->output ||
	    j->made - j->put >= g->conf.flush)
		put(g, j);
}

static void finish(engine_t *g, engine_job_t *j)
{
	g->nrunning--;
	g->used -= size_of(j);
	g->ops->end(g->ctx, j);
	job_drop(g, j);
}

/* Ends the present step: each running request gets on by a token or a chunk. */
void engine_step(engine_t *g)
{
	uint64_t room = g->conf.chunk;
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &g->running)
	{
		engine_job_t *j = list_entry(pos, engine_job_t, link);
		uint64_t n = prefill_of(j, room);

		if (j->cancelled)
			continue;
		room -= n;
		j->left -= n;
		j->computed += n;
		g->computed += n;
		if (j->left == 0 && j->made < j->output)
			decode(g, j);
		if (j->made == j->output && j->attached)
			finish(g, j);
	}
	reap(g, &g->queued, &g->nqueued);
	reap(g, &g->running, &g->nrunning);
	begin_step(g);
}
