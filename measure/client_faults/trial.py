#!/usr/bin/env python3
"""Trials of the four pictures of issue 44, without the bench: bad clients and a reused engine address.

    cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4
    measure/client_faults/trial.py NAME...     names: the keys of TRIALS; none: all, one after the other

Each trial prints one line: peak memory of the program, the latest answer of a usual client, requests without an
answer, loads that ran twice, and attempts that began over 0.15 s after their client had gone.
"""
import asyncio
import os
import shutil
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "common-2"))
from harness import HOST, Client, Engine, Feed, Manager, Record, pack, target  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}  # the smallest memory of the pages
TROUBLE_S = 6.0
USUAL_CLIENTS = 8
GONE_S = 0.15  # an attempt that begins later than this after its client has gone breaks the rule
LOAD = "insert into sales_%d.orders values (0, 'nomination')"


class Pool:
    """The program with its engines, its feed and its usual clients."""

    def __init__(self, record, folder):
        self.record = record
        self.manager = Manager(record, folder)
        self.requests = []
        self.gone = {}  # request id: when its client had gone

    async def start(self, engines=4, work_s=0.1):
        self.engines = [await Engine(self.record, "engine-%d" % i, work_s=work_s).start() for i in range(engines)]
        self.feed = await Feed(self.record).start()
        self.feed.event([target(engine) for engine in self.engines], whole=True)
        self.manager.configure(self.feed.known(), self.feed.port, limits=LIMITS)
        await self.manager.start()
        return self

    async def usual_client(self, number, until):
        client = await Client(self.record, "usual-%d" % number).connect(self.manager.port)
        turn = 0
        while time.time() < until and client.closed_at is None:
            turn += 1
            if turn % 8 == 0:
                statement = LOAD % number + ", (1, 'nomination')" * 2400  # 48 KB
                request = client.send("nom-load", statement, 20000, ms=100)
            else:
                request = client.send("nom-lookup", "select * from sales_%d.orders" % number, 4000, ms=100)
            self.requests.append(request)
            await asyncio.wait([request.done], timeout=request.timeout_ms / 1000 + 0.5)
            await asyncio.sleep(0.05)

    def peak_memory_mb(self):
        with open("/proc/%d/status" % self.manager.process.pid) as status:
            peak = [line for line in status if line.startswith("VmHWM")][0]
        return int(peak.split()[1]) / 1024

    def twice(self):
        """Loads that a second attempt was sent for although the first may have run."""
        attempts = {}
        for engine in self.engines:
            for attempt in engine.attempts:
                if attempt.fields.get("profile") == "nom-load":
                    attempts.setdefault(attempt.id, []).append(attempt)
        return [ident for ident, found in attempts.items() if len(found) > 1]

    def late_attempts(self):
        return [attempt for engine in self.engines for attempt in engine.attempts
                if attempt.id in self.gone and attempt.at > self.gone[attempt.id] + GONE_S]

    def report(self, name):
        if not self.manager.alive():
            print("%-22s THE PROGRAM ENDED: %s" % (name, self.manager.log[-1:]))
            return
        waits = [request.answers[0][0] - request.sent_at for request in self.requests if request.answers]
        words = [request.word for request in self.requests]
        print("%-22s peak %5.1f MB; usual: %d served, %d refused, %d failed, %d without an answer; latest answer %.2f s; "
              "twice %d; after their client %d" %
              (name, self.peak_memory_mb(), words.count("served"), words.count("Shed"),
               sum(word not in ("served", "Shed", None) for word in words), words.count(None), max(waits, default=0),
               len(self.twice()), len(self.late_attempts())), flush=True)


async def beside_usual_clients(pool, trouble):
    until = time.time() + TROUBLE_S
    usual = [asyncio.ensure_future(pool.usual_client(i, until)) for i in range(USUAL_CLIENTS)]
    await asyncio.sleep(0.5)
    await trouble(pool, until)
    await asyncio.gather(*usual)


async def crowd(pool, until, first, then=b"", pause_s=0.5, count=300):
    """Each of `count` clients writes `first`, then a byte of `then` at a time, and connects again when it is closed."""
    async def one():
        while time.time() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, pool.manager.port)
                asyncio.ensure_future(reader.read(1 << 20))
                writer.write(first)
                for i in range(len(then)):
                    await asyncio.sleep(pause_s)
                    if time.time() > until or reader.at_eof():
                        break
                    writer.write(then[i:i + 1])
                while not reader.at_eof() and time.time() < until:
                    await asyncio.sleep(0.2)
                writer.close()
            except (ConnectionError, OSError):
                await asyncio.sleep(0.1)
    await asyncio.gather(*[one() for _ in range(count)])


