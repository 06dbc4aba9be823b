"""EXPOSURE: the machine that decides on roll-outs is cut off from the store."""
import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

ORDER_S = 3.0       # after the start of traffic
DURATION_S = 30
CUT_S = 6.0         # after the start of traffic
CUT_FOR_S = 12.0
BAD_S = 6.5         # the version turns bad
BAD_SHARE = 0.4     # of its answers then
LASTS_S = 24.0
REQUESTERS = 90
THINK_S = 0.12
BAD_ANSWERS = 50


class Rig(r.Rig):
    """
    The rule: the bad version gets a request that was sent later than
    rollback_ms after its 50th bad answer, from a machine in touch.
    """

    bad = 0
    fiftieth = None
    late = 0

    def fails(self, engine):
        if not self.is_bad or random.random() >= BAD_SHARE:
            return False
        self.bad += 1
        if self.bad == BAD_ANSWERS:
            self.fiftieth = time.monotonic()
            self.note("the 50th bad answer")
        return True

    def on_arrival(self, engine, rid, q, m):
        if engine.version != "v2" or not self.fiftieth:
            return
        if q["to"] is self.fronts[0] and self.trouble:
            return  # it was cut off: not in touch
        if q["sent"] <= self.fiftieth + 5.0:
            return
        self.late += 1
        if self.late == 1:
            self.violation("EXPOSURE", "%s reaches %s from %s %.1f s after "
                           "the 50th bad answer" % (
                               rid, engine.id, q["to"].name,
                               q["sent"] - self.fiftieth))


def make(folder):
    rig = Rig(folder, 3, 3)
    rig.is_bad = False
    net = rig.net
    for i in range(3):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True))
    for i in range(8):
        e = r.Engine(rig, "desk%d" % i, "desk",
                     "127.%d.3.%d" % (net, i + 1),
                     version="v1" if i < 4 else "v2")
        if e.version == "v2":
            e.fails = lambda m, e=e: rig.fails(e)
        rig.engines.append(e)
    return rig


async def read(requester, rand, until):
    while time.monotonic() < until:
        await requester.ask("GET", "read.example", "/a/x", timeout_ms=1000)
        await asyncio.sleep(rand.expovariate(1 / THINK_S))


async def play(rig):
    way = r.Way(rig, "127.%d.0.2" % rig.net)
    await way.start()
    rig.fronts[0].way = (way.ip, way.port)
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route("read", "desk", "safe", timeout_ms=1000,
                           latency_target_ms=100)],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    rand = random.Random(2)
    began = time.monotonic()
    asks = [asyncio.ensure_future(
        read(r.Requester(rig, rig.fronts[i % 3]), rand, began + LASTS_S))
        for i in range(REQUESTERS)]
    await asyncio.sleep(ORDER_S)
    rig.store.put("keyed.op", "rollout/desk", json.dumps({
        "service": "desk", "target": "v2", "duration_s": DURATION_S}))
    rig.note("the operator orders v2")
    await asyncio.sleep(CUT_S - ORDER_S)
    if rig.trouble:
        way.cut()
    await asyncio.sleep(BAD_S - CUT_S)
    rig.is_bad = True
    rig.note("v2 turns bad")
    await asyncio.sleep(CUT_S + CUT_FOR_S - BAD_S)
    if rig.trouble:
        way.heal()
    await asyncio.gather(*asks)
    print("%d bad answers, %d requests too late" % (rig.bad, rig.late))


r.run(HERE, make, play)
