"""Simulated fleets of engines and scripted targets, in virtual time."""

__all__ = [
    "Fleet",
    "ScriptedTarget",
    "make_job",
    "one_data_centre_fleet",
    "make_tasks",
    "two_data_centre_fleet",
]

import heapq
import itertools
from collections import Counter

import attrs

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, TaskResult
from hibiscusstack.dispatch.effects import (
    Answer,
    SendPeer,
    StartTask,
    StopTasks,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskSilent,
    TaskState,
    TaskStates,
)
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.planning.policy_components import make_policy_components
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.dispatch.targets import TargetInfo

LATENCY_MS = 1
TICK_MS = 10


def make_tasks(*times_ms: int, idempotent: bool = True) -> tuple[Task, ...]:
    """Return one task for each run time."""
    return tuple(
        Task(index, "check", time_ms, idempotent=idempotent, run_time_ms=time_ms)
        for index, time_ms in enumerate(times_ms)
    )


def make_job(job_id: str, *times_ms: int, caller: str = "guard", **fields) -> Job:
    """Return a job with one task for each run time."""
    return Job(job_id, caller, make_tasks(*times_ms), **fields)


@attrs.define
class ScriptedTarget:
    """A simulated target that runs a task for as many ms as its payload says.

    ``lose_answers`` drops the answers of tasks that have run. With ``is_cut`` no
    request reaches the target and no answer leaves it. ``fails`` makes every task
    fail. ``refuses`` is the reason with which every start is refused, if any.
    """

    info: TargetInfo
    fails: bool = False
    refuses: str = ""
    is_cut: bool = False
    lose_answers: bool = False
    stopped: set[str] = attrs.field(factory=set)
    running: set[str] = attrs.field(factory=set)
    requests: list = attrs.field(factory=list)
    finished: dict[str, TaskResult] = attrs.field(factory=dict)
    starts: Counter = attrs.field(factory=Counter)
    max_running: int = 0
    started_ms: int = -60_000


