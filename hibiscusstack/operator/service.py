"""What the HTTP API for operators needs from the dispatcher."""

__all__ = [
    "ConfigurationVersion",
    "HostView",
    "OperatorService",
    "PublishAccepted",
    "PublishLost",
    "PublishOutcome",
    "PublishUnknown",
    "QueueView",
    "SpanView",
    "TargetView",
]

from collections.abc import Mapping
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred


@attrs.frozen
class ConfigurationVersion:
    """One accepted configuration, known by its offset in the platform's log.

    ``parent_offset`` is the version that it replaced, 0 for the first one.
    """

    offset: int
    parent_offset: int
    text: str


@attrs.frozen
class PublishAccepted:
    """The configuration is in force from ``offset`` on."""

    offset: int


@attrs.frozen
class PublishLost:
    """Another version, at ``offset_in_force``, was accepted first."""

    offset_in_force: int


@attrs.frozen
class PublishUnknown:
    """The log gave no answer, so the version may yet come into force."""

    cause: str


PublishOutcome = PublishAccepted | PublishLost | PublishUnknown


@attrs.frozen
class TargetView:
    """One target as this host sees it; ``home`` names its home host."""

    name: str
    data_centre: str
    rack: str
    home: str
    state: str
    slots: int
    running: int
    labels: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HostView:
    """One dispatcher host as this host sees it."""

    name: str
    data_centre: str
    incarnation: int
    state: str
    configuration_offset: int
    last_heard_ms: int


@attrs.frozen
class QueueView:
    """What waits on this host for one class of work and one team."""

    class_name: str
    team: str
    tasks: int
    queued_ms: int


@attrs.frozen
class SpanView:
    """One hop of one job; ``start_ms`` counts from the first hop."""

    name: str
    span_id: str
    parent_id: str
    start_ms: float
    duration_ms: float
    attributes: Mapping[str, str] = attrs.field(factory=dict)


class OperatorService(Protocol):
    """The dispatcher, as the HTTP API for operators sees it."""

    def configuration(self) -> ConfigurationVersion | None:
        """Return the configuration in force on this host, if it has one yet."""

    def configuration_history(self) -> tuple[ConfigurationVersion, ...]:
        """Return the accepted versions that this host remembers, oldest first."""

    def publish_configuration(
        self, text: str, parent_offset: int
    ) -> Deferred[PublishOutcome]:
        """Append a version that replaces the one at ``parent_offset``.

        Raises :class:`~hibiscusstack.exceptions.SettingsError` for a text with
        faults, before anything is appended.
        """

    def targets(self) -> tuple[TargetView, ...]:
        """Return the targets that this host knows."""

    def hosts(self) -> tuple[HostView, ...]:
        """Return the dispatcher hosts that this host knows, itself included."""

    def queue(self) -> tuple[QueueView, ...]:
        """Return what waits on this host."""

    def drain(self) -> None:
        """Start a graceful stop: refuse new work, finish all in progress, exit."""

    def trace(self, job_id: str) -> tuple[SpanView, ...]:
        """Return the hops of one job that this host has recorded, oldest first."""
