"""A small site of the platform for the scripts: a store, workers and their registry.

It is built from the project's own stand-ins, and adds what they lack: workers of a
size that the script chooses, workers that refuse starts while they are unhealthy, and
a listing of what runs where.
"""

import argparse
import json
import sys
from collections.abc import Callable
from pathlib import Path

import attrs
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import Site

from hibiscusstack_standins.estate.events import LifeEnded, RunEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.messages import Answer, Outcome, Request
from hibiscusstack_standins.estate.records import frame_keyed
from hibiscusstack_standins.estate.registry import Registry
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.serving import ServiceDriver, serve
from hibiscusstack_standins.estate.store_service import Outage, StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan

ADDRESS = "127.0.0.1"
SERVICE = "lipi-booking"
ZONES = ("bagmati-a", "bagmati-b", "bagmati-c")
WORKERS_PER_RACK = 8
MAX_HOSTS = 6
PORT_CHECK_S = 0.01


class ScriptedWorker(Worker):
    """A worker that refuses starts with 503 while it ``refuses_starts``."""

    refuses_starts = False

    def _refusal_of(self, now_ms: int, request: Request) -> Outcome | None:
        refusal = super()._refusal_of(now_ms, request)
        if refusal is None and self.refuses_starts and request.path == "/run-start":
            return Answer(503)
        return refusal


