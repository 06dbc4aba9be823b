"""Two engines: one turns requests away, and sends some answers twice, the
second copy where the next answer on the channel is due."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "rig"))
import rig as R  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
SHEDS = 0.45      # of the requests at the first engine
TWICE = 0.03      # of the answers
WORK_MS = 60
REQUESTERS = 15   # at each front
THINK_S = 0.05    # mean, between two requests of a requester
SPELL_S = 5.0     # of second copies, as in the site file; and of rejections
PAUSE_S = 1.0
SPELLS = 8
KEEPERS = 12      # side machines of the site; they grant the places of all
NET = 51          # fixed, as which keeper grants whose goes by the addresses
START_S = 3.0     # stable_window_ms


class Rig(R.Rig):
    twice = refused = 0

    def on_run(self, engine, rid, r, m):
        if len(r["runs"]) > 1:
            self.twice += 1
            self.violation("TWICE", "%s runs for the %d. time: %s" % (
                rid, len(r["runs"]), [e for _, e in r["runs"]]))
        if r["status"] in (408, 421, 429, 503):
            self.refused += 1
            self.violation("REFUSED", "%s was answered %d and runs" % (
                rid, r["status"]))

    def answered(self, rid, status, m):
        super().answered(rid, status, m)
        r = self.requests[rid]
        if status in (408, 421, 429, 503) and r["runs"]:
            self.refused += 1
            self.violation("REFUSED", "%s was answered %d and has run" % (
                rid, status))


CONFIG = {
    "version": 1, "limits": R.limits(),
    "routes": [R.route("redeem", "accounts", "unsafe", timeout_ms=1000,
                       latency_target_ms=100)],
    "services": [{"name": "accounts"}, {"name": "helper", "engine": {}}],
    "tenants": [{"name": "school-1", "api_keys": ["key-1"]}],
}


def make(folder):
    rig = Rig(folder, 2, KEEPERS, NET)
    rig.engines = [R.Engine(rig, "accounts-%d" % i, "accounts",
                            "127.%d.3.%d" % (rig.net, i + 1),
                            work_ms=WORK_MS,
                            rand=random.Random(10 * SEED + i))
                   for i in range(2)]
    # The keepers beside these grant the places of the plain service too.
    rig.engines += [R.Engine(rig, "helper-%d" % i, "helper",
                             "127.%d.2.%d" % (rig.net, i + 1), stream=True)
                    for i in range(KEEPERS)]
    return rig


async def requester(rig, proc, number, until):
    r = R.Requester(rig, proc)
    rand = random.Random(1000 * SEED + number)
    while time.monotonic() < until:
        await r.ask("POST", "redeem.example", "/a/%d" % number, key="key-1",
                    timeout_ms=1000, body=b"kit")
        await asyncio.sleep(rand.expovariate(1 / THINK_S))
    r.close()


async def play(rig):
    await rig.start(CONFIG)
    await asyncio.sleep(START_S)
    until = time.monotonic() + SPELLS * (SPELL_S + PAUSE_S)
    users = [asyncio.ensure_future(requester(rig, p, i, until))
             for p in rig.fronts for i in range(REQUESTERS)]
    for _ in range(SPELLS):
        rig.engines[0].sheds = SHEDS
        rig.engines[0].extra = TWICE if rig.trouble else 0
        await asyncio.sleep(SPELL_S)
        rig.engines[0].sheds = rig.engines[0].extra = 0
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*users)
    await asyncio.sleep(1.5)
    text = ("%d requests, of an unsafe route: %d second runs, %d refused as "
            "not run that have run or run later"
            % (len(rig.requests), rig.twice, rig.refused))
    rig.note(text)
    print(text)


R.run(os.path.dirname(os.path.abspath(__file__)), make, play)
