"""Stand-ins of the platform for the scripts of this review: the store, engines
and requesters in one process, around the daemons as processes of their own.

They follow the users' pages: PROTOCOL.md (requests, engines, the store) and
the later contracts (Store-Era, drills). All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

TOP = os.path.abspath(os.path.join(
    os.path.dirname(os.path.realpath(__file__)), "..", ".."))
HEARTBEAT_MS = 1200
STABLE_WINDOW_S = 3.0
BOUNDS = {
    "drain_ms": 2000, "stable_window_ms": 3000, "config_ms": 2000,
    "grace_s": 8, "budget_ratio": 0.2, "budget_slack": 56,
    "budget_window_s": 10, "quota_tolerance": 0.1, "quota_slack": 190000,
    "quota_window_s": 8, "canary_share": 0.1,
}


class CouldNotRun(Exception):
    pass


class Message:
    """A request or an answer: first line, fields in lower case, body."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.setdefault(name.strip().lower(), value.strip())
    return Message(lines[0], fields)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, m):
    if m.get("transfer-encoding"):
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                break
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(m.get("content-length", "0")))


BROKEN = (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError,
          asyncio.LimitOverrunError)


class Topic:
    def __init__(self):
        self.recs = []     # (time, key, value); value None: dropped
        self.epochs = {}   # producer: [(time, epoch)]
        self.grown = asyncio.Event()

    def newest(self):
        out = {}
        for i, (_, key, value) in enumerate(self.recs):
            if value is None:
                out.pop(key, None)
            else:
                out[key] = (i, value)
        return out


