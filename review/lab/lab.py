"""A small site on loopback: dispatcher hosts as processes, and stand-ins.

The store, the workers and the service discovery are the project's own stand-ins, which
run in a thread of the calling process. The hosts are started with the command of the
deploy file. Clients are plain HTTP clients in threads.
"""

__all__ = ["HostProcess", "Lab", "LabError", "Reply", "WorkerSpec", "is_disturbed"]

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.internet.threads import blockingCallFromThread
from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from hibiscusstack_standins.estate.events import RunEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.queues import (
    QUEUE_HOST,
    encode_job,
    job_path,
    publish_queues,
)
from hibiscusstack_standins.estate.records import frame_keyed
from hibiscusstack_standins.estate.registry import SERVERS_TOPIC, Registry
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.serving import HttpResource, ServiceDriver
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.template import fill_in
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan
from hibiscusstack_standins.serving import SilenceableFactory, listen

ROOT = Path(__file__).resolve().parents[2]
ADDRESS = "127.0.0.1"
ZONES = ("bagmati-a", "bagmati-b", "bagmati-c")
HEARTBEAT_MS = 1_500
BOUNDS = {
    "hold_max_ms": 1_000,
    "retransmit_ms": 1_300,
    "restore_ms": 600,
    "status_s": 120,
}
LIMITS = {"cores": 2, "cpu_share": 0.537}
READY_TIMEOUT_S = 20
DEADLINE_MS = 1_500
_FIRST_PORT, _END_PORT = 10_000, 30_000
_PORTS_PER_HOST = 4
_CRASH_CHECK_S = 0.005


