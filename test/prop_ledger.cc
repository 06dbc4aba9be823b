// Properties of the config stream and the claims under any order of events.
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <rapidcheck.h>
extern "C" {
#include "ledger/fns.h"
}

namespace
{

/* A log that can be truncated. Offsets start at 1. */
struct log_t {
	std::vector<std::string> records;
	uint64_t first = 1;

	uint64_t next() const
	{
		return records.size() + 1;
	}

	void append(const std::string &r)
	{
		records.push_back(r);
	}
};

std::string take(char *text)
{
	std::string s = text ? text : "";

	g_free(text);
	return s;
}

std::string intent_text(int n)
{
	return "[service a]\nkind = model\ntoken_gap_ms = " +
	       std::to_string(n + 1) + "\n";
}

/* A process that reads the config stream. */
struct reader_t {
	ledger_t *ledger = nullptr;
	uint64_t from = 1;
	uint64_t active = 0;
	std::map<uint64_t, std::string> accepted; /* offset to op */

	static void on_accepted(void *ctx, const revision_t *r)
	{
		auto *self = static_cast<reader_t *>(ctx);

		RC_ASSERT(r->offset > self->active);
		self->active = r->offset;
	}

	void open()
	{
		static const ledger_ops_t ops = { on_accepted, nullptr, nullptr,
						  nullptr };

		ledger = ledger_new(&ops, this);
	}

	~reader_t()
	{
		ledger_free(ledger);
	}

	void read(const log_t &log, uint64_t max)
	{
		if (log.first > from) {
			from = log.first;
			ledger_truncated(ledger, from);
		}
		for (; max > 0 && from < log.next(); max--, from++) {
			const std::string &r = log.records[from - 1];
			const revision_t *rev;

			ledger_read_record(ledger, from,
					   { r.data(), r.size() });
			rev = ledger_log_revision(ledger);
			if (ledger_certain(ledger) && rev->offset > 0)
				accepted[rev->offset] = rev->op;
		}
	}

	std::string state() const
	{
		const revision_t *r = ledger_log_revision(ledger);
		const GPtrArray *results = ledger_results(ledger);
		std::string s = std::to_string(r->offset) + "/" +
				(r->op ? r->op : "") + "/" +
				(r->text ? r->text : "");

		for (guint i = 0; i < results->len; i++)
			s += take(result_record(static_cast<move_result_t *>(
				results->pdata[i])));
		return s;
	}
};

/* Confirms accepted by a reader of the whole log, by offset. */
std::map<uint64_t, std::string> accepted_by_log(const log_t &log)
{
	reader_t all;
	log_t whole = log;

	whole.first = 1;
	all.open();
	all.read(whole, whole.next());
	return all.accepted;
}

std::string make_confirm(const reader_t &operator_view, int text, bool forced,
			 uint64_t next)
{
	std::string t = intent_text(text);
	char *plan =
		forced ? plan_make_forced(next, t.c_str(), "t", 0, nullptr)
		       : plan_make(ledger_log_revision(operator_view.ledger),
				   t.c_str(), "t", 0, nullptr);
	std::string record = take(plan_record(plan, nullptr));

	g_free(plan);
	return record;
}

std::string make_result(int n)
{
	move_result_t r = { static_cast<uint64_t>(1 + n % 3),
			    const_cast<char *>("a"), const_cast<char *>("v2"),
			    n % 2 ? MOVE_DONE : MOVE_ROLLED_BACK,
			    const_cast<char *>("") };

	return take(result_record(&r));
}

/* One run: operators, readers, a log that is truncated, peers. */
struct config_run_t {
	log_t log;
	std::vector<std::unique_ptr<reader_t>> readers;
	std::vector<std::string> sent; /* records that may be sent twice */

	reader_t &pick(int n)
	{
		return *readers[static_cast<size_t>(n) % readers.size()];
	}

	void start()
	{
		readers.push_back(std::make_unique<reader_t>());
		readers.back()->open();
	}

	void send(const std::string &r)
	{
		if (r.empty())
			return;
		log.append(r);
		sent.push_back(r);
	}

	/*
	 * Appends a snapshot of a state that may be old, and truncates the log
	 * up to its last offset or past it.
	 */
	void snapshot_and_truncate(int n)
	{
		reader_t &r = pick(n);
		uint64_t lag = static_cast<uint64_t>(n % 3);

		r.read(log, static_cast<uint64_t>(n % 5));
		std::string snapshot = take(snapshot_record(r.ledger));
		if (snapshot.empty())
			return;
		log.append(snapshot);
		log.first = std::max(
			log.first,
			std::min(ledger_last_offset(r.ledger) + 1 + lag,
				 log.next() - 1));
	}

