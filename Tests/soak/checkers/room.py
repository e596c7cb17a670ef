"""Guards against workers that get more than they have."""

import collections

NEEDS = ("runs", "workers", "faults")
DEFAULT_MILLI = "500"
# After this time a worker's owner knows that it has shrunk.
SHRUNK_KNOWN_S = 4.5
# What keeps owners from knowing.
UNKNOWN = ("store", "pause", "proxy", "kill", "stop", "rolling", "replace")


def check(history):
    changes = []
    for it in history.runs:
        need = int(it.field("processors", DEFAULT_MILLI))
        changes.append((it.began, need, it))
        changes.append((it.ended, -need, it))
    used = collections.Counter()
    for at, need, run in sorted(changes, key=lambda it: it[:2]):
        used[run.machine] += need
        room = _room(history, run.machine, at)
        if need > 0 and used[run.machine] > room:
            yield (f"{run.machine} runs {used[run.machine]} of {room} milli "
                   f"processors at {at:.3f}", [run])


def _room(history, machine, at):
    shrunk = any(it["began"] + SHRUNK_KNOWN_S <= at
                 and not history.faults_at(None, UNKNOWN, it["began"], at)
                 and not history.faults_at(machine, "worker_restart",
                                           it["began"], at)
                 for it in history.faults_at(machine, "worker_shrink", at, at))
    if shrunk and history.shrunk_milli is not None:
        return history.shrunk_milli
    return history.workers.get(machine, 0)
