"""Tests of what a host that is starting says to submissions."""

import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.job_service import HostJobService
from hibiscusstack.daemon.lifecycle import Phase
from hibiscusstack.dispatch.answers import Outcome, Reason
from hibiscusstack.dispatch.jobs import Job


class NoDispatcher:
    """Stands where nothing may be dispatched."""

    engine = None


@pytest.mark.parametrize(
    ("is_first_attempt", "outcome"),
    [(True, Outcome.NOT_RUN), (False, Outcome.UNKNOWN)],
)
def test_a_starting_host_says_not_run_to_first_attempts_only(is_first_attempt, outcome):
    service = HostJobService(
        NoDispatcher(), lambda: Phase.STARTING, ManualClock(), None, None
    )
    job = Job("j1", "guard", (), is_first_attempt=is_first_attempt)
    answers = []
    service.submit(job).addCallback(answers.append)
    assert answers[0].outcome is outcome
    assert answers[0].problem.reason is Reason.NOT_READY
