"""The choice of an entry host for each request."""

__all__ = ["EntryRotation"]

import random
from collections import Counter
from collections.abc import Sequence

import attrs

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.clock import Clock

SUSPECT_MS = 2_000
MAX_SUSPECT_MS = 30_000
MAX_DOUBLINGS = 8


@attrs.define
class EntryRotation:
    """Entry hosts in turn, those that failed lately last.

    The first one is drawn, so that many clients don't start at the same host.

    >>> from hibiscusstack.clock import ManualClock
    >>> hosts = [EntryClient(url, None, None) for url in ("a", "b", "c")]
    >>> rotation = EntryRotation(hosts, ManualClock(), random.Random(0))
    >>> rotation.suspect(hosts[0])
    >>> [rotation.choose().url for _ in range(4)]
    ['b', 'c', 'b', 'b']
    """

    entries: Sequence[EntryClient]
    clock: Clock
    chance: random.Random
    _position: int = attrs.field(init=False)
    _suspect_until_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _failures: Counter[str] = attrs.field(init=False, factory=Counter)

    def __attrs_post_init__(self) -> None:
        if not self.entries:
            raise ValueError("a client needs at least one entry host")
        self._position = self.chance.randrange(len(self.entries))

    def choose(self, preferred: str = "") -> EntryClient:
        """Return the entry host for the next request.

        That is the ``preferred`` one, unless it failed lately.
        """
        for entry in self.entries:
            if entry.url == preferred and not self.is_avoided(preferred):
                return entry
        return self.choose_all()[0]

    def choose_all(self) -> list[EntryClient]:
        """Return every entry host in the order in which to try them."""
        start = self._position
        self._position = (start + 1) % len(self.entries)
        turned = [*self.entries[start:], *self.entries[:start]]
        return sorted(turned, key=lambda entry: self.is_suspect(entry.url))

    def suspect(self, entry: EntryClient) -> None:
        """Prefer other hosts for a while, longer after each failure in a row."""
        failures = self._failures[entry.url]
        self._failures[entry.url] = failures + 1
        duration_ms = min(MAX_SUSPECT_MS, SUSPECT_MS << min(failures, MAX_DOUBLINGS))
        self._suspect_until_ms[entry.url] = self.clock.now_ms() + duration_ms

    def trust(self, entry: EntryClient) -> None:
        """Take note that a host has answered."""
        self._failures.pop(entry.url, None)
        self._suspect_until_ms.pop(entry.url, None)

    def is_suspect(self, url: str) -> bool:
        """Return whether other hosts are preferred to this one."""
        return self._suspect_until_ms.get(url, 0) > self.clock.now_ms()

    def is_avoided(self, url: str) -> bool:
        """Return whether this host is suspect and another one is not."""
        others = (entry.url for entry in self.entries if entry.url != url)
        return self.is_suspect(url) and not all(map(self.is_suspect, others))
