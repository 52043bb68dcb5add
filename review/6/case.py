"""The holder of the duties is cut off while it orders engines, and its successor orders the same; see claim.txt."""
import os
import select
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from small_platform import *  # noqa

CUT_S = float(os.environ.get("CUT_S", "12.0"))  # node_cut of the site, with how = "meet"
CONFIG_LEAD_S = float(os.environ.get("CONFIG_LEAD_S", "0.0"))  # the configuration is sent so long before the cut
THAW_S = 0.3  # thawMs
WAITS = [0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8]  # between two sends of the same bytes, as TCP does
AFTER_S = 9.0

SETTINGS_OF_DUTIES = """
[node.duties]
address = "%s"
tasks = ["autoscaling"]
"""


def config(version, minimum):
    return {
        "version": version,
        "routes": [{"name": "r1", "host": "h.example", "pathPrefix": "/a/", "kind": "idempotent", "timeoutMs": 4000,
                    "targetLatencyMs": 1000, "priority": 1, "service": "app", "maxAttempts": 1}],
        "services": [{"name": "app", "healthPath": "/health", "connectionLimit": 500, "protocol": "h1", "tls": False,
                      "engine": {"slots": 6, "kvTokens": 100000, "kvBytes": 18432, "linkMbps": 370000.0, "moves": True,
                                 "handleTtlS": 5.0, "stageSwitchS": 2.3, "models": [{"name": "m"}]},
                      "scaling": {"minimum": minimum, "maximum": 20, "startupS": 6.0, "zonePrices": {"zone-a": 1.0}}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Interface:
    """The platform's interface. Fences aren't enforced: what arrives is taken, and its token written down."""

    def __init__(self, record):
        self.record, self.calls, self.lock = record, [], threading.Lock()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        rest = b""
        while True:
            got = read_head(connection, rest)
            if not got:
                return connection.close()
            first, headers, rest = got
            length = int(headers.get("content-length", "0"))
            while len(rest) < length:
                more = connection.recv(65536)
                if not more:
                    return connection.close()
                rest += more
            body, rest = json.loads(rest[:length]), rest[length:]
            call = (now(), headers["duty-holder"], int(headers["fencing-token"]), body["service"] + " " + body["zone"], body["desiredCount"])
            with self.lock:
                self.calls.append(call)
            self.record.say("the platform gets %s from %s, token %d: %s, %d engines" % ((first.split(" HTTP")[0],) + call[1:]))
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            except OSError:
                return connection.close()


class Link:
    """A machine's way to one address of the platform. While it is cut nothing passes. What a connection's sender had written
    then passes with TCP's next try after the cut, also where the sender has closed meanwhile, and is lost where it has
    reset. A connection that was begun during the cut was never opened."""

    def __init__(self, target, record, what):
        self.target, self.record, self.what = target, record, what
        self.is_cut = False
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.is_cut:
                threading.Thread(target=self.never_opened, args=(near,), daemon=True).start()
                continue
            host, port = self.target.split(":")
            far = socket.create_connection((host, int(port)))
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ends = {"near": near, "far": far}
            for a, b in (("near", "far"), ("far", "near")):
                threading.Thread(target=self.pass_on, args=(ends, a, b), daemon=True).start()

    def never_opened(self, near):
        while self.is_cut:
            time.sleep(0.02)
        near.close()

    def pass_on(self, ends, a, b):
        """Bytes of one direction, in order; `None` stands for the sender's closing."""
        source, sink = ends[a], ends[b]
        held, due, step = [], None, 0
        while True:
            readable = select.select([source], [], [], 0.005)[0] if not held or held[-1] is not None else []
            if readable:
                try:
                    got = source.recv(65536)
                except OSError:  # reset: what was held up is lost
                    if held and a == "near":
                        self.record.say("%s: reset by its sender, %d held bytes are lost" % (self.what, sum(len(x or b"") for x in held)))
                    return self.reset(sink)
                if not held:
                    due, step = (time.monotonic(), 0)
                held.append(got if got else None)
            elif held and held[-1] is None:
                time.sleep(0.005)
                if self.was_reset(source):
                    return self.reset(sink)
            if not held or time.monotonic() < due:
                continue
            if self.is_cut:
                due, step = time.monotonic() + WAITS[min(step, len(WAITS) - 1)], step + 1
                continue
            if step and a == "near":
                self.record.say("%s: %d bytes that were held up arrive" % (self.what, sum(len(x or b"") for x in held)))
            for one in held:
                try:
                    if one is None:
                        sink.shutdown(socket.SHUT_WR)
                        return
                    sink.sendall(one)
                except OSError:
                    return
            held = []

    def was_reset(self, source):
        return source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def reset(self, sink):
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sink.close()


def work(record, temporary, trouble, nodes):
    store, interface = Store(), Interface(record)
    engines = [Engine("i-%d" % number, record) for number in range(2)]
    for engine, stage in zip(engines, ("prefill", "decode")):
        plain = engine.entry
        engine.entry = lambda sequence, plain=plain, stage=stage: dict(plain(sequence), stage=stage, models=[{"name": "m", "version": 1, "adapters": []}])
    store.put("op", "config", config(7, 2))
    keep_listed(store, engines)
    links = {}
    for number in range(3):
        name = "n%d" % number
        links[name] = [Link(store.address, record, name + " to the store"), Link(interface.address, record, name + " to the interface")]
        nodes.append(Node(name, links[name][0].address, temporary, record, further_settings=SETTINGS_OF_DUTIES % links[name][1].address))
    for node in nodes:
        node.start(first=True)
    if not all(node.wait_ready() for node in nodes):
        record.say("the nodes are not ready")
        return 2
    time.sleep(8)
    store.put("op", "config", config(8, 4))
    record.say("configuration 8: at least 4 engines")
    until = time.monotonic() + 15
    while not interface.calls and time.monotonic() < until:
        time.sleep(0.02)
    if not interface.calls:
        record.say("no order was given")
        return 2
    time.sleep(3)
    holder = interface.calls[-1][1]

    def cut(is_cut):
        for link in links[holder]:
            link.is_cut = is_cut
        record.say("%s %s the platform" % (holder, "is cut from" if is_cut else "reaches"))

    if trouble and CONFIG_LEAD_S <= 0:
        cut(True)
    begun = now()
    store.put("op", "config", config(9, 8))
    record.say("configuration 9: at least 8 engines")
    if trouble and CONFIG_LEAD_S > 0:
        time.sleep(CONFIG_LEAD_S)
        cut(True)
    time.sleep(CUT_S)
    if trouble:
        cut(False)
    healed = now()
    time.sleep(AFTER_S)
    if not any(at > begun for at, *_ in interface.calls):
        record.say("no order was given after configuration 9")
        return 2
    highest, broken = {}, 0
    for at, node, token, subject, count in list(interface.calls):
        seen = highest.get(subject, 0)
        if token < seen:
            counts = at > healed + THAW_S
            record.say("at %.3f, %.3f s after the cut: token %d for %s after token %d: %s"
                       % (at, at - healed, token, subject, seen, "ONE is broken" if counts else "not counted"))
            broken += counts
        highest[subject] = max(seen, token)
    return 1 if broken else 0


run_case(FOLDER, work)
