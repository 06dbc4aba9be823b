/* The waiting list: tiers, fair queueing of customers, shedding. */
#include <string.h>
#include "side/priv.h"

enum {
	QUANTUM = 2048, /* tokens added to a flow's deficit each round */
	ENGINE_DOWN_WAIT = 1000, /* ms that offers wait for the engine */
};

/* Prepares an empty waiting list. */
void wait_init(side_t *s)
{
	for (int i = 0; i < TIER_COUNT; i++) {
		tier_t *t = &s->tiers[i];

		list_init(&t->round);
		list_init(&t->late);
		list_init(&t->by_age);
		t->flows = g_hash_table_new(g_str_hash, g_str_equal);
	}
}

/* Frees the tables of an empty waiting list. */
void wait_clear(side_t *s)
{
	for (int i = 0; i < TIER_COUNT; i++)
		g_hash_table_destroy(s->tiers[i].flows);
}

static flow_t *flow_get(tier_t *t, str_t customer)
{
	char *name = str_dup(customer);
	flow_t *f = g_hash_table_lookup(t->flows, name);

	if (f) {
		g_free(name);
		return f;
	}
	f = g_new0(flow_t, 1);
	f->customer = name;
	f->deficit = QUANTUM;
	list_init(&f->jobs);
	list_add_tail(&t->round, &f->link);
	g_hash_table_insert(t->flows, name, f);
	return f;
}

/* Takes a job out of its flow, or the late list; frees an empty flow. */
static void flow_remove(tier_t *t, job_t *j)
{
	flow_t *f = j->flow;

	list_del(&j->link);
	j->flow = NULL;
	if (!f || !list_empty(&f->jobs))
		return;
	list_del(&f->link);
	g_hash_table_remove(t->flows, f->customer);
	g_free(f->customer);
	g_free(f);
}

/* Takes a waiting job out of its tier. */
void wait_remove(side_t *s, job_t *j)
{
	tier_t *t = &s->tiers[j->tier];

	flow_remove(t, j);
	list_del(&j->by_age);
	t->len--;
	t->work -= j->work;
	s->waiting--;
}

static void wait_add(side_t *s, job_t *j, str_t customer, ms_t now)
{
	tier_t *t = &s->tiers[j->tier];

	j->state = JOB_WAITING;
	j->state_since = now;
	j->flow = flow_get(t, customer);
	list_add_tail(&j->flow->jobs, &j->link);
	list_add_tail(&t->by_age, &j->by_age);
	t->len++;
	t->work += j->work;
	s->waiting++;
}

/* Returns the tokens of work that wait in the tier and above it. */
uint64_t wait_work(const side_t *s, unsigned int tier)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i <= tier; i++)
		sum += s->tiers[i].work;
	return sum;
}

/* Returns the next job of a tier by deficit round robin over tokens. */
static job_t *tier_next(tier_t *t)
{
	while (!list_empty(&t->round)) {
		flow_t *f = list_entry(t->round.next, flow_t, link);
		job_t *j = list_entry(f->jobs.next, job_t, link);

		if (f->deficit >= j->work)
			return j;
		f->deficit += QUANTUM;
		list_del(&f->link);
		list_add_tail(&t->round, &f->link);
	}
	return NULL;
}

/*
 * Returns the job to grant next, or NULL when none waits. It stays the same
 * until it is granted or one of a higher tier comes, so that smaller jobs do
 * not overtake a large one.
 */
job_t *wait_next(side_t *s)
{
	for (int i = 0; i < TIER_COUNT; i++) {
		job_t *j = tier_next(&s->tiers[i]);

		if (j)
			return j;
		if (!list_empty(&s->tiers[i].late))
			return list_entry(s->tiers[i].late.next, job_t, link);
	}
	return NULL;
}

/*
 * Moves jobs that miss first_token_target behind the others of their tier, so
 * that one long wait does not make every later request late too.
 */
static void move_late_behind(side_t *s, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	if (s->conf.first_token_target == 0)
		return;
	for (int i = 0; i < TIER_COUNT; i++) {
		tier_t *t = &s->tiers[i];

		list_for_each_safe(pos, tmp, &t->by_age)
		{
			job_t *j = list_entry(pos, job_t, by_age);
			ms_t need = speed_first_token_time(s, j->prompt);

			if (!j->flow || now - j->state_since + need <=
						s->conf.first_token_target)
				continue;
			flow_remove(t, j);
			list_add_tail(&t->late, &j->link);
		}
	}
}

