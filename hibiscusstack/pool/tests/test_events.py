"""Counters, log events and operator views of jobs, runs and targets."""

import attrs
import pytest
from eliot import add_destinations, remove_destination

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer, SubmitPoolJob
from hibiscusstack.pool.orders import (
    HoldReply,
    NotReached,
    Refused,
    ReplyLost,
    RunEnd,
    Started,
)
from hibiscusstack.pool.submission_forwarder import ReceivedJob, SubmissionForwarder
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.views import queue_views, target_view

OWNER = HostName("dc1", "a", 1)
OTHER = HostName("dc1", "b", 1)
TARGET = ListedTarget("t1", "p", "127.0.0.1:1", 5, Resources(2_000, 512), "dc1")
JOB = PoolJob(
    "j1", "p", "", (Step(1, Resources(1_000, 64), 50),), 1, 2, target_latency_ms=60
)


@pytest.fixture
def lines():
    """Return the events logged from now on, without the fields that eliot adds."""
    events = []

    def record(event):
        eliot_fields = ("timestamp", "task_uuid", "task_level")
        events.append({name: event[name] for name in event if name not in eliot_fields})

    add_destinations(record)
    # Eliot passes the events it buffered earlier to the first destination.
    events.clear()
    yield events
    remove_destination(record)


@attrs.define(slots=False)
class ScriptedCoordinator:
    """A coordinator with one target; the test supplies the target's replies."""

    events: PoolEvents = attrs.field(factory=PoolEvents)
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(1_000))
    starts: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.coordinator = Coordinator(
            token=3,
            clock=self.clock,
            orders=self,
            send_answer=lambda _, answer: self.answers.append(answer),
            events=self.events,
        )

    def start(self, target, order):
        """Record the order."""
        self.starts.append(order)

    def stop(self, target, order):
        """Record the order."""
        self.stops.append(order)

    def hold(self, target, order):
        """Record the order."""
        self.holds.append(order)

    def close_connections(self, target):
        """Do nothing."""

    def take_over_target(self):
        """List the target and let the coordinator complete its takeover."""
        self.coordinator.replace_targets([TARGET])
        for _ in range(2):
            self.clock.advance(100)
            self.reply_to_hold()

    def reply_to_hold(self, active=(), ended=()):
        """Reply to the last hold."""
        reply = HoldReply(self.clock.now_ms(), 5, tuple(active), tuple(ended))
        self.coordinator.hold_replied("t1", 5, self.holds[-1], reply)

    def submit(self, submission=1):
        """Submit the job."""
        message = SubmitPoolJob(submission, JOB, 10, False)
        self.coordinator.submit(OWNER, message)

    def reply_to_start(self, reply):
        """Reply to the last start."""
        self.coordinator.start_replied("t1", 5, self.starts[-1], reply)


def find_events(lines, name):
    return [line for line in lines if line["message_type"] == name]


def test_a_failed_run_is_retried_until_the_job_fails(lines):
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.submit()
    harness.reply_to_start(Started(harness.clock.now_ms()))
    harness.clock.advance(40)
    harness.reply_to_hold(ended=[RunEnd(1, "j1.0.0.0", 1, "failed")])
    assert find_events(lines, "pool:run_again") == [
        {
            "message_type": "pool:run_again",
            "job": "j1",
            "task": "j1.0.0.0",
            "cause": "failed",
            "waited_ms": 50,
            "attempts": 1,
        }
    ]
    harness.reply_to_start(Started(harness.clock.now_ms()))
    harness.clock.advance(40)
    harness.reply_to_hold(ended=[RunEnd(2, "j1.0.0.0", 2, "failed")])
    (line,) = find_events(lines, "pool:job_failed")
    assert (line["level"], line["attempts"], line["waited_ms"]) == ("info", 2, 90)
    assert line["cause"] == "a task reached its maximum number of attempts"
    counters = harness.events.counters
    assert (counters.starts, counters.runs_again) == (2, 1)
    assert counters.holds == len(harness.holds)


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (Refused("room"), "room"),
        (NotReached("refused"), "unreached"),
        (ReplyLost("silent"), "no-reply"),
    ],
)
def test_a_failed_start_is_counted_by_reason(reply, reason):
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.submit()
    harness.reply_to_start(reply)
    assert harness.events.counters.refused_starts == {reason: 1}


def test_a_silent_target_is_counted_once():
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.coordinator.hold_replied("t1", 5, harness.holds[-1], ReplyLost("silent"))
    harness.clock.advance(200)
    harness.coordinator.tick()
    harness.coordinator.hold_replied("t1", 5, harness.holds[-1], ReplyLost("silent"))
    assert harness.events.counters.silent_targets == 1


def test_a_run_that_takes_too_long_is_stopped_and_counted():
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.submit()
    harness.reply_to_start(Started(harness.clock.now_ms()))
    harness.clock.advance(10_000)
    harness.coordinator.tick()
    counters = harness.events.counters
    assert (counters.overdue_runs, counters.stops) == (1, len(harness.stops))


