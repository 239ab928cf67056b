"""The coordinator of a host, through terms and while it stands in."""

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_role import CoordinatorRole
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.held_target import Phase
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.unlisted_targets import UnlistedTargets

OWN = HostName("x", "a", 1)
JOB = PoolJob("j", "p", "", (Step(1, Resources()),), target_latency_ms=1_000)
HERE, THERE = (ListedTarget(f"t{zone}", "p", "", 1, Resources(), zone) for zone in "xy")


class NoOrders:
    """Orders that go nowhere."""

    def __getattr__(self, name):
        return lambda *_: None


class Stored:
    """Notes for which token stored jobs are kept."""

    has_jobs, token, role = True, None, None

    def coordinate(self, token, runner):
        """Note the token; its orders already have a coordinator for the replies."""
        assert self.role.coordinator is runner
        self.token = token

    def stand_down(self):
        """Note that nothing is kept."""
        self.token = None


class Site:
    """The role of a host with one target here and one elsewhere."""

    def __init__(self):
        self.targets, self.stored = RecentTargets(UnlistedTargets(1_000)), Stored()
        self.targets.replace([HERE, THERE], 0)
        self.role = CoordinatorRole(
            own=OWN,
            clock=ManualClock(100),
            orders=NoOrders(),
            send_answer=lambda *_: None,
            timing=CoordinatorTiming(),
            events=PoolEvents(),
            targets=self.targets,
            stored=self.stored,
        )
        self.stored.role = self.role

    def ordered(self):
        """Return which targets the coordinator orders."""
        return [state.listing.name for state in self.role.coordinator.targets()]


def test_the_holder_of_a_term_orders_all_and_keeps_stored_jobs():
    site = Site()
    role = site.role
    role.begin_term(Term(4, OWN))
    assert role.coordinator.token == term_token(4) and site.stored.token == 5
    assert role.is_holding and not role.is_deputy
    assert site.ordered() == ["tx", "ty"]
    coordinator = role.coordinator
    role.begin_term(Term(6, OWN))
    assert role.coordinator is coordinator and coordinator.token == term_token(6)


def test_a_deputy_orders_its_data_centre_and_makes_room_for_a_term():
    site = Site()
    role = site.role
    role.begin_deputy(Term(4, OWN), 2)
    deputy = role.coordinator
    assert deputy.token == deputy_token(4, 2) and site.stored.token is None
    assert role.is_deputy and not role.is_holding
    assert site.ordered() == ["tx"]
    site.targets.replace([THERE], 200)
    role.targets_changed()
    assert site.ordered() == ["tx"]
    role.begin_term(Term(6, OWN))
    assert deputy.is_deposed and role.is_holding
    assert site.ordered() == ["ty"]


def test_jobs_reach_whoever_coordinates():
    site = Site()
    role = site.role
    job, cancel = SubmitPoolJob(1, JOB, 0, False), CancelSubmission(1)
    assert not role.handle_message(OWN, job)
    role.begin_term(Term(4, OWN))
    assert role.handle_message(OWN, job) and role.coordinator.job_count == 1
    assert role.handle_message(OWN, cancel) and role.coordinator.job_count == 0
    role.step_down()
    role.step_down()
    assert role.coordinator is None and not role.handle_message(OWN, job)


def test_a_general_deputy_orders_all_and_yields_where_all_refuse_it():
    site = Site()
    role = site.role
    assert role.token == 0 and not role.is_fenced_everywhere()
    role.begin_deputy(Term(4, OWN), 2, is_general=True)
    assert role.is_general and role.token == deputy_token(4, 2)
    assert site.ordered() == ["tx", "ty"] and site.stored.token is None
    here, there = role.coordinator.targets()
    here.phase = Phase.FENCED
    assert not role.is_fenced_everywhere()
    there.phase = Phase.FENCED
    assert role.is_fenced_everywhere()
    role.step_down()
    assert role.token == 0 and not role.is_general
    role.begin_deputy(Term(4, OWN), 2)
    assert role.is_deputy and not role.is_general
