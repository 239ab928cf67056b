"""Tests of the published policy and its parser."""

from pathlib import Path

import pytest

from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.policy.policy import matching_targets
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.targets import TargetInfo

EXAMPLES = Path(__file__).parents[4] / "examples"
FAULTY = """\
[labels w1]
zone = not valid
[placement p]
work = kind in (
tragets = gpu
[class a]
guaranteed_part = 0.7
urgency = high
[class b]
guaranteed_part = 0.6
[team t]
quota_part = nan
[limits]
max_queue_ms = -1
[unknown]
"""


def make_job(*kinds, **fields):
    tasks = tuple(Task(index, kind) for index, kind in enumerate(kinds))
    return Job("j1", "desk", tasks, **fields)


@pytest.mark.parametrize("name", ["kendra.ini", "societe.ini"])
def test_example_policies_are_valid(name):
    assert read_policy((EXAMPLES / name).read_text()).is_ok()


def test_all_faults_are_reported_together():
    faults = read_policy(FAULTY).error.faults
    assert [fault.where for fault in faults] == [
        "labels w1.zone",
        "placement p.work",
        "placement p.tragets",
        "class a.urgency",
        "team t.quota_part",
        "limits.max_queue_ms",
        "unknown",
        "class",
    ]


def test_malformed_ini_text_is_a_fault():
    assert read_policy("no section").is_error()
    assert read_policy("[limits]\n[limits]").is_error()


def test_mixed_job_takes_its_least_urgent_class():
    policy = read_policy((EXAMPLES / "kendra.ini").read_text()).ok
    assert policy.class_of(make_job("issue_licence")) == "licences"
    mixed = make_job("issue_licence", "check_availability")
    assert policy.class_of(mixed) == "checks"
    unmatched = make_job("issue_licence", "something_else")
    assert policy.class_of(unmatched) == "default"


def test_placements_narrow_the_targets():
    policy = read_policy((EXAMPLES / "kendra.ini").read_text()).ok
    listed = [TargetInfo(f"worker-0{n}", "127.0.0.1", n, "dc1") for n in (1, 2)]
    targets = {target.name: target for target in listed}
    copies, check = make_job("prepare_cast_copies"), make_job("check_availability")
    for _ in range(2):
        found = matching_targets(policy, copies, copies.tasks[0], targets)
        assert found == {"worker-02"}
        found = matching_targets(policy, check, check.tasks[0], targets)
        assert found == {"worker-01", "worker-02"}


def test_caller_cannot_forge_the_team_label():
    policy = read_policy("[class a]\nwork = team = office").ok
    job = make_job("check", team="guards", labels={"team": "office"})
    assert policy.class_of(job) == "default"
