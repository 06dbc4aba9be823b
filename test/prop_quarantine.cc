// Hosts that have read the same records agree on which parts are held.
#include <rapidcheck.h>
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>
#define public is_public // a member's name there
extern "C" {
#include "edge/fns.h"
}
#undef public

namespace
{

constexpr trait_t parts_max = 6;
constexpr ms_t start = 1000;

void on_send(void *, request_t *)
{
}

void on_refuse(void *ctx, request_t *, code_t code, ms_t)
{
	*static_cast<code_t *>(ctx) = code;
}

void on_note(void *, const request_t *, ms_t, const char *, const char *)
{
}

void on_forget(void *, backend_t *)
{
}

// A record: a report, a deleted report, or an answered part.
struct record_t {
	int kind; // 0, 1: report; 2: deleted; 3: answered
	unsigned int server;
	unsigned int host;
	std::vector<trait_t> parts;
};

struct numbered_t {
	record_t r;
	uint64_t number;
};

std::string key_of(const record_t &r)
{
	if (r.kind == 3)
		return "answered/" + std::to_string(r.parts[0]);
	return std::to_string(r.server) + "/" + std::to_string(r.host);
}

class host_t
{
      public:
	host_t()
	{
		edge_conf_t conf = {};

		ops.send = on_send;
		ops.refuse = on_refuse;
		ops.note = on_note;
		ops.forget = on_forget;
		conf.inc = 1;
		conf.data_center = "a";
		conf.retry_window = 1000;
		counters = counters_new();
		edge = edge_new(&conf, &ops, &code, counters);
		split.service = const_cast<char *>("s");
		split.weight = 1;
		route.attempts = 1;
		route.nsplits = 1;
		route.splits = &split;
	}
	host_t(const host_t &) = delete;
	host_t &operator=(const host_t &) = delete;
	~host_t()
	{
		edge_free(edge);
		counters_free(counters);
	}

	void read(const numbered_t &n)
	{
		std::string server = "s" + std::to_string(n.r.server);
		std::string host = "h" + std::to_string(n.r.host);
		crash_report_t c = {};

		if (n.r.kind == 3) {
			edge_trait_answered(edge, n.r.parts[0], n.number,
					    start);
			return;
		}
		c.server = server.c_str();
		c.started_unix = 1;
		c.traits = n.r.parts.data();
		c.ntraits = n.r.kind == 2 ? 0 : n.r.parts.size();
		edge_crash_reported(edge, host.c_str(), &c, n.number, start);
	}

	void list()
	{
		edge_crashes_listing(edge);
	}

	// Whether a request with the parts of a bit set, and a content, is
	// held.
	bool holds(unsigned int set, trait_t content = 0)
	{
		std::vector<trait_t> parts;
		request_t r = {};

		for (trait_t p = 0; p < parts_max; p++) {
			if (set & (1U << p))
				parts.push_back(p);
		}
		r.id = "";
		r.route = &route;
		r.parts = parts.data();
		r.nparts = parts.size();
		r.content = content;
		r.deadline = start + 10000;
		r.give_up_at = r.deadline;
		code = CODE_OK;
		edge_submit(edge, &r, start);
		if (r.state != REQUEST_ENDED)
			edge_abandon(edge, &r, start);
		return code == CODE_QUARANTINED;
	}

	std::vector<bool> state()
	{
		std::vector<bool> out;

		for (unsigned int set = 0; set < 1U << parts_max; set++) {
			for (trait_t c = 0; c < parts_max; c++)
				out.push_back(holds(set, c));
		}
		return out;
	}

