"""Test fixtures: a log that drops old records, and hosts that follow it."""

__all__ = ["ConfigurationFleet", "FakeLog", "change_text"]

import attrs

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.configuration.effects import (
    AppendLog,
    ConfigurationChanged,
    LogPage,
    ReadLog,
)
from hibiscusstack.dispatch.configuration.publication import PublicationDecided
from hibiscusstack.dispatch.configuration.records import Change, format_record
from hibiscusstack.dispatch.configuration.sync import (
    ConfigurationSync,
    ConfigurationTimings,
)
from hibiscusstack.dispatch.effects import SendPeer
from hibiscusstack.dispatch.messages import FetchConfiguration, HostName


def change_text(parent, nonce, body=None):
    """Return the text of a change by the operator ``op``."""
    return format_record(Change(parent, "op", nonce, body or f"body-{nonce}"))


@attrs.define
class FakeLog:
    """An append-only log.

    Hosts reach it while ``is_up``. With ``loses_answers`` appends succeed, but their
    answers are lost.
    """

    texts: list = attrs.field(factory=list)
    first_offset: int = 1
    is_up: bool = True
    loses_answers: bool = False

    def append(self, text):
        """Append ``text`` and return its offset."""
        self.texts.append(text)
        return len(self.texts)

    def read(self, offset, limit):
        """Return a page of up to ``limit`` records, starting at ``offset``."""
        start = max(offset, self.first_offset)
        texts = self.texts[start - 1 : start - 1 + limit]
        records = tuple(enumerate(texts, start))
        return LogPage(records, self.first_offset, len(self.texts) + 1)

    def expire(self, count):
        """Drop the oldest ``count`` records."""
        self.first_offset = min(self.first_offset + count, len(self.texts) + 1)


@attrs.define
class ConfigurationFleet:
    """Hosts that exchange heartbeats and read one log, in virtual time.

    ``in_force`` holds the versions that each host has put in force, and ``decided`` the
    outcomes of the publications.
    """

    timings: ConfigurationTimings = ConfigurationTimings(retention_ms=40_000)
    clock: ManualClock = attrs.field(factory=ManualClock)
    log: FakeLog = attrs.field(factory=FakeLog)
    hosts: dict = attrs.field(factory=dict)
    cut_from_log: set = attrs.field(factory=set)
    cut_from_peers: set = attrs.field(factory=set)
    in_force: dict = attrs.field(factory=dict)
    decided: dict = attrs.field(factory=dict)
    log_reads: int = 0
    _incarnations: int = 0

    def boot(self, name, data_centre="dc1"):
        """Start a new incarnation under ``name``."""
        self._incarnations += 1
        host = HostName(data_centre, name, self._incarnations)
        self.hosts[name] = ConfigurationSync(host, self.clock, self.timings)
        self.in_force[name] = []

    def run(self, duration_ms, step_ms=500):
        """Advance the time in steps, each with a tick of all hosts and heartbeats."""
        for _ in range(duration_ms // step_ms):
            self.clock.advance(step_ms)
            for name in list(self.hosts):
                self.tick(name)
            self.exchange_heartbeats()

    def tick(self, name):
        """Call ``on_tick`` of one host and carry out the effects."""
        members = [sync.host for sync in self.hosts.values()]
        self._carry_out(name, self.hosts[name].on_tick(members))

    def exchange_heartbeats(self):
        """Exchange one round of heartbeats."""
        for name in self._reachable():
            for other in self._reachable():
                sync = self.hosts[name]
                offset = self.hosts[other].chain.version.offset
                if other != name and self.hosts[other].is_ready():
                    sent = sync.on_heartbeat(self.hosts[other].host, offset)
                    self._carry_out(name, sent)

    def publish(self, name, nonce):
        """Publish a successor of the version that the host has."""
        sync = self.hosts[name]
        parent = sync.chain.version.offset
        self._carry_out(name, sync.publish("op", nonce, parent, f"body-{nonce}"))

    def _reachable(self):
        return [name for name in self.hosts if name not in self.cut_from_peers]

    def _is_log_reachable(self, name):
        return self.log.is_up and name not in self.cut_from_log

    def _carry_out(self, name, effects):
        for effect in effects:
            match effect:
                case ReadLog():
                    self._read(name, effect)
                case AppendLog():
                    self._append(name, effect)
                case SendPeer():
                    self._send(name, effect)
                case ConfigurationChanged():
                    self.in_force[name].append(effect.version)
                case PublicationDecided():
                    self.decided[effect.nonce] = effect.outcome

    def _read(self, name, effect):
        self.log_reads += 1
        sync = self.hosts[name]
        if not self._is_log_reachable(name):
            self._carry_out(name, sync.on_log_failed())
            return
        page = self.log.read(effect.from_offset, min(effect.limit, 3))
        self._carry_out(name, sync.on_log_page(page))

    def _append(self, name, effect):
        sync = self.hosts[name]
        offset = None
        if self._is_log_reachable(name):
            offset = self.log.append(effect.text)
        if self.log.loses_answers:
            offset = None
        self._carry_out(name, sync.on_append_answer(effect.nonce, offset))

    def _send(self, name, effect):
        sender = self.hosts[name].host
        receiver = effect.to.name
        if name in self.cut_from_peers or receiver in self.cut_from_peers:
            return
        sync = self.hosts[receiver]
        if isinstance(effect.message, FetchConfiguration):
            self._carry_out(receiver, sync.on_fetch(sender, effect.message))
        else:
            self._carry_out(receiver, sync.on_records(sender, effect.message))
