"""Stand-ins for the parties that a workload manager talks to, and the manager's own process.

Every party writes what it sees into one Record, with the time since the start of the case in seconds.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from wire import Short, pack, read_resp, resp, unpack

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


class Record:
    """record.txt of a case: one line an event."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, what, **facts):
        at = self.now()
        told = " ".join("%s=%s" % (name, value) for name, value in facts.items())
        self.file.write("%9.4f %-12s %s %s\n" % (at, who, what, told))
        self.file.flush()
        return at


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Engine:
    """An engine that runs each query for as long as `plan` says and then answers with one row.

    plan(id, class, statement) returns (seconds, word): 'served', 'overload', 'crashed', or 'reset' (the
    connection is reset under the query). STOP and the end of a connection end the queries concerned.
    """

    def __init__(self, name, record, plan, progress_s=2.0):
        self.name, self.record, self.plan, self.progress_s = name, record, plan, progress_s
        self.runs = []  # (id, arrived): queries that began to run
        self.out = {}   # id -> task
        self.port = 0
        self.server = None

    async def start(self, sock=None):
        if sock is None:
            self.server = await asyncio.start_server(self.serve, HOST, 0)
        else:
            self.server = await asyncio.start_server(self.serve, sock=sock)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        mine = {}
        try:
            while (command := await read_resp(reader)) is not None:
                self.handle(writer, mine, [part.decode() for part in command])
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        for ident, task in mine.items():
            if not task.done():
                self.record.write(self.name, "given-up", id=ident, by="close")
                task.cancel()
        writer.close()

    def handle(self, writer, mine, command):
        word, ident = command[0], command[1]
        if word == "REQ":
            fields = dict(pair.split("=", 1) for pair in command[2].split(","))
            mine[ident] = asyncio.ensure_future(self.run(writer, ident, fields, command[3]))
        elif word == "STOP":
            self.record.write(self.name, "given-up", id=ident, by="STOP")
            if ident in mine:
                mine[ident].cancel()
        elif word == "HELO":
            writer.write(resp(ident, "green", "-", ""))

    async def run(self, writer, ident, fields, statement):
        arrived = self.record.write(self.name, "arrived", id=ident, profile=fields.get("profile"),
                                    max=fields.get("max"))
        seconds, word = self.plan(ident, fields.get("profile"), statement)
        if word != "overload":
            self.runs.append((ident, arrived))
        left = seconds
        while left > 0:
            step = min(left, self.progress_s)
            await asyncio.sleep(step)
            left -= step
            if left > 0:
                share = 1 - left / seconds
                writer.write(resp(ident, "update", "remark=progress,datum=%.3f" % share, ""))
        self.record.write(self.name, "ended", id=ident, word=word)
        if word == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        elif word == "served":
            writer.write(resp(ident, word, "total=1,elapsed=%.1f,rss=8,report=queue:0;inflight:1;x0:0.1"
                              % (seconds * 1000), "a\tb\tc\n"))
        else:
            writer.write(resp(ident, word, "-", ""))


