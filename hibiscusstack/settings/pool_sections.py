"""The sections of a pool host's settings file as attrs classes."""

__all__ = ["PoolSettings"]

from collections.abc import Iterator

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.ranking import JobOrder
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.settings.kinds import Choice, Endpoint, Fraction, Number
from hibiscusstack.settings.sections import (
    DURATION,
    MAX_DURATION_MS,
    Contradiction,
    HostSettings,
    key,
    silence_contradictions,
)

_DEFAULT_PEERS = PoolHostSettings(HostName("", "", 0), "", 0)
_DEFAULT_TIMING = CoordinatorTiming()
_DEFAULT_SHOWN_S = 120
_OPTIONAL_DURATION = Number(1, MAX_DURATION_MS, is_optional=True)


@attrs.frozen
class PoolLocalHostSettings(HostSettings):
    """The identity of this host, the address for its peers, and its CPU capacity."""

    cores: int | None = key(
        Number(1, 1_024, is_optional=True),
        "The number of cores of this host. If hosts state it, larger hosts are"
        " preferred as coordinator.",
        None,
    )
    core_share: float = key(
        Fraction(), "The fraction of each core that this host may use.", 1.0
    )

    @property
    def cpu_milli(self) -> int:
        """The host's CPU capacity in thousandths of a core; 0 without ``cores``."""
        return round(1000 * (self.cores or 0) * self.core_share)


@attrs.frozen
class PoolCallerSettings:
    """The HTTP interface for callers."""

    listen: str = key(Endpoint(), "The address to listen on for callers.")
    resend_ms: int | None = key(
        _OPTIONAL_DURATION,
        "How long after their connection broke callers resend a job, if they do.",
        None,
    )


@attrs.frozen
class PoolReadinessSettings:
    """The HTTP interface for the load balancer."""

    listen: str = key(Endpoint(), "The address to listen on for readiness checks.")


@attrs.frozen
class PoolOperatorSettings:
    """The HTTP interface for operators."""

    listen: str = key(
        Endpoint(is_optional=True),
        "The address that serves state and metrics; nothing turns it off.",
        "",
    )


@attrs.frozen
class PoolLogSettings:
    """The platform's log, which holds the configuration, the targets and the hosts."""

    address: str = key(Endpoint(), "The address of the log.")
    timeout_ms: int = key(
        DURATION,
        "The timeout of a call, in addition to the time it asks the log to wait.",
        700,
    )


@attrs.frozen
class PoolPeerSettings:
    """Connections to the other hosts, and how their loss is found."""

    heartbeat_ms: int = key(
        DURATION, "The interval of heartbeats.", _DEFAULT_PEERS.heartbeat_ms
    )
    silence_ms: int = key(
        DURATION,
        "A connection on which nothing came for so long is retired.",
        _DEFAULT_PEERS.silence_ms,
    )
    owner_grace_ms: int = key(
        DURATION,
        "How long a peer may be away before its jobs are stopped.",
        _DEFAULT_PEERS.owner_grace_ms,
    )
    patience_ms: int = key(
        DURATION,
        "How long nobody may hear the coordinator before another term is claimed.",
        _DEFAULT_PEERS.patience_ms,
    )
    longest_pause_ms: int = key(
        DURATION,
        "A host that stood still for longer gives up its term.",
        _DEFAULT_PEERS.longest_pause_ms,
    )
    connect_timeout_ms: int = key(
        DURATION, "The deadline of a connection.", _DEFAULT_PEERS.connect_timeout_ms
    )