	void send_to_peer(int a, int b)
	{
		const revision_t *r = ledger_revision(pick(a).ledger);

		if (r->offset > 0)
			ledger_from_peer(pick(b).ledger, r->offset,
					 str_of(r->text));
	}

	void step(int kind, int a, int b)
	{
		switch (kind) {
		case 0:
			send(make_confirm(pick(a), b, false, log.next()));
			break;
		case 1:
			send(make_result(a));
			break;
		case 2:
			if (!sent.empty())
				log.append(sent[static_cast<size_t>(a) %
						sent.size()]);
			break;
		case 3:
			pick(a).read(log, static_cast<uint64_t>(b % 4));
			break;
		case 4:
			snapshot_and_truncate(a);
			break;
		case 5:
			send_to_peer(a, b);
			break;
		case 6:
			start();
			break;
		case 7:
			if (a % 4 == 0)
				send(make_confirm(pick(a), b, true,
						  log.next()));
			break;
		default:
			log.append("{\"garbled\":");
		}
	}
};

void readers_agree()
{
	config_run_t run;
	const auto steps =
		*rc::gen::container<std::vector<std::tuple<int, int, int>>>(
			rc::gen::tuple(rc::gen::inRange(0, 9),
				       rc::gen::inRange(0, 1000),
				       rc::gen::inRange(0, 1000)));

	run.start();
	run.start();
	for (const auto &s : steps)
		run.step(std::get<0>(s), std::get<1>(s), std::get<2>(s));
	const auto want = accepted_by_log(run.log);
	std::set<std::string> ops;
	for (const auto &a : want)
		RC_ASSERT(ops.insert(a.second).second);
	for (auto &r : run.readers) {
		r->read(run.log, run.log.next());
		for (const auto &a : r->accepted)
			RC_ASSERT(want.count(a.first) == 1 &&
				  want.at(a.first) == a.second);
	}
	for (auto &r : run.readers) {
		if (!ledger_certain(r->ledger))
			continue;
		RC_ASSERT(r->state() == run.readers[0]->state() ||
			  !ledger_certain(run.readers[0]->ledger));
		RC_ASSERT(ledger_revision(r->ledger)->offset ==
			  (want.empty() ? 0 : want.rbegin()->first));
	}
}

void one_confirm_accepted_per_base()
{
	log_t log;
	reader_t view;
	std::map<std::string, uint64_t> base_of;
	const auto texts = *rc::gen::container<std::vector<int>>(
		rc::gen::inRange(0, 1000));

	view.open();
	for (int t : texts) {
		if (t % 3 == 0)
			view.read(log, log.next());
		std::string r = make_confirm(view, t, false, 0);
		std::string op = r.substr(r.find("\"op\":\"") + 6, 32);

		base_of[op] = ledger_log_revision(view.ledger)->offset;
		log.append(r);
	}
	std::set<uint64_t> won;
	uint64_t last = 0;

	for (const auto &a : accepted_by_log(log)) {
		RC_ASSERT(base_of.at(a.second) == last);
		RC_ASSERT(won.insert(base_of.at(a.second)).second);
		last = a.first;
	}
	RC_ASSERT(texts.empty() || !won.empty());
}

enum {
	WINDOW = 500,
	TIMEOUT = 60,
	BATCH = 5,
	KEYS = 3,
};

struct claim_run_t;

/* An entry that claims keys; it may be replaced by a new process. */
struct claimant_t {
	claim_run_t *run = nullptr;
	claims_t *c = nullptr;
	uint64_t inc = 0;
	uint64_t seq = 0;
	uint64_t from = 1;
	std::string in_flight;
	bool sent = false;
	std::map<uint64_t, int> open; /* seq to key */
	std::vector<std::pair<uint64_t, int>> running;
};

/* One run: entries, their log, and when each key ran. */
struct claim_run_t {
	log_t log;
	ms_t now = 0;
	uint64_t incs = 0;
	std::vector<std::unique_ptr<claimant_t>> entries;
	std::vector<std::string>
		late; /* appends with a lost answer that take effect later */
	std::map<int, ms_t> ran; /* key to its last run */
	int settled = 0;

	static void on_append(void *ctx, str_t data)
	{
		auto *e = static_cast<claimant_t *>(ctx);

		RC_ASSERT(!e->sent);
		e->sent = true;
		e->in_flight.assign(data.p, data.n);
	}

