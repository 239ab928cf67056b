"""The choice of an entry host for each request."""

__all__ = ["EntryRotation"]

import random
from collections.abc import Sequence

import attrs

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.clock import Clock

SUSPECT_MS = 2_000


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

    def __attrs_post_init__(self) -> None:
        if not self.entries:
            raise ValueError("a client needs at least one entry host")
        self._position = self.chance.randrange(len(self.entries))

    def choose(self) -> EntryClient:
        """Return the entry host for the next request."""
        return self.choose_all()[0]

    def choose_all(self) -> list[EntryClient]:
        """Return every entry host in the order in which to try them."""
        start = self._position
        self._position = (start + 1) % len(self.entries)
        turned = [*self.entries[start:], *self.entries[:start]]
        return sorted(turned, key=self._is_suspect)

    def suspect(self, entry: EntryClient) -> None:
        """Prefer other hosts for a while."""
        self._suspect_until_ms[entry.url] = self.clock.now_ms() + SUSPECT_MS

    def _is_suspect(self, entry: EntryClient) -> bool:
        return self._suspect_until_ms.get(entry.url, 0) > self.clock.now_ms()
