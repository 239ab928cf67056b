"""The product's own decision code, with fakes at its interfaces."""

__all__ = ["EngineFleet"]

import random
from collections import Counter
from collections.abc import Callable

import attrs

from benches.policy.simulation import LATENCY_MS, Ending, Run, Worker
from benches.policy.workload import Arrival
from benches.policy.world import Verdict, World
from hibiscusstack.dispatch.answers import (
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.effects import (
    Answer,
    Effect,
    SendPeer,
    StartTask,
    StopTasks,
    TargetReply,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskSilent,
    TaskState,
    TaskStates,
)
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import HostName, Message
from hibiscusstack.dispatch.planning.policy_components import (
    PolicyComponents,
    make_policy_components,
)
from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.dispatch.targets import TargetInfo

TICK_INTERVAL_MS = 10
HEARTBEAT_INTERVAL_MS = 500
LOSS_DETECTION_MS = 1_500
DATA_CENTRE = "dc1"


@attrs.define
class _Attempt:
    arrival: Arrival
    host: HostName
    job_id: str
    answer: Callable[[Verdict], None]


class EngineFleet:
    """Engines of one data centre that exchange their messages in virtual time.

    Each caller has an id of the host that its job lands on, as the client library
    arranges it, so no job is forwarded.
    """

    def __init__(self, world: World, seed: str) -> None:
        self.messages: Counter = Counter()
        self._world = world
        self._loop = world.loop
        self._random = random.Random(seed)
        self._attempts: dict[int, _Attempt] = {}
        self._latest: dict[int, int] = {}
        self._numbers: dict[str, int] = {}
        self._results: dict[str, TaskResult] = {}
        self._stopped: set[str] = set()
        self._next_request = 0
        count = world.organisation.hosts
        names = [HostName(DATA_CENTRE, f"host-{n}", 1) for n in range(count)]
        self.engines = {name: self._engine(name) for name in names}
        self._live = list(names)
        self._connect()

    def submit(self, arrival: Arrival, answer: Callable[[Verdict], None]) -> None:
        """Submit one attempt at a random host that the balancer has."""
        host = self._random.choice(self._live)
        self._next_request += 1
        request = self._next_request
        engine = self.engines.get(host)
        if engine is None:
            refused = Verdict(Outcome.NOT_RUN, Reason.OWNER_UNREACHABLE, 50)
            self._loop.later(LATENCY_MS, lambda: answer(refused))
            return
        job_id = engine.ids.mint(1)[0]
        self._attempts[request] = _Attempt(arrival, host, job_id, answer)
        self._latest[arrival.number] = request
        self._numbers[job_id] = arrival.number
        job = _job_of(arrival, job_id)
        self._do(host, lambda: engine.submit(request, job))

    def cancel(self, arrival: Arrival) -> None:
        """Cancel the latest attempt of a job."""
        attempt = self._attempts.get(self._latest.get(arrival.number, 0))
        if attempt is not None and attempt.host in self.engines:
            engine = self.engines[attempt.host]
            caller = _caller_of(arrival)
            self._do(attempt.host, lambda: engine.cancel(attempt.job_id, caller))

    def lose_host(self, index: int) -> None:
        """Lose one host; callers see their connections end, peers notice later."""
        lost = list(self.engines)[index]
        del self.engines[lost]
        for request, attempt in list(self._attempts.items()):
            if attempt.host == lost:
                del self._attempts[request]
                attempt.answer(Verdict(Outcome.UNKNOWN, Reason.OWNER_LOST))
        self._loop.later(LOSS_DETECTION_MS, lambda: self._notice_loss(lost))

    def workers_changed(self) -> None:
        """Hand every engine a new list of targets."""
        infos = [_info_of(worker) for worker in self._world.workers]
        for name, engine in list(self.engines.items()):
            self._do(name, lambda e=engine: e.targets_listed(infos))

    def _engine(self, name: HostName) -> Engine:
        clock = self._loop.clock
        ids = IdIssuer(name, clock, secret=name.name.encode().ljust(16))
        return Engine(name, clock, ids, self._make_parts())

    def _make_parts(self) -> PolicyComponents:
        return make_policy_components(CurrentPolicy(self._world.policy))

    def _connect(self) -> None:
        for name, engine in self.engines.items():
            for other in self.engines:
                if other != name:
                    self._do(name, lambda e=engine, o=other: e.peer_connected(o))
        self.workers_changed()
        for number, name in enumerate(self.engines):
            offset_ms = number * TICK_INTERVAL_MS / len(self.engines)
            self._loop.later(offset_ms, lambda n=name: self._tick(n))
            self._loop.later(offset_ms, lambda n=name: self._beat(n))

    def _tick(self, name: HostName) -> None:
        if name in self.engines:
            self._do(name, self.engines[name].tick)
            self._loop.later(TICK_INTERVAL_MS, lambda: self._tick(name))

    def _beat(self, name: HostName) -> None:
        if name not in self.engines:
            return
        heartbeat = self.engines[name].heartbeat()
        for other in self.engines:
            if other != name:
                self._send(name, other, heartbeat)
        self._loop.later(HEARTBEAT_INTERVAL_MS, lambda: self._beat(name))

    def _notice_loss(self, lost: HostName) -> None:
        self._live.remove(lost)
        for name, engine in list(self.engines.items()):
            self._do(name, lambda e=engine: e.peer_lost(lost))

    def _do(self, name: HostName, call: Callable[[], list[Effect]]) -> None:
        if name not in self.engines:
            return
        for effect in call():
            self._carry_out(name, effect)

    def _carry_out(self, name: HostName, effect: Effect) -> None:
        if isinstance(effect, Answer):
            self._answer(effect)
        elif isinstance(effect, SendPeer):
            self._send(name, effect.to, effect.message)
        elif isinstance(effect, StartTask):
            self._loop.later(LATENCY_MS, lambda: self._start(name, effect))
        elif isinstance(effect, StopTasks):
            self.messages["StopTasks"] += 2
            self._loop.later(LATENCY_MS, lambda: self._stop(name, effect))

    def _answer(self, effect: Answer) -> None:
        attempt = self._attempts.pop(effect.request, None)
        if attempt is None:
            return
        problem = effect.answer.problem or Problem(None)
        attempt.answer(
            Verdict(effect.answer.outcome, problem.reason, problem.retry_after_ms)
        )

    def _send(self, sender: HostName, to: HostName, message: Message) -> None:
        self.messages[type(message).__name__] += 1
        self._loop.later(
            LATENCY_MS,
            lambda: self._do(to, lambda: self.engines[to].receive(sender, message)),
        )

    def _reply(self, name: HostName, start: StartTask, reply: TargetReply) -> None:
        def deliver() -> None:
            self._do(name, lambda: self.engines[name].target_replied(start, reply))

        self._loop.later(LATENCY_MS, deliver)

    def _start(self, name: HostName, start: StartTask) -> None:
        worker = self._world.worker_named(start.target)
        refusal = _refusal_of(worker, start.task_id in self._stopped)
        if refusal is not None:
            self.messages["refused"] += 2
            self._reply(name, start, refusal)
            return
        job_number = self._numbers[start.task_id.rsplit("/", 2)[0]]

        def ended(run: Run, ending: Ending) -> None:
            self._reply(name, start, self._ending_reply(start, run, ending))

        worker.start(Run(start.task_id, start.task.payload, ended, job_number))

    def _ending_reply(self, start: StartTask, run: Run, ending: Ending) -> TargetReply:
        if ending is Ending.LOST:
            return TaskSilent("the connection was reset")
        is_success = ending is Ending.SUCCEEDED
        outcome = Outcome.SUCCEEDED if is_success else Outcome.FAILED
        spent_ms = round(self._loop.now_ms - run.started_ms)
        result = TaskResult(start.task.index, outcome, run_time_ms=spent_ms)
        self._results[start.task_id] = result
        return TaskFinished(result)

    def _stop(self, name: HostName, effect: StopTasks) -> None:
        worker = self._world.worker_named(effect.target)
        states = None
        if not worker.is_down:
            states = {each: self._state_of(worker, each) for each in effect.task_ids}
            if not effect.only_unstarted:
                for task_id in effect.task_ids:
                    worker.stop(task_id)
        results = {i: self._results[i] for i in effect.task_ids if i in self._results}
        answer = TaskStates(effect.target, effect.task_ids, states, results)
        self._loop.later(
            LATENCY_MS,
            lambda: self._do(
                name, lambda: self.engines[name].task_states_received(answer)
            ),
        )

    def _state_of(self, worker: Worker, task_id: str) -> TaskState:
        if task_id in self._results:
            return TaskState.FINISHED
        if task_id in worker.running:
            return TaskState.RUNNING
        self._stopped.add(task_id)
        return TaskState.NEVER_STARTED


def _caller_of(arrival: Arrival) -> str:
    return f"caller-{arrival.number % 997}"


def _job_of(arrival: Arrival, job_id: str) -> Job:
    pairs = zip(arrival.run_times_ms, arrival.declared_ms, strict=True)
    kind = arrival.kind
    labels = {"site": "nowhere"} if arrival.is_impossible else {}
    tasks = tuple(
        Task(index, kind.name, true_ms, labels, kind.idempotent, declared_ms)
        for index, (true_ms, declared_ms) in enumerate(pairs)
    )
    caller = _caller_of(arrival)
    return Job(job_id, caller, tasks, arrival.team, timeout_ms=kind.timeout_ms)


def _info_of(worker: Worker) -> TargetInfo:
    return TargetInfo(
        worker.name,
        "127.0.0.1",
        1,
        DATA_CENTRE,
        worker.rack,
        worker.slots,
        is_leaving=worker.is_leaving,
    )


def _refusal_of(worker: Worker, is_stopped: bool) -> TargetReply | None:
    if worker.is_down:
        return TaskNotSent("refused")
    if is_stopped:
        return TaskRefused("stopped")
    if worker.is_leaving:
        return TaskRefused("leaving")
    return TaskRefused("busy") if worker.is_full else None