class Client:
    """One connection of a client."""

    def __init__(self, name, record, port):
        self.name, self.record, self.port = name, record, port
        self.calls = 0
        self.open = {}     # call -> (id, future)
        self.answers = {}  # id -> list of (time, word)
        self.closed = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())

    def send(self, cls, statement, timeout_ms, owner="acme", work_ms=150.0, ident=None):
        """Sends a request; returns its id and a future of the answer's word ('lost' if there is none)."""
        self.calls += 1
        ident = ident or "%016x" % random.getrandbits(64)
        fields = {"req": ident, "timeout": str(timeout_ms), "owner": owner, "ms": str(work_ms), "mb": "8"}
        future = asyncio.get_running_loop().create_future()
        self.open[self.calls] = (ident, future)
        self.record.write(self.name, "sent", id=ident, cls=cls, timeout=timeout_ms)
        self.writer.write(pack([0, self.calls, cls, [fields, statement.encode()]]))
        return ident, future

    def give_up(self, ident):
        """Takes a request back; returns the time."""
        call = next(call for call, (known, _) in self.open.items() if known == ident)
        _, future = self.open.pop(call)
        self.writer.write(pack([2, "giveUp", [call]]))
        if not future.done():
            future.set_result("given up")
        return self.record.write(self.name, "giveUp", id=ident)

    async def probe(self):
        self.calls += 1
        future = asyncio.get_running_loop().create_future()
        self.open[self.calls] = ("probe", future)
        self.writer.write(pack([0, self.calls, "probe", [{}]]))
        return await future

    async def read(self):
        data = b""
        try:
            while more := await self.reader.read(65536):
                data += more
                while data:
                    try:
                        message, at = unpack(data)
                    except Short:
                        break
                    data = data[at:]
                    self.handle(message)
        except (ConnectionError, ValueError) as problem:
            self.record.write(self.name, "connection-broken", cause=repr(problem))
        self.closed = self.record.write(self.name, "connection-ended", open=len(self.open))
        for ident, future in self.open.values():
            if not future.done():
                future.set_result("lost")

    def handle(self, message):
        _, call, error, result = message
        word = "served" if error is None else error[0]
        known = self.open.pop(call, None)
        ident = known[0] if known else "unknown"
        facts = {} if error is None else dict(error[1])
        at = self.record.write(self.name, "answer", id=ident, word=word, **facts)
        self.answers.setdefault(ident, []).append((at, word))
        if known and not known[1].done():
            known[1].set_result(result[0] if ident == "probe" and result else word)

    def close(self):
        self.writer.close()
        return self.record.write(self.name, "closed")


