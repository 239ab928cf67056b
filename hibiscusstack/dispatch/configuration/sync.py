"""Synchronises the configuration chain of one host, without I/O.

The daemon calls :meth:`ConfigurationSync.on_tick` a few times a second, passes in
every page of the log, heartbeat, message and answer to an append, and carries out
the effects that each call returns.
"""

__all__ = [
    "ConfigurationSync",
    "ConfigurationTimings",
]

from collections.abc import Collection

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.configuration.chain import (
    Accepted,
    AppliedRecord,
    ConfigurationChain,
    IgnoreCause,
    Ignored,
)
from hibiscusstack.dispatch.configuration.effects import (
    AppendLog,
    ConfigurationChanged,
    ConfigurationEffect,
    ConfigurationFault,
    LogPage,
    ReadLog,
)
from hibiscusstack.dispatch.configuration.publication import (
    PendingPublications,
    Publication,
    PublicationDecided,
    PublicationOutcome,
)
from hibiscusstack.dispatch.configuration.readers import (
    is_configuration_reader,
    reader_rank,
)
from hibiscusstack.dispatch.effects import SendPeer
from hibiscusstack.dispatch.messages import FetchConfiguration, HostName, RecordsPage

CHECKPOINTS_PER_RETENTION_PERIOD = 4


@attrs.frozen
class ConfigurationTimings:
    """Intervals and timeouts of the log and of peers, and the retention of the log.

    Readers of the log poll it every ``poll_ms``. The other hosts learn changes from
    peers and poll every ``fallback_poll_ms`` only.
    """

    poll_ms: int = 1_000
    fallback_poll_ms: int = 60_000
    request_timeout_ms: int = 3_000
    fetch_interval_ms: int = 500
    publication_timeout_ms: int = 30_000
    retention_ms: int = 3_600_000


