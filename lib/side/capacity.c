/* The place at the engine: a learned limit of work in progress. */
#include "side/priv.h"

enum {
	WINDOW = 250,		   /* ms between looks at the limit */
	SETTLE = 1000,		   /* ms for a smaller limit to show */
	TOKENS_MIN = 16,	   /* a window with fewer tells nothing */
	STALL_GAPS = 8,		   /* target gaps without any token */
	IN_USE_PERCENT = 75,	   /* of the limit, for it to grow */
	GROW_BELOW_PERCENT = 70,   /* of the target, for it to grow */
	SHRINK_ABOVE_PERCENT = 92, /* of the target, for it to shrink */
	CARRY_PERCENT = 60,	   /* of a window that counts in the next */
	SHRINK_TO_PERCENT = 85,
	SLOW_START_GROW_PERCENT = 25, /* a window, before the first shrinking */
	GROW_PERCENT = 3,	      /* a window, after it */
	PLAIN_START = 4,	      /* requests */
	PLAIN_MAX = 1024,	      /* requests */
	PLAIN_SLOW_PERCENT = 200,     /* of the base response time */
	PLAIN_SLOW_MIN = 4,	      /* ms of change that matter */
};

/* Starts with the limit of the settings; plain services count requests. */
void capacity_init(capacity_t *p, const side_conf_t *conf)
{
	p->limit = conf->model ? conf->capacity_start : PLAIN_START;
	p->limit = MAX(p->limit, 1);
	p->slow_start = true;
}

/* What a request takes of the place: its tokens, or 1 at a plain service. */
uint64_t capacity_cost(const side_t *s, uint64_t prompt, uint64_t output)
{
	if (!s->conf.model)
		return 1;
	return MAX(prompt + output, 1);
}

/* Whether work of that size may start; one request fits an idle engine. */
bool capacity_fits(const capacity_t *p, uint64_t work)
{
	return p->used == 0 || p->used + work <= p->limit;
}

/* Takes a place. */
void capacity_use(capacity_t *p, uint64_t work)
{
	p->used += work;
	p->peak_used = MAX(p->peak_used, p->used);
}

/* Gives a place back. */
void capacity_release(capacity_t *p, uint64_t work)
{
	p->used -= work;
}

/* Tokens of one stream and the time that they took. */
void capacity_add_tokens(capacity_t *p, uint64_t tokens, ms_t span)
{
	p->tokens += tokens;
	p->decode_time += span;
}

/* An answer of a plain service and its response time. */
void capacity_add_answer(capacity_t *p, ms_t span)
{
	p->answers++;
	p->answer_time += span;
}

static void shrink(side_t *s, ms_t now)
{
	capacity_t *p = &s->capacity;

	p->limit =
		MAX(MIN(p->limit, p->peak_used) * SHRINK_TO_PERCENT / 100, 1);
	p->settle_until = now + SETTLE;
	p->slow_start = false;
}

static void grow(side_t *s)
{
	capacity_t *p = &s->capacity;
	uint64_t max = s->conf.model ? s->conf.capacity_max : PLAIN_MAX;
	unsigned int percent =
		p->slow_start ? SLOW_START_GROW_PERCENT : GROW_PERCENT;

	if (s->waiting == 0 && p->peak_used * 100 < p->limit * IN_USE_PERCENT)
		return;
	p->limit += MAX(p->limit * percent / 100, 1);
	p->limit = MIN(p->limit, MAX(max, 1));
}

/* Stream time of running answers that has not brought a token yet. */
static ms_t stalled_time(const side_t *s, ms_t now)
{
	ms_t sum = 0;

	for (const list_t *l = s->running.next; l != &s->running; l = l->next) {
		const job_t *j = list_entry(l, const job_t, link);
		ms_t open = now - j->a.last_at;

		if (j->a.first_delay >= 0 &&
		    open > STALL_GAPS * s->conf.token_gap_target)
			sum += open;
	}
	return sum;
}

static void adjust_model(side_t *s, ms_t now)
{
	capacity_t *p = &s->capacity;
	ms_t stall = stalled_time(s, now);
	double gap;

	if (p->tokens < TOKENS_MIN && stall == 0)
		return;
	gap = (double)(p->decode_time + stall) / (double)MAX(p->tokens, 1);
	if (gap * 100 > (double)s->conf.token_gap_target * SHRINK_ABOVE_PERCENT)
		shrink(s, now);
	else if (gap * 100 < (double)s->conf.token_gap_target *
				     GROW_BELOW_PERCENT &&
		 s->engine_queued == 0)
		grow(s);
}

static void adjust_plain(side_t *s, ms_t now)
{
	capacity_t *p = &s->capacity;
	double mean;

	if (p->answers == 0)
		return;
	mean = (double)p->answer_time / (double)p->answers;
	if (p->base_time == 0 || mean < p->base_time)
		p->base_time = mean;
	else
		p->base_time += (mean - p->base_time) / 256;
	if (mean > p->base_time * PLAIN_SLOW_PERCENT / 100 + PLAIN_SLOW_MIN)
		shrink(s, now);
	else
		grow(s);
}

/* Looks at the window that has passed and moves the limit. */
void capacity_tick(side_t *s, ms_t now)
{
	capacity_t *p = &s->capacity;

	if (now - p->window_start < WINDOW)
		return;
	if (now >= p->settle_until) {
		if (s->conf.model)
			adjust_model(s, now);
		else
			adjust_plain(s, now);
	}
	p->window_start = now;
	p->tokens = p->tokens * CARRY_PERCENT / 100;
	p->decode_time = p->decode_time * CARRY_PERCENT / 100;
	p->answers = 0;
	p->answer_time = 0;
	p->peak_used = p->used;
}
