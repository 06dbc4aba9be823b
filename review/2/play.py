"""DRAIN: a drill brings back the entry of an engine that has left."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

LEAVES_S = 6.0      # after the start of traffic
SERVES_S = 16.0     # they serve on after they have said that they leave
DRILL_S = 9.0       # after the start of traffic
COPY_AGE_S = 4.0    # of the copy that the store comes back from
AWAY_S = 1.0        # the store is away
LASTS_S = 20.0
REQUESTERS = 12
SEEN_S = 1.5        # a front reads entries about once a second


class Rig(r.Rig):
    """
    The rule: a request reaches an engine later than drain_ms after the machine
    acknowledged that the engine is draining or gone. The word was in the store
    while that was stable, and each front had read it SEEN_S later.
    """

    said = {}  # when an engine said that it leaves, by its name
    seen = {}

    def on_arrival(self, engine, rid, q, m):
        said = self.said.get(engine.name)
        if not said:
            return
        bound = said + SEEN_S + r.BOUNDS["drain_ms"] / 1000
        if q["sent"] <= bound:
            return
        back = self.store.changed_at
        touch = not self.store.away and (
            back == 0 or q["sent"] > back + r.STABLE_WINDOW_S)
        what = (engine.name, engine.how_left,
                "machine in touch" if touch else "store in impairment")
        self.seen[what] = self.seen.get(what, 0) + 1
        if self.seen[what] > 3:
            self.violations.append("DRAIN")
            return
        self.violation("DRAIN", "%s reaches %s (%s) from %s %.1f s after that "
                       "was in the store; %s" % (
                           rid, engine.id, engine.how_left, q["to"].name,
                           time.monotonic() - said, what[2]))


def make(folder):
    rig = Rig(folder, 2, 3)
    net = rig.net
    for i in range(3):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True))
    for i in range(4):
        rig.engines.append(r.Engine(rig, "desk%d" % i, "desk",
                                    "127.%d.3.%d" % (net, i + 1)))
    return rig


async def redeem(requester, rand, until):
    while time.monotonic() < until:
        await requester.ask("POST", "redeem.example", "/a/x", body=b"kit",
                            timeout_ms=1000)
        await asyncio.sleep(rand.expovariate(1 / 0.15))


async def leave(rig, engine, how):
    """It says that it leaves, serves on for a while, and exits."""
    rig.said[engine.name] = time.monotonic()
    engine.how_left = how
    if how == "draining":
        engine.state = "draining"
        engine.beat()
        rig.note("%s reports that it is draining" % engine.id)
    else:
        engine.leave_unsaid()
    await asyncio.sleep(SERVES_S)
    engine.up = False
    engine.server.close()


async def play(rig):
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route("redeem", "desk", "unsafe", timeout_ms=1000,
                           latency_target_ms=100)],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    rand = random.Random(2)
    began = time.monotonic()
    asks = [asyncio.ensure_future(
        redeem(r.Requester(rig, rig.fronts[i % 2]), rand, began + LASTS_S))
        for i in range(REQUESTERS)]
    await asyncio.sleep(LEAVES_S)
    rig.spawn(leave(rig, rig.engines[3], "draining"))
    rig.spawn(leave(rig, rig.engines[4], "entry removed"))
    await asyncio.sleep(DRILL_S - LEAVES_S)
    if rig.trouble:
        await rig.store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.gather(*asks)
    for what, n in sorted(rig.seen.items()):
        print("%d requests reached %s (%s); %s" % ((n,) + what))


r.run(HERE, make, play)
