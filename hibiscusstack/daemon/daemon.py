"""The dispatcher daemon: connects the components of a host on one reactor."""

__all__ = ["Daemon"]

from eliot import log_message
from klein import Klein
from twisted.internet.defer import (
    Deferred,
    DeferredList,
    inlineCallbacks,
    maybeDeferred,
)
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.site import build_site
from hibiscusstack.clock import Clock, SystemClock
from hibiscusstack.daemon.assembly import (
    build_api_limits,
    build_configuration_sync,
    build_host_tracer,
    build_id_issuer,
    build_mesh,
    build_metrics,
    build_platform_clients,
)
from hibiscusstack.daemon.configuration import ConfigurationManager
from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.daemon.garbage_collection import GarbageCollector
from hibiscusstack.daemon.incarnation import choose_incarnation
from hibiscusstack.daemon.job_service import HostJobService
from hibiscusstack.daemon.lifecycle import Phase, StopCause, build_lifecycle
from hibiscusstack.daemon.live_list import LiveListPoller
from hibiscusstack.daemon.operator_service import HostOperatorService
from hibiscusstack.daemon.peer_spans import PeerSpans
from hibiscusstack.daemon.targets import TargetCaller
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.messages import Heartbeat, HostName, Message
from hibiscusstack.operator.api import OperatorApi
from hibiscusstack.settings import Settings
from hibiscusstack.target import TargetClient
from hibiscusstack.telemetry.metrics import Metric

TICK_INTERVAL_MS = 20
IDLE_TICK_INTERVAL_MS = 100
CONFIGURATION_INTERVAL_MS = 100
REPORT_INTERVAL_MS = 1_000
FINAL_ANSWERS_DELAY_MS = 200


