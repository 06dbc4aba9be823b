/*
 * Adaptive limit of the work in progress at the engine. For a model it follows
 * the time between tokens, for a plain service the response time.
 */
#include "side/priv.h"

enum {
	WINDOW = 250,		 /* ms between changes of the limit */
	SETTLE = 1000,		 /* ms for a smaller limit to take effect */
	TOKENS_MIN = 16,	 /* a window with fewer is too small a sample */
	STALL_GAPS = 8,		 /* a stream silent for so many target gaps */
	IN_USE_PERCENT = 75,	 /* peak use of the limit for it to grow */
	GROW_BELOW_PERCENT = 70, /* of the target gap */
	SHRINK_ABOVE_PERCENT = 92, /* of the target gap */
	CARRY_PERCENT = 60,	   /* of a window's sums carried to the next */
	SHRINK_TO_PERCENT = 85,	   /* of the limit or, if lower, the peak use */
	SLOW_START_GROW_PERCENT = 25, /* a window, until the first shrinking */
	GROW_PERCENT = 3,	      /* a window, after that */
	PLAIN_START = 4,	      /* requests */
	PLAIN_MAX = 1024,	      /* requests */
	PLAIN_SLOW_PERCENT = 200,     /* of the base response time */
	PLAIN_SLOW_MIN = 4,	      /* ms; smaller changes are ignored */
};

/* Sets the first limit: that of conf, or PLAIN_START for a plain service. */
void capacity_init(capacity_t *c, const side_conf_t *conf)
{
	c->limit = conf->model ? conf->capacity_start : PLAIN_START;
	c->limit = MAX(c->limit, 1);
	c->slow_start = true;
}

/* Returns the capacity a request uses: its tokens, or 1 at a plain service. */
uint64_t capacity_cost(const side_t *s, uint64_t prompt, uint64_t output)
{
	if (!s->conf.model)
		return 1;
	return MAX(prompt + output, 1);
}

/* Whether the work fits the limit; any one request fits an idle engine. */
bool capacity_fits(const capacity_t *c, uint64_t work)
{
	return c->used == 0 || c->used + work <= c->limit;
}

/* Adds to the work in progress. */
void capacity_use(capacity_t *c, uint64_t work)
{
	c->used += work;
	c->peak_used = MAX(c->peak_used, c->used);
}

/* Subtracts from the work in progress. */
void capacity_release(capacity_t *c, uint64_t work)
{
	c->used -= work;
}

/* Counts tokens of one stream and the time span, in ms, that they took. */
void capacity_add_tokens(capacity_t *c, uint64_t tokens, ms_t span)
{
	c->tokens += tokens;
	c->decode_time += span;
}

/* Counts an answer of a plain service and its response time in ms. */
void capacity_add_answer(capacity_t *c, ms_t span)
{
	c->answers++;
	c->answer_time += span;
}

static void shrink(side_t *s, ms_t now)
{
	capacity_t *c = &s->capacity;

	c->limit =
		MAX(MIN(c->limit, c->peak_used) * SHRINK_TO_PERCENT / 100, 1);
	c->settle_until = now + SETTLE;
	c->slow_start = false;
}

static void grow(side_t *s)
{
	capacity_t *c = &s->capacity;
	uint64_t max = s->conf.model ? s->conf.capacity_max : PLAIN_MAX;
	unsigned int percent =
		c->slow_start ? SLOW_START_GROW_PERCENT : GROW_PERCENT;

	if (s->waiting == 0 && c->peak_used * 100 < c->limit * IN_USE_PERCENT)
		return;
	c->limit += MAX(c->limit * percent / 100, 1);
	c->limit = MIN(c->limit, MAX(max, 1));
}

/* Sums up how long stalled streams have been without a token, in ms. */
static ms_t stalled_time(const side_t *s, ms_t now)
{
	ms_t sum = 0;

	for (const list_t *l = s->running.next; l != &s->running; l = l->next) {
		const job_t *j = list_entry(l, const job_t, link);
		ms_t silent = now - j->a.last_at;

		if (j->a.first_delay >= 0 &&
		    silent > STALL_GAPS * s->conf.token_gap_target)
			sum += silent;
	}
	return sum;
}

static void adjust_model(side_t *s, ms_t now)
{
	capacity_t *c = &s->capacity;
	ms_t stall = stalled_time(s, now);
	double gap;

	if (c->tokens < TOKENS_MIN && stall == 0)
		return;
	gap = (double)(c->decode_time + stall) / (double)MAX(c->tokens, 1);
	if (gap * 100 > (double)s->conf.token_gap_target * SHRINK_ABOVE_PERCENT)
		shrink(s, now);
	else if (gap * 100 < (double)s->conf.token_gap_target *
				     GROW_BELOW_PERCENT &&
		 s->engine_queued == 0)
		grow(s);
}

static void adjust_plain(side_t *s, ms_t now)
{
	capacity_t *c = &s->capacity;
	double mean;

	if (c->answers == 0)
		return;
	mean = (double)c->answer_time / (double)c->answers;
	if (c->base_time == 0 || mean < c->base_time)
		c->base_time = mean;
	else
		c->base_time += (mean - c->base_time) / 256;
	if (mean > c->base_time * PLAIN_SLOW_PERCENT / 100 + PLAIN_SLOW_MIN)
		shrink(s, now);
	else
		grow(s);
}

/* Adjusts the limit at the end of each window. */
void capacity_tick(side_t *s, ms_t now)
{
	capacity_t *c = &s->capacity;

	if (now - c->window_start < WINDOW)
		return;
	if (now >= c->settle_until) {
		if (s->conf.model)
			adjust_model(s, now);
		else
			adjust_plain(s, now);
	}
	c->window_start = now;
	c->tokens = c->tokens * CARRY_PERCENT / 100;
	c->decode_time = c->decode_time * CARRY_PERCENT / 100;
	c->answers = 0;
	c->answer_time = 0;
	c->peak_used = c->used;
}
