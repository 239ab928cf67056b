"""In-memory network whose server ends are scripted by tests."""

__all__ = ["ServerEnd", "MemoryNetwork", "finished_body", "make_start", "make_target"]

import json
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from hibiscusstack.dispatch.effects import StartTask
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.targets import TargetInfo

ACCEPTS = "accepts"
REFUSES = "refuses"
STAYS_SILENT = "stays silent"


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""


class ServerEnd:
    """The target's end of one connection."""

    def __init__(self, protocol: Any) -> None:
        self.transport = _Transport()
        self._protocol = protocol
        protocol.makeConnection(self.transport)

    @property
    def is_closed_by_client(self) -> bool:
        """Return whether the client has closed this connection."""
        return self.transport.disconnecting or self.transport.disconnected

    def requests(self) -> list[dict]:
        """Return the JSON bodies of all requests on this connection."""
        parts = self.transport.value().split(b"\r\n\r\n")[1:]
        decoder = json.JSONDecoder()
        return [decoder.raw_decode(part.decode())[0] for part in parts if part]

    def send(self, data: bytes) -> None:
        """Deliver raw bytes to the client."""
        self._protocol.dataReceived(data)

    def answer(self, status: int, body: Any, headers: str = "") -> None:
        """Deliver a complete response."""
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n{headers}\r\n"
        self.send(head.encode() + data)

    def close(self) -> None:
        """Close the connection from the target's side."""
        self._protocol.connectionLost(Failure(ConnectionDone()))


class MemoryNetwork(MemoryReactorClock):
    """A reactor whose connections end in :class:`ServerEnd` objects."""

    def __init__(self) -> None:
        super().__init__()
        self.behaviour = ACCEPTS
        self.server_ends: list[ServerEnd] = []

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30, **others: Any
    ) -> Any:
        """Connect at once, refuse, or let the attempt time out."""
        connector = super().connectTCP(host, port, factory, timeout, **others)
        if self.behaviour == REFUSES:
            factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
        elif self.behaviour == ACCEPTS:
            self.server_ends.append(ServerEnd(factory.buildProtocol(None)))
        return connector


def make_target(connections: int = 64, port: int = 80) -> TargetInfo:
    """Return the target that is used by all tests."""
    return TargetInfo("t1", "10.0.0.1", port, "dc1", connections=connections)


def make_start(
    task_id: str = "j/0/1", timeout_ms: int = 1_000, **task: Any
) -> StartTask:
    """Return a command that starts one task."""
    index = int(task_id.split("/")[1])
    return StartTask("t1", task_id, Task(index, "check", **task), timeout_ms)


def finished_body(task_id: str = "j/0/1", **changes: Any) -> dict[str, Any]:
    """Return the body of a target's response about a finished task."""
    body = {"task_id": task_id, "succeeded": True, "value": 7, "run_time_ms": 50}
    return body | changes