class Daemon:
    """One dispatcher host; ``on_stopped`` is called with the cause of its stop."""

    def __init__(self, settings: Settings, reactor, on_stopped) -> None:
        self.phase = Phase.STARTING
        self.lifecycle = build_lifecycle(self)
        self._settings = settings
        self._reactor = reactor
        self._on_stopped = on_stopped
        self._clock: Clock = SystemClock()
        self._name = HostName(
            settings.host.data_centre, settings.host.name, choose_incarnation()
        )
        self._garbage_collector = GarbageCollector(self._clock)
        self._last_report_ms = 0
        self._last_tick_ms = 0
        self._timers: list = []
        self._periodic_calls: list[LoopingCall] = []
        self._ports: list[IListeningPort] = []
        self._limits = build_api_limits(settings)
        self._metrics = build_metrics(settings)
        self._tracer = build_host_tracer(settings)
        self._target_client = TargetClient(reactor, settings.targets.probe_ms)
        self._dispatcher = self._build_dispatcher()
        self._mesh = build_mesh(settings, self._name, self, reactor, self._clock)
        self._dispatcher.send = lambda to, message: self._mesh.send(to, message).is_ok()
        self._build_platform_clients()
        self._build_services()

    def start(self) -> Deferred[None]:
        """Listen on all addresses, then start the periodic work."""
        return self._listen_on_all_ports().addCallbacks(
            self._start_work, self._start_failed
        )

    def enter(self, phase: Phase) -> None:
        """Set and log the phase of the lifecycle."""
        self.phase = phase
        log_message("daemon:phase", phase=phase.value)

    def fail_readiness(self) -> None:
        """Start the timers of a graceful stop; the new phase fails readiness checks.

        New jobs are still accepted for ``leave_ms``, in which the load balancer sees
        the failed checks. ``drain_timeout_ms`` limits the whole stop.
        """
        host = self._settings.host
        self._call_later(host.leave_ms, self.lifecycle.leave_delay_elapsed)
        self._call_later(host.drain_timeout_ms, self.lifecycle.drain_timed_out)

    def refuse_new_work(self) -> None:
        """Let the engine refuse new work and send heartbeats that say so at once."""
        self._dispatcher.drain()
        self._mesh.send_heartbeats()

    def stop(self, cause: StopCause) -> None:
        """Close everything; after a drain, wait for the last answers to be sent."""
        delay_ms = FINAL_ANSWERS_DELAY_MS if cause is StopCause.DRAINED else 0
        log_message("daemon:stopping", cause=cause.name.lower())
        self._reactor.callLater(delay_ms / 1000, self._close, cause)

    def build_heartbeat(self) -> Heartbeat:
        """Return the state of this host to be sent to peers."""
        return self._dispatcher.build_heartbeat()

    def peer_connected(self, peer: HostName) -> None:
        """Report a new connection to a peer to the dispatcher."""
        self._dispatcher.peer_connected(peer)

    def peer_disconnected(self, peer: HostName) -> None:
        """Report the end of a connection to the dispatcher."""
        self._dispatcher.peer_disconnected(peer)

    def peer_lost(self, peer: HostName) -> None:
        """Report the loss of a peer to the dispatcher."""
        self._dispatcher.peer_lost(peer)

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Handle a message by the configuration manager or the dispatcher."""
        if not self._configuration_manager.handle_message(sender, message):
            self._dispatcher.peer_message(sender, message)

    def _build_dispatcher(self) -> Dispatcher:
        ids = build_id_issuer(self._settings, self._name, self._clock)
        targets = TargetCaller(
            self._target_client,
            self._clock,
            self._tracer,
            self._metrics,
            self._settings.targets.timeout_ms,
        )
        engine = Engine(self._name, self._clock, ids)
        return Dispatcher(engine, targets, PeerSpans(self._tracer), self._metrics)

    def _build_platform_clients(self) -> None:
        self._platform = build_platform_clients(self._settings, self._reactor)
        self._configuration_manager = ConfigurationManager(
            build_configuration_sync(self._settings, self._name, self._clock),
            self._platform.log,
            self._settings.platform.configuration_stream,
            self._dispatcher,
            self.lifecycle.configured,
        )
        self._live_list = LiveListPoller(
            self._platform.live_list,
            self._dispatcher,
            self._mesh,
            self._name.data_centre,
        )

    def _build_services(self) -> None:
        jobs = HostJobService(
            self._dispatcher,
            lambda: self.phase,
            self._clock,
            self._tracer,
            self._metrics,
        )
        operators = HostOperatorService(
            dispatcher=self._dispatcher,
            configuration_manager=self._configuration_manager,
            mesh=self._mesh,
            span_ring=self._tracer.ring,
            phase=lambda: self.phase,
            request_drain=self.lifecycle.drain_requested,
        )
        self._caller_api = CallerApi(jobs, self._limits)
        self._operator_api = OperatorApi(operators)

    @inlineCallbacks
    def _listen_on_all_ports(self):
        caller, operator = self._settings.caller, self._settings.operator
        self._ports.append((yield self._mesh.listen()))
        self._listen_http(caller.address, caller.port, self._caller_api.app)
        self._listen_http(operator.address, operator.port, self._operator_api.app)
        for name, port in zip(
            ("peers", "callers", "operators"), self._ports, strict=True
        ):
            address = port.getHost()
            log_message(
                "daemon:listening",
                for_whom=name,
                address=address.host,
                port=address.port,
            )

    def _listen_http(self, address: str, port: int, app: Klein) -> None:
        site = build_site(app.resource(), self._limits, self._reactor)
        site.noisy = False
        self._ports.append(self._reactor.listenTCP(port, site, interface=address))

    def _start_work(self, _: None) -> None:
        self._last_report_ms = self._clock.now_ms()
        self._mesh.start()
        self._garbage_collector.start()
        self._call_every(TICK_INTERVAL_MS, self._tick)
        self._call_every(CONFIGURATION_INTERVAL_MS, self._tick_configuration)
        self._call_every(self._settings.platform.poll_interval_ms, self._live_list.poll)
        self._call_every(REPORT_INTERVAL_MS, self._report)

    def _start_failed(self, failure: Failure) -> None:
        log_message(
            "daemon:start_failed", level="error", cause=failure.getErrorMessage()
        )
        self.stop(StopCause.START_FAILED)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._last_tick_ms >= IDLE_TICK_INTERVAL_MS
        if is_due or not self._dispatcher.is_idle:
            self._last_tick_ms = now_ms
            self._dispatcher.tick()
        if self.phase is Phase.DRAINING and self._is_idle():
            self.lifecycle.became_idle()

    def _is_idle(self) -> bool:
        return self._dispatcher.is_idle and not self._caller_api.waiting

    def _tick_configuration(self) -> None:
        self._configuration_manager.tick(self._mesh.peers())

    def _report(self) -> None:
        now_ms = self._clock.now_ms()
        late_ms = max(0, now_ms - self._last_report_ms - REPORT_INTERVAL_MS)
        self._last_report_ms = now_ms
        self._metrics.time(Metric.LOOP_DELAY_MS, late_ms)
        heartbeat = self.build_heartbeat()
        self._metrics.gauge(Metric.FREE_SLOTS, heartbeat.free_slots)
        self._metrics.gauge(Metric.QUEUED_MS, heartbeat.queued_ms)
        self._metrics.gauge(Metric.HOME_TARGETS, heartbeat.targets)
        self._metrics.gauge(Metric.CONFIGURATION, heartbeat.configuration_offset)
        self._metrics.gauge(Metric.JOBS_WAITING, self._dispatcher.waiting)
        self._metrics.gauge(Metric.PEERS_CONNECTED, len(self._mesh.peers()))
        self._metrics.flush()
        collected_ms = self._garbage_collector.collect_when_due(self._is_idle())
        if collected_ms is not None:
            self._metrics.time(Metric.COLLECTION_MS, collected_ms)

    def _close(self, cause: StopCause) -> None:
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        for call in self._periodic_calls:
            call.stop()
        self._mesh.stop()
        self._target_client.close()
        self._tracer.close()
        self._metrics.flush()
        closing = [maybeDeferred(port.stopListening) for port in self._ports]
        closing += self._platform.close()
        DeferredList(closing).addBoth(lambda _: self._on_stopped(cause))

    def _call_later(self, delay_ms: int, function) -> None:
        self._timers.append(self._reactor.callLater(delay_ms / 1000, function))

    def _call_every(self, interval_ms: int, function) -> None:
        call = LoopingCall(
            lambda: maybeDeferred(function).addErrback(_log_periodic_call_error)
        )
        call.clock = self._reactor
        self._periodic_calls.append(call)
        call.start(interval_ms / 1000)


def _log_periodic_call_error(failure: Failure) -> None:
    """Log an error of a periodic call, which still runs again at its next time."""
    log_message("daemon:timer_error", level="error", cause=failure.getTraceback())