class Fleet:
    """Engines, targets and a simulated network between them."""

    def __init__(
        self,
        hosts: int,
        targets: int,
        slots: int = 8,
        data_centres: int = 1,
        **engine_fields,
    ):
        self.clock = ManualClock()
        self.names = [
            HostName(f"dc{i % data_centres + 1}", f"h{i}", 1) for i in range(hosts)
        ]
        self.engines = {name: self._engine(name, engine_fields) for name in self.names}
        infos = [
            TargetInfo(
                f"t{i}", "127.0.0.1", 1, f"dc{i % data_centres + 1}", slots=slots
            )
            for i in range(targets)
        ]
        self.targets = {info.name: ScriptedTarget(info) for info in infos}
        self.answers: dict[int, JobAnswer] = {}
        self.submitted_to: dict[int, int] = {}
        self.peer_messages = Counter()
        self.crashed: set[HostName] = set()
        self.cut_links: set[frozenset[HostName]] = set()
        self._pending_calls: dict[HostName, list] = {}
        self._requests = itertools.count(1)
        self._events: list = []
        self._order = itertools.count()
        self._connect_all(infos)

    def submit(self, host: int, job: Job) -> int:
        """Submit a job to one host and return the number of the request."""
        request = next(self._requests)
        self.submitted_to[request] = host
        self._call_engine(self.names[host], lambda engine: engine.submit(request, job))
        return request

    def mint(self, host: int) -> str:
        """Return a new job id that one host issued."""
        return self.engines[self.names[host]].ids.mint(1)[0]

    def call(self, host: int, method: str, *args) -> None:
        """Call any method of one engine and carry out the effects."""
        self._call_engine(self.names[host], lambda e: getattr(e, method)(*args))

    def kill(self, host: int) -> None:
        """Crash one host; its peers declare it lost at once."""
        lost = self.names[host]
        self.crashed.add(lost)
        for name in self.names:
            if name not in self.crashed:
                self._call_engine(name, lambda engine: engine.peer_lost(lost))

    def pause(self, host: int) -> None:
        """Pause one host's process; its events are queued until it is resumed."""
        self._pending_calls.setdefault(self.names[host], [])

    def resume(self, host: int) -> None:
        """Resume a paused host: it handles all queued events before its next tick."""
        name = self.names[host]
        for call in self._pending_calls.pop(name, []):
            self._call_engine(name, call)

    def cut_link(self, first: int, second: int) -> None:
        """Drop every message between two hosts from now on."""
        self.cut_links.add(frozenset({self.names[first], self.names[second]}))

    def restore_link(self, first: int, second: int) -> None:
        """Deliver messages between two hosts again; both sides see a new connection."""
        one, other = self.names[first], self.names[second]
        self.cut_links.discard(frozenset({one, other}))
        self._call_engine(one, lambda engine: engine.peer_connected(other))
        self._call_engine(other, lambda engine: engine.peer_connected(one))

    def run(self, duration_ms: int) -> None:
        """Advance virtual time, with ticks and all events that fall due."""
        end_ms = self.clock.now_ms() + duration_ms
        while True:
            next_tick_ms = self.clock.now_ms() // TICK_MS * TICK_MS + TICK_MS
            next_ms = min(next_tick_ms, self._events[0][0] if self._events else end_ms)
            if next_ms > end_ms:
                return
            self.clock.time_ms = max(next_ms, self.clock.time_ms)
            while self._events and self._events[0][0] <= self.clock.now_ms():
                heapq.heappop(self._events)[2]()
            if self.clock.now_ms() % TICK_MS == 0:
                for name in self.names:
                    if name not in self._pending_calls:
                        self._call_engine(name, lambda engine: engine.tick())
            if self.clock.now_ms() >= end_ms:
                return

    def restart_target(self, name: str) -> None:
        """Restart one target: it forgets all tasks, and its connections are reset."""
        old = self.targets[name]
        fresh = ScriptedTarget(old.info, starts=old.starts)
        fresh.started_ms = self.clock.now_ms()
        self.targets[name] = fresh
        lost = TaskSilent("the connection was reset")
        for host, effect in old.requests:
            self._schedule(LATENCY_MS, lambda h=host, e=effect: self._reply(h, e, lost))

    def count_started_twice(self) -> int:
        """Return how many tasks were started more than once, on any targets."""
        starts: Counter = Counter()
        for target in self.targets.values():
            for task_id, count in target.starts.items():
                starts[task_id.rsplit("/", 1)[0]] += count
        return sum(1 for count in starts.values() if count > 1)

    def total_starts(self) -> int:
        """Return the number of starts on all targets."""
        return sum(sum(t.starts.values()) for t in self.targets.values())

    def _engine(self, name: HostName, fields: dict) -> Engine:
        made = {key: make() for key, make in fields.items()}
        ids = IdIssuer(name, self.clock, secret=name.name.encode().ljust(16))
        parts = attrs.evolve(make_policy_components(), **made)
        return Engine(name, self.clock, ids, parts)

    def _connect_all(self, infos: list[TargetInfo]) -> None:
        for name in self.engines:
            for other in self.names:
                if other != name:
                    self._call_engine(
                        name, lambda e, other=other: e.peer_connected(other)
                    )
            self._call_engine(name, lambda e: e.targets_listed(infos))
        for name, engine in self.engines.items():
            heartbeat = engine.heartbeat()
            for other in self.names:
                if other != name:
                    self._deliver(name, other, heartbeat)

    def _call_engine(self, name: HostName, call) -> None:
        if name in self.crashed:
            return
        if name in self._pending_calls:
            self._pending_calls[name].append(call)
            return
        for effect in call(self.engines[name]):
            self._carry_out(name, effect)

    def _carry_out(self, name: HostName, effect) -> None:
        if isinstance(effect, Answer):
            assert effect.request not in self.answers, "a request was answered twice"
            self.answers[effect.request] = effect.answer
        elif isinstance(effect, SendPeer):
            self.peer_messages[type(effect.message).__name__] += 1
            self._deliver(name, effect.to, effect.message)
        elif isinstance(effect, StartTask):
            self._schedule(LATENCY_MS, lambda: self._start(name, effect))
        elif isinstance(effect, StopTasks):
            self._schedule(LATENCY_MS, lambda: self._stop(name, effect))

    def _schedule(self, delay_ms: int, call) -> None:
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._order), call))

    def _deliver(self, sender: HostName, to: HostName, message) -> None:
        if frozenset({sender, to}) in self.cut_links:
            return
        self._schedule(
            LATENCY_MS,
            lambda: self._call_engine(
                to, lambda engine: engine.receive(sender, message)
            ),
        )

    def _reply(self, name: HostName, effect: StartTask, reply) -> None:
        self._call_engine(name, lambda engine: engine.target_replied(effect, reply))

    def _start(self, name: HostName, effect: StartTask) -> None:
        target = self.targets[effect.target]
        if target.is_cut:
            self._reply(name, effect, TaskNotSent("refused"))
        elif effect.task_id in target.stopped:
            self._reply(name, effect, TaskRefused("stopped"))
        elif target.refuses:
            self._reply(name, effect, TaskRefused(target.refuses))
        elif len(target.running) >= target.info.slots:
            self._reply(name, effect, TaskRefused("busy"))
        else:
            target.starts[effect.task_id] += 1
            target.running.add(effect.task_id)
            target.requests.append((name, effect))
            target.max_running = max(target.max_running, len(target.running))
            self._schedule(effect.task.payload, lambda: self._end(target, name, effect))

    def _end(self, target: ScriptedTarget, name: HostName, effect: StartTask) -> None:
        if self.targets[effect.target] is not target:
            return
        target.running.discard(effect.task_id)
        target.requests.remove((name, effect))
        outcome = Outcome.FAILED if target.fails else Outcome.SUCCEEDED
        result = TaskResult(
            effect.task.index, outcome, effect.task_id, run_time_ms=effect.task.payload
        )
        target.finished[effect.task_id] = result
        reply = TaskFinished(result)
        if target.is_cut or target.lose_answers:
            reply = TaskSilent("no answer")
        self._schedule(LATENCY_MS, lambda: self._reply(name, effect, reply))

    def _stop(self, name: HostName, effect: StopTasks) -> None:
        target = self.targets[effect.target]
        states = None
        if not target.is_cut:
            states = {t: self._state_of(target, t) for t in effect.task_ids}
        results = {t: r for t, r in target.finished.items() if t in effect.task_ids}
        memory_ms = self.clock.now_ms() - target.started_ms
        answer = TaskStates(effect.target, effect.task_ids, states, results, memory_ms)
        self._schedule(
            LATENCY_MS,
            lambda: self._call_engine(
                name, lambda engine: engine.task_states_received(answer)
            ),
        )

    def _state_of(self, target: ScriptedTarget, task_id: str) -> TaskState:
        if task_id in target.finished:
            return TaskState.FINISHED
        if task_id in target.running:
            return TaskState.RUNNING
        target.stopped.add(task_id)
        return TaskState.NEVER_STARTED


def two_data_centre_fleet(**engine_fields) -> Fleet:
    """Return two data centres with two hosts and four targets each."""
    return Fleet(hosts=4, targets=8, data_centres=2, **engine_fields)


def one_data_centre_fleet(**engine_fields) -> Fleet:
    """Return one data centre with three hosts and eight targets."""
    return Fleet(hosts=3, targets=8, **engine_fields)
