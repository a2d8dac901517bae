"""Stand-ins for the cases of the second review: clients, engines, the control feed, and the start of the program.

All parties run in one asyncio loop and on loopback addresses. Every event is recorded with the system's Unix clock.
The wire formats follow the protocol pages: MessagePack-RPC for clients, RESP for engines, server-sent events for the
control feed. Standard library only.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


class Record:
    """The lines of record.txt, in order of time."""

    def __init__(self):
        self.start = time.time()
        self.lines = []
        self.kept = []  # the loop itself holds its tasks only weakly

    def add(self, *words):
        now = time.time()
        self.lines.append("%9.4f %s" % (now - self.start, " ".join(str(word) for word in words)))
        return now

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            out.write("\n".join(self.lines) + "\n")


def free_port():
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((HOST, 0))
        return s.getsockname()[1]


# MessagePack ---------------------------------------------------------------------------------------------------------

def pack(value):
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return bytes([value]) if value < 0x80 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        data = value.encode()
        return (bytes([0xa0 | len(data)]) if len(data) < 32 else b"\xda" + struct.pack(">H", len(data))) + data
    if isinstance(value, bytes):
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, (list, tuple)):
        return b"\xdc" + struct.pack(">H", len(value)) + b"".join(pack(v) for v in value)
    if isinstance(value, dict):
        return b"\xde" + struct.pack(">H", len(value)) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(value)


class NeedMore(Exception):
    pass


def unpack(data, at):
    """Returns a value and the position after it."""
    def take(n):
        nonlocal at
        if len(data) < at + n:
            raise NeedMore
        at += n
        return data[at - n:at]

    def size(n):
        return int.from_bytes(take(n), "big")

    def items(n):
        nonlocal at
        out = []
        for _ in range(n):
            value, at = unpack(data, at)
            out.append(value)
        return out

    def pairs(n):
        flat = items(2 * n)
        return dict(zip(flat[::2], flat[1::2]))

    first = take(1)[0]
    if first < 0x80:
        return first, at
    if first < 0x90:
        return pairs(first & 15), at
    if first < 0xa0:
        return items(first & 15), at
    if first < 0xc0:
        return bytes(take(first & 31)).decode(), at
    if first in (0xc0, 0xc2, 0xc3):
        return {0xc0: None, 0xc2: False, 0xc3: True}[first], at
    if first in (0xc4, 0xc5, 0xc6):
        return bytes(take(size(1 << (first - 0xc4)))), at
    if first in (0xcc, 0xcd, 0xce, 0xcf):
        return size(1 << (first - 0xcc)), at
    if first in (0xd9, 0xda, 0xdb):
        return bytes(take(size(1 << (first - 0xd9)))).decode(), at
    if first in (0xdc, 0xdd):
        return items(size(2 if first == 0xdc else 4)), at
    if first in (0xde, 0xdf):
        return pairs(size(2 if first == 0xde else 4)), at
    raise ValueError("a byte that starts no value: %x" % first)


# Clients -------------------------------------------------------------------------------------------------------------

class Request:
    """One request: what was sent, when, and every answer that came."""

    def __init__(self, number, ident, method, timeout_ms):
        self.number, self.id, self.method, self.timeout_ms = number, ident, method, timeout_ms
        self.sent_at = None
        self.given_up_at = None
        self.answers = []  # (time, word, fields, body); word: served, Shed, or another error
        self.done = asyncio.get_running_loop().create_future()

    @property
    def word(self):
        return self.answers[0][1] if self.answers else None


class Client:
    """One connection. Message ids start at 1 and go up."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.requests = {}
        self.last_number = 0
        self.closed_at = None
        self.probe_answers = {}
        self.on_answer = None

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.record.kept += [self, asyncio.ensure_future(self._read())]
        return self

    def call(self, method, statement, timeout_ms, owner="souss-energie", ms=100.0, mb=16, ident=None):
        """The request and its bytes; nothing is sent yet."""
        self.last_number += 1
        request = Request(self.last_number, ident or os.urandom(8).hex(), method, timeout_ms)
        self.requests[request.number] = request
        fields = {"req": request.id, "timeout": str(timeout_ms), "owner": owner, "ms": str(float(ms)), "mb": str(mb)}
        return request, pack([0, request.number, method, [fields, statement.encode()]])

    def write(self, data):
        self.writer.write(data)

    def send(self, *args, **kwargs):
        request, data = self.call(*args, **kwargs)
        self.write(data)
        request.sent_at = self.record.add("client", self.name, "sent", request.id, request.method,
                                          "timeout_ms=%s" % request.timeout_ms)
        return request

    def give_up(self, request):
        self.write(pack([2, "giveUp", [request.number]]))
        request.given_up_at = self.record.add("client", self.name, "gave-up", request.id)

    async def probe(self, wait=1.0):
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        self.probe_answers[number] = future
        self.write(pack([0, number, "probe", [{}]]))
        return await asyncio.wait_for(future, wait)

    async def _read(self):
        data = b""
        try:
            while True:
                more = await self.reader.read(65536)
                if not more:
                    break
                data += more
                at = 0
                while at < len(data):
                    try:
                        message, at = unpack(data, at)
                    except NeedMore:
                        break
                    self._answer(message)
                data = data[at:]
        except (ConnectionError, OSError):
            pass
        self.closed_at = self.record.add("client", self.name, "connection-ended")
        for request in self.requests.values():
            if not request.done.done():
                request.done.set_result(None)

    def _answer(self, message):
        _, number, error, result = message
        if number in self.probe_answers:
            self.probe_answers.pop(number).set_result(result[0] if result else False)
            return
        request = self.requests[number]
        word, fields, body = ("served", result[1], result[0]) if error is None else (error[0], error[1], b"")
        at = self.record.add("client", self.name, "answered", request.id, word, json.dumps(fields))
        request.answers.append((at, word, fields, body))
        if not request.done.done():
            request.done.set_result(word)
        if self.on_answer:
            self.on_answer(request, word)

    def close(self):
        self.record.add("client", self.name, "closes")
        self.writer.close()


