"""Tests of the appends that record, retire and delete targets, with failures."""

import eliot
import pytest
from twisted.internet.defer import Deferred

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.pool.claiming import HOSTS_TOPIC
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.interfaces import Appended, AppendRefused, KeyedRecord
from hibiscusstack.pool.target_recorder import (
    CLEANUP_INTERVAL_MS,
    FAILED_RETRY_MS,
    MAX_RECORDS_PER_APPEND,
    TargetRecorder,
)
from hibiscusstack.pool.target_records import (
    TargetRecords,
    encode_target_record,
    target_record_key,
)
from hibiscusstack.pool.tests.coordinator_harness import make_target

FAILED = "pool:recording_failed"
OUTAGE = UnavailableError("log", "down")
END = 5


class RecorderHarness:
    """A recorder with a log whose results the test supplies.

    ``unused`` and ``deletable`` are the names that the host does not use, and those of
    them that no host uses.
    """

    def __init__(self, *recorded):
        self.clock, self.calls, self.answer = ManualClock(10_000), [], None
        self.unused, self.deletable, self.changes = [], [], 0
        self.election = Election(HostName("dc1", "a", 1), 200)
        self.election.record_log_end(END)
        self.records = TargetRecords()
        self.records.apply_records(
            [
                KeyedRecord(
                    offset, target_record_key(name), encode_target_record(target)
                )
                for offset, name in enumerate(recorded)
                for target in [make_target(name)]
            ],
            is_snapshot=True,
        )
        self.recorder = TargetRecorder(
            self, self.clock, self.election, self.records, self.changed
        )

    def append_all(self, topic, records, at):
        """Record the call."""
        assert topic == HOSTS_TOPIC
        self.calls.append((dict(records), at))
        self.answer = Deferred()
        return self.answer

    def changed(self):
        """Count the changes."""
        self.changes += 1

    def update(self, *wanted, pass_ms=0):
        """Let time pass, then update; ``wanted`` are the targets to be used."""
        self.clock.advance(pass_ms)
        unrecorded = [n for n in wanted if not self.records.is_usable(n)]
        self.recorder.update(
            [make_target(name) for name in unrecorded],
            lambda: [name for name in self.records.names() if name in self.unused],
            lambda retired: [name for name in retired if name in self.deletable],
        )

    def succeed(self):
        """Confirm the append in flight."""
        self.answer.callback(Appended(self.calls[-1][1]))


def changed_targets(call):
    """Return the names of the targets that an append concerns."""
    return sorted(key.removeprefix(target_record_key("")) for key in call[0])


def test_new_targets_are_recorded_at_the_end_of_the_log_before_their_use():
    harness = RecorderHarness("old")
    harness.update("old", "new", "newer")
    harness.update("old", "new", "newer", "newest")
    (call,) = harness.calls
    assert changed_targets(call) == ["new", "newer"] and call[1] == END
    assert not harness.records.is_usable("new") and harness.changes == 0
    harness.succeed()
    assert harness.records.is_usable("new") and harness.records.is_usable("newer")
    assert harness.changes == 1 and harness.election.log_end_offset == END + 2
    harness.update("old", "new", "newer", "newest")
    assert harness.calls[1][1] == END + 2


# Another host may have begun a term; its holder has not read of the target.
def test_a_target_is_not_usable_after_a_refused_append():
    harness = RecorderHarness()
    harness.update("t")
    harness.answer.callback(AppendRefused(END + 1))
    assert not harness.records.is_usable("t")
    harness.update("t")
    assert len(harness.calls) == 1
    harness.election.record_log_end(END + 1)
    harness.update("t")
    assert harness.calls[1][1] == END + 1


def test_a_failed_append_is_repeated():
    harness = RecorderHarness()
    harness.update("t")
    harness.answer.errback(OUTAGE)
    harness.update("t", pass_ms=FAILED_RETRY_MS - 1)
    assert len(harness.calls) == 1 and not harness.records.is_usable("t")
    harness.update("t", pass_ms=1)
    harness.succeed()
    assert harness.records.is_usable("t")