class Feed:
    """The control feed: numbered events, sent to each connection after the number that it names."""

    def __init__(self, record, events):
        self.record, self.events = record, list(events)
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, targets, whole=False):
        """Adds an event; returns the time at which it is told."""
        number = self.events[-1]["n"] + 1
        self.events.append({"n": number, "members": {"rev": number, "all": whole, "targets": targets}})
        self.changed.set()
        self.changed = asyncio.Event()
        states = ",".join("%s:%s" % (t["uid"], t["state"]) for t in targets)
        return self.record.write("feed", "told", n=number, states=states)

    async def serve(self, reader, writer):
        try:
            last = 0
            while (line := (await reader.readline()).strip()):
                if line.lower().startswith(b"last-event-id:"):
                    last = int(line.split(b":")[1])
            self.record.write("feed", "asked", after=last)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            while True:
                for event in self.events:
                    if event["n"] > last:
                        last = event["n"]
                        writer.write(b"id: %d\ndata: %s\n\n" % (last, json.dumps(event).encode()))
                await writer.drain()
                try:
                    await asyncio.wait_for(self.changed.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b": alive\n\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass


def target(uid, port, state="up", kind="eng-8c", boot_ms=0):
    return {"uid": uid, "endpoint": "%s:%d" % (HOST, port), "az": "dc1", "model": kind, "pod_group": 0,
            "state": state, "capacity_hint": 1, "boot_ms": boot_ms}


def first_event(targets):
    return {"n": 1, "members": {"rev": 1, "all": True, "targets": targets}}


class Manager:
    """A workload manager as the deploy file's `run` starts it."""

    def __init__(self, record, settings, known, feed_port=None, limits=None, management=False, name="n1"):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="yokestream-review-")
        self.port = free_port()
        self.config = {"name": name, "listen": "%s:%d" % (HOST, self.port), "seed": "8c1f30d27a5be964",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": {"n": known[-1]["n"], "events": known}, "settings": settings}
        if feed_port:
            self.config["feed"] = "%s:%d" % (HOST, feed_port)
        self.management = free_port() if management else None
        if management:
            self.config["management"] = "%s:%d" % (HOST, self.management)
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(path + ".new", path)
        return path

    def start(self, pass_fds=(), extra=None):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = next(line for line in file if line.startswith("run = ")).split('"')[1]
        temporary = os.path.join(self.folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN=self.config["listen"],
                           RELAY_CONFIG=self.write_config(), TMPDIR=temporary, **(extra or {}))
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, pass_fds=pass_fds)
        self.record.write(self.name, "started", pid=self.process.pid)
        return self.process

    async def ready(self, limit_s=10):
        """Waits until it answers a probe with true."""
        for _ in range(int(limit_s * 20)):
            client = Client("front", self.record, self.port)
            try:
                await client.connect()
                if await asyncio.wait_for(client.probe(), 1) is True:
                    client.close()
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record.write(self.name, "signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def stop(self):
        """Ends the process, whatever its state, and removes its folder."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def site_settings(**changes):
    """The settings of a small deployment: those that the wire's page shows, with one or two managers."""
    def cls(name, deadline_s, promise_s, worth, idempotency, stretch):
        return {"Name": name, "Deadline": int(deadline_s * 1e9), "Promise": int(promise_s * 1e9),
                "AimStretch": stretch, "Group": "all", "Idempotency": idempotency, "LateWorth": 0.1,
                "RepeatWindow": 5000000000, "Streamed": False, "Worth": worth}

    settings = {
        "Allowed": {"Cancel": True, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "DialTimeout": 250000000,
                    "IdleClose": 30000000000, "MaxRetryAfter": 2000000000, "OpenCap": 20000,
                    "ParallelTries": False, "PeerMessages": False, "Probes": False, "RetryAfter": True,
                    "SendCap": 4, "StreamsPerConn": 100},
        "Classes": [cls("nom-lookup", 4, 0.8, 1.0, "idempotent", 2.0),
                    cls("balance-report", 25, 3, 8.0, "idempotent", 2.5),
                    cls("nom-load", 25, 4, 8.0, "at_most_once", 2.5)],
        "Discovery": "pushed", "Family": "queries",
        "FamilyInfo": {"Bills": True, "CpuOfKind": [8, 16], "Dop": [1, 2, 2], "Grants": False,
                       "LanesCount": True, "MaxGrantShare": 0.4, "MemoryByKindMb": [16384.0, 32768.0],
                       "NotePeriod": 2000000000, "OutOfMemory": "queue",
                       "WaitsForLoads": [False, False, False], "WritesTables": [False, False, True]},
        "Granularity": 5000000, "GroupSize": 1, "HostTypes": ["eng-8c", "eng-16c"], "MyNumber": 0, "MyZone": 0,
        "Orgs": [{"Name": "acme", "QuotaPerS": 0.0, "Share": 1.0}], "OverShareWorth": 0.1,
        "Report": {"Fields": ["queue", "inflight", "x0"], "How": "piggyback"},
        "Safety": {"AnswerSlack": 20000000, "AskWithin": 10000000000, "Cold": 14000000000,
                   "DrainGrace": 250000000, "ExtraRatio": 0.2, "MinExtra": 5.0, "RatioSpan": 5000000000,
                   "StartCapacity": 0.34, "TipAfter": 3000000000, "TipMultiple": 2.5},
        "Weights": "nominal", "Zones": ["dc1"]}
    for path, value in changes.items():
        at = settings
        *above, last = path.split("__")
        for key in above:
            at = at[int(key) if isinstance(at, list) else key]
        at[last] = value
    return settings


HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(folder, case, limit_s=100):
    """Runs `case(record, trouble, managers)`, a coroutine that returns an exit status, and exits with it.

    Every process that the case appends to `managers` is ended, however the case ends.
    """
    record = Record(folder)
    managers = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", "begins", trouble=trouble)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status = NOT_RUN
    try:
        status = asyncio.run(asyncio.wait_for(case(record, trouble, managers), limit_s))
    except Exception as problem:  # whatever kept the case from running
        record.write("case", "could-not-run", cause=repr(problem))
    finally:
        for manager in managers:
            manager.stop()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
    record.write("case", "ends", status=status, meaning="'%s'" % words[status])
    print(words[status])
    sys.exit(status)
