"""What callers and the services of the platform exchange, as plain data."""

__all__ = ["Answer", "Body", "Outcome", "Request", "Service", "Unanswered"]

from collections.abc import Mapping
from typing import Any, Protocol

import attrs

Body = bytes | dict[str, Any]


@attrs.frozen
class Request:
    """One call; ``body`` is an object, or bytes where the protocol has raw data.

    ``is_late`` marks a call that is carried out after its caller gave up on it.
    """

    path: str
    body: Body = attrs.field(factory=dict)
    query: Mapping[str, Any] = attrs.field(factory=dict)
    headers: Mapping[str, str] = attrs.field(factory=dict)
    caller: str = ""
    method: str = "POST"
    is_late: bool = False

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its name in lower case.

        >>> Request("/hold", headers={"A-B": "1"}).header("a-b")
        '1'
        """
        values = (v for key, v in self.headers.items() if key.lower() == name)
        return next(values, default)


@attrs.frozen
class Answer:
    """A complete response, given ``delay_ms`` after the call arrived."""

    status: int
    body: Body = attrs.field(factory=dict)
    delay_ms: int = attrs.field(default=0, eq=False)


@attrs.frozen
class Unanswered:
    """No response came.

    ``cause`` is ``refused`` (nothing was sent), ``reset``, ``silent`` (the connection
    carries nothing any more) or ``timeout``. All but the first leave open whether
    the call was carried out.
    """

    cause: str


Outcome = Answer | Unanswered


class Service(Protocol):
    """A party that is called; time reaches it only as ``now_ms``."""

    def submit(self, now_ms: int, ticket: int, request: Request) -> None:
        """Take a call, to be answered under ``ticket``."""

    def advance(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Do what is due, and return what is to be sent now."""

    def next_due_ms(self) -> int | None:
        """Return when :meth:`advance` has something to do next, if ever."""

    def crash(self, now_ms: int) -> None:
        """Lose all that does not outlive a process."""

    def restart(self, now_ms: int) -> None:
        """Begin again after a crash."""
