"""An engine drains and then crashes within answers that have no length: is what came of them told as the whole answer?"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import small
from standins import call, play, request_bytes

CALLERS = 6


def case(folder, record, trouble, ends):
    deployment = small.Deployment(folder, record, ends)
    engines = [deployment.engine(f"i-{number}{number}{number}{number}aaaa", zone) for number, zone in enumerate(small.ZONES, 1)]
    nodes = deployment.nodes()
    leaving = engines[0]
    answers = {}

    def ask(name, path, kind, node):
        request = request_bytes("POST", f"{path}{kind}", small.HOST, name, 6000)
        record.note(f"caller sends {name} (POST {path}{kind}) to {node.name}")
        answers[name] = (kind, call(node.frontend, request, 8))
        record.note(f"caller gets for {name}: {answers[name][1]}")

    callers = []
    for number in range(CALLERS):
        node = nodes[number % len(nodes)]
        callers.append(threading.Thread(target=ask, args=(f"order{number}", "/orders/", "paced", node)))
        callers.append(threading.Thread(target=ask, args=(f"notice{number}", "/notices/", "events", node)))
    for caller in callers:
        caller.start()
        time.sleep(0.02)
    # Planned: the engine drains, and serves on for drainMs and a little longer; all answers end before that.
    leaving.drain()
    time.sleep(0.9)
    if trouble:
        leaving.crash()
    for caller in callers:
        caller.join()
    return small.judge_bodies(record, answers, trouble)


if __name__ == "__main__":
    play(case)
