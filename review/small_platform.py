"""Stand-ins for the independent review's scripts: the platform's store, engines, callers and nodes as processes, on loopback.

They do what ../given/kit/more/system/PROTOCOL.md says, and where it is silent they behave like a sound server, client or platform.
Only the standard library of Python is used.
"""
import base64
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "shelfjunction")
BEGUN = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - BEGUN


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (now(), text))
            self.file.flush()

    def close(self):
        self.file.close()


class Store:
    """The platform's store: rows with versions, transactions and a feed; linearizable, keeps its whole history."""

    def __init__(self):
        self.rows = {}  # (table, key) -> (value in base64, ver)
        self.history = []  # (ver, table, key, value or None)
        self.ver = 1
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                bytes_ = json.dumps(body).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(bytes_))
                self.wfile.write(head.encode() + bytes_)

            def do_GET(self):
                path, _, query = self.path.partition("?")
                from urllib.parse import parse_qs

                ask = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
                table = ask.get("table", "")
                if path.endswith("/rows-get"):
                    with store.changed:
                        names = sorted(k for t, k in store.rows if t == table)
                        low, high = ask.get("source", ""), ask.get("targetVersion", "")
                        names = [k for k in names if k >= low and (not high or k < high)]
                        limit = min(int(ask.get("limit", "500")), 500)
                        rows = [store.row(table, k) for k in names[:limit]]
                        self.answer(200, {"rows": rows, "more": len(names) > limit, "ver": store.ver, "now_ms": int(now() * 1000)})
                elif path.endswith("/rows-feed"):
                    after, until = int(ask.get("after", "0")), time.monotonic() + int(ask.get("waitMs", "0")) / 1000.0
                    with store.changed:
                        while True:
                            news = {}
                            for ver, t, k, value in store.history:
                                if t == table and ver > after:
                                    news[k] = (ver, value)
                            left = until - time.monotonic()
                            if news or left <= 0:
                                break
                            store.changed.wait(left)
                        rows = []
                        for k, (ver, value) in sorted(news.items(), key=lambda one: one[1][0]):
                            row = {"table": table, "part": "", "privateKey": k, "ver": ver}
                            row.update({"gone": True} if value is None else {"value": value})
                            rows.append(row)
                        self.answer(200, {"rows": rows, "ver": store.ver, "now_ms": int(now() * 1000)})
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", "0"))) or b"{}")
                if not self.path.endswith("/rows-tx"):
                    return self.answer(404, {})
                with store.changed:
                    for one in body.get("expected", []):
                        name = (one["table"], one["privateKey"])
                        if store.rows.get(name, (None, 0))[1] != one["ver"]:
                            rows = [store.row(e["table"], e["privateKey"]) for e in body["expected"]]
                            return self.answer(412, {"rows": rows, "ver": store.ver, "now_ms": int(now() * 1000)})
                    store.ver += 1
                    for one in body.get("put", []):
                        store.set(one["table"], one["privateKey"], one["value"])
                    for one in body.get("remove", []):
                        store.set(one["table"], one["privateKey"], None)
                    store.changed.notify_all()
                    self.answer(200, {"ver": store.ver, "now_ms": int(now() * 1000)})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, table, key):
        value, ver = self.rows.get((table, key), (None, 0))
        row = {"table": table, "part": "", "privateKey": key, "ver": ver}
        if value is not None:
            row["value"] = value
        return row

    def set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.history.append((self.ver, table, key, value))

    def put(self, table, key, value):
        """Writes a row as the operator and the engines do; the time of the acknowledgement."""
        with self.changed:
            self.ver += 1
            self.set(table, key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
        return now()


def read_head(stream, kept=b""):
    """A head of a message and what came behind it; None at the end of the connection."""
    while b"\r\n\r\n" not in kept:
        try:
            got = stream.recv(65536)
        except OSError:
            return None
        if not got:
            return None
        kept += got
    head, _, rest = kept.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


SETTINGS = """log_level = "info"

[node]
node = "%(name)s"
zone = "%(zone)s"
listen = "127.0.0.1:%(listen)d"
ready_listen = "127.0.0.1:%(ready)d"
peer_listen = "127.0.0.1:%(peer)d"
metrics_listen = "127.0.0.1:%(metrics)d"
processor_share = 0.25
store = "%(store)s"
retry_ratio = 0.2
retry_slack = 54
retry_window_seconds = 10
grace_seconds = 8
first_start = %(first)s

[node.topology.zones]
"zone-a" = "region-a"

[node.config_watch]
bound_millis = 2000

[node.routing]
pause_seconds = 0.3

[node.list_watch]
bound_millis = 2000
"""


class Node:
    """One `shelfjunction node` with the settings that deploy/settings.toml gives."""

    def __init__(self, name, store, folder, record, zone="zone-a", further_settings=""):
        self.name, self.store, self.folder, self.record, self.zone = name, store, folder, record, zone
        self.further_settings = further_settings
        self.listen, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.process = None

    def start(self, first):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as out:
            out.write(SETTINGS % dict(name=self.name, zone=self.zone, listen=self.listen, ready=self.ready, peer=self.peer,
                                      metrics=self.metrics, store=self.store, first="true" if first else "false"))
            out.write(self.further_settings)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "SHELFJUNCTION_CONFIG": path}
        self.process = subprocess.Popen([PROGRAM, "node"], stdout=log, stderr=log, cwd=ROOT, env=environment)
        log.close()
        self.record.say("%s started" % self.name)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 0.5) as one:
                one.settimeout(0.5)
                one.sendall(b"GET /shelfjunction/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return one.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def memory_mb(self):
        """Memory that the process holds."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                return int(re.search(r"VmRSS:\s+(\d+) kB", status.read()).group(1)) / 1024.0
        except (OSError, AttributeError):
            return 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
                self.process.wait(5)
            except (OSError, subprocess.TimeoutExpired):
                pass


class Engine:
    """A plain engine: one request at a time on a connection, any number of connections, an answer with its signature."""

    def __init__(self, name, record, service="app", zone="zone-a", work_s=0.02):
        self.name, self.record, self.service, self.zone, self.work_s = name, record, service, zone, work_s
        # How the engine reads bodies: bytes a second on each connection, or None for at once.
        self.reads_per_s = lambda: None
        self.lock = threading.Lock()
        self.received, self.runs, self.run_times, self.connections = [], [], [], 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, sequence):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6, "state": "ready",
                "coldRemainingMs": 0, "sequence": sequence}

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def read_body(self, connection, have, length):
        """Reads the rest of a body, as fast as the engine reads now; false where the connection ended."""
        while have < length:
            pace = self.reads_per_s()
            try:
                got = connection.recv(65536 if pace is None else min(65536, max(1024, int(pace / 20))))
            except OSError:
                return False
            if not got:
                return False
            have += len(got)
            if pace is not None:
                time.sleep(len(got) / pace)
        return True

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        rest = b""
        while True:
            got = read_head(connection, rest)
            if not got:
                return connection.close()
            first, headers, rest = got
            length = int(headers.get("content-length", "0"))
            request = headers.get("request-id")
            if headers.get("expected-instance", self.name) != self.name:
                answer = b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name.encode()
            elif request is None:
                body = json.dumps({"models": [], "utilization": False, "sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0,
                                   "kvTotal": 0, "handles": 0}).encode()
                answer = b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: %d\r\n\r\n" % (self.name.encode(), len(body)) + body
            else:
                with self.lock:
                    self.received.append(request)
                if not self.read_body(connection, len(rest), length):
                    return connection.close()
                rest = b""
                with self.lock:
                    self.runs.append(request)
                    self.run_times.append((now(), request))
                self.record.say("engine %s runs %s" % (self.name, request))
                time.sleep(self.work_s)
                answer = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s\r\nContent-Length: 2\r\n\r\nok" % (
                    request.encode(), self.name.encode())
            try:
                connection.sendall(answer)
            except OSError:
                return connection.close()


def keep_listed(store, engines, every_s=1.2):
    """The engines' heartbeats in the store."""

    def beat():
        sequence = 0
        while True:
            sequence += 1
            for engine in engines:
                store.put("servers", engine.name, engine.entry(sequence))
            time.sleep(every_s)

    threading.Thread(target=beat, daemon=True).start()


def run_case(folder, work):
    """Runs `work(record, temporary folder, trouble)`; its result is the exit code: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")
    nodes = []
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            record.say("target/release/shelfjunction is missing: build it first")
        else:
            code = work(record, temporary, trouble, nodes)
    except Exception as error:  # a stand-in that failed proves nothing
        record.say("could not run: %r" % error)
    finally:
        for node in nodes:
            node.end()
        record.say("exit %d, with%s the disruption" % (code, "" if trouble else "out"))
        record.close()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
