"""Settings of a pool host: identity, address and peer timeouts."""

__all__ = ["PoolHostSettings"]

import attrs

from hibiscusstack.dispatch.messages import HostName


@attrs.frozen
class PoolHostSettings:
    """Identity of one run of a host, its address for peers, and durations.

    Durations are in milliseconds. A peer that stays disconnected for longer than
    ``owner_grace_ms`` is taken to have lost its callers, so its work is stopped.
    ``patience_ms`` is the election timeout: a host claims the next term after neither
    it nor any connected peer has heard the holder of the term for so long. A host that
    was paused for longer than ``longest_pause_ms`` gives up its term. ``cpu_milli`` is
    the CPU of the host in thousandths of a core, 0 if it is unknown.
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
