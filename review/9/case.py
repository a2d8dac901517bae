"""Hundreds of requests are taken back at once; what was taken back still reaches engines seconds later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import CannotRun, Client, Engine, Feed, Manager, TROUBLE, pack, run, target  # noqa: E402

REQUESTS = 300 if TROUBLE else 24  # without the disruption: no more than one connection may have open
WORK_S = 1.5                       # the lower end of what a nom-load takes
GONE_S = 0.1                       # an attempt that begins later than this after the client has gone is a break
SLACK_S = 0.05                     # on sockets each time limit is 50 ms longer


async def case(record, folder, managers):
    engines = [await Engine(record, "engine-%d" % i, work_s=WORK_S).start() for i in range(6)]
    feed = await Feed(record).start()
    feed.event([target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder)
    managers.append(manager)
    manager.configure(feed.known(), feed.port)
    await manager.start()

    client = await Client(record, "client").connect(manager.port)
    requests, calls = [], b""
    for i in range(REQUESTS):
        request, data = client.call("nom-load", "insert into sales_%d.orders values (%d)" % (i % 9, i), 25000,
                                    ms=WORK_S * 1000)
        requests.append(request)
        calls += data
    client.write(calls)
    for request in requests:
        request.sent_at = record.add("client sent", request.id, request.method)
    client.write(b"".join(pack([2, "giveUp", [request.number]]) for request in requests))
    for _ in range(100):
        if client.writer.transport.get_write_buffer_size() == 0:
            break
        await asyncio.sleep(0.001)
    else:
        raise CannotRun("the system did not accept what the client wrote")
    for request in requests:
        request.given_up_at = record.add("client gave-up", request.id)
    await asyncio.sleep(10)

    if not manager.alive():
        return ["the program ended"]
    by_id = {request.id: request for request in requests}
    broken = []
    for engine in engines:
        for attempt in engine.attempts:
            after = attempt.at - by_id[attempt.id].given_up_at
            if after > GONE_S + SLACK_S:
                broken.append("%s began at %s %.3f s after it was taken back" % (attempt.id, engine.name, after))
    return broken


run(case, os.path.dirname(os.path.abspath(__file__)))
