"""CONFIG: after a drill the fronts never read the newest desired state."""
import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

CHANGE_S = 6.0      # after the start of traffic: two changes
GAP_S = 0.5         # between changes
DRILL_S = 2.0       # after the second change
COPY_AGE_S = 3.0    # of the copy that the store comes back from
AWAY_S = 1.0        # the store is away
NEXT_S = 0.6        # from its return to the operator's next change
LASTS_S = 36.0
REQUESTERS = 8


class Rig(r.Rig):
    """
    The rule: a request sent later than config_ms after the ack of a version is
    run with a key that it has dropped, by a machine in touch. The bound is
    stretched by stretch_ms here, which the rules allow at most.
    """

    dropped = None  # when the store acknowledged the version that drops k2
    counted = 0

    def on_run(self, engine, rid, q, m):
        if not self.dropped or q["mark"] != "k2":
            return
        bound = self.dropped + r.BOUNDS["config_ms"] / 1000 + 5.0
        back = self.store.changed_at
        if q["sent"] <= bound or q["sent"] <= back + r.STABLE_WINDOW_S:
            return
        self.counted += 1
        if self.counted <= 3:
            self.violation("CONFIG", "%s runs at %s from %s %.1f s after the "
                           "ack of the version that drops its key" % (
                               rid, engine.id, q["to"].name,
                               q["sent"] - self.dropped))


def make(folder):
    rig = Rig(folder, 3, 3)
    net = rig.net
    for i in range(3):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True))
    for i in range(3):
        rig.engines.append(r.Engine(rig, "desk%d" % i, "desk",
                                    "127.%d.3.%d" % (net, i + 1)))
    return rig


def config(version, keys):
    return {"version": version, "limits": r.limits(),
            "tenants": [{"name": "school", "api_keys": ["k1"]},
                        {"name": "guild", "api_keys": keys}],
            "routes": [r.route("read", "desk", "safe", timeout_ms=1000,
                               latency_target_ms=100)],
            "services": [{"name": "desk"}, {"name": "llm", "engine": {}}]}


async def read(requester, key, rand, until):
    while time.monotonic() < until:
        await requester.ask("GET", "read.example", "/a/x", timeout_ms=1000,
                            key=key, mark=key)
        await asyncio.sleep(rand.expovariate(1 / 0.4))


def write(rig, version, keys):
    rig.store.put("keyed.op", "config", json.dumps(config(version, keys)))
    rig.note("the operator writes version %d, keys of guild: %s; end %d" % (
        version, keys, len(rig.store.topic("keyed.op").recs)))


async def operator(rig):
    """Adds keys, and some seconds later drops one."""
    await asyncio.sleep(CHANGE_S)
    write(rig, 10, ["k2", "k3"])
    await asyncio.sleep(GAP_S)
    write(rig, 13, ["k2", "k3", "k4"])
    await asyncio.sleep(DRILL_S)
    if rig.trouble:
        rig.store.on_return.append(
            lambda: write(rig, 13, ["k2", "k3", "k4"]))
        await rig.store.drill(COPY_AGE_S, AWAY_S, silent=True)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(NEXT_S)
    write(rig, 17, ["k3", "k4"])
    rig.dropped = time.monotonic()


async def play(rig):
    await rig.start(config(3, ["k2"]))
    await asyncio.sleep(2)
    rand = random.Random(2)
    began = time.monotonic()
    asks = [asyncio.ensure_future(
        read(r.Requester(rig, rig.fronts[i % 3]), ["k1", "k2"][i % 2], rand,
             began + LASTS_S)) for i in range(REQUESTERS)]
    await operator(rig)
    await asyncio.gather(*asks)
    print("%d requests ran with the dropped key" % rig.counted)


r.run(HERE, make, play)
