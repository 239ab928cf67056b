"""Rendering of the metrics, and counting of the calls to the log."""

import re
from pathlib import Path

import attrs
import pytest

from hibiscusstack.pool.counters import CountedLog, PoolCounters
from hibiscusstack.pool.exposition import render_metrics
from hibiscusstack.pool.views import (
    PoolDetails,
    PoolQueueView,
    PoolTargetView,
    PoolView,
)

ROOT = Path(__file__).parents[3]
HOST = PoolView("h1", "dc1", 1, "ready", 8, "dc1/h1", True, 12, 3, 2, 4, 5)
TARGETS = (
    PoolTargetView("t1", "p", "dc1", "held", "sound", 2, 500, 64, 700),
    PoolTargetView("t2", "p", "dc1", "clearing", "silent", 1, 0, 0, 0),
)
QUEUE = (PoolQueueView("p", 0, 2, 7, 40), PoolQueueView("p", 1, 1, 1, 90))
SAMPLE = re.compile(r'([a-z_]+)(?:\{[a-z]+="(?:[^"\\\n]|\\.)*"\})? \d+')


def render(counters=None):
    details = PoolDetails(HOST, TARGETS, QUEUE)
    return render_metrics(counters or PoolCounters(), details).splitlines()


def test_every_counter_is_shown():
    counters = PoolCounters()
    for number, field in enumerate(attrs.fields(PoolCounters), start=1):
        value = getattr(counters, field.name)
        if isinstance(value, dict):
            value["x"] = number
        else:
            setattr(counters, field.name, number)
    samples = [line for line in render(counters) if "_total" in line and line[0] != "#"]
    values = [int(line.split()[-1]) for line in samples]
    assert sorted(values) == list(range(1, len(attrs.fields(PoolCounters)) + 1))


def test_gauges_sum_over_targets_and_queue():
    lines = render()
    for name, value in {
        "is_ready": 1,
        "is_coordinator": 1,
        "term": 8,
        "configuration_version": 12,
        "held_targets": 1,
        "runs": 3,
        "waiting_tasks": 8,
        "oldest_wait_ms": 90,
    }.items():
        assert f"hibiscus_pool_{name} {value}" in lines


def test_each_line_is_a_sample_of_an_announced_metric_or_a_comment():
    counters = PoolCounters()
    counters.refused_starts['a "b"\\\nc'] = 1
    announced = set()
    for line in render(counters):
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            assert kind == ("counter" if name.endswith("_total") else "gauge")
            announced.add(name)
        elif not line.startswith("# HELP "):
            match = SAMPLE.fullmatch(line)
            assert match, line
            assert match[1] in announced


def test_every_metric_is_documented_for_operators():
    page = (ROOT / "docs" / "operators" / "pools.md").read_text()
    names = {line.split()[2] for line in render() if line.startswith("# TYPE ")}
    shown = set(re.findall(r"`([a-z_]+)(?:\{[^`]*\})?`", page))
    assert {name.removeprefix("hibiscus_pool_") for name in names} <= shown


def test_every_event_is_documented_for_operators():
    page = (ROOT / "docs" / "operators" / "pools.md").read_text()
    modules = [*(ROOT / "hibiscusstack" / "pool").glob("*.py")]
    modules += (ROOT / "hibiscusstack" / "daemon").glob("pool_*.py")
    names = set()
    for module in modules:
        names |= set(re.findall(r'"((?:pool|settings):[a-z_]+)"', module.read_text()))
    assert "pool:job_refused" in names
    assert [name for name in names if f"`{name}`" not in page] == []


@attrs.define
class RecordingLog:
    """A fake log that records its calls."""

    made: list = attrs.field(factory=list)

    def read_newest(self, topic):
        """Record the call."""
        self.made.append((topic,))
        return "page"

    def read_from(self, topic, offset, wait_ms):
        """Record the call."""
        self.made.append((topic, offset, wait_ms))
        return "page"

    def append(self, topic, key, value, at=None):
        """Record the call."""
        self.made.append((topic, key, value, at))
        return "appended"


@pytest.mark.parametrize(
    ("kind", "call", "arguments"),
    [
        ("newest", "read_newest", ("hosts",)),
        ("read", "read_from", ("hosts", 4, 100)),
        ("append", "append", ("hosts", "k", b"v", 9)),
    ],
)
def test_calls_to_the_log_are_passed_on_and_counted(kind, call, arguments):
    log, counters = RecordingLog(), PoolCounters()
    result = getattr(CountedLog(log, counters), call)(*arguments)
    assert result == getattr(log, call)(*arguments)
    assert log.made == [arguments, arguments]
    assert counters.log_calls == {kind: 1}
