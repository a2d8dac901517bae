"""Discovery is slow: each call for events waits some seconds in line. The program hears of no event any more."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import CannotRun, Client, Engine, Feed, HOST, Manager, TROUBLE, run, target  # noqa: E402

LINE_S = 5.5    # what a call waits in line before its answer begins; then events and comments come at once
TOLD_S = 7.0    # whatever the control feed has to tell counts as told no later than this
GRACE_S = 0.25  # nothing new to a draining engine later than this after it was told
SLACK_S = 0.05  # on sockets each time limit is 50 ms longer


class SlowFeed(Feed):
    """Serves its callers in turn. Who hangs up and calls again stands at the end of the line."""

    async def _watch(self, reader, writer):
        call = self.record.add("feed a call comes")
        if TROUBLE:
            await asyncio.sleep(LINE_S)
        self.record.add("feed answers the call that came %.3f s ago" % (time.time() - call))
        await super()._watch(reader, writer)


async def patient_caller(record, feed, number):
    """Another caller of the feed, which waits for its turn. Returns when it hears of event `number`."""
    reader, writer = await asyncio.open_connection(HOST, feed.port)
    writer.write(b"GET /v1/events HTTP/1.1\r\nHost: feed\r\nLast-Event-ID: %d\r\n\r\n" % (number - 1))
    while True:
        line = await reader.readline()
        if not line:
            raise CannotRun("the feed closed")
        if line.startswith(b"id: %d" % number):
            return record.add("another caller of the feed hears of event", number)


async def case(record, folder, managers):
    engines = [await Engine(record, "engine-%d" % i, work_s=0.1).start() for i in range(4)]
    feed = await SlowFeed(record).start()
    feed.event([target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder)
    managers.append(manager)
    manager.configure(feed.known(), feed.port)
    await manager.start()
    client = await Client(record, "client").connect(manager.port)
    other = asyncio.ensure_future(patient_caller(record, feed, 2))
    await asyncio.sleep(1)

    told = time.time()
    feed.event([target(engines[0], "draining")])
    while time.time() < told + 20:
        client.send("nom-lookup", "select * from sales_%d.orders" % (int(time.time() * 20) % 9), 4000, ms=100)
        await asyncio.sleep(0.05)

    if not manager.alive():
        return ["the program ended"]
    if not other.done() or other.result() > told + TOLD_S:
        raise CannotRun("the feed told nobody in time")
    if not any(request.word == "served" for request in client.requests.values()):
        raise CannotRun("nothing was served")
    return ["%s was sent to the draining engine %.3f s after the event was in the feed" % (attempt.id, attempt.at - told)
            for attempt in engines[0].attempts if attempt.at > told + TOLD_S + GRACE_S + SLACK_S]


run(case, os.path.dirname(os.path.abspath(__file__)))
