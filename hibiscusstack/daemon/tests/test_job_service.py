"""Tests of the answers of a host that is starting to submitted jobs."""

import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.job_service import HostJobService
from hibiscusstack.daemon.lifecycle import Phase
from hibiscusstack.dispatch.answers import Outcome, Reason
from hibiscusstack.dispatch.jobs import Job


class UnusedDispatcher:
    """A dispatcher that cannot dispatch: any call fails the test."""

    engine = None


@pytest.mark.parametrize(
    ("is_first_attempt", "outcome"),
    [(True, Outcome.NOT_RUN), (False, Outcome.UNKNOWN)],
)
def test_starting_host_answers_not_run_to_first_attempts_only(
    is_first_attempt, outcome
):
    service = HostJobService(
        UnusedDispatcher(), lambda: Phase.STARTING, ManualClock(), None, None
    )
    job = Job("j1", "guard", (), is_first_attempt=is_first_attempt)
    answers = []
    service.submit(job).addCallback(answers.append)
    assert answers[0].outcome is outcome
    assert answers[0].problem.reason is Reason.NOT_READY
