"""A drill, some seconds after a roll-out was ordered and taken back. Then the
operator orders the next one, of a version that is bad too."""
import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "rig"))
import rig as R  # noqa: E402

FRONTS = 2
USERS = 12            # at each front
PAUSE_S = 0.25        # of a user between requests
BAD = 0.4             # share of a bad version's answers that are failures
COPY_AGE_S = 6.0      # of the store's copy
AWAY_S = 0.5
HOLD_S = 3.0          # stable_window_ms
DURATION_S = 20       # of the second roll-out
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_S = 5.0


def config(version):
    return {
        "version": version, "limits": R.limits(),
        "routes": [R.route("redeem", "accounts", "unsafe", timeout_ms=1000,
                           latency_target_ms=100, priority=version % 2)],
        "services": [{"name": "accounts"}],
        "tenants": [{"name": "school-1", "api_keys": ["key-1"]}],
    }


class Engine(R.Engine):
    bad_answers = 0

    def __init__(self, *args, **how):
        super().__init__(*args, **how)
        if self.version != "v1":
            self.fails = self.is_bad

    def is_bad(self, m):
        bad = self.rand.random() < BAD
        if bad:
            self.rig.bad.setdefault(self.version, []).append(time.monotonic())
        return bad


def engine(rig, number, version):
    return Engine(rig, "accounts-%d" % number, "accounts",
                  "127.%d.3.%d" % (rig.net, number + 1), version=version,
                  rand=random.Random(number))


def make(folder):
    rig = R.Rig(folder, FRONTS, 2)
    rig.engines = [engine(rig, i, "v1") for i in range(3)]
    rig.bad = {}
    rig.operator = {}  # what it wrote last, by key
    rig.over = False
    return rig


def write(rig, key, value):
    """The operator writes; returns the record's offset."""
    rig.operator[key] = json.dumps(value)
    at = rig.store.put("keyed.op", key, rig.operator[key])
    rig.note("operator: op/%s at offset %d" % (key, at))
    return at


def write_again(rig):
    """The newest of each key that the operator wrote, and of each engine."""
    newest = rig.store.topic("keyed.op").newest()
    for key, text in rig.operator.items():
        if newest.get(key, (0, None))[1] != text:
            at = rig.store.put("keyed.op", key, text)
            rig.note("operator: op/%s written again at offset %d" % (key, at))
    for e in rig.engines:
        e.beat()


def order(rig, target, duration_s):
    return write(rig, "rollout/accounts", {
        "service": "accounts", "target": target, "duration_s": duration_s})


def status(rig):
    newest = rig.store.topic("keyed.status").newest()
    text = newest.get("rollout/accounts", (0, "{}"))[1]
    return json.loads(text)


async def add_version(rig, version, first):
    new = [engine(rig, first + i, version) for i in range(3)]
    for e in new:
        await e.start()
    rig.engines += new
    return new


async def drain(rig, engines):
    """The platform takes a version's engines away that was rolled back."""
    for e in engines:
        e.state = "draining"
        e.beat()
    await asyncio.sleep(4)
    for e in engines:
        rig.engines.remove(e)
        e.up = False
        rig.store.put("keyed.servers", e.id, None)
        e.server.close()


async def user(rig, number):
    r = R.Requester(rig, rig.fronts[number % FRONTS])
    while not rig.over:
        await r.ask("POST", "redeem.example", "/a/%d" % number, key="key-1",
                    timeout_ms=1000, body=b"kit")
        await asyncio.sleep(PAUSE_S)
    r.close()


async def rolled_back(rig, target, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if status(rig) == {"state": "rolled_back", "target": target}:
            return True
        await asyncio.sleep(0.1)
    return False


def judge(rig, ordered, until):
    """EXPOSURE, of the second version."""
    target = {e.id for e in rig.engines if e.version == "v3"}
    arrivals = [(t, e, r["sent"]) for r in rig.requests.values()
                for t, e in r["arrivals"] if ordered <= t <= until]
    exposed = [a for a in arrivals if a[1] in target]
    most = CANARY_SHARE * len(arrivals) + CANARY_SLACK
    bad = rig.bad.get("v3", [])
    late = [a for a in exposed if len(bad) >= 50 and
            a[2] > bad[49] + ROLLBACK_S]
    failed = sum(r["status"] == 500 for r in rig.requests.values()
                 if r["sent"] >= ordered)
    text = ("of %d requests to the service from the order on v3 got %d (%.0f "
            "allowed), %d of them later than %.0f s after its 50th bad answer; "
            "%d requests were answered 500; status %s"
            % (len(arrivals), len(exposed), most, len(late), ROLLBACK_S,
               failed, status(rig)))
    rig.note(text)
    print(text)
    if len(exposed) > most or late:
        rig.violation("EXPOSURE", text)


async def play(rig):
    await rig.start(config(1))
    rig.operator["config"] = json.dumps(config(1))
    rig.store.on_return.append(lambda: asyncio.get_running_loop().call_later(
        0.3, write_again, rig))
    users = [asyncio.ensure_future(user(rig, i))
             for i in range(USERS * FRONTS)]
    await asyncio.sleep(HOLD_S + COPY_AGE_S)
    for version in (2, 3, 4):
        write(rig, "config", config(version))
        await asyncio.sleep(0.3)
    second = await add_version(rig, "v2", 3)
    order(rig, "v2", 15)
    if not await rolled_back(rig, "v2", 10):
        raise R.CouldNotRun("v2 was not rolled back")
    rig.spawn(drain(rig, second))
    began = time.monotonic()
    if rig.trouble:
        await rig.store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.sleep(max(6, HOLD_S) + 2 - (time.monotonic() - began))
    await add_version(rig, "v3", 6)
    order(rig, "v3", DURATION_S)
    ordered = time.monotonic()
    await asyncio.sleep(DURATION_S)
    rig.over = True
    await asyncio.gather(*users)
    judge(rig, ordered, ordered + DURATION_S)


R.run(os.path.dirname(os.path.abspath(__file__)), make, play)
