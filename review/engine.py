"""A stand-in engine: one process that serves requests as PROTOCOL.md says under "Engines".

It answers one request at a time on a connection. By the last part of the path:

  whole    a short answer with a length
  long     the same after 10 s of work
  paced    an answer without a length: 20 pieces of 100 bytes, one each 100 ms, then the connection ends
  lasting  the same with 45 pieces
  events   the same as a stream of 20 events
  brief    a stream of 3 events in chunks; with --spoil N, each Nth is spoilt: behind its head come bytes that are no event, as fast as
           they are taken, for 12 s or until the connection is closed

It works on as many requests at once as it has slots; others wait in its queue. The head of paced and events comes at once, with the
engine's signature. Lines on standard output tell what arrives, what runs and how it ends.
"""

import argparse
import socket
import sys
import threading
import time

PIECES = 20
LASTING_PIECES = 45
PIECE_GAP = 0.1
BRIEF = 3
SPOILT_FOR = 12.0
LONG = 10.0
SHORT = 0.02


def say(text):
    print(text, flush=True)


def piece(number):
    return (b"%03d:" % number).ljust(99, b"x") + b"\n"


def event(number):
    return b"id: %d\ndata: piece %d of %d\n\n" % (number, number, PIECES)


def pieces_of(kind):
    return LASTING_PIECES if kind == "lasting" else PIECES


def whole_body(kind):
    if kind in ("paced", "lasting"):
        return b"".join(piece(number) for number in range(1, pieces_of(kind) + 1))
    if kind == "events":
        return b"".join(event(number) for number in range(1, PIECES + 1))
    return b"whole answer\n"


def is_closed(connection):
    """Whether the other side has closed; nothing else is due on the connection meanwhile."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


class Engine:
    def __init__(self, identifier, slots, spoil):
        self.identifier = identifier
        self.spoil = spoil
        self.briefs = 0
        self.slots = threading.Semaphore(slots)
        self.slot_count = slots
        self.running = 0
        self.lock = threading.Lock()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while self.serve_one(connection, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            # The stream holds the connection open as well.
            stream.close()
            connection.close()

    def serve_one(self, connection, stream):
        line = stream.readline().decode("latin-1").split()
        if len(line) < 3:
            return False
        method, path = line[0], line[1]
        headers = {}
        while True:
            text = stream.readline().strip().decode("latin-1")
            if not text:
                break
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        stream.read(int(headers.get("content-length", "0")))
        request = headers.get("request-id")
        if headers.get("expected-instance", self.identifier) != self.identifier:
            say(f"421 to {request or path}: {headers['expected-instance']} is expected")
            connection.sendall(self.head("421 Misdirected Request", request, length=0, extra=f"Instance-Id: {self.identifier}"))
            return True
        if not request:
            connection.sendall(self.head("404 Not Found", None, length=0))
            return True
        return self.run(connection, method, path, request)

    def head(self, status, request, length=None, extra=None, signed=False):
        lines = [f"HTTP/1.1 {status}"]
        if request:
            lines.append(f"Request-Id: {request}")
        if signed:
            lines.append(f"Response-Signature: sig-{self.identifier}-{request}")
            lines.append(f"Server-Load: {self.running},0,{self.slot_count}")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        if extra:
            lines.append(extra)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def run(self, connection, method, path, request):
        kind = path.split("?")[0].rsplit("/", 1)[-1]
        if not self.slots.acquire(blocking=False):
            say(f"{request} waits for a slot")
            while not self.slots.acquire(timeout=0.1):
                if is_closed(connection):
                    say(f"{request} is dropped from the queue: its connection is closed; it has not run")
                    return False
        with self.lock:
            self.running += 1
        say(f"runs {request} ({method} {path})")
        try:
            if kind == "brief":
                return self.run_brief(connection, request)
            if kind not in ("paced", "lasting", "events"):
                time.sleep(LONG if kind == "long" else SHORT)
                body = whole_body("whole")
                connection.sendall(self.head("200 OK", request, length=len(body), signed=True) + body)
                say(f"{request} ends well, {len(body)} bytes")
                return True
            # Without a length; the answer finishes when the connection ends.
            kind_line = "Content-Type: text/event-stream" if kind == "events" else None
            connection.sendall(self.head("200 OK", request, extra=kind_line, signed=True))
            make = event if kind == "events" else piece
            sent = 0
            for number in range(1, pieces_of(kind) + 1):
                time.sleep(PIECE_GAP)
                connection.sendall(make(number))
                sent += len(make(number))
                if number % 5 == 0:
                    say(f"{request}: piece {number} of {pieces_of(kind)} sent")
            say(f"{request} ends well, {sent} bytes")
            return False
        except OSError as error:
            say(f"{request} is dropped: {error}")
            return False
        finally:
            with self.lock:
                self.running -= 1
            self.slots.release()


    def run_brief(self, connection, request):
        with self.lock:
            self.briefs += 1
            is_spoilt = self.spoil > 0 and self.briefs % self.spoil == 0
        extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        connection.sendall(self.head("200 OK", request, extra=extra, signed=True))
        if is_spoilt:
            return self.send_spoilt(connection, request)
        for number in range(1, BRIEF + 1):
            time.sleep(SHORT)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event(number)), event(number)))
        connection.sendall(b"0\r\n\r\n")
        say(f"{request} ends well")
        return True

    def send_spoilt(self, connection, request):
        say(f"{request}: the answer is spoilt")
        until = time.monotonic() + SPOILT_FOR
        block = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        sent = 0
        try:
            while time.monotonic() < until:
                connection.sendall(block)
                sent += 0x4000
            say(f"{request}: the spoilt answer stops after {SPOILT_FOR} s, {sent} bytes")
        except OSError:
            say(f"{request}: its connection was closed after {time.monotonic() - until + SPOILT_FOR:.1f} s, {sent} bytes")
        return False


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--spoil", type=int, default=0)
    options = parser.parse_args()
    engine = Engine(options.id, options.slots, options.spoil)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", options.port))
    listener.listen(64)
    say("listens")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=engine.serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    sys.exit(main())
