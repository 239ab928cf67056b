"""When a coordinator leaves its term to a host with much more processor.

One coordinator orders all targets, so its processor bounds what a site starts. Hosts
differ in size, and a host that was the first to be up may be a small one.
"""

__all__ = ["Handover", "claim_rank"]

from collections.abc import Mapping

import attrs

from hibiscusstack.dispatch.messages import HostName

LARGER_HOST_RATIO = 1.5
STABLE_OFFER_MS = 3_000


def claim_rank(own: HostName, offered_cpu_milli: Mapping[HostName, int]) -> int:
    """Return how many hosts go before ``own`` in claiming a term.

    ``offered_cpu_milli`` holds what each host offers, ``own`` among them, in
    thousandths of a core. The largest goes first, and of equal ones the first by name.

    >>> a, b = HostName("dc", "a", 1), HostName("dc", "b", 1)
    >>> claim_rank(b, {a: 500, b: 500}), claim_rank(b, {a: 500, b: 2_000})
    (1, 0)
    """
    place = (-offered_cpu_milli.get(own, 0), own)
    return sum((-cpu, host) < place for host, cpu in offered_cpu_milli.items())


@attrs.define
class Handover:
    """Tells a coordinator with ``cpu_milli`` when to let a larger host take over.

    That host has to have offered itself for ``STABLE_OFFER_MS``, since each change of
    the coordinator costs a pause.
    """

    cpu_milli: int
    _larger_since_ms: dict[HostName, float] = attrs.field(factory=dict)

    def is_due(self, now_ms: float, offered_cpu_milli: Mapping[HostName, int]) -> bool:
        """Return whether one of the peers is settled and much larger."""
        self._larger_since_ms = {
            host: self._larger_since_ms.get(host, now_ms)
            for host, offered in offered_cpu_milli.items()
            if self.cpu_milli and offered >= LARGER_HOST_RATIO * self.cpu_milli
        }
        return any(
            now_ms - since_ms >= STABLE_OFFER_MS
            for since_ms in self._larger_since_ms.values()
        )
