"""Bad clients send hundreds of requests at once; a usual client's load of 48 KB is read only in part, and is lost."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import CannotRun, Client, Engine, Feed, Manager, TROUBLE, pack, run, target  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
BAD_CLIENTS = 100
USUAL_CLIENTS = 33
REQUESTS = 600          # "hundreds of requests at once"
GAP_S = 0.0053          # between two bad clients
TIMEOUT_MS = 20000      # nom-load: given up after 80 to 100% of 25 s
STATEMENT_BYTES = 48000  # as long as the longest result
LATE_S = 0.5            # up to half a second after its time an answer only earns nothing


def load(number):
    statement = "insert into sales_%d.orders values (0, 'nomination')" % number
    row = ", (%d, 'nomination')"
    i = 1
    while len(statement) + len(row % i) <= STATEMENT_BYTES:
        statement += row % i
        i += 1
    return statement


def bad_requests():
    fields = {"req": os.urandom(8).hex(), "owner": "nobody"}
    return b"".join(pack([0, i, "nosuch", [fields, b"x"]]) for i in range(1, REQUESTS + 1))


async def case(record, folder, managers):
    engines = [await Engine(record, "engine-%d" % i, work_s=1.5).start() for i in range(4)]
    feed = await Feed(record).start()
    feed.event([target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder)
    managers.append(manager)
    manager.configure(feed.known(), feed.port, limits=LIMITS)
    await manager.start()

    usual = [await Client(record, "usual-%d" % i).connect(manager.port) for i in range(USUAL_CLIENTS)]
    first = [client.send("nom-lookup", "select * from sales_1.orders", 4000, ms=100) for client in usual]
    await asyncio.wait([request.done for request in first], timeout=5)
    if any(request.word != "served" for request in first):
        raise CannotRun("the usual clients were not served before")
    bad = []
    if TROUBLE:
        data = bad_requests()
        bad = [await Client(record, "bad-%d" % i).connect(manager.port) for i in range(BAD_CLIENTS)]
        for client in bad:
            client._answer = lambda message: None  # it reads what it is sent and heeds nothing
            client.write(data)
            record.add("client", client.name, "sent", REQUESTS, "requests of a class that doesn't exist")
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(0.2)
    loads = []
    for i, client in enumerate(usual):
        loads.append(client.send("nom-load", load(i), TIMEOUT_MS, ms=1500))
        await asyncio.sleep(0.03)
    await asyncio.wait([request.done for request in loads], timeout=TIMEOUT_MS / 1000 + LATE_S)
    await asyncio.sleep(0.2)
    record.add("bad clients still connected:", sum(client.closed_at is None for client in bad))

    if not manager.alive():
        return ["the program ended"]
    broken = []
    for client, request in zip(usual, loads):
        if request.answers:
            continue
        if client.closed_at and client.closed_at - request.sent_at < 0.05:
            raise CannotRun("a request crossed the close of its connection")
        end = "its connection ended %.3f s after it was sent" % (client.closed_at - request.sent_at) \
            if client.closed_at else "its connection is still open"
        broken.append("%s of %s has no answer; %s" % (request.id, client.name, end))
    return broken


run(case, os.path.dirname(os.path.abspath(__file__)))
