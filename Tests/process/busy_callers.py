"""Callers that keep their connection open and use it without a pause, until
nobody listens at their instance any more. They note each request that was sent
whole and whose connection ended without a whole answer."""

import dataclasses
import json
import random
import select
import socket
import threading
import time

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 40
REFUSED_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True)
class CutRequest:
    """A request without a whole answer. Times are of the monotonic clock."""
    entry: str
    method: str
    path: str
    sent: float
    ended: float
    received: int  # bytes of the answer
    earlier: int   # requests on the same connection before it
    problem: str
    reset: bool    # by the other side's system, as it does with unread bytes

    @property
    def was_read(self):
        """A connection that its process closes after it has read the request
        ends; it is reset only if nobody had read what was sent, as when the
        listener closes before the connection was accepted."""
        return not (self.reset and self.earlier == 0 and self.received == 0)


@dataclasses.dataclass(frozen=True)
class Answer:
    status: int
    closes: bool
    body: bytes


@dataclasses.dataclass(frozen=True)
class Call:
    method: str
    path: str
    body: dict | None = None


def payload(sleep_ms, crash_ms, fails=False):
    """What a stand-in's worker does: sleeps and may fail then, or crashes after a
    while."""
    crash = "" if crash_ms is None else f";crash_ms={crash_ms}"
    return f"sleep_ms={sleep_ms}{crash}{';fail=1' if fails else ''}"


class OwnCalls:
    """Calls about jobs of steps on burdockrock's own path."""
    host = "burdockrock"

    @staticmethod
    def submit(job_id, sleep_ms, crash_ms=None, fails=False):
        return Call("POST", "/v1/jobs", {
            "id": job_id, "queue": "proposals",
            "payload": payload(sleep_ms, crash_ms, fails),
            "steps": [{"count": 1, "estimate_ms": sleep_ms,
                       "each": {"processors_milli": 500, "memory_mb": 64}}]})

    @staticmethod
    def state(job_id):
        return Call("GET", f"/v1/jobs/{job_id}")

    @staticmethod
    def cancel(job_id):
        return Call("DELETE", f"/v1/jobs/{job_id}")


class FlatCalls:
    """The other work of burdockrock's own path: in place of a job's submission,
    state and cancel a batch, a request to a minion and the policy."""
    host = "burdockrock"

    @staticmethod
    def submit(_job_id, sleep_ms, crash_ms=None, fails=False):
        return Call("POST", "/v1/jobs", {
            "kind": "batch", "count": 2, "run_time_ms": sleep_ms,
            "resources": {"processors_milli": 100, "memory_mb": 64},
            "payload": payload(sleep_ms, crash_ms, fails)})

    @staticmethod
    def state(job_id):
        return Call("POST", "/v1/requests", {
            "service": "grantdesk", "deadline_ms": 5000,
            "payload": f"sleep_ms=50;answer={job_id}"})

    @staticmethod
    def cancel(_job_id):
        return Call("GET", "/v1/config")


class PlatformCalls:
    """The same on the users' platform."""
    host = "grants.example"

    @staticmethod
    def submit(job_id, sleep_ms, crash_ms=None, fails=False):
        return Call("POST", f"/proposals/{job_id}", {
            "spec": payload(sleep_ms, crash_ms, fails),
            "steps": [{"count": 1, "estimate_ms": sleep_ms, "cpu": 500,
                       "mem_mb": 64}]})

    @staticmethod
    def state(job_id):
        return Call("GET", f"/proposals/{job_id}")

    @staticmethod
    def cancel(job_id):
        return Call("DELETE", f"/proposals/{job_id}")


