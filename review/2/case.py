"""A machine is stopped as planned while requests that it took wait in their engines' queues: do their callers get an answer?"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import small
from standins import call, play, request_bytes

SLOTS = 6
WAITING = 6
DEADLINE_MS = 15000
GRACE = 8.0


def case(folder, record, trouble, ends):
    deployment = small.Deployment(folder, record, ends, timeout_ms=DEADLINE_MS)
    engines = [deployment.engine(f"i-{number}{number}{number}{number}aaaa", zone) for number, zone in enumerate(small.ZONES, 1)]
    nodes = deployment.nodes()
    stopping = nodes[0]
    answers = {}

    def ask(name, kind, node):
        request = request_bytes("POST", f"/orders/{kind}", small.HOST, name, DEADLINE_MS)
        record.note(f"caller sends {name} (POST /orders/{kind}) to {node.name}")
        began = time.monotonic()
        answers[name] = (call(node.frontend, request, DEADLINE_MS / 1000 + 2), time.monotonic() - began)
        record.note(f"caller gets for {name} after {answers[name][1]:.1f} s: {answers[name][0]}")

    callers = []
    for number in range(SLOTS * len(engines) + 9):
        # By the machines that stay; more than there are slots, so that none is free wherever they go.
        callers.append(threading.Thread(target=ask, args=(f"job{number}", "long", nodes[1 + number % 2])))
    for caller in callers:
        caller.start()
        time.sleep(0.01)
    time.sleep(0.3)
    for number in range(WAITING):
        callers.append(threading.Thread(target=ask, args=(f"order{number}", "whole", stopping)))
        callers[-1].start()
        time.sleep(0.03)
    time.sleep(0.3)
    if trouble:
        stopping.signal(signal.SIGTERM)
        began = time.monotonic()
        # The platform sends SIGKILL after gracePeriodS.
        try:
            stopping.process.wait(GRACE)
            record.note(f"{stopping.name} has ended by itself after {time.monotonic() - began:.2f} s")
        except Exception:
            record.note(f"{stopping.name} has not ended after {GRACE} s and gets SIGKILL")
            stopping.process.kill()
    for caller in callers:
        caller.join()

    broken = []
    for name, (answer, took) in sorted(answers.items()):
        if answer.complete or took >= DEADLINE_MS / 1000:
            continue
        # Only the stopping node's, and of those only what no engine was at work on.
        if trouble and (not name.startswith("order") or any(engine.has_run(name) for engine in engines)):
            continue
        broken.append(f"{name}: the connection ended after {took:.1f} s without a complete answer ({answer.cause})")
    return broken


if __name__ == "__main__":
    play(case)
