/* The place at the engine: a learned limit of work in progress. */
#include "side/priv.h"

enum {
	WINDOW = 250,		 /* ms between looks at the limit */
	SETTLE = 1000,		 /* ms for a smaller limit to show */
	TOKENS_LEAST = 16,	 /* a window with fewer tells nothing */
	STALL = 8,		 /* target gaps without any token */
	IN_USE_PERCENT = 75,	 /* of the limit, for it to grow */
	WELL_UNDER_PERCENT = 70, /* of the target, for it to grow */
	TOO_SLOW_PERCENT = 92,	 /* of the target, for it to shrink */
	FADE_PERCENT = 60,	 /* of a window that counts in the next */
	SHRINK_PERCENT = 85,
	QUICK_GROW_PERCENT = 25,  /* a window, before the first shrinking */
	GROW_PERCENT = 3,	  /* a window, after it */
	PLAIN_START = 4,	  /* requests */
	PLAIN_MAX = 1024,	  /* requests */
	PLAIN_SLOW_PERCENT = 200, /* of the base response time */
	PLAIN_LEAST = 4,	  /* ms of change that matter */
};

/* Starts with the limit of the settings; plain services count requests. */
void place_init(place_t *p, const side_conf_t *conf)
{
	p->limit = conf->model ? conf->place_start : PLAIN_START;
	p->limit = MAX(p->limit, 1);
	p->slow_start = true;
}

/* What a request takes of the place: its tokens, or 1 at a plain service. */
uint64_t place_work(const side_t *s, uint64_t prompt, uint64_t output)
{
	if (!s->conf.model)
		return 1;
	return MAX(prompt + output, 1);
}

/* Whether work of that size may start; one request fits an idle engine. */
bool place_fits(const place_t *p, uint64_t work)
{
	return p->used == 0 || p->used + work <= p->limit;
}

/* Takes a place. */
void place_use(place_t *p, uint64_t work)
{
	p->used += work;
	p->most = MAX(p->most, p->used);
}

/* Gives a place back. */
void place_release(place_t *p, uint64_t work)
{
	p->used -= work;
}

/* Tokens of one stream and the time that they took. */
void place_decoded(place_t *p, uint64_t tokens, ms_t span)
{
	p->tokens += tokens;
	p->decoding += span;
}

/* An answer of a plain service and its response time. */
void place_answered(place_t *p, ms_t span)
{
	p->answers++;
	p->answer_time += span;
}

static void shrink(side_t *s, ms_t now)
{
	place_t *p = &s->place;

	p->limit = MAX(MIN(p->limit, p->most) * SHRINK_PERCENT / 100, 1);
	p->settle = now + SETTLE;
	p->slow_start = false;
}

static void grow(side_t *s)
{
	place_t *p = &s->place;
	uint64_t max = s->conf.model ? s->conf.place_max : PLAIN_MAX;
	unsigned int percent =
		p->slow_start ? QUICK_GROW_PERCENT : GROW_PERCENT;

	if (s->waiting == 0 && p->most * 100 < p->limit * IN_USE_PERCENT)
		return;
	p->limit += MAX(p->limit * percent / 100, 1);
	p->limit = MIN(p->limit, MAX(max, 1));
}

/* Stream time of running answers that has not brought a token yet. */
static ms_t stalled(const side_t *s, ms_t now)
{
	ms_t sum = 0;

	for (const list_t *l = s->running.next; l != &s->running; l = l->next) {
		const job_t *j = list_entry(l, const job_t, link);
		ms_t open = now - j->a.last_at;

		if (j->a.first >= 0 && open > STALL * s->conf.token_gap)
			sum += open;
	}
	return sum;
}

static void judge_model(side_t *s, ms_t now)
{
	place_t *p = &s->place;
	ms_t stall = stalled(s, now);
	double gap;

	if (p->tokens < TOKENS_LEAST && stall == 0)
		return;
	gap = (double)(p->decoding + stall) / (double)MAX(p->tokens, 1);
	if (gap * 100 > (double)s->conf.token_gap * TOO_SLOW_PERCENT)
		shrink(s, now);
	else if (gap * 100 < (double)s->conf.token_gap * WELL_UNDER_PERCENT &&
		 s->engine_queued == 0)
		grow(s);
}

static void judge_plain(side_t *s, ms_t now)
{
	place_t *p = &s->place;
	double mean;

	if (p->answers == 0)
		return;
	mean = (double)p->answer_time / (double)p->answers;
	if (p->base == 0 || mean < p->base)
		p->base = mean;
	else
		p->base += (mean - p->base) / 256;
	if (mean > p->base * PLAIN_SLOW_PERCENT / 100 + PLAIN_LEAST)
		shrink(s, now);
	else
		grow(s);
}

/* Looks at the window that has passed and moves the limit. */
void place_tick(side_t *s, ms_t now)
{
	place_t *p = &s->place;

	if (now - p->window_at < WINDOW)
		return;
	if (now >= p->settle) {
		if (s->conf.model)
			judge_model(s, now);
		else
			judge_plain(s, now);
	}
	p->window_at = now;
	p->tokens = p->tokens * FADE_PERCENT / 100;
	p->decoding = p->decoding * FADE_PERCENT / 100;
	p->answers = 0;
	p->answer_time = 0;
	p->most = p->used;
}
