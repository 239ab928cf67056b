"""Shards: parts of the targets and jobs of a site, each with a coordinator of its own.

A target and a job belong to one shard each. So no two coordinators ever order the same
target or run the same job, and what holds for the coordinator of a site without shards
holds for that of a shard.

The division is recorded in the log once, before the first job, and stays. It names the
shard of each target that was listed then; other targets, and all jobs, belong to a
shard by the hash of their name.
"""

__all__ = [
    "LAYOUT_KEY",
    "MAX_SHARDS",
    "OnLayout",
    "ShardLayout",
    "ShardLog",
    "ShardPlace",
    "ShardingPolicy",
    "decode_layout",
    "encode_layout",
    "shard_of",
]

import json
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from hashlib import blake2b
from itertools import count

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import (
    Appended,
    AppendRefused,
    Fenced,
    KeyedPage,
    KeyedRecord,
    OutOfSequence,
    Producer,
    SequencedLog,
)
from hibiscusstack.pool.json_values import load_json, require_text
from hibiscusstack.pool.targets import ListedTarget

MAX_SHARDS = 16
LAYOUT_KEY = "shards"


@attrs.frozen
class ShardingPolicy:
    """How many shards a site gets when it starts for the first time.

    With ``targets_per_coordinator`` 0 it has no shards.

    >>> [ShardingPolicy(60, 4).count_for(targets) for targets in (24, 176, 900)]
    [1, 3, 4]
    """

    targets_per_coordinator: int = 0
    max_coordinators: int = 1

    def count_for(self, target_count: int) -> int:
        """Return the number of shards for a site with so many targets."""
        if not self.targets_per_coordinator:
            return 1
        wanted = -(-target_count // self.targets_per_coordinator)
        return max(1, min(wanted, self.max_coordinators, MAX_SHARDS))


@attrs.frozen
class ShardPlace:
    """Which shard of a site a part of a host is for, by its ``index`` from 0.

    Hosts of the same size stand in another order for each shard, so that its
    coordinators are on different hosts.
    """

    index: int = 0
    has_others: bool = False

    def numbers(self) -> Iterator[int]:
        """Return numbers for messages, which tell the shard if there are others.

        >>> numbers = ShardPlace(2, has_others=True).numbers()
        >>> [next(numbers) % MAX_SHARDS for _ in range(3)]
        [2, 2, 2]
        """
        if not self.has_others:
            return count(1)
        return count(MAX_SHARDS + self.index, MAX_SHARDS)

    def rank_key(self, host: HostName) -> tuple[int, HostName]:
        """Return the key that orders hosts of the same size as candidates."""
        if not self.has_others:
            return 0, host
        text = f"{self.index}/{host.data_centre}/{host.name}"
        return shard_of(text, 1 << 32), host


@attrs.frozen
class ShardLayout:
    """The number of shards, and the shard of each target that was listed at first."""

    count: int
    assigned: Mapping[str, int] = attrs.field(factory=dict)

    @classmethod
    def of_targets(cls, count: int, targets: Iterable[ListedTarget]) -> "ShardLayout":
        """Return a layout whose shards have alike targets in each data centre."""
        ordered = sorted(
            targets,
            key=lambda each: (each.data_centre, each.capacity.cpu_milli, each.name),
        )
        assigned = {each.name: place % count for place, each in enumerate(ordered)}
        return cls(count, assigned if count > 1 else {})

    def shard_of_target(self, name: str) -> int:
        """Return the shard of a target."""
        return self.assigned.get(name, shard_of(name, self.count))

    def shard_of_job(self, job_id: str) -> int:
        """Return the shard of a job."""
        return shard_of(job_id, self.count)


def shard_of(name: str, shard_count: int) -> int:
    """Return the shard of a name by its hash, the same on all hosts.

    >>> [shard_of("5c0e7a21d94b36f8", count) for count in (1, 3)]
    [0, 2]
    """
    digest = blake2b(name.encode(errors="replace"), digest_size=4).digest()
    return int.from_bytes(digest, "big") % shard_count


def encode_layout(layout: ShardLayout) -> bytes:
    """Return the value of the record of a layout: the targets of each shard."""
    names: list[list[str]] = [[] for _ in range(layout.count)]
    for name, index in layout.assigned.items():
        names[index].append(name)
    return json.dumps(names).encode()


def decode_layout(record: KeyedRecord) -> ShardLayout | None:
    """Return the layout in a record, or ``None`` for any other record.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` if the value is malformed.
    """
    if record.key != LAYOUT_KEY or record.value is None:
        return None
    shards = load_json(record.key, record.value)
    if not isinstance(shards, list) or not 0 < len(shards) <= MAX_SHARDS:
        raise DecodeError(record.key, "the targets of each shard", shards)
    if not all(isinstance(names, list) for names in shards):
        raise DecodeError(record.key, "lists of targets", shards)
    assigned = {
        require_text(record.key, name): index
        for index, names in enumerate(shards)
        for name in names
    }
    return ShardLayout(len(shards), assigned)


class ShardLog:
    """The log of a site as one shard sees it, with topics of its own.

    The topics of the first shard are those of a site without shards.
    """

    def __init__(self, log: SequencedLog, index: int) -> None:
        self._log = log
        self._suffix = f".{index}" if index else ""

    def read_newest(self, topic: str) -> Deferred[KeyedPage]:
        """Return the newest record of each key."""
        return self._log.read_newest(topic + self._suffix)

    def read_from(self, topic: str, offset: int, wait_ms: int) -> Deferred[KeyedPage]:
        """Return the records from ``offset`` on."""
        return self._log.read_from(topic + self._suffix, offset, wait_ms)

    def append(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> Deferred[Appended | AppendRefused]:
        """Append one record."""
        return self._log.append(topic + self._suffix, key, value, at)

    def append_all(
        self, topic: str, records: Sequence[tuple[str, bytes]], at: int
    ) -> Deferred[Appended | AppendRefused]:
        """Append all records or none."""
        return self._log.append_all(topic + self._suffix, records, at)

    def begin_epoch(
        self, topic: str, producer: Producer
    ) -> Deferred[Appended | Fenced]:
        """Fence all lower epochs of the producer."""
        return self._log.begin_epoch(topic + self._suffix, producer)

    def append_numbered(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        producer: Producer,
        number: int,
    ) -> Deferred[Appended | Fenced | OutOfSequence]:
        """Append all records or none; each number takes effect once."""
        return self._log.append_numbered(
            topic + self._suffix, records, producer, number
        )


OnLayout = Callable[[ShardLayout], None]
