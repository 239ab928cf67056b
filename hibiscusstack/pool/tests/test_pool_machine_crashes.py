"""Stateful test: tasks that crash their targets, beside arbitrary faults.

Guards against starts without a bound: the auditor finds a third start after three
targets have crashed under a task.
"""

from unittest.mock import patch

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.tests.model_cluster import CRASHING_SHAPES, ModelCluster
from hibiscusstack.pool.tests.test_pool_machine import PoolMachine, hosts, pauses

ORDINARY = ("two", "chain", "wide", "labelled")
MUTATIONS = {
    "losses are not counted": (TargetLosses, "losses_of", lambda *_: []),
    "no task is held responsible": (
        TargetLosses,
        "responsible_losses",
        lambda *_: [],
    ),
}


class CrashMachine(PoolMachine):
    """The machine of the pool, with jobs of which some crash their targets."""

    @rule(
        shapes=st.lists(
            st.tuples(hosts, st.sampled_from([*CRASHING_SHAPES, *ORDINARY])),
            min_size=1,
            max_size=4,
        ),
        duration_ms=pauses,
    )
    def submit(self, shapes, duration_ms):
        """Submit jobs."""
        for host, shape in shapes:
            self.site.submit(host, shape)
        self.site.run(duration_ms)


CrashMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
TestCrashMachine = CrashMachine.TestCase


def play_crashes(loses_coordinators):
    """Return the cluster after a crashing job among ordinary ones.

    With ``loses_coordinators`` each coordinator is killed soon after the first crash of
    its term.
    """
    site = ModelCluster()
    for shape in ("crashing", "two", "two"):
        site.submit("h1", shape)
    for _ in range(300):
        site.run(100)
        down = [name for name, worker in site.workers.items() if not worker.is_up]
        if not down:
            continue
        site.run(250)
        first = site.current_coordinator()
        if loses_coordinators and first:
            site.kill_host(first, resets=True)
            site.start_host(first)
        for name in down:
            site.return_worker(name)
            site.list_worker(name)
    site.recover()
    return site


@pytest.mark.parametrize("loses_coordinators", [False, True])
def test_crashing_jobs_fail_and_the_others_complete(loses_coordinators):
    site = play_crashes(loses_coordinators)
    assert site.violations() == []
    assert all(caller.is_done for caller in site.callers)


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_disabled_safeguard_is_detected(name):
    with patch.object(*MUTATIONS[name]):
        site = play_crashes(loses_coordinators=False)
        assert {each.rule for each in site.violations()} == {"BUDGET"}


def test_counts_that_end_with_the_coordinator_are_detected():
    def forget(self, **options):
        options["losses"] = TargetLosses(self.clock)
        return self._coordinator_class(**options)

    with patch.object(ModelCluster, "make_coordinator", forget):
        site = play_crashes(loses_coordinators=True)
        assert "BUDGET" in {each.rule for each in site.violations()}
