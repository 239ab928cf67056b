"""Operators that race each other, and a watch on what each host has in force."""

__all__ = ["Operators"]

import itertools
import random
import threading
import time
import urllib.error

from scripts.histories.checking import IN_FORCE_MS
from scripts.histories.records import ConfigurationSeen, History, Published
from scripts.histories.site import HistorySite, now_ms
from scripts.processes import EntryHost, request_json

PUBLISH_PAUSE_S = 0.8
WATCH_PAUSE_S = 0.25
ROUNDS = 4
ACCEPTED = "accepted"


class Operators:
    """Publishes pairs of racing changes while hosts are watched."""

    def __init__(self, history: History, site: HistorySite) -> None:
        self._history = history
        self._site = site
        self._rng = random.Random(history.seed)
        self._numbers = itertools.count(1)
        self._is_over = threading.Event()
        self._publisher = threading.Thread(target=self._publish_rounds)
        self._watcher = threading.Thread(target=self._watch)

    def start(self) -> None:
        """Begin to publish and to watch."""
        self._publisher.start()
        self._watcher.start()

    def finish(self) -> None:
        """Watch until every accepted change must be in force everywhere."""
        self._publisher.join()
        accepted = [c.answered_ms for c in self._history.published if c.offset]
        ready = [gap.to_ms for gap in self._history.unavailable]
        end_ms = max([*accepted, *ready], default=0) + IN_FORCE_MS + 500
        time.sleep(max(0, end_ms - now_ms()) / 1000 if accepted else 0)
        self._is_over.set()
        self._watcher.join()

    def _publish_rounds(self) -> None:
        for _ in range(ROUNDS):
            parent = max((s.offset for s in self._history.seen), default=0)
            hosts = self._rng.choices(list(self._site.hosts.values()), k=2)
            racers = [
                threading.Thread(target=self._publish, args=(host, parent))
                for host in hosts
            ]
            for racer in racers:
                racer.start()
            for racer in racers:
                racer.join()
            time.sleep(PUBLISH_PAUSE_S)

    def _publish(self, host: EntryHost, parent: int) -> None:
        text = f"[labels group-0-1]\nstage = s{next(self._numbers)}\n"
        body = {"text": text, "parent_offset": parent}
        url = f"{host.operator_url}/v1/admin/configuration"
        try:
            offset = request_json("POST", url, body)["offset"]
            outcome = ACCEPTED
        except urllib.error.HTTPError as error:
            offset, outcome = 0, f"status {error.code}"
        except OSError as error:
            offset, outcome = 0, type(error).__name__
        published = Published(parent, offset, now_ms(), outcome)
        self._history.published.append(published)

    def _watch(self) -> None:
        while not self._is_over.is_set():
            for host in list(self._site.hosts.values()):
                self._look_at(host)
            time.sleep(WATCH_PAUSE_S)

    def _look_at(self, host: EntryHost) -> None:
        asked_ms = now_ms()
        url = f"{host.operator_url}/v1/admin/configuration"
        try:
            offset = request_json("GET", url)["offset"]
        except (OSError, ValueError):
            return
        seen = ConfigurationSeen(host.name, host.process.pid, asked_ms, offset)
        self._history.seen.append(seen)
