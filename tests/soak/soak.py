"""Soak of `yokestream serve` as a real process over loopback: seeded random clients, engine faults and signals.

Each seed starts one process, plays traffic, sends a series of signals and SIGTERM, and kills the process as early as
the protocol page allows. Clients go on using their open connections until then. Checked on what the stand-ins
recorded: each request gets exactly one response in time, unless it crossed the end of its connection; no request has
more than four attempts; a load that may have run is not sent again.

    soak.py PROGRAM FIRST_SEED COUNT [JOBS]      exit status 1: a seed failed; its lines say how
"""
import asyncio
import logging
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from parties import LOAD, Lag, Manager, Plan, SoakClient, engine_behaviour, harness

CROSSING_S = 0.05         # a request that crosses a close within it is sent again
LATE_S = 0.55             # a response that is later than this after its time is lost
CONNECT_UNTIL_S = 0.3     # new connections after SIGTERM
MAX_ATTEMPTS = 4
SEED_LIMIT_S = 60

logging.getLogger("asyncio").setLevel(logging.ERROR)  # a write to a closed connection is not worth a line


def broken_rules(clients, engines, lag, signalled_at):
    """The lines that say which rule was broken."""
    out = []
    for client in clients:
        for request in client.requests.values():
            limit = request.sent_at + request.timeout_ms / 1000 + LATE_S
            limit += lag.worst(request.sent_at, limit)
            what = "%s %s of %s, open %%.3f s%%s" % (request.method, request.id, client.name)
            if len(request.answers) > 1:
                out.append(what % (0, ": %d responses" % len(request.answers)))
            elif request.answers and request.answers[0][0] > limit:
                out.append(what % (request.answers[0][0] - request.sent_at, ": answered late"))
            elif not request.answers and request.given_up_at is None:
                ended = client.closed_at or time.time()
                open_s = ended - request.sent_at
                if client.closed_at is None or open_s > CROSSING_S + lag.worst(request.sent_at, ended):
                    out.append(what % (open_s, ": no response, %s %.3f s after SIGTERM" % (
                        "connection ended" if client.closed_at else "still open", ended - signalled_at)))
    attempts = {}
    for engine in engines:
        for attempt in engine.attempts:
            attempts.setdefault(attempt.id, []).append(attempt)
    loads = {r.id for client in clients for r in client.requests.values() if r.method == LOAD}
    for ident, tried in attempts.items():
        if len(tried) > MAX_ATTEMPTS:
            out.append("%s: %d attempts" % (ident, len(tried)))
        may_have_run = [a for a in sorted(tried, key=lambda a: a.at)[:-1] if a.ended != "overload"]
        if ident in loads and may_have_run:
            out.append("%s: a load was sent again after '%s'" % (ident, may_have_run[0].ended))
    return out


async def send_signals(manager, signals):
    for number in signals:
        manager.signal(number)
        if number == signal.SIGSTOP:
            await asyncio.sleep(0.03)
            manager.signal(signal.SIGCONT)
        await asyncio.sleep(0.02)


async def play(seed, program, folder):
    plan, record, lag = Plan(seed), harness.Record(), Lag()
    engines = [harness.Engine(record, "engine-%d" % i) for i in range(plan.engines)]
    for i, engine in enumerate(engines):
        engine.behave = engine_behaviour(plan, i < plan.hanging)(engine)
        await engine.start()
    feed = await harness.Feed(record).start()
    feed.event([harness.target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder, program)
    manager.configure(feed.known(), feed.port, tell=plan.settings(),
                      limits={"cores": 1.0, "memory_mb": 64, "sockets": plan.sockets})
    await manager.start()
    record.kept.append(asyncio.ensure_future(lag.run()))
    stop_connecting_at = [float("inf")]
    clients = [SoakClient(record, "client-%d" % i, plan, random.Random(plan.draw.random()))
               for i in range(plan.clients)]
    tasks = [asyncio.ensure_future(c.play(manager.port, lambda: time.time() < stop_connecting_at[0])) for c in clients]
    idle = [await harness.Client(record, "idle-%d" % i).connect(manager.port) for i in range(plan.crowd)]
    await asyncio.sleep(plan.traffic_s)
    await send_signals(manager, plan.signals)
    manager.signal(signal.SIGTERM)
    signalled_at = time.time()
    stop_connecting_at[0] = signalled_at + CONNECT_UNTIL_S
    await send_signals(manager, [number for number in plan.late_signals if manager.alive()])
    killed_at = None
    try:
        await asyncio.wait_for(manager.process.wait(), signalled_at + plan.kill_after_s() - time.time())
    except asyncio.TimeoutError:
        killed_at = time.time()
        manager.signal(signal.SIGKILL)
    await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    await manager.end()
    status = "killed" if killed_at else "status %s after %.2f s" % (manager.process.returncode, time.time() - signalled_at)
    broken = broken_rules(clients, engines, lag, signalled_at)
    if not killed_at and manager.process.returncode != 0:
        broken.append("the program ended with %s" % manager.process.returncode)
    answered = sum(len(r.answers) for c in clients for r in c.requests.values())
    print("seed %d: deadline %.1f s, %d of %d engines hang, crowd %d, %s, %d responses, idle closed %d, worst lag %.3f s: "
          "%d broken" % (seed, plan.deadline_s, plan.hanging, plan.engines, plan.crowd, status, answered,
                         sum(c.closed_at is not None for c in idle), max(s for _, s in lag.late), len(broken)))
    for line in broken[:6]:
        print("  " + line)
    if broken:
        print("".join("  log: %s\n" % line for line in manager.log[-15:]), end="")
    if broken and os.environ.get("SOAK_RECORDS"):
        record.write(os.environ["SOAK_RECORDS"])
    sys.stdout.flush()
    shutil.rmtree(folder, ignore_errors=True)
    os._exit(1 if broken else 0)  # without the ends of this process's own sockets


def run_seed(seed, program):
    folder = tempfile.mkdtemp(prefix="soak-")
    try:
        asyncio.run(asyncio.wait_for(play(seed, program, folder), SEED_LIMIT_S))
    finally:
        os._exit(2)


def main(program, first, count, jobs=1):
    failed, running = [], {}
    for seed in list(range(first, first + count)) + [None] * jobs:
        while running and (seed is None or len(running) >= jobs):
            pid, status = os.wait()
            if status != 0:
                failed.append(running[pid])
            del running[pid]
        if seed is None:
            continue
        pid = os.fork()
        if pid == 0:
            run_seed(seed, os.path.abspath(program))
        running[pid] = seed
    print("%d passed, %d failed" % (count - len(failed), len(failed)) + (": seeds %s" % sorted(failed) if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], *map(int, sys.argv[2:])))
