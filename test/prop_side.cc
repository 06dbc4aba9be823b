/*
 * Properties of the sidecar under any order of messages, lost connections and
 * engine failures, with two entries that follow the protocol and a fake engine.
 */
#include <rapidcheck.h>
#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <string>
#include <vector>
extern "C" {
#include "side/fns.h"
}

namespace
{
constexpr int ENTRIES = 2;
constexpr ms_t HOLD = 800;

enum class State { Waiting, Sent, NotRun, Done };

struct Request {
	State st = State::Waiting;
	uint64_t tier = 0;
	uint64_t work = 0;
	uint64_t grant = 0;
	bool offered = false; /* by this connection, and not answered */
	bool arrived = false; /* the offer is in the sidecar's list */
	bool cancelled = false;
	std::string got;
	uint64_t chunks = 0;
};

struct Run {
	std::string body;
	size_t pos = 0;
	bool head = false;
	bool open = true; /* the sidecar reads the stream */
	bool cancelled = false;
};

struct Message { /* a message on the fake network */
	msg_type_t type;
	uint64_t seq, a, b;
	std::string data;
};

struct World {
	side_t *s = nullptr;
	counters_t *cs = counters_new();
	ms_t now = 1000;
	bool up[ENTRIES] = { false, false };
	std::map<uint64_t, Request> reqs[ENTRIES];
	std::deque<Message> to_side[ENTRIES], to_entry[ENTRIES];
	std::deque<Message> stale[ENTRIES]; /* bodies of lost connections */
	std::map<std::pair<uint64_t, uint64_t>, Run> runs;
	std::map<std::pair<uint64_t, uint64_t>, int> dispatched;
	std::vector<std::pair<uint64_t, ms_t>> holds; /* tier, until */
	uint64_t next_seq = 1;
	uint64_t last_grant = 0; /* largest number, to know resent grants */
	bool draining = false;
	std::string failure;

