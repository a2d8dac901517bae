#!/usr/bin/env python3
"""A toy engine on 127.0.0.1:7001: it answers every statement with two rows in two pages."""
import socketserver


class Engine(socketserver.StreamRequestHandler):
    def command(self):
        head = self.rfile.readline()
        if not head:
            return None
        parts = []
        for _ in range(int(head[1:])):
            size = int(self.rfile.readline()[1:])
            parts.append(self.rfile.read(size + 2)[:-2].decode())
        return parts

    def answer(self, *parts):
        out = b"*%d\r\n" % len(parts)
        for part in parts:
            out += b"$%d\r\n%s\r\n" % (len(part.encode()), part.encode())
        self.wfile.write(out)

    def handle(self):
        while (command := self.command()) is not None:
            word, ident = command[:2]
            if word == "REQ":
                print("runs", command[3], flush=True)
                self.answer(ident, "served", "total=2,elapsed=5.0,rss=8,report=queue:0;inflight:1",
                            "one\ttwo\tthree\n")
            elif word == "FETCH":
                self.answer(ident, "rows", "index=" + command[2], "four\tfive\tsix\n")
            elif word == "HELO":
                self.answer(ident, "green", "-", "")


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    Server(("127.0.0.1", 7001), Engine).serve_forever()
