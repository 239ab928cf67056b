"""The sections of the settings of a host of pools as attrs classes."""

__all__ = ["PoolSettings"]

from collections.abc import Iterator

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.settings.kinds import Choice, Endpoint, Number
from hibiscusstack.settings.sections import (
    DURATION,
    Contradiction,
    HostSettings,
    key,
    silence_contradictions,
)

_PEERS = PoolHostSettings(HostName("", "", 0), "", 0)
_TARGETS = CoordinatorTiming()


@attrs.frozen
class PoolCallerSettings:
    """The HTTP interface for callers."""

    listen: str = key(Endpoint(), "Where callers are taken.")


@attrs.frozen
class PoolReadinessSettings:
    """The HTTP interface for the balancer."""

    listen: str = key(Endpoint(), "Where the balancer asks whether to send callers.")


@attrs.frozen
class PoolOperatorSettings:
    """The HTTP interface for operators."""

    listen: str = key(
        Endpoint(is_optional=True),
        "Where the state and the metrics are shown; nothing turns it off.",
        "",
    )


@attrs.frozen
class PoolLogSettings:
    """The platform's log, with the configuration, the targets and the hosts."""

    address: str = key(Endpoint(), "Where the log is.")
    timeout_ms: int = key(DURATION, "The deadline of a call that need not wait.", 700)


@attrs.frozen
class PoolPeerSettings:
    """Connections to the other hosts, and how their loss is found."""

    heartbeat_ms: int = key(
        DURATION, "The interval of heartbeats.", _PEERS.heartbeat_ms
    )
    silence_ms: int = key(
        DURATION,
        "A connection on which nothing came for so long is retired.",
        _PEERS.silence_ms,
    )
    owner_grace_ms: int = key(
        DURATION,
        "How long a peer may be away before its jobs are stopped.",
        _PEERS.owner_grace_ms,
    )
    patience_ms: int = key(
        DURATION,
        "How long nobody may hear the coordinator before another term is claimed.",
        _PEERS.patience_ms,
    )
    longest_pause_ms: int = key(
        DURATION,
        "A host that stood still for longer gives up its term.",
        _PEERS.longest_pause_ms,
    )
    connect_timeout_ms: int = key(
        DURATION, "The deadline of a connection.", _PEERS.connect_timeout_ms
    )


@attrs.frozen
class PoolTargetSettings:
    """Orders to targets and the leases that they keep."""

    lease_ms: int = key(
        DURATION,
        "The lease that is asked for; longest_lease_ms if that is shorter.",
        _TARGETS.lease_ms,
    )
    longest_lease_ms: int = key(
        DURATION, "The longest lease that targets grant.", _TARGETS.longest_lease_ms
    )
    hold_wait_ms: int = key(
        DURATION, "How long a hold waits for an end.", _TARGETS.hold_wait_ms
    )
    clearing_wait_ms: int = key(
        DURATION,
        "The same while runs of an earlier coordinator end.",
        _TARGETS.clearing_wait_ms,
    )
    start_timeout_ms: int = key(
        DURATION,
        "A start without a reply for so long is made elsewhere.",
        _TARGETS.start_timeout_ms,
    )
    order_retry_ms: int = key(
        DURATION,
        "When a stop or a hold that failed is sent again.",
        _TARGETS.order_retry_ms,
    )
    adoption_ms: int = key(
        DURATION,
        "How long a new coordinator waits for the jobs of the runs that it finds.",
        _TARGETS.adoption_ms,
    )
    unlisted_ms: int = key(
        DURATION,
        "How long a target that is no longer listed still counts.",
        _TARGETS.unlisted_ms,
    )
    clock_drift_percent: int = key(
        Number(0, 50),
        "How much slower the clock of a target may run.",
        round(_TARGETS.clock_drift * 100),
    )
    lapse_margin_ms: int = key(
        DURATION,
        "What is added before a lease counts as lapsed.",
        _TARGETS.lapse_margin_ms,
    )

    def timing(self) -> CoordinatorTiming:
        """Return the durations as a coordinator takes them."""
        values = attrs.asdict(self)
        values["lease_ms"] = min(self.lease_ms, self.longest_lease_ms)
        values["clock_drift"] = values.pop("clock_drift_percent") / 100
        return CoordinatorTiming(**values)


@attrs.frozen
class PoolTelemetrySettings:
    """Logs."""

    log_level: str = key(
        Choice(("debug", "info", "warning", "error")),
        "Events below this level are not written.",
        "info",
    )


@attrs.frozen
class PoolSettings:
    """Everything that a host of pools is told at its start."""

    host: HostSettings
    caller: PoolCallerSettings
    readiness: PoolReadinessSettings
    operator: PoolOperatorSettings
    log: PoolLogSettings
    peers: PoolPeerSettings
    targets: PoolTargetSettings
    telemetry: PoolTelemetrySettings

    def host_settings(self, incarnation: int) -> PoolHostSettings:
        """Return who this run of the host is."""
        host = self.host
        name = HostName(host.data_centre, host.name, incarnation)
        peers = attrs.asdict(self.peers)
        return PoolHostSettings(name, host.address, host.peer_port, **peers)

    def contradictions(self) -> Iterator[Contradiction]:
        """Return the values that do not go together."""
        yield from silence_contradictions(self.peers)
        if self.targets.hold_wait_ms >= self.targets.timing().lease_ms:
            lease_ms = self.targets.timing().lease_ms
            expected = f"less than the lease, which is {lease_ms}"
            yield "[targets] hold_wait_ms", expected, self.targets.hold_wait_ms
        if self.host.leave_ms > self.host.drain_timeout_ms:
            expected = (
                f"at most drain_timeout_ms, which is {self.host.drain_timeout_ms}"
            )
            yield "[host] leave_ms", expected, self.host.leave_ms
        yield from self._shared_addresses()

    def _shared_addresses(self) -> Iterator[Contradiction]:
        taken = [f"{self.host.address}:{self.host.peer_port}"]
        for name in ("caller", "readiness", "operator"):
            listen = getattr(self, name).listen
            if listen and listen in taken:
                yield f"[{name}] listen", "an address of its own", listen
            taken.append(listen)
