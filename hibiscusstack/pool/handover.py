"""Handover of the coordinator role to a host with much more CPU.

A single coordinator controls all targets, so its CPU limits how many tasks a site can
start. Hosts differ in size, and the first host to come up may be a small one.
"""

__all__ = ["Handover", "claim_rank"]

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from hibiscusstack.dispatch.messages import HostName

LARGER_HOST_RATIO = 1.5
STABLE_OFFER_MS = 3_000


def claim_rank(
    own: HostName,
    offered_cpu_milli: Mapping[HostName, int],
    rank_key: Callable[[HostName], Any] = lambda host: host,
) -> int:
    """Return the rank of ``own`` among the candidates for a term, 0 for the first.

    ``offered_cpu_milli`` maps each host, including ``own``, to the CPU that it has for
    coordinating, in thousandths of a core. Hosts rank by descending CPU, then by
    ``rank_key``.

    >>> a, b = HostName("dc", "a", 1), HostName("dc", "b", 1)
    >>> claim_rank(b, {a: 500, b: 500}), claim_rank(b, {a: 500, b: 2_000})
    (1, 0)
    """
    sort_key = (-offered_cpu_milli.get(own, 0), rank_key(own))
    return sum(
        (-cpu, rank_key(host)) < sort_key for host, cpu in offered_cpu_milli.items()
    )


@attrs.define
class Handover:
    """Decides when a coordinator with ``cpu_milli`` hands over to a larger host.

    Each change of coordinator interrupts service. The larger host must therefore have
    offered at least ``LARGER_HOST_RATIO`` times the CPU for ``STABLE_OFFER_MS``.
    ``cpu_milli`` is 0 if this host's CPU is unknown; then no handover takes place.
    """

    cpu_milli: int
    _larger_since_ms: dict[HostName, float] = attrs.field(factory=dict)

    def is_due(self, now_ms: float, offered_cpu_milli: Mapping[HostName, int]) -> bool:
        """Return whether a much larger peer has been available for long enough.

        ``offered_cpu_milli`` maps each peer to the CPU that it has for coordinating.
        """
        self._larger_since_ms = {
            host: self._larger_since_ms.get(host, now_ms)
            for host, offered in offered_cpu_milli.items()
            if self.cpu_milli and offered >= LARGER_HOST_RATIO * self.cpu_milli
        }
        return any(
            now_ms - since_ms >= STABLE_OFFER_MS
            for since_ms in self._larger_since_ms.values()
        )
