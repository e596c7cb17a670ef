"""Tests of whole processes: `run_processes.py --programs FOLDER CASE`.

Each case starts its own stand-in and entry instances and ends them. Exits 0
when the case holds; otherwise tells what it saw, with the ends of all logs.
"""

import argparse
import concurrent.futures
import signal
import sys
import tempfile

from cluster import (BASE, ENTRIES, Cluster, TestFailure, call, check, end_of,
                     wait_until)

ENTRY_NAMES = list(ENTRIES)
FIRST, SECOND, THIRD = ENTRY_NAMES
LOG_TAIL_LINES = 40


def batch(count, sleep_ms):
    return {"kind": "batch", "count": count, "run_time_ms": sleep_ms,
            "resources": {"processors_milli": 1000, "memory_mb": 512},
            "payload": f"sleep_ms={sleep_ms}"}


def wait_until_finished(cluster, entry, job_id):
    """Gives the job's last status."""

    def finished():
        status = cluster.job(entry, job_id)
        check(status.get("state") not in ("failed", "cancelled"),
              f"{job_id} ended wrongly: {status}")
        return status if status.get("state") == "finished" else None

    return wait_until(f"{entry} says that {job_id} has finished", finished)


def wait_until_running(cluster, entry, job_id, count):
    wait_until(f"{count} tasks of {job_id} run",
               lambda: cluster.job(entry, job_id).get("running", 0) >= count)


def check_nothing_doubled(cluster):
    counters = cluster.counters()
    for it in ("doubled", "overcommit_attempts", "repeated_unique"):
        check(counters[it] == 0, f"{it} is {counters[it]}: {counters}")


def check_serve(cluster):
    """Work of each kind is served end to end by three entry instances."""
    cluster.start_serving()
    status, body = cluster.run_request(FIRST, "answer=eligible")
    check(status == 200 and body.get("verdict") == "ran", f"{status} {body}")
    check(body.get("answer") == "eligible", f"{body}")

    batch_id = cluster.submit_job(SECOND, batch(20, 50))
    gang = batch(6, 200) | {"kind": "gang"}
    gang_id = cluster.submit_job(THIRD, gang)
    for entry, job_id, count in ((SECOND, batch_id, 20), (THIRD, gang_id, 6)):
        done = wait_until_finished(cluster, entry, job_id)
        check(done["done"] == count, f"{done}")
        check(len(done["answers"]) == count, f"{done}")
    check_nothing_doubled(cluster)


def check_config(cluster):
    """A policy put through one entry instance is in force at all, a put that
    expects an older revision is refused, and nothing reverts."""
    cluster.start_serving()

    def in_force(entry):
        return call(cluster.callers[entry], "GET", "/v1/config")[1]

    first = in_force(FIRST)["revision"]
    changed = BASE | {"urgency": {"batch_share": 0.3}}
    status, body = cluster.put_policy(THIRD, first, changed, "second")
    check(status == 200, f"{status} {body}")
    second = body["revision"]
    for it in ENTRIES:
        wait_until(f"revision {second} is in force at {it}",
                   lambda name=it: in_force(name).get("revision") == second)
        check(in_force(it)["base"] == changed, f"{it}: {in_force(it)}")

    status, body = cluster.put_policy(FIRST, first, BASE, "late")
    check(status == 409, f"the late put: {status} {body}")
    check(body["revision"] == second and body["author"] == "second", f"{body}")
    for it in ENTRIES:
        check(in_force(it)["revision"] == second, f"{it}: {in_force(it)}")


def check_kill(cluster):
    """Symptom: an accepted batch is lost, or its tasks run twice.

    Events: an entry instance accepts a batch, starts tasks and is killed. Its
    peers adopt its journal and its workers while tasks still run there.
    Cause if it fails: the adopter forgets accepted tasks, or starts tasks
    again that still run under the dead owner's leases.
    """
    cluster.start_serving()
    job_id = cluster.submit_job(FIRST, batch(40, 1500))
    wait_until_running(cluster, FIRST, job_id, 5)
    cluster.kill(FIRST, signal.SIGKILL)
    cluster.wait_for_exit(FIRST)
    done = wait_until_finished(cluster, SECOND, job_id)
    check(done["done"] == 40, f"{done}")
    check_nothing_doubled(cluster)


def check_status(cluster):
    """Symptom: whoever asks for a job's status waits in vain.

    Events: an entry instance with an accepted batch is killed, and another one
    is asked for the batch before it has noticed.
    Cause if it fails: that one passes the question on to the dead one, and
    neither asks again nor gives up when no answer comes.
    """
    cluster.start_serving()
    job_id = cluster.submit_job(FIRST, batch(40, 1500))
    wait_until_running(cluster, FIRST, job_id, 5)
    cluster.kill(FIRST, signal.SIGKILL)
    cluster.wait_for_exit(FIRST)
    status, body = call(cluster.callers[SECOND], "GET", f"/v1/jobs/{job_id}")
    check(status in (200, 503), f"{SECOND} answered {status} {body}")