/* Frees a job, but keeps one that has void grants, to reject their bodies. */
static void drop_job(side_t *s, job_t *j, ms_t now)
{
	if (j->void_grants)
		job_set_state(s, j, JOB_NOT_RUN, now);
	else
		job_free(s, j);
}

static void refuse_job(side_t *s, job_t *j, code_t code, ms_t hold, ms_t now)
{
	rid_t rid = j->rid;

	drop_job(s, j, now);
	side_refuse(s, rid, code, hold);
}

/* Returns the ms for which no tier below this one is taken; 0 none. */
static ms_t hold_left(const side_t *s, unsigned int tier, ms_t now)
{
	ms_t until = now;

	for (unsigned int i = 0; i <= tier; i++)
		until = MAX(until, s->tiers[i].hold_until);
	return until - now;
}

/* Whether the hold of a higher tier forbids taking this one now. */
static bool is_held(const side_t *s, unsigned int tier, ms_t now)
{
	return tier > 0 && hold_left(s, tier - 1, now) > 0;
}

/* Revokes the grants of the tiers below one that is shed. */
static void revoke_below(side_t *s, unsigned int tier, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	list_for_each_safe(pos, tmp, &s->granted)
	{
		job_t *j = list_entry(pos, job_t, link);

		if (j->tier > tier)
			drop_job(s, j, now);
	}
}

/*
 * Starts a hold: no tier below this one is taken for conf.hold, which is
 * returned, as one of this tier is shed.
 */
static ms_t start_hold(side_t *s, unsigned int tier, ms_t now)
{
	s->tiers[tier].hold_until = now + s->conf.hold;
	revoke_below(s, tier, now);
	return s->conf.hold;
}

static void refuse_tier(side_t *s, unsigned int tier, code_t code, ms_t hold,
			ms_t now)
{
	tier_t *t = &s->tiers[tier];

	while (!list_empty(&t->by_age))
		refuse_job(s, list_entry(t->by_age.prev, job_t, by_age), code,
			   hold, now);
}

/*
 * Returns whether what waits in the tier and above already takes longer than
 * wait_max. Then the lower tiers have no chance and are shed first.
 */
static bool shed_if_too_long(side_t *s, unsigned int tier, ms_t now)
{
	if (s->conf.wait_max == 0 ||
	    speed_wait_time(s, tier) <= s->conf.wait_max)
		return false;
	for (unsigned int low = TIER_LOWEST; low > tier; low--)
		refuse_tier(s, low, CODE_SHED, 0, now);
	return true;
}

/*
 * Makes room for an offer of the tier, by shedding the newest job of the lowest
 * tier if needed. Returns false if no lower tier waits.
 */
static bool make_room(side_t *s, unsigned int tier, ms_t now)
{
	unsigned int low = TIER_LOWEST;
	job_t *j;

	if (s->waiting < s->conf.waiting_max)
		return true;
	while (low > 0 && s->tiers[low].len == 0)
		low--;
	if (low <= tier)
		return false;
	j = list_entry(s->tiers[low].by_age.prev, job_t, by_age);
	refuse_job(s, j, CODE_SHED, start_hold(s, low, now), now);
	return true;
}

/*
 * Checks whether an offer can finish in time, behind the work of its own and
 * higher tiers. Until speeds are measured only its deadline counts.
 */
static code_t check_time(const side_t *s, const msg_offer_t *o,
			 unsigned int tier)
{
	ms_t need;

	if (o->left_ms == 0)
		return CODE_EXPIRED_WAITING;
	need = speed_run_time(s, o->prompt_tokens, o->output_tokens);
	need += speed_wait_time(s, tier);
	return need > (ms_t)o->left_ms ? CODE_CANNOT_FINISH : CODE_OK;
}

static code_t check_offer(const side_t *s, const msg_offer_t *o,
			  unsigned int tier, ms_t now)
{
	if (s->draining)
		return CODE_STOPPING;
	if (!s->engine_up && now - s->engine_down_at > ENGINE_DOWN_WAIT)
		return CODE_NO_SERVER;
	if (!side_has_version(s, o->version))
		return CODE_NOT_LOADED;
	if (is_held(s, tier, now))
		return CODE_SHED;
	return check_time(s, o, tier);
}

