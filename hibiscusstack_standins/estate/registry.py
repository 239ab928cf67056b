"""Service discovery: the workers' entries in the store, kept by their heartbeats."""

__all__ = ["SERVERS_TOPIC", "Registry"]

import json

import attrs

from hibiscusstack_standins.estate.messages import Answer, Outcome, Request
from hibiscusstack_standins.estate.outbox import Outbox
from hibiscusstack_standins.estate.records import frame_keyed
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.worker import Worker

SERVERS_TOPIC = "keyed.servers"
_SILENT_INTERVALS = 3


@attrs.define(eq=False)
class _Registered:
    worker: Worker
    next_beat_ms: int
    heard_ms: int
    seq: int = 0
    entry: dict | None = None
    drain_ms: int | None = None


class Registry:
    """Writes the entry of each worker when more of it changes than ``seq``.

    An entry goes when its worker has left or was silent for three intervals. Workers
    in ``cut_off`` don't reach the store. Entries expire while the store is down only
    with ``expires_in_outage``.
    """

    def __init__(
        self,
        store: StoreService,
        heartbeat_ms: int = 1_500,
        expires_in_outage: bool = False,
    ) -> None:
        self.cut_off: set[str] = set()
        self._store = store
        self._heartbeat_ms = heartbeat_ms
        self._expires_in_outage = expires_in_outage
        self._registered: dict[str, _Registered] = {}
        self._outbox = Outbox()

    def add(self, now_ms: int, *workers: Worker) -> None:
        """Let workers report from now on."""
        for worker in workers:
            self._registered[worker.plan.id] = _Registered(worker, now_ms, now_ms)

    def drain(self, now_ms: int, worker: str, drain_ms: int) -> None:
        """Let a worker leave that long after the store has accepted its report."""
        registered = self._registered[worker]
        registered.drain_ms = drain_ms
        registered.next_beat_ms = now_ms

    def entries(self) -> dict[str, dict]:
        """Return the entries in the store, as the platform sees them."""
        known = self._registered.items()
        return {name: r.entry for name, r in known if r.entry is not None}

    def submit(self, now_ms: int, ticket: int, request: Request) -> None:
        """Answer that nothing is here: the registry is not called."""
        self._outbox.put(now_ms, ticket, Answer(404))

    def advance(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Send the heartbeats that are due, and drop the entries of the silent."""
        for registered in self._registered.values():
            while registered.next_beat_ms <= now_ms:
                self._beat(now_ms, registered)
                registered.next_beat_ms += self._heartbeat_ms
        for registered in self._registered.values():
            self._drop_if_gone(now_ms, registered)
        return self._outbox.take_due(now_ms)

    def next_due_ms(self) -> int | None:
        """Return when a heartbeat is due next."""
        times = [registered.next_beat_ms for registered in self._registered.values()]
        times.append(self._outbox.next_due_ms())
        return min((time for time in times if time is not None), default=None)

    def crash(self, now_ms: int) -> None:
        """Send nothing more to those who called."""
        self._outbox = Outbox()

    def restart(self, now_ms: int) -> None:
        """Go on with the entries there are."""

    def _beat(self, now_ms: int, registered: _Registered) -> None:
        worker = registered.worker
        if not worker.is_up or worker.plan.id in self.cut_off or self._store.is_down:
            return
        if registered.drain_ms is not None:
            worker.drain(now_ms, registered.drain_ms)
            registered.drain_ms = None
        registered.heard_ms = now_ms
        registered.seq += 1
        report = worker.report(now_ms)
        if not _is_same(report, registered.entry):
            if registered.entry is None or registered.entry["born"] != report["born"]:
                registered.seq = 1
            registered.entry = {**report, "seq": registered.seq}
            self._put(now_ms, worker.plan.id, json.dumps(registered.entry).encode())

    def _drop_if_gone(self, now_ms: int, registered: _Registered) -> None:
        if registered.entry is None or not self._may_drop():
            return
        silent_ms = now_ms - registered.heard_ms
        is_silent = silent_ms >= _SILENT_INTERVALS * self._heartbeat_ms
        if registered.worker.has_left or is_silent:
            registered.entry = None
            self._put(now_ms, registered.worker.plan.id, b"")

    def _may_drop(self) -> bool:
        return self._expires_in_outage or not self._store.is_down

    def _put(self, now_ms: int, name: str, value: bytes) -> None:
        self._store.store.put(now_ms, SERVERS_TOPIC, frame_keyed(name, value))


def _is_same(report: dict, entry: dict | None) -> bool:
    if entry is None:
        return False
    moving = {"seq", "remaining_ms", "cold_remaining_ms"}
    return all(report[k] == entry.get(k) for k in report if k not in moving)