class Connection:
    """One connection; `None` for an answer means that it ended without one."""

    def __init__(self, address, host):
        ip, port = address.split(":")
        self._host = host
        self._socket = socket.create_connection((ip, int(port)),
                                                CONNECT_TIMEOUT_S)
        self._socket.settimeout(ANSWER_TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.requests = 0
        self.received = b""
        self.problem = ""
        self.reset = False

    def close(self):
        self._socket.close()

    def settimeout(self, seconds):
        self._socket.settimeout(seconds)

    def is_closed(self):
        """Whether the other side has ended it already."""
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if not poller.poll(0):
            return False
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def send(self, call):
        """False when not all of it could be sent."""
        body = b"" if call.body is None else json.dumps(call.body).encode()
        head = (f"{call.method} {call.path} HTTP/1.1\r\n"
                f"Host: {self._host}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        self.received = b""
        self.requests += 1
        try:
            self._socket.sendall(head.encode() + body)
        except OSError as error:
            self.problem = f"send: {error}"
            return False
        return True

    def read(self):
        while True:
            answer = self._parse()
            if answer is not None:
                return answer
            try:
                more = self._socket.recv(READ_BYTES)
            except OSError as error:
                self.problem = f"receive: {error}"
                self.reset = isinstance(error, ConnectionResetError)
                return None
            if not more:
                self.problem = "receive: end of file"
                return None
            self.received += more

    def _parse(self):
        head, found, body = self.received.partition(b"\r\n\r\n")
        if not found:
            return None
        lines = head.decode().split("\r\n")
        headers = {}
        for it in lines[1:]:
            name, _, value = it.partition(":")
            headers[name.strip().lower()] = value.strip().lower()
        if len(body) < int(headers["content-length"]):
            return None
        return Answer(status=int(lines[0].split()[1]),
                      closes=headers.get("connection") == "close", body=body)


@dataclasses.dataclass(frozen=True)
class Mix:
    """What the callers ask. Shares are of the rounds, a job each."""
    callers: int = 60
    sleep_ms: int = 1000
    cancels: float = 0.1
    states: int = 6      # questions for a job's state after its submission
    pause_s: float = 0   # between two requests of one caller
    known: tuple = ()    # jobs whose states are asked for, and nothing else


class BusyCallers:
    """All callers of the given instances, a thread each."""

    def __init__(self, calls, addresses, mix, seed):
        self._calls = calls
        self._mix = mix
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.cut = []
        self.answers = 0
        self.closed = 0       # connections that an answer told to end
        self.statuses = {}    # by method and status
        self.accepted = set()
        self.cancelled = set()
        entries = sorted(addresses)
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(entries[it % len(entries)],
                      addresses[entries[it % len(entries)]],
                      f"job-{seed}-{it}", random.Random(f"{seed}-{it}")),
                daemon=True)
            for it in range(mix.callers)]

    def __enter__(self):
        for it in self._threads:
            it.start()
        return self

    def __exit__(self, *unused):
        self.stop()

    def stop(self):
        self._stopping.set()
        for it in self._threads:
            it.join()

    def _run(self, entry, address, prefix, chance):
        rounds = 0
        connection = None
        while not self._stopping.is_set():
            job_id = f"{prefix}-{rounds}"
            rounds += 1
            for it in self._round(job_id, chance):
                if self._stopping.is_set():
                    break
                connection = self._ask(entry, address, connection, it, job_id)
                if self._mix.pause_s:
                    time.sleep(self._mix.pause_s * chance.random())
        if connection is not None:
            connection.close()

    def _round(self, job_id, chance):
        if self._mix.known:
            return [self._calls.state(chance.choice(self._mix.known))]
        calls = [self._calls.submit(job_id, self._mix.sleep_ms)]
        calls += [self._calls.state(job_id)] * self._mix.states
        if chance.random() < self._mix.cancels:
            calls.insert(chance.randrange(1, len(calls)),
                         self._calls.cancel(job_id))
        return calls

    def _ask(self, entry, address, connection, request, job_id):
        """Gives the connection for the next request, or None."""
        if connection is None:
            try:
                connection = Connection(address, self._calls.host)
            except OSError:
                time.sleep(REFUSED_PAUSE_S)
                return None
        sent_whole = connection.send(request)
        sent = time.monotonic()
        answer = connection.read() if sent_whole else None
        if answer is None:
            connection.close()
            if sent_whole:
                self._note_cut(entry, connection, request, sent)
            return None
        self._note_answer(request, answer, job_id)
        if answer.closes:
            connection.close()
            return None
        return connection

    def _note_cut(self, entry, connection, request, sent):
        cut = CutRequest(entry=entry, method=request.method, path=request.path,
                         sent=sent, ended=time.monotonic(),
                         received=len(connection.received),
                         earlier=connection.requests - 1,
                         problem=connection.problem, reset=connection.reset)
        with self._lock:
            self.cut.append(cut)

    def _note_answer(self, request, answer, job_id):
        with self._lock:
            self.answers += 1
            self.closed += answer.closes
            key = (request.method, answer.status)
            self.statuses[key] = self.statuses.get(key, 0) + 1
            if request.method == "POST" and answer.status in (200, 202):
                self.accepted.add(job_id)
            if request.method == "DELETE" and answer.status == 200:
                self.cancelled.add(job_id)
