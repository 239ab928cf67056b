"""A small site of the platform in one process, on sockets of its own."""

__all__ = ["EstateSite"]

import attrs
from klein import Klein
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall
from twisted.web.http import Request

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.auditor import Auditor, ClientRecord
from hibiscusstack_standins.estate.balancer import EdgeNode, Rotation
from hibiscusstack_standins.estate.events import RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.queues import publish_queue
from hibiscusstack_standins.estate.registry import Registry
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.serving import (
    ServiceDriver,
    balance,
    probe_ready,
    serve,
)
from hibiscusstack_standins.estate.store_service import Outage, StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan
from hibiscusstack_standins.serving import answer_json, answer_problem, read_json

ZONE = "z"
_CAPACITY = Capacity(cpu=2_000, mem_mb=8_192)
# How long a worker is down that a task has crashed.
_RETURN_MS = 1_000
_PORT_CHECK_S = 0.01
_TERMS = {"max_attempts": 3, "target_latency_ms": 8_000}


class EstateSite:
    """A store with one queue, workers that are registered there, and a balancer.

    The balancer runs once the nodes are known. Workers run the tasks of jobs that are
    in the catalog for as long as it says; one that a task crashes is back after
    ``_RETURN_MS``. With ``expires_in_outage``, entries of
    workers also expire while the store is down.
    """

    def __init__(
        self,
        reactor,
        workers: int,
        address: str = "127.0.0.1",
        *,
        heartbeat_ms: int = 1_500,
        expires_in_outage: bool = False,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self.catalog = Catalog()
        store = StoreService(LogStore())
        self._store = ServiceDriver(reactor, store)
        self.store_port = serve(reactor, self._store, address).getHost().port
        publish_queue(store.store, self._store.now_ms, **_TERMS)
        self.workers: list[Worker] = []
        self._worker_drivers: dict[str, ServiceDriver] = {}
        self._registry = Registry(store, heartbeat_ms, expires_in_outage)
        self._registry_driver = ServiceDriver(reactor, self._registry)
        self._ports: dict[str, IListeningPort] = {}
        self._down_by_fault: set[str] = set()
        self._crashed_ms: dict[str, int] = {}
        LoopingCall(self._update_ports).start(_PORT_CHECK_S, now=False)
        for _ in range(workers):
            self._join()

    def control(self) -> Klein:
        """Return the application that takes jobs and nodes, and audits the runs."""
        app = Klein()

        @app.route("/control/jobs", methods=["PUT"])
        def jobs(request: Request) -> int:
            return self._answer(request, self._add_jobs)

        @app.route("/control/balancer", methods=["PUT"])
        def balancer(request: Request) -> int:
            return self._answer(request, self._balance)

        @app.route("/control/audit", methods=["POST"])
        def audit(request: Request) -> int:
            return self._answer(request, self._audit)

        @app.route("/control/fault", methods=["POST"])
        def fault(request: Request) -> int:
            return self._answer(request, self._apply_fault)

        return app

    def _join(self) -> None:
        """Start one more worker and register it."""
        worker = self._start_worker(f"w{len(self.workers) + 1}")
        self.workers.append(worker)
        self._registry.add(self._store.now_ms, worker)
        self._registry_driver.pump()

    def _start_worker(self, name: str) -> Worker:
        plan = WorkerPlan(name, zone=ZONE, machine=name, capacity=_CAPACITY)
        worker = Worker(plan, self.catalog, born_ms=self._store.now_ms)
        driver = ServiceDriver(self._reactor, worker)
        port = serve(self._reactor, driver, self._address)
        number = port.getHost().port
        worker.plan = attrs.evolve(plan, address=f"{self._address}:{number}")
        # The worker returns with the same number.
        port.port = number
        self._ports[name] = port
        self._worker_drivers[name] = driver
        return worker

    def _update_ports(self) -> None:
        """Let workers listen while they live, and return after a task crashed them."""
        self._restart_crashed()
        for worker in self.workers:
            port = self._ports[worker.plan.id]
            if worker.is_up and not port.connected:
                port.startListening()
            elif port.connected and not worker.is_up:
                port.stopListening()

    def _restart_crashed(self) -> None:
        """Restart the workers that a task has crashed, and that no fault keeps down."""
        now_ms = self._store.now_ms
        for worker in self.workers:
            name = worker.plan.id
            if worker.is_up or worker.has_left or name in self._down_by_fault:
                self._crashed_ms.pop(name, None)
            elif now_ms >= self._crashed_ms.setdefault(name, now_ms) + _RETURN_MS:
                worker.restart(now_ms)
                self._worker_drivers[name].pump()

    def _answer(self, request: Request, act) -> int:
        try:
            return answer_json(request, 200, act(read_json(request)))
        except (InvalidInputError, AttributeError, KeyError, TypeError):
            return answer_problem(request, 400, "bad_request")

    def _add_jobs(self, body: dict) -> dict:
        jobs = [_decode_job(each) for each in body["jobs"]]
        for job in jobs:
            self.catalog.add(job)
        return {"jobs": len(self.catalog.jobs)}

    def _balance(self, body: dict) -> dict:
        rotation = Rotation([EdgeNode(**node) for node in body["nodes"]], {})
        probe_ready(self._reactor, rotation)
        listening = balance(self._reactor, rotation, ZONE, self._address)
        return {"port": listening.getHost().port}

    def _apply_fault(self, body: dict) -> dict:
        """Begin or end a fault; ``worker`` is the name of the worker that has it."""
        now_ms, name = self._store.now_ms, body.get("worker", "")
        store = self._store.service
        match body["fault"]:
            case "store":
                kind = body["outage"]
                store.set_outages(now_ms, [Outage(kind)] if kind else [])
            case "configuration":
                terms = _TERMS | body["terms"]
                publish_queue(store.store, now_ms, body["version"], **terms)
            case "join":
                self._join()
            case "leave":
                self._registry.drain(now_ms, name, body["drain_ms"])
            case "crash":
                self._down_by_fault.add(name)
                self._worker_drivers[name].service.crash(now_ms)
            case "restart":
                self._down_by_fault.discard(name)
                self._worker_drivers[name].service.restart(now_ms)
            case "cut_off":
                self._registry.cut_off.add(name)
            case "reconnect":
                self._registry.cut_off.discard(name)
            case fault:
                raise InvalidInputError("fault", "a known fault", fault)
        for driver in (self._store, self._registry_driver, *self._drivers_of(name)):
            driver.pump()
        return {"workers": len(self.workers)}

    def _drivers_of(self, worker: str) -> list[ServiceDriver]:
        return [self._worker_drivers[worker]] if worker else []

    def _audit(self, body: dict) -> dict:
        clients = {
            job_id: _decode_client(record) for job_id, record in body["clients"].items()
        }
        events = [event for worker in self.workers for event in worker.events]
        found = Auditor(self.catalog, clients).audit(events, self._store.now_ms)
        runs = sum(isinstance(event, RunStarted) for event in events)
        return {"runs": runs, "violations": [attrs.asdict(each) for each in found]}


def _decode_job(body: dict) -> Job:
    steps = tuple(_decode_step(step) for step in body["steps"])
    return Job(**{**body, "steps": steps})


def _decode_step(body: dict) -> Step:
    lists = {name: tuple(each) for name, each in body.items() if isinstance(each, list)}
    return Step(**{**body, **lists})


def _decode_client(body: dict) -> ClientRecord:
    return ClientRecord(**{**body, "statuses": tuple(body["statuses"])})
