"""BUDGET: after a drill a part that crashes engines is let through again."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

PART = "bad0"
# Requests with the part, at any machine, no two alike: when they come, in
# seconds after the start of traffic, and how many at once.
BATCHES = ((5.0, 10), (15.0, 10), (20.0, 10))
KNOWN_CRASHES = 5
ALLOWED = 3
DRILL_S = 10.0      # after the start of traffic
COPY_AGE_S = 6.0    # of the copy that the store comes back from
AWAY_S = 1.0        # the store is away
LASTS_S = 24.0
REQUESTERS = 12
ENGINES = 10


class Rig(r.Rig):
    """
    The rule: more than three requests with the part reach engines, sent by
    machines in touch later than stable_window_ms after the fifth crash.
    """

    lives = ()  # of engines that crashed
    fifth = None
    reached = 0

    def crashed(self, engine, rid):
        super().crashed(engine, rid)
        if engine.id in self.lives:
            return
        self.lives += (engine.id,)
        if len(self.lives) == KNOWN_CRASHES:
            self.fifth = time.monotonic()

    def on_arrival(self, engine, rid, q, m):
        if q["mark"] != "part" or not self.fifth:
            return
        now = time.monotonic()
        if (now <= self.fifth + r.STABLE_WINDOW_S or self.store.away or
                now <= self.store.changed_at + r.STABLE_WINDOW_S):
            return
        self.reached += 1
        text = "%s reaches %s from %s %.1f s after the fifth crash" % (
            rid, engine.id, q["to"].name, now - self.fifth)
        self.note("reached %d: %s" % (self.reached, text))
        if self.reached == ALLOWED + 1:
            self.violation("BUDGET", "the fourth: " + text)


def make(folder):
    rig = Rig(folder, 3, ENGINES)
    net = rig.net
    for i in range(ENGINES):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True, poison=PART))
    return rig


async def ask(rig, requester, parts, mark):
    await requester.ask("POST", "chat.example", "/a/x", timeout_ms=2000,
                        body=b"why", mark=mark, fields={
                            "X-Model": "m", "X-Token-Usage": "160,20",
                            "X-Prompt-Prefix": parts})


async def chat(rig, requester, rand, until):
    """A sound requester."""
    while time.monotonic() < until:
        await ask(rig, requester, "f00d:60,a%d:50,%x:10" % (
            rand.randrange(4), rig.nids + 0x1000), "")
        await asyncio.sleep(rand.expovariate(1 / 0.3))


async def batch(rig, n):
    await asyncio.gather(*[
        ask(rig, r.Requester(rig, rig.fronts[i % 3]),
            "f00d:60,%s:50,%x:10" % (PART, rig.nids + 0x9000 + i), "part")
        for i in range(n)])


async def batches(rig, began):
    for at, n in BATCHES:
        await asyncio.sleep(began + at - time.monotonic())
        rig.note("%d requests with the part" % n)
        await batch(rig, n)


async def play(rig):
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route("chat", "llm", "stream", sticky=True,
                           gap_target_ms=400)],
        "services": [{"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    rand = random.Random(2)
    began = time.monotonic()
    asks = [asyncio.ensure_future(
        chat(rig, r.Requester(rig, rig.fronts[i % 3]), rand,
             began + LASTS_S)) for i in range(REQUESTERS)]
    asks.append(asyncio.ensure_future(batches(rig, began)))
    await asyncio.sleep(DRILL_S)
    if rig.trouble:
        await rig.store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.gather(*asks)
    if not rig.fifth:
        raise r.CouldNotRun("fewer than five crashes")
    print("%d reached engines in the time that the rule judges, %d crashes" % (
        rig.reached, len(rig.lives)))


r.run(HERE, make, play)
