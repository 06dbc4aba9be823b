"""A tenant's requesters look with HEAD whether there is anything new, and
redeem licences on the same channels. With trouble the tenant sends many times
its usual, beyond its usage cap."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "rig"))
import rig as R  # noqa: E402

USERS = 6
USUAL_PER_S = 4.0     # of the tenant, all requests
HOT_X = 7.5           # hot_tenant, as in the site file
HOT_S = 6.5
START_S = 5.0         # without requests
CALM_S = 4.0          # before and after
TOKENS = 2000         # of a request without X-Token-Usage

CONFIG = {
    "version": 1, "limits": R.limits(),
    "routes": [R.route("redeem", "accounts", "unsafe", timeout_ms=1000,
                       latency_target_ms=100),
               R.route("progress", "accounts", "safe", attempts=2,
                       timeout_ms=1000, latency_target_ms=100)],
    "services": [{"name": "accounts"}],
    "tenants": [{"name": "school-1", "api_keys": ["key-1"], "unit": "token",
                 "rate_per_s": 10000, "burst": 20000,
                 "plain_tokens": TOKENS}],
}


class Engine(R.Engine):
    def send(self, writer, late, out):
        """No body follows the head of an answer to HEAD."""
        if writer.is_head:
            out = out[:out.index(b"\r\n\r\n") + 4]
        return super().send(writer, late, out)

    async def handle(self, m, writer, late):
        writer.is_head = m.first.startswith("HEAD ")
        return await super().handle(m, writer, late)


def make(folder):
    rig = R.Rig(folder, 2, 2)
    rig.engines = [Engine(rig, "accounts-%d" % i, "accounts",
                          "127.%d.3.%d" % (rig.net, i + 1))
                   for i in range(4)]
    rig.bad = []  # (id, bytes)
    return rig


class Requester(R.Requester):
    """Reads answers as HTTP/1.1 has them: none to HEAD has a body."""

    async def exchange(self, out):
        if not self.writer or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(
                self.proc.ip, self.proc.front)
        self.writer.write(out)
        m = await R.read_head(self.reader)
        if not m.first.startswith("HTTP/1.1 "):
            self.rig.bad.append((out.split(b"X-Request-Id: ")[1].split(
                b"\r\n")[0].decode(), m.first))
            self.close()
            raise ConnectionError
        if not out.startswith(b"HEAD "):
            m.body = await R.read_body(self.reader, m)
        return m


async def user(rig, number, pause):
    r = Requester(rig, rig.fronts[number % 2])
    while not rig.over:
        await r.ask("HEAD", "progress.example", "/a/%d" % number, key="key-1",
                    timeout_ms=1000, mark="HEAD")
        await asyncio.sleep(pause())
        await r.ask("POST", "redeem.example", "/a/%d" % number, key="key-1",
                    timeout_ms=1000, body=b"kit", mark="redeem")
        await asyncio.sleep(pause())
    r.close()


def judge(rig):
    ran = [i for i, _ in rig.bad if rig.requests[i]["runs"]]
    refused = sum(r["status"] == 429 for r in rig.requests.values())
    text = ("%d of %d answers began with bytes that are no answer, %d of them "
            "to redemptions that had run; %d requests were refused 429"
            % (len(rig.bad), len(rig.requests), len(ran), refused))
    rig.note(text)
    print(text)
    for i, first in rig.bad[:5]:
        rig.note("%s: %r" % (i, first))
    if rig.bad:
        rig.violation("MIXED", text)


async def play(rig):
    await rig.start(CONFIG)
    await asyncio.sleep(START_S)
    rig.over = False
    rate = [USUAL_PER_S]
    users = [asyncio.ensure_future(user(rig, i, lambda: USERS / rate[0]))
             for i in range(USERS)]
    await asyncio.sleep(CALM_S)
    if rig.trouble:
        rig.note("hot tenant")
        rate[0] = USUAL_PER_S * HOT_X
    await asyncio.sleep(HOT_S)
    rate[0] = USUAL_PER_S
    await asyncio.sleep(CALM_S)
    rig.over = True
    await asyncio.gather(*users)
    judge(rig)


R.run(os.path.dirname(os.path.abspath(__file__)), make, play)
