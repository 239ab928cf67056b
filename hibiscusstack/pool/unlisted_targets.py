"""Targets that were listed and are not now, for as long as they matter."""

__all__ = ["UnlistedTargets"]

from collections.abc import Collection

UNLISTED_RETENTION_MS = 30_000


class UnlistedTargets:
    """Names of targets at which another coordinator may still have work.

    A coordinator that is cut off together with a target goes on there for as long as
    the cut lasts, so no age alone makes a name needless. It is forgotten when all
    listed hosts have followed one coordinator for ``max_orphan_run_ms``, in which the
    leases of all others lapse, and the target has been away for
    ``UNLISTED_RETENTION_MS``, in which that one ends what it still had there.
    """

    def __init__(self, max_orphan_run_ms: float) -> None:
        self._max_orphan_run_ms = max_orphan_run_ms
        self._listed: frozenset[str] = frozenset()
        self._unlisted_since_ms: dict[str, float] = {}
        self._agreed_since_ms: float | None = None

    def __bool__(self) -> bool:
        return bool(self._unlisted_since_ms)

    def names(self) -> list[str]:
        """Return the names that matter."""
        return list(self._unlisted_since_ms)

    def replace_listed(self, names: Collection[str], now_ms: float) -> None:
        """Take over the names of a newer list."""
        listed = frozenset(names)
        for name in sorted(self._listed - listed):
            self._unlisted_since_ms.setdefault(name, now_ms)
        for name in listed:
            self._unlisted_since_ms.pop(name, None)
        self._listed = listed

    def unlisted_before(self, before_ms: float) -> list[str]:
        """Return the names of the targets that were listed last before ``ms``."""
        return [
            name
            for name, since_ms in self._unlisted_since_ms.items()
            if since_ms < before_ms
        ]

    def record_agreement(self, hosts_agree: bool, now_ms: float) -> bool:
        """Forget what matters no more; return whether no lease of others is left.

        ``hosts_agree`` says that all listed hosts are heard and follow one coordinator.
        """
        if not hosts_agree:
            self._agreed_since_ms = None
            return False
        if self._agreed_since_ms is None:
            self._agreed_since_ms = now_ms
        if now_ms - self._agreed_since_ms < self._max_orphan_run_ms:
            return False
        for name in self.unlisted_before(now_ms - UNLISTED_RETENTION_MS):
            del self._unlisted_since_ms[name]
        return True
