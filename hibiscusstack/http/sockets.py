"""Socket options by which a peer that has vanished is noticed soon."""

__all__ = ["limit_unacknowledged", "probe_when_idle"]

import socket
from typing import Any


def limit_unacknowledged(transport: Any, timeout_ms: int) -> None:
    """Let the connection fail when written bytes stay unacknowledged that long."""
    handle = _handle_of(transport)
    if handle is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def probe_when_idle(transport: Any, idle_s: int, interval_s: int, count: int) -> None:
    """Let the connection fail when the peer leaves ``count`` probes unanswered."""
    handle = _handle_of(transport)
    if handle is None:
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        "TCP_KEEPIDLE": idle_s,
        "TCP_KEEPINTVL": interval_s,
        "TCP_KEEPCNT": count,
    }
    for name, value in options.items():
        if hasattr(socket, name):
            handle.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def _handle_of(transport: Any) -> Any:
    get_handle = getattr(transport, "getHandle", None)
    return None if get_handle is None else get_handle()
