/* Properties of registers under any order of merges, and of version picking. */
#include <rapidcheck.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>
extern "C" {
#include "move/priv.h"
}

namespace
{
using Kv = std::pair<int, uint64_t>; /* key by number, value */

std::map<std::string, uint64_t> all_of(const facts_t *f)
{
	std::map<std::string, uint64_t> out;
	fact_kv_t kv[3];
	uint64_t next = 0;
	size_t n;

	while ((n = facts_since(f, next, kv, 3, &next)) > 0)
		for (size_t i = 0; i < n; i++)
			out[std::string(kv[i].key.p, kv[i].key.n)] =
				kv[i].value;
	return out;
}

void put(facts_t *f, const Kv &kv)
{
	const std::string key = "k" + std::to_string(kv.first);

	facts_merge(f, str_t{ key.data(), key.size() }, kv.second);
}

rc::Gen<std::vector<Kv>> gen_changes()
{
	return rc::gen::container<std::vector<Kv>>(rc::gen::pair(
		rc::gen::inRange(0, 8), rc::gen::inRange<uint64_t>(0, 20)));
}

bool merge_in_any_order()
{
	return rc::check(
		"registers merge to the same in any order and repetition", [] {
			const auto list = *gen_changes();
			facts_t *a = facts_new();
			facts_t *b = facts_new();
			for (const auto &kv : list)
				put(a, kv);
			for (auto it = list.rbegin(); it != list.rend(); ++it) {
				put(b, *it);
				put(b, *it);
			}
			RC_ASSERT(all_of(a) == all_of(b));
			facts_free(a);
			facts_free(b);
		});
}

/* Sends one set's changes to another after every few of them. */
bool send_changes()
{
	return rc::check("sending changes makes two sets equal", [] {
		const auto list = *gen_changes();
		const auto every = *rc::gen::inRange<size_t>(1, 6);
		facts_t *a = facts_new();
		facts_t *b = facts_new();
		uint64_t sent = 0;
		size_t i = 0;
		const auto send = [&] {
			fact_kv_t kv[2];
			size_t n;
			do {
				n = facts_since(a, sent, kv, 2, &sent);
				for (size_t k = 0; k < n; k++)
					facts_merge(b, kv[k].key, kv[k].value);
			} while (n > 0);
		};
		for (const auto &kv : list) {
			put(a, kv);
			if (++i % every == 0)
				send();
		}
		send();
		RC_ASSERT(all_of(a) == all_of(b));
		facts_free(a);
		facts_free(b);
	});
}

version_t versions[] = {
	{ const_cast<char *>("helper"), const_cast<char *>("v1"), nullptr, 0,
	  0 },
	{ const_cast<char *>("helper"), const_cast<char *>("v2"),
	  const_cast<char *>("v1"), 0, 2 },
};

struct Rig {
	intent_t in = {};
	facts_t *facts = facts_new();
	moves_ops_t ops = { [](void *, const move_result_t *) {} };
	moves_t *m;

	explicit Rig(uint64_t inc)
	{
		in.versions = g_ptr_array_new();
		for (auto &v : versions)
			g_ptr_array_add(in.versions, &v);
		m = moves_new(facts, inc, &ops, nullptr);
		moves_set_intent(m, &in, 1, nullptr, 0, 0);
	}
	~Rig()
	{
		moves_free(m);
		facts_free(facts);
		g_ptr_array_free(in.versions, TRUE);
	}
	void raise(const char *what, uint64_t value)
	{
		const std::string key = std::string(what) + "/" +
					std::to_string(move_id(&versions[1]));
		facts_raise(facts, key.c_str(), value);
		moves_tick(m, 0);
	}
	bool pick()
	{
		return std::string(moves_pick(m, "helper", 0)) == "v2";
	}
};

bool share_is_kept()
{
	return rc::check(
		"the new version gets at most one request above its share", [] {
			Rig r(*rc::gen::arbitrary<uint64_t>());
			const auto runs = *rc::gen::container<std::vector<int>>(
				4, rc::gen::inRange(0, 400));
			const double shares[] = { 0.02, 0.1, 0.5, 0.95 };
			double due = 0;
			double given = 0;
			for (size_t i = 0; i < runs.size(); i++) {
				r.raise("stage", i);
				for (int k = 0; k < runs[i]; k++) {
					due += shares[i];
					given += r.pick();
					RC_ASSERT(given <= due + 1 + 1e-6);
				}
			}
		});
}

bool in_progress_is_limited()
{
	return rc::check("requests in progress on the new version are limited",
			 [] {
				 Rig r(*rc::gen::arbitrary<uint64_t>());
				 const auto n = *rc::gen::inRange(1, 2000);
				 int open = 0;
				 for (int k = 0; k < n; k++) {
					 sample_t s = {};
					 if (r.pick()) {
						 open++;
						 continue;
					 }
					 s.service = "helper";
					 s.version = "v1";
					 s.status = 200;
					 moves_add_sample(r.m, &s, 0);
				 }
				 RC_ASSERT(open <= 3);
			 });
}

bool bad_version_is_not_picked()
{
	return rc::check("a version found bad is not picked", [] {
		Rig r(*rc::gen::arbitrary<uint64_t>());
		r.raise("stage", *rc::gen::inRange<uint64_t>(0, 4));
		for (int k = 0; k < 50; k++)
			r.pick();
		const std::string key =
			"bad/" + std::to_string(move_id(&versions[1]));
		facts_raise(r.facts, key.c_str(), 1);
		for (int k = 0; k < 50; k++)
			RC_ASSERT(!r.pick());
		r.raise("stage", 4);
		RC_ASSERT(!r.pick());
		RC_ASSERT(moves_is_bad(r.m, "helper", "v2"));
	});
}
} // namespace

int main()
{
	bool ok = merge_in_any_order();

	ok = send_changes() && ok;
	ok = share_is_kept() && ok;
	ok = in_progress_is_limited() && ok;
	ok = bad_version_is_not_picked() && ok;
	return ok ? 0 : 1;
}
