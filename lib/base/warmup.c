/*
 * Cold servers. For some seconds after it has started, or has come back from
 * wherever it was, a server takes few requests a second; many more end it.
 *
 * Its own word of that comes with its entry, some seconds late. So a server is
 * taken for cold from the first sign that it may have been away: it has not
 * been heard yet, was lost, or has been quiet. That ends when the cold time has
 * passed since it was heard again.
 *
 * Load it answers: a server, or all of a data centre, that returns in a burst.
 */
#include "base/fns.h"

enum {
	WARMUP_BURST_MS = 125, /* this much time's requests pass at once */
	/* A server that gets its rate is not quiet for longer than so many */
	QUIET_REQUESTS = 3,
	/* Word of an answer may travel for longer than that of a later loss */
	WORD_SKEW_MS = 20,
};

static bool was_quiet(const warmup_t *w, const warmup_conf_t *c, ms_t now)
{
	double shortest;

	if (c->quiet == 0 || c->rate <= 0)
		return false;
	shortest = QUIET_REQUESTS * MS_PER_S / c->rate;
	return (double)(now - w->heard_at) >= MAX((double)c->quiet, shortest);
}

/* A server that has not been heard yet. */
void warmup_init(warmup_t *w)
{
	*w = (warmup_t){ .away = true };
}

/* Whether the server has to be taken for cold. */
bool warmup_cold(const warmup_t *w, const warmup_conf_t *c, ms_t now)
{
	return c->rate > 0 &&
	       (w->away || now < w->until || was_quiet(w, c, now));
}

/*
 * The server has answered a request that was sent to it at a time. One sent
 * before the server was lost shows that it was not away.
 */
void warmup_heard(warmup_t *w, const warmup_conf_t *c, ms_t sent, ms_t now)
{
	bool stayed = sent < w->lost_at && now - w->lost_at > WORD_SKEW_MS;

	if ((w->away && !stayed) || was_quiet(w, c, now))
		w->until = MAX(w->until, now + c->time);
	w->away = false;
	w->heard_at = now;
}

/* A request was lost there, or the server was not reached. */
void warmup_lost(warmup_t *w, ms_t now)
{
	w->away = true;
	w->lost_at = now;
}

/* The server is cold for at least so many ms more, by its own word. */
void warmup_told(warmup_t *w, ms_t left, ms_t now)
{
	w->until = MAX(w->until, now + left);
}

/*
 * Whether a request may be sent now by a process that has this part, from 0 to
 * 1, of the cold server's rate. In any second at most an eighth more than the
 * part passes, or the part and one request, whichever is more.
 */
bool warmup_ready(warmup_t *w, const warmup_conf_t *c, double part, ms_t now)
{
	bool began = !w->paced;

	w->paced = warmup_cold(w, c, now);
	if (!w->paced)
		return true;
	if (part <= 0)
		return false;
	w->pace.burst = WARMUP_BURST_MS;
	pace_set_rate(&w->pace, c->rate * part, now);
	if (began)
		pace_fill(&w->pace);
	return pace_ready(&w->pace, now);
}

/* A request is sent. */
void warmup_take(warmup_t *w)
{
	if (w->paced)
		pace_take(&w->pace);
}

/* A request that was taken was not sent after all. */
void warmup_return(warmup_t *w)
{
	if (w->paced)
		pace_return(&w->pace);
}
