"""Events as lines."""

import io
import re

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.telemetry.logs import LogLevel, LogWriter, render_event

PAIR = re.compile(r'[A-Za-z0-9_.]+=("(?:[^"\\]|\\.)*"|[^" =]*)')


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.dictionaries(st.text(max_size=10), st.text(max_size=30), max_size=5))
def test_no_value_ends_a_line_or_makes_a_key(fields):
    line = render_event({**fields, "timestamp": 0.0})
    assert len(line.splitlines()) == 1
    matches = [match.group() for match in PAIR.finditer(line)]
    assert " ".join(matches) == line


def test_long_and_odd_values_are_bounded():
    line = render_event({"timestamp": 0, "text": "x" * 10_000, "thing": object()})
    assert len(line) < 3_000


def test_levels_below_the_least_are_not_written():
    output = io.StringIO()
    writer = LogWriter(output, LogLevel.WARNING)
    for level in ("debug", "info", "warning", "error", "odd"):
        writer({"timestamp": 0, "message_type": level, "level": level})
    events = re.findall("event=([a-z]+)", output.getvalue())
    assert events == ["warning", "error"]