@attrs.define
class ConfigurationSync:
    """Keeps one host's chain current from the log and from peers.

    ``_has_read_attempt_ended`` is set once a read of the log has reached its end, made
    no progress, failed or timed out.

    >>> from hibiscusstack.clock import ManualClock
    >>> sync = ConfigurationSync(HostName("dc1", "h1", 1), ManualClock())
    >>> sync.on_tick([])
    [ReadLog(from_offset=1, limit=100)]
    """

    host: HostName
    clock: Clock
    timings: ConfigurationTimings = ConfigurationTimings()
    chain: ConfigurationChain = attrs.field(factory=ConfigurationChain)
    _members: frozenset[HostName] = attrs.field(factory=frozenset, init=False)
    _read_sent_ms: int | None = attrs.field(default=None, init=False)
    _is_read_in_flight: bool = attrs.field(default=False, init=False)
    _is_read_requested: bool = attrs.field(default=True, init=False)
    _fetch_sent_ms: int | None = attrs.field(default=None, init=False)
    _last_read_to_end_ms: int | None = attrs.field(default=None, init=False)
    _has_read_attempt_ended: bool = attrs.field(default=False, init=False)
    _is_ready: bool = attrs.field(default=False, init=False)
    _checkpoint_due_ms: int | None = attrs.field(default=None, init=False)
    _publications: PendingPublications = attrs.field(
        factory=PendingPublications, init=False
    )

    def is_ready(self) -> bool:
        """Return whether this host knows the configuration in force.

        It does once it has read the log to its end. If the log cannot be read to its
        end, a version from a peer is enough. Until then no version is reported as in
        force, so a host that boots does not go through old versions.
        """
        return self._is_ready

    def on_tick(self, members: Collection[HostName]) -> list[ConfigurationEffect]:
        """Return the effects that are due; ``members`` are the hosts believed alive."""
        self._members = frozenset(members) - {self.host}
        now_ms = self.clock.now_ms()
        effects: list[ConfigurationEffect] = []
        effects += self._read_if_due(now_ms)
        effects += self._become_ready_if_current()
        effects += self._checkpoint_if_due(now_ms)
        effects += self._publications.time_out(now_ms)
        for publication in self._publications.take_due_appends(now_ms):
            effects.append(AppendLog(publication.text, publication.nonce))
        return effects

    def on_log_page(self, page: LogPage) -> list[ConfigurationEffect]:
        """Apply a page of the log, and read the next one if there is more."""
        self._is_read_in_flight = False
        effects: list[ConfigurationEffect] = []
        if page.next_offset <= self.chain.applied_offset:
            # The log ends before what was applied, so it was cut or replaced.
            fault = ConfigurationFault(page.next_offset, IgnoreCause.CONTRADICTION)
            return [fault]
        previous = self.chain.version.offset
        offset_before = self.chain.next_offset()
        for offset, text in page.records:
            applied = self.chain.apply(offset, text, page.first_offset)
            effects += self._report(applied)
            self._postpone_checkpoint(applied)
        effects += self._push_to_peers(previous)
        offset_after = self.chain.next_offset()
        # Without progress the same page would be read again, so the next poll reads it.
        if offset_after < page.next_offset and offset_after != offset_before:
            return effects + self._read(self.clock.now_ms())
        self._has_read_attempt_ended = True
        if self.chain.applied_offset == page.next_offset - 1:
            self._record_read_to_end()
        return effects + self._become_ready_if_current()

    def on_log_failed(self) -> list[ConfigurationEffect]:
        """Record that a read failed or got no answer; the next poll retries it."""
        self._is_read_in_flight = False
        self._has_read_attempt_ended = True
        return self._become_ready_if_current()

    def on_append_answer(self, nonce: str, offset: int | None) -> list[ReadLog]:
        """Record the offset of an append, or ``None`` if it failed or got no answer."""
        self._publications.record_append(nonce, offset, self.clock.now_ms())
        # An empty nonce stands for a checkpoint. After a failed append, the next one
        # is due after a quarter of the interval, plus the spread of the hosts.
        if offset is None and not nonce:
            self._schedule_checkpoint(self._checkpoint_interval_ms() // 4)
        if offset is None:
            return []
        self._is_read_requested = True
        return self._read_if_due(self.clock.now_ms())

    def on_heartbeat(self, sender: HostName, offset: int) -> list[SendPeer]:
        """Fetch the records from a peer that has a later version."""
        if offset <= self.chain.version.offset:
            return []
        return self._fetch(sender)

    def on_fetch(self, sender: HostName, message: FetchConfiguration) -> list[SendPeer]:
        """Return the page that brings the peer up to the version in force here."""
        page = self.chain.page_after(message.after_offset)
        return [SendPeer(sender, page)] if page.records else []

    def on_records(
        self, sender: HostName, page: RecordsPage
    ) -> list[ConfigurationEffect]:
        """Apply records that a peer has accepted.

        Records from another data centre are passed on to the peers in this one. If a
        record does not link to the version in force, the missing ones are fetched.
        """
        previous = self.chain.version.offset
        effects: list[ConfigurationEffect] = []
        is_linked = True
        for offset, text in page.records:
            applied = self.chain.apply_accepted(offset, text)
            effects += self._report(applied)
            if applied == Ignored(offset, IgnoreCause.MISSED_RECORDS):
                is_linked = False
        if sender.data_centre != self.host.data_centre:
            effects += self._push_to_peers(previous)
        if not is_linked:
            effects += self._fetch(sender)
        return effects + self._become_ready_if_current()

    def publish(
        self, publisher: str, nonce: str, parent: int, body: str
    ) -> list[ConfigurationEffect]:
        """Start to publish ``body`` as the successor of the version ``parent``.

        The outcome is returned as a :class:`PublicationDecided`, by this call or a
        later one. ``nonce`` must be unique.
        """
        in_force = self.chain.version.offset
        if not self._is_ready:
            return [
                PublicationDecided(nonce, PublicationOutcome.PARENT_UNKNOWN, in_force)
            ]
        if parent != in_force:
            is_lost = parent < in_force
            outcome = (
                PublicationOutcome.LOST
                if is_lost
                else PublicationOutcome.PARENT_UNKNOWN
            )
            return [PublicationDecided(nonce, outcome, in_force)]
        now_ms = self.clock.now_ms()
        publication = Publication.of_change(
            publisher, nonce, parent, body, now_ms + self.timings.publication_timeout_ms
        )
        self._publications.add(publication)
        due_publications = self._publications.take_due_appends(now_ms)
        return [AppendLog(due.text, due.nonce) for due in due_publications]

    def _read_if_due(self, now_ms: int) -> list[ReadLog]:
        since_ms = None if self._read_sent_ms is None else now_ms - self._read_sent_ms
        if since_ms is None:
            return self._read(now_ms)
        if self._is_read_in_flight and since_ms < self.timings.request_timeout_ms:
            return []
        if self._is_read_in_flight:
            self._has_read_attempt_ended = True
        if self._is_read_requested or since_ms >= self._poll_ms():
            return self._read(now_ms)
        return []

    def _poll_ms(self) -> int:
        must_read = not self.is_ready() or self._publications.has_any()
        if must_read or is_configuration_reader(self.host, self._members):
            return self.timings.poll_ms
        return self.timings.fallback_poll_ms

    def _read(self, now_ms: int) -> list[ReadLog]:
        self._read_sent_ms = now_ms
        self._is_read_in_flight = True
        self._is_read_requested = False
        return [ReadLog(self.chain.next_offset())]

    def _fetch(self, peer: HostName) -> list[SendPeer]:
        now_ms = self.clock.now_ms()
        sent_ms = self._fetch_sent_ms
        if sent_ms is not None and now_ms - sent_ms < self.timings.fetch_interval_ms:
            return []
        self._fetch_sent_ms = now_ms
        return [SendPeer(peer, FetchConfiguration(self.chain.version.offset))]

    def _report(self, applied: AppliedRecord) -> list[ConfigurationEffect]:
        """Return the effects of one applied record that the daemon must be told."""
        decided = self._publications.decide(applied)
        if isinstance(applied, Accepted) and self._is_ready:
            return [ConfigurationChanged(applied.version), *decided]
        if isinstance(applied, Accepted):
            return list(decided)
        if applied.cause is IgnoreCause.CONTRADICTION:
            return [ConfigurationFault(applied.offset, applied.cause), *decided]
        return list(decided)

    def _become_ready_if_current(self) -> list[ConfigurationChanged]:
        """Put the version of the chain in force once it is known to be current."""
        version = self.chain.version
        # The version may come from a peer or from a part of the log that was read.
        has_usable_version = self._has_read_attempt_ended and version.offset > 0
        if self._is_ready or not (
            self._last_read_to_end_ms is not None or has_usable_version
        ):
            return []
        self._is_ready = True
        return [ConfigurationChanged(version)]

    def _push_to_peers(self, previous: int) -> list[SendPeer]:
        """Send the records after version ``previous`` to peers in the data centre."""
        page = self.chain.page_after(previous)
        if not page.records:
            return []
        peers = [m for m in self._members if m.data_centre == self.host.data_centre]
        return [SendPeer(peer, page) for peer in sorted(peers)]

    def _postpone_checkpoint(self, applied: AppliedRecord) -> None:
        """Postpone the next checkpoint if the record is a checkpoint from the log."""
        if not isinstance(applied, Ignored) or self._last_read_to_end_ms is None:
            return
        if applied.cause is IgnoreCause.CHECKPOINT:
            self._schedule_checkpoint(self._checkpoint_interval_ms())

    def _record_read_to_end(self) -> None:
        """Record that the log was read to its end.

        The first time, a checkpoint is scheduled, as the age of the checkpoints read
        so far is not known.
        """
        if self._last_read_to_end_ms is None:
            self._schedule_checkpoint(0)
        self._last_read_to_end_ms = self.clock.now_ms()

    def _schedule_checkpoint(self, delay_ms: int) -> None:
        """Schedule the next checkpoint.

        A hash of the host adds up to half of the checkpoint interval, so that hosts
        append at different times.
        """
        spread_ms = reader_rank(self.host) % (self._checkpoint_interval_ms() // 2 + 1)
        self._checkpoint_due_ms = self.clock.now_ms() + delay_ms + spread_ms

    def _checkpoint_interval_ms(self) -> int:
        return self.timings.retention_ms // CHECKPOINTS_PER_RETENTION_PERIOD

    def _checkpoint_if_due(self, now_ms: int) -> list[AppendLog]:
        due_ms = self._checkpoint_due_ms
        if due_ms is None or now_ms < due_ms or self.chain.version.offset == 0:
            return []
        if not is_configuration_reader(self.host, self._members):
            return []
        if now_ms - self._last_read_to_end_ms > self.timings.request_timeout_ms:
            return []
        self._schedule_checkpoint(self._checkpoint_interval_ms())
        return [AppendLog(self.chain.checkpoint_text())]
