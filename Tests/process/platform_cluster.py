"""The users' platform as processes: a stand-in that speaks its wire, and three
entry instances that run with the platform's adapter."""

import base64
import json

from cluster import (CALL_TIMEOUT_S, STEPS_SERVICE, PortFinder, ProcessGroup,
                     call, check, own_loopback_ip, wait_until)

HOST = "grants.example"
PREFIXES = {"proposals": "/proposals/", "watchers": "/watchers/"}
GRACE_S = 6


def configuration(version):
    return {
        "version": version,
        "services": [{"name": STEPS_SERVICE, "rejects_overload": False}],
        "routes": [
            {"name": "proposals", "host": HOST,
             "path_prefix": PREFIXES["proposals"], "service": STEPS_SERVICE,
             "priority": 1, "max_attempts": 2, "stretch": 2,
             "target_latency_ms": 500,
             "advice": {"decision_ms": 1, "period_ms": 0, "valid_ms": 2000}},
            {"name": "watchers", "host": HOST,
             "path_prefix": PREFIXES["watchers"], "service": STEPS_SERVICE,
             "priority": 2, "max_attempts": 2, "stretch": 2,
             "target_latency_ms": 500}],
    }


class PlatformCluster(ProcessGroup):
    """The platform's path. `callers` are the addresses for callers."""

    grace_s = GRACE_S

    def __init__(self, programs, folder):
        super().__init__(programs, folder)
        self._ip = own_loopback_ip()
        finder = PortFinder(self._ip)
        self.control = finder.address()
        self.steps_store = finder.address()
        self._advice = finder.address()
        self._unused_platform = finder.address()
        self.callers = {it: finder.address() for it in self.entries}
        self.readiness = {it: finder.address() for it in self.entries}
        self._peers = {it: finder.address() for it in self.entries}
        self.metrics = {it: finder.address() for it in self.entries}
        self._write_standin_settings(finder)
        for it in self.entries:
            self.write_entry_settings(it)
        finder.release()

    def put_configuration(self, version, more=(), timeout_s=CALL_TIMEOUT_S):
        """Puts the queues in force as the platform's operator does."""
        document = configuration(version)
        document["routes"] += more
        value = base64.b64encode(json.dumps(document).encode()).decode()
        status, body = call(
            self.steps_store, "POST", "/kv-txn",
            {"expected": [], "remove": [],
             "set_keys": [{"key": "op/config", "value": value}]}, timeout_s)
        check(status == 200, f"the configuration: {status} {body}")

    def start_serving(self):
        self.put_configuration(1)
        for it in self.entries:
            wait_until(f"{it} is ready", lambda name=it: self.is_ready(name))

    def is_ready(self, name):
        return call(self.readiness[name], "GET", "/ready")[0] == 200

    def start_entry(self, name):
        port = self.metrics[name].rpartition(":")[2]
        self._start(name, "burdockrock", "platform", "--platform_settings",
                    self._folder / f"{name}.json", f"--metrics_port={port}")

    def write_entry_settings(self, name, **bounds):
        """The settings file of one entry instance; `bounds` go into it."""
        peers_port = int(self._peers[name].rpartition(":")[2])
        self._write(name, {
            "node": name, "role": "entry", "machine_class": "frontend",
            "ip": self._ip, "zone": self.entries[name],
            "internal_ports": [peers_port, peers_port],
            "listen": {"frontend": self.callers[name],
                       "readiness": self.readiness[name]},
            "bounds": {"grace_s": self.grace_s, "max_hold_ms": 6000,
                       "stop_timeout_ms": 400, "drain_ms": 2000,
                       "status_s": 120} | bounds,
            "platform": {"address": self.steps_store, "writes_per_s": 400,
                         "reads_per_s": 2000, "min_ttl_ms": 1000,
                         "value_bytes": 1048576},
            "advice": self._advice,
            "limits": {"cpu_share": 1, "cores": 1, "max_fds": 4100}})

    def _start_all(self):
        self._start_standin()
        for it in self.entries:
            self.start_entry(it)

    def _write_standin_settings(self, finder):
        workers = [
            {"id": f"{domain}-s{it}", "domain": domain,
             "rack": f"{domain}-r{it % 2}", "address": finder.address(),
             "service": STEPS_SERVICE,
             "capacity": {"processors_milli": 8000, "memory_mb": 16384}}
            for domain in self.domains for it in range(self.workers_per_domain)]
        self._write("standin", {
            "platform": {"listen": self._unused_platform},
            "steps": {"wire": "platform", "store": self.steps_store,
                      "advice": self._advice, "workers": workers},
            "control": self.control})
