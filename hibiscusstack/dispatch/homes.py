"""Which host is the home of which target, and how a job is split over homes."""

__all__ = ["Portion", "assign_homes", "split_over_homes"]

from collections.abc import Iterable, Mapping, Sequence

import attrs
import xxhash

from hibiscusstack.dispatch.interfaces import HomeLoad
from hibiscusstack.dispatch.messages import HostName


@attrs.frozen
class Portion:
    """The part of a job that goes to one home, and the targets it may use there."""

    home: HostName
    indexes: tuple[int, ...]
    targets: tuple[str, ...]


def assign_homes(
    targets: Iterable[str], hosts: Sequence[HostName]
) -> dict[str, HostName]:
    """Return the home of each target by rendezvous hashing.

    When a host leaves, only its own targets move. Without hosts the result is
    empty. The cost is one hash for each pair; the method is that of Thaler and
    Ravishankar, "Using name-based mappings to increase hit rates", 1998.

    >>> a = HostName("dc1", "a", 1)
    >>> assign_homes(["t1"], [a]) == {"t1": a}
    True
    """
    if not hosts:
        return {}
    return {
        target: max(hosts, key=lambda host: _weight(target, host)) for target in targets
    }


def split_over_homes(
    matches: Mapping[int, frozenset[str]],
    home_of: Mapping[str, HostName],
    loads: Mapping[HostName, HomeLoad],
    preferred: HostName,
) -> list[Portion]:
    """Return portions that cover every index of ``matches``, few homes first.

    The preferred home gets what its free slots can take, then the others in order
    of their free slots; what no slot is free for goes to the least queue. Each
    index needs at least one matching target that has a home.

    >>> a = HostName("dc1", "a", 1)
    >>> split_over_homes({0: frozenset({"t1"})}, {"t1": a}, {}, a)[0].indexes
    (0,)
    """
    by_targets: dict[frozenset[str], list[int]] = {}
    for index, names in matches.items():
        by_targets.setdefault(names, []).append(index)
    portions: list[Portion] = []
    free = {home: load.free_slots for home, load in loads.items()}
    for names, indexes in by_targets.items():
        targets_of = _group_by_home(names, home_of)
        shares = _share_out(indexes, list(targets_of), free, loads, preferred)
        for home, share in shares.items():
            targets = tuple(sorted(targets_of[home]))
            portions.append(Portion(home, tuple(share), targets))
    return portions


def _share_out(
    indexes: Sequence[int],
    homes: list[HostName],
    free: dict[HostName, int],
    loads: Mapping[HostName, HomeLoad],
    preferred: HostName,
) -> dict[HostName, list[int]]:
    ranked = sorted(homes, key=lambda h: (h != preferred, -free.get(h, 0), h))
    shares: dict[HostName, list[int]] = {}
    remaining = list(indexes)
    for home in ranked:
        count = min(len(remaining), max(free.get(home, 0), 0))
        if count:
            shares[home] = remaining[:count]
            remaining = remaining[count:]
            free[home] -= count
    if remaining:
        shortest = min(ranked, key=lambda home: _queue_per_target(home, loads))
        shares.setdefault(shortest, []).extend(remaining)
    return shares


def _queue_per_target(home: HostName, loads: Mapping[HostName, HomeLoad]) -> float:
    load = loads.get(home)
    if load is None:
        return 0.0
    return load.queued_ms / max(load.targets, 1)


def _group_by_home(
    names: Iterable[str], home_of: Mapping[str, HostName]
) -> dict[HostName, list[str]]:
    grouped: dict[HostName, list[str]] = {}
    for name in names:
        home = home_of.get(name)
        if home is not None:
            grouped.setdefault(home, []).append(name)
    return grouped


def _weight(target: str, host: HostName) -> int:
    key = f"{target}|{host.data_centre}|{host.name}|{host.incarnation}"
    return xxhash.xxh3_64_intdigest(key.encode())
