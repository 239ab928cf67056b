"""The demonstration passes only if all was answered and no rule broken."""

import attrs
import pytest

from hibiscusstack_standins.estate.jobs import Job
from scripts.demo_platform import Conclusion
from scripts.pool_caller import PoolSubmission

DONE = PoolSubmission(Job("5c0e7a21d94b36f8"), [200], "completed", 7)
AGAIN = PoolSubmission(Job("5c0e7a21d94b36f9"), [None, 504, 200], "failed", 9)
LOST = PoolSubmission(Job("5c0e7a21d94b36fa"), [None, 503])
REFUSED = PoolSubmission(Job("5c0e7a21d94b36fb"), [400])
CLEAN = Conclusion([DONE, AGAIN], runs=5, violations=[], stop_exit=0)


def test_whole_answers_are_clean():
    assert CLEAN.is_clean
    assert CLEAN.last_line() == (
        "submitted=2 answered=2 completed=1 failed=1 sent_again=1 runs=5 "
        "run_twice=0 violations=0 stop_exit=0"
    )


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({"submissions": [DONE, LOST]}, "answered=1"),
        ({"submissions": [DONE, REFUSED]}, "answered=1"),
        ({"violations": [{"rule": "TWICE"}]}, "run_twice=1"),
        ({"violations": [{"rule": "LIMIT"}]}, "violations=1"),
        ({"stop_exit": 1}, "stop_exit=1"),
    ],
)
def test_each_fault_is_found(changes, count):
    conclusion = attrs.evolve(CLEAN, **changes)
    assert not conclusion.is_clean
    assert count in conclusion.last_line().split()


@pytest.mark.parametrize(
    ("submission", "is_over"),
    [(DONE, True), (AGAIN, True), (LOST, False), (REFUSED, True)],
)
def test_jobs_are_sent_until_they_are_answered(submission, is_over):
    assert submission.is_over is is_over


def test_only_an_answered_job_has_a_time():
    assert DONE.client_record() == {"statuses": [200], "completed_ms": 7}
    assert LOST.client_record() == {"statuses": [None, 503]}
