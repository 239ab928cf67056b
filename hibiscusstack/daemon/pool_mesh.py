"""The connections between a dispatcher host for pools and its peers."""

__all__ = ["build_pool_mesh"]

import random

from twisted.internet.interfaces import IReactorCore

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import Hello
from hibiscusstack.host import Mesh, MeshTiming, TcpNetwork
from hibiscusstack.host.mesh_interfaces import HeartbeatPacing, MeshEvents
from hibiscusstack.pool.host_settings import PoolHostSettings

MAX_DIAL_DELAY_MS = 500


def build_pool_mesh(
    settings: PoolHostSettings,
    events: MeshEvents,
    pacing: HeartbeatPacing,
    reactor: IReactorCore,
    clock: Clock,
) -> Mesh:
    """Return the mesh of connections to peers, not started yet.

    Heartbeats don't depend on the data centres of peers but on ``pacing``.
    """
    return Mesh(
        hello=Hello(settings.name, settings.address, settings.port),
        events=events,
        network=TcpNetwork(reactor, settings.connect_timeout_ms),
        reactor=reactor,
        clock=clock,
        pacing=pacing,
        timing=MeshTiming(
            heartbeat_ms=settings.heartbeat_ms,
            silence_ms=settings.silence_ms,
            far_heartbeat_ms=settings.heartbeat_ms,
            far_silence_ms=settings.silence_ms,
            lost_after_ms=settings.silence_ms,
            longest_dial_delay_ms=MAX_DIAL_DELAY_MS,
        ),
        rng=random.Random(settings.name.incarnation),
    )
