"""Implements the service of the operator API with the dispatcher."""

__all__ = ["HostOperatorService"]

from collections.abc import Callable

from twisted.internet.defer import Deferred

from hibiscusstack.daemon.configuration import ConfigurationManager
from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.daemon.lifecycle import Phase
from hibiscusstack.dispatch.configuration.chain import Version
from hibiscusstack.dispatch.configuration.publication import (
    PublicationDecided,
    PublicationOutcome,
)
from hibiscusstack.host import Mesh
from hibiscusstack.operator.service import (
    ConfigurationVersion,
    HostView,
    PublishAccepted,
    PublishLost,
    PublishOutcome,
    PublishUnknown,
    QueueView,
    SpanView,
    TargetView,
)
from hibiscusstack.telemetry.traces import SpanRing


class HostOperatorService:
    """Views and operator actions of this host; see ``OperatorService``."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        configuration_manager: ConfigurationManager,
        mesh: Mesh,
        span_ring: SpanRing,
        phase: Callable[[], Phase],
        request_drain: Callable[[], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._engine = dispatcher.engine
        self._configuration_manager = configuration_manager
        self._mesh = mesh
        self._span_ring = span_ring
        self._phase = phase
        self._request_drain = request_drain

    def configuration(self) -> ConfigurationVersion | None:
        """Return the configuration in force on this host, if it has one yet."""
        if not self._configuration_manager.sync.is_ready():
            return None
        version = self._configuration_manager.sync.chain.version
        earlier = [v.offset for v in self._versions() if v.offset < version.offset]
        return ConfigurationVersion(
            version.offset, max(earlier, default=0), version.body
        )

    def configuration_history(self) -> tuple[ConfigurationVersion, ...]:
        """Return the accepted versions that this host has kept, oldest first."""
        history = []
        parent = 0
        for version in self._versions():
            history.append(ConfigurationVersion(version.offset, parent, version.body))
            parent = version.offset
        return tuple(history)

    def publish_configuration(
        self, text: str, parent_offset: int
    ) -> Deferred[PublishOutcome]:
        """Append a version that replaces the one at ``parent_offset``."""
        publisher = self._engine.name.name
        decided = self._configuration_manager.publish(publisher, parent_offset, text)
        return decided.addCallback(_to_publish_outcome)

    def targets(self) -> tuple[TargetView, ...]:
        """Return all targets known to this host."""
        return tuple(
            TargetView(
                name=view.target.name,
                data_centre=view.target.data_centre,
                rack=view.target.rack,
                home="" if view.home is None else view.home.name,
                state="leaving" if view.target.is_leaving else "live",
                slots=view.target.slots,
                running=view.running,
                labels=view.target.labels,
            )
            for view in self._engine.view_targets()
        )

    def hosts(self) -> tuple[HostView, ...]:
        """Return all dispatcher hosts known to this host, including itself."""
        own = self._engine.name
        offset = self._engine.configuration_offset
        views = [
            HostView(
                own.name,
                own.data_centre,
                own.incarnation,
                self._phase().value,
                offset,
                0,
            )
        ]
        for peer, heartbeat in self._engine.view_peers():
            silent_ms = self._mesh.silent_ms(peer)
            views.append(
                HostView(
                    name=peer.name,
                    data_centre=peer.data_centre,
                    incarnation=peer.incarnation,
                    state=_peer_state(heartbeat, silent_ms),
                    configuration_offset=heartbeat.configuration_offset
                    if heartbeat
                    else 0,
                    last_heard_ms=-1 if silent_ms is None else silent_ms,
                )
            )
        return tuple(views)

    def queue(self) -> tuple[QueueView, ...]:
        """Return the tasks queued on this host, by class and team."""
        return tuple(
            QueueView(each.class_name, each.team, each.tasks, each.queued_ms)
            for each in self._engine.view_queue()
        )

    def drain(self) -> None:
        """Start a graceful stop."""
        self._request_drain()

    def trace(self, job_id: str) -> tuple[SpanView, ...]:
        """Return the recorded spans of one job, oldest first.

        Start times are in milliseconds since the first span.
        """
        spans = self._span_ring.spans_of(job_id)
        first_ms = min((span.start_ms for span in spans), default=0.0)
        return tuple(
            SpanView(
                span.name,
                span.span_id,
                span.parent_id,
                span.start_ms - first_ms,
                span.duration_ms,
                span.attributes,
            )
            for span in spans
        )

    def _versions(self) -> list[Version]:
        return self._configuration_manager.sync.chain.history()


def _to_publish_outcome(decided: PublicationDecided) -> PublishOutcome:
    if decided.outcome is PublicationOutcome.IN_FORCE:
        return PublishAccepted(decided.in_force)
    if decided.outcome is PublicationOutcome.UNDECIDED:
        return PublishUnknown(
            "it is not known yet whether the version will take effect"
        )
    return PublishLost(decided.in_force)


def _peer_state(heartbeat, silent_ms: int | None) -> str:
    if silent_ms is None:
        return "unreachable"
    if heartbeat is not None and heartbeat.is_draining:
        return "draining"
    return "ready"