	static void on_settled(void *ctx, rid_t rid, code_t code, rid_t)
	{
		auto *e = static_cast<claimant_t *>(ctx);

		RC_ASSERT(rid.inc == e->inc);
		RC_ASSERT(e->open.count(rid.seq) == 1);
		int key = e->open[rid.seq];
		e->open.erase(rid.seq);
		e->run->settled++;
		if (code != CODE_OK)
			return;
		/* Dispatch it, or end it without running. */
		if (rid.seq % 3 == 0) {
			claims_release(e->c, rid, e->run->now);
			return;
		}
		auto &ran = e->run->ran;
		RC_ASSERT(ran.count(key) == 0 ||
			  e->run->now - ran[key] >= WINDOW - TIMEOUT);
		ran[key] = e->run->now;
	}

	void open_entry(size_t at)
	{
		static const claims_ops_t ops = { on_append, on_settled };
		auto e = std::make_unique<claimant_t>();

		e->run = this;
		e->inc = ++incs;
		e->c = claims_new(&ops, e.get(), BATCH, WINDOW, TIMEOUT);
		if (at < entries.size()) {
			claims_free(entries[at]->c);
			entries[at] = std::move(e);
		} else {
			entries.push_back(std::move(e));
		}
	}

	~claim_run_t()
	{
		for (auto &e : entries)
			claims_free(e->c);
	}

	void read(claimant_t &e, uint64_t max)
	{
		for (; max > 0 && e.from < log.next(); max--, e.from++) {
			const std::string &r = log.records[e.from - 1];

			claims_read_record(e.c, e.from, { r.data(), r.size() },
					   now);
		}
		if (e.from == log.next())
			claims_caught_up(e.c, e.from, now);
	}

	void answer(claimant_t &e, int outcome)
	{
		static const code_t codes[] = { CODE_OK, CODE_ANSWER_LOST,
						CODE_ANSWER_LOST,
						CODE_ANSWER_LOST,
						CODE_THROTTLED };

		if (!e.sent)
			return;
		outcome %= 5;
		if (outcome < 2)
			log.append(e.in_flight);
		if (outcome == 2)
			late.push_back(e.in_flight);
		e.sent = false;
		claims_appended(e.c, codes[outcome], now);
	}

	void step(int kind, int a, int b)
	{
		claimant_t &e =
			*entries[static_cast<size_t>(a) % entries.size()];

		now += b % 7;
		switch (kind) {
		case 0:
		case 1:
			e.open[++e.seq] = b % KEYS;
			claims_add(e.c, { e.inc, e.seq }, "c",
				   std::to_string(b % KEYS).c_str(), now);
			break;
		case 2:
			claims_tick(e.c, now);
			break;
		case 3:
			answer(e, b);
			break;
		case 4:
		case 5:
			read(e, static_cast<uint64_t>(1 + b % 5));
			break;
		case 6:
			if (!late.empty()) {
				log.append(late.back());
				late.pop_back();
			}
			break;
		case 7:
			now += b;
			break;
		case 8:
			if (b % 10 == 0)
				open_entry(static_cast<size_t>(a) %
					   entries.size());
			break;
		default:
			claims_set_reachable(e.c, b % 3 != 0, now);
		}
	}

	/* Runs without faults for long enough that every claim is settled. */
	void run_without_faults()
	{
		for (int i = 0; i < 40; i++) {
			now += 10;
			for (auto &e : entries) {
				claims_set_reachable(e->c, true, now);
				claims_tick(e->c, now);
				answer(*e, 0);
				read(*e, log.next());
			}
		}
	}
};

void claimed_key_runs_once()
{
	claim_run_t run;
	const auto steps =
		*rc::gen::container<std::vector<std::tuple<int, int, int>>>(
			400, rc::gen::tuple(rc::gen::inRange(0, 10),
					    rc::gen::inRange(0, 1000),
					    rc::gen::inRange(0, 1000)));

	for (size_t i = 0; i < 3; i++)
		run.open_entry(i);
	for (const auto &s : steps)
		run.step(std::get<0>(s), std::get<1>(s), std::get<2>(s));
	run.run_without_faults();
	for (auto &e : run.entries)
		RC_ASSERT(e->open.empty());
	/* After the window every key can be claimed again. */
	run.now += 2 * WINDOW + TIMEOUT;
	run.ran.clear();
	claimant_t &e = *run.entries[0];
	int before = run.settled;

	e.seq += 3 - e.seq % 3;
	e.open[++e.seq] = 0;
	claims_tick(e.c, run.now);
	claims_add(e.c, { e.inc, e.seq }, "c", "0", run.now);
	run.run_without_faults();
	RC_ASSERT(run.settled == before + 1);
	RC_ASSERT(run.ran.count(0) == 1);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("readers agree, and no accepted revision is undone",
			readers_agree);
	ok &= rc::check("one winner for each base",
			one_confirm_accepted_per_base);
	ok &= rc::check("a claimed key runs once in its window",
			claimed_key_runs_once);
	return ok ? 0 : 1;
}
