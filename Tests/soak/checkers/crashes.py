"""Guards against tasks that are started without end while they crash their
workers."""

import math

NEEDS = ("runs",)
CRASHES = 3
MOST_LATE_STARTS = 2


def check(history):
    for task, runs in history.runs_by_task.items():
        if not runs[0].field("crash_ms"):
            continue
        lost = sorted(it.ended for it in runs
                      if not it.how and it.ended < math.inf)
        if len(lost) < CRASHES:
            continue
        late = [it for it in runs if it.began > lost[CRASHES - 1]]
        if len(late) > MOST_LATE_STARTS:
            yield (f"{task} was started {len(late)} times after {CRASHES} "
                   "crashes", runs)