class Estate:
    """The store and the workers of one service, with the calls of a script."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._catalog = Catalog()
        store = StoreService(LogStore())
        self._store = ServiceDriver(reactor, store)
        # Hosts share an address, so the port of the store tells them apart.
        self.store_ports = {
            name: serve(reactor, self._store, ADDRESS, names={ADDRESS: name})
            for name in (f"edge-{number + 1}" for number in range(MAX_HOSTS))
        }
        self._configure({"version": 7, "service": SERVICE, "services": [SERVICE]})
        self._registry = Registry(store, options.heartbeat_ms)
        self._registry_driver = ServiceDriver(reactor, self._registry)
        self._workers: dict[str, ScriptedWorker] = {}
        self._drivers: dict[str, ServiceDriver] = {}
        self._ports: dict[str, object] = {}
        for _ in range(options.workers):
            self._join()
        LoopingCall(self._update_ports).start(PORT_CHECK_S, now=False)
        self.calls: dict[str, Callable[[dict], dict]] = {
            "/configure": self._configure,
            "/outage": self._set_outage,
            "/jobs": self._add_jobs,
            "/join": lambda body: self._join(body.get("service", SERVICE)),
            "/leave": self._leave,
            "/crash": self._crash,
            "/restart": self._restart,
            "/unhealthy": self._set_unhealthy,
            "/state": lambda _: self._describe(),
        }

    def _configure(self, body: dict) -> dict:
        """Publish a configuration that sends the queue to a service."""
        route = {
            "name": "q",
            "host": "q.example",
            "path_prefix": "/q/",
            "service": body["service"],
            "priority": 1,
            "max_attempts": self._options.max_attempts,
            "stretch": 1.6,
            "target_latency_ms": 60,
        }
        configuration = {
            "version": body["version"],
            "routes": [route],
            "services": [
                {"name": name, "rejects_overload": True} for name in body["services"]
            ],
            "limits": {},
        }
        record = frame_keyed("config", json.dumps(configuration).encode())
        self._store.service.store.put(self._store.now_ms, "keyed.op", record)
        self._store.pump()
        return {}

    def _join(self, service: str = SERVICE) -> dict:
        number = len(self._workers)
        name = f"w{number + 1}"
        options = self._options
        has_gpu = number < options.gpu_workers
        plan = WorkerPlan(
            name,
            service=service,
            zone=ZONES[number % len(ZONES)],
            machine=f"m{number + 1}",
            labels=("a", f"r{number // WORKERS_PER_RACK}"),
            rack=f"r{number // WORKERS_PER_RACK}",
            capacity=Capacity(
                options.worker_cpu, options.worker_mem_mb, options.gpus * has_gpu
            ),
        )
        worker = ScriptedWorker(plan, self._catalog, born_ms=self._store.now_ms)
        driver = ServiceDriver(reactor, worker)
        port = serve(reactor, driver, ADDRESS)
        port.port = port.getHost().port
        worker.plan = attrs.evolve(plan, address=f"{ADDRESS}:{port.port}")
        self._ports[name], self._drivers[name] = port, driver
        self._workers[name] = worker
        self._registry.add(self._store.now_ms, worker)
        self._registry_driver.pump()
        return {"worker": name}

    def _update_ports(self) -> None:
        for name, worker in self._workers.items():
            port = self._ports[name]
            if worker.is_up and not port.connected:
                port.startListening()
            elif port.connected and not worker.is_up:
                port.stopListening()

    def _set_outage(self, body: dict) -> dict:
        """Turn some hosts away, or none where no kind of outage is given."""
        callers = frozenset(body["hosts"])
        outages = [Outage(body["kind"], callers)] if body["kind"] else []
        self._store.service.set_outages(self._store.now_ms, outages)
        self._store.pump()
        return {}

    def _add_jobs(self, body: dict) -> dict:
        for each in body["jobs"]:
            steps = tuple(
                Step(**{**step, "after": tuple(step.get("after", ()))})
                for step in each["steps"]
            )
            self._catalog.add(Job(**{**each, "steps": steps}))
        return {}

    def _leave(self, body: dict) -> dict:
        now_ms = self._store.now_ms
        self._registry.drain(now_ms, body["worker"], body["remaining_ms"])
        self._registry_driver.pump()
        self._drivers[body["worker"]].pump()
        return {}

    def _crash(self, body: dict) -> dict:
        self._workers[body["worker"]].crash(self._store.now_ms)
        self._drivers[body["worker"]].pump()
        return {}

    def _restart(self, body: dict) -> dict:
        self._workers[body["worker"]].restart(self._store.now_ms)
        self._drivers[body["worker"]].pump()
        self._registry_driver.pump()
        return {}

    def _set_unhealthy(self, body: dict) -> dict:
        self._workers[body["worker"]].refuses_starts = body["refuses_starts"]
        return {}

    def _describe(self) -> dict:
        workers = {
            name: {
                "is_up": worker.is_up,
                "capacity": attrs.asdict(worker.plan.capacity),
                "running": worker.running(),
            }
            for name, worker in self._workers.items()
        }
        events = [
            {"kind": type(event).__name__, **attrs.asdict(event)}
            for worker in self._workers.values()
            for event in worker.events
            if isinstance(event, RunStarted | RunEnded | LifeEnded)
        ]
        events.sort(key=lambda event: event["at_ms"])
        return {"now_ms": self._store.now_ms, "workers": workers, "events": events}


class ControlResource(Resource):
    """Gives the calls of a script to the estate, as JSON."""

    isLeaf = True  # noqa: N815

    def __init__(self, estate: Estate) -> None:
        super().__init__()
        self._estate = estate

    def render_POST(self, request: HttpRequest) -> bytes:  # noqa: N802
        """Carry out one call."""
        act = self._estate.calls[request.path.decode()]
        body = json.loads(request.content.read() or b"{}")
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(act(body)).encode()


def main() -> None:
    """Serve an estate until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--worker-cpu", type=int, default=16_000)
    parser.add_argument("--worker-mem-mb", type=int, default=32_768)
    parser.add_argument("--gpu-workers", type=int, default=0)
    parser.add_argument("--gpus", type=int, default=8)
    parser.add_argument("--heartbeat-ms", type=int, default=1_500)
    parser.add_argument("--max-attempts", type=int, default=4)
    parser.add_argument("--ready-file", type=Path, required=True)
    options = parser.parse_args()
    estate = Estate(options)
    control = reactor.listenTCP(0, Site(ControlResource(estate)), interface=ADDRESS)
    ports = {name: port.getHost().port for name, port in estate.store_ports.items()}
    ready = {"control": control.getHost().port, "store": ports}
    partial = options.ready_file.with_suffix(".partial")
    partial.write_text(json.dumps(ready))
    partial.rename(options.ready_file)
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