      private:
	edge_ops_t ops = {};
	edge_route_t route = {};
	split_t split = {};
	counters_t *counters;
	edge_t *edge;
	code_t code = CODE_OK;
};

rc::Gen<record_t> record()
{
	return rc::gen::build<record_t>(
		rc::gen::set(
			&record_t::kind,
			rc::gen::weightedElement<int>(
				{ { 6, 0 }, { 6, 1 }, { 1, 2 }, { 2, 3 } })),
		rc::gen::set(&record_t::server, rc::gen::inRange(0U, 8U)),
		rc::gen::set(&record_t::host, rc::gen::inRange(0U, 3U)),
		rc::gen::set(&record_t::parts,
			     rc::gen::nonEmpty(
				     rc::gen::container<std::vector<trait_t>>(
					     rc::gen::inRange<trait_t>(
						     0, parts_max)))));
}

std::vector<numbered_t> numbered(const std::vector<record_t> &records)
{
	std::vector<numbered_t> out;

	for (const record_t &r : records)
		out.push_back({ r, out.size() + 1 });
	return out;
}

// What the store still has: the newest record of each key that has a value.
std::vector<numbered_t> compacted(const std::vector<numbered_t> &all)
{
	std::map<std::string, numbered_t> newest;
	std::vector<numbered_t> out;

	for (const numbered_t &n : all)
		newest[key_of(n.r)] = n;
	for (const auto &kv : newest) {
		if (kv.second.r.kind != 2)
			out.push_back(kv.second);
	}
	return out;
}

void hosts_agree()
{
	auto records =
		numbered(*rc::gen::container<std::vector<record_t>>(record()));
	auto listing = compacted(records);
	auto order = *rc::gen::arbitrary<unsigned int>();
	host_t live;
	host_t fresh;
	host_t again;

	for (const numbered_t &n : records)
		live.read(n);
	std::shuffle(listing.begin(), listing.end(), std::mt19937(order));
	fresh.list();
	for (const numbered_t &n : listing)
		fresh.read(n);
	for (size_t i = 0; i < records.size() / 2; i++)
		again.read(records[i]);
	again.holds(1);
	again.list();
	for (const numbered_t &n : listing)
		again.read(n);
	auto state = live.state();
	RC_ASSERT(fresh.state() == state);
	RC_ASSERT(again.state() == state);
	RC_CLASSIFY(std::count(state.begin(), state.end(), true) > 0,
		    "something is held");
}

// The servers whose newest reports name the part and are no older than that.
unsigned int crashes_of(const std::vector<numbered_t> &listing, trait_t part,
			uint64_t answered)
{
	std::map<unsigned int, bool> servers;

	for (const numbered_t &n : listing) {
		if (n.r.kind < 2 && n.number > answered &&
		    std::count(n.r.parts.begin(), n.r.parts.end(), part))
			servers[n.r.server] = true;
	}
	return servers.size();
}

void answers_and_few_crashes_hold_nothing()
{
	auto records =
		numbered(*rc::gen::container<std::vector<record_t>>(record()));
	auto listing = compacted(records);
	unsigned int harmless = 0;
	host_t host;

	for (const numbered_t &n : records)
		host.read(n);
	for (trait_t p = 0; p < parts_max; p++) {
		uint64_t answered = 0;

		for (const numbered_t &n : listing) {
			if (n.r.kind == 3 && n.r.parts[0] == p)
				answered = n.number;
		}
		if (crashes_of(listing, p, answered) < 3)
			harmless |= 1U << p;
	}
	for (unsigned int set = 0; set < 1U << parts_max; set++) {
		if ((set & ~harmless) != 0)
			continue;
		RC_ASSERT(!host.holds(set));
		for (trait_t c = 1; c < parts_max; c++) {
			if (harmless & (1U << c))
				RC_ASSERT(!host.holds(set, c));
		}
	}
	RC_CLASSIFY(harmless != (1U << parts_max) - 1, "some may be held");
}

} // namespace

int main()
{
	bool ok = true;

	log_open(2, LOG_ERROR, false);
	ok &= rc::check("hosts that have read the same records agree",
			hosts_agree);
	ok &= rc::check("a part with a later answer or few crashes is not held",
			answers_and_few_crashes_hold_nothing);
	return ok ? 0 : 1;
}
