#!/usr/bin/env python3
"""One client that sends at full speed, in a process of its own.

    flooder.py PORT UNTIL_UNIX_S new|served KIND     served: it sends sound queries first and awaits their results

KIND: unsound (unknown classes and tenants), sound, cancel (cancellations of nothing), taken (each request is taken
back at once). It reads what it is sent, and connects again when it is closed.
"""
import os
import socket
import struct
import sys
import threading
import time

SOUND = b"select * from sales_1.orders"
FIRST_NUMBER = 100  # the first requests of a served client have lower ones


def text(value):
    return bytes([0xa0 | len(value)]) + value.encode()


def call(number, method="nom-lookup", owner="souss-energie", statement=SOUND):
    fields = {"req": os.urandom(8).hex(), "timeout": "4000", "owner": owner}
    packed = b"".join(text(name) + text(value) for name, value in fields.items())
    return (b"\x94\x00\xce" + struct.pack(">I", number) + text(method) + b"\x92" + bytes([0x80 | len(fields)]) + packed +
            b"\xc4" + bytes([len(statement)]) + statement)


def cancel(number):
    return b"\x93\x02" + text("giveUp") + b"\x91\xce" + struct.pack(">I", number)


KINDS = {
    "unsound": lambda number: call(number, "class%d" % number, "name%d" % number, b"x"),
    "sound": call,
    "cancel": cancel,
    "taken": lambda number: call(number) + cancel(number),
}


def drain(connection):
    try:
        while connection.recv(1 << 16):
            pass
    except OSError:
        pass


def flood(connection, data, until):
    """Returns the bytes sent until the time is up or the connection ends."""
    sent = 0
    view = memoryview(data)
    while time.time() < until:
        try:
            at = sent % len(data)
            sent += connection.send(view[at:at + (1 << 20)])
        except socket.timeout:
            continue
        except OSError:
            break
    return sent


def main():
    port, until, served, kind = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3] == "served", sys.argv[4]
    data = b"".join(KINDS[kind](FIRST_NUMBER + i) for i in range(40000))
    sent = connections = 0
    while time.time() < until:
        try:
            connection = socket.create_connection(("127.0.0.1", port))
            connections += 1
            for i in range(3 if served else 0):
                connection.sendall(call(1 + i))
                connection.recv(4096)
        except OSError:
            continue
        threading.Thread(target=drain, args=(connection,), daemon=True).start()
        connection.settimeout(0.5)
        sent += flood(connection, data, until)
        connection.close()
    print("    the flooder sent %.1f MB on %d connections" % (sent / 1e6, connections), flush=True)
    os._exit(0)  # what is left are threads that read


if __name__ == "__main__":
    main()
