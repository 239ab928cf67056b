"""What is counted and logged of jobs and runs."""

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
from hibiscusstack.pool.receiving import ReceivedJob, Receiver
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
    """Return the events that are logged from now on, without their time."""
    found = []

    def take(event):
        own = ("timestamp", "task_uuid", "task_level")
        found.append({name: event[name] for name in event if name not in own})

    add_destinations(take)
    # The first destination is also given what was logged before it.
    found.clear()
    yield found
    remove_destination(take)


@attrs.define(slots=False)
class Site:
    """A coordinator with one target whose replies the test gives."""

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
        """Keep the order."""
        self.starts.append(order)

    def stop(self, target, order):
        """Keep the order."""
        self.stops.append(order)

    def hold(self, target, order):
        """Keep the order."""
        self.holds.append(order)

    def close_connections(self, target):
        """Do nothing."""

    def list_target(self):
        """Let the coordinator take over the target."""
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


def named(lines, name):
    return [line for line in lines if line["message_type"] == name]


def test_a_run_that_failed_is_made_again_and_then_given_up(lines):
    site = Site()
    site.list_target()
    site.submit()
    site.reply_to_start(Started(site.clock.now_ms()))
    site.clock.advance(40)
    site.reply_to_hold(ended=[RunEnd(1, "j1.0.0.0", 1, "failed")])
    assert named(lines, "pool:run_again") == [
        {
            "message_type": "pool:run_again",
            "job": "j1",
            "task": "j1.0.0.0",
            "cause": "failed",
            "waited_ms": 50,
            "attempts": 1,
        }
    ]
    site.reply_to_start(Started(site.clock.now_ms()))
    site.clock.advance(40)
    site.reply_to_hold(ended=[RunEnd(2, "j1.0.0.0", 2, "failed")])
    (line,) = named(lines, "pool:job_failed")
    assert (line["level"], line["attempts"], line["waited_ms"]) == ("info", 2, 90)
    assert line["cause"] == "a task failed too often"
    counters = site.events.counters
    assert (counters.starts, counters.runs_again) == (2, 1)
    assert counters.holds == len(site.holds)


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (Refused("room"), "room"),
        (NotReached("refused"), "unreached"),
        (ReplyLost("silent"), "no-reply"),
    ],
)
def test_a_start_without_a_run_is_counted_by_reason(reply, reason):
    site = Site()
    site.list_target()
    site.submit()
    site.reply_to_start(reply)
    assert site.events.counters.refused_starts == {reason: 1}


def test_a_target_that_falls_silent_is_counted_once():
    site = Site()
    site.list_target()
    site.coordinator.hold_replied("t1", 5, site.holds[-1], ReplyLost("silent"))
    site.clock.advance(200)
    site.coordinator.tick()
    site.coordinator.hold_replied("t1", 5, site.holds[-1], ReplyLost("silent"))
    assert site.events.counters.silent_targets == 1


def test_a_run_that_takes_too_long_is_stopped_and_counted():
    site = Site()
    site.list_target()
    site.submit()
    site.reply_to_start(Started(site.clock.now_ms()))
    site.clock.advance(10_000)
    site.coordinator.tick()
    counters = site.events.counters
    assert (counters.overdue_runs, counters.stops) == (1, len(site.stops))


def test_a_job_without_room_in_time_is_refused_with_its_cause(lines):
    site = Site()
    site.submit()
    site.clock.advance(5_000)
    site.coordinator.tick()
    site.coordinator.tick()
    (line,) = named(lines, "pool:job_refused")
    assert (line["cause"], line["attempts"]) == ("no room in time", 0)
    assert line["waited_ms"] == 5_010


def test_a_job_that_nobody_waits_for_is_stopped(lines):
    site = Site()
    site.list_target()
    site.submit()
    site.coordinator.cancel(OWNER, 1)
    (line,) = named(lines, "pool:job_stopped")
    assert (line["job"], line["cause"], line["attempts"]) == ("j1", "cancelled", 1)
    assert named(lines, "pool:job_given_up") == []


