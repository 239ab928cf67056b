"""Tests of the coordinator role of a host: terms, deputies and step-down."""

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_role import CoordinatorRole
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.target_records import (
    TargetRecords,
    encode_target_record,
    target_record_key,
)
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming

OWN = HostName("x", "a", 1)
JOB = PoolJob("j", "p", "", (Step(1, Resources()),), target_latency_ms=1_000)
LOCAL_TARGET, REMOTE_TARGET = (
    ListedTarget(f"t{zone}", "p", "", 1, Resources(), zone) for zone in "xy"
)


class IgnoredOrders:
    """Target orders that are discarded."""

    def __getattr__(self, name):
        return lambda *_: None


class Stored:
    """Records the token under which stored jobs are managed."""

    token, role = None, None

    def start_manager(self, token, runner):
        """Record the token; the role already has the coordinator for replies."""
        assert self.role.coordinator is runner
        self.token = token

    def stop_manager(self):
        """Record that no stored jobs are managed."""
        self.token = None


class RoleFixture:
    """The role of a host with one target in its data centre and one in another."""

    def __init__(self):
        self.targets, self.stored = RecentTargets(), Stored()
        self.records = TargetRecords()
        self.targets.replace([LOCAL_TARGET, REMOTE_TARGET], 0)
        self.role = CoordinatorRole(
            own=OWN,
            clock=ManualClock(100),
            orders=IgnoredOrders(),
            send_answer=lambda *_: None,
            timing=CoordinatorTiming(),
            events=PoolEvents(),
            targets=self.targets,
            records=self.records,
            losses=TargetLosses(ManualClock(100)),
            stored=self.stored,
        )
        self.stored.role = self.role

    def record(self, *targets, is_retired=False):
        """Apply the records of targets as read from the log."""
        self.records.apply_records(
            [
                KeyedRecord(
                    1,
                    target_record_key(target.name),
                    encode_target_record(target, is_retired),
                )
                for target in targets
            ],
            is_snapshot=False,
        )

    def usable_targets(self):
        """Return the names of the controlled targets that are recorded."""
        states = self.role.coordinator.targets()
        return [state.listing.name for state in states if state.is_recorded]

    def controlled_targets(self):
        """Return the names of the targets that the coordinator controls."""
        return [state.listing.name for state in self.role.coordinator.targets()]


def test_holder_controls_all_targets_and_manages_stored_jobs():
    fixture = RoleFixture()
    role = fixture.role
    role.begin_term(Term(4, OWN))
    assert role.coordinator.token == term_token(4) and fixture.stored.token == 5
    assert role.is_holding and not role.is_deputy
    assert fixture.controlled_targets() == ["tx", "ty"]
    coordinator = role.coordinator
    role.begin_term(Term(6, OWN))
    assert role.coordinator is coordinator and coordinator.token == term_token(6)


def test_deputy_controls_its_data_centre_until_a_term_begins():
    fixture = RoleFixture()
    role = fixture.role
    role.begin_deputy(Term(4, OWN), 2)
    deputy = role.coordinator
    assert deputy.token == deputy_token(4, 2) and fixture.stored.token is None
    assert role.is_deputy and not role.is_holding
    assert fixture.controlled_targets() == ["tx"]
    fixture.targets.replace([REMOTE_TARGET], 200)
    role.targets_changed()
    assert fixture.controlled_targets() == ["tx"]
    role.begin_term(Term(6, OWN))
    assert deputy.is_superseded and role.is_holding
    assert fixture.controlled_targets() == ["ty"]


def test_jobs_and_cancels_reach_the_coordinator():
    fixture = RoleFixture()
    role = fixture.role
    job, cancel = SubmitPoolJob(1, JOB, 0, False), CancelSubmission(1)
    assert not role.handle_message(OWN, job)
    role.begin_term(Term(4, OWN))
    assert role.handle_message(OWN, job) and role.coordinator.job_count == 1
    assert role.handle_message(OWN, cancel) and role.coordinator.job_count == 0
    role.step_down()
    role.step_down()
    assert role.coordinator is None and not role.handle_message(OWN, job)


def test_general_deputy_controls_all_targets_until_all_are_fenced():
    fixture = RoleFixture()
    role = fixture.role
    assert role.token == 0 and not role.is_fenced_everywhere()
    role.begin_deputy(Term(4, OWN), 2, is_general=True)
    assert role.is_general and role.token == deputy_token(4, 2)
    assert fixture.controlled_targets() == ["tx", "ty"] and fixture.stored.token is None
    here, there = role.coordinator.targets()
    here.phase = TakeoverPhase.FENCED
    assert not role.is_fenced_everywhere()
    there.phase = TakeoverPhase.FENCED
    assert role.is_fenced_everywhere()
    role.step_down()
    assert role.token == 0 and not role.is_general
    role.begin_deputy(Term(4, OWN), 2)
    assert role.is_deputy and not role.is_general


def test_holder_takes_over_recorded_targets_that_are_not_listed():
    fixture = RoleFixture()
    lapsed = ListedTarget("lapsed", "p", "", 1, Resources(), "x")
    retired = ListedTarget("retired", "p", "", 1, Resources(), "x")
    fixture.record(LOCAL_TARGET, lapsed)
    fixture.record(retired, is_retired=True)
    fixture.role.begin_term(Term(4, OWN))
    assert fixture.controlled_targets() == ["tx", "ty", "lapsed", "retired"]
    assert fixture.usable_targets() == ["tx", "lapsed"]
    unrecorded = fixture.role.coordinator.unrecorded_targets()
    assert [target.name for target in unrecorded] == ["ty"]


# The next holder reads only of recorded targets, so deputies use no others either.
def test_deputies_use_recorded_targets_only():
    fixture = RoleFixture()
    fixture.record(REMOTE_TARGET)
    fixture.role.begin_deputy(Term(4, OWN), 2)
    assert fixture.controlled_targets() == ["tx"] and fixture.usable_targets() == []
    fixture.role.step_down()
    fixture.role.begin_deputy(Term(4, OWN), 2, is_general=True)
    assert fixture.usable_targets() == ["ty"]


def test_a_target_with_an_unreadable_record_is_not_under_control():
    fixture = RoleFixture()
    fixture.records.apply_records(
        [KeyedRecord(1, target_record_key("t"), b"[]")], is_snapshot=False
    )
    fixture.role.begin_term(Term(4, OWN))
    assert fixture.role.coordinator.missing_targets() == ["t"]
