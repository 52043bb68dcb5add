"""Stand-ins for the users' platform: its store, a caller, and what starts the project's own node from the deploy file.

Everything runs on loopback addresses. The store speaks what PROTOCOL.md says under "The platform's metadata store", as far as a node
asks for it: rows-get, rows-feed and rows-tx.
"""

import base64
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:8.3f} s  {text}"
            print(line, file=self.file, flush=True)


def free_ports(count, addresses=("127.0.0.1",)):
    """Ports that are free on all the addresses."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Store:
    """Rows with versions, linearizable; keeps its whole history."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urlparse(self.path)
                query = {key: value[0] for key, value in parse_qs(url.query, keep_blank_values=True).items()}
                time.sleep(0.004)
                if url.path == "/shelfjunction/rows-get":
                    self.answer(200, store.get(query))
                elif url.path == "/shelfjunction/rows-feed":
                    self.answer(200, store.feed(query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                time.sleep(0.004)
                if urlparse(self.path).path == "/shelfjunction/rows-tx":
                    self.answer(*store.transact(json.loads(body)))
                else:
                    self.answer(404, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                # A node that ends leaves its connections.
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def write(self, table, key, value):
        """Writes a row as the operator and the engines do; None removes it. Returns when the store has it."""
        with self.changed:
            self.version += 1
            self.record(table, "", key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
            return self.version

    def touch(self, table, key, value):
        """A heartbeat: the row and the counter change, but not the entry ("the entry has changed when more than `sequence` differs")."""
        with self.changed:
            self.version += 1
            name = (table, "", key)
            if name in self.rows:
                self.rows[name] = (base64.b64encode(json.dumps(value).encode()).decode(), self.rows[name][1])

    def record(self, table, part, key, value):
        name = (table, part, key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    @staticmethod
    def row(name, value, version):
        row = {"table": name[0], "part": name[1], "privateKey": name[2], "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = value
        return row

    def get(self, query):
        with self.changed:
            table, part = query.get("table", ""), query.get("part", "")
            source, until = query.get("source", ""), query.get("targetVersion")
            limit = min(int(query.get("limit", "500")), 500)
            names = sorted(
                (
                    name
                    for name in self.rows
                    if name[:2] == (table, part)
                    and name[2].encode() >= source.encode()
                    and (until is None or name[2].encode() < until.encode())
                ),
                key=lambda name: name[2].encode(),
            )
            more = len(names) > limit
            rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
            return {"rows": rows, "more": more, "ver": self.version, "now_ms": self.now_ms()}

    def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        with self.changed:
            while True:
                last = {}
                for version, name, value in self.history:
                    if version > after and name[0] == table:
                        last[name] = (value, version)
                left = until - time.monotonic()
                if last or left <= 0:
                    rows = [self.row(name, *entry) for name, entry in last.items()]
                    rows.sort(key=lambda row: row["ver"])
                    return {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
                self.changed.wait(left)

    def transact(self, body):
        def named(row):
            return (row["table"], row.get("part", ""), row["privateKey"])

        with self.changed:
            for row in body.get("expected", []):
                if self.rows.get(named(row), (None, 0))[1] != row["ver"]:
                    found = [self.row(named(one), *self.rows.get(named(one), (None, 0))) for one in body["expected"]]
                    return 412, {"rows": found, "ver": self.version, "now_ms": self.now_ms()}
            self.version += 1
            for row in body.get("put", []):
                self.record(*named(row), row["value"])
            for row in body.get("remove", []):
                self.record(*named(row), None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self.now_ms()}


def fill_template(text, fields):
    """Fills a settings template as DEPLOY.md says: values, sections over lists and tables, sections on what is there."""

    def find(name, scopes):
        if name == ".":
            return scopes[-1][0]
        for value, _ in reversed(scopes):
            found = value
            for step in name.split("."):
                if isinstance(found, dict) and step in found:
                    found = found[step]
                elif isinstance(found, list) and step.isdigit() and int(step) < len(found):
                    found = found[int(step)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def shown(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(shown(one) for one in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    def expand(text, scopes):
        section = re.search(r"\{\{([#^])([^}]+)\}\}\n?", text)
        if section:
            kind, name = section.group(1), section.group(2)
            end = re.search(r"\{\{/" + re.escape(name) + r"\}\}\n?", text[section.end():])
            inner = text[section.end():section.end() + end.start()]
            rest = text[section.end() + end.end():]
            value = find(name, scopes)
            if kind == "^":
                middle = "" if value else expand(inner, scopes)
            elif isinstance(value, dict):
                middle = "".join(expand(inner, scopes + [(one, key)]) for key, one in value.items())
            elif isinstance(value, list):
                middle = "".join(expand(inner, scopes + [(one, index)]) for index, one in enumerate(value))
            else:
                middle = expand(inner, scopes) if value else ""
            return expand(text[:section.start()], scopes) + middle + expand(rest, scopes)

        def gap(match):
            name = match.group(1)
            if name == "@":
                return str(scopes[-1][1])
            as_json = name.endswith("|json")
            value = find(name.removesuffix("|json"), scopes)
            return json.dumps(value) if as_json else shown(value)

        return re.sub(r"\{\{([^}]+)\}\}", gap, text)

    return expand(text, [(fields, None)])


def deploy_command():
    """The command of the deploy file's only role."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]+)"', file.read(), re.MULTILINE).group(1).split()


class Node:
    """One process of the system on a loopback address of its own."""

    def __init__(self, folder, name, address, ports, zone, zones, store, record):
        self.name, self.address, self.record = name, address, record
        self.frontend = (address, ports[0])
        self.ready = (address, ports[1])
        self.folder = folder
        self.settings = os.path.join(folder, name + ".toml")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        self.fields = {
            "nodeName": name,
            "role": "node",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ipAddress": address,
            "zone": zone,
            "region": "si-central",
            "zones": {one: "si-central" for one in zones},
            "listenAddresses": {"frontend": "%s:%d" % self.frontend, "ready": "%s:%d" % self.ready},
            "internalPortRange": [ports[2], ports[3]],
            "initialStart": True,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "discovery": "platform",
            "heartbeatIntervalMs": 1200,
            "bounds": {
                "contactMs": 3000, "drainMs": 2000, "gracePeriodS": 8, "configurationMs": 2000, "retryBudgetRatio": 0.2,
                "budgetWindowS": 10, "budgetSlack": 56, "leaseMs": 3000, "thawMs": 300,
            },
            "platform": {"address": store.address},
        }

    def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as file:
            text = fill_template(file.read(), self.fields)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        program, *arguments = deploy_command()
        program = os.path.join(ROOT, program)
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is not built")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["SHELFJUNCTION_CONFIG"] = self.settings
        log = open(self.log_path, "a", encoding="utf-8")
        self.process = subprocess.Popen([program, *arguments], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.note(f"{self.name} starts as process {self.process.pid}")
        # A later start is not the first of the system.
        self.fields["initialStart"] = False

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(*self.ready, timeout=1)
            connection.request("GET", "/shelfjunction/readiness")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                self.record.note(f"{self.name} is ready")
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {seconds} s")

    def signal(self, number):
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a caller got on its socket."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.cause = ""

    def __str__(self):
        signed = self.headers.get("response-signature", "no signature")
        whole = "complete" if self.complete else f"not complete ({self.cause})"
        return f"{self.status}, {signed}, {len(self.body)} bytes, {whole}"


def call(address, request, seconds):
    """Sends a request on a new connection and reads its answer as the framing of HTTP/1.1 tells it."""
    answer = Answer()
    try:
        with socket.create_connection(address, timeout=seconds) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(request)
            connection.settimeout(seconds)
            read_answer(connection.makefile("rb"), answer)
    except (OSError, ValueError) as error:
        answer.cause = answer.cause or f"{type(error).__name__}: {error}"
    return answer


def read_answer(stream, answer):
    line = stream.readline()
    if not line:
        answer.cause = "closed without an answer"
        return
    answer.status = int(line.split()[1])
    while True:
        line = stream.readline().strip()
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        read_chunks(stream, answer)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = stream.read(length)
        answer.complete = len(answer.body) == length
        answer.cause = "" if answer.complete else "closed within the body"


def read_chunks(stream, answer):
    while True:
        line = stream.readline()
        if not line:
            answer.cause = "closed before the last chunk"
            return
        size = int(line.split(b";")[0], 16)
        if size == 0:
            stream.readline()
            answer.complete = True
            return
        answer.body += stream.read(size)
        stream.readline()


def request_bytes(method, path, host, request, deadline_ms, body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request}", f"Deadline-Remaining: {deadline_ms}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Engine:
    """One engine process of engine.py, and its entry in the store, which this side writes for it about every 1.2 s."""

    HEARTBEAT = 1.2

    def __init__(self, store, record, identifier, service, zone, port, slots=6, row=None, options=()):
        self.store, self.record, self.identifier, self.port = store, record, identifier, port
        self.row = {
            "service": service, "address": f"127.0.0.1:{port}", "zone": zone, "version": "v1", "slots": slots,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, **(row or {}),
        }
        self.options = options
        self.process = None
        self.lines = []
        self.lives = threading.Event()

    def start(self):
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "engine.py")
        arguments = [sys.executable, program, "--port", str(self.port), "--id", self.identifier, *self.options]
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        line = self.process.stdout.readline()
        if "listens" not in line:
            raise CannotRun(f"engine {self.identifier} does not listen: {line!r}")
        self.record.note(f"engine {self.identifier} listens on 127.0.0.1:{self.port} as process {self.process.pid}")
        self.lives.set()
        threading.Thread(target=self.copy_output, args=(self.process,), daemon=True).start()
        self.write()
        threading.Thread(target=self.beat, daemon=True).start()

    def copy_output(self, process):
        for line in process.stdout:
            self.lines.append(line.rstrip())
            self.record.note(f"engine {self.identifier}: {line.rstrip()}")

    def write(self):
        self.row["sequence"] += 1
        self.store.write("servers", self.identifier, self.row)

    def beat(self):
        while self.lives.is_set():
            time.sleep(self.HEARTBEAT)
            if self.lives.is_set():
                self.row["sequence"] += 1
                self.store.touch("servers", self.identifier, self.row)

    def drain(self):
        """Says that it drains; returns when the store has taken that."""
        self.row["state"] = "draining"
        self.write()
        self.record.note(f"the store has taken that {self.identifier} drains")

    def has_run(self, request):
        """Whether it has begun to work on a request."""
        return any(line.startswith(f"runs {request} ") for line in self.lines)

    def leave(self):
        """Ends as planned; the entry goes once it has left."""
        self.lives.clear()
        self.process.terminate()
        self.process.wait()
        self.store.write("servers", self.identifier, None)
        self.record.note(f"engine {self.identifier} has ended as planned")

    def crash(self):
        """Ends at once and says nothing; the entry goes after three heartbeats without a write."""
        self.lives.clear()
        self.process.kill()
        self.process.wait()
        self.record.note(f"engine {self.identifier} crashes (SIGKILL)")
        lapse = threading.Timer(3 * self.HEARTBEAT, self.store.write, ("servers", self.identifier, None))
        lapse.daemon = True
        lapse.start()

    def end(self):
        self.lives.clear()
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def give_up(*_):
    raise CannotRun("it took too long or was told to stop")


def play(case):
    """Runs a case: case(folder for temporary files, record, whether the disruption comes, what is to be ended) -> what broke the rule.

    KEEP_LOGS names a folder for the settings and logs of the nodes, which are dropped otherwise.
    """
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(110)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(sys.argv[1])
    record.note("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    ends = []
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        folder = os.environ.get("KEEP_LOGS", folder)
        try:
            broken = case(folder, record, trouble, ends)
        except CannotRun as error:
            record.note(f"the case could not run: {error}")
            sys.exit(2)
        except Exception as error:  # A fault of the stand-ins says nothing of the rule.
            record.note(f"the case could not run: {type(error).__name__}: {error}")
            sys.exit(2)
        finally:
            for one in ends:
                one.end()
    for text in broken:
        record.note(f"BROKEN: {text}")
    record.note("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