def is_disturbed() -> bool:
    """Tell whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class LabError(Exception):
    """The case could not run."""


@attrs.frozen
class WorkerSpec:
    """A worker of the site: its name, its zone and its labels."""

    name: str
    zone: str
    labels: tuple[str, ...] = ()
    is_guarded: bool = True
    capacity: Capacity = Capacity(cpu=16_000, mem_mb=32_768)


@attrs.frozen
class Reply:
    """What a client got for one request; ``status`` is None without an answer."""

    status: int | None
    body: dict[str, Any]

    @property
    def is_accepted(self) -> bool:
        """Tell whether the answer is a 2xx."""
        return self.status is not None and 200 <= self.status < 300


@attrs.define(eq=False)
class HostProcess:
    """One dispatcher host."""

    name: str
    zone: str
    settings: Path
    log: Path
    frontend: str
    readiness: str
    operators: str
    process: subprocess.Popen | None = None

    def is_ready(self) -> bool:
        """Return what the load balancer sees."""
        return _get(self.readiness, "/ready")[0] == 200

    def is_coordinator(self) -> bool:
        """Return whether the host coordinates, as it tells operators."""
        status, body = _get(self.operators, "/v1/pool")
        return status == 200 and bool(json.loads(body)["host"]["is_coordinator"])


class Lab:
    """The processes and stand-ins of one case; a context manager that ends them.

    ``wrap_worker`` may put a stand-in of its own between a worker and its port. A
    worker that a task has crashed is back after ``return_after_s``.
    """

    def __init__(
        self,
        folder: Path,
        workers: Sequence[WorkerSpec],
        *,
        queues: dict[str, dict[str, Any]] | None = None,
        wrap_worker: Callable[[Worker], Any] | None = None,
        return_after_s: float = 2.0,
    ) -> None:
        self.catalog = Catalog()
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, HostProcess] = {}
        self._specs = workers
        self._queues = queues or {"q": {"max_attempts": 2, "target_latency_ms": 60}}
        self._wrap_worker = wrap_worker or (lambda worker: worker)
        self._record = (folder / "record.txt").open("w")
        self._record_lock = threading.Lock()
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._return_after_s = return_after_s
        self._is_kept_down: set[str] = set()
        self._drivers: dict[str, ServiceDriver] = {}
        self._ports: dict[str, Any] = {}
        self._connections: dict[str, WrappingFactory] = {}
        self._began = time.monotonic()
        self._thread = threading.Thread(
            target=lambda: reactor.run(installSignalHandlers=False), daemon=True
        )

    def __enter__(self) -> "Lab":
        """Start the store and the workers."""
        self._thread.start()
        self.call(self._start_platform)
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes and write the record."""
        for host in self.hosts.values():
            self.kill(host)
        self.call(self._note_runs)
        reactor.callFromThread(reactor.stop)
        self._thread.join(5)
        self._record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._temporary, ignore_errors=True)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function in the thread of the stand-ins, and return its result."""
        return blockingCallFromThread(reactor, function, *arguments)

    def note(self, text: str) -> None:
        """Write one line with the time to the record."""
        with self._record_lock:
            elapsed_s = time.monotonic() - self._began
            self._record.write(f"{elapsed_s:8.3f} {text}\n")
            self._record.flush()

    def add_jobs(self, jobs: Sequence[Job]) -> None:
        """Let the workers know what the tasks of some jobs do."""
        for job in jobs:
            self.call(self.catalog.add, job)

    def start_hosts(self, count: int) -> None:
        """Start hosts, spread over the zones, and wait until all are ready."""
        ports = _free_ports(count * _PORTS_PER_HOST)
        for number in range(count):
            own = ports[number * _PORTS_PER_HOST :][:_PORTS_PER_HOST]
            self._add_host(f"edge-{number + 1}", ZONES[number % len(ZONES)], own)
        for host in self.hosts.values():
            self.launch(host)
        for host in self.hosts.values():
            self.wait_until_ready(host)

    def launch(self, host: HostProcess) -> None:
        """Start the process of a host, with the command of the deploy file."""
        variables = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in variables if k in os.environ}
        environment["HIBISCUSSTACK_CONFIG"] = str(host.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with host.log.open("ab") as output:
            host.process = subprocess.Popen(
                ["python3", "platform/edge.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.note(f"start {host.name}")

    def wait_until_ready(self, host: HostProcess) -> None:
        """Wait until a host tells the load balancer that it is ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not host.is_ready():
            if host.process.poll() is not None or time.monotonic() > deadline:
                raise LabError(f"{host.name} is not ready")
            time.sleep(0.05)
        self.note(f"ready {host.name}")

    def kill(self, host: HostProcess) -> None:
        """End a process as a crash would."""
        if host.process is not None and host.process.poll() is None:
            host.process.kill()
            host.process.wait()
            self.note(f"killed {host.name}")

    def send(self, host: HostProcess, number: signal.Signals) -> None:
        """Send a signal to a host."""
        host.process.send_signal(number)
        self.note(f"{number.name} to {host.name}")

    def find_coordinator(self) -> HostProcess:
        """Return the host that coordinates, waiting for one if need be."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            for host in self.hosts.values():
                if host.is_coordinator():
                    return host
            time.sleep(0.05)
        raise LabError("no host coordinates")

    def write_entry(self, name: str, value: bytes) -> None:
        """Write an entry to the service discovery as another writer does."""
        store = self._store.service.store
        record = frame_keyed(name, value)
        self.call(store.put, self._store.now_ms, SERVERS_TOPIC, record)
        self.call(self._store.pump)
        self.note(f"entry {name}: {value!r}")

    def crash_worker(self, name: str) -> None:
        """End a worker, and refuse connections to it from then on."""
        self.call(self._crash_worker, name)
        self.note(f"worker {name} crashed")

    def bounce_worker(self, name: str, down_s: float) -> None:
        """End a worker, and start it again after ``down_s``."""

        def bounce() -> None:
            self._crash_worker(name)
            reactor.callLater(down_s, self._restart_worker, name)

        self.call(bounce)
        self.note(f"worker {name} crashed, for {down_s} s")

    def restart_worker(self, name: str) -> None:
        """Start a worker that has crashed again, at its address."""
        self.call(self._restart_worker, name)
        self.note(f"worker {name} started again")

    def with_store(self, act: Callable[[int, StoreService], Any], text: str) -> None:
        """Change what the store does, and write ``text`` to the record."""
        self.call(lambda: act(self._store.now_ms, self._store.service))
        self.call(self._store.pump)
        self.note(text)

    def silence_store_connections(self) -> None:
        """Let all open connections to the store go silent, while new ones work."""
        count = self.call(self._store_connections.silence_open_connections)
        self.note(f"{count} connections to the store are silent")

    def publish(self, queues: dict[str, dict[str, Any]], version: int) -> None:
        """Write a configuration as the operator does."""
        store = self._store.service.store
        self.call(publish_queues, store, self._store.now_ms, queues, version)
        self.call(self._store.pump)
        self.note(f"configuration {version}: {', '.join(queues)}")

    def request(
        self,
        method: str,
        path: str,
        host: HostProcess,
        body: bytes | None = None,
        timeout_s: float = 6.0,
    ) -> Reply:
        """Send one request of a client, and return the answer."""
        headers = {
            "Host": QUEUE_HOST,
            "Content-Type": "application/json",
            "Hibiscusstack-Deadline-Ms": str(DEADLINE_MS),
        }
        address, _, port = host.frontend.rpartition(":")
        connection = http.client.HTTPConnection(address, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            content = json.loads(answer.read() or b"{}")
            reply = Reply(answer.status, content)
        except (OSError, ValueError, http.client.HTTPException):
            reply = Reply(None, {})
        finally:
            connection.close()
        text = reply.body.get("state", reply.body.get("error", ""))
        self.note(f"{method} {path} at {host.name}: {reply.status} {text}")
        return reply

    def submit(self, job: Job, host: HostProcess) -> Reply:
        """Submit a job once."""
        return self.request("POST", job_path(job), host, encode_job(job))

    def ask(self, job: Job, host: HostProcess) -> Reply:
        """Ask for the state of a job."""
        return self.request("GET", job_path(job), host)

    def cancel(self, job: Job, host: HostProcess) -> Reply:
        """Cancel a job."""
        return self.request("DELETE", job_path(job), host)

    def running(self) -> set[str]:
        """Return the names of all tasks that run now."""
        workers = self.workers.values()
        return self.call(lambda: {t for w in workers for t, _ in w.running()})

    def idle_workers(self) -> list[str]:
        """Return the names of the workers on which nothing runs now."""
        known = self.workers.items()
        return self.call(
            lambda: [name for name, w in known if w.is_up and not w.running()]
        )

    def events(self) -> list[Any]:
        """Return what all workers have seen so far."""
        workers = self.workers.values()
        return self.call(lambda: [event for w in workers for event in list(w.events)])

    def at_ms(self) -> int:
        """Return the time of the events of the workers."""
        return self.call(lambda: self._store.now_ms)

    def random_host(self, rng: random.Random) -> HostProcess:
        """Return one of the hosts."""
        return rng.choice(list(self.hosts.values()))

    def _start_platform(self) -> None:
        store = StoreService(LogStore())
        self._store = ServiceDriver(reactor, store)
        site = Site(HttpResource(self._store), reactor=reactor)
        self._store_connections = SilenceableFactory(site)
        port = listen(reactor, self._store_connections, ADDRESS, 0).getHost().port
        self._store_address = f"{ADDRESS}:{port}"
        publish_queues(store.store, self._store.now_ms, self._queues)
        self._registry = Registry(store, HEARTBEAT_MS)
        self._registry_driver = ServiceDriver(reactor, self._registry)
        for spec in self._specs:
            self._start_worker(spec)
        self._registry.add(self._store.now_ms, *self.workers.values())
        self._registry_driver.pump()
        LoopingCall(self._restart_crashed).start(_CRASH_CHECK_S, now=False)

    def _restart_crashed(self) -> None:
        """Close the ports of the workers that a task has crashed, and restart them."""
        for name, worker in self.workers.items():
            if not worker.is_up and name not in self._is_kept_down:
                self._is_kept_down.add(name)
                self._close_port(name)
                reactor.callLater(self._return_after_s, self._restart_worker, name)

    def _start_worker(self, spec: WorkerSpec) -> None:
        plan = WorkerPlan(
            spec.name,
            zone=spec.zone,
            machine=spec.name,
            labels=spec.labels,
            capacity=spec.capacity,
            is_guarded=spec.is_guarded,
        )
        worker = Worker(plan, self.catalog, born_ms=int(time.time() * 1_000))
        # The clock of the drivers is that of the reactor.
        worker.restart(self._store.now_ms)
        driver = ServiceDriver(reactor, self._wrap_worker(worker))
        site = Site(HttpResource(driver), reactor=reactor)
        self._connections[spec.name] = factory = WrappingFactory(site)
        factory.noisy = site.noisy = False
        port = listen(reactor, factory, ADDRESS, 0)
        number = port.getHost().port
        port.port = number
        worker.plan = attrs.evolve(plan, address=f"{ADDRESS}:{number}")
        self.workers[spec.name] = worker
        self._drivers[spec.name], self._ports[spec.name] = driver, port

    def _crash_worker(self, name: str) -> None:
        driver = self._drivers[name]
        self._is_kept_down.add(name)
        self.workers[name].crash(driver.now_ms)
        driver.pump()
        self._close_port(name)

    def _close_port(self, name: str) -> None:
        """Reset all connections of a worker and refuse new ones."""
        self._ports[name].stopListening()
        for connection in list(self._connections[name].protocols):
            connection.transport.abortConnection()

    def _restart_worker(self, name: str) -> None:
        driver = self._drivers[name]
        self._is_kept_down.discard(name)
        self.workers[name].restart(driver.now_ms)
        self._ports[name].startListening()
        driver.pump()

    def _add_host(self, name: str, zone: str, ports: Sequence[int]) -> None:
        peers, operators, frontend, readiness = ports
        fields = {
            "node_name": name,
            "ip": ADDRESS,
            "zone": zone,
            "internal_ports": [peers, operators],
            "listen": {
                "frontend": f"{ADDRESS}:{frontend}",
                "readiness": f"{ADDRESS}:{readiness}",
            },
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": self._store_address},
        }
        template = (ROOT / "deploy" / "hibiscus.ini.template").read_text()
        settings = self._temporary / f"{name}.ini"
        settings.write_text(fill_in(template, fields))
        self.hosts[name] = HostProcess(
            name,
            zone,
            settings,
            self._temporary / f"{name}.log",
            fields["listen"]["frontend"],
            fields["listen"]["readiness"],
            f"{ADDRESS}:{operators}",
        )

    def _note_runs(self) -> None:
        """Write what the workers have seen to the end of the record."""
        origin_ms = self._store.now_ms - (time.monotonic() - self._began) * 1_000
        events = [event for w in self.workers.values() for event in w.events]
        for event in sorted(events, key=lambda each: each.at_ms):
            at_s = (event.at_ms - origin_ms) / 1_000
            if isinstance(event, RunStarted):
                text = f"{event.worker}: started {event.task} run {event.run}"
            elif isinstance(event, RunEnded):
                text = f"{event.worker}: ended {event.task} run {event.run} {event.how}"
            else:
                text = f"{event.worker}: {type(event).__name__}"
            self._record.write(f"{at_s:8.3f} {text}\n")


def _free_ports(count: int) -> list[int]:
    """Return ports that were free just now, below those of outgoing connections."""
    found: list[int] = []
    candidates = list(range(_FIRST_PORT, _END_PORT))
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as each:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                each.bind((ADDRESS, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise LabError("no free ports")


def _get(address: str, path: str) -> tuple[int, bytes]:
    """Return the status and the body, and the status 0 without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
