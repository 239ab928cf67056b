"""Keeps the configuration of this host current from the log and from peers."""

__all__ = ["ConfigurationManager"]

import uuid
from collections.abc import Callable, Iterable

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.dispatch.configuration.chain import Version
from hibiscusstack.dispatch.configuration.effects import (
    AppendLog,
    ConfigurationChanged,
    ConfigurationEffect,
    ConfigurationFault,
    LogPage,
    ReadLog,
)
from hibiscusstack.dispatch.configuration.publication import PublicationDecided
from hibiscusstack.dispatch.configuration.sync import ConfigurationSync
from hibiscusstack.dispatch.effects import SendPeer
from hibiscusstack.dispatch.messages import (
    FetchConfiguration,
    Heartbeat,
    HostName,
    Message,
    RecordsPage,
)
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.records import LogClient


class ConfigurationManager:
    """Carries out the effects of ``ConfigurationSync`` on the log, peers and engine.

    ``on_configured`` is called for each new version, whether or not it can be read.
    """

    def __init__(
        self,
        sync: ConfigurationSync,
        log: LogClient,
        stream: str,
        dispatcher: Dispatcher,
        on_configured: Callable[[], None],
    ) -> None:
        self.sync = sync
        self._log = log
        self._stream = stream
        self._dispatcher = dispatcher
        self._on_configured = on_configured
        self._pending_publications: dict[str, Deferred[PublicationDecided]] = {}

    def tick(self, peers: Iterable[HostName]) -> None:
        """Carry out what is due, such as reads of the log and repeated appends."""
        self._carry_out(self.sync.on_tick(list(peers)))

    def handle_message(self, sender: HostName, message: Message) -> bool:
        """Handle a message; return whether it concerns only the configuration.

        A heartbeat is used here as well, but is left to the dispatcher.
        """
        if isinstance(message, Heartbeat):
            offset = message.configuration_offset
            self._carry_out(self.sync.on_heartbeat(sender, offset))
            return False
        if isinstance(message, FetchConfiguration):
            self._carry_out(self.sync.on_fetch(sender, message))
            return True
        if isinstance(message, RecordsPage):
            self._carry_out(self.sync.on_records(sender, message))
            return True
        return False

    def publish(
        self, publisher: str, parent: int, body: str
    ) -> Deferred[PublicationDecided]:
        """Publish a version that replaces ``parent``; return the outcome.

        Raises :class:`~hibiscusstack.exceptions.SettingsError` if the text has
        faults; nothing is appended then.
        """
        policy = read_policy(body)
        if policy.is_error():
            raise policy.error
        nonce = uuid.uuid4().hex
        decided: Deferred[PublicationDecided] = Deferred()
        self._pending_publications[nonce] = decided
        self._carry_out(self.sync.publish(publisher, nonce, parent, body))
        return decided

    def _carry_out(self, effects: Iterable[ConfigurationEffect]) -> None:
        for effect in effects:
            self._carry_out_one(effect)

    def _carry_out_one(self, effect: ConfigurationEffect) -> None:
        match effect:
            case ReadLog():
                self._read(effect)
            case AppendLog():
                self._append(effect)
            case SendPeer():
                self._dispatcher.carry_out([effect])
            case ConfigurationChanged():
                self._apply_version(effect.version)
            case ConfigurationFault():
                log_message(
                    "configuration:fault",
                    level="error",
                    offset=effect.offset,
                    cause=effect.cause.value,
                )
            case PublicationDecided():
                self._pending_publications.pop(effect.nonce).callback(effect)

    def _read(self, effect: ReadLog) -> None:
        page = self._log.read(self._stream, effect.from_offset, effect.limit)
        page.addCallbacks(
            lambda page: LogPage(page.records, page.first_offset, page.next_offset),
            self._log_read_failure,
        )
        page.addCallback(self._handle_page)

    def _handle_page(self, page: LogPage | None) -> None:
        if page is None:
            self._carry_out(self.sync.on_log_failed())
        else:
            self._carry_out(self.sync.on_log_page(page))

    def _log_read_failure(self, failure: Failure) -> None:
        _log_failure("configuration:read_failed", failure)

    def _append(self, effect: AppendLog) -> None:
        offset = self._log.append(self._stream, effect.text)
        offset.addErrback(self._log_append_failure)
        offset.addCallback(
            lambda offset: self._carry_out(
                self.sync.on_append_answer(effect.nonce, offset)
            )
        )

    def _log_append_failure(self, failure: Failure) -> None:
        _log_failure("configuration:append_failed", failure)

    def _apply_version(self, version: Version) -> None:
        policy = read_policy(version.body)
        if policy.is_error():
            log_message(
                "configuration:unreadable",
                level="error",
                offset=version.offset,
                faults=str(policy.error),
            )
        else:
            self._dispatcher.apply_configuration(policy.ok, version.offset)
            log_message("configuration:in_force", offset=version.offset)
        self._on_configured()


def _log_failure(event: str, failure: Failure) -> None:
    log_message(event, level="warning", cause=failure.getErrorMessage())