def test_a_job_without_free_capacity_in_time_is_refused_with_its_cause(lines):
    harness = ScriptedCoordinator()
    harness.submit()
    harness.clock.advance(5_000)
    harness.coordinator.tick()
    harness.coordinator.tick()
    (line,) = find_events(lines, "pool:job_refused")
    assert (line["cause"], line["attempts"]) == ("no capacity in time", 0)
    assert line["waited_ms"] == 5_010


def test_a_job_that_nobody_waits_for_is_stopped(lines):
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.submit()
    harness.coordinator.cancel(OWNER, 1)
    (line,) = find_events(lines, "pool:job_stopped")
    assert (line["job"], line["cause"], line["attempts"]) == ("j1", "cancelled", 1)
    assert find_events(lines, "pool:job_given_up") == []


def test_starts_are_logged_only_if_enabled(lines):
    for logs_starts in (False, True):
        harness = ScriptedCoordinator(PoolEvents(logs_starts=logs_starts))
        harness.take_over_target()
        harness.submit()
    (line,) = find_events(lines, "pool:run_started")
    assert (line["level"], line["target"], line["run"]) == ("debug", "t1", 1)


@pytest.fixture
def forwarding():
    """Return a forwarder with one job, its clock, its events and the answers."""
    clock, events, answers = ManualClock(), PoolEvents(), []
    forwarder = SubmissionForwarder(clock, lambda to, message: True, events)
    forwarder.submit(ReceivedJob(JOB, 0, None, answers.append))
    return forwarder, clock, events, answers


def test_a_job_that_is_resubmitted_is_logged_with_its_attempts(forwarding, lines):
    forwarder, clock, events, answers = forwarding
    forwarder.coordinator_changed(OWNER)
    assert find_events(lines, "pool:job_moved") == []
    clock.advance(30)
    forwarder.coordinator_changed(OTHER)
    (line,) = find_events(lines, "pool:job_moved")
    assert (line["waited_ms"], line["attempts"]) == (30, 1)
    forwarder.answer_received(OTHER, SubmissionAnswer(1, JobEnd.COMPLETED))
    assert events.counters.jobs == {"completed": 1}
    assert events.counters.jobs_moved == len(answers) == 1


def test_a_job_ended_locally_is_refused_or_given_up(forwarding, lines):
    forwarder, clock, events, answers = forwarding
    forwarder.submit(ReceivedJob(JOB, 0, None, answers.append))
    clock.advance(10_000)
    forwarder.tick()
    assert len(find_events(lines, "pool:job_refused")) == 2
    forwarder.submit(ReceivedJob(JOB, clock.now_ms(), None, answers.append))
    forwarder.coordinator_changed(OWNER)
    forwarder.end_all_locally("host was paused")
    (line,) = find_events(lines, "pool:job_given_up")
    assert (line["level"], line["cause"]) == ("warning", "host was paused")
    assert events.counters.jobs == {"refused": 2, "unknown": 1}
    assert [answer.end for answer in answers][-1] is JobEnd.UNKNOWN


def test_a_caller_that_disconnects_is_counted_once(forwarding):
    forwarder, _, events, _ = forwarding
    forwarder.caller_disconnected(1)
    forwarder.caller_disconnected(1)
    assert events.counters.jobs == {"gone": 1}


def test_target_view_shows_free_capacity_health_and_lease():
    harness = ScriptedCoordinator()
    harness.take_over_target()
    harness.submit()
    (state,) = harness.coordinator.targets()
    view = target_view(state, harness.clock.now_ms())
    assert (view.phase, view.health, view.runs) == ("held", "sound", 1)
    assert (view.free_cpu, view.free_memory_mb) == (1_000, 448)
    assert view.lease_left_ms == int(state.lease_expiry_ms - harness.clock.now_ms()) > 0
    state.health.note_fault(0)
    assert target_view(state, harness.clock.now_ms()).health == "on-trial"
    state.paused_until_ms = harness.clock.now_ms() + 1
    assert target_view(state, harness.clock.now_ms()).health == "paused"
    state.silent_since_ms = 0
    assert target_view(state, harness.clock.now_ms()).health == "silent"
    harness.coordinator.replace_targets([])
    assert target_view(state, harness.clock.now_ms()).health == "unlisted"
    state.listing = attrs.evolve(TARGET, is_leaving=True)
    assert target_view(state, harness.clock.now_ms()).health == "leaving"


def test_queue_views_are_by_pool_and_priority():
    harness = ScriptedCoordinator()
    harness.submit()
    harness.clock.advance(20)
    for number, priority in enumerate((0, 1, 1), start=2):
        job = attrs.evolve(JOB, job_id=f"j{number}", priority=priority)
        harness.coordinator.submit(OWNER, SubmitPoolJob(number, job, 0, False))
    views = queue_views(harness.coordinator.waiting_jobs(), harness.clock.now_ms())
    rows = [(v.pool, v.priority, v.jobs, v.tasks, v.oldest_wait_ms) for v in views]
    assert rows == [("p", 0, 1, 1, 0), ("p", 1, 3, 3, 30)]
