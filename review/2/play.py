"""DRAIN: a drill brings back the entries of engines that have left."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig as r  # noqa: E402

# Seconds after the start of traffic
LEAVES_S = 6.2
DRILL_S = 8.5
AWAY_S = 1.0        # the store is back at 9.5
COPY_AGE_S = 4.0    # of the copy that it comes back from
SERVES_S = 14.0     # they serve on after they have said that they leave
# Classes ask together: when, of the service where an engine reports that it is
# draining, and of the one where an engine's entry is removed.
DESK_ASKS = (0.5, 3.0, 6.0, 9.9, 14.0)
BOOKS_ASKS = (0.5, 3.0, 6.0, 12.9, 16.0)
CLASS = 40          # requests at once, at both fronts
SEEN_S = 1.5        # a front reads the entries about once a second


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
            self.note("%s reaches %s within the bound" % (rid, engine.id))
            return
        back = self.store.changed_at
        touch = not self.store.away and (
            back == 0 or q["sent"] > back + r.STABLE_WINDOW_S)
        what = (engine.name, engine.how_left,
                "from machines in touch" if touch else
                "the store was back for less than stable_window_ms")
        self.seen[what] = self.seen.get(what, 0) + 1
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
    for n, service in ((3, "desk"), (4, "books")):
        for i in range(3):
            rig.engines.append(r.Engine(
                rig, "%s%d" % (service, i), service,
                "127.%d.%d.%d" % (net, n, i + 1)))
    return rig


async def ask(rig, service, began, times):
    requesters = [r.Requester(rig, rig.fronts[i % 2]) for i in range(CLASS)]
    for at in times:
        await asyncio.sleep(began + at - time.monotonic())
        await asyncio.gather(*[
            q.ask("POST", service + ".example", "/a/x", body=b"kit",
                  timeout_ms=1000) for q in requesters])


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
    engines = {e.name: e for e in rig.engines}
    await rig.start({
        "version": 3, "limits": r.limits(), "tenants": [],
        "routes": [r.route(s, s, "unsafe", timeout_ms=1000,
                           latency_target_ms=100) for s in ("desk", "books")],
        "services": [{"name": "desk"}, {"name": "books"},
                     {"name": "llm", "engine": {}}]})
    await asyncio.sleep(2)
    began = time.monotonic()
    asks = [asyncio.ensure_future(ask(rig, s, began, times))
            for s, times in (("desk", DESK_ASKS), ("books", BOOKS_ASKS))]
    await asyncio.sleep(LEAVES_S)
    rig.spawn(leave(rig, engines["desk0"], "draining"))
    rig.spawn(leave(rig, engines["books0"], "entry removed"))
    await asyncio.sleep(began + DRILL_S - time.monotonic())
    if rig.trouble:
        await rig.store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.gather(*asks)
    for what, n in sorted(rig.seen.items()):
        print("%d requests reached %s (%s); %s" % ((n,) + what))


r.run(HERE, make, play)