def test_nothing_is_appended_before_the_log_was_read():
    harness = RecorderHarness()
    harness.election.log_end_offset = None
    harness.update("t")
    assert harness.calls == []


def test_an_unused_target_is_retired_and_then_deleted():
    harness = RecorderHarness("t", "u")
    harness.unused = harness.deletable = ["t"]
    harness.update("u")
    assert changed_targets(harness.calls[0]) == ["t"]
    assert not harness.records.is_usable("t")
    harness.succeed()
    assert harness.records.retired() == {"t": END}
    harness.update("u", pass_ms=CLEANUP_INTERVAL_MS)
    assert harness.calls[1] == ({target_record_key("t"): b""}, END + 1)
    harness.succeed()
    assert list(harness.records.names()) == ["u"]
    harness.update("u", pass_ms=CLEANUP_INTERVAL_MS)
    assert len(harness.calls) == 2


def test_a_target_in_use_is_neither_retired_nor_deleted():
    harness = RecorderHarness("t")
    harness.unused = ["t"]
    harness.update()
    harness.succeed()
    harness.unused, harness.deletable = [], ["t"]
    harness.update("t", pass_ms=CLEANUP_INTERVAL_MS)
    assert all(value for value in harness.calls[1][0].values())
    harness.succeed()
    assert harness.records.is_usable("t")


# The append that retires the target may still take effect.
@pytest.mark.parametrize("is_refused", [False, True])
def test_a_target_whose_retirement_is_uncertain_is_recorded_again(is_refused):
    harness = RecorderHarness("t")
    harness.unused = ["t"]
    harness.update()
    if is_refused:
        harness.answer.callback(AppendRefused(END + 1))
    else:
        harness.answer.errback(OUTAGE)
    harness.unused = []
    harness.election.record_log_end(END + 1)
    harness.update("t", pass_ms=FAILED_RETRY_MS)
    assert not harness.records.is_usable("t") and len(harness.calls) == 2
    harness.succeed()
    assert harness.records.is_usable("t")


# Guards against appends at the retry rate while the reads of a host take longer: each
# of them would be refused.
def test_a_refused_append_is_not_repeated_before_the_log_was_read_further():
    harness = RecorderHarness()
    harness.update("t")
    harness.answer.callback(AppendRefused(END + 1))
    for _ in range(3):
        harness.update("t", pass_ms=FAILED_RETRY_MS)
    assert len(harness.calls) == 1
    harness.election.record_log_end(END + 1)
    harness.update("t", pass_ms=FAILED_RETRY_MS)
    assert harness.calls[1][1] == END + 1


# Guards against a batch that the log can't take, which would be repeated for ever.
def test_more_targets_than_one_append_takes_are_recorded_in_turn():
    harness = RecorderHarness()
    names = [f"t{number:03}" for number in range(MAX_RECORDS_PER_APPEND + 1)]
    harness.update(*names)
    harness.succeed()
    harness.update(*names)
    assert changed_targets(harness.calls[1]) == names[MAX_RECORDS_PER_APPEND:]


@pytest.fixture
def logged():
    """Return the list of the messages logged during the test."""
    messages = []
    eliot.add_destinations(messages.append)
    # The first destination receives what was logged before there was any.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def test_an_outage_of_the_log_is_logged_once(logged):
    harness = RecorderHarness()
    for outage in (1, 2):
        for _ in range(5):
            harness.update("t", pass_ms=FAILED_RETRY_MS)
            harness.answer.errback(OUTAGE)
        failures = [m for m in logged if m["message_type"] == FAILED]
        assert len(failures) == outage
        harness.update("t", pass_ms=FAILED_RETRY_MS)
        harness.answer.callback(AppendRefused(END))
