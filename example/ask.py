#!/usr/bin/env python3
"""Sends one statement to the workload manager on 127.0.0.1:6565 and prints the bytes of the answer."""
import os
import socket
import sys


def text(value):
    data = value.encode()
    return b"\xd9" + bytes([len(data)]) + data


def main():
    statement = (sys.argv[1] if len(sys.argv) > 1 else "select * from sales_17.orders").encode()
    fields = {"req": os.urandom(8).hex(), "timeout": "2000", "owner": "acme", "ms": "5.0", "mb": "8"}
    call = b"\x94\x00\x01" + text("lookup") + b"\x92" + bytes([0x80 | len(fields)])
    for name, value in fields.items():
        call += text(name) + text(value)
    call += b"\xc5" + len(statement).to_bytes(2, "big") + statement
    with socket.create_connection(("127.0.0.1", 6565)) as client:
        client.sendall(call)
        print(client.recv(65536))


if __name__ == "__main__":
    main()