class Store:
    """The platform's store: a log of topics, partition 0 only."""

    def __init__(self, rig, ip, port):
        self.rig, self.ip, self.port = rig, ip, port
        self.topics = {}
        self.era = 1
        self.away = False
        self.conns = set()
        self.server = None
        self.beats = {}      # when an engine's entry was written last
        self.on_return = []  # called when it is back from a copy
        self.changed_at = 0.0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port)

    def put(self, name, key, value):
        """Appends a record; the operator and the engines call this."""
        if self.away:
            return None
        t = self.topic(name)
        t.recs.append((time.monotonic(), key, value))
        if name == "keyed.servers":
            if value is None:
                self.beats.pop(key, None)
            else:
                self.beats[key] = time.monotonic()
        grown, t.grown = t.grown, asyncio.Event()
        grown.set()
        return len(t.recs) - 1

    async def lapse(self):
        """Removes entries after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, at in list(self.beats.items()):
                if not self.away and now - at > 3 * HEARTBEAT_MS / 1000:
                    self.rig.note("entry %s lapses" % key)
                    self.put("keyed.servers", key, None)

    async def drill(self, copy_age_s, away_s, silent=False):
        """Away for a moment, back from a copy that is some seconds old."""
        began = time.monotonic()
        self.rig.note("drill: store away, ends=%s" % {
            n: len(t.recs) for n, t in self.topics.items()})
        self.away = True
        self.changed_at = began
        for w in list(self.conns):
            if not silent:
                w.transport.abort()
        old, self.conns = self.conns, set()
        await asyncio.sleep(away_s)
        for t in self.topics.values():
            t.recs = [r for r in t.recs if r[0] <= began - copy_age_s]
            for p in t.epochs:
                t.epochs[p] = [e for e in t.epochs[p]
                               if e[0] <= began - copy_age_s]
        now = time.monotonic()
        self.beats = {k: now for k in self.topic("keyed.servers").newest()}
        self.era += 1
        self.away = False
        self.changed_at = now
        self.rig.note("drill: store back, era=%d ends=%s" % (self.era, {
            n: len(t.recs) for n, t in self.topics.items()}))
        self.silent_conns = old
        for f in self.on_return:
            f()

    async def serve(self, reader, writer):
        self.conns.add(writer)
        mine = self.conns
        try:
            if self.away:
                writer.transport.abort()
                return
            while True:
                m = await read_head(reader)
                m.body = await read_body(reader, m)
                if self.away or mine is not self.conns:
                    await asyncio.sleep(3600)
                method, target, _ = m.first.split(" ")
                await self.answer(writer, method, target, m.body, mine)
        except BROKEN:
            pass
        finally:
            mine.discard(writer)
            writer.close()

    def reply(self, writer, status, body, kind="application/json"):
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        writer.write(("HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Type: %s\r\n"
                      "Content-Length: %d\r\n\r\n"
                      % (status, self.era, kind, len(body))).encode() + body)

    async def answer(self, writer, method, target, body, mine):
        path, _, query = target.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&"))
        t = self.topic(q.get("topic", ""))
        await asyncio.sleep(0.002)
        if path == "/v1/log-append":
            self.append(writer, t, q, body)
        elif path == "/v1/log-newest":
            self.listing(writer, t)
        elif path == "/v1/log-read":
            await self.read(writer, t, int(q["from"]),
                            int(q.get("wait_ms", "0")), mine)
        else:
            self.reply(writer, 404, {})

    def append(self, writer, t, q, body):
        if "at" in q and int(q["at"]) != len(t.recs):
            return self.reply(writer, 412, {"end": len(t.recs)})
        if "producer" in q:
            known = t.epochs.setdefault(q["producer"], [])
            if known and int(q["epoch"]) < known[-1][1]:
                return self.reply(writer, 409, {"reason": "fenced"})
            known.append((time.monotonic(), int(q["epoch"])))
        first = len(t.recs)
        at = 0
        while at < len(body):
            n = int.from_bytes(body[at:at + 4], "big")
            rec = body[at + 4:at + 4 + n]
            nk = rec[0]
            value = rec[1 + nk:].decode()
            key = rec[1:1 + nk].decode()
            self.put(q["topic"], key, value if value else None)
            self.rig.note("append %s[%d] %s = %s" % (
                q["topic"], len(t.recs) - 1, key, value[:100]))
            at += 4 + n
        return self.reply(writer, 200, {"offset": first,
                                        "end": len(t.recs)})

    def listing(self, writer, t):
        items = [{"key": k, "value": base64.b64encode(v.encode()).decode(),
                  "offset": i} for k, (i, v) in t.newest().items()]
        self.reply(writer, 200, {"items": items, "has_more": False,
                                 "end": len(t.recs)})

    async def read(self, writer, t, start, wait_ms, mine):
        until = time.monotonic() + wait_ms / 1000
        while start == len(t.recs):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(t.grown.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.away or mine is not self.conns:
            await asyncio.sleep(3600)
        if start > len(t.recs):
            return self.reply(writer, 410, {"first": 0})
        out = [len(t.recs).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        for _, key, value in t.recs[start:]:
            rec = bytes([len(key)]) + key.encode() + (value or "").encode()
            out.append(len(rec).to_bytes(4, "big") + rec)
        return self.reply(writer, 200, b"".join(out),
                          "application/octet-stream")


class Engine:
    """An engine: some places, a short queue, streams or plain calls."""

    def __init__(self, rig, name, service, ip, **how):
        self.rig, self.name, self.service, self.ip = rig, name, service, ip
        self.version = how.get("version", "v1")
        self.stream = how.get("stream", False)
        self.slots = how.get("slots", 6)
        self.queue = how.get("queue", 24)
        self.work_ms = how.get("work_ms", 15)
        self.events = how.get("events", 5)
        self.poison = how.get("poison")    # a part that crashes it
        self.idle_s = how.get("idle_s")    # it closes channels idle so long
        self.extra = how.get("extra", 0)   # share of answers that come twice
        self.sheds = how.get("sheds", 0)   # share that it turns away
        self.rand = how.get("rand")
        self.fails = None                  # called with a request: fails it?
        self.state = "ready"
        self.lives = 0
        self.up = False
        self.listed = False
        self.running = 0
        self.waiting = 0
        self.port = 0
        self.server = None

    async def start(self):
        self.lives += 1
        self.id = "%s-%d" % (self.name, self.lives)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.free = asyncio.Event()
        self.conns = set()
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = self.listed = True
        self.beat()

    def beat(self):
        if not self.up or not self.listed:
            return
        self.seq += 1
        self.rig.store.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "addr": "%s:%d" % (self.ip, self.port),
            "zone": "dc-1", "version": self.version, "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "seq": self.seq,
            "born": self.born}))

    def leave_unsaid(self):
        """Its entry is removed; it serves on for a while."""
        self.listed = False
        self.state = "left"
        self.rig.note("%s leaves: entry removed" % self.id)
        self.rig.store.put("keyed.servers", self.id, None)

    async def crash(self, down_s):
        self.up = False
        life = self.id
        self.server.close()
        for w in list(self.conns):
            w.transport.abort()
        await asyncio.sleep(down_s)
        if self.rig.store.topic("keyed.servers").newest().get(life):
            self.rig.store.put("keyed.servers", life, None)
        await self.start()

    def head(self, status, rid, fields=""):
        if self.state != "ready":
            fields = "Server-Leaving: 1\r\n" + fields
        if self.idle_s:
            fields = "Keep-Alive: timeout=%d\r\n" % self.idle_s + fields
        return ("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Load: "
                "%d,%d,%d\r\n%s" % (status, rid, self.running, self.waiting,
                                    self.slots, fields))

    async def serve(self, reader, writer):
        self.conns.add(writer)
        late = []  # second answers, sent where the next one is due
        life = self.id
        try:
            while self.up and life == self.id:
                m = await asyncio.wait_for(read_head(reader), self.idle_s)
                m.body = await read_body(reader, m)
                out = await self.handle(m, writer, late)
                if out and self.extra and self.rand.random() < self.extra:
                    self.rig.log("twice", m.get("x-request-id", ""),
                                 "its answer comes again: %d"
                                 % int(out.split(b" ")[1]))
                    late.append(out)
        except (*BROKEN, asyncio.TimeoutError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def send(self, writer, late, out):
        for again in late:
            writer.write(again)
        late.clear()
        writer.write(out)
        return out

    async def handle(self, m, writer, late):
        rid = m.get("x-request-id", "")
        if m.get("x-expect-instance", self.id) != self.id:
            return self.send(writer, late, (self.head(
                421, rid, "X-Not-Executed: 1\r\n") +
                "Content-Length: 0\r\n\r\n").encode())
        self.rig.arrived(self, rid, m)
        full = self.running >= self.slots and self.waiting >= self.queue
        if full or (self.sheds and self.rand.random() < self.sheds):
            self.rig.log("reject", rid, self.id)
            return self.send(writer, late, (self.head(
                503, rid, "X-Not-Executed: 1\r\n") +
                "Content-Length: 0\r\n\r\n").encode())
        self.waiting += 1
        while self.running >= self.slots:
            free = self.free
            await free.wait()
        self.waiting -= 1
        self.running += 1
        try:
            self.rig.ran(self, rid, m)
            if self.poison and self.poison in m.get("x-prompt-prefix", ""):
                self.rig.crashed(self, rid)
                return None
            if self.stream:
                return await self.run_stream(rid, writer)
            return await self.run_plain(rid, m, writer, late)
        finally:
            self.running -= 1
            free, self.free = self.free, asyncio.Event()
            free.set()

    async def run_plain(self, rid, m, writer, late):
        await asyncio.sleep(self.work_ms / 1000)
        failed = self.fails and self.fails(m)
        body = "answer %s of %s" % (rid, self.id)
        return self.send(writer, late, (self.head(
            500 if failed else 200, rid, "X-Server-Stamp: %s.%s\r\n"
            % (rid, self.id)) + "Content-Length: %d\r\n\r\n%s"
            % (len(body), body)).encode())

    async def run_stream(self, rid, writer):
        await asyncio.sleep(self.work_ms / 1000)
        writer.write((self.head(200, rid, "X-Server-Stamp: %s.%s\r\n"
                                % (rid, self.id)) +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(1, self.events + 1):
            event = "id: %d\ndata: %s.%d\n\n" % (i, rid, i)
            writer.write(("%x\r\n%s\r\n" % (len(event), event)).encode())
            await writer.drain()
            await asyncio.sleep(self.work_ms / 1000)
        writer.write(b"0\r\n\r\n")
        return None


SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def look_up(name, scopes):
    """The value of a name like a.b.0, of the innermost entry that has it."""
    first, *rest = name.split(".")
    value = next(s for s in reversed(scopes)
                 if isinstance(s, dict) and first in s)[first]
    for part in rest:
        value = value[int(part) if isinstance(value, list) else part]
    return value


def entries(value):
    """Keys and entries that a section is rendered for."""
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [("", value)]


def render_section(kind, name, body, scopes):
    try:
        value = look_up(name, scopes)
    except (StopIteration, KeyError, IndexError):
        value = None
    if kind == "^":
        return render(body, scopes) if value in (None, False) else ""
    if value in (None, False):
        return ""
    rows = entries(value)
    return "".join(
        render(body, scopes + ([entry] if isinstance(entry, dict) else []),
               {"@": key, ".": entry, ",": "," if i + 1 < len(rows) else ""})
        for i, (key, entry) in enumerate(rows))


def render(text, scopes, entry=None):
    """Fills a template in as DEPLOY.md tells. Unlike the platform's, a name
    without a value is an error, so that a new one is noticed."""
    text = SECTION.sub(
        lambda g: render_section(g[1], g[2], g[3], scopes), text)

    def value_of(g):
        name, _, form = g[1].partition("|")
        if entry and name in entry:
            value = entry[name]
        else:
            value = scopes[-1] if name == "." else look_up(name, scopes)
        if form == "json" or isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return str(value)

    return re.sub(r"\{\{([^{}]*)\}\}", value_of, text)


class Proc:
    """One of the project's processes."""

    def __init__(self, rig, name, role, ip):
        self.rig, self.name, self.role, self.ip = rig, name, role, ip
        self.front = free_port(ip)
        self.ready = free_port(ip)
        self.ini = os.path.join(rig.dir, name + ".conf")
        self.process = None
        self.way = None  # to the store, if not straight: (ip, port)

    def fill(self):
        values = {"node": self.name, "zone": "dc-1", "ip": self.ip,
                  "zones": {"dc-1": "region-1"},
                  "listen": {"front": "%s:%d" % (self.ip, self.front),
                             "ready": "%s:%d" % (self.ip, self.ready)},
                  "port_range": [self.rig.peers_port],
                  "limits": {"memory_mb": 260},
                  "platform": {"addr": "%s:%d" % (self.way or (
                      self.rig.store.ip, self.rig.store.port))},
                  "bounds": BOUNDS}
        with open(os.path.join(TOP, "deploy", self.role + ".ini"),
                  encoding="utf-8") as f:
            return render(f.read(), [values])

    def start(self):
        with open(self.ini, "w", encoding="utf-8") as f:
            f.write(self.fill())
        log = open(os.path.join(self.rig.dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/chestnuthinged", "--" + self.role, "-c", self.ini],
            cwd=TOP, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Way:
    """A proxy between a machine and the store, that can be cut silently."""

    def __init__(self, rig, ip):
        self.rig, self.ip, self.port = rig, ip, free_port(ip)
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    def cut(self):
        self.rig.note("cut: %s from the store" % self.ip)
        self.open.clear()

    def heal(self):
        self.rig.note("healed: %s" % self.ip)
        self.open.set()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except BROKEN:
            pass
        writer.close()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            r, w = await asyncio.open_connection(self.rig.store.ip,
                                                 self.rig.store.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, w), self.pump(r, writer))


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Requester:
    """One requester with one kept channel."""

    def __init__(self, rig, proc):
        self.rig, self.proc = rig, proc
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def ask(self, method, host, path, **how):
        """Returns (status, fields, body); status 0: no whole answer."""
        rid = self.rig.new_id()
        timeout = how.get("timeout_ms", 2000)
        fields = {"Host": host, "X-Request-Id": rid,
                  "X-Timeout-Ms": str(timeout)}
        if how.get("key"):
            fields["Authorization"] = "Bearer " + how["key"]
        fields.update(how.get("fields", {}))
        body = how.get("body", b"")
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        head = "%s %s HTTP/1.1\r\n%s\r\n" % (method, path, "".join(
            "%s: %s\r\n" % f for f in fields.items()))
        status, answer = 0, Message("", {})
        self.rig.sent(rid, self.proc, how.get("mark", ""))
        try:
            answer = await asyncio.wait_for(
                self.exchange(head.encode() + body), timeout / 1000 + 2)
            status = int(answer.first.split(" ")[1])
        except asyncio.TimeoutError:
            self.close()
            self.rig.requests[rid]["left"] = True
        except BROKEN:
            self.close()
        if answer.get("connection") == "close" or not status:
            self.close()
        self.rig.answered(rid, status, answer)
        return rid, status, answer

    async def exchange(self, out):
        if not self.writer or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(
                self.proc.ip, self.proc.front)
        self.writer.write(out)
        m = await read_head(self.reader)
        m.body = await read_body(self.reader, m)
        return m


class Rig:
    """Everything of one run, and its record."""

    def __init__(self, folder, fronts, sides, net=None):
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.began = time.monotonic()
        self.net = net or 20 + os.getpid() % 200  # of the addresses
        self.nids = 0
        self.requests = {}
        self.tasks = []
        self.violations = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        ip = "127.%d.0.1" % self.net
        self.store = Store(self, ip, free_port(ip))
        self.peers_port = self.port_everywhere(fronts, sides)
        self.fronts = [Proc(self, "front-%d" % i, "edge",
                            "127.%d.1.%d" % (self.net, i + 1))
                       for i in range(fronts)]
        self.keepers = [Proc(self, "side-%d" % i, "keeper",
                             "127.%d.2.%d" % (self.net, i + 1))
                        for i in range(sides)]
        self.engines = []

    def port_everywhere(self, fronts, sides):
        ips = (["127.%d.1.%d" % (self.net, i + 1) for i in range(fronts)] +
               ["127.%d.2.%d" % (self.net, i + 1) for i in range(sides)])
        for port in range(21000 + os.getpid() % 5000, 31000):
            try:
                for ip in ips:
                    with socket.socket() as s:
                        s.bind((ip, port))
                return port
            except OSError:
                continue
        raise CouldNotRun("no free port")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write("%8.3f note %s\n" % (self.now(), text))

    def log(self, what, rid, text):
        self.record.write("%8.3f %s %s %s\n" % (self.now(), what, rid, text))

    def new_id(self):
        self.nids += 1
        return "q%d" % self.nids

    def sent(self, rid, proc, mark):
        self.requests[rid] = {"to": proc, "sent": time.monotonic(),
                              "runs": [], "arrivals": [], "status": None,
                              "mark": mark}
        self.log("sent", rid, "%s %s" % (proc.name, mark))

    def arrived(self, engine, rid, m):
        r = self.requests.get(rid)
        if r:
            r["arrivals"].append((time.monotonic(), engine.id))
            self.on_arrival(engine, rid, r, m)

    def on_arrival(self, engine, rid, r, m):
        pass

    def ran(self, engine, rid, m):
        r = self.requests.get(rid)
        if r:
            r["runs"].append((time.monotonic(), engine.id))
            self.log("run", rid, engine.id)
            self.on_run(engine, rid, r, m)

    def on_run(self, engine, rid, r, m):
        pass

    def crashed(self, engine, rid):
        self.log("crash", rid, engine.id)
        if engine.up:
            engine.up = False
            self.tasks.append(asyncio.ensure_future(engine.crash(2.0)))

    def answered(self, rid, status, m):
        r = self.requests[rid]
        r["status"] = status
        r["over"] = time.monotonic()
        self.log("answered", rid, "%d %s" % (
            status, m.get("x-server-stamp", m.body[:40].decode("latin-1")
                          .strip() if status != 200 else "")))

    def violation(self, rule, text):
        self.violations.append(rule)
        self.record.write("%8.3f BROKEN %s: %s\n" % (self.now(), rule, text))
        print("%s: %s" % (rule, text))

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for e in self.engines:
                e.beat()

    async def is_ready(self, proc):
        try:
            reader, writer = await asyncio.open_connection(proc.ip,
                                                           proc.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            m = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in m.first
        except (*BROKEN, asyncio.TimeoutError):
            return False

    async def start(self, config):
        """Starts all, and waits until every front says that it is ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(config))
        for e in self.engines:
            await e.start()
        self.spawn(self.beats())
        self.spawn(self.store.lapse())
        for p in self.fronts + self.keepers:
            p.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await self.is_ready(p) for p in self.fronts]):
                self.note("all fronts are ready")
                return
        raise CouldNotRun("the fronts did not become ready")

    def check_processes(self):
        for p in self.fronts + self.keepers:
            if p.process and p.process.poll() is not None:
                self.violation("Fault", "%s ended by itself" % p.name)

    def close(self):
        for t in self.tasks:
            t.cancel()
        for p in self.fronts + self.keepers:
            p.end()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def limits():
    return {"max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def route(name, service, kind, **more):
    r = {"name": name, "host": name + ".example", "path_prefix": "/a/",
         "service": service, "kind": kind, "attempts": 1,
         "timeout_ms": 2000, "latency_target_ms": 300, "priority": 1}
    r.update(more)
    return r


def run(folder, make, play):
    """Runs play(rig) and exits with 0, 1 or 2."""
    if not os.path.exists(os.path.join(TOP, "target", "chestnuthinged")):
        print("target/chestnuthinged is missing: run the deploy build")
        sys.exit(2)
    rig = make(folder)

    async def all_of_it():
        try:
            await asyncio.wait_for(play(rig), 110)
            rig.check_processes()
        finally:
            rig.close()
    code = 2
    try:
        asyncio.run(all_of_it())
        code = 1 if rig.violations else 0
        print("broken" if code else "held")
    except (CouldNotRun, asyncio.TimeoutError) as e:
        print("could not run:", e)
    sys.stdout.flush()
    os._exit(code)  # open channels of the stand-ins end with the process
