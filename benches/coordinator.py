"""Processor time of a coordinator's decisions, in virtual time with instant targets."""

__all__ = ["InstantSite", "measure_time_per_start_us"]

import argparse
import heapq
import math
import time
from collections.abc import Callable, Iterator
from itertools import count
from random import Random
from typing import Any

import attrs

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import SubmissionAnswer, SubmitPoolJob
from hibiscusstack.pool.orders import (
    RUN_DONE,
    HoldOrder,
    HoldReply,
    RunEnd,
    Started,
    StartOrder,
    StopOrder,
    Stopped,
)
from hibiscusstack.pool.targets import ListedTarget

REPLY_MS = 2
TICK_MS = 10
TAKEOVER_MS = 500
TARGET_CPU_MILLI = 16_000
TASK_CPU_MILLI = 6_800
MIN_TASK_CPU_MILLI = 1_000
RUN_MS = 150
WIDTH = 4
FILLED_PART = 0.7
_HOST = HostName("dc1", "h1", 1)


@attrs.define
class _Target:
    runs: set[tuple[str, int]] = attrs.field(factory=set)
    ends: list[RunEnd] = attrs.field(factory=list)
    last_end: int = 0
    hold: HoldOrder | None = None


class InstantSite:
    """Targets that reply after ``REPLY_MS`` and run each task for ``RUN_MS``.

    On the ``unusable`` first of them nothing may start, although they have room.
    """

    def __init__(self, targets: int, unusable: int = 0) -> None:
        self.clock = ManualClock(1_000)
        self.starts = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count()
        self._targets = {f"t{number}": _Target() for number in range(targets)}
        self.coordinator = Coordinator(
            token=1, clock=self.clock, orders=self, send_answer=self._answered
        )
        capacity = Resources(TARGET_CPU_MILLI, 32_768)
        self.coordinator.replace_targets(
            ListedTarget(name, "p", f"{name}:1", 1, capacity, "dc1")
            for name in self._targets
        )
        self._tick()
        self.run(TAKEOVER_MS)
        for target in self.coordinator.targets()[:unusable]:
            target.paused_until_ms = math.inf

    def run(self, duration_ms: int) -> None:
        """Let virtual time pass."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] < end_ms:
            due_ms, _, act, arguments = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.clock.now_ms())
            act(*arguments)
        self.clock.advance(end_ms - self.clock.now_ms())

    def submit_at_rate(
        self, starts_per_s: float, seed: int, size_spread: float = 0.0
    ) -> None:
        """Let jobs of ``WIDTH`` tasks come at random from now on.

        The size of the tasks varies from job to job with the standard deviation
        ``size_spread``, as a part of its mean.
        """
        self._submit(starts_per_s / WIDTH, Random(seed), count(1), size_spread)

    def start(self, target: ListedTarget, order: StartOrder) -> None:
        """Begin a run."""
        self.starts += 1
        self._targets[target.name].runs.add((order.task, order.run))
        reply = Started(self.clock.now_ms())
        replied = self.coordinator.start_replied
        self._after(REPLY_MS, replied, target.name, 1, order, reply)
        self._after(RUN_MS, self._end, target.name, order)

    def stop(self, target: ListedTarget, order: StopOrder) -> None:
        """End a run."""
        self._targets[target.name].runs.discard((order.task, order.run))
        reply = Stopped(self.clock.now_ms())
        replied = self.coordinator.stop_replied
        self._after(REPLY_MS, replied, target.name, 1, order, reply)

    def hold(self, target: ListedTarget, order: HoldOrder) -> None:
        """Reply at once to a look, and to others at the next end."""
        state = self._targets[target.name]
        state.ends = [e for e in state.ends if e.number > order.acked_through]
        if order.wait_ms == 0 or state.ends:
            self._reply_to_hold(target.name, order)
            return
        state.hold = order
        self._after(order.wait_ms, self._hold_over, target.name, order)

    def close_connections(self, target: ListedTarget) -> None:
        """Close nothing."""

    def _after(self, delay_ms: float, act: Callable[..., None], *arguments) -> None:
        due_ms = self.clock.now_ms() + round(delay_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), act, arguments))

    def _tick(self) -> None:
        self.coordinator.tick()
        self._after(TICK_MS, self._tick)

    def _submit(
        self, jobs_per_s: float, random: Random, ids: Iterator[int], size_spread: float
    ) -> None:
        number = next(ids)
        cpu_milli = random.gauss(TASK_CPU_MILLI, size_spread * TASK_CPU_MILLI)
        cpu_milli = min(max(cpu_milli, MIN_TASK_CPU_MILLI), TARGET_CPU_MILLI)
        step = Step(WIDTH, Resources(int(cpu_milli), 64), RUN_MS)
        job = PoolJob(f"{number:016x}", "p", "", (step,), 0, 2, 1.6, 60)
        self.coordinator.submit(_HOST, SubmitPoolJob(number, job, 0, False))
        gap_ms = 1000 * random.expovariate(jobs_per_s)
        self._after(gap_ms, self._submit, jobs_per_s, random, ids, size_spread)

    def _end(self, name: str, order: StartOrder) -> None:
        state = self._targets[name]
        if (order.task, order.run) not in state.runs:
            return
        state.runs.remove((order.task, order.run))
        state.last_end += 1
        end = RunEnd(state.last_end, order.task, order.run, RUN_DONE)
        state.ends.append(end)
        if state.hold is not None:
            self._hold_over(name, state.hold)

    def _hold_over(self, name: str, order: HoldOrder) -> None:
        state = self._targets[name]
        if state.hold is order:
            state.hold = None
            self._reply_to_hold(name, order)

    def _reply_to_hold(self, name: str, order: HoldOrder) -> None:
        state = self._targets[name]
        runs, ends = tuple(state.runs), tuple(state.ends)
        reply = HoldReply(self.clock.now_ms(), 1, runs, ends)
        replied = self.coordinator.hold_replied
        self._after(REPLY_MS, replied, name, 1, order, reply)

    def _answered(self, owner: HostName, answer: SubmissionAnswer) -> None:
        """Wait for no answer."""


def measure_time_per_start_us(
    targets: int,
    duration_ms: int,
    filled_part: float = FILLED_PART,
    seed: int = 1,
    *,
    size_spread: float = 0.0,
    unusable: int = 0,
) -> float:
    """Return the mean processor time for each start, that of the model included.

    The load keeps ``filled_part`` of the targets' room busy.
    """
    site = InstantSite(targets, unusable)
    room = targets * (TARGET_CPU_MILLI // TASK_CPU_MILLI)
    site.submit_at_rate(filled_part * room * 1000 / RUN_MS, seed, size_spread)
    started_s = time.process_time()
    site.run(duration_ms)
    return (time.process_time() - started_s) * 1e6 / site.starts


def main() -> None:
    """Print the measured times as ``name=value unit``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, nargs="+", default=[24, 176, 1_000])
    parser.add_argument("--duration-ms", type=int, default=3_000)
    parser.add_argument("--filled", type=float, default=FILLED_PART)
    parser.add_argument("--size-spread", type=float, default=0.0)
    parser.add_argument("--unusable", type=int, default=0)
    options = parser.parse_args()
    for targets in options.targets:
        spent_us = measure_time_per_start_us(
            targets,
            options.duration_ms,
            options.filled,
            size_spread=options.size_spread,
            unusable=options.unusable,
        )
        print(f"coordinator_time_per_start[targets={targets}]={spent_us:.0f} us")


if __name__ == "__main__":
    main()
