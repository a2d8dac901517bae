"""A client tells a wrong length: too short a body. What is left of its statement runs and is answered as served."""
import asyncio
import os
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import CannotRun, Client, Engine, Feed, Manager, TROUBLE, run, target  # noqa: E402

STATEMENT = "delete from sales_3.orders where id = 77"
CUT = len(" where id = 77")


async def case(record, folder, managers):
    engines = [await Engine(record, "engine-%d" % i, work_s=0.2).start() for i in range(3)]
    feed = await Feed(record).start()
    feed.event([target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder)
    managers.append(manager)
    manager.configure(feed.known(), feed.port)
    await manager.start()

    client = await Client(record, "client").connect(manager.port)
    request, data = client.call("nom-load", STATEMENT, 4000, ms=200)
    if TROUBLE:  # the body is told to be shorter than it is
        length = data.rindex(b"\xc6" + struct.pack(">I", len(STATEMENT))) + 1
        data = data[:length] + struct.pack(">I", len(STATEMENT) - CUT) + data[length + 4:]
    client.write(data)
    request.sent_at = record.add("client sent", request.id, "in one write, statement:", STATEMENT)
    await asyncio.sleep(4)

    if not manager.alive():
        return ["the program ended"]
    ran = [attempt for engine in engines for attempt in engine.attempts]
    for attempt in ran:
        record.add("an engine was sent", attempt.id, "statement:", attempt.body)
    if not TROUBLE:
        if request.word != "served":
            raise CannotRun("the sound request was not served")
        return ["an engine was sent another statement" for attempt in ran if attempt.body != STATEMENT]
    if request.word == "served":
        return ["the client that told a wrong length was answered 'served'; run was: %s" % ran[0].body]
    return []


run(case, os.path.dirname(os.path.abspath(__file__)))