@attrs.frozen
class PoolTargetSettings:
    """Orders to targets and the leases that they keep."""

    lease_ms: int = key(
        DURATION,
        "The lease that is asked for; less if longest_lease_ms or resend_ms need it.",
        _DEFAULT_TIMING.lease_ms,
    )
    longest_lease_ms: int | None = key(
        _OPTIONAL_DURATION,
        "The longest lease that targets grant, if that is bounded.",
        None,
    )
    notice_ms: int = key(
        DURATION,
        "How long it takes at most until the work of a lost host is being stopped.",
        _DEFAULT_TIMING.notice_ms,
    )
    stop_notice_ms: int = key(
        DURATION,
        "A target that leaves a stop unconfirmed for longer gets no longer lease.",
        _DEFAULT_TIMING.stop_notice_ms,
    )
    hold_wait_ms: int = key(
        DURATION, "How long a hold waits for an end.", _DEFAULT_TIMING.hold_wait_ms
    )
    clearing_wait_ms: int = key(
        DURATION,
        "The same while runs of an earlier coordinator end.",
        _DEFAULT_TIMING.clearing_wait_ms,
    )
    start_timeout_ms: int = key(
        DURATION,
        "A start without a reply for so long is made elsewhere.",
        _DEFAULT_TIMING.start_timeout_ms,
    )
    order_retry_ms: int = key(
        DURATION,
        "When a stop or a hold that failed is sent again.",
        _DEFAULT_TIMING.order_retry_ms,
    )
    adoption_ms: int = key(
        DURATION,
        "How long a new coordinator waits for the jobs of the runs that it finds.",
        _DEFAULT_TIMING.adoption_ms,
    )
    recovery_ms: int = key(
        DURATION,
        "The same while the stored jobs are being read.",
        _DEFAULT_TIMING.recovery_ms,
    )
    seclusion_ms: int = key(
        DURATION,
        "A coordinator that can't tell for so long whether its term is over leaves"
        " its stored jobs.",
        _DEFAULT_TIMING.seclusion_ms,
    )
    unlisted_ms: int = key(
        DURATION,
        "How long a target that is no longer listed still counts.",
        _DEFAULT_TIMING.unlisted_ms,
    )
    restore_ms: int | None = key(
        _OPTIONAL_DURATION,
        "How long a run takes to go on from a checkpoint; that of a shorter run is"
        f" of no use. Nothing means {_DEFAULT_TIMING.restore_ms}.",
        None,
    )
    clock_drift_percent: int = key(
        Number(0, 50),
        "How much slower the clock of a target may run.",
        round(_DEFAULT_TIMING.clock_drift * 100),
    )
    lapse_margin_ms: int = key(
        DURATION,
        "What is added before a lease counts as lapsed.",
        _DEFAULT_TIMING.lapse_margin_ms,
    )

    def coordinator_timing(self, resend_ms: int | None) -> CoordinatorTiming:
        """Return the coordinator's durations, with a lease that all bounds allow."""
        values = attrs.asdict(self)
        values["clock_drift"] = values.pop("clock_drift_percent") / 100
        if values["restore_ms"] is None:
            del values["restore_ms"]
        longest_lease_ms = values.pop("longest_lease_ms")
        if longest_lease_ms is not None:
            values["lease_ms"] = min(self.lease_ms, longest_lease_ms)
        timing = CoordinatorTiming(**values)
        if resend_ms is None or timing.max_orphan_run_ms < resend_ms:
            return timing
        # Runs for a lost host must have ended before its callers resend their jobs.
        remaining_ms = resend_ms - 1 - timing.notice_ms - timing.lapse_margin_ms
        lease_ms = int(remaining_ms / (1 + timing.clock_drift))
        return attrs.evolve(timing, lease_ms=lease_ms)


@attrs.frozen
class PoolQueueSettings:
    """Jobs that wait for free capacity."""

    order: str = key(
        Choice(tuple(order.value for order in JobOrder)),
        "What decides which waiting job goes first: its latest start time, its"
        " priority, its estimated worth per unit of CPU time, or its arrival time.",
        JobOrder.SLACK.value,
    )

    def policy(self) -> OrderingPolicy:
        """Return the ordering policy of the coordinator's queue."""
        return OrderingPolicy(JobOrder(self.order))


@attrs.frozen
class PoolStoredSettings:
    """Jobs that are stored in the log."""

    shown_s: int | None = key(
        Number(1, 86_400, is_optional=True),
        "How long the state of a job can be read after its end; nothing means 120.",
        None,
    )
    late_repeat_s: int = key(
        Number(1, 86_400),
        "How much longer a late resubmission of a job is recognised as a repeat.",
        60,
    )

    @property
    def retention_ms(self) -> int:
        """How long a job is remembered after its end."""
        return 1000 * ((self.shown_s or _DEFAULT_SHOWN_S) + self.late_repeat_s)


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
    """All settings of a pool host."""

    host: PoolLocalHostSettings
    caller: PoolCallerSettings
    readiness: PoolReadinessSettings
    operator: PoolOperatorSettings
    log: PoolLogSettings
    peers: PoolPeerSettings
    targets: PoolTargetSettings
    queue: PoolQueueSettings
    stored: PoolStoredSettings
    telemetry: PoolTelemetrySettings

    def host_settings(self, incarnation: int) -> PoolHostSettings:
        """Return the settings of the host and its peers for this incarnation."""
        host = self.host
        name = HostName(host.data_centre, host.name, incarnation)
        peers = attrs.asdict(self.peers)
        return PoolHostSettings(
            name, host.address, host.peer_port, cpu_milli=host.cpu_milli, **peers
        )

    def coordinator_timing(self) -> CoordinatorTiming:
        """Return the durations for the orders to targets."""
        return self.targets.coordinator_timing(self.caller.resend_ms)

    def contradictions(self) -> Iterator[Contradiction]:
        """Yield the values that contradict each other."""
        yield from silence_contradictions(self.peers)
        disconnected_ms = self.peers.silence_ms + self.peers.owner_grace_ms
        if self.targets.notice_ms <= disconnected_ms:
            expected = (
                f"more than silence_ms + owner_grace_ms, which is {disconnected_ms}"
            )
            yield "[targets] notice_ms", expected, self.targets.notice_ms
        lease_ms = self.coordinator_timing().lease_ms
        if self.targets.hold_wait_ms >= lease_ms:
            expected = f"less than the lease, which is {lease_ms}"
            yield "[targets] hold_wait_ms", expected, self.targets.hold_wait_ms
        if self.host.leave_ms > self.host.drain_timeout_ms:
            expected = (
                f"at most drain_timeout_ms, which is {self.host.drain_timeout_ms}"
            )
            yield "[host] leave_ms", expected, self.host.leave_ms
        yield from self._shared_addresses()

    def _shared_addresses(self) -> Iterator[Contradiction]:
        used_addresses = [f"{self.host.address}:{self.host.peer_port}"]
        for name in ("caller", "readiness", "operator"):
            listen = getattr(self, name).listen
            if listen and listen in used_addresses:
                yield f"[{name}] listen", "an address that nothing else uses", listen
            used_addresses.append(listen)