def check_pause(cluster):
    """Symptom: a task runs in two places.

    Events: an entry instance with running tasks is paused until its peers
    have given it up and adopted its journal; then it wakes, in the belief that
    it still owns its workers and its journal.
    Cause if it fails: the woken process still starts or ends work that is no
    longer its own.
    """
    cluster.start_serving()
    job_id = cluster.submit_job(FIRST, batch(40, 3000))
    wait_until_running(cluster, FIRST, job_id, 5)
    cluster.kill(FIRST, signal.SIGSTOP)
    try:
        wait_until("a peer has adopted the paused one's journal",
                   lambda: any("name=log_adopted" in cluster.log(it)
                               for it in (SECOND, THIRD)))
    finally:
        cluster.kill(FIRST, signal.SIGCONT)
    done = wait_until_finished(cluster, SECOND, job_id)
    check(done["done"] == 40, f"{done}")
    wait_until_finished(cluster, FIRST, job_id)
    check_nothing_doubled(cluster)


def check_stop(cluster):
    """Symptom: a planned stop cuts off requests in progress.

    Events: requests run at minions when the entry instance that they came
    through is asked to stop.
    Cause if it fails: the process closes its connections or exits before it
    has passed on the answers.
    """
    count = 12
    cluster.start_serving()
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        requests = [
            pool.submit(cluster.run_request, FIRST,
                        f"sleep_ms=5000;answer=mine-{it}")
            for it in range(count)]
        wait_until("all requests run",
                   lambda: cluster.counters()["live"] >= count)
        cluster.kill(FIRST, signal.SIGTERM)
        answers = [it.result() for it in requests]
    for it, (status, body) in enumerate(answers):
        check(status == 200 and body.get("answer") == f"mine-{it}",
              f"request {it}: {status} {body}")
    cluster.wait_for_exit(FIRST)
    process = cluster.process(FIRST)
    check(process.returncode == 0, f"{FIRST}: {end_of(process)}")
    check_nothing_doubled(cluster)


def steps_job(job_id, sleep_ms, queue="proposals"):
    """Two parallel steps, and a gang after both."""
    def step(count, **more):
        return {"count": count, "estimate_ms": sleep_ms,
                "each": {"processors_milli": 1000, "memory_mb": 256}} | more

    return {"id": job_id, "queue": queue, "payload": f"sleep_ms={sleep_ms}",
            "steps": [step(4), step(3),
                      step(3, after=[0, 1], gang=True)]}


def submit_steps(cluster, entry, job):
    def accepted():
        status, body = call(cluster.callers[entry], "POST", "/v1/jobs", job)
        check(status in (0, 202, 503, 504), f"{status} {body}")
        return status == 202

    wait_until(f"{entry} accepts {job['id']}", accepted)


def wait_until_steps_end(cluster, entry, job_id, state="completed"):
    wait_until(f"{entry} says that {job_id} is {state}",
               lambda: cluster.job(entry, job_id).get("state") == state)


def check_steps(cluster):
    """Symptom: a job of steps is lost, or its tasks run twice.

    Events: jobs of steps are handed in twice each; while tasks run one owner is
    stopped as planned and another one is killed; the store's answers get lost
    and it refuses for a time; a worker leaves for good; a job is cancelled.
    Cause if it fails: an adopter starts again what still runs, or forgets what
    was stored; a repeated submission makes a second job.
    """
    cluster.start_serving()
    cluster.put_queues()
    jobs = [f"proposal-{it}" for it in range(6)]
    for it, job_id in enumerate(jobs):
        for entry in (ENTRY_NAMES[it % 3], ENTRY_NAMES[(it + 1) % 3]):
            submit_steps(cluster, entry, steps_job(job_id, 1200))
    submit_steps(cluster, SECOND, steps_job("watch", 3600000, "watchers"))
    wait_until("tasks run",
               lambda: cluster.steps_counters()["live"] >= 10)
    cluster.kill(SECOND, signal.SIGTERM)
    cluster.wait_for_exit(SECOND)
    check(cluster.process(SECOND).returncode == 0,
          end_of(cluster.process(SECOND)))
    cluster.kill(FIRST, signal.SIGKILL)
    cluster.wait_for_exit(FIRST)
    cluster.set_steps(lose_answers=3)
    cluster.set_steps(refuse=True)
    status, _ = call(cluster.callers[THIRD], "POST", "/v1/jobs",
                     steps_job("late", 10))
    check(status in (202, 503, 504), f"while the store refuses: {status}")
    cluster.set_steps(refuse=False)
    cluster.set_steps(worker="banqiao-b-s0", gone=True)
    for job_id in jobs:
        wait_until_steps_end(cluster, THIRD, job_id)
    status, _ = call(cluster.callers[THIRD], "DELETE", "/v1/jobs/watch")
    check(status == 200, f"the cancel: {status}")
    wait_until_steps_end(cluster, THIRD, "watch", "cancelled")
    wait_until("nothing runs any more",
               lambda: cluster.steps_counters()["live"] == 0)
    check(cluster.steps_counters()["doubled"] == 0,
          f"{cluster.steps_counters()}")


CASES = {"steps": check_steps, "serve": check_serve, "config": check_config, "kill": check_kill,
         "status": check_status, "pause": check_pause, "stop": check_stop}


def print_logs(cluster):
    for name, text in cluster.logs().items():
        print(f"--- {name}")
        print("\n".join(text.splitlines()[-LOG_TAIL_LINES:]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", required=True)
    parser.add_argument("case", choices=CASES)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(arguments.programs, folder)
        try:
            with cluster:
                CASES[arguments.case](cluster)
        except TestFailure as failure:
            print_logs(cluster)
            print(f"{arguments.case}: {failure}")
            return 1
    print(f"{arguments.case}: holds")
    return 0


if __name__ == "__main__":
    sys.exit(main())
