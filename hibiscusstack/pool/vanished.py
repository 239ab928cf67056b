"""Targets that were listed and are not now, for as long as they matter."""

__all__ = ["VanishedTargets"]

from collections.abc import Collection

LEAVING_MS = 30_000


class VanishedTargets:
    """Names of targets at which another coordinator may still have work.

    A coordinator that is cut off together with a target goes on there for as long as
    the cut lasts, so no age alone makes a name needless. It is forgotten when all
    listed hosts have followed one coordinator for ``quiet_ms``, in which the leases of
    all others lapse, and the target has been away for ``LEAVING_MS``, in which that
    one ends what it still had there.
    """

    def __init__(self, quiet_ms: float) -> None:
        self._quiet_ms = quiet_ms
        self._listed: frozenset[str] = frozenset()
        self._since_ms: dict[str, float] = {}
        self._united_since_ms: float | None = None

    def __bool__(self) -> bool:
        return bool(self._since_ms)

    def names(self) -> list[str]:
        """Return the names that matter."""
        return list(self._since_ms)

    def replace_listed(self, names: Collection[str], now_ms: float) -> None:
        """Take over the names of a newer list."""
        listed = frozenset(names)
        for name in sorted(self._listed - listed):
            self._since_ms.setdefault(name, now_ms)
        for name in listed:
            self._since_ms.pop(name, None)
        self._listed = listed

    def left_before(self, ms: float) -> list[str]:
        """Return the names of the targets that were listed last before ``ms``."""
        return [name for name, since_ms in self._since_ms.items() if since_ms < ms]

    def note_hosts(self, is_united: bool, now_ms: float) -> bool:
        """Forget what matters no more; return whether no lease of others is left.

        ``is_united`` says that all listed hosts are heard and follow one coordinator.
        """
        if not is_united:
            self._united_since_ms = None
            return False
        if self._united_since_ms is None:
            self._united_since_ms = now_ms
        if now_ms - self._united_since_ms < self._quiet_ms:
            return False
        for name in self.left_before(now_ms - LEAVING_MS):
            del self._since_ms[name]
        return True
