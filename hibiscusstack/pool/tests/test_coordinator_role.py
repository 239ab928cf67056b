"""Tests of the coordinator role of a host: terms, deputies and step-down."""

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_role import CoordinatorRole
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.unlisted_targets import UnlistedTargets

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

    has_jobs, token, role = True, None, None

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
        self.targets, self.stored = RecentTargets(UnlistedTargets(1_000)), Stored()
        self.targets.replace([LOCAL_TARGET, REMOTE_TARGET], 0)
        self.role = CoordinatorRole(
            own=OWN,
            clock=ManualClock(100),
            orders=IgnoredOrders(),
            send_answer=lambda *_: None,
            timing=CoordinatorTiming(),
            events=PoolEvents(),
            targets=self.targets,
            stored=self.stored,
        )
        self.stored.role = self.role

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
