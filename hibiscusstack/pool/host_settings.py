"""Who a host of pools is, and the durations that govern its peers."""

__all__ = ["PoolHostSettings"]

import attrs

from hibiscusstack.dispatch.messages import HostName


@attrs.frozen
class PoolHostSettings:
    """One run of a host, where its peers reach it, and durations in milliseconds.

    A peer that stays away for ``owner_grace_ms`` after its connection ended has lost
    its callers, so its work is stopped. ``patience_ms`` is how long the holder of the
    term may be unheard before another host claims the next. A host that was paused for
    longer than ``longest_pause_ms`` gives up its term. ``cpu_milli`` is the host's
    processor in thousandths of a core, nothing if that is not known.
    """

    name: HostName
    address: str
    port: int
    heartbeat_ms: int = 100
    silence_ms: int = 400
    owner_grace_ms: int = 100
    patience_ms: int = 200
    longest_pause_ms: int = 700
    connect_timeout_ms: int = 400
    cpu_milli: int = 0