def call(number, method="nom-lookup", statement=b"select 1", fields=None):
    known = {"req": os.urandom(8).hex(), "timeout": "4000", "owner": "souss-energie"}
    return pack([0, number, method, [known if fields is None else fields, statement]])


async def slow_writers(pool, until):
    await crowd(pool, until, call(1)[:40], call(1)[40:70])


async def half_of_large(pool, until):
    await crowd(pool, until, call(1, statement=b"x" * 60000)[:40000])


async def short_fields(pool, until):
    many = {"f%d" % i: "" for i in range(250)}
    await crowd(pool, until, b"".join(call(i, fields=many) for i in range(1, 400)) + call(1)[:30])


def full_speed(served, kind):
    """One client in a process of its own, so that it is not held up by the other parties (flooder.py)."""
    async def trouble(pool, until):
        flooder = os.path.join(os.path.dirname(os.path.abspath(__file__)), "flooder.py")
        process = await asyncio.create_subprocess_exec(sys.executable, flooder, str(pool.manager.port), str(until), served,
                                                       kind)
        await process.wait()
    return trouble


async def closes_with_unread(pool, until):
    """Clients that send hundreds of loads and close at once; some come again with the same ids."""
    while time.time() < until:
        client = await Client(pool.record, "leaves").connect(pool.manager.port)
        sent = [client.call("nom-load", LOAD % (i % 9), 25000, ms=100) for i in range(200)]
        client.write(b"".join(data for _, data in sent))
        await asyncio.sleep(0.02)
        client.close()
        for request, _ in sent:
            pool.gone.setdefault(request.id, time.time())
        again = await Client(pool.record, "again").connect(pool.manager.port)
        for request, _ in sent[:20]:
            pool.gone.pop(request.id)
            again.send("nom-load", LOAD % 1, 25000, ms=100, ident=request.id)
        await asyncio.sleep(0.5)
        again.close()


async def address_reused(pool, until):
    """Engines end and others come up at their addresses at once; the feed tells it 1 s later."""
    number = 0
    while time.time() < until:
        old = pool.engines[number % 4]
        port, number = old.port, number + 1
        await old.stop()
        new = await Engine(pool.record, "engine-%d-new" % number, work_s=0.1).start(port)
        pool.engines[(number - 1) % 4] = new
        pool.retired.append(old)
        await asyncio.sleep(1.0)
        removed = target(old, "removed")
        pool.feed.event([removed, target(new)])
        await asyncio.sleep(0.3)


TRIALS = {
    "a-slow-writers": slow_writers,
    "a-half-of-large": half_of_large,
    "a-short-fields": short_fields,
    "b-new-unsound": full_speed("new", "unsound"),
    "b-new-sound": full_speed("new", "sound"),
    "b-new-cancel": full_speed("new", "cancel"),
    "b-new-taken": full_speed("new", "taken"),
    "b-served-unsound": full_speed("served", "unsound"),
    "b-served-sound": full_speed("served", "sound"),
    "b-served-cancel": full_speed("served", "cancel"),
    "b-served-taken": full_speed("served", "taken"),
    "c-closes-with-unread": closes_with_unread,
    "d-address-reused": address_reused,
}


async def play(name, folder):
    record = Record()
    pool = Pool(record, folder)
    pool.retired = []
    try:
        await pool.start()
        await beside_usual_clients(pool, TRIALS[name])
        await asyncio.sleep(1.0)
        pool.engines += pool.retired
        pool.report(name)
    finally:
        await pool.manager.end()
    return record


def main():
    names = sys.argv[1:] or list(TRIALS)
    if len(names) > 1:  # each in a process of its own
        sys.exit(max(subprocess.run([sys.executable, __file__, name], check=False).returncode for name in names))
    folder = tempfile.mkdtemp(prefix="trial-")
    status = 0
    try:
        asyncio.run(asyncio.wait_for(play(names[0], folder), 120))
    except (OSError, asyncio.TimeoutError, RuntimeError) as problem:
        print("%-22s could not be played: %r" % (names[0], problem), flush=True)
        status = 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    os._exit(status)  # what is left are sockets of this process


if __name__ == "__main__":
    main()
