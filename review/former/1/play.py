"""TWICE, REFUSED: a second answer to a rejection, with the request's own id."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

SHEDS = 0.45      # share of requests that the engines turn away
EXTRA = 0.03      # share of an engine's answers that come twice
REQUESTERS = 16
SECONDS = 60
THINK_S = 0.25    # mean, between two requests of a requester


class Rig(r.Rig):
    """An unsafe request runs once at most, and not if it was refused."""

    def on_run(self, engine, rid, q, m):
        if len(q["runs"]) > 1:
            self.violation("TWICE", "%s ran %d times: %s" % (
                rid, len(q["runs"]), [e for _, e in q["runs"]]))
        if q["status"] in (408, 421, 429, 503):
            self.violation("REFUSED", "%s was answered %d and runs" % (
                rid, q["status"]))

    def answered(self, rid, status, m):
        super().answered(rid, status, m)
        q = self.requests[rid]
        if status in (408, 421, 429, 503) and q["runs"]:
            self.violation("REFUSED", "%s was answered %d and has run" % (
                rid, status))


def make(folder):
    rig = Rig(folder, 2, 3)
    rand = random.Random(int(os.environ.get("SEED", "1")))
    extra = EXTRA if rig.trouble else 0
    net = rig.net
    for i in range(3):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True))
    rig.engines.append(r.Engine(rig, "desk0", "desk", "127.%d.3.1" % net,
                                slots=6, sheds=SHEDS, extra=extra,
                                rand=rand))
    return rig


async def redeem(requester, rand, until):
    """One requester: licence after licence, on a kept channel."""
    while time.monotonic() < until:
        await requester.ask("POST", "redeem.example", "/a/x", body=b"kit",
                            timeout_ms=1000)
        await asyncio.sleep(rand.expovariate(1 / THINK_S))


async def play(rig):
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route("redeem", "desk", "unsafe", timeout_ms=1000,
                           latency_target_ms=100)],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    rand = random.Random(2)
    until = time.monotonic() + SECONDS
    await asyncio.gather(*[
        redeem(r.Requester(rig, rig.fronts[i % 2]), rand, until)
        for i in range(REQUESTERS)])
    await asyncio.sleep(1.5)


r.run(HERE, make, play)
