"""Tests of jobs whose targets are in another data centre."""

from hibiscusstack.dispatch.answers import Outcome, Problem, Reason
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.tests.fleets import make_job, two_data_centre_fleet

NORTH_ONLY = """
[labels t1]
canal = north

[placement north]
work = canal = north
targets = canal = north
"""


class RefuseFirstAttempt:
    """Admission that refuses the first attempt of each job as overloaded."""

    def __init__(self) -> None:
        self.seen: set[str] = set()

    def admit(self, job, class_name, loads, now_ms):
        """Refuse the first attempt."""
        if job.job_id in self.seen:
            return None
        self.seen.add(job.job_id)
        return Problem(Reason.OVERLOADED, retry_after_ms=100)

    def finished(self, job, class_name, now_ms):
        """Do nothing."""


def configure(fleet, text):
    for host in range(len(fleet.names)):
        fleet.call(host, "apply_configuration", read_policy(text).ok, 1)


def test_job_stays_in_its_own_data_centre():
    fleet = two_data_centre_fleet()
    request = fleet.submit(0, make_job(fleet.mint(0), *[50] * 20))
    fleet.run(500)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.answers[request].other_data_centres == ()
    assert not fleet.targets["t1"].starts


def test_job_runs_in_the_data_centre_of_its_only_target_and_names_it():
    fleet = two_data_centre_fleet()
    configure(fleet, NORTH_ONLY)
    job = make_job(fleet.mint(0), 50, labels={"canal": "north"})
    request = fleet.submit(0, job)
    fleet.run(500)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.answers[request].other_data_centres == ("dc2",)
    assert sum(fleet.targets["t1"].starts.values()) == 1


def test_job_for_a_data_centre_that_is_cut_off_is_refused_at_once():
    fleet = two_data_centre_fleet()
    configure(fleet, NORTH_ONLY)
    for other in (1, 3):
        fleet.cut_link(0, other)
        fleet.call(0, "peer_lost", fleet.names[other])
    request = fleet.submit(0, make_job(fleet.mint(0), 50, labels={"canal": "north"}))
    assert fleet.answers[request].problem.reason is Reason.NO_MATCHING_TARGET
    local = fleet.submit(0, make_job(fleet.mint(0), 50))
    fleet.run(500)
    assert fleet.answers[local].outcome is Outcome.SUCCEEDED


def test_overload_sends_the_job_to_another_data_centre():
    fleet = two_data_centre_fleet(admission=RefuseFirstAttempt)
    request = fleet.submit(0, make_job(fleet.mint(0), 50, 50))
    fleet.run(500)
    assert fleet.answers[request].other_data_centres == ("dc2",)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED


def test_tasks_of_a_lost_remote_home_are_recovered_through_its_targets():
    fleet = two_data_centre_fleet()
    configure(fleet, NORTH_ONLY)
    request = fleet.submit(
        0, make_job(fleet.mint(0), *[50] * 20, labels={"canal": "north"})
    )
    fleet.run(20)
    fleet.kill(1 if fleet.engines[fleet.names[1]].heartbeat().targets else 3)
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 20
