"""The sections of a pool host's settings file as attrs classes."""

__all__ = ["PoolSettings"]

from collections.abc import Iterator

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.ranking import JobOrder
from hibiscusstack.pool.sharding import MAX_SHARDS, ShardingPolicy
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
_DEFAULT_MEMORY_MB = 256
_DEFAULT_DESCRIPTORS = 4_096
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
    memory_mb: int | None = key(
        Number(64, 1_000_000, is_optional=True),
        "The memory that this host may use. Clients may hold an eighth of it with"
        " requests that aren't complete. If empty, 256.",
        None,
    )
    descriptors: int | None = key(
        Number(128, 10_000_000, is_optional=True),
        "The descriptors that this host may open. Clients may have half of them. If"
        " empty, 4096.",
        None,
    )
    core_share: float = key(
        Fraction(), "The fraction of each core that this host may use.", 1.0
    )

    @property
    def client_bytes(self) -> int:
        """What clients may hold of the memory of this host, in bytes."""
        return 1_000_000 * (self.memory_mb or _DEFAULT_MEMORY_MB) // 8

    @property
    def client_connections(self) -> int:
        """How many connections clients may have."""
        return (self.descriptors or _DEFAULT_DESCRIPTORS) // 2

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
        "The shortest time after which callers resend a job whose connection broke;"
        " empty if they do not resend. The lease is shortened so that the first runs"
        " have ended by then.",
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
        "The address that serves state and metrics; if empty, they are not served.",
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
    """Connections to the other hosts, and how the loss of a host is detected."""

    heartbeat_ms: int = key(
        DURATION,
        "The interval between heartbeats. On sites of more than 12 hosts only"
        " coordinators and hosts that hear none send one in every interval.",
        _DEFAULT_PEERS.heartbeat_ms,
    )
    silence_ms: int = key(
        DURATION,
        "A connection on which nothing arrives for this long is closed.",
        _DEFAULT_PEERS.silence_ms,
    )
    owner_grace_ms: int = key(
        DURATION,
        "How long a peer may stay disconnected before its jobs are stopped.",
        _DEFAULT_PEERS.owner_grace_ms,
    )
    patience_ms: int = key(
        DURATION,
        "A host claims the next term when neither it nor any connected peer has heard"
        " the coordinator for this long.",
        _DEFAULT_PEERS.patience_ms,
    )
    longest_pause_ms: int = key(
        DURATION,
        "A host whose process was paused for longer gives up its term.",
        _DEFAULT_PEERS.longest_pause_ms,
    )
    connect_timeout_ms: int = key(
        DURATION,
        "The timeout for opening a connection.",
        _DEFAULT_PEERS.connect_timeout_ms,
    )


