"""The coordinator of a host, through terms and while it stands in."""

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import deputy_token, term_token
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import CancelSubmission, SubmitPoolJob
from hibiscusstack.pool.office import Office
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.vanished import VanishedTargets

OWN = HostName("x", "a", 1)
JOB = PoolJob("j", "p", "", (Step(1, Resources()),), target_latency_ms=1_000)
HERE, THERE = (ListedTarget(f"t{zone}", "p", "", 1, Resources(), zone) for zone in "xy")


class NoOrders:
    """Orders that go nowhere."""

    def __getattr__(self, name):
        return lambda *_: None


class Stored:
    """Notes for which token stored jobs are kept."""

    has_jobs, token, office = True, None, None

    def start_manager(self, token, runner):
        """Note the token; its orders already have a coordinator for the replies."""
        assert self.office.coordinator is runner
        self.token = token

    def stop_manager(self):
        """Note that nothing is kept."""
        self.token = None


class Site:
    """The office of a host with one target here and one elsewhere."""

    def __init__(self):
        self.targets, self.stored = RecentTargets(VanishedTargets(1_000)), Stored()
        self.targets.replace([HERE, THERE], 0)
        self.office = Office(
            own=OWN,
            clock=ManualClock(100),
            orders=NoOrders(),
            send_answer=lambda *_: None,
            timing=CoordinatorTiming(),
            events=PoolEvents(),
            targets=self.targets,
            stored=self.stored,
        )
        self.stored.office = self.office

    def ordered(self):
        """Return which targets the coordinator orders."""
        return [state.listing.name for state in self.office.coordinator.targets()]


def test_the_holder_of_a_term_orders_all_and_keeps_stored_jobs():
    site = Site()
    office = site.office
    office.begin_term(Term(4, OWN))
    assert office.coordinator.token == term_token(4) and site.stored.token == 5
    assert office.is_holding and not office.is_deputy
    assert site.ordered() == ["tx", "ty"]
    coordinator = office.coordinator
    office.begin_term(Term(6, OWN))
    assert office.coordinator is coordinator and coordinator.token == term_token(6)


def test_a_deputy_orders_its_data_centre_and_makes_room_for_a_term():
    site = Site()
    office = site.office
    office.stand_in(Term(4, OWN), 2)
    deputy = office.coordinator
    assert deputy.token == deputy_token(4, 2) and site.stored.token is None
    assert office.is_deputy and not office.is_holding
    assert site.ordered() == ["tx"]
    site.targets.replace([THERE], 200)
    office.targets_changed()
    assert site.ordered() == ["tx"]
    office.begin_term(Term(6, OWN))
    assert deputy.is_superseded and office.is_holding
    assert site.ordered() == ["ty"]


def test_jobs_reach_whoever_coordinates():
    site = Site()
    office = site.office
    job, cancel = SubmitPoolJob(1, JOB, 0, False), CancelSubmission(1)
    assert not office.take_message(OWN, job)
    office.begin_term(Term(4, OWN))
    assert office.take_message(OWN, job) and office.coordinator.job_count == 1
    assert office.take_message(OWN, cancel) and office.coordinator.job_count == 0
    office.step_down()
    office.step_down()
    assert office.coordinator is None and not office.take_message(OWN, job)


def test_a_general_deputy_orders_all_and_yields_where_all_refuse_it():
    site = Site()
    office = site.office
    assert office.token == 0 and not office.is_refused()
    office.stand_in(Term(4, OWN), 2, is_general=True)
    assert office.is_general and office.token == deputy_token(4, 2)
    assert site.ordered() == ["tx", "ty"] and site.stored.token is None
    here, there = office.coordinator.targets()
    here.phase = TakeoverPhase.FENCED
    assert not office.is_refused()
    there.phase = TakeoverPhase.FENCED
    assert office.is_refused()
    office.step_down()
    assert office.token == 0 and not office.is_general
    office.stand_in(Term(4, OWN), 2)
    assert office.is_deputy and not office.is_general
