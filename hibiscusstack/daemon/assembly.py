"""Builds the components of a dispatcher host from its settings."""

__all__ = [
    "PlatformClients",
    "build_api_limits",
    "build_configuration_sync",
    "build_host_tracer",
    "build_id_issuer",
    "build_mesh",
    "build_metrics",
    "build_platform_clients",
]

import random
import secrets
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.configuration.sync import (
    ConfigurationSync,
    ConfigurationTimings,
)
from hibiscusstack.dispatch.messages import Hello, HostName
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.host import Mesh, MeshEvents, MeshTiming, TcpNetwork
from hibiscusstack.records import LiveListClient, LogClient, PlatformHttp
from hibiscusstack.settings import Settings
from hibiscusstack.telemetry.metrics import StatsdMetrics
from hibiscusstack.telemetry.traces import Tracer, build_tracer

ID_SECRET_BYTES = 32


@attrs.frozen
class PlatformClients:
    """The clients of the log and of the live list, with their connections."""

    log: LogClient
    live_list: LiveListClient
    connections: tuple[PlatformHttp, ...]

    def close(self) -> list[Deferred[None]]:
        """Close the idle connections."""
        return [connection.close() for connection in self.connections]


def build_api_limits(settings: Settings) -> ApiLimits:
    """Return the limits of the HTTP interfaces."""
    return ApiLimits(
        max_body_bytes=settings.caller.max_body_bytes,
        receive_timeout_ms=settings.caller.receive_timeout_ms,
        max_waiting=settings.limits.max_waiting_requests,
    )


def build_metrics(settings: Settings) -> StatsdMetrics:
    """Return a statsd client whose metrics carry the name of the host."""
    telemetry = settings.telemetry
    return StatsdMetrics(
        telemetry.statsd_address, telemetry.statsd_port, settings.host.name
    )


def build_host_tracer(settings: Settings) -> Tracer:
    """Return the tracer with the exporter named in the settings."""
    telemetry = settings.telemetry
    return build_tracer(
        telemetry.trace_exporter,
        telemetry.max_spans,
        settings.host.name,
        telemetry.trace_percent,
    )


def build_id_issuer(settings: Settings, name: HostName, clock: Clock) -> IdIssuer:
    """Return an issuer of job ids with a new random secret."""
    secret = secrets.token_bytes(ID_SECRET_BYTES)
    return IdIssuer(name, clock, secret, settings.limits.id_lifetime_ms)


def build_mesh(
    settings: Settings, name: HostName, events: MeshEvents, reactor: Any, clock: Clock
) -> Mesh:
    """Return the mesh of connections to peers, not started yet."""
    host, peers = settings.host, settings.peers
    return Mesh(
        hello=Hello(name, host.address, host.peer_port),
        events=events,
        network=TcpNetwork(reactor, peers.connect_timeout_ms),
        reactor=reactor,
        clock=clock,
        seeds=peers.seeds,
        timing=MeshTiming(
            heartbeat_ms=peers.heartbeat_ms,
            silence_ms=peers.silence_ms,
            far_heartbeat_ms=peers.far_heartbeat_ms,
            far_silence_ms=peers.far_silence_ms,
            lost_after_ms=peers.lost_after_ms,
        ),
        rng=random.Random(name.incarnation),
        max_unsent_bytes=peers.max_unsent_bytes,
    )


def build_configuration_sync(
    settings: Settings, name: HostName, clock: Clock
) -> ConfigurationSync:
    """Return the state machine that synchronises the configuration."""
    timings = ConfigurationTimings(
        poll_ms=settings.platform.poll_interval_ms,
        request_timeout_ms=settings.platform.timeout_ms,
    )
    return ConfigurationSync(name, clock, timings)


def build_platform_clients(settings: Settings, reactor: Any) -> PlatformClients:
    """Return the clients of the platform, each with its own connection."""
    platform = settings.platform
    log = PlatformHttp(reactor, platform.log_url, platform.timeout_ms)
    live_list = PlatformHttp(reactor, platform.list_url, platform.timeout_ms)
    return PlatformClients(LogClient(log), LiveListClient(live_list), (log, live_list))