def test_starts_are_logged_only_if_wished(lines):
    for shows_starts in (False, True):
        site = Site(PoolEvents(shows_starts=shows_starts))
        site.list_target()
        site.submit()
    (line,) = named(lines, "pool:run_started")
    assert (line["level"], line["target"], line["run"]) == ("debug", "t1", 1)


@pytest.fixture
def received():
    """Return a receiver, its clock and events, and the answers to its callers."""
    clock, events, answers = ManualClock(), PoolEvents(), []
    receiver = Receiver(clock, lambda to, message: True, events)
    receiver.submit(ReceivedJob(JOB, 0, None, answers.append))
    return receiver, clock, events, answers


def test_a_job_that_moves_is_logged_with_its_hand_overs(received, lines):
    receiver, clock, events, answers = received
    receiver.coordinator_changed(OWNER)
    assert named(lines, "pool:job_moved") == []
    clock.advance(30)
    receiver.coordinator_changed(OTHER)
    (line,) = named(lines, "pool:job_moved")
    assert (line["waited_ms"], line["attempts"]) == (30, 1)
    receiver.answered(OTHER, SubmissionAnswer(1, JobEnd.COMPLETED))
    assert events.counters.jobs == {"completed": 1}
    assert events.counters.jobs_moved == len(answers) == 1


def test_a_job_without_a_coordinator_is_refused_or_given_up(received, lines):
    receiver, clock, events, answers = received
    receiver.submit(ReceivedJob(JOB, 0, None, answers.append))
    clock.advance(10_000)
    receiver.tick()
    assert len(named(lines, "pool:job_refused")) == 2
    receiver.submit(ReceivedJob(JOB, clock.now_ms(), None, answers.append))
    receiver.coordinator_changed(OWNER)
    receiver.refuse_all("host was paused")
    (line,) = named(lines, "pool:job_given_up")
    assert (line["level"], line["cause"]) == ("warning", "host was paused")
    assert events.counters.jobs == {"refused": 2, "unknown": 1}
    assert [answer.end for answer in answers][-1] is JobEnd.UNKNOWN


def test_callers_that_go_away_are_counted(received):
    receiver, _, events, _ = received
    receiver.caller_gone(1)
    receiver.caller_gone(1)
    assert events.counters.jobs == {"gone": 1}


def test_a_target_is_shown_with_its_room_and_its_lease():
    site = Site()
    site.list_target()
    site.submit()
    (state,) = site.coordinator.targets()
    view = target_view(state, site.clock.now_ms())
    assert (view.phase, view.health, view.runs) == ("held", "sound", 1)
    assert (view.free_cpu, view.free_memory_mb) == (1_000, 448)
    assert view.lease_left_ms == int(state.lease_expiry_ms - site.clock.now_ms()) > 0
    state.health.note_fault(0)
    assert target_view(state, site.clock.now_ms()).health == "on-trial"
    state.paused_until_ms = site.clock.now_ms() + 1
    assert target_view(state, site.clock.now_ms()).health == "paused"
    state.silent_since_ms = 0
    assert target_view(state, site.clock.now_ms()).health == "silent"
    site.coordinator.replace_targets([])
    assert target_view(state, site.clock.now_ms()).health == "unlisted"
    state.listing = attrs.evolve(TARGET, is_leaving=True)
    assert target_view(state, site.clock.now_ms()).health == "leaving"


def test_the_queue_is_shown_by_pool_and_priority():
    site = Site()
    site.submit()
    site.clock.advance(20)
    for number, priority in enumerate((0, 1, 1), start=2):
        job = attrs.evolve(JOB, job_id=f"j{number}", priority=priority)
        site.coordinator.submit(OWNER, SubmitPoolJob(number, job, 0, False))
    views = queue_views(site.coordinator.waiting_jobs(), site.clock.now_ms())
    rows = [(v.pool, v.priority, v.jobs, v.tasks, v.oldest_wait_ms) for v in views]
    assert rows == [("p", 0, 1, 1, 0), ("p", 1, 3, 3, 30)]
