"""Fault: fronts go over their memory with requests as large as is allowed."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

MEMORY_MB = 260     # of a front machine, by its sheet
LARGE = 4000000     # bytes of a body; max_body_bytes is 4194304
USUAL = 17000       # the same without the trouble
IDLE_S = 15         # engines close idle channels after it, and say so
GROUP = 6           # requests at once at each front
EVERY_S = 1.2       # a group comes
RESTART_S = 0.5
LASTS_S = 55
ENDS = 3
MACHINES = 2


class Rig(r.Rig):
    """
    The rule: on a tenth of the machines in use, two at least, processes end by
    themselves three times in the day; memory over the limit counts.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.ends = {p.name: 0 for p in self.fronts}
        self.most = 0

    def memory_mb(self, proc):
        try:
            with open("/proc/%d/statm" % proc.process.pid,
                      encoding="ascii") as f:
                pages = int(f.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGESIZE") >> 20

    async def watch(self, proc):
        """The platform kills a process that exceeds its memory."""
        while True:
            await asyncio.sleep(0.02)
            now = self.memory_mb(proc)
            self.most = max(self.most, now)
            if now <= MEMORY_MB:
                continue
            held = [q for q in self.requests.values()
                    if q["to"] is proc and q["status"] is None]
            self.note("%s has %d MB with %d requests in progress: killed" % (
                proc.name, now, len(held)))
            proc.end()
            self.ends[proc.name] += 1
            await asyncio.sleep(RESTART_S)
            proc.start()


def make(folder):
    rig = Rig(folder, 3, 3)
    net = rig.net
    for i in range(3):
        rig.engines.append(r.Engine(rig, "llm%d" % i, "llm",
                                    "127.%d.2.%d" % (net, i + 1),
                                    stream=True))
    for i in range(4):
        rig.engines.append(r.Engine(rig, "desk%d" % i, "desk",
                                    "127.%d.3.%d" % (net, i + 1),
                                    idle_s=IDLE_S))
    return rig


async def redeem(rig, proc, rand, until):
    """Groups of requests, each with a channel of its own."""
    size = LARGE if rig.trouble else USUAL

    async def one():
        q = r.Requester(rig, proc)
        await q.ask("POST", "redeem.example", "/a/x", body=b"k" * size,
                    timeout_ms=2000)
        q.close()
    while time.monotonic() < until:
        for _ in range(GROUP):
            rig.spawn(one())
        await asyncio.sleep(EVERY_S * rand.uniform(0.7, 1.3))


async def play(rig):
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route("redeem", "desk", "unsafe")],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    for p in rig.fronts:
        rig.spawn(rig.watch(p))
    rand = random.Random(2)
    until = time.monotonic() + LASTS_S
    await asyncio.gather(*[redeem(rig, p, rand, until) for p in rig.fronts])
    await asyncio.sleep(2.5)
    lost = sum(q["status"] == 0 for q in rig.requests.values())
    print("ends for memory: %s; most %d MB; %d of %d requests got no answer" %
          (rig.ends, rig.most, lost, len(rig.requests)))
    if sum(n >= ENDS for n in rig.ends.values()) >= MACHINES:
        rig.violation("Fault", "processes went over %d MB three times on two "
                      "machines or more" % MEMORY_MB)


r.run(HERE, make, play)
