"""A small deployment on loopback: the store, one plain service with an engine in each of three zones, and a node in each."""

import time

from engine import whole_body
from standins import Engine, Node, Store, free_ports

HOST = "ficu95.example"
SERVICE = "order-api"
ZONES = ["lj-hall-a", "lj-hall-b", "kranj-hall"]
ADDRESSES = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]


def configuration(timeout_ms):
    def route(name, prefix, kind, **more):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 500,
            "priority": 1, "service": SERVICE, "maxAttempts": 1, **more,
        }

    return {
        "version": 1,
        "routes": [
            route("orders", "/orders/", "non_idempotent"),
            route("notices", "/notices/", "streaming", resumable=False, gapTargetMs=400),
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "connectionLimit": 100, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Deployment:
    def __init__(self, folder, record, ends, timeout_ms=6000):
        self.folder, self.record, self.ends = folder, record, ends
        self.store = Store()
        self.store.write("op", "config", configuration(timeout_ms))

    def engine(self, identifier, zone, port=None, options=()):
        port = port or free_ports(1)[0]
        engine = Engine(self.store, self.record, identifier, SERVICE, zone, port, options=options)
        self.ends.append(engine)
        engine.start()
        return engine

    def nodes(self):
        """Starts the nodes as DEPLOY.md says, each machine with the same ports, and waits until they serve."""
        ports = free_ports(4, ADDRESSES)
        nodes = []
        for number, (zone, address) in enumerate(zip(ZONES, ADDRESSES), 1):
            node = Node(self.folder, f"node-{number}", address, ports, zone, ZONES, self.store, self.record)
            self.ends.append(node)
            node.start()
            nodes.append(node)
        for node in nodes:
            node.wait_ready()
        # They hear of each other.
        time.sleep(2.0)
        return nodes


def judge_bodies(record, answers, trouble):
    """MIXED: a success whose body is not the engine's whole body, or an answer that ended early and appears complete."""
    broken = []
    for name, (kind, answer) in sorted(answers.items()):
        whole = whole_body(kind)
        is_success = answer.status is not None and 200 <= answer.status < 300
        if is_success and answer.complete and answer.body != whole:
            signature = answer.headers.get("response-signature")
            broken.append(f"{name}: a complete {answer.status} with {signature} and {len(answer.body)} of {len(whole)} bytes")
        if not trouble and not (is_success and answer.complete):
            broken.append(f"{name}: {answer} although nothing happened")
    return broken
