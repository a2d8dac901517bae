"""Two requests under one number: the number is answered twice, once as served."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from harness import CannotRun, Client, Engine, Feed, Manager, TROUBLE, pack, run, target  # noqa: E402


class CountingClient(Client):
    """Takes every answer as what it is: an answer to its number."""

    def _answer(self, message):
        _, number, error, result = message
        word = "served" if error is None else error[0]
        at = self.record.add("client", self.name, "was answered under number", number, word, repr(result or error))
        self.answers.append((at, number, word))

    async def connect(self, port):
        self.answers = []
        return await super().connect(port)


async def case(record, folder, managers):
    engines = [await Engine(record, "engine-%d" % i, work_s=0.2).start() for i in range(3)]
    feed = await Feed(record).start()
    feed.event([target(engine) for engine in engines], whole=True)
    manager = Manager(record, folder)
    managers.append(manager)
    manager.configure(feed.known(), feed.port)
    await manager.start()

    clients = []
    fields = {"req": os.urandom(8).hex(), "timeout": "4000", "owner": "oasis-gaz", "ms": "200.0", "mb": "16"}
    for name, second in (("with-probe", ["probe", [{}]]), ("with-query", ["nosuch", [fields, b"select 1"]])):
        client = await CountingClient(record, name).connect(manager.port)
        clients.append(client)
        request, data = client.call("nom-lookup", "select * from sales_3.orders", 4000, ms=200)
        number = request.number if TROUBLE else request.number + 1
        client.write(data + pack([0, number] + second))
        record.add("client", name, "sent", request.method, "under number", request.number, "and", second[0],
                   "under number", number)
    await asyncio.sleep(4)

    if not manager.alive():
        return ["the program ended"]
    broken = []
    for client in clients:
        words = {}
        for _, number, word in client.answers:
            words.setdefault(number, []).append(word)
        if not TROUBLE and len(words) != 2:
            raise CannotRun("a sound client got no answer")
        broken += ["%s: number %d was answered %s" % (client.name, number, " and ".join(each))
                   for number, each in words.items() if len(each) > 1]
    return broken


run(case, os.path.dirname(os.path.abspath(__file__)))
