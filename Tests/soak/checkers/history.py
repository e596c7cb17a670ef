"""What a run of the soak wrote, and what several checkers ask of it. Times are
seconds of the monotonic clock; what has not happened is `math.inf`."""

import dataclasses
import functools
import json
import math
import pathlib

FINAL = ("completed", "failed", "cancelled")
REFUSED = (429, 503)
# Not disturbances: what the deployment does on an ordinary day.
ORDINARY = ("configuration", "stop_overrun")


@dataclasses.dataclass(frozen=True)
class Breach:
    checker: str
    message: str
    events: tuple = ()


@dataclasses.dataclass(frozen=True)
class Run:
    task: str
    run: int
    machine: str
    payload: str
    began: float
    ended: float
    how: str
    acknowledged: float

    @property
    def job(self):
        return self.task.rsplit(".", 3)[0]

    def field(self, name, default=""):
        fields = (it.partition("=") for it in self.payload.split(";"))
        return dict((it[0], it[2]) for it in fields).get(name, default)


def _seconds(milliseconds):
    return math.inf if milliseconds is None else milliseconds / 1000


def _run(row, processes):
    machine = row.get("machine", row["worker"])
    acknowledged = row["acknowledged_ms"]
    own = max((it for it in processes if it["machine"] == machine
               and it["began_ms"] <= row["began_ms"]),
              key=lambda it: it["began_ms"], default={"ended_ms": None})
    # An end dies with its process if nobody took note of it before.
    if _seconds(acknowledged) > _seconds(own["ended_ms"]):
        acknowledged = None
    return Run(task=row["task"], run=row["run"], machine=machine,
               payload=row["payload"], began=_seconds(row["began_ms"]),
               ended=_seconds(row["ended_ms"]), how=row["how"] or "",
               acknowledged=_seconds(acknowledged))


class History:
    """The attributes that checkers name in NEEDS are None where the history
    has no such thing."""

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        for name in ("faults", "exchanges", "processes", "samples",
                     "configurations"):
            setattr(self, name, self._lines(name))
        self.meta = self._json("meta") or {}
        body = self._json("runs")
        self.runs = body and sorted(
            (_run(it, body.get("processes", ())) for it in body["runs"]),
            key=lambda it: (it.began, it.run))
        self.runs_until = body and _seconds(body["now_ms"])
        self.settled = self.meta.get("settled")
        self.grace_s = self._bound("grace_s")
        self.max_attempts = self._bound("max_attempts")
        self.max_descriptors = self._bound("max_descriptors")
        self.max_resident_kb = self._bound("max_resident_kb")
        self.shrunk_milli = self._bound("shrunk_milli")
        self.workers = self._bound("capacity_milli") or self._bound("workers")

    def _json(self, name):
        file = self._folder / f"{name}.json"
        return json.loads(file.read_text()) if file.exists() else None

    def _lines(self, name):
        file = self._folder / f"{name}.jsonl"
        if not file.exists():
            return None
        with open(file, encoding="utf-8") as lines:
            return [json.loads(it) for it in lines]

    def _bound(self, name):
        places = [self.meta.get("bounds", {}), self.meta.get("settings", {}),
                  self.meta]
        return next((it[name] for it in places if name in it), None)

    @functools.cached_property
    def runs_by_task(self):
        return _group(self.runs, lambda it: it.task)

    @functools.cached_property
    def runs_by_job(self):
        return _group(self.runs, lambda it: it.job)

    @functools.cached_property
    def exchanges_by_job(self):
        return _group(sorted(self.exchanges, key=lambda it: it["sent"]),
                      lambda it: it["job"])

    def faults_at(self, target, kinds, since, until):
        """Faults of `kinds` (prefixes) at a target, or at any for None."""
        return [it for it in self.faults if it["kind"].startswith(kinds)
                and target in (None, it["target"])
                and it["began"] <= until and ended(it) >= since]

    @functools.cached_property
    def _disturbed(self):
        return sorted((it["began"], ended(it)) for it in self.faults
                      if it["kind"] not in ORDINARY)

    def calm(self, since, until):
        """Seconds between the two without a fault under way."""
        calm = 0
        at = since
        for began, over in self._disturbed:
            if began >= until:
                break
            calm += max(0, began - at)
            at = max(at, over)
        return calm + max(0, until - at)

    def lives(self):
        """Of the entry instances."""
        return [it for it in self.processes if it["name"] != "standin"]


def ended(record):
    return math.inf if record["ended"] is None else record["ended"]


def _group(items, key):
    groups = {}
    for it in items:
        groups.setdefault(key(it), []).append(it)
    return groups


def accepted_at(exchanges):
    """When a job's submission was first answered so; nothing if it never
    was."""
    return min((it["answered"] for it in exchanges if it["method"] == "POST"
                and it["status"] in (200, 202)), default=None)


def describe(exchange):
    return (f"{exchange['method']} {exchange['path']} at {exchange['entry']}, "
            f"sent {exchange['sent']:.3f}: {exchange['status']} "
            f"{exchange['state']}{exchange['error']}")
