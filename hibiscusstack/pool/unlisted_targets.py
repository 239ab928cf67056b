"""Targets that left the list but may still run work of another coordinator."""

__all__ = ["UnlistedTargets"]

from collections.abc import Collection

UNLISTED_RETENTION_MS = 30_000


class UnlistedTargets:
    """Names of unlisted targets at which another coordinator may still have work.

    A coordinator that is partitioned together with a target keeps using it for as long
    as the partition lasts, so a name can't be dropped by age alone. It is dropped once
    both conditions hold:

    - all registered hosts have followed one coordinator for ``max_orphan_run_ms``, in
      which the leases of all other coordinators expire;
    - the target has been unlisted for more than ``UNLISTED_RETENTION_MS``, in which
      that one coordinator ends the work it still had there.
    """

    def __init__(self, max_orphan_run_ms: float) -> None:
        self._max_orphan_run_ms = max_orphan_run_ms
        self._listed: frozenset[str] = frozenset()
        self._unlisted_since_ms: dict[str, float] = {}
        self._agreed_since_ms: float | None = None

    def __bool__(self) -> bool:
        return bool(self._unlisted_since_ms)

    def names(self) -> list[str]:
        """Return the names of the unlisted targets that are still kept."""
        return list(self._unlisted_since_ms)

    def replace_listed(self, names: Collection[str], now_ms: float) -> None:
        """Apply a newer list of targets, given by its names."""
        listed = frozenset(names)
        for name in sorted(self._listed - listed):
            self._unlisted_since_ms.setdefault(name, now_ms)
        for name in listed:
            self._unlisted_since_ms.pop(name, None)
        self._listed = listed

    def unlisted_before(self, cutoff_ms: float) -> list[str]:
        """Return the names of the targets that left the list before ``cutoff_ms``."""
        return [
            name
            for name, since_ms in self._unlisted_since_ms.items()
            if since_ms < cutoff_ms
        ]

    def record_agreement(self, all_follow_one_coordinator: bool, now_ms: float) -> bool:
        """Drop expired names; return whether all leases of other hosts have expired.

        ``all_follow_one_coordinator`` says whether all registered hosts are heard and
        follow one coordinator. An interruption restarts the wait for the expiry of
        leases.
        """
        if not all_follow_one_coordinator:
            self._agreed_since_ms = None
            return False
        if self._agreed_since_ms is None:
            self._agreed_since_ms = now_ms
        if now_ms - self._agreed_since_ms < self._max_orphan_run_ms:
            return False
        for name in self.unlisted_before(now_ms - UNLISTED_RETENTION_MS):
            del self._unlisted_since_ms[name]
        return True
