"""Stand-ins of the store, the engines, the clients and the platform, and the judge; see claim.txt."""
import base64, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, threading, time, urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.environ.get("ROOT", os.path.abspath(os.path.join(HERE, "..", "..")))
PROGRAM = os.path.join(ROOT, "target/release/shelfjunction")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NODES = 2
MEMORY_MB = 260            # limits.memoryMb of the small sites
BODY = 2 * 1024 * 1024     # half of limits.maxBodyBytes
RATE = 13                  # uploads a second at each node
TIMEOUT_MS = 6000
SLOW_FOR = 5.5             # seconds for which engines read slowly
SLOW_BYTES = 64 * 1024     # bytes a second on each connection meanwhile
EPISODES = [8.0, 28.0, 48.0]
LENGTH = 66.0

record = open(os.path.join(HERE, "record.txt"), "w")
record_lock = threading.Lock()
begun = time.monotonic()
over = threading.Event()

def note(text):
    with record_lock:
        record.write("%8.3f %s\n" % (time.monotonic() - begun, text))
        record.flush()

def read_head(sock, rest):
    while b"\r\n\r\n" not in rest:
        more = sock.recv(65536)
        if not more:
            return None, None, b""
        rest += more
    head, rest = rest.split(b"\r\n\r\n", 1)
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest

def serve(handler):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    def accept():
        while not over.is_set():
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            def run(sock=sock):
                try:
                    handler(sock)
                except (OSError, ValueError):
                    pass
                finally:
                    sock.close()
            threading.Thread(target=run, daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()[1]

# ---- the platform's store
class Store:
    def __init__(self):
        self.rows, self.log, self.ver = {}, [], 0
        self.changed = threading.Condition()
    def put(self, table, key, value):
        with self.changed:
            self.ver += 1
            self._set(table, key, base64.b64encode(value.encode()).decode())
            self.changed.notify_all()
    def _set(self, table, key, value):
        row = {"table": table, "part": "", "privateKey": key, "value": value, "ver": self.ver}
        self.rows[(table, key)] = row
        self.log.append(row)
    def handle(self, sock):
        rest = b""
        while True:
            line, headers, rest = read_head(sock, rest)
            if line is None:
                return
            length = int(headers.get("content-length", 0))
            while len(rest) < length:
                more = sock.recv(65536)
                if not more:
                    return
                rest += more
            body, rest = rest[:length], rest[length:]
            url = urllib.parse.urlsplit(line.split(" ")[1])
            query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
            status, answer = self.answer(url.path.rsplit("/", 1)[1], query, body)
            answer["now_ms"] = int(time.monotonic() * 1000)
            text = json.dumps(answer).encode()
            sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
    def answer(self, call, query, body):
        with self.changed:
            if call == "rows-get":
                keys = sorted(k for t, k in self.rows if t == query["table"])
                keys = [k for k in keys if k >= query.get("source", "") and (not query.get("targetVersion") or k < query["targetVersion"])]
                most = int(query.get("limit", 500))
                return 200, {"rows": [self.rows[(query["table"], k)] for k in keys[:most]], "more": len(keys) > most, "ver": self.ver}
            if call == "rows-feed":
                until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
                after = int(query["after"])
                while True:
                    rows = [r for r in self.log if r["table"] == query["table"] and r["ver"] > after]
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return 200, {"rows": rows, "ver": self.ver}
                    self.changed.wait(left)
            if call == "rows-tx":
                tx = json.loads(body)
                for e in tx.get("expected", []):
                    row = self.rows.get((e["table"], e["privateKey"]))
                    if (row["ver"] if row else 0) != e["ver"]:
                        known = [self.rows.get((x["table"], x["privateKey"])) for x in tx["expected"]]
                        return 412, {"rows": [r for r in known if r], "ver": self.ver}
                self.ver += 1
                for p in tx.get("put", []):
                    self._set(p["table"], p["privateKey"], p["value"])
                for r in tx.get("remove", []):
                    if self.rows.pop((r["table"], r["privateKey"]), None):
                        self.log.append({"table": r["table"], "part": "", "privateKey": r["privateKey"], "gone": True, "ver": self.ver})
                self.changed.notify_all()
                return 200, {"ver": self.ver}
            return 400, {}

# ---- engines
slow_until = 0.0
ran = {}
ran_lock = threading.Lock()

class Engine:
    def __init__(self, service, identifier, can_be_slow):
        self.service, self.id, self.can_be_slow = service, identifier, can_be_slow
        self.port = serve(self.handle)
        self.sequence = 0
    def row(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "zone-a", "version": "v1",
                           "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence})
    def handle(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        rest, buffer = b"", bytearray(256 * 1024)
        while True:
            line, headers, rest = read_head(sock, rest)
            if line is None:
                return
            if headers.get("expected-instance", self.id) != self.id:
                sock.sendall(b"HTTP/1.1 421 X\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                continue
            left = int(headers.get("content-length", 0)) - len(rest)
            while left > 0:
                if self.can_be_slow and time.monotonic() < slow_until:
                    time.sleep(0.1)
                    count = sock.recv_into(buffer, min(left, SLOW_BYTES // 10))
                else:
                    count = sock.recv_into(buffer, min(left, len(buffer)))
                if count == 0:
                    return
                left -= count
            rest = b""
            name = headers.get("request-id", "")
            if name:
                with ran_lock:
                    ran[name] = self.id
                note("ran %s at %s" % (name, self.id))
            time.sleep(0.06)
            body = b"done"
            sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nServer-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n" % (name.encode(), self.id.encode(), len(body)) + body)

# ---- nodes, and the platform that starts and ends them
def free_ports(count):
    socks = []
    for _ in range(count):
        s = socket.socket(); s.bind(("127.0.0.1", 0)); socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports

class Node:
    def __init__(self, number, store_port, folder):
        self.name = "frontend-zone-a-%d" % number
        self.listen, self.ready, self.peer, self.metrics = free_ports(4)
        self.folder, self.store_port, self.process, self.kills, self.peak = folder, store_port, None, [], 0
    def settings(self, first):
        return """log_level = "info"
[node]
node = "%s"
zone = "zone-a"
listen = "127.0.0.1:%d"
ready_listen = "127.0.0.1:%d"
peer_listen = "127.0.0.1:%d"
metrics_listen = "127.0.0.1:%d"
processor_share = 0.25
store = "127.0.0.1:%d"
retry_ratio = 0.2
retry_slack = 54
retry_window_seconds = 10
grace_seconds = 8
first_start = %s
[node.topology.zones]
"zone-a" = "region-a"
[node.config_watch]
bound_millis = 2000
[node.routing]
pause_seconds = 0.3
[node.list_watch]
bound_millis = 2000
""" % (self.name, self.listen, self.ready, self.peer, self.metrics, self.store_port, "true" if first else "false")
    def start(self, first):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as f:
            f.write(self.settings(first))
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "SHELFJUNCTION_CONFIG": path}
        self.process = subprocess.Popen([PROGRAM, "node"], cwd=ROOT, env=environment, stdout=log, stderr=log)
        note("platform starts %s, process %d" % (self.name, self.process.pid))
    def resident_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    # Memory of the process's own; pages of its program file are left out.
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0
    def watch(self):
        while not over.is_set():
            mb = self.resident_mb()
            self.peak = max(self.peak, mb)
            if mb > MEMORY_MB:
                self.kills.append(time.monotonic() - begun)
                note("%s holds %.0f MB of %d: the platform kills it" % (self.name, mb, MEMORY_MB))
                self.process.kill()
            if self.process.poll() is not None and not over.is_set():
                self.process.wait()
                if mb <= MEMORY_MB:
                    note("%s ended by itself: %s" % (self.name, self.process.returncode))
                time.sleep(0.5)
                self.start(False)
            time.sleep(0.02)

# ---- clients
results = []
results_lock = threading.Lock()
DATA = bytes(BODY)

def call(sock, name, path, host, body):
    """Sends one request on a connection; the status, or none where the connection ended without a whole answer."""
    head = "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n" % (path, host, name, TIMEOUT_MS, len(body))
    sock.sendall(head.encode()); sock.sendall(body)
    line, headers, rest = read_head(sock, b"")
    if line is None:
        return None, True
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        more = sock.recv(65536)
        if not more:
            return None, True
        rest += more
    return int(line.split(" ")[1]), headers.get("connection", "").lower() == "close"

def upload(node, name):
    sent = time.monotonic() - begun
    status = None
    try:
        with socket.create_connection(("127.0.0.1", node.listen), 1) as sock:
            sock.settimeout(TIMEOUT_MS / 1000 + 1)
            status, _ = call(sock, name, "/docs/1", "case.example", DATA)
    except OSError:
        pass
    note("upload %s sent to %s at %.3f: %s" % (name, node.name, sent, status))
    with results_lock:
        results.append(("upload", name, node, sent, time.monotonic() - begun, status, False))

def uploads(node):
    number, due = 0, time.monotonic()
    while not over.is_set():
        number += 1
        threading.Thread(target=upload, args=(node, "%s-u%d" % (node.name[-1], number)), daemon=True).start()
        due += 1 / RATE
        time.sleep(max(0, due - time.monotonic()))

def kept(node, client):
    """One client that keeps its connection and calls the other, sound service."""
    number, sock, used = 0, None, 0
    while not over.is_set():
        number += 1
        name = "%s-k%d-%d" % (node.name[-1], client, number)
        sent = time.monotonic() - begun
        status, was_kept = None, used > 0
        try:
            if sock is None:
                sock = socket.create_connection(("127.0.0.1", node.listen), 1)
                sock.settimeout(TIMEOUT_MS / 1000 + 1)
                used, was_kept = 0, False
            status, closes = call(sock, name, "/small/1", "case.example", b"order")
            used += 1
        except OSError:
            closes = True
        if closes and sock is not None:
            sock.close(); sock = None
        note("call %s sent to %s at %.3f on a %s connection: %s" % (name, node.name, sent, "kept" if was_kept else "new", status))
        with results_lock:
            results.append(("small", name, node, sent, time.monotonic() - begun, status, was_kept))
        time.sleep(0.1)

def main():
    global slow_until
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not os.path.exists(PROGRAM):
        print("no program"); return 2
    folder = tempfile.mkdtemp(prefix="shelfjunction-case-")
    store = Store()
    store_port = serve(store.handle)
    service = lambda name: {"name": name, "healthPath": "/health", "connectionLimit": 200, "protocol": "h1", "tls": False}
    route = lambda name, path, to: {"name": name, "host": "case.example", "pathPrefix": path, "kind": "non_idempotent", "timeoutMs": TIMEOUT_MS,
                                    "targetLatencyMs": 800, "priority": 0, "service": to, "maxAttempts": 1}
    store.put("op", "config", json.dumps({"version": 1, "routes": [route("docs", "/docs/", "docs-api"), route("small", "/small/", "order-api")],
              "services": [service("docs-api"), service("order-api")],
              "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}))
    engines = [Engine("docs-api", "i-docs%d" % n, True) for n in range(3)] + [Engine("order-api", "i-order%d" % n, False) for n in range(3)]
    def beat():
        while not over.is_set():
            for engine in engines:
                store.put("servers", engine.id, engine.row())
            over.wait(1.2)
    threading.Thread(target=beat, daemon=True).start()
    nodes = [Node(n + 1, store_port, folder) for n in range(NODES)]
    try:
        for node in nodes:
            node.start(True)
        time.sleep(4)
        if any(node.process.poll() is not None for node in nodes):
            print("a node did not start"); return 2
        for node in nodes:
            threading.Thread(target=node.watch, daemon=True).start()
            threading.Thread(target=uploads, args=(node,), daemon=True).start()
            for client in range(8):
                threading.Thread(target=kept, args=(node, client), daemon=True).start()
        traffic = time.monotonic()
        for at in EPISODES:
            time.sleep(max(0, traffic + at - time.monotonic()))
            if TROUBLE:
                slow_until = time.monotonic() + SLOW_FOR
                note("the engines of docs-api read slowly for %.1f s" % SLOW_FOR)
        time.sleep(max(0, traffic + LENGTH - time.monotonic()))
        over.set()
        time.sleep(0.5)
    finally:
        over.set()
        for node in nodes:
            if node.process and node.process.poll() is None:
                node.process.kill(); node.process.wait()
        shutil.rmtree(folder, ignore_errors=True)
    return judge(nodes)

def judge(nodes):
    with results_lock:
        done = list(results)
    served = sum(1 for r in done if r[5] == 200)
    lost = {}
    for kind, name, node, sent, ended, status, was_kept in done:
        # On a kept connection, passed on to a sound engine, and closed without an answer.
        if kind == "small" and was_kept and status is None and name in ran and ended < LENGTH + 4:
            lost.setdefault(node.name, []).append(name)
    broken = False
    for node in nodes:
        count = len(lost.get(node.name, []))
        text = "%s: peak %.0f MB of %d, killed for its memory %d times, %d requests of kept connections lost at sound engines" % (node.name, node.peak, MEMORY_MB, len(node.kills), count)
        print(text); note(text)
        broken |= count > 3
    by = {}
    for r in done:
        key = "%s %s" % (r[0], r[5])
        by[key] = by.get(key, 0) + 1
    text = "requests %d, served %d; %s; rule LOST %s" % (len(done), served, by, "BROKEN" if broken else "held")
    print(text); note(text)
    if served < 100:
        return 2
    return 1 if broken else 0

if __name__ == "__main__":
    code = main()
    record.close()
    os._exit(code)