static job_t *job_new(side_t *s, rid_t rid)
{
	job_t *j = g_new0(job_t, 1);

	j->rid = rid;
	list_init(&j->link);
	list_init(&j->by_age);
	answer_init(&j->a);
	g_hash_table_insert(s->jobs, &j->rid, j);
	return j;
}

static void accept_offer(side_t *s, const msg_offer_t *o, unsigned int tier,
			 ms_t now)
{
	job_t *j = job_find(s, o->rid);

	if (j)
		job_unlink(s, j);
	else
		j = job_new(s, o->rid);
	g_free(j->version);
	j->version = str_dup(o->version);
	j->tier = tier;
	j->prompt = o->prompt_tokens;
	j->output = o->output_tokens;
	j->work = capacity_cost(s, j->prompt, j->output);
	j->deadline = now + (ms_t)o->left_ms;
	wait_add(s, j, o->customer, now);
}

/* A repeated offer: its grant is resent if the connection is a new one. */
static void on_repeated_offer(side_t *s, job_t *j, const msg_offer_t *o,
			      ms_t now)
{
	if (j->state == JOB_WAITING)
		j->deadline = now + (ms_t)o->left_ms;
	if (j->state == JOB_GRANTED)
		grant_resend(s, j, now);
}

/* Adds an offer to the waiting list, or refuses it. */
void wait_offer(side_t *s, const msg_offer_t *o, ms_t now)
{
	unsigned int tier = (unsigned int)MIN(o->tier, TIER_LOWEST);
	job_t *j = job_find(s, o->rid);
	code_t code;

	if (j && grant_lapsed(s, j, now)) {
		drop_job(s, j, now);
		j = job_find(s, o->rid);
	}
	if (j && j->state != JOB_NOT_RUN) {
		on_repeated_offer(s, j, o, now);
		return;
	}
	code = check_offer(s, o, tier, now);
	if (code != CODE_OK) {
		side_refuse(s, o->rid, code,
			    code == CODE_SHED ? hold_left(s, tier, now) : 0);
	} else if (shed_if_too_long(s, tier, now) || !make_room(s, tier, now)) {
		side_refuse(s, o->rid, CODE_SHED, start_hold(s, tier, now));
	} else {
		accept_offer(s, o, tier, now);
	}
}

/* Refuses all waiting jobs, lowest tier and newest first. */
void wait_refuse_all(side_t *s, code_t code, ms_t now)
{
	for (int i = TIER_LOWEST; i >= 0; i--)
		refuse_tier(s, (unsigned int)i, code, 0, now);
}

/* Drops the offers of an entry, which repeats them when it reconnects. */
void wait_drop_peer(side_t *s, uint64_t inc)
{
	list_t *pos;
	list_t *tmp;

	for (int i = 0; i < TIER_COUNT; i++) {
		list_for_each_safe(pos, tmp, &s->tiers[i].by_age)
		{
			job_t *j = list_entry(pos, job_t, by_age);

			if (j->rid.inc == inc)
				job_free(s, j);
		}
	}
}

/* Returns the code to refuse a waiting job with now, or CODE_OK. */
static code_t waiting_code(const side_t *s, const job_t *j, ms_t now)
{
	if (now >= j->deadline)
		return CODE_EXPIRED_WAITING;
	if (!side_has_version(s, str_of(j->version)))
		return CODE_NOT_LOADED;
	if (now + speed_run_time(s, j->prompt, j->output) > j->deadline)
		return CODE_CANNOT_FINISH;
	return CODE_OK;
}

static void refuse_unservable(side_t *s, ms_t now)
{
	list_t *pos;
	list_t *tmp;

	for (int i = 0; i < TIER_COUNT; i++) {
		list_for_each_safe(pos, tmp, &s->tiers[i].by_age)
		{
			job_t *j = list_entry(pos, job_t, by_age);
			code_t code = waiting_code(s, j, now);

			if (code != CODE_OK)
				refuse_job(s, j, code, 0, now);
		}
	}
}

/* Refuses the jobs that wait for a version that is no longer loaded. */
void wait_refuse_unloaded(side_t *s, ms_t now)
{
	refuse_unservable(s, now);
}

/* Refuses the jobs that can no longer be answered in time. */
void wait_tick(side_t *s, ms_t now)
{
	if (!s->engine_up && now - s->engine_down_at > ENGINE_DOWN_WAIT)
		wait_refuse_all(s, CODE_NO_SERVER, now);
	refuse_unservable(s, now);
	move_late_behind(s, now);
}
