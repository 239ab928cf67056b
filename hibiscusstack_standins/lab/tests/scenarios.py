"""Small scenarios for tests."""

__all__ = ["SMALL", "small_scenario"]

from hibiscusstack_standins.lab.reading import parse_scenario

SMALL = """\
[run]
seeds = 1-2
duration_ms = 2000
settle_ms = 3000
window_ms = 1000

[data_centre a]
hosts = 2
targets = 2
rate_per_s = 10

[data_centre b]
hosts = 1
targets = 1
rate_per_s = 5

[kind small]
cpu_milli = 2000
weight = 2

[kind large]
cpu_milli = 4000

[class quick]
share = 3
worth = 1
late_worth = 0.5
tasks = 2
cpu_milli = 500
run_ms = 50
run_spread = 0.3
target_latency_ms = 100

[class slow]
share = 1
worth = 4
tasks = 1
cpu_milli = 1000
run_ms = 300
stretch = 2
target_latency_ms = 100
"""


def small_scenario(*changes):
    """Return three hosts with three targets, and two classes of jobs."""
    return parse_scenario(SMALL, "small.ini", changes)