# Engines -------------------------------------------------------------------------------------------------------------

class Attempt:
    """A request that has reached the engine whole."""

    def __init__(self, engine, connection, ident, fields, body):
        self.engine, self.connection, self.id, self.body = engine, connection, ident, body
        self.fields = dict(pair.split("=", 1) for pair in fields.split(",") if "=" in pair)
        self.at = None
        self.given_up = asyncio.Event()
        self.ended_at = None
        self.ended = None


def rows_of(ident, count=2):
    return "".join("%s\trow%d\tvalue\n" % (ident, i) for i in range(count))


class Engine:
    """One engine. `behave(attempt)`, a coroutine, decides what becomes of a request; the default serves it after
    `work_s` seconds with one page. A request that is stopped, or whose connection closes, is given up."""

    def __init__(self, record, name, work_s=0.05, behave=None):
        self.record, self.name, self.work_s = record, name, work_s
        self.behave = behave or self.serve
        self.attempts = []
        self.open = {}
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._connection, HOST, port or self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """The process ends: the port is closed and its connections are reset."""
        self.record.add("engine", self.name, "process-ends")
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.writers.clear()

    def say(self, attempt, word, fields="-", body=""):
        """Writes the end of the attempt, unless it was given up."""
        if attempt.given_up.is_set():
            return
        attempt.ended_at = self.record.add("engine", self.name, "answered", attempt.id, word)
        attempt.ended = word
        self.open.pop((attempt.connection, attempt.id), None)
        self.put(attempt.connection, attempt.id, word, fields, body)

    def put(self, writer, *parts):
        out = b"*%d\r\n" % len(parts)
        for part in parts:
            data = part if isinstance(part, bytes) else part.encode()
            out += b"$%d\r\n%s\r\n" % (len(data), data)
        writer.write(out)

    def note(self, attempt, kind, value):
        if not attempt.given_up.is_set():
            self.put(attempt.connection, attempt.id, "update", "remark=%s,datum=%s" % (kind, value), "")

    async def work(self, attempt, seconds):
        """Waits, with a note of progress every 2 s. False: it was given up."""
        until = time.time() + seconds
        while True:
            left = until - time.time()
            if left <= 0:
                return True
            try:
                await asyncio.wait_for(attempt.given_up.wait(), min(left, 2.0))
                return False
            except asyncio.TimeoutError:
                if time.time() < until:
                    self.note(attempt, "progress", round(1 - (until - time.time()) / seconds, 3))

    async def serve(self, attempt):
        if await self.work(attempt, self.work_s):
            self.serve_now(attempt, self.work_s)

    def serve_now(self, attempt, work_s):
        self.say(attempt, "served", "total=1,elapsed=%.1f,rss=16,%s" % (work_s * 1000, self.report()),
                 rows_of(attempt.id))

    def report(self):
        return "report=queue:0;inflight:%d;x0:0.1" % len(self.open)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                parts = await self._command(reader)
                self._obey(writer, parts)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        self.writers.discard(writer)
        for key, attempt in list(self.open.items()):
            if key[0] is writer:
                self._give_up(attempt, "connection-ended")
        try:
            writer.close()
        except RuntimeError:
            pass

    async def _command(self, reader):
        head = await reader.readuntil(b"\r\n")
        parts = []
        for _ in range(int(head[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            parts.append((await reader.readexactly(size + 2))[:-2].decode())
        return parts

    def _give_up(self, attempt, why):
        self.open.pop((attempt.connection, attempt.id), None)
        attempt.ended_at = self.record.add("engine", self.name, "gives-up", attempt.id, why)
        attempt.ended = "given-up"
        attempt.given_up.set()

    def _obey(self, writer, parts):
        word, ident = parts[0], parts[1]
        if word == "REQ":
            attempt = Attempt(self, writer, ident, parts[2], parts[3])
            attempt.at = self.record.add("engine", self.name, "received", ident, parts[2])
            self.attempts.append(attempt)
            self.open[(writer, ident)] = attempt
            self.record.kept.append(asyncio.ensure_future(self.behave(attempt)))
        elif word == "STOP":
            attempt = self.open.get((writer, ident))
            if attempt:
                self._give_up(attempt, "stopped")
        elif word == "HELO":
            self.put(writer, ident, "green", "-", "")
        elif word == "FETCH":
            self.fetch(writer, ident, int(parts[2]))

    def fetch(self, writer, ident, page):
        self.put(writer, ident, "crashed", "-", "")


# The control feed ----------------------------------------------------------------------------------------------------

class Feed:
    """Events numbered from 1. Tells those after Last-Event-ID, and a comment every second."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.watchers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._watch, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def event(self, targets, whole=False):
        number = len(self.events) + 1
        data = {"n": number, "members": {"rev": number, "all": whole, "targets": targets}}
        self.events.append(data)
        self.record.add("feed", "event", number, json.dumps(targets))
        for queue in self.watchers:
            queue.put_nowait(data)
        return data

    def known(self):
        return {"n": len(self.events), "events": list(self.events)}

    async def _watch(self, reader, writer):
        last = 0
        try:
            while True:
                line = (await reader.readline()).decode().strip()
                if not line:
                    break
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            queue = asyncio.Queue()
            for event in self.events[last:]:
                queue.put_nowait(event)
            self.watchers.add(queue)
            while True:
                try:
                    event = await asyncio.wait_for(queue.get(), 1.0)
                    writer.write(("id: %d\ndata: %s\n\n" % (event["n"], json.dumps(event))).encode())
                except asyncio.TimeoutError:
                    writer.write(b": alive\n\n")
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.watchers.discard(queue)


def target(engine, state="up", boot_ms=0, model="eng-8c", cell=0):
    return {"uid": engine.name, "endpoint": "%s:%d" % (HOST, engine.port), "az": "agadir-dc1", "model": model,
            "pod_group": cell, "state": state, "capacity_hint": 1, "boot_ms": boot_ms}


# The program ---------------------------------------------------------------------------------------------------------

S = 1000000000  # nanoseconds


def settings():
    """What a small deployment's settings hold, with the figures of the users' pages."""
    def of_class(name, deadline, promise, worth, stretch, idempotency):
        return {"Name": name, "Deadline": int(deadline * S), "Promise": int(promise * S), "AimStretch": stretch,
                "Worth": worth, "LateWorth": 0.4, "Idempotency": idempotency}
    return {
        "Classes": [of_class("nom-lookup", 4, 0.8, 1.0, 2.0, "idempotent"),
                    of_class("balance-report", 25, 3, 8.0, 2.5, "idempotent"),
                    of_class("nom-load", 25, 4, 8.0, 2.5, "at_most_once")],
        "Orgs": [{"Name": "souss-energie", "Share": 0.52, "QuotaPerS": 400.0},
                 {"Name": "atlas-distrib", "Share": 0.35, "QuotaPerS": 300.0},
                 {"Name": "oasis-gaz", "Share": 0.13, "QuotaPerS": 100.0}],
        "OverShareWorth": 0.1, "Zones": ["agadir-dc1"], "MyZone": 0, "MyNumber": 0, "GroupSize": 1,
        "HostTypes": ["eng-8c", "eng-16c"], "Discovery": "pushed", "Granularity": 5000000,
        "FamilyInfo": {"CpuOfKind": [8, 16], "MemoryByKindMb": [16384, 32768], "Dop": [1, 2, 2],
                       "WritesTables": [False, False, True], "WaitsForLoads": [False, False, False],
                       "LanesCount": True, "Grants": False, "OutOfMemory": "queue", "MaxGrantShare": 0.5,
                       "NotePeriod": 2 * S, "Bills": True},
        "Allowed": {"Cancel": True, "Probes": False, "PeerMessages": False, "ParallelTries": False,
                    "RetryAfter": True, "MaxRetryAfter": 2 * S, "SendCap": 4, "StreamsPerConn": 100,
                    "DialTimeout": S // 4, "IdleClose": 30 * S},
        "Report": {"How": "piggyback", "Fields": ["queue", "inflight", "x0"]},
        "Safety": {"AnswerSlack": 50000000, "DrainGrace": 250000000, "StartCapacity": 0.34, "Cold": 14 * S,
                   "TipMultiple": 2.5, "TipAfter": 3 * S, "MinExtra": 5, "ExtraRatio": 0.2, "RatioSpan": 5 * S}}


class Manager:
    """`yokestream serve` in a process of its own, started by the deploy file's run line."""

    def __init__(self, record, folder, name="n1"):
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.process = None
        self.log = []

    def configure(self, known, feed_port=None, limits=None, tell=None, management=None):
        config = {"name": self.name, "listen": "%s:%d" % (HOST, self.port), "seed": "8c1f30d27a5be964",
                  "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": tell or settings()}
        if feed_port:
            config["feed"] = "%s:%d" % (HOST, feed_port)
        if management:
            config["management"] = "%s:%d" % (HOST, management)
        self.settings = config
        self._write_config()

    def _write_config(self):
        self.config = os.path.join(self.folder, self.name + ".json")
        with open(self.config + ".new", "w") as out:
            json.dump(self.settings, out)
        os.rename(self.config + ".new", self.config)

    async def start(self, environment=None, listener=None, ready_wait=10.0, ready=True):
        """A port that another process has taken meanwhile is replaced by another one."""
        for _ in range(5):
            await self._start(environment, listener)
            try:
                if ready:
                    await self.wait_ready(ready_wait)
                return
            except CannotRun:
                if not self.alive():
                    await self.log_task
                if self.alive() or listener or not any("Address already in use" in line for line in self.log):
                    raise
                self.log.clear()
                self.port = free_port()
                self.settings["listen"] = "%s:%d" % (HOST, self.port)
                self._write_config()
        raise CannotRun("no port to listen on")

    async def _start(self, environment, listener):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
            run = [line.split('"')[1] for line in deploy if line.startswith("run = ")][0]
        program = os.path.join(ROOT, run.split()[1])
        if not os.path.exists(program):
            raise CannotRun("the program is not built")
        env = dict(os.environ, RELAY_CONFIG=self.config, RELAY_NAME=self.name,
                   RELAY_LISTEN="%s:%d" % (HOST, self.port), TMPDIR=self.folder, **(environment or {}))

        def hand_down():
            os.dup2(listener.fileno(), 4)
            os.set_inheritable(4, True)

        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            pass_fds=(4,) if listener else (), preexec_fn=hand_down if listener else None)
        self.record.add("manager", self.name, "started pid", self.process.pid)
        self.log_task = asyncio.ensure_future(self._read_log())

    async def _read_log(self):
        async for line in self.process.stdout:
            text = line.decode(errors="replace").rstrip()
            self.log.append(text)
            self.record.add("log", self.name, text)
        status = await self.process.wait()
        self.record.add("manager", self.name, "ended with", status)

    async def wait_ready(self, wait=10.0):
        until = time.time() + wait
        while time.time() < until and self.alive():
            try:
                client = await Client(self.record, "probe").connect(self.port)
                able = await client.probe()
                client.close()
                if able:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the program did not become ready")

    def signal(self, number):
        self.record.add("manager", self.name, "is sent", signal.Signals(number).name)
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.alive():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
            await self.log_task


def run(case, folder, limit_s=110):
    """Plays `case(record, temporary folder, managers)`, which returns the list of what broke the rule. Exits."""
    record = Record()
    managers = []
    temporary = tempfile.mkdtemp(prefix="review-")

    async def play():
        try:
            return await asyncio.wait_for(case(record, temporary, managers), limit_s)
        finally:
            for manager in managers:
                await manager.end()

    def told_to_end(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, told_to_end)
    try:
        broken = asyncio.run(play())
        status = 1 if broken else 0
        for line in broken:
            record.add("BROKEN", line)
        record.add("verdict:", "the rule was broken" if broken else "the rule held")
    except (CannotRun, OSError, asyncio.TimeoutError, KeyboardInterrupt) as problem:
        broken, status = [], 2
        record.add("verdict: the case could not run:", repr(problem))
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write(folder)
    for line in broken[:10]:
        print("broken:", line)
    if len(broken) > 10:
        print("... and %d more" % (len(broken) - 10))
    print(record.lines[-1].split(None, 1)[1])
    sys.stdout.flush()
    os._exit(status)  # all processes have ended; what is left are sockets of this process
