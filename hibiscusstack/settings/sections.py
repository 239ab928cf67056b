"""The sections of a daemon's settings file as attrs classes."""

__all__ = [
    "CallerSettings",
    "HostSettings",
    "LimitSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "TargetSettings",
    "TelemetrySettings",
    "key",
    "kind_of",
    "silence_contradictions",
]

from collections.abc import Iterator
from typing import Any

import attrs

from hibiscusstack.host.dialing import PeerAddress
from hibiscusstack.settings.kinds import (
    MAX_PORT,
    Choice,
    EndpointList,
    IpAddress,
    Name,
    Number,
    Url,
    ValueKind,
)

MAX_DURATION_MS = 3_600_000
MAX_SIZE_BYTES = 1 << 30
MAX_COUNT = 10_000_000
# A job must fit in one frame between hosts, and CBOR encodes some numbers in more
# bytes than JSON does.
MAX_BODY_BYTES = 1_572_864

DURATION = Number(1, MAX_DURATION_MS)
PORT = Number(0, MAX_PORT)
_COUNT = Number(1, MAX_COUNT)
_SIZE_BYTES = Number(1024, MAX_SIZE_BYTES)

Contradiction = tuple[str, str, object]
"""The key that contradicts another one, what is expected, and what was found."""


def key(kind: ValueKind, doc: str, default: Any = attrs.NOTHING) -> Any:
    """Return an attrs field for one key of a section, with its kind and description."""
    metadata = {"kind": kind, "doc": doc}
    return attrs.field(default=default, metadata=metadata)


def kind_of(field: attrs.Attribute) -> ValueKind:
    """Return the kind of value of a field made by :func:`key`."""
    return field.metadata["kind"]


def silence_contradictions(peers: Any, prefix: str = "") -> Iterator[Contradiction]:
    """Yield a contradiction if silence is detected before a heartbeat is due."""
    heartbeat_ms = getattr(peers, f"{prefix}heartbeat_ms")
    silence_ms = getattr(peers, f"{prefix}silence_ms")
    if silence_ms <= heartbeat_ms:
        where = f"[peers] {prefix}silence_ms"
        expected = f"more than {prefix}heartbeat_ms, which is {heartbeat_ms}"
        yield where, expected, silence_ms


@attrs.frozen
class HostSettings:
    """The identity of this host, and the address at which its peers reach it."""

    name: str = key(Name(), "The name of this host, unique in its data centre.")
    data_centre: str = key(Name(), "The data centre of this host.")
    address: str = key(IpAddress(), "The IP address at which peers reach this host.")
    peer_port: int = key(
        PORT, "The port for peer connections; 0 lets the kernel choose.", 7400
    )
    drain_timeout_ms: int = key(
        DURATION,
        "How long a graceful stop waits for work in progress before it gives up.",
        120_000,
    )
    leave_ms: int = key(
        Number(0, MAX_DURATION_MS),
        "How long readiness checks fail before new jobs are refused, so that the load"
        " balancer stops sending them.",
        2_000,
    )


@attrs.frozen
class CallerSettings:
    """The HTTP interface for callers."""

    address: str = key(IpAddress(), "The IP address to listen on.", "127.0.0.1")
    port: int = key(PORT, "The port to listen on; 0 lets the kernel choose.", 8080)
    max_body_bytes: int = key(
        Number(1024, MAX_BODY_BYTES), "The size limit of a request body.", 1_048_576
    )
    receive_timeout_ms: int = key(
        DURATION, "The timeout for receiving a whole request from a caller.", 10_000
    )


@attrs.frozen
class OperatorSettings:
    """The HTTP interface for operators."""

    address: str = key(IpAddress(), "The IP address to listen on.", "127.0.0.1")
    port: int = key(PORT, "The port to listen on; 0 lets the kernel choose.", 8081)


@attrs.frozen
class PlatformSettings:
    """The platform's log and live list."""

    log_url: str = key(Url(), "The base URL of the log service.")
    list_url: str = key(Url(), "The base URL of the live list.")
    poll_interval_ms: int = key(
        DURATION, "How often the log and the live list are read.", 1_000
    )
    timeout_ms: int = key(DURATION, "The timeout of each call.", 5_000)
    configuration_stream: str = key(
        Name(), "The log stream that holds the configuration.", "configuration"
    )


@attrs.frozen
class PeerSettings:
    """Connections to the other dispatcher hosts."""

    seeds: tuple[PeerAddress, ...] = key(
        EndpointList(), "Peers to connect to in addition to those in the live list.", ()
    )
    heartbeat_ms: int = key(DURATION, "The interval between heartbeats.", 500)
    silence_ms: int = key(
        DURATION,
        "A connection on which nothing arrives for this long is closed.",
        2_000,
    )
    far_heartbeat_ms: int = key(
        DURATION,
        "The interval between heartbeats to peers in other data centres.",
        2_000,
    )
    far_silence_ms: int = key(
        DURATION, "The same as silence_ms, for peers in other data centres.", 8_000
    )
    lost_after_ms: int = key(
        DURATION, "A peer without a connection for this long counts as lost.", 3_000
    )
    connect_timeout_ms: int = key(
        DURATION, "The timeout for opening a connection.", 2_000
    )
    max_unsent_bytes: int = key(
        _SIZE_BYTES,
        "The limit on unsent data for a peer that reads slowly.",
        16_777_216,
    )


@attrs.frozen
class TargetSettings:
    """Calls to targets."""

    timeout_ms: int = key(
        DURATION,
        "The longest lease of a task, and the longest wait for its answer.",
        60_000,
    )
    probe_ms: int = key(
        DURATION, "The timeout of a query about tasks that have gone silent.", 2_000
    )


@attrs.frozen
class LimitSettings:
    """Limits on what this host keeps in memory."""

    max_waiting_requests: int = key(
        _COUNT, "The largest number of caller requests that wait for an answer.", 4_096
    )
    id_lifetime_ms: int = key(
        DURATION, "How long a job can be submitted under an issued id.", 600_000
    )


@attrs.frozen
class TelemetrySettings:
    """Logs, metrics and traces."""

    log_level: str = key(
        Choice(("debug", "info", "warning", "error")),
        "Events below this level are not written.",
        "info",
    )
    statsd_address: str = key(
        IpAddress(is_optional=True),
        "The address of the statsd server; if empty, no metrics are sent.",
        "",
    )
    statsd_port: int = key(Number(1, MAX_PORT), "The port of the statsd server.", 8125)
    trace_exporter: str = key(
        Choice(("none", "console")),
        "Where spans are exported to, besides being kept in memory.",
        "none",
    )
    trace_percent: int = key(
        Number(0, 100),
        "The percentage of jobs that are traced, unless callers decide.",
        100,
    )
    max_spans: int = key(
        _COUNT, "The largest number of spans kept in memory for operators.", 20_000
    )


@attrs.frozen
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    caller: CallerSettings
    operator: OperatorSettings
    platform: PlatformSettings
    peers: PeerSettings
    targets: TargetSettings
    limits: LimitSettings
    telemetry: TelemetrySettings

    def contradictions(self) -> Iterator[Contradiction]:
        """Yield the values that contradict each other."""
        yield from silence_contradictions(self.peers)
        yield from silence_contradictions(self.peers, "far_")
