"""A short soak, and the findings by which a soak fails."""

import math
from pathlib import Path

import attrs
import pytest

from hibiscusstack_standins.estate.jobs import Job, Step
from scripts.platform_site import PoolHostProcess
from scripts.soak.auditing import HostHistory, find_faults
from scripts.soak.clients import Attempt, SoakSubmission
from scripts.soak.faults import FaultKind, SoakPlan, draw_faults
from scripts.soak.running import run_soak

SEEDS = (1, 2, 3)
PLAN = SoakPlan(hosts=3, workers=5, clients=8, seconds=10)
HOST = PoolHostProcess("edge-1", None, Path("edge-1.log"), "", "", "")
CUT = Attempt("POST", HOST, 1_000, 2_000, None, {}, is_closed=True)
DONE = Attempt("POST", HOST, 3_300, 3_400, 200, {"state": "completed"})


# Guards against tasks that run twice, lost jobs and unanswered requests while hosts,
# targets and the store fail together.
@pytest.mark.parametrize("seed", SEEDS)
def test_soak_has_no_findings(seed, tmp_path):
    result = run_soak(seed, PLAN, tmp_path)
    assert result.submissions
    assert result.findings == []


def find(*attempts, state="completed", **history):
    submission = SoakSubmission(Job("5c0e7a21d94b36f8"), state=state)
    submission.attempts.extend(attempts)
    found = find_faults([submission], {HOST: HostHistory(**history)})
    return [each.rule for each in found]


# Guards against an audit that excuses an unanswered request of a planned stop.
def test_request_without_an_answer_is_lost_in_a_planned_stop():
    assert find(DONE, exit_code=0) == []
    assert find(CUT, DONE, exit_code=0) == ["LOST"]
    assert find(CUT, DONE, killed_ms=2_100) == ["LOST"]
    assert find(CUT, DONE, freezes=[(100, 900)]) == ["LOST"]


# Guards against findings that a killed or frozen process explains.
@pytest.mark.parametrize("history", [{"killed_ms": 1_900}, {"freezes": [(100, 1_000)]}])
def test_faults_of_the_host_excuse_an_unanswered_request(history):
    assert find(CUT, DONE, **history) == []


# Guards against findings that depend on timing alone.
def test_a_request_may_cross_with_the_end_of_an_idle_connection():
    assert find(attrs.evolve(CUT, ended_ms=1_500), DONE) == []


# Guards against taking a client that gave up for a connection that was cut.
def test_an_answer_that_does_not_come_in_time_is_no_loss():
    assert find(attrs.evolve(CUT, is_closed=False), DONE) == []


# Guards against an audit that passes over a job that never ends.
@pytest.mark.parametrize("state", ["", "failed"])
def test_a_job_that_is_not_completed_is_found(state):
    assert find(CUT, state=state, killed_ms=0) == ["UNDONE"]


# Guards against an audit that passes over a task that crashes workers without an end.
def test_a_job_that_crashes_workers_has_to_fail():
    job = Job("5c0e7a21d94b36f8", steps=(Step(2, crashing=(0,)),))
    for state, rules in (("failed", []), ("completed", ["UNDONE"]), ("", ["UNDONE"])):
        found = find_faults([SoakSubmission(job, state=state)], {})
        assert [each.rule for each in found] == rules


# Guards against an audit that passes over stored jobs that are forgotten.
def test_a_stored_job_that_no_host_knows_is_found():
    assert find(attrs.evolve(DONE, status=410), DONE) == ["UNDONE"]


# Guards against an audit that passes over a process that failed.
@pytest.mark.parametrize(
    ("code", "found"), [(0, []), (None, []), (-15, []), (1, ["EXIT"])]
)
def test_a_process_that_ends_with_a_failure_is_found(code, found):
    assert find(DONE, exit_code=code, killed_ms=math.inf) == found


# Guards against kinds of faults that are never drawn.
def test_all_kinds_of_faults_are_drawn_in_bounds():
    plan = SoakPlan()
    drawn = [fault for seed in range(30) for fault in draw_faults(seed, plan)]
    assert {fault.kind for fault in drawn} == set(FaultKind)
    for fault in drawn:
        bound = plan.hosts if fault.kind.is_for_host else plan.workers
        assert -1 <= fault.victim < bound
