"""Tests of the state machine of the daemon."""

import attrs
import pytest

from hibiscusstack.daemon.lifecycle import Phase, StopCause, build_lifecycle


@attrs.define
class RecordedActions:
    """Records the actions that the state machine calls."""

    calls: list = attrs.field(factory=list)

    def enter(self, phase):
        """Record it."""
        self.calls.append(phase)

    def fail_readiness(self):
        """Record it."""
        self.calls.append("fail readiness")

    def refuse_new_work(self):
        """Record it."""
        self.calls.append("refuse work")

    def stop(self, cause):
        """Record it."""
        self.calls.append(cause)


LEAVE = [Phase.LEAVING, "fail readiness"]
DRAIN = [Phase.DRAINING, "refuse work"]


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (["configured", "configured"], [Phase.READY]),
        (["became_idle", "leave_delay_elapsed", "drain_timed_out"], []),
        (["configured", "stop_requested"], [Phase.READY, *LEAVE]),
        (["stop_requested", "configured", "became_idle"], LEAVE),
        (["stop_requested", "leave_delay_elapsed"], LEAVE + DRAIN),
        (["drain_requested", "drain_requested"], LEAVE),
        (
            ["drain_requested", "leave_delay_elapsed", "became_idle", "stop_requested"],
            [*LEAVE, *DRAIN, Phase.STOPPED, StopCause.DRAINED],
        ),
        (
            ["stop_requested", "stop_requested", "became_idle"],
            [*LEAVE, Phase.STOPPED, StopCause.SECOND_SIGNAL],
        ),
        (
            [
                "drain_requested",
                "leave_delay_elapsed",
                "stop_requested",
                "drain_timed_out",
            ],
            [*LEAVE, *DRAIN, Phase.STOPPED, StopCause.SECOND_SIGNAL],
        ),
        (
            ["stop_requested", "leave_delay_elapsed", "drain_timed_out", "became_idle"],
            [*LEAVE, *DRAIN, Phase.STOPPED, StopCause.DRAIN_TIMEOUT],
        ),
    ],
)
def test_events_cause_expected_actions(events, expected):
    actions = RecordedActions()
    lifecycle = build_lifecycle(actions)
    for event in events:
        getattr(lifecycle, event)()
    assert actions.calls == expected
