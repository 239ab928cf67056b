"""Tests of the client's decisions over every order of results."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.caller.attempts import (
    Answered,
    AttemptResult,
    Lost,
    NotSent,
    Refused,
)
from hibiscusstack.caller.resubmission import (
    Finish,
    RetryFreshId,
    RetrySameId,
    Submitting,
)
from hibiscusstack.caller.service import ATTEMPT_REASONS
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.exceptions import RequestRefusedError

not_runs = st.sampled_from(Reason).map(lambda reason: Answered(not_run("j1", reason)))
unknowns = st.sampled_from(Reason).map(lambda r: Answered(outcome_unknown("j1", r)))
ended = st.sampled_from([Outcome.SUCCEEDED, Outcome.FAILED]).map(
    lambda outcome: Answered(JobAnswer("j1", outcome))
)
refusals = st.sampled_from(["invalid-input", "too-many-waiting", "draining"]).map(
    lambda name: Refused(RequestRefusedError(name, 400))
)
lost = st.booleans().map(lambda is_timeout: Lost("silence", is_timeout))
any_result = st.one_of(
    not_runs, unknowns, ended, refusals, lost, st.just(NotSent("refused"))
)


def may_have_run(result: AttemptResult) -> bool:
    if isinstance(result, Lost):
        return True
    return isinstance(result, Answered) and result.answer.outcome is Outcome.UNKNOWN


def is_final_proof(result: AttemptResult) -> bool:
    if not isinstance(result, Answered):
        return False
    answer = result.answer
    return (
        answer.outcome is Outcome.NOT_RUN
        and answer.problem.reason not in ATTEMPT_REASONS
    )


@settings(derandomize=True, max_examples=1_000, deadline=None)
@given(st.lists(any_result, min_size=1, max_size=6), st.booleans())
def test_no_fresh_id_and_no_false_not_run_after_an_unaccounted_attempt(
    results: list[AttemptResult], is_pinned: bool
) -> None:
    submitting = Submitting("j1", is_pinned=is_pinned)
    unaccounted = False
    for result in results:
        unaccounted = unaccounted or may_have_run(result)
        is_proven = not unaccounted or is_final_proof(result)
        try:
            step = submitting.decide(result)
        except RequestRefusedError:
            assert not unaccounted
            return
        if isinstance(step, RetryFreshId):
            assert is_proven
            assert not is_pinned
        answer = step.answer if isinstance(step, Finish) else step.otherwise
        if answer.outcome is Outcome.NOT_RUN:
            assert is_proven
        if not isinstance(step, RetrySameId):
            return


def test_an_owner_that_cannot_be_reached_costs_an_id_and_no_more() -> None:
    submitting = Submitting("j1")
    answer = not_run("j1", Reason.OWNER_UNREACHABLE)
    assert submitting.decide(Answered(answer)) == RetryFreshId(answer)


def test_a_host_that_refuses_connections_costs_no_id() -> None:
    assert isinstance(Submitting("j1").decide(NotSent("refused")), RetrySameId)


def test_an_unknown_from_a_starting_host_leads_to_the_same_id_again():
    submitting = Submitting("j1")
    step = submitting.decide(Answered(outcome_unknown("j1", Reason.NOT_READY)))
    assert isinstance(step, RetrySameId)
