"""Guards against accepted jobs that get lost, or fail without a cause."""

import math

from .history import FINAL, accepted_at, describe

NEEDS = ("exchanges", "runs", "settled", "faults")
UNKNOWN = (404, 410)
# An ended job may be forgotten after so long.
KEPT_S = 100
# A task may be given up when so many workers have crashed under it. Others fail
# by their own ends only.
MIN_CRASHES = 2
# Between a worker's restart and the ends of the runs that were there.
RESTART_S = 0.1


def check(history):
    for job, exchanges in history.exchanges_by_job.items():
        since = accepted_at(exchanges)
        if since is not None:
            yield from _check_known(exchanges, since)
            yield from _check_end(history, job, exchanges)


def unsure(history):
    return [f"nobody asked for {job} at the end"
            for job, exchanges in history.exchanges_by_job.items()
            if accepted_at(exchanges) is not None
            and not _last_answers(history, exchanges)]


def _check_known(exchanges, since):
    final = min((it["answered"] for it in exchanges if it["state"] in FINAL),
                default=None)
    for it in exchanges:
        forgotten = final is not None and it["sent"] > final + KEPT_S
        if it["sent"] > since and it["status"] in UNKNOWN and not forgotten:
            yield f"an accepted job is unknown: {describe(it)}", ()


def _last_answers(history, exchanges):
    """By instance, of questions after the last fault."""
    return {it["entry"]: it for it in exchanges if it["method"] == "GET"
            and it["sent"] >= history.settled
            and it["status"] not in UNKNOWN}


def _check_end(history, job, exchanges):
    cancelled = any(it["method"] == "DELETE" for it in exchanges)
    allowed = FINAL if cancelled else ("completed", "failed")
    for it in _last_answers(history, exchanges).values():
        if it["state"] not in allowed:
            yield f"an accepted job has not ended: {describe(it)}", ()
        if it["state"] == "failed" and not _has_cause(history, job):
            yield (f"a job failed without a cause: {describe(it)}",
                   history.runs_by_job.get(job, ()))


def _has_cause(history, job):
    runs = history.runs_by_job.get(job, ())
    failed = [it.task for it in runs if it.how == "failed"]
    crashed = [it.task for it in runs if not it.how
               and (it.field("crash_ms") or _was_restarted(history, it))]
    return (any(failed.count(it) >= (history.max_attempts or 1)
                for it in failed)
            or any(crashed.count(it) >= MIN_CRASHES for it in crashed))


def _was_restarted(history, run):
    return run.ended < math.inf and bool(history.faults_at(
        run.machine, "worker_restart", run.ended - RESTART_S,
        run.ended + RESTART_S))