@attrs.frozen
class PoolTargetSettings:
    """Orders to targets, and the leases that targets grant."""

    lease_ms: int = key(
        DURATION,
        "The lease to request. It is shortened to fit longest_lease_ms and the"
        " resend_ms of callers.",
        _DEFAULT_TIMING.lease_ms,
    )
    longest_lease_ms: int | None = key(
        _OPTIONAL_DURATION,
        "The longest lease that targets grant; empty if they set no limit.",
        None,
    )
    notice_ms: int = key(
        DURATION,
        "The longest time from the loss of a host until its runs are being stopped."
        " This is an assumed bound, not a timeout: the lease is shortened by it to fit"
        " resend_ms. It must exceed silence_ms + owner_grace_ms.",
        _DEFAULT_TIMING.notice_ms,
    )
    stop_notice_ms: int = key(
        DURATION,
        "The lease of a target is not renewed while a stop is unconfirmed for longer.",
        _DEFAULT_TIMING.stop_notice_ms,
    )
    hold_wait_ms: int = key(
        DURATION,
        "How long a target waits for a run to end before it answers a hold.",
        _DEFAULT_TIMING.hold_wait_ms,
    )
    clearing_wait_ms: int = key(
        DURATION,
        "Used instead of hold_wait_ms while the lease of the target is not renewed, as"
        " during a takeover.",
        _DEFAULT_TIMING.clearing_wait_ms,
    )
    start_timeout_ms: int = key(
        DURATION,
        "A start without a reply for this long is stopped, and the task is started on"
        " another target.",
        _DEFAULT_TIMING.start_timeout_ms,
    )
    order_retry_ms: int = key(
        DURATION,
        "How long until an unconfirmed stop or a failed hold is sent again; also the"
        " timeout of a stop.",
        _DEFAULT_TIMING.order_retry_ms,
    )
    overdue_ms: int = key(
        DURATION,
        "How long after its wait a hold may be unanswered before the target is polled,"
        " and the interval of these polls.",
        _DEFAULT_TIMING.overdue_ms,
    )
    max_doubt_ms: int = key(
        DURATION,
        "How long a stop of a run whose job goes on may be unconfirmed before the lease"
        " of its target is no longer renewed.",
        _DEFAULT_TIMING.max_doubt_ms,
    )
    adoption_ms: int = key(
        DURATION,
        "How long after the takeover of a target hosts may report the jobs of its"
        " active runs. Runs of jobs that are still unknown are then stopped.",
        _DEFAULT_TIMING.adoption_ms,
    )
    recovery_ms: int = key(
        DURATION,
        "Used instead of adoption_ms while the stored jobs are read from the log.",
        _DEFAULT_TIMING.recovery_ms,
    )
    seclusion_ms: int = key(
        DURATION,
        "A coordinator that cannot tell for this long whether its term is over"
        " releases its stored jobs.",
        _DEFAULT_TIMING.seclusion_ms,
    )
    unlisted_ms: int = key(
        DURATION,
        "How long a target is kept after its entry is gone from the log; longer while"
        " it has runs.",
        _DEFAULT_TIMING.unlisted_ms,
    )
    restore_ms: int | None = key(
        _OPTIONAL_DURATION,
        "How long a run takes to resume from a checkpoint; the checkpoint of a shorter"
        f" run is not used. If empty, {_DEFAULT_TIMING.restore_ms}.",
        None,
    )
    clock_drift_percent: int = key(
        Number(0, 50),
        "How much slower the clock of a target may run than that of this host.",
        round(_DEFAULT_TIMING.clock_drift * 100),
    )
    lapse_margin_ms: int = key(
        DURATION,
        "The safety margin added to a lease before it counts as expired.",
        _DEFAULT_TIMING.lapse_margin_ms,
    )

    def coordinator_timing(self, resend_ms: int | None) -> CoordinatorTiming:
        """Return the coordinator's durations.

        The lease is shortened to ``longest_lease_ms`` and, if callers resend jobs,
        so that ``max_orphan_run_ms`` is less than ``resend_ms``.
        """
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
        # Runs for a lost host must have ended before its callers resend their jobs, or
        # the first run and the resent job could run at once. This solves
        # max_orphan_run_ms <= resend_ms - 1 for lease_ms. PoolSettings.contradictions
        # reports a result below 1, since hold_wait_ms must be less than the lease.
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
class PoolShardSettings:
    """The division of targets and jobs among several coordinators."""

    targets_per_coordinator: int = key(
        Number(0, 100_000),
        "For how many targets a site gets a coordinator when it starts for the first"
        " time; 0 for one coordinator of all. The number is kept in the log.",
        0,
    )
    max_coordinators: int = key(
        Number(1, MAX_SHARDS), "The largest number of coordinators of a site.", 4
    )

    def policy(self) -> ShardingPolicy:
        """Return the policy by which a new site is divided."""
        return ShardingPolicy(self.targets_per_coordinator, self.max_coordinators)


@attrs.frozen
class PoolStoredSettings:
    """Jobs that are stored in the log."""

    shown_s: int | None = key(
        Number(1, 86_400, is_optional=True),
        "How long the state of a job can be read after its end. If empty, 120.",
        None,
    )
    late_repeat_s: int = key(
        Number(1, 86_400),
        "How much longer than shown_s a resubmission of an ended job is recognised as a"
        " duplicate.",
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
    shards: PoolShardSettings
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
        timing = self.targets.coordinator_timing(self.caller.resend_ms)
        return attrs.evolve(timing, longest_pause_ms=self.peers.longest_pause_ms)

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
