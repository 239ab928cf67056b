"""Encoding of requests to targets as HTTP headers and JSON bodies."""

__all__ = ["encode_start", "encode_stop", "encode_usage_query"]

import json
import re
from typing import Any

from hibiscusstack.dispatch.effects import StartTask, StopTasks
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.exceptions import InvalidInputError

_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


def encode_start(target: TargetInfo, command: StartTask) -> bytes:
    r"""Return the request that starts a task.

    Raises ``InvalidInputError`` when the payload is not a JSON value. A malformed
    ``traceparent`` is left out, since it could corrupt the request header.

    >>> from hibiscusstack.dispatch.jobs import Task
    >>> target = TargetInfo("t1", "127.0.0.1", 80, "dc1")
    >>> request = encode_start(target, StartTask("t1", "j/0", Task(0, "check"), 900))
    >>> request.split(b"\r\n")[0]
    b'POST /v1/tasks HTTP/1.1'
    """
    task = command.task
    body = {
        "task_id": command.task_id,
        "kind": task.kind,
        "payload": task.payload,
        "lease_ms": command.timeout_ms,
        "memory_mb": task.memory_mb,
        "processors_milli": task.processors_milli,
    }
    return _post(
        target, "/v1/tasks", _encode_json(body), _trace_header(command.traceparent)
    )


def encode_stop(target: TargetInfo, command: StopTasks) -> bytes:
    """Return the request that stops tasks; it asks to close the connection."""
    body = {"task_ids": command.task_ids, "only_unstarted": command.only_unstarted}
    return _post(target, "/v1/tasks/stop", _encode_json(body), "Connection: close\r\n")


def encode_usage_query(target: TargetInfo) -> bytes:
    """Return the request for a target's usage; it asks to close the connection."""
    head = f"GET /v1/usage HTTP/1.1\r\nHost: {target.address}:{target.port}\r\n"
    return f"{head}Connection: close\r\n\r\n".encode()


def _encode_json(body: dict[str, Any]) -> bytes:
    try:
        return json.dumps(body, allow_nan=False, separators=(",", ":")).encode()
    except (TypeError, ValueError, RecursionError) as error:
        raise InvalidInputError("payload", "a JSON value", str(error)) from error


def _trace_header(traceparent: str) -> str:
    if not _TRACEPARENT.fullmatch(traceparent):
        return ""
    return f"traceparent: {traceparent}\r\n"


def _post(target: TargetInfo, path: str, body: bytes, extra_headers: str) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {target.address}:{target.port}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{extra_headers}\r\n"
    )
    return head.encode() + body
