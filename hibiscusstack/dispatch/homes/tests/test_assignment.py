"""Tests of the assignment of targets to home hosts."""

import pytest

from hibiscusstack.dispatch.homes.assignment import assign_homes
from hibiscusstack.dispatch.messages import HostName


@pytest.mark.parametrize("hosts", [1, 2, 7])
def test_homes_have_equal_counts(hosts):
    names = [HostName("dc1", f"h{n}", 1) for n in range(hosts)]
    homes = assign_homes([f"t{n}" for n in range(24)], names)
    counts = [list(homes.values()).count(name) for name in names]
    assert sum(counts) == 24
    assert max(counts) <= -(-24 // hosts)


def test_few_targets_move_when_a_host_leaves():
    names = [HostName("dc1", f"h{n}", 1) for n in range(8)]
    targets = [f"t{n}" for n in range(160)]
    before = assign_homes(targets, names)
    after = assign_homes(targets, names[1:])
    moved = [t for t in targets if before[t] != after[t] and before[t] != names[0]]
    assert len(moved) <= 40
    assert assign_homes(list(reversed(targets)), names[::-1]) == before
