// Entries and sidecars together, under delays, cuts, deaths and pauses.
#include <rapidcheck.h>
extern "C" {
#include "rig/rig.h"
}

namespace
{

constexpr unsigned int entries = 2;
constexpr unsigned int sidecars = 4;
constexpr ms_t quiet = 60000; // longer than every deadline and timeout

enum kind_t {
	SUBMIT,
	HANGUP,
	CUT,
	KILL_ENTRY,
	KILL_SIDE,
	PAUSE_ENTRY,
	PAUSE_SIDE,
	REFUSE,
	CUT_STREAM,
	DRAIN,
	KINDS,
};

// One thing done to the rig, then a span of time.
struct op_t {
	int kind;
	unsigned int a;
	unsigned int b;
	int span;
};

void showValue(const op_t &o, std::ostream &os)
{
	os << "{ " << o.kind << ", " << o.a << ", " << o.b << ", " << o.span
	   << " }";
}

const engine_conf_t engine_conf = { 1, 10, 0.5, 0.2, 512, 8, 20000, 5000, 1 };

rig_conf_t rig_conf(uint64_t seed)
{
	static engine_conf_t engines[sidecars];
	rig_conf_t c = {};

	for (unsigned int i = 0; i < sidecars; i++) {
		engines[i] = engine_conf;
		engines[i].speed = 1.0 / (1 + i % 3);
	}
	c.seed = seed;
	c.entries = entries;
	c.sidecars = sidecars;
	c.engines = engines;
	c.delay_min = 1;
	c.delay_max = 20;
	c.tick = 10;
	c.state_every = 100;
	c.silent = 300;
	c.keep_got = true;
	c.entry.waiting_max = 50;
	c.entry.initial_offers = 2;
	c.entry.head_start = 20;
	c.entry.widen_before = 1000;
	c.entry.disconnect_timeout = 2000;
	c.entry.ack_interval = 50;
	c.entry.data_center = "one";
	c.side.service = "helper";
	c.side.model = true;
	c.side.waiting_max = 6;
	c.side.answer_max = 4096;
	c.side.token_gap_target = 70;
	c.side.lease = 300;
	c.side.hold = 300;
	c.side.entry_timeout = 3000;
	c.side.engine_silent = 2000;
	c.side.capacity_start = 500;
	c.side.capacity_max = 4000;
	return c;
}

void submit(rig_t *rig, const op_t &o)
{
	rig_request_t r = {};

	r.tier = o.b % 4;
	r.prompt = 1 + o.b % 300;
	r.output = 1 + o.b % 37;
	r.prefix = o.b % 3;
	r.prefix_len = r.prefix ? r.prompt / 2 : 0;
	r.deadline = 500 + o.b % 7000;
	r.plain = o.b % 5 == 0;
	r.key = o.b % 7 == 0;
	rig_submit(rig, o.a % entries, &r);
}

void apply(rig_t *rig, const op_t &o)
{
	unsigned int e = o.a % entries;
	unsigned int s = o.a % sidecars;
	ms_t span = 1 + o.b % 4000;
	guint n = rig_requests(rig)->len;

	switch (o.kind) {
	case SUBMIT:
		submit(rig, o);
		break;
	case HANGUP:
		if (n)
			rig_hangup(rig, 1 + o.b % n);
		break;
	case CUT:
		rig_cut(rig, o.b % entries, s);
		break;
	case KILL_ENTRY:
		rig_kill_entry(rig, e, span);
		break;
	case KILL_SIDE:
		rig_kill_side(rig, s, span);
		break;
	case PAUSE_ENTRY:
		rig_pause_entry(rig, e, span);
		break;
	case PAUSE_SIDE:
		rig_pause_side(rig, s, span);
		break;
	case REFUSE:
		rig_engine_refuses(rig, s, span);
		break;
	case CUT_STREAM:
		rig_engine_cut(rig, s);
		break;
	default:
		rig_drain_side(rig, 0);
	}
	rig_run(rig, o.span);
}

// What must hold of each request once all is quiet again.
void check_request(const rig_request_t *r)
{
	RC_ASSERT(r->dispatches <= 1U);
	RC_ASSERT(r->ends == (r->gone ? r->ends : 1U));
	RC_ASSERT(r->ends <= 1U);
	if (r->ends && code_not_run(r->code))
		RC_ASSERT(r->dispatches == 0U);
	if (r->ends && r->code == CODE_OK) {
		RC_ASSERT(r->dispatches == 1U);
		RC_ASSERT(rig_answer_is_whole(r));
	}
}

// Nothing is left in any table.
void check_empty(rig_t *rig)
{
	for (unsigned int i = 0; i < entries; i++)
		RC_ASSERT(entry_idle(rig_entry(rig, i)));
	for (unsigned int i = 0; i < sidecars; i++) {
		msg_state_t s;

		side_get_state(rig_side(rig, i), &s);
		RC_ASSERT(s.waiting == 0U);
		RC_ASSERT(s.used == 0U);
		RC_ASSERT(engine_running(rig_engine(rig, i)) == 0U);
	}
}

void run(uint64_t seed, const std::vector<op_t> &ops)
{
	rig_conf_t conf = rig_conf(seed);
	rig_t *rig = rig_new(&conf);
	std::shared_ptr<rig_t> guard(rig, rig_free);

	rig_run(rig, 100);
	for (const op_t &o : ops)
		apply(rig, o);
	rig_run(rig, quiet);
	for (guint i = 0; i < rig_requests(rig)->len; i++)
		check_request(static_cast<const rig_request_t *>(
			rig_requests(rig)->pdata[i]));
	check_empty(rig);
}

// Mostly submits, so that there is always something to lose.
rc::Gen<op_t> any_op()
{
	return rc::gen::construct<op_t>(
		rc::gen::weightedOneOf<int>(
			{ { 14, rc::gen::just<int>(SUBMIT) },
			  { 6, rc::gen::inRange<int>(HANGUP, KINDS) } }),
		rc::gen::inRange(0U, 64U), rc::gen::inRange(0U, 8191U),
		rc::gen::inRange(0, 120));
}

} // namespace

int main()
{
	bool ok = rc::check("requests end once, truly and run once", [] {
		const auto seed = *rc::gen::inRange(0U, 1000000U);
		const auto ops = *rc::gen::container<std::vector<op_t>>(
			*rc::gen::inRange(1U, 120U), any_op());

		run(seed, ops);
	});

	return ok ? 0 : 1;
}