	void fail(const std::string &why)
	{
		if (failure.empty())
			failure = why;
	}
};

rid_t rid_of(int e, uint64_t seq)
{
	return rid_t{ static_cast<uint64_t>(e) + 1, seq };
}

str_t of(const std::string &s)
{
	return str_t{ s.data(), s.size() };
}

void check_refusal(World &w, const msg_refuse_t &r)
{
	if (r.code != CODE_SHED || r.hold_ms == 0)
		return;
	const Request &q = w.reqs[r.rid.inc - 1][r.rid.seq];
	for (auto &reqs : w.reqs)
		for (auto &kv : reqs)
			if (kv.second.arrived && kv.second.tier > q.tier)
				w.fail("shed while a lower tier waits");
	w.holds.push_back({ q.tier, w.now + static_cast<ms_t>(r.hold_ms) });
}

void check_grant(World &w, const msg_grant_t &g)
{
	Request &q = w.reqs[g.rid.inc - 1][g.rid.seq];
	msg_state_t st;

	side_get_state(w.s, &st);
	if (st.used > st.limit && st.used != q.work)
		w.fail("granted beyond the capacity");
	if (w.draining)
		w.fail("granted while draining");
	for (auto &h : w.holds)
		if (q.tier > h.first && w.now < h.second)
			w.fail("a lower tier granted within a hold");
	for (auto &reqs : w.reqs)
		for (auto &kv : reqs)
			if (kv.second.arrived && kv.second.tier < q.tier)
				w.fail("a lower tier granted first");
}

void on_send(void *ctx, uint64_t inc, const msg_t *m)
{
	World &w = *static_cast<World *>(ctx);
	Message o = { m->type, m->u.grant.rid.seq, 0, 0, "" };
	Request &q = w.reqs[inc - 1][o.seq];

	switch (m->type) {
	case MSG_GRANT:
		q.arrived = false;
		if (m->u.grant.grant > w.last_grant)
			check_grant(w, m->u.grant);
		w.last_grant = std::max(w.last_grant, m->u.grant.grant);
		o.a = m->u.grant.grant;
		break;
	case MSG_REFUSE:
		q.arrived = false;
		check_refusal(w, m->u.refuse);
		break;
	case MSG_NOT_RUN:
		q.arrived = false;
		if (w.dispatched[{ inc, o.seq }])
			w.fail("a dispatched request was reported as not run");
		break;
	case MSG_CHUNK:
		o.a = m->u.chunk.seq;
		o.data.assign(m->u.chunk.data.p, m->u.chunk.data.n);
		break;
	case MSG_END:
		o.a = m->u.end.code;
		o.b = m->u.end.chunks;
		break;
	default:
		break;
	}
	if (w.up[inc - 1])
		w.to_entry[inc - 1].push_back(o);
}

void on_dispatch(void *ctx, const side_dispatch_t *d)
{
	World &w = *static_cast<World *>(ctx);
	const Request &q = w.reqs[d->rid.inc - 1][d->rid.seq];

	if (w.dispatched[{ d->rid.inc, d->rid.seq }]++)
		w.fail("dispatched twice");
	if (q.st == State::NotRun)
		w.fail("dispatched after it was reported as not run");
	w.runs[{ d->rid.inc, d->rid.seq }].body =
		"answer of " + std::to_string(d->rid.inc) + "-" +
		std::to_string(d->rid.seq);
}

void on_resume(void *ctx, rid_t rid, uint64_t from)
{
	Run &r = static_cast<World *>(ctx)->runs[{ rid.inc, rid.seq }];

	r.pos = from;
	r.head = false;
	r.open = true;
}

void on_cancel(void *ctx, rid_t rid)
{
	static_cast<World *>(ctx)->runs[{ rid.inc, rid.seq }].cancelled = true;
}

const side_ops_t ops = { on_send, on_dispatch, on_resume, on_cancel };

void deliver(World &w, int e, const Message &o)
{
	msg_t m;
	const std::string body = "question";
	Request &q = w.reqs[e][o.seq];

	std::memset(&m, 0, sizeof(m));
	m.type = o.type;
	m.u.offer.rid = rid_of(e, o.seq);
	if (o.type == MSG_OFFER) {
		m.u.offer.tier = q.tier;
		m.u.offer.prompt_tokens = q.work;
		m.u.offer.left_ms = 1000000;
		m.u.offer.customer = str_of(o.seq % 2 ? "a" : "b");
		if (!q.grant)
			q.arrived = true;
	} else if (o.type == MSG_BODY) {
		m.u.body.grant = o.a;
		m.u.body.left_ms = 1000000;
		m.u.body.body = of(body);
	} else if (o.type == MSG_ACK) {
		m.u.ack.seq = o.a;
		m.u.ack.end = o.b;
	} else if (o.type == MSG_RESUME) {
		m.u.resume.from = o.a;
		q.arrived = false;
	} else {
		q.arrived = false;
	}
	side_recv(w.s, rid_of(e, 0).inc, &m, w.now);
}

void send(World &w, int e, msg_type_t t, uint64_t seq, uint64_t a = 0,
	  uint64_t b = 0)
{
	if (w.up[e])
		w.to_side[e].push_back({ t, seq, a, b, "" });
}

/* Handles a message as an entry that follows the protocol. */
void entry_handle(World &w, int e, const Message &o)
{
	Request &q = w.reqs[e][o.seq];

	switch (o.type) {
	case MSG_GRANT:
		if (q.st != State::Waiting) {
			if (q.grant != o.a)
				send(w, e, MSG_WITHDRAW, o.seq);
			break;
		}
		q.st = State::Sent;
		q.grant = o.a;
		send(w, e, MSG_BODY, o.seq, o.a);
		break;
	case MSG_NOT_RUN:
		if (q.st == State::Sent)
			q.st = o.seq % 2 ? State::NotRun : State::Waiting;
		q.grant = 0;
		break;
	case MSG_CHUNK:
		if (o.a != q.chunks + 1)
			break;
		q.chunks++;
		q.got += o.data;
		send(w, e, MSG_ACK, o.seq, q.chunks);
		break;
	case MSG_END:
		if (o.a == CODE_OK && o.b != q.chunks)
			w.fail("an end came before its chunks");
		if (o.a == CODE_OK &&
		    q.got != "answer of " + std::to_string(e + 1) + "-" +
				     std::to_string(o.seq))
			w.fail("a wrong answer ended as whole");
		q.st = State::Done;
		send(w, e, MSG_ACK, o.seq, q.chunks, 1);
		break;
	default:
		break;
	}
}

void cut(World &w, int e)
{
	for (auto &o : w.to_side[e])
		if (o.type == MSG_BODY)
			w.stale[e].push_back(o);
	w.to_side[e].clear();
	w.to_entry[e].clear();
	for (auto &kv : w.reqs[e])
		kv.second.arrived = false;
	w.up[e] = false;
	side_entry_down(w.s, rid_of(e, 0).inc, w.now);
}

void connect(World &w, int e)
{
	w.up[e] = true;
	side_entry_up(w.s, rid_of(e, 0).inc, w.now);
	for (auto &kv : w.reqs[e]) {
		if (kv.second.st == State::Waiting)
			send(w, e, MSG_OFFER, kv.first);
		if (kv.second.st == State::Sent)
			send(w, e, MSG_RESUME, kv.first, kv.second.chunks + 1);
	}
}

void engine_step(World &w, size_t pick, int kind)
{
	std::vector<std::pair<uint64_t, uint64_t>> live;

	for (auto &kv : w.runs)
		if (!kv.second.cancelled && kv.second.open)
			live.push_back(kv.first);
	if (live.empty())
		return;
	const auto key = live[pick % live.size()];
	Run &r = w.runs[key];
	const rid_t rid = { key.first, key.second };

	if (kind < 3) {
		r.open = false;
		side_engine_end(w.s, rid, kind == 0 ? CODE_SILENT : CODE_CUT,
				w.now);
	} else if (!r.head) {
		r.head = true;
		side_engine_head(w.s, rid, 200, str_of("text/plain"), w.now);
	} else if (r.pos < r.body.size()) {
		const size_t n = std::min<size_t>(5, r.body.size() - r.pos);
		const std::string part = r.body.substr(r.pos, n);
		r.pos += n;
		side_engine_data(w.s, rid, of(part), w.now);
	} else {
		r.open = false;
		side_engine_end(w.s, rid, CODE_OK, w.now);
	}
}

void new_request(World &w, int e, int x)
{
	const uint64_t seq = w.next_seq++;
	Request &q = w.reqs[e][seq];

	q.tier = static_cast<uint64_t>(x) % TIER_COUNT;
	q.work = 20 + static_cast<uint64_t>(x) * 7 % 100;
	send(w, e, MSG_OFFER, seq);
}

void step(World &w, int kind, int x)
{
	const int e = x % ENTRIES;

	if (kind < 6) {
		new_request(w, e, x / 2);
	} else if (kind < 18) {
		if (!w.to_side[e].empty()) {
			const Message o = w.to_side[e].front();
			w.to_side[e].pop_front();
			deliver(w, e, o);
		}
	} else if (kind < 28) {
		if (!w.to_entry[e].empty()) {
			const Message o = w.to_entry[e].front();
			w.to_entry[e].pop_front();
			entry_handle(w, e, o);
		}
	} else if (kind < 38) {
		engine_step(w, static_cast<size_t>(x), x % 16);
	} else if (kind < 41) {
		w.now += x * 10;
		side_tick(w.s, w.now);
	} else if (kind < 43) {
		if (w.up[e])
			cut(w, e);
		else
			connect(w, e);
	} else if (kind < 44 && !w.stale[e].empty() && w.up[e]) {
		const Message o = w.stale[e].front();
		w.stale[e].pop_front();
		deliver(w, e, o);
	} else if (kind == 44 && w.next_seq > 1) {
		const uint64_t seq = 1 + static_cast<uint64_t>(x) % w.next_seq;
		if (w.reqs[e].count(seq) && w.reqs[e][seq].st == State::Sent)
			send(w, e, MSG_CANCEL, seq);
	}
}

void start(World &w)
{
	side_conf_t conf;

	std::memset(&conf, 0, sizeof(conf));
	conf.name = "side-1";
	conf.service = "helper";
	conf.model = true;
	conf.waiting_max = 4;
	conf.answer_max = 1000;
	conf.token_gap_target = 50;
	conf.lease = 400;
	conf.hold = HOLD;
	conf.entry_timeout = 3000;
	conf.capacity_start = 150;
	conf.capacity_max = 300;
	conf.first_token_target = 300;
	conf.wait_max = 400;
	w.s = side_new(&conf, &ops, &w, w.cs);
	for (int e = 0; e < ENTRIES; e++)
		connect(w, e);
}

void finish(World &w)
{
	side_drain(w.s, w.now);
	w.draining = true;
	for (int e = 0; e < ENTRIES; e++)
		if (w.up[e])
			cut(w, e);
	w.now += 3001;
	side_tick(w.s, w.now);
	if (!side_idle(w.s))
		w.fail("not idle when all entries are gone");
	msg_state_t st;
	side_get_state(w.s, &st);
	if (st.used != 0 || st.waiting != 0)
		w.fail("grants or offers left over");
	side_free(w.s);
	counters_free(w.cs);
}

bool any_order()
{
	return rc::check("the protocol holds in any order", [] {
		const auto steps =
			*rc::gen::container<std::vector<std::pair<int, int>>>(
				600, rc::gen::pair(rc::gen::inRange(0, 45),
						   rc::gen::inRange(0, 64)));
		World w;

		start(w);
		for (const auto &st : steps)
			step(w, st.first, st.second);
		finish(w);
		if (!w.failure.empty())
			RC_FAIL(w.failure);
	});
}
} // namespace

int main()
{
	return any_order() ? 0 : 1;
}
