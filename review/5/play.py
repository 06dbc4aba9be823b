"""A requester sends requests whose bodies hold other requests. With trouble
the method of the outer ones is CONNECT, without it POST."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "rig"))
import rig as R  # noqa: E402

ROUNDS = 10

CONFIG = {
    "version": 1, "limits": R.limits(),
    "routes": [R.route("redeem", "accounts", "unsafe", timeout_ms=1000,
                       latency_target_ms=100)],
    "services": [{"name": "accounts"}],
    "tenants": [{"name": "school-1", "api_keys": ["key-1"]}],
}


def make(folder):
    rig = R.Rig(folder, 2, 2)
    rig.engines = [R.Engine(rig, "accounts-%d" % i, "accounts",
                            "127.%d.3.%d" % (rig.net, i + 1))
                   for i in range(4)]
    return rig


def request(method, target, rid, body):
    return ("%s %s HTTP/1.1\r\nHost: redeem.example\r\nX-Request-Id: %s\r\n"
            "X-Timeout-Ms: 1000\r\nAuthorization: Bearer key-1\r\n"
            "Content-Length: %d\r\n\r\n" % (method, target, rid, len(body))
            ).encode() + body


async def answers(reader):
    """Statuses that come within a second."""
    out = []
    try:
        while True:
            m = await asyncio.wait_for(R.read_head(reader), 1)
            m.body = await R.read_body(reader, m)
            out.append((m.first.split(" ")[1], m.get("x-request-id", "-")))
    except (*R.BROKEN, asyncio.TimeoutError):
        return out


async def one_round(rig, proc):
    """An ordinary request, then one whose body holds another, on a channel."""
    reader, writer = await asyncio.open_connection(proc.ip, proc.front)
    plain, outer, inner = (rig.new_id() for _ in range(3))
    rig.sent(plain, proc, "plain")
    writer.write(request("POST", "/a/1", plain, b"kit 1"))
    first = await answers(reader)
    body = request("POST", "/a/2", inner, b"kit 2")
    method, target = (("CONNECT", "redeem.example:443") if rig.trouble else
                      ("POST", "/a/3"))
    rig.sent(outer, proc, "%s, its body of %d bytes holds %s" % (
        method, len(body), inner))
    rig.requests[inner] = {"to": proc, "runs": [], "arrivals": [],
                           "mark": "inside " + outer}
    writer.write(request(method, target, outer, body))
    then = await answers(reader)
    rig.note("answers to %s: %s, to %s: %s" % (plain, first, outer, then))
    writer.close()
    return inner


async def play(rig):
    await rig.start(CONFIG)
    inside = [await one_round(rig, rig.fronts[i % 2]) for i in range(ROUNDS)]
    ran = [i for i in inside if rig.requests[i]["runs"]]
    text = "%d of %d requests that were the body of another ran" % (
        len(ran), len(inside))
    rig.note(text)
    print(text)
    if ran:
        rig.violation("UNASKED", "%s: %s" % (text, " ".join(ran)))


R.run(os.path.dirname(os.path.abspath(__file__)), make, play)
