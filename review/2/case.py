"""A load of a class that engines deduplicate is sent again after its window for repeats has passed."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from parts import *  # noqa: E402,F403

WINDOW_S = 5.0        # Classes[].RepeatWindow
SLACK_S = 0.05        # "each time limit is 50 ms longer"
RESET_AFTER_S = 4.85  # the connection is reset this long after the load began
HOLD_FROM_S, HOLD_UNTIL_S = 4.6, 5.4  # connections that are begun in this time come up some 1 s late
LOAD = "insert into sales_1.orders select * from staging.orders"


class SlowDoor:
    """The listener of an engine. While it is held, no new connection comes up: its accept queue is full, so the
    kernel drops the caller's first SYN, and the next one comes 1 s later."""

    def __init__(self, engine, record):
        self.engine, self.record = engine, record
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(128)
        self.sock.setblocking(False)
        engine.port = self.sock.getsockname()[1]
        self.fillers = []
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.sock)
            protocol = asyncio.StreamReaderProtocol(asyncio.StreamReader(), self.engine.serve)
            await loop.connect_accepted_socket(lambda p=protocol: p, connection)

    def hold(self):
        self.task.cancel()
        self.sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.engine.port))
            self.fillers.append(filler)
        self.record.write(self.engine.name, "holds-new-connections")

    def release(self):
        for filler in self.fillers:
            filler.close()
        self.sock.listen(128)
        self.task = asyncio.ensure_future(self.accept())
        self.record.write(self.engine.name, "accepts-again")


class Deduplicating(Engine):
    """Discards a repeat of a request within the window, counted from the first attempt that may have run.

    What the engines remember is shared, as the settings' group is `all`."""
    first_seen = {}  # id -> time
    executed = []    # (id, time), of loads

    async def run(self, writer, ident, fields, statement):
        if fields["profile"] != "nom-load":
            return await super().run(writer, ident, fields, statement)
        now = self.record.now()
        first = self.first_seen.setdefault(ident, now)
        if first < now < first + WINDOW_S:
            self.record.write(self.name, "discarded", id=ident, age="%.3f" % (now - first))
            writer.write(resp(ident, "served", "total=1", "a\tb\tc\n"))
            return None
        self.executed.append((ident, self.record.write(self.name, "executes", id=ident)))
        return await super().run(writer, ident, fields, statement)


async def case(record, trouble, managers):
    def plan(ident, cls, statement):
        if cls != "nom-load":
            return 8.0, "served"
        first = sum(1 for known, _ in Deduplicating.executed if known == ident) == 1
        if not first:
            return 0.5, "served"
        return RESET_AFTER_S, "reset" if trouble else "served"

    engines = [Deduplicating("e1", record, plan), Deduplicating("e2", record, plan)]
    doors = [SlowDoor(engine, record) for engine in engines]
    settings = site_settings(Classes__2__Idempotency="deduplicated", Classes__2__RepeatWindow=int(WINDOW_S * 1e9),
                             Allowed__DialTimeout=2000000000)
    manager = Manager(record, settings, [first_event([target(engine.name, engine.port) for engine in engines])])
    managers.append(manager)
    manager.start()
    if not await manager.ready():
        return NOT_RUN
    client = Client("client", record, manager.port)
    await client.connect()
    load, answer = client.send("nom-load", LOAD, 25000, work_ms=2000 * RESET_AFTER_S)
    while not Deduplicating.executed and not answer.done():
        await asyncio.sleep(0.002)
    if answer.done():
        return NOT_RUN
    began = Deduplicating.executed[0][1]
    reports = [client.send("balance-report", "select * from sales_%d.orders" % n, 25000, work_ms=16000)[1]
               for n in range(2, 6)]
    await asyncio.sleep(HOLD_FROM_S)
    if trouble:
        for door in doors:
            door.hold()
        await asyncio.sleep(HOLD_UNTIL_S - HOLD_FROM_S)
        for door in doors:
            door.release()
    word = await asyncio.wait_for(answer, 20)
    await asyncio.wait_for(asyncio.gather(*reports), 20)
    sends = sorted(at - began for engine in engines for ident, at in engine.runs if ident == load)
    late = [age for age in sends if age > WINDOW_S + SLACK_S]
    executed = [at - began for ident, at in Deduplicating.executed if ident == load]
    record.write("judge", "result", answer=word, window=WINDOW_S, executed=["%.3f" % age for age in executed],
                 sent_after_the_window=["%.3f" % age for age in late])
    if trouble and any(RESET_AFTER_S < age < RESET_AFTER_S + 0.5 for age in sends):
        record.write("case", "no-late-connection")  # the kernel did not drop the first SYN
        return NOT_RUN
    return BROKEN if late else HELD


run_case(FOLDER, case)
