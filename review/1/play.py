"""Two of four engines spoil one answer in fifty: one byte of it is wrong, the
first digit of the status."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "rig"))
import rig as R  # noqa: E402

FRONTS = 2
KEEPERS = 2
REQUESTERS = 14       # at each front, each with one kept channel
SPELL_S = 5.5         # of spoiled answers, as in the site file
SPELLS = 2
PAUSE_S = 2.0         # between spells
SPOILED = 0.02        # of the answers of a faulty engine
RESTART_S = 0.5       # the platform starts a process that ended again
ALLOWED = 3           # LOST: more than three times
HOLD_S = 3.0          # stable_window_ms


class Engine(R.Engine):
    """Spoils part of its answers while it is faulty."""

    faulty = False
    spoiled = 0

    def send(self, writer, late, out):
        if self.faulty and self.rand.random() < SPOILED:
            self.spoiled += 1
            self.rig.note("%s spoils an answer" % self.id)
            out = out.replace(b"HTTP/1.1 2", b"HTTP/1.1 1", 1)
        return super().send(writer, late, out)


class Requester(R.Requester):
    served = False  # its channel has carried an answer

    async def redeem(self, n):
        _, status, _ = await self.ask(
            "POST", "redeem.example", "/a/%d" % n, key="key-1",
            timeout_ms=1000, body=b"r" * 600,
            mark="kept" if self.served else "first")
        self.served = bool(status) and bool(self.writer)
        return status


def make(folder):
    rig = R.Rig(folder, FRONTS, KEEPERS)
    rig.engines = [Engine(rig, "accounts-%d" % i, "accounts",
                          "127.%d.3.%d" % (rig.net, i + 1), work_ms=60,
                          rand=random.Random(i)) for i in range(4)]
    rig.ends = []  # (time, front)
    rig.starts = []  # the same, by the platform after an end
    return rig


CONFIG = {
    "version": 1, "limits": R.limits(),
    "routes": [R.route("redeem", "accounts", "unsafe", timeout_ms=1000,
                       latency_target_ms=100)],
    "services": [{"name": "accounts"}],
    "tenants": [{"name": "school-1", "api_keys": ["key-1"]}],
}


async def requester(rig, proc, until):
    r = Requester(rig, proc)
    n = 0
    while time.monotonic() < until:
        n += 1
        if not await r.redeem(n):
            await asyncio.sleep(0.2)
    r.close()


async def platform(rig):
    """Starts processes again that ended."""
    while True:
        await asyncio.sleep(0.02)
        for p in rig.fronts:
            if p.process.poll() is None:
                continue
            rig.note("%s ended by itself, status %d" % (
                p.name, p.process.returncode))
            rig.ends.append((time.monotonic(), p.name))
            await asyncio.sleep(RESTART_S)
            p.start()
            rig.starts.append((time.monotonic(), p))


def in_touch(rig, r):
    """Whether the front wasn't started in stable_window_ms before the end."""
    return not any(p is r["to"] and r["over"] - HOLD_S < t <= r["over"]
                   for t, p in rig.starts)


def judge(rig):
    sound = {e.name for e in rig.engines[2:]}
    lost = [i for i, r in rig.requests.items()
            if r["status"] == 0 and r["mark"] == "kept" and
            not r.get("left") and in_touch(rig, r) and
            any(e.rsplit("-", 1)[0] in sound for _, e in r["runs"])]
    ran = sum(1 for r in rig.requests.values() if r["runs"])
    text = ("%d of %d requests that ran: a sound engine ran it and the front "
            "closed the kept channel without an answer; fronts ended by "
            "themselves %d times; %d answers were spoiled"
            % (len(lost), ran, len(rig.ends),
               sum(e.spoiled for e in rig.engines)))
    rig.note(text)
    print(text)
    if len(lost) > ALLOWED:
        rig.violation("LOST", "%s: %s" % (text, " ".join(lost[:20])))


async def play(rig):
    await rig.start(CONFIG)
    rig.spawn(platform(rig))
    await asyncio.sleep(HOLD_S)
    until = time.monotonic() + SPELLS * (SPELL_S + PAUSE_S)
    users = [asyncio.ensure_future(requester(rig, p, until))
             for p in rig.fronts for _ in range(REQUESTERS)]
    for _ in range(SPELLS):
        for e in rig.engines[:2]:
            e.faulty = rig.trouble
        await asyncio.sleep(SPELL_S)
        for e in rig.engines[:2]:
            e.faulty = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*users)
    judge(rig)


R.run(os.path.dirname(os.path.abspath(__file__)), make, play)
