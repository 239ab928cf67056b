"""Exceptions of hibiscusstack, all derived from :class:`HibiscusError`.

The outcomes of a job (not run, failed, unknown) are returned as answers and not
raised; see :mod:`hibiscusstack.dispatch.answers`.
"""

__all__ = [
    "DecodeError",
    "ExpiredError",
    "HibiscusError",
    "InvalidInputError",
    "NotDoneError",
    "NotSentError",
    "RequestRefusedError",
    "SettingsError",
    "UnavailableError",
]

from collections.abc import Mapping
from typing import Any


class HibiscusError(Exception):
    """The base of every exception that this project raises."""


class InvalidInputError(HibiscusError):
    """External input is invalid; ``where`` names the field that is."""

    def __init__(self, where: str, expected: str, found: object) -> None:
        self.where = where
        self.expected = expected
        self.found = found
        super().__init__(f"{where}: expected {expected}, found {found!r}")


class DecodeError(InvalidInputError):
    """Bytes could not be decoded into a message."""


class RequestRefusedError(HibiscusError):
    """A request was refused before a job was created from it.

    ``type_name`` is the stable type of the problem, ``status`` the HTTP status and
    ``members`` all members of the problem details.
    """

    def __init__(
        self,
        type_name: str,
        status: int,
        detail: str = "",
        retry_after_ms: int | None = None,
        *,
        members: Mapping[str, Any] | None = None,
    ) -> None:
        self.type_name = type_name
        self.status = status
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.members = members or {}
        super().__init__(f"{type_name} ({status}): {detail}")


class SettingsError(HibiscusError):
    """A settings file is invalid; ``faults`` lists every error in it."""

    def __init__(self, faults: list[InvalidInputError]) -> None:
        self.faults = faults
        super().__init__("\n".join(str(fault) for fault in faults))


class UnavailableError(HibiscusError):
    """A peer or an external system could not be reached or did not answer."""

    def __init__(self, peer: str, cause: str) -> None:
        self.peer = peer
        self.cause = cause
        super().__init__(f"{peer} is unavailable: {cause}")


class ExpiredError(HibiscusError):
    """The requested records have expired; ``first`` is the oldest offset in the log."""

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before {first} have expired")


class NotSentError(UnavailableError):
    """A peer could not be reached, and it is certain that nothing was sent to it."""


class NotDoneError(UnavailableError):
    """A peer refused a call or was not reached; the call certainly had no effect."""
