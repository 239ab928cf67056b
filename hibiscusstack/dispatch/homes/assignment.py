"""Assigns each target to its home host."""

__all__ = ["assign_homes"]

import math
from collections.abc import Iterable, Sequence

import xxhash

from hibiscusstack.dispatch.messages import HostName


def assign_homes(
    targets: Iterable[str], hosts: Sequence[HostName]
) -> dict[str, HostName]:
    """Return the home of each target by rendezvous hashing with bounded counts.

    Targets are assigned in order of their names. Each goes to the host of the
    highest weight among those that have fewer targets than an equal share, rounded
    up. All hosts that know the same targets and hosts compute the same result. When
    a host leaves, its targets move, and a few others move to keep the counts equal.
    Without hosts the result is empty.

    >>> a, b = HostName("dc1", "a", 1), HostName("dc1", "b", 1)
    >>> homes = assign_homes(["t1", "t2", "t3", "t4"], [a, b])
    >>> list(homes.values()).count(a)
    2

    The cost is one hash and one comparison for each pair of a target and a host.
    The methods are those of Thaler and Ravishankar, "Using name-based mappings to
    increase hit rates", 1998, and of Mirrokni, Thorup and Zadimoghaddam, "Consistent
    hashing with bounded loads", 2018.
    """
    ordered = sorted(targets)
    if not hosts:
        return {}
    capacity = dict.fromkeys(hosts, math.ceil(len(ordered) / len(hosts)))
    homes = {}
    for target in ordered:
        candidates = (host for host in hosts if capacity[host])
        home = max(candidates, key=lambda host: _weight(target, host))
        capacity[home] -= 1
        homes[target] = home
    return homes


def _weight(target: str, host: HostName) -> int:
    key = f"{target}|{host.data_centre}|{host.name}|{host.incarnation}"
    return xxhash.xxh3_64_intdigest(key.encode())
