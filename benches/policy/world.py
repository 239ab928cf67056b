"""A fleet of workers, the callers, and what became of each job."""

__all__ = ["Dispatcher", "Fate", "Verdict", "World"]

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from benches.policy.simulation import Loop, Run, Worker
from benches.policy.workload import Arrival, Organisation
from hibiscusstack.dispatch.answers import Outcome, Reason
from hibiscusstack.dispatch.planning.estimates import Backlog, estimate_wait_ms
from hibiscusstack.dispatch.policy.policy import Policy
from hibiscusstack.dispatch.policy.text import read_policy

MAX_ATTEMPTS = 3
UNKNOWN_SITE = """
[placement unknown-site]
work = site
targets = site
"""


@attrs.frozen
class Verdict:
    """The answer that a caller gets to one attempt."""

    outcome: Outcome
    reason: Reason | None = None
    retry_after_ms: int | None = None


class Dispatcher(Protocol):
    """What stands between callers and workers."""

    def submit(self, arrival: Arrival, answer: Callable[[Verdict], None]) -> None:
        """Take one attempt of a job; ``answer`` is called once."""

    def cancel(self, arrival: Arrival) -> None:
        """Cancel the latest attempt of a job."""

    def lose_host(self, index: int) -> None:
        """Lose one dispatcher host with all that it knows."""

    def workers_changed(self) -> None:
        """Take over a new list of workers."""

    @property
    def messages(self) -> Counter:
        """Messages by kind, without the two that each task needs."""


@attrs.define
class Fate:
    """What became of one job."""

    arrival: Arrival
    attempts: int = 0
    ended_ms: float | None = None
    verdict: Verdict | None = None
    false_refusals: int = 0
    unstarted_ms: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the caller has a whole answer."""
        return self.verdict is not None and self.verdict.outcome is Outcome.SUCCEEDED

    @property
    def ratio(self) -> float:
        """The response time against that of the longest task alone."""
        return (self.ended_ms - self.arrival.at_ms) / self.arrival.ideal_ms


class World:
    """Runs arrivals against one dispatcher and keeps the fates of all jobs.

    A caller that is refused comes back once the time to come back has passed, at
    most ``MAX_ATTEMPTS`` times in all and not after its deadline.
    """

    def __init__(self, organisation: Organisation) -> None:
        self.loop = Loop()
        self.organisation = organisation
        text = organisation.policy_text() + UNKNOWN_SITE
        self.policy: Policy = read_policy(text).ok
        self.workers = [self._worker(n) for n in range(organisation.workers)]
        self.dispatcher: Dispatcher | None = None
        self.fates: dict[int, Fate] = {}
        self._unstarted_ms: dict[str, float] = {}

    def run(self, arrivals: Sequence[Arrival], until_ms: float) -> None:
        """Let every job arrive and time pass until the end."""
        for arrival in arrivals:
            self.fates[arrival.number] = Fate(arrival)
            self.loop.at(arrival.at_ms, lambda a=arrival: self._submit(a))
            if arrival.cancel_after_ms is not None:
                cancel_ms = arrival.at_ms + arrival.cancel_after_ms
                self.loop.at(cancel_ms, lambda a=arrival: self.dispatcher.cancel(a))
        self.loop.run_until(until_ms)

    def worker_named(self, name: str) -> Worker:
        """Return one worker."""
        return self._by_name[name]

    def _worker(self, number: int) -> Worker:
        rack = f"rack-{number // self.organisation.workers_per_rack}"
        name = f"worker-{number:02}"
        slots = self.organisation.slots
        return Worker(name, rack, self.loop, slots, on_start=self._started)

    @property
    def _by_name(self) -> dict[str, Worker]:
        return {worker.name: worker for worker in self.workers}

    def _submit(self, arrival: Arrival) -> None:
        fate = self.fates[arrival.number]
        fate.attempts += 1
        fate.unstarted_ms = arrival.work_ms
        self._count_unstarted(arrival, arrival.work_ms)
        self.dispatcher.submit(arrival, lambda verdict: self._answer(fate, verdict))

    def _started(self, run: Run) -> None:
        fate = self.fates[run.job_number]
        fate.unstarted_ms -= run.run_time_ms
        self._count_unstarted(fate.arrival, -run.run_time_ms)

    def _count_unstarted(self, arrival: Arrival, work_ms: float) -> None:
        name = arrival.kind.class_name
        self._unstarted_ms[name] = self._unstarted_ms.get(name, 0.0) + work_ms

    def _answer(self, fate: Fate, verdict: Verdict) -> None:
        self._count_unstarted(fate.arrival, -fate.unstarted_ms)
        fate.unstarted_ms = 0.0
        fate.ended_ms = self.loop.now_ms
        fate.verdict = verdict
        if verdict.reason is Reason.OVERLOADED:
            fate.false_refusals += self._could_be_served(fate.arrival)
        if verdict.retry_after_ms is None or verdict.outcome is not Outcome.NOT_RUN:
            return
        back_ms = self.loop.now_ms + verdict.retry_after_ms
        deadline_ms = fate.arrival.at_ms + fate.arrival.kind.timeout_ms
        if fate.attempts < MAX_ATTEMPTS and back_ms < deadline_ms:
            self.loop.at(back_ms, lambda: self._submit(fate.arrival))

    def _could_be_served(self, arrival: Arrival) -> bool:
        """Tell whether the true backlog would have let a refused job in."""
        up = [worker for worker in self.workers if not worker.is_down]
        slots = sum(worker.slots for worker in up)
        free = slots - sum(len(worker.running) for worker in up)
        backlog = Backlog(slots, free, self._unstarted_ms)
        name = arrival.kind.class_name
        wait_ms = estimate_wait_ms(self.policy, backlog, name)
        if wait_ms > self.policy.limits.max_queue_ms:
            return False
        through_ms = estimate_wait_ms(self.policy, backlog, name, arrival.work_ms)
        return through_ms + arrival.ideal_ms <= arrival.kind.timeout_ms
