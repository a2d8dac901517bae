"""A client that has been turned away and then gives up early is not heard: its queries are sent all the same."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from parts import *  # noqa: E402,F403

GONE_AFTER_S = 0.1 + 0.05  # "more than 0.1 s later", "every time limit is 50 ms longer"
LOAD_S, LOOKUP_S = 2.0, 0.15
OPEN_AT_ONCE = 32          # the pages: at most 32 requests may be open on one connection
TRIES = 3                  # the pages: clients retry by themselves up to 2 times, on some days at once


async def impatient(client, trouble, taken_back):
    """One request and its retries. Without trouble the client keeps away as long as it is told."""
    for _ in range(TRIES):
        ident, future = client.send("nom-lookup", "select * from sales_3.orders", 3800)
        word = await future
        if word != "Shed" or taken_back:
            return word
        if not trouble:
            await asyncio.sleep(0.5)
    return word


async def case(record, trouble, managers):
    def plan(ident, cls, statement):
        return (LOAD_S, "served") if cls == "nom-load" else (LOOKUP_S, "served")

    engine = Engine("e1", record, plan)
    await engine.start()
    manager = Manager(record, site_settings(), [first_event([target("e1", engine.port)])])
    managers.append(manager)
    manager.start()
    if not await manager.ready():
        return NOT_RUN
    busy = Client("busy", record, manager.port)
    await busy.connect()
    loads = [busy.send("nom-load", "insert into sales_%d.orders select 1" % n, 25000, work_ms=2 * LOAD_S * 1000)[1]
             for n in range(8)]
    while len(engine.runs) < len(loads) and not any(load.done() for load in loads):
        await asyncio.sleep(0.005)
    if len(engine.runs) < len(loads):
        return NOT_RUN
    await asyncio.sleep(LOAD_S - 0.4)  # the engine is full for 0.4 s more
    client = Client("impatient", record, manager.port)
    await client.connect()
    taken_back = {}
    requests = [asyncio.ensure_future(impatient(client, trouble, taken_back)) for _ in range(OPEN_AT_ONCE)]
    if trouble:
        await asyncio.sleep(0.1)
        for ident, _ in list(client.open.values()):
            taken_back[ident] = client.give_up(ident)
    await asyncio.wait_for(asyncio.gather(*requests, *loads), 20)
    await asyncio.sleep(1.5)
    late = [(ident, at - taken_back[ident]) for ident, at in engine.runs
            if ident in taken_back and at - taken_back[ident] > GONE_AFTER_S]
    for ident, age in late:
        record.write("judge", "began-after-the-giveUp", id=ident, seconds="%.3f" % age)
    record.write("judge", "result", taken_back=len(taken_back), began_late=len(late),
                 served=sum(task.result() == "served" for task in requests))
    if trouble and not taken_back:
        return NOT_RUN
    return BROKEN if late else HELD


run_case(FOLDER, case)
