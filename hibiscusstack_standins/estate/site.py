"""A small site of the platform in one process, on sockets of its own."""

__all__ = ["EstateSite"]

import attrs
from klein import Klein
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
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan
from hibiscusstack_standins.serving import answer_json, answer_problem, read_json

ZONE = "z"
_CAPACITY = Capacity(cpu=2_000, mem_mb=8_192)
_TERMS = {"max_attempts": 3, "target_latency_ms": 8_000}


class EstateSite:
    """A store with one queue, workers that are registered there, and a balancer.

    The balancer runs once the nodes are known. Workers run the tasks of jobs that are
    in the catalog for as long as it says.
    """

    def __init__(self, reactor, workers: int, address: str = "127.0.0.1") -> None:
        self._reactor = reactor
        self._address = address
        self.catalog = Catalog()
        store = StoreService(LogStore())
        self._store = ServiceDriver(reactor, store)
        self.store_port = serve(reactor, self._store, address).getHost().port
        publish_queue(store.store, self._store.now_ms, **_TERMS)
        names = [f"w{number}" for number in range(1, workers + 1)]
        self.workers = [self._worker(name) for name in names]
        registry = Registry(store)
        registry.add(self._store.now_ms, *self.workers)
        ServiceDriver(reactor, registry).pump()

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

        return app

    def _worker(self, name: str) -> Worker:
        plan = WorkerPlan(name, zone=ZONE, machine=name, capacity=_CAPACITY)
        worker = Worker(plan, self.catalog, born_ms=self._store.now_ms)
        driver = ServiceDriver(self._reactor, worker)
        port = serve(self._reactor, driver, self._address).getHost().port
        worker.plan = attrs.evolve(plan, address=f"{self._address}:{port}")
        return worker

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
