"""The deployments of a soak: any number of instances, which stop, end and
start again, with a record of each life."""

import threading
import time

from busy_callers import FlatCalls
from cluster import STEPS_SERVICE, PortFinder, call
from platform_cluster import HOST
from run_stops import OwnPath, PlatformPath
from soak_settings import DOMAINS

WORKER_MILLI = 8000
SHRUNK_MILLI = 1000  # of a worker whose capacity has shrunk
START_BOUND_S = 30
PUT_TIMEOUT_S = 3
POLL_S = 0.02


def entries_of(fleet):
    """Names and failure domains, in turn over the domains."""
    domains = DOMAINS[:fleet["domains"]]
    return {f"entry-{domains[it % len(domains)]}-{it // len(domains) + 1}":
            domains[it % len(domains)] for it in range(fleet["entries"])}


class Life:
    """One process of an instance, from its start to its exit."""

    def __init__(self, name, process):
        self.name = name
        self.process = process
        self.began = time.monotonic()
        self.ended = None
        self.cause = ""  # of its exit, noted before the signal is sent
        self.over = threading.Event()

    def record(self):
        return {"name": self.name, "pid": self.process.pid,
                "began": self.began, "ended": self.ended,
                "code": self.process.returncode, "cause": self.cause}


class SoakFleet:
    """What both paths have in common; mixed into their clusters. A slot is
    the place of an instance, which another one may take over."""
    flat_calls = None

    def __init__(self, programs, folder, fleet, history):
        self.entries = entries_of(fleet)
        self.workers_per_domain = fleet["workers_per_domain"]
        self.slots = list(self.entries)
        self._history = history
        self._lives = {}
        self._lives_lock = threading.Lock()
        super().__init__(programs, folder)

    def life(self, name):
        return self._lives[name]

    def pids(self):
        with self._lives_lock:
            lives = list(self._lives.items())
        return [(name, it.process.pid) for name, it in lives
                if not it.over.is_set()]

    def place(self, slot):
        name = self.slots[slot]
        return name, self.callers[name]

    def worker_names(self):
        letter = self.worker_letter
        return [f"{domain}-{letter}{it}" for domain in self.domains
                for it in range(self.workers_per_domain)]

    def flat_worker_names(self):
        """Those of flat jobs, where `flat_calls` submits them."""
        return [f"{domain}-w{it}" for domain in self.domains
                for it in range(self.workers_per_domain)]

    def steps_runs(self):
        """The stand-in's record of runs; None where it has none."""
        status, body = call(self.control, "GET", "/control/steps/runs")
        return body if status == 200 else None

    def serves(self, name):
        raise NotImplementedError

    def wait_until_serving(self, name):
        """Whether it serves before its process ends or the bound."""
        end = time.monotonic() + START_BOUND_S
        life = self.life(name)
        while time.monotonic() < end and not life.over.is_set():
            if self.serves(name):
                return True
            life.over.wait(POLL_S)
        return False

    def _start(self, name, program, *arguments):
        super()._start(name, program, *arguments)
        life = Life(name, self._processes[name])
        with self._lives_lock:
            self._lives[name] = life
        threading.Thread(target=self._await_end, args=(life,),
                         daemon=True).start()

    def _await_end(self, life):
        life.process.wait()
        life.ended = time.monotonic()
        self._history.add("processes", life.record())
        life.over.set()

    def _end_all(self):
        for it in self._lives.values():
            it.cause = it.cause or "end of the run"
        super()._end_all()
        for it in self._lives.values():
            it.over.wait()


class OwnFleet(SoakFleet, OwnPath):
    flat_calls = FlatCalls
    worker_letter = "s"
    grace_s = 40  # a stop may wait for a peer that takes over
    has_hangup = False

    def serves(self, name):
        status, body = call(self.callers[name], "GET", "/v1/health")
        return status == 200 and body.get("state") == "serving"

    def put_version(self, version, names):
        del version
        self.put_queues([{"name": it, "service": STEPS_SERVICE,
                          "max_attempts": 2} for it in names])


class PlatformFleet(SoakFleet, PlatformPath):
    worker_letter = "s"
    has_hangup = True

    def serves(self, name):
        return self.is_ready(name)

    def put_version(self, version, names):
        self.put_configuration(version, [
            {"name": it, "host": HOST, "path_prefix": f"/{it}/",
             "service": STEPS_SERVICE, "priority": 2, "max_attempts": 2,
             "stretch": 2, "target_latency_ms": 500} for it in names], PUT_TIMEOUT_S)

    def add_replacement(self, slot):
        """Gives the name of a new instance, at an address of its own, that
        takes the slot."""
        old = self.slots[slot]
        stem, _, number = old.partition("+")
        name = f"{stem}+{int(number or 0) + 1}"
        places = (self.callers, self.readiness, self._peers, self.metrics)
        # Also of instances that are down: they come back to theirs.
        taken = {address for it in places for address in it.values()}
        finder = PortFinder(self._ip)
        for it in places:
            while (address := finder.address()) in taken:
                pass
            it[name] = address
        finder.release()
        self.entries = self.entries | {name: self.entries[old]}
        self.write_entry_settings(name)
        self.start_entry(name)
        return name


FLEETS = {"own": OwnFleet, "platform": PlatformFleet}
