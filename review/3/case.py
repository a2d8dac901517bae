"""Bad clients send hundreds of requests at once; the platform kills what is over its memory limit."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from parts import *  # noqa: E402,F403
from wire import pack  # noqa: E402

MEMORY_MB = 32        # the pages: 32 to 192 MB
SOCKETS = 1024        # the pages: 256 to 1,024
BAD_CLIENTS = 120     # the pages: they connect by hundreds; clients hold a third of the descriptors at most
REQUESTS_AT_ONCE = 300  # the pages: hundreds of requests at once
UNKNOWN_FIELDS = 60
SECONDS = 6.0


def bad_request(call):
    """A request that no engine can use, as its class does not exist; its fields mean nothing to anybody."""
    fields = {"req": "%016x" % random.getrandbits(64), "timeout": "4000", "owner": "nobody"}
    fields.update({"x%02d" % n: "1" for n in range(UNKNOWN_FIELDS)})
    head = b"\x94\x00" + pack(call) + pack("no-such-class") + b"\x92\xde" + len(fields).to_bytes(2, "big")
    return head + b"".join(pack(k) + pack(v) for k, v in fields.items()) + pack(b"select 1")


async def bad_client(port, name, record, requests):
    """Sends at full speed and reads what it is sent."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(requests)
    record.write(name, "sent", requests=REQUESTS_AT_ONCE)
    answered = 0
    try:
        while data := await reader.read(65536):
            answered += len(data)
    except ConnectionError:
        pass
    finally:
        record.write(name, "ends", answered_bytes=answered)


async def usual_client(record, port, stop):
    """Sends a lookup every 50 ms, and now and then a load; returns the number of requests lost."""
    client = Client("usual", record, port)
    await client.connect()
    open_requests = []
    while record.now() < stop and client.closed is None:
        cls = "nom-load" if client.calls % 10 == 0 else "nom-lookup"
        open_requests.append(client.send(cls, "select 1 from sales_3.o", 4000)[1])
        await asyncio.sleep(0.05)
    words = await asyncio.gather(*(asyncio.wait_for(future, 6) for future in open_requests))
    client.writer.close()
    return words.count("lost")


def memory_kb(pid):
    """The memory that is the process's own: no page of a file counts."""
    with open("/proc/%d/status" % pid) as file:
        return next(int(line.split()[1]) for line in file if line.startswith("RssAnon:"))


async def platform(record, manager, stop):
    """Kills the workload manager once it is over its limit; returns the most that it used."""
    most = 0
    while record.now() < stop and manager.process.poll() is None:
        used = memory_kb(manager.process.pid)
        if used > most + 1024:
            record.write("platform", "memory", kb=used, limit_kb=MEMORY_MB * 1024)
        most = max(most, used)
        if used > MEMORY_MB * 1024:
            manager.signal(signal.SIGKILL)
            record.write("platform", "killed", cause="'over memory_mb'", kb=used)
            break
        await asyncio.sleep(0.02)
    return most


async def case(record, trouble, managers):
    requests = b"".join(bad_request(call) for call in range(1, REQUESTS_AT_ONCE + 1))
    engine = Engine("e1", record, lambda ident, cls, statement: (0.15, "served"))
    await engine.start()
    manager = Manager(record, site_settings(), [first_event([target("e1", engine.port)])],
                      limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    managers.append(manager)
    manager.start()
    if not await manager.ready():
        return NOT_RUN
    stop = record.now() + SECONDS
    watch = asyncio.ensure_future(platform(record, manager, stop))
    usual = asyncio.ensure_future(usual_client(record, manager.port, stop))
    await asyncio.sleep(1.0)
    if trouble:
        bad = [asyncio.ensure_future(bad_client(manager.port, "bad%d" % n, record, requests))
               for n in range(BAD_CLIENTS)]
    most = await watch
    ended = manager.process.wait() if most > MEMORY_MB * 1024 else manager.process.poll()
    lost = await usual
    if trouble:
        for task in bad:
            task.cancel()
    record.write("judge", "result", most_kb=most, limit_kb=MEMORY_MB * 1024, exit=ended, usual_lost=lost)
    return BROKEN if ended is not None or lost else HELD


run_case(FOLDER, case)
