"""An engine ends within answers that have no length: is what came of them told as the whole answer?

Three scenes, each in a deployment of its own: the engine drains and ends as planned; it drains and crashes; or it crashes and is back
at its address, as a new incarnation, before the machine that passes the answers on wakes from a freeze.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import small
from standins import call, play, request_bytes

DRAIN = 2.0


class Scene:
    def __init__(self, folder, record, trouble, ends):
        self.record, self.trouble = record, trouble
        self.deployment = small.Deployment(folder, record, ends)
        zones = enumerate(small.ZONES, 1)
        self.engines = [self.deployment.engine(f"i-{number}{number}{number}{number}aaaa", zone) for number, zone in zones]
        self.nodes = self.deployment.nodes()
        self.answers = {}
        self.callers = []

    def ask(self, name, path, kind, node):
        request = request_bytes("POST", f"{path}{kind}", small.HOST, name, 6000)
        self.record.note(f"caller sends {name} (POST {path}{kind}) to {node.name}")
        self.answers[name] = (kind, call(node.frontend, request, 8))
        self.record.note(f"caller gets for {name}: {self.answers[name][1]}")

    def begin(self, count, nodes, asked=(("order", "/orders/", "paced"), ("notice", "/notices/", "events"))):
        for number in range(count):
            node = nodes[number % len(nodes)]
            for name, path, kind in asked:
                caller = threading.Thread(target=self.ask, args=(f"{name}{number}", path, kind, node))
                self.callers.append(caller)
                caller.start()
                time.sleep(0.02)

    def judge(self):
        for caller in self.callers:
            caller.join()
        return small.judge_bodies(self.record, self.answers, self.trouble)


def drains_and_ends(scene):
    leaving = scene.engines[0]
    scene.begin(6, scene.nodes, [("order", "/orders/", "lasting")])
    leaving.drain()
    if scene.trouble:
        # It serves on for drainMs and a little longer, and then ends.
        time.sleep(DRAIN + 0.5)
        leaving.leave()


def drains_and_crashes(scene):
    leaving = scene.engines[0]
    scene.begin(6, scene.nodes)
    # All answers would end before drainMs is over.
    leaving.drain()
    time.sleep(0.9)
    if scene.trouble:
        leaving.crash()


def crashes_behind_a_freeze(scene):
    crashing, node = scene.engines[0], scene.nodes[0]
    scene.begin(4, [node])
    time.sleep(0.8)
    if scene.trouble:
        node.signal(signal.SIGSTOP)
        time.sleep(0.2)
        crashing.crash()
        time.sleep(0.5)
        # Every start is a new incarnation with a new identifier.
        scene.deployment.engine("i-4444bbbb", small.ZONES[0], crashing.port)
        time.sleep(0.5)
        node.signal(signal.SIGCONT)


def case(folder, record, trouble, ends):
    broken = []
    for play_scene in (drains_and_ends, drains_and_crashes, crashes_behind_a_freeze):
        record.note(f"scene: {play_scene.__name__}")
        of_scene = []
        own_folder = os.path.join(folder, play_scene.__name__)
        os.makedirs(own_folder, exist_ok=True)
        try:
            scene = Scene(own_folder, record, trouble, of_scene)
            play_scene(scene)
            broken += [f"{play_scene.__name__}, {text}" for text in scene.judge()]
        finally:
            for one in of_scene:
                one.end()
    return broken


if __name__ == "__main__":
    play(case)
