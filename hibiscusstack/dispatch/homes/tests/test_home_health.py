"""Tests of the task outcomes that a home reports to its health table."""

import pytest

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import StartTask, TaskFinished
from hibiscusstack.dispatch.homes.home import Home
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import CancelBatch, PlaceBatch
from hibiscusstack.dispatch.observation.health import HealthTable
from hibiscusstack.dispatch.tests.builders import OWNER, TARGET, make_policy, make_queue


class RecordingHealth(HealthTable):
    """Health table that records reported outcomes instead of evaluating them."""

    def __init__(self) -> None:
        super().__init__(make_policy(""))
        self.records: list[tuple[str, bool]] = []

    def record(
        self, target: str, is_success: bool, slowness: float, now_ms: int
    ) -> None:
        """Record one outcome."""
        self.records.append((target, is_success))


def start_one_task(health):
    home = Home(OWNER, make_queue(), health)
    home.replace_targets([TARGET], frozenset({"w1"}), 0)
    task = Task(0, "check")
    batch = PlaceBatch(1, "j1", (task,), ("w1",), 5_000, "c", "t", "k")
    (start,) = home.place(OWNER, batch, 0)
    assert isinstance(start, StartTask)
    return home, start


@pytest.mark.parametrize("outcome", [Outcome.SUCCEEDED, Outcome.FAILED])
def test_outcome_of_a_task_is_recorded_for_its_target(outcome):
    health = RecordingHealth()
    home, start = start_one_task(health)
    home.target_replied("w1", start.task_id, TaskFinished(TaskResult(0, outcome)), 100)
    assert health.records == [("w1", outcome is Outcome.SUCCEEDED)]


def test_outcome_of_a_cancelled_task_is_not_recorded():
    health = RecordingHealth()
    home, start = start_one_task(health)
    home.cancel(OWNER, CancelBatch(1), 10)
    stopped = TaskFinished(TaskResult(0, Outcome.FAILED))
    home.target_replied("w1", start.task_id, stopped, 20)
    assert health.records == []
    assert home.running_count == 0
