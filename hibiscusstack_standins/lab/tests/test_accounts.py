"""What jobs owe and earn."""

import attrs
import pytest

from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.lab.accounts import objective_ms
from hibiscusstack_standins.lab.callers import CallerEnd, SentJob
from hibiscusstack_standins.lab.figures import count_figures
from hibiscusstack_standins.lab.load import Arrival
from hibiscusstack_standins.lab.playing import play
from hibiscusstack_standins.lab.site import Site, SitePlan
from hibiscusstack_standins.lab.tests.scenarios import small_scenario

SCENARIO = small_scenario()
QUICK = SCENARIO.classes["quick"]


def sent(number, end, latency_ms, **step):
    """Return a job that ended after a time, with an objective of 150 ms."""
    step = {"count": 2, "work_ms": 50, "cpu": 500} | step
    job = Job(f"{number:016x}", "quick", steps=(Step(**step),), best_effort=True)
    arrival = Arrival(1_200, "quick", "a", job)
    ended_ms = 1_200 + latency_ms
    return SentJob(arrival, QUICK, 150.0, 1_200, ended_ms, end, statuses=[200])


def figures(*jobs):
    site = Site(1, SitePlan(hosts={}, workers=[], routes={}))
    return count_figures(SCENARIO, 1, site, jobs)


def test_the_objective_stretches_the_longest_task():
    job = Job("a", steps=(Step(2, 50, uneven_work_ms=(40, 60), cpu=500),))
    terms = attrs.evolve(QUICK, stretch=1.5)
    assert objective_ms(job, terms, 8_000) == 190.0


def test_a_step_wider_than_a_quarter_of_the_room_counts_in_waves():
    job = Job("a", steps=(Step(6, 100, cpu=1_000),))
    assert objective_ms(job, QUICK, 8_000) == 400.0


def test_worth_goes_by_the_time_of_the_answer():
    found = figures(
        sent(0, CallerEnd.COMPLETED, 150),
        sent(1, CallerEnd.COMPLETED, 450),
        sent(2, CallerEnd.COMPLETED, 451),
        sent(3, CallerEnd.REFUSED, 10),
    )
    assert (found.total.owed, found.total.earned) == (4.0, 1.5)
    assert (found.total.in_time, found.total.late) == (1, 2)
    assert found.total.ends == {"completed": 3, "refused": 1}
    assert found.classes["quick"] == found.data_centres["a"] == found.windows[1]
    assert found.windows[0].jobs == found.classes["slow"].jobs == 0


def test_large_jobs_owe_more_by_their_work():
    found = figures(
        sent(0, CallerEnd.COMPLETED, 10, work_ms=50),
        sent(1, CallerEnd.LOST, 10, work_ms=150),
    )
    assert found.total.earned == pytest.approx(0.3 + 0.7 * 50 / 100)
    assert found.total.owed == pytest.approx(0.6 + 0.7 * 200 / 100)


def test_a_job_that_cannot_be_done_earns_by_the_word_that_it_failed():
    found = figures(
        sent(0, CallerEnd.FAILED, 10, fails=True), sent(1, CallerEnd.FAILED, 10)
    )
    assert found.total.earned == 1.0


def test_doomed_jobs_are_answered_as_failed():
    run = play(small_scenario("class slow.doomed_share=1"), 1)
    assert set(run.classes["slow"].ends) == {"failed"}
    assert run.classes["slow"].earned == run.classes["slow"].owed
