"""Tests of ``memory_ms``: how far back a target remembers starts and results."""

import pytest

from hibiscusstack.dispatch.effects import StopTasks, TaskState
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.target.connection import HttpResponse
from hibiscusstack.target.decoding import decode_states

ASKED = StopTasks("t1", ("j/0/1",))
TASKS = b'"tasks": {"j/0/1": {"state": "never_started"}}'


def test_the_states_include_the_retention_time():
    states = decode_states(ASKED, HttpResponse(200, b'{"memory_ms": 7, %s}' % TASKS, 1))
    assert states.memory_ms == 7
    assert states.states == {"j/0/1": TaskState.NEVER_STARTED}


@pytest.mark.parametrize("memory", [b"", b'"memory_ms": -1, ', b'"memory_ms": "7", '])
def test_states_without_a_valid_retention_time_are_rejected(memory):
    with pytest.raises(DecodeError):
        decode_states(ASKED, HttpResponse(200, b"{%s%s}" % (memory, TASKS), 1))
