"""Who takes part in the soak: the plan of a seed, the program under test, clients and engines."""
import asyncio
import os
import random
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "common-2"))
import harness  # noqa: E402

MAX_OPEN_REQUESTS = 32    # on one connection, by the protocol
MAX_COUNTED_DEADLINE_S = 3
KILL_DELAY_S = 0.7        # from the longest deadline, after SIGTERM, to SIGKILL
TICK_S = 0.005
LOAD = "nom-load"
CLASSES = ("nom-lookup", "balance-report", LOAD)


class Plan:
    """What one seed plays."""

    def __init__(self, seed):
        draw = self.draw = random.Random(seed)
        self.deadline_s = draw.choice([0.3, 0.6, 1.0, 1.5, 3.0, 25.0])
        self.engines = draw.randint(2, 5)
        self.hanging = draw.randint(0, self.engines)
        self.failing = draw.random() * 0.3
        self.clients = draw.randint(4, 12)
        self.crowd = draw.choice([0, 0, 90])        # idle connections, of 96 places
        self.sockets = 256 if self.crowd else 1024
        self.traffic_s = draw.uniform(0.4, 2.5)
        self.signals = [draw.choice([signal.SIGHUP, signal.SIGSTOP]) for _ in range(draw.randint(0, 3))]
        self.late_signals = [draw.choice([signal.SIGHUP, signal.SIGTERM]) for _ in range(draw.randint(0, 3))]

    def settings(self):
        settings = harness.settings()
        for entry in settings["Classes"]:
            entry["Deadline"] = int(self.deadline_s * harness.S)
            entry["Promise"] = min(entry["Promise"], entry["Deadline"])
        return settings

    def kill_after_s(self):
        return min(self.deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S


class Manager(harness.Manager):
    """The program under test, started directly."""

    def __init__(self, record, folder, program):
        super().__init__(record, folder)
        self.program = program

    async def _start(self, environment, listener):
        self.process = await asyncio.create_subprocess_exec(
            self.program, "serve", env=dict(os.environ, RELAY_CONFIG=self.config, TMPDIR=self.folder),
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        self.log_task = asyncio.ensure_future(self._read_log())


class Lag:
    """How late this process's own loop was: what it delays must not count against the program."""

    def __init__(self):
        self.late = []  # (time, seconds)

    async def run(self):
        while True:
            due = time.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.late.append((time.time(), time.time() - due))

    def worst(self, start, end):
        return max((late for at, late in self.late if start <= at <= end + 2 * TICK_S), default=0)


class SoakClient(harness.Client):
    """A client that keeps to the protocol. `retries`: it repeats what is refused at once, under a new id."""

    def __init__(self, record, name, plan, draw):
        super().__init__(record, name)
        self.plan, self.draw = plan, draw
        self.window = draw.choice([1, 4, MAX_OPEN_REQUESTS])
        self.retries = draw.random() < 0.6
        self.pause_s = draw.choice([0, 0.01, 0.2])
        self.cancels = draw.random() < 0.3
        self.in_pieces = draw.random() < 0.3
        self.on_answer = self._repeat

    def open_requests(self):
        return [r for r in self.requests.values() if not r.answers and r.given_up_at is None]

    def ask(self):
        deadline_ms = max(50, int(self.plan.deadline_s * 1000 * self.draw.choice([0.5, 1])))
        request, data = self.call(self.draw.choice(CLASSES), "select * from sales_%d.orders" % self.draw.randint(1, 9),
                                  deadline_ms, ms=20)
        if self.in_pieces:
            self.write(data[:20])
            data = data[20:]
        self.write(data)
        request.sent_at = self.record.add("client", self.name, "sent", request.id, request.method)

    def _repeat(self, request, word):
        if word == "Shed" and self.retries and self.closed_at is None:
            asyncio.get_running_loop().call_soon(self._repeat_now)

    def _repeat_now(self):
        if self.closed_at is None and len(self.open_requests()) < MAX_OPEN_REQUESTS:
            self.ask()

    async def play(self, port, may_connect):
        """Until its connection ends. Then it connects again, while it may."""
        while may_connect():
            try:
                await self.connect(port)
            except OSError:
                return
            while self.closed_at is None:
                while len(self.open_requests()) < self.window and self.closed_at is None:
                    self.ask()
                    if self.pause_s:
                        break
                if self.cancels and self.draw.random() < 0.05 and self.open_requests():
                    self.give_up(self.draw.choice(self.open_requests()))
                await asyncio.sleep(self.pause_s + 0.002)
            return


def engine_behaviour(plan, hangs):
    """Returns a function that makes the behaviour of one engine."""
    draw = random.Random(plan.draw.random())

    def behave(engine):
        async def run(attempt):
            if hangs:
                return
            if draw.random() < plan.failing:
                engine.say(attempt, draw.choice(["overload", "crashed"]))
            elif await engine.work(attempt, draw.choice([0.002, 0.02, 0.1])):
                engine.serve_now(attempt, 0.02)
        return run
    return behave
